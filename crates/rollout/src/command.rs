//! Why an operator's command is rejected.

use crate::messages::BODY_BYTES;
use thiserror::Error;

/// Why a command is rejected. A retry helps with `InProgress` alone, once that rollout has ended.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandRejected {
    /// Another rollout, of this epoch, is neither complete nor halted.
    #[error("another rollout (epoch {0}) is under way: halt it or wait for its end")]
    InProgress(u64),
    /// The version was halted in this epoch.
    #[error("this version was halted in epoch {0}: `resume` proposes it again all the same")]
    HaltedBefore(u64),
    /// The version runs here already.
    #[error("this version runs already")]
    AlreadyRunning,
    /// There is nothing to halt.
    #[error("no rollout is under way")]
    NoRollout,
    /// The order does not name each region of the roster once.
    #[error("the order has to name each region of the roster once: {0:?}")]
    InvalidOrder(Vec<String>),
    /// The proposal would have so many bytes.
    #[error("the order of regions takes {0} bytes, at most {BODY_BYTES} fit: shorten their names")]
    OrderTooLong(usize),
}
