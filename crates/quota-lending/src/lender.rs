//! State of the lending state machine. The other modules implement its rules.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::balances::{Balances, SentTotal};
use crate::config::{Config, Guards};
use crate::identity::{name_number, AccountId};
use crate::loans::Loans;
use crate::messages::Vote;
use crate::notice::IgnoreReason;
use crate::remote_repayment::RemoteRepayment;
use crate::rules::{MilliRequests, Rules};
use crate::stored_state::{BadFile, StoredState};

/// Messages of an account are valid for this many lease durations.
const MESSAGE_TTL_LEASES: u32 = 4;

/// State of another proxy, as of its last message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    pub incarnation: u64,
    pub state_incarnation: u64,
    pub account_incarnation: u64,
    /// Time until which its last heartbeat is valid.
    pub alive_until: Duration,
    /// Whether it is ready for a bootstrap: it knows no bootstrap members, and its quarantine period is over.
    pub ready_for_bootstrap: bool,
    /// Time at which this proxy sent the last heartbeat that the peer has echoed.
    pub echoed_at: Option<Duration>,
    /// Transfers that the peer has witnessed: the total, by sending account and tenant.
    pub witnessed: BTreeMap<(AccountId, u32), SentTotal>,
    /// Votes of the peer, by claimed account.
    pub votes: BTreeMap<AccountId, Vote>,
}

/// An account of another proxy, or one that an earlier process of this proxy opened.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Account {
    /// Time at which the last new heartbeat was received.
    pub last_heartbeat_at: Duration,
    /// Incarnation and number of that heartbeat.
    pub last_heartbeat: (u64, u32),
    /// Balances by tenant.
    pub balances: BTreeMap<u32, KnownBalances>,
}

/// Balances of another account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct KnownBalances {
    pub balances: Balances,
    /// Time until which the credit limit of the balances counts.
    pub limit_valid_until: Duration,
}

/// A tenant that has balances at this proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Tenant {
    pub loans: Loans,
    /// Amount requested beyond quota since the last step.
    pub requested: MilliRequests,
    /// This proxy's part of the credit limit.
    pub local_limit: MilliRequests,
    /// This proxy's part of the quota, as last reported.
    pub quota: Option<MilliRequests>,
    /// Demand as published.
    pub published_demand: MilliRequests,
}

/// Last published message of a kind and key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Published {
    pub body: Vec<u8>,
    /// Times of the first and the last publication of this body.
    pub first_at: Duration,
    pub last_at: Duration,
}

/// A file that is being written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingSave {
    pub sequence: u64,
    pub state: StoredState,
}

/// State machine that lends quota at one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lender {
    pub(crate) name: String,
    pub(crate) number: u32,
    pub(crate) incarnation: u64,
    pub(crate) has_state_file: bool,
    pub(crate) exchange_interval: Duration,
    pub(crate) lease: Duration,
    /// Quarantine period: if no new heartbeat arrives for this time, all loans of an account are over.
    pub(crate) quarantine: Duration,
    pub(crate) guards: Guards,
    pub(crate) started_at: Duration,
    pub(crate) rules: Rules,

    /// Current state, and its last durable version. Only the durable one is published.
    pub(crate) state: StoredState,
    pub(crate) durable: StoredState,
    pub(crate) unsaved_changes: bool,
    pub(crate) save_sequence: u64,
    pub(crate) pending_save: Option<PendingSave>,
    pub(crate) bad_file: Option<BadFile>,

    pub(crate) timer_token: u64,
    pub(crate) may_lend: bool,
    pub(crate) shortage: bool,
    pub(crate) roster: BTreeSet<u32>,
    pub(crate) up: BTreeSet<u32>,
    pub(crate) peers: BTreeMap<u32, Peer>,
    pub(crate) accounts: BTreeMap<AccountId, Account>,
    /// Heartbeats sent within the last lease duration: number and time of sending.
    pub(crate) heartbeats: VecDeque<(u32, Duration)>,
    pub(crate) lease_until: Duration,
    pub(crate) tenants: BTreeMap<u32, Tenant>,
    /// Tenants that may not borrow at this time.
    pub(crate) closed_tenants: BTreeSet<u32>,
    /// Recent claims: the account, and the time until which votes on it are published.
    pub(crate) claims: BTreeMap<AccountId, Duration>,
    pub(crate) remote_repayment: RemoteRepayment,
    pub(crate) published: BTreeMap<(u8, Vec<u8>), Published>,

    pub(crate) malformed: u64,
    pub(crate) ignored: u64,
    /// Why the message being handled is ignored.
    pub(crate) ignore_reason: Option<IgnoreReason>,
    pub(crate) notified_reasons: BTreeSet<IgnoreReason>,
}

/// Quarantine period: the longest loan, a tenth more for clocks that run at different rates, and three lease durations for
/// messages in transit.
fn quarantine(config: &Config) -> Duration {
    let longest_loan = config.max_loan_time + config.lease;
    longest_loan + longest_loan / 10 + config.lease * 3
}

fn restore_tenant(now: Duration, balances: &Balances) -> Tenant {
    Tenant {
        loans: Loans::restore(now, balances.lent, balances.repaid, balances.written_off),
        ..Tenant::default()
    }
}

impl Lender {
    /// `file`: content of the state file; `None` if there is no file. The first event must be `Timer(0)`.
    pub fn new(config: &Config, now: Duration, file: Option<&[u8]>) -> Self {
        let read = file.map(|bytes| StoredState::decode(&config.name, bytes));
        let bad_file = read.as_ref().and_then(|read| read.as_ref().err().copied());
        let state = read.and_then(Result::ok).unwrap_or(StoredState {
            state_incarnation: config.incarnation,
            account_incarnation: config.incarnation,
            ..StoredState::default()
        });
        let tenants = state
            .balances
            .iter()
            .map(|(tenant, balances)| (*tenant, restore_tenant(now, balances)))
            .collect();
        Self {
            name: config.name.clone(),
            number: name_number(&config.name),
            incarnation: config.incarnation,
            has_state_file: config.has_state_file,
            exchange_interval: config.exchange_interval,
            lease: config.lease,
            quarantine: quarantine(config),
            guards: config.guards,
            started_at: now,
            rules: Rules::default(),
            durable: state.clone(),
            state,
            unsaved_changes: false,
            save_sequence: 0,
            pending_save: None,
            bad_file,
            timer_token: 0,
            may_lend: false,
            shortage: false,
            roster: BTreeSet::new(),
            up: BTreeSet::new(),
            peers: BTreeMap::new(),
            accounts: BTreeMap::new(),
            heartbeats: VecDeque::new(),
            lease_until: Duration::ZERO,
            tenants,
            closed_tenants: BTreeSet::new(),
            claims: BTreeMap::new(),
            remote_repayment: RemoteRepayment::default(),
            published: BTreeMap::new(),
            malformed: 0,
            ignored: 0,
            ignore_reason: None,
            notified_reasons: BTreeSet::new(),
        }
    }

    pub(crate) fn own_account(&self) -> AccountId {
        AccountId {
            owner: self.number,
            incarnation: self.state.account_incarnation,
        }
    }

    /// Whether this proxy is a bootstrap member. The membership is lost with the stored state.
    pub(crate) fn is_bootstrap_member(&self) -> bool {
        self.state
            .is_bootstrap_member(self.number, self.state.state_incarnation)
    }

    /// Peers that are bootstrap members and still have their stored state.
    pub(crate) fn bootstrap_peers(&self) -> impl Iterator<Item = (u32, &Peer)> + '_ {
        self.peers
            .iter()
            .map(|(name, peer)| (*name, peer))
            .filter(|(name, peer)| {
                self.state
                    .is_bootstrap_member(*name, peer.state_incarnation)
            })
    }

    pub(crate) fn known_balances(&self, account: AccountId, tenant: u32) -> Option<&Balances> {
        let known = self.accounts.get(&account)?.balances.get(&tenant)?;
        Some(&known.balances)
    }

    /// Time for which messages of this proxy's account are valid.
    pub(crate) fn message_ttl(&self) -> Duration {
        self.lease * MESSAGE_TTL_LEASES
    }

    /// Whether the quarantine period has passed since the start of this process.
    pub(crate) fn own_quarantine_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) >= self.quarantine
    }
}
