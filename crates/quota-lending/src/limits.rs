//! Bounds on what is kept and published, so that no member can exhaust the memory of the others.

/// Most bootstrap members; so many fit into one message.
pub(crate) const MAX_BOOTSTRAP_MEMBERS: usize = 55;
/// Tenants with balances: each takes two of the 64 messages of a source.
pub(crate) const MAX_TENANTS: usize = 20;
/// Accounts that one account sends to, for one tenant.
pub(crate) const MAX_RECEIVERS: usize = 24;
/// Votes that are kept, own ones and those of each peer.
pub(crate) const MAX_VOTES: usize = 1024;
/// Accounts that are known, peers, and claims.
pub(crate) const MAX_ACCOUNTS: usize = 1024;
/// Accounts of one owner: each start without stored state opens another. So one member can't fill [`MAX_ACCOUNTS`].
pub(crate) const MAX_ACCOUNTS_PER_OWNER: usize = 16;
/// Balances of known accounts.
pub(crate) const MAX_BALANCES: usize = MAX_ACCOUNTS * MAX_TENANTS;
/// Bytes of a balances message that transfers leave free, as its other numbers grow too.
pub(crate) const BALANCES_RESERVE_BYTES: usize = 32;
/// Votes published at a time.
pub(crate) const MAX_PUBLISHED_VOTES: usize = 16;
/// Ownership claims made in one step.
pub(crate) const MAX_CLAIMS_PER_STEP: usize = 4;
/// Accounts outside the bootstrap members that one heartbeat echoes.
pub(crate) const MAX_OTHER_ECHOES: usize = 8;
/// Accounts outside the bootstrap members that one witness message names.
pub(crate) const MAX_OTHER_WITNESSED: usize = 4;
