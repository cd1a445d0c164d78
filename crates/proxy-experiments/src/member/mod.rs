//! What one proxy of a fleet knows of its tenants' quotas: its own account, what others see, and its loans.

mod counts;
mod fleet;
mod messages;

pub use counts::TenantCounts;
pub use messages::{Envelope, FleetSettings, Message};

use fleet::{FleetMember, ONE_REQUEST};
use quota::{QuotaMeter, RequestStatus};
use quota_lending::{Config, Lender, Shortage};
use routing::{Action, Arrival, QuotaStatus, RequestId, Settings, Time};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval of [`Member::tick`].
pub const TICK: Duration = Duration::from_millis(250);

/// The quota accounts of one proxy, and its part in a fleet if it has joined one.
pub struct Member {
    quota: QuotaMeter,
    counts: Vec<TenantCounts>,
    /// Requests that no attempt was made for.
    waiting: FxHashMap<RequestId, (usize, QuotaStatus)>,
    fleet: Option<Box<FleetMember>>,
}

impl Member {
    /// A proxy that knows only its own requests.
    pub fn new(settings: &Settings) -> Member {
        let quotas: Vec<f64> = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .collect();
        let counts = vec![TenantCounts::default(); quotas.len()];
        let worths = settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .collect();
        let quota = QuotaMeter::new(&quota::Settings {
            proxies: settings.router_count,
            quotas,
            priority_weights: worths,
        });
        Member {
            quota,
            counts,
            waiting: FxHashMap::default(),
            fleet: None,
        }
    }

    /// From now on it is one of a fleet. `file`: what a former life left.
    pub fn join(&mut self, now: Time, settings: FleetSettings, file: Option<Vec<u8>>) {
        let mut config = Config::new(&settings.names[settings.proxy], settings.start, true);
        (config.max_loan_time, config.lease) = (settings.longest, settings.lease);
        let mut core = Lender::new(&config, now.0, file.as_deref());
        let mut out = Vec::new();
        core.handle(
            now.0,
            quota_lending::Event::Rules(settings.rules.clone()),
            &mut out,
        );
        let books = settings
            .tenants
            .iter()
            .map(|name| core.totals(now.0, name).unwrap_or_default());
        let began = books.map(|book| (book.lent, book.repaid)).collect();
        let shortage = Shortage::new(settings.short_least as u32, settings.short_part);
        let mut fleet = FleetMember {
            remainder: vec![0.0; settings.tenants.len()],
            settings,
            core,
            peers: BTreeMap::new(),
            view: None,
            timer: Some((now, 0)),
            saving: None,
            file,
            out: Vec::new(),
            announced: None,
            short: Time::ZERO,
            shortage,
            began,
        };
        fleet.apply_lending_actions(now, out, &mut self.counts);
        self.fleet = Some(Box::new(fleet));
    }

    /// A request has arrived: how it stands to its tenant's quota.
    pub fn arrived(&mut self, now: Time, arrival: &Arrival) -> QuotaStatus {
        let tenant = usize::from(arrival.tenant.0);
        let mark = self.quota.record_request(
            now.0,
            tenant,
            arrival.class.0.into(),
            arrival.is_client_retry,
        );
        let Some(fleet) = self.fleet.as_mut().filter(|_| tenant < self.counts.len()) else {
            return if matches!(mark, RequestStatus::Unlimited | RequestStatus::Within) {
                QuotaStatus::WithinQuota
            } else {
                QuotaStatus::OverQuota
            };
        };
        let status = match mark {
            RequestStatus::Unlimited | RequestStatus::Within => QuotaStatus::WithinQuota,
            RequestStatus::Over if fleet.try_borrow(now, tenant, arrival, &mut self.counts) => {
                QuotaStatus::Borrowed
            }
            RequestStatus::Withheld | RequestStatus::Over => QuotaStatus::OverQuota,
        };
        let stand = &mut self.counts[tenant];
        match status {
            QuotaStatus::Borrowed => stand.borrowed += 1,
            QuotaStatus::OverQuota => stand.over_quota += 1,
            QuotaStatus::WithinQuota => {
                // A retry is not a new request and draws nothing from the quota.
                stand.within_quota += u64::from(!arrival.is_client_retry);
            }
        }
        self.waiting.insert(arrival.id, (tenant, status));
        status
    }

    /// The decision module has taken an action on a request.
    pub fn action_taken(&mut self, now: Time, action: &Action) {
        match action {
            Action::Send { id, .. } => {
                let status = self.waiting.remove(id).map(|(_, status)| status);
                if let (Some(fleet), Some(QuotaStatus::WithinQuota)) = (&mut self.fleet, status) {
                    fleet.shortage.record_end(now.0, false);
                }
            }
            Action::Reject { id, .. } => self.ended(now, *id, true),
            Action::Fail { id } => self.ended(now, *id, false),
            _ => {}
        }
    }

    /// A request is over. One that was lent and not used is given back.
    pub fn ended(&mut self, now: Time, id: RequestId, rejected: bool) {
        let Some((tenant, status)) = self.waiting.remove(&id) else {
            return;
        };
        let (Some(fleet), stand) = (&mut self.fleet, &mut self.counts[tenant]) else {
            return;
        };
        match status {
            QuotaStatus::Borrowed => {
                stand.returned += fleet
                    .core
                    .cancel_loan(&fleet.settings.tenants[tenant], ONE_REQUEST)
            }
            QuotaStatus::OverQuota => stand.over_quota_rejected += u64::from(rejected),
            QuotaStatus::WithinQuota if rejected => {
                stand.rejected += 1;
                fleet.shortage.record_end(now.0, true);
            }
            QuotaStatus::WithinQuota => {}
        }
    }

    /// A message of another proxy has come.
    pub fn receive(&mut self, now: Time, envelope: &Envelope) {
        if let Some(fleet) = &mut self.fleet {
            fleet.receive(now, envelope, &mut self.counts);
        }
    }

    /// Called every [`TICK`]; messages to all other proxies are appended to `out`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Message>) {
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        fleet.tick(now, &mut self.quota, &mut self.counts);
        out.append(&mut fleet.out);
    }

    /// Of its process; 0: it is of no fleet.
    pub fn start(&self) -> u64 {
        self.fleet.as_ref().map_or(0, |fleet| fleet.settings.start)
    }

    /// By tenant.
    pub fn counts(&self) -> &[TenantCounts] {
        &self.counts
    }

    /// What the tenant owes here.
    pub fn owes(&self, now: Time, tenant: usize) -> u64 {
        let book = self
            .fleet
            .as_ref()
            .and_then(|t| t.core.totals(now.0, &t.settings.tenants[tenant]));
        book.map_or(0, |book| book.owed)
    }

    /// Whether its book says what was seen of it: all that was lent and repaid since it began, and nothing lost.
    pub fn balances(&self, now: Time, tenant: usize) -> bool {
        let Some(fleet) = &self.fleet else {
            return true;
        };
        let Some(book) = fleet.core.totals(now.0, &fleet.settings.tenants[tenant]) else {
            return true;
        };
        let (stand, (lent, repaid)) = (&self.counts[tenant], fleet.began[tenant]);
        book.lent == book.repaid + book.written_off + book.owed
            && book.lent == lent.wrapping_add(stand.borrowed * ONE_REQUEST)
            && book.repaid == repaid.wrapping_add(stand.returned + stand.repaid)
    }

    /// What its file has, for the next life.
    pub fn file(&self) -> Option<Vec<u8>> {
        self.fleet.as_ref().and_then(|fleet| fleet.file.clone())
    }
}
