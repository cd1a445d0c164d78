//! What a host tells the core, and hears from it.

use std::time::Duration;

use crate::file::BadFile;
use crate::rules::{Milli, Rules};

/// Founders whose numbers fit into one fact.
pub const FOUNDERS: usize = 55;

/// Guards that proofs take away one by one. Outside of proofs: all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Spend only within the own share.
    pub part: bool,
    /// Lend only while more than half echo.
    pub lease: bool,
    /// Use gifts only when more than half have seen them.
    pub witness: bool,
    /// Vote only when all that the lane lent is over.
    pub hold: bool,
    /// Vote once for each lane.
    pub once: bool,
    /// Echo and see nothing of a lane that one voted about.
    pub frozen: bool,
    /// Lend only what the file has.
    pub reserve: bool,
    /// Without memory: no founder.
    pub memory: bool,
}

impl Guards {
    pub const ALL: Guards = Guards {
        part: true,
        lease: true,
        witness: true,
        hold: true,
        once: true,
        frozen: true,
        reserve: true,
        memory: true,
    };
}

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    /// The start of this process: a later process of that name has a greater one.
    pub start: u64,
    /// Does the host keep a file?
    pub stored: bool,
    /// No rule's term and write-off together are longer. The same in all proxies.
    pub longest: Duration,
    /// How long an echoed beat allows to lend. The same in all proxies.
    pub lease: Duration,
    /// From beat to beat.
    pub step: Duration,
    pub guards: Guards,
}

impl Config {
    pub fn new(name: &str, start: u64, stored: bool) -> Self {
        Self {
            name: name.to_owned(),
            start,
            stored,
            longest: Duration::from_secs(120),
            lease: Duration::from_secs(5),
            step: Duration::from_secs(1),
            guards: Guards::ALL,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: String,
    pub start: u64,
    pub up: bool,
}

#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// May be lent as far as the view goes, who should be there (this proxy too), and who is.
    View {
        lend: bool,
        roster: &'a [String],
        members: &'a [Member],
    },
    /// What another says of itself.
    Fact {
        source: &'a str,
        start: u64,
        kind: u8,
        key: &'a [u8],
        body: &'a [u8],
        age: Duration,
    },
    Rules(Rules),
    /// Stands within their quota fill the room.
    Short(bool),
    /// A window in which the stand may borrow opens or closes; open unless said.
    Open {
        stand: &'a str,
        open: bool,
    },
    Saved(u64),
    Timer(u64),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Tell {
        kind: u8,
        key: Vec<u8>,
        body: Vec<u8>,
        lasts: Duration,
    },
    /// To be safe on disk before [`Event::Saved`] with its number.
    Save {
        sequence: u64,
        bytes: Vec<u8>,
    },
    Timer {
        after: Duration,
        token: u64,
    },
    Notice(Notice),
}

/// Why what another says of its lane is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum NotKept {
    #[error("it is neither of the roster nor a founder")]
    Stranger,
    #[error("it has as many lanes as are kept of one proxy, and all may hold something")]
    Lives,
    #[error("as many lanes are known as are kept")]
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Notice {
    #[error("the file of loans is not used: {0}; this proxy starts without memory and holds no lane until others give")]
    BadFile(BadFile),
    #[error("founded by {0} proxies: loans can be made")]
    Founded(usize),
    #[error("a roster of {0} is more than {FOUNDERS}: no loans can be founded")]
    TooMany(usize),
    #[error("two proxies of the roster have the same number: no loans; rename one")]
    Alike,
    #[error("took over the lane of proxy number {0}")]
    Took(u32),
    #[error("others took over this proxy's lane while it was not heard; it goes on with a lane of nothing")]
    LaneLost,
    #[error("{amount} thousandths of a request of stand {stand} are written off")]
    WrittenOff { stand: String, amount: Milli },
    #[error(
        "what proxy number {1} says of loans is not kept: {0}; said once, counted from now on"
    )]
    NotKept(NotKept, u32),
    #[error("a fact of kind {0} is longer than fits and was not said")]
    Unsaid(u8),
}

/// Why no loan was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// No rule for the stand.
    NoRule,
    /// The rule does not name the class.
    Class,
    /// The window is closed.
    Closed,
    /// Others need the room.
    Short,
    /// The view does not allow to lend.
    View,
    /// Not founded, or fewer than half echoed lately.
    Alone,
    /// Term over, and owing still.
    Default,
    /// The rate.
    Rate,
    /// This proxy's part of the line is used up.
    Line,
    /// The file has to be written first.
    Unsaved,
    /// Too many stands have rows.
    Crowded,
}

impl Reason {
    /// For figures.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoRule => "no-rule",
            Reason::Class => "class",
            Reason::Closed => "closed",
            Reason::Short => "short",
            Reason::View => "view",
            Reason::Alone => "alone",
            Reason::Default => "default",
            Reason::Rate => "rate",
            Reason::Line => "line",
            Reason::Unsaved => "unsaved",
            Reason::Crowded => "crowded",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Borrowed,
    No(Reason),
}
