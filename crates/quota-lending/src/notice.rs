//! What an operator is notified of.

use crate::limits::MAX_BOOTSTRAP_MEMBERS;
use crate::rules::MilliRequests;
use crate::stored_state::BadFile;

/// Why a message of another proxy is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum IgnoreReason {
    /// The sender is not in the roster and no bootstrap member.
    #[error("it is neither of the roster nor a founder")]
    UnknownSender,
    /// The sender has too many accounts that may hold shares.
    #[error("it has as many lanes as are kept of one proxy, and all may hold something")]
    TooManyIncarnations,
    /// All proxies together have too many accounts.
    #[error("as many lanes are known as are kept")]
    TooManyAccounts,
}

/// A line for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Notice {
    /// The file was not usable at start.
    #[error("the file of loans is not used: {0}; this proxy starts without memory and holds no lane until others give")]
    BadFile(BadFile),
    /// Bootstrap is complete, with so many members.
    #[error("founded by {0} proxies: loans can be made")]
    Bootstrapped(usize),
    /// The roster is too long for a bootstrap.
    #[error("a roster of {0} is more than {MAX_BOOTSTRAP_MEMBERS}: no loans can be founded")]
    RosterTooLong(usize),
    /// Two names of the roster have the same hash.
    #[error("two proxies of the roster have the same number: no loans; rename one")]
    NameCollision,
    /// The account of the proxy with this number was taken over.
    #[error("took over the lane of proxy number {0}")]
    AccountTakenOver(u32),
    /// The own account was taken over by another.
    #[error("others took over this proxy's lane while it was not heard; it goes on with a lane of nothing")]
    AccountLost,
    /// A loan was not repaid in time.
    #[error("{amount} thousandths of a request of stand {tenant} are written off")]
    WrittenOff {
        /// Name of the tenant.
        tenant: String,
        /// What was written off.
        amount: MilliRequests,
    },
    /// Messages of the proxy with this number are ignored.
    #[error(
        "what proxy number {1} says of loans is not kept: {0}; said once, counted from now on"
    )]
    Ignored(IgnoreReason, u32),
    /// A message of this kind exceeds the permitted length.
    #[error("a fact of kind {0} is longer than fits and was not said")]
    MessageTooLong(u8),
}
