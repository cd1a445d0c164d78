//! The identity of a member's process in SWIM.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// Value of `rejoins` that marks a process that has left: SWIM itself cannot distinguish leaving from failing.
pub(crate) const LEFT_REJOINS: u16 = u16::MAX;

/// A process of a member. Serialised by position: the order of the fields is the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct ProcessId {
    /// Id of the member (a hash of its name).
    pub member: u32,
    pub incarnation: u64,
    /// Number of times that the process rejoined after it was declared down, or changed its roster.
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
        // The last value is reserved for a process that has left.
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
