//! The identity of a process of a member, as SWIM knows it.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// `rejoins` of a process that has left: there is no other way to tell a leave from a death.
pub(crate) const LEFT_REJOINS: u16 = u16::MAX;

/// A process of a member. Serialised by position: the order of the fields is the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ProcessId {
    /// The id of its name.
    pub member: u32,
    pub incarnation: u64,
    /// How often it rejoined after it was declared down, or changed its roster.
    pub rejoins: u16,
    pub roster_version: u64,
}

impl ProcessId {
    pub fn has_left(self) -> bool {
        self.rejoins == LEFT_REJOINS
    }
}

impl Identity for ProcessId {
    type Addr = u32;

    fn renew(&self) -> Option<Self> {
        // The last number is kept for a process that left.
        (self.rejoins < LEFT_REJOINS - 1).then(|| Self {
            rejoins: self.rejoins + 1,
            ..*self
        })
    }

    fn addr(&self) -> u32 {
        self.member
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.rejoins) > (other.incarnation, other.rejoins)
    }
}
