//! Bounds on stored and published data, so that no member can exhaust the memory of the others.

/// Maximum number of bootstrap members: as many as fit into one message.
pub(crate) const MAX_BOOTSTRAP_MEMBERS: usize = 55;
/// Maximum number of tenants with balances: each takes two of the 64 messages that are kept of one source.
pub(crate) const MAX_TENANTS: usize = 20;
/// Maximum number of accounts that one account sends shares of one tenant to.
pub(crate) const MAX_RECEIVERS: usize = 24;
/// Maximum number of votes kept: of this proxy, and of each peer.
pub(crate) const MAX_VOTES: usize = 1024;
/// Maximum number of known accounts, of peers and of claims, each.
pub(crate) const MAX_ACCOUNTS: usize = 1024;
/// Maximum number of known accounts of one owner, so that one member can't fill [`MAX_ACCOUNTS`]: each start without stored
/// state opens another account.
pub(crate) const MAX_ACCOUNTS_PER_OWNER: usize = 16;
/// Maximum number of balances of known accounts: one per account and tenant.
pub(crate) const MAX_BALANCES: usize = MAX_ACCOUNTS * MAX_TENANTS;
/// Bytes of a balances message that transfers leave free, since the encodings of its other numbers grow too.
pub(crate) const BALANCES_RESERVE_BYTES: usize = 32;
/// Maximum number of votes published at a time.
pub(crate) const MAX_PUBLISHED_VOTES: usize = 16;
/// Maximum number of ownership claims made in one step.
pub(crate) const MAX_CLAIMS_PER_STEP: usize = 4;
/// Maximum number of accounts outside the bootstrap members that one heartbeat echoes.
pub(crate) const MAX_OTHER_ECHOES: usize = 8;
/// Maximum number of accounts outside the bootstrap members that one witness message names.
pub(crate) const MAX_OTHER_WITNESSED: usize = 4;
