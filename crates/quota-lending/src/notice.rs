//! Notices to the operator.

use crate::limits::MAX_BOOTSTRAP_MEMBERS;
use crate::rules::MilliRequests;
use crate::stored_state::BadFile;

/// Why a message of another proxy is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum IgnoreReason {
    /// The sender is neither in the roster nor a bootstrap member.
    #[error("the sender is neither in the roster nor a bootstrap member")]
    UnknownSender,
    /// The sender has too many accounts, and all of them may hold shares.
    #[error("the sender has opened the maximum number of accounts per proxy, and all of them may hold shares")]
    TooManyIncarnations,
    /// All proxies together have too many accounts.
    #[error("the maximum number of known accounts is reached")]
    TooManyAccounts,
}

/// A message for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Notice {
    /// The state file could not be used at start.
    #[error("the state file of quota lending is not used: {0}; this proxy starts without stored state and holds no shares until others transfer some")]
    BadFile(BadFile),
    /// The bootstrap is complete, with this number of members.
    #[error("quota lending is bootstrapped with {0} proxies: loans are possible")]
    Bootstrapped(usize),
    /// The roster, of this length, is too long for a bootstrap.
    #[error("the roster has {0} members, but at most {MAX_BOOTSTRAP_MEMBERS} can bootstrap quota lending: no loans are possible")]
    RosterTooLong(usize),
    /// Two names of the roster have the same hash.
    #[error("the names of two proxies in the roster have the same hash: no loans are made; rename one of them")]
    NameCollision,
    /// The account of the proxy with this number was taken over.
    #[error("took over the account of the proxy with number {0}")]
    AccountTakenOver(u32),
    /// This proxy's account was taken over by another proxy.
    #[error("another proxy took over this proxy's account while no heartbeats of it arrived; this proxy continues with a new account without shares")]
    AccountLost,
    /// Loans were not repaid in time and are written off.
    #[error("tenant {tenant}: {amount} thousandths of a request were not repaid in time and are written off")]
    WrittenOff {
        /// Name of the tenant.
        tenant: String,
        /// Amount that was written off.
        amount: MilliRequests,
    },
    /// Messages of the proxy with this number are ignored. Reported once for each reason.
    #[error(
        "lending messages of the proxy with number {1} are ignored: {0}; reported once, further ones are only counted"
    )]
    Ignored(IgnoreReason, u32),
    /// A message of this kind exceeds the maximum length.
    #[error("a lending message of kind {0} exceeds the maximum length and was not published")]
    MessageTooLong(u8),
}
