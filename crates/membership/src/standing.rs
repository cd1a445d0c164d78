//! What may be done while proxies disagree about who is there: states, acts, and the table of both.

use std::fmt;
use std::time::Duration;

/// How much of a roster is heard, oneself included. Ordered: each allows at least what the one before does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Nobody else is heard.
    Alone,
    /// Half of the roster or fewer.
    Minority,
    /// More than half of the roster.
    Degraded,
    /// All that have not left.
    Whole,
}

/// What somebody wants to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Act {
    /// Give another a part of what all share.
    Lend,
    /// Use what one holds already.
    SpendOwn,
    /// Give back.
    Repay,
    /// Take a change to more of the fleet.
    Promote,
    /// Stop a change, or take it back.
    Halt,
    /// Act by what another said.
    TrustRemoteFact,
}

/// What the table says of an act in a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    Yes,
    No,
    /// Only while nobody who is heard says another version of the roster.
    Agreed,
    /// As long as the fact has not lapsed, which `facts` sees to.
    UntilLapse,
}

/// The one table: act by whole, degraded, minority, alone, doubting. `docs/design/members.md` has the same, and
/// a test compares the two.
pub const TABLE: [(Act, [Rule; 5]); 6] = {
    use Rule::{Agreed, No, UntilLapse, Yes};
    [
        (Act::Lend, [Yes, Yes, No, No, No]),
        (Act::SpendOwn, [Yes; 5]),
        (Act::Repay, [Yes; 5]),
        (Act::Promote, [Agreed, Agreed, No, No, No]),
        (Act::Halt, [Yes; 5]),
        (Act::TrustRemoteFact, [UntilLapse; 5]),
    ]
};

/// The rule for an act. Who doubts himself has a column of his own, whatever he last heard.
pub fn rule(act: Act, state: State, doubting: bool) -> Rule {
    let column = match state {
        _ if doubting => 4,
        State::Whole => 0,
        State::Degraded => 1,
        State::Minority => 2,
        State::Alone => 3,
    };
    TABLE
        .iter()
        .find(|(of, _)| *of == act)
        .map_or(Rule::No, |(_, rules)| rules[column])
}

/// Why an act may not be done now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    #[error("{heard} of {of} members{} are heard, or not for long enough ({state}): look at the network between \
             proxies, or wait", In(.region))]
    TooFew {
        state: State,
        heard: usize,
        of: usize,
        region: Option<String>,
    },
    #[error(
        "this process was paused or late, and has not heard enough others again: wait a few periods; if it \
             lasts, the host is overloaded"
    )]
    Doubting,
    #[error(
        "{0} members say another version of the roster: bring all proxies to one roster first"
    )]
    RosterDiffers(usize),
    #[error("no member of the roster is in region {0:?}: ask for one that the roster has")]
    UnknownRegion(String),
    #[error("this proxy has left the fleet: start it again to come back")]
    Left,
}

struct In<'a>(&'a Option<String>);

impl fmt::Display for In<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .as_ref()
            .map_or(Ok(()), |region| write!(f, " of region {region:?}"))
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alone => "alone",
            Self::Minority => "minority",
            Self::Degraded => "degraded",
            Self::Whole => "whole",
        })
    }
}

/// Who is heard of one roster, or of the part of it in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Heads {
    pub of: usize,
    /// Oneself and who is alive in the view.
    pub heard: usize,
    pub suspect: usize,
    pub left: usize,
    /// Whether oneself is among `of`.
    pub me: bool,
}

impl Heads {
    /// The state by what is heard at this moment. A suspected member does not count for the majority, since that
    /// has to be lost at once; but it is not missed either.
    pub fn state(self) -> State {
        let mine = usize::from(self.me);
        if self.of > mine && self.heard + self.suspect == mine {
            State::Alone
        } else if self.heard * 2 <= self.of {
            State::Minority
        } else if self.heard + self.suspect + self.left == self.of {
            State::Whole
        } else {
            State::Degraded
        }
    }
}

/// A state that falls at once and rises only after it has held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Standing {
    pub state: State,
    pub heads: Heads,
    majority: Option<Duration>,
    all: Option<Duration>,
}

impl Default for Standing {
    fn default() -> Self {
        Self {
            state: State::Alone,
            heads: Heads::default(),
            majority: None,
            all: None,
        }
    }
}

impl Standing {
    /// Takes what is heard now. `hold` is how long a majority has to be heard until it counts.
    pub fn step(&mut self, now: Duration, heads: Heads, hold: Duration) -> State {
        let raw = heads.state();
        self.heads = heads;
        self.majority = (raw >= State::Degraded).then(|| self.majority.unwrap_or(now));
        self.all = (raw == State::Whole).then(|| self.all.unwrap_or(now));
        let held = |since: Option<Duration>| since.is_some_and(|since| now >= since + hold);
        self.state = if held(self.all) {
            State::Whole
        } else if held(self.majority) {
            State::Degraded
        } else {
            raw.min(State::Minority)
        };
        self.state
    }

    /// After a pause nothing has held.
    pub fn forget(&mut self) {
        self.majority = None;
        self.all = None;
    }
}
