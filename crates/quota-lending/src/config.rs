//! Configuration of one [`crate::Lender`].

use std::time::Duration;

/// Safety guards that tests disable one by one to show that each is needed. Outside of tests: [`Guards::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Lend only within the own shares of the credit limit.
    pub local_limit: bool,
    /// Lend only while a majority echoes the heartbeats.
    pub lease: bool,
    /// Use a transfer only after a majority has witnessed it.
    pub witness: bool,
    /// Vote only after the quarantine period, when all loans of the account are over.
    pub quarantine: bool,
    /// Vote once for each account.
    pub single_vote: bool,
    /// After a vote about an account, echo and witness nothing of it.
    pub freeze: bool,
    /// Lend only what the stored state has reserved.
    pub reserve: bool,
    /// A member that lost its stored state is no bootstrap member any more.
    pub stored_membership: bool,
}

impl Guards {
    /// All guards.
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

/// Configuration of one proxy. Durations other than `exchange_interval` must be the same on all proxies.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this proxy.
    pub name: String,
    /// Incarnation of this process: greater than that of any former process of the name.
    pub incarnation: u64,
    /// Whether the host keeps a file.
    pub has_state_file: bool,
    /// The longest that the term and write-off time of any rule come to together.
    pub max_loan_time: Duration,
    /// How long an echoed heartbeat allows to lend.
    pub lease: Duration,
    /// Time from heartbeat to heartbeat.
    pub exchange_interval: Duration,
    /// Guards that are enabled.
    pub guards: Guards,
}

impl Config {
    /// The defaults, with all guards.
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
