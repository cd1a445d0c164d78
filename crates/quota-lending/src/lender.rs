//! The state of the machine. Its rules stand in modules of their own, which this one does not know.

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

/// Messages of an account are valid for so many leases.
const MESSAGE_LEASES: u32 = 4;

/// Another proxy, as of its last message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    pub incarnation: u64,
    pub state_incarnation: u64,
    pub account_incarnation: u64,
    /// Its last heartbeat is valid until then.
    pub alive_until: Duration,
    /// It is ready for a bootstrap: without bootstrap members, and its quarantine is over.
    pub ready_for_bootstrap: bool,
    /// When the last own heartbeat that it echoed was sent.
    pub echoed_at: Option<Duration>,
    /// By account and tenant: the transfers that it has witnessed.
    pub witnessed: BTreeMap<(AccountId, u32), SentTotal>,
    /// Its votes, by claimed account.
    pub votes: BTreeMap<AccountId, Vote>,
}

/// The account of another proxy, or one that a former process opened.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Account {
    /// When its last new heartbeat was received.
    pub heard_at: Duration,
    /// Incarnation and number of that heartbeat.
    pub last_heartbeat: (u64, u32),
    /// By tenant.
    pub balances: BTreeMap<u32, KnownBalances>,
}

/// Balances of another account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct KnownBalances {
    pub balances: Balances,
    /// The credit limit that they state counts until then.
    pub limit_valid_until: Duration,
}

/// A tenant with balances here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Tenant {
    pub loans: Loans,
    /// Requested beyond quota since the last step.
    pub requested: MilliRequests,
    /// This proxy's part of the credit limit.
    pub local_limit: MilliRequests,
    /// This proxy's part of the quota, as last reported.
    pub quota: Option<MilliRequests>,
    /// The demand that is published.
    pub published_demand: MilliRequests,
}

/// The last message of a kind and key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Published {
    pub body: Vec<u8>,
    pub first_at: Duration,
    pub last_at: Duration,
}

/// A file that is being written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingSave {
    pub sequence: u64,
    pub state: StoredState,
}

/// The machine that lends quota in one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lender {
    pub(crate) name: String,
    pub(crate) number: u32,
    pub(crate) incarnation: u64,
    pub(crate) has_state_file: bool,
    pub(crate) exchange_interval: Duration,
    pub(crate) lease: Duration,
    /// Without a new heartbeat for so long, all loans of an account are over.
    pub(crate) quarantine: Duration,
    pub(crate) guards: Guards,
    pub(crate) started_at: Duration,
    pub(crate) rules: Rules,

    /// Own state, and what of it is durable: only the latter is published.
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
    /// Own heartbeats of the last lease: number, and when sent.
    pub(crate) heartbeats: VecDeque<(u32, Duration)>,
    pub(crate) lease_until: Duration,
    pub(crate) tenants: BTreeMap<u32, Tenant>,
    /// Tenants that may not borrow at this time.
    pub(crate) closed_tenants: BTreeSet<u32>,
    /// Recent claims: the account, and until when votes on it are published.
    pub(crate) claims: BTreeMap<AccountId, Duration>,
    pub(crate) remote_repayment: RemoteRepayment,
    pub(crate) published: BTreeMap<(u8, Vec<u8>), Published>,

    pub(crate) malformed: u64,
    pub(crate) ignored: u64,
    /// Why the current message is ignored.
    pub(crate) ignoring: Option<IgnoreReason>,
    pub(crate) ignored_notified: BTreeSet<IgnoreReason>,
}

/// The quarantine period: the longest loan, a tenth for clocks that run apart, and three leases for messages on their way.
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
    /// `file`: what the host read, none if there is none. The first event is `Timer(0)`.
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
            ignoring: None,
            ignored_notified: BTreeSet::new(),
        }
    }

    pub(crate) fn own_account(&self) -> AccountId {
        AccountId {
            owner: self.number,
            incarnation: self.state.account_incarnation,
        }
    }

    /// Own bootstrap membership: lost with the stored state.
    pub(crate) fn is_bootstrap_member(&self) -> bool {
        self.state
            .is_bootstrap_member(self.number, self.state.state_incarnation)
    }

    /// The peers that are bootstrap members and still have their stored state.
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

    /// How long messages of the own account are valid.
    pub(crate) fn message_ttl(&self) -> Duration {
        self.lease * MESSAGE_LEASES
    }

    /// Whether the quarantine period has passed since the start of this process.
    pub(crate) fn own_quarantine_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) >= self.quarantine
    }
}
