//! What of a former life is trusted, and how far. Clocks are not asked: after a power loss they may be wrong.

use crate::file::{self, Fault, Hand, List, Memory};

/// Whom a process goes on from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// Nobody lives that it could ask. The platform may have handed over a list of this index.
    Nobody { platform: Option<u64> },
    /// An elder that still lived has handed over what it knew, which is newer than what it kept.
    Elder,
}

/// What is to be made of what was kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recalled {
    /// Trusted as a least: a start no greater than this would be refused by those who were up all along.
    pub start: u64,
    /// A hint, which is newer than what the platform handed over. It is asked for anew in whole, not from its index on:
    /// discovery may have lost its own last changes and count anew.
    pub list: Option<List>,
    /// Trusted in full: nobody but operators takes their word back.
    pub hands: Vec<Hand>,
}

/// `kept`: what was found under this proxy's name; none: nothing was.
pub fn recall(
    me: &str,
    kept: Option<&[u8]>,
    after: After,
) -> Result<(Recalled, Option<Memory>), Fault> {
    let Some(kept) = kept else {
        return Ok(Default::default());
    };
    let memory = file::decode(me, kept)?;
    let Memory { start, list, hands } = memory.clone();
    let recalled = match after {
        After::Elder => Recalled {
            start,
            ..Recalled::default()
        },
        After::Nobody { platform } => {
            let list = list.filter(|list| platform.is_none_or(|index| list.index > index));
            Recalled { start, list, hands }
        }
    };
    Ok((recalled, Some(memory)))
}
