//! Reasons for rejecting an operator's command.

use crate::messages::BODY_BYTES;
use thiserror::Error;

/// The reason for rejecting an operator's command. A retry can succeed only after `InProgress`, once that rollout has ended.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandRejected {
    /// Another rollout is neither complete nor halted. The value is its epoch.
    #[error("a rollout (epoch {0}) is in progress: halt it or wait until it has finished")]
    InProgress(u64),
    /// The version was halted before. The value is the epoch of that rollout.
    #[error(
        "this version was halted in epoch {0}: use `resume` to propose it again despite the halt"
    )]
    HaltedBefore(u64),
    /// This process already runs the version.
    #[error("this version is already running")]
    AlreadyRunning,
    /// There is no rollout to halt.
    #[error("no rollout is in progress")]
    NoRollout,
    /// The order does not name each region of the roster exactly once.
    #[error("invalid order of regions {0:?}: it must name each region of the roster exactly once")]
    InvalidOrder(Vec<String>),
    /// The encoded proposal is too long. The value is its length in bytes.
    #[error("the proposal with its order of regions takes {0} bytes, at most {BODY_BYTES} are allowed: use shorter names for the regions")]
    OrderTooLong(usize),
}
