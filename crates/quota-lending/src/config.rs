//! Configuration of one [`crate::Lender`].

use std::time::Duration;

/// Safety guards. Tests disable them one by one to show that each is needed; production code uses [`Guards::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Lend only within this proxy's shares of the credit limit.
    pub local_limit: bool,
    /// Lend only while a majority echoes this proxy's heartbeats.
    pub lease: bool,
    /// Use a transfer only after a majority has witnessed it.
    pub witness: bool,
    /// Vote on an account only after its quarantine period, when all its loans are over.
    pub quarantine: bool,
    /// Vote at most once on each account.
    pub single_vote: bool,
    /// After a vote on an account, echo none of its heartbeats and witness none of its transfers.
    pub freeze: bool,
    /// Lend only amounts that the durable state has reserved.
    pub reserve: bool,
    /// A member that lost its stored state no longer counts as a bootstrap member.
    pub stored_membership: bool,
}

impl Guards {
    /// All guards enabled.
    pub const ALL: Guards = Guards {
        local_limit: true,
        lease: true,
        witness: true,
        quarantine: true,
        single_vote: true,
        freeze: true,
        reserve: true,
        stored_membership: true,
    };
}

/// Configuration of one proxy. All durations except `exchange_interval` must be the same on all proxies.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this proxy.
    pub name: String,
    /// Incarnation of this process; greater than that of any earlier process of the same name.
    pub incarnation: u64,
    /// Whether the host keeps a state file.
    pub has_state_file: bool,
    /// Maximum of term plus write-off time over all rules.
    pub max_loan_time: Duration,
    /// Duration of a lease, counted from the sending of the echoed heartbeat.
    pub lease: Duration,
    /// Interval between heartbeats.
    pub exchange_interval: Duration,
    /// Enabled guards.
    pub guards: Guards,
}

impl Config {
    /// The default durations, with all guards enabled.
    pub fn new(name: &str, incarnation: u64, has_state_file: bool) -> Self {
        Self {
            name: name.to_owned(),
            incarnation,
            has_state_file,
            max_loan_time: Duration::from_secs(120),
            lease: Duration::from_secs(5),
            exchange_interval: Duration::from_secs(1),
            guards: Guards::ALL,
        }
    }
}
