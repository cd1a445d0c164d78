//! Host of [`quota_lending::Lender`]: exchanges its messages with the other proxies, saves its state file, and lets it
//! decide about each request beyond its tenant's quota.

use std::collections::BTreeMap;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use configuration::calendar::{Moment, Window};
use configuration::model::{Credit, Lending as Settings};
use membership::{Fact, GuardedOperation, Status};
use quota_lending::{
    Action, Config, Decision, Event, Lender, Member, MilliRequests, Rule, Rules, Shortage,
    SHORTAGE_DURATION,
};

use crate::clock;
use crate::cluster::members::Members;

mod file_writer;
mod metrics;

pub use file_writer::StartError;
use file_writer::{FileWriter, WriteJob};

/// Cost of one request in its tenant's quota, in thousandths of a request.
const REQUEST_COST: MilliRequests = 1000;
/// Kind of the shortage message: the sender lacks capacity for tenants that are within their quota.
const SHORTAGE_KIND: u8 = 70;
/// Body of the shortage message: only this version byte.
const SHORTAGE_VERSION: u8 = 1;
/// Interval of retries if the state file can't be written, or if another process holds the lock.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A started lender.
struct RunningLender {
    lender: Lender,
    /// Incarnation of this process in the membership when the lender was started.
    incarnation: u64,
    file_writer: Option<FileWriter>,
}

/// A message that waits for [`QuotaLending::flush`].
struct QueuedMessage {
    kind: u8,
    key: Vec<u8>,
    body: Vec<u8>,
    ttl: Duration,
}

/// The credit of a tenant that was removed from the operators' file: nothing is lent, but its debt is still repaid.
fn without_lending(credit: Credit) -> Credit {
    Credit {
        credit_limit: Duration::ZERO,
        not_during: Vec::new(),
        ..credit
    }
}

/// Quota lending in this proxy.
pub struct QuotaLending {
    settings: Settings,
    windows: Vec<Window>,
    waker: UnixStream,
    /// Time zero of the lender.
    origin: Instant,
    running: Option<RunningLender>,
    /// A failure to start was logged.
    start_error_logged: bool,
    start_at: Instant,
    queued_messages: Vec<QueuedMessage>,
    timer: Option<(Instant, u64)>,
    /// A failed write of the state file, and the time of its retry.
    retry_write: Option<(Instant, WriteJob)>,
    shortage: Shortage,
    /// This proxy or another one has reported a shortage.
    in_shortage: bool,
    shortage_published_at: Option<Instant>,
    /// Number of requests that borrowed, by tenant.
    borrowed: BTreeMap<String, u64>,
    cancelled_loans: u64,
    /// Number of requests that were denied a loan, by reason.
    denied: BTreeMap<&'static str, u64>,
    /// Withheld thousandths of the quota, by tenant.
    withheld: BTreeMap<String, u32>,
    saves: u64,
    saves_failed: u64,
    /// Number of malformed messages, except those that the current lender counts.
    malformed: u64,
}

impl QuotaLending {
    /// `waker`: a byte written to it wakes the event loop.
    pub fn new(
        settings: Settings,
        windows: Vec<Window>,
        waker: UnixStream,
        now: Instant,
    ) -> QuotaLending {
        QuotaLending {
            settings,
            windows,
            waker,
            origin: now,
            running: None,
            start_error_logged: false,
            start_at: now,
            queued_messages: Vec::new(),
            timer: None,
            retry_write: None,
            shortage: Shortage::default(),
            in_shortage: false,
            shortage_published_at: None,
            borrowed: BTreeMap::new(),
            cancelled_loans: 0,
            denied: BTreeMap::new(),
            withheld: BTreeMap::new(),
            saves: 0,
            saves_failed: 0,
            malformed: 0,
        }
    }

    fn since_start(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.origin)
    }

    /// Applies new settings. Returns the keys of changed settings that need a restart.
    pub fn reload(&mut self, settings: Settings, windows: Vec<Window>) -> Vec<&'static str> {
        let mut previous = std::mem::replace(&mut self.settings, settings);
        let is_removed = |credit: &Credit| {
            !self
                .settings
                .credits
                .iter()
                .any(|c| c.tenant == credit.tenant)
        };
        let removed: Vec<Credit> = previous.credits.drain(..).filter(is_removed).collect();
        self.settings
            .credits
            .extend(removed.into_iter().map(without_lending));
        self.windows = windows;
        let unchanged = [
            (
                "lending state",
                previous.state_file == self.settings.state_file,
            ),
            ("lending lease", previous.lease == self.settings.lease),
            (
                "lending step",
                previous.exchange_interval == self.settings.exchange_interval,
            ),
            (
                "lending longest",
                previous.max_loan_time == self.settings.max_loan_time,
            ),
        ];
        // The lender keeps all other settings that it was started with.
        self.settings = Settings {
            credits: std::mem::take(&mut self.settings.credits),
            ..previous
        };
        unchanged
            .into_iter()
            .filter(|(_, is_unchanged)| !is_unchanged)
            .map(|(key, _)| key)
            .collect()
    }

    /// The operators' file does not configure lending any more: nothing is lent until the process ends.
    pub fn stop_lending(&mut self) {
        self.windows.clear();
        self.settings.credits = self
            .settings
            .credits
            .drain(..)
            .map(without_lending)
            .collect();
    }

    /// Computes the lending rules from the platform's quotas: tenant names and quotas in requests per second.
    pub fn update_rules<'a>(&mut self, quotas: impl Iterator<Item = (&'a str, f64)>, now: Instant) {
        let quotas: BTreeMap<&str, f64> = quotas.collect();
        let mut rules = Vec::new();
        for credit in &self.settings.credits {
            let quota = quotas.get(credit.tenant.as_str());
            let Some(quota) = quota.filter(|quota| **quota > 0.0) else {
                log::warn!(
                    "loans: credit {}: the platform's settings have no tenant of that name with a quota; \
                            nothing is lent to it",
                    credit.tenant
                );
                continue;
            };
            rules.push((credit.tenant.clone(), lending_rule(credit, *quota)));
        }
        match Rules::new(rules, self.settings.max_loan_time) {
            Ok(rules) => self.handle(Event::Rules(rules), now),
            Err(error) => log::error!("loans: {error}; the previous rules stay"),
        }
    }

    /// Decides whether a request beyond its tenant's quota may borrow.
    pub fn may_borrow(&mut self, tenant: &str, class: &str, now: Instant) -> bool {
        let since_start = self.since_start(now);
        let Some(running) = &mut self.running else {
            return false;
        };
        let mut actions = Vec::new();
        let decision =
            running
                .lender
                .decide(since_start, tenant, class, REQUEST_COST, &mut actions);
        self.perform(actions, now);
        match decision {
            Decision::Borrowed => {
                *self.borrowed.entry(tenant.to_owned()).or_default() += 1;
                true
            }
            Decision::Denied(reason) => {
                *self.denied.entry(reason.name()).or_default() += 1;
                false
            }
        }
    }

    /// Cancels the loan of a request that ended without an attempt.
    pub fn cancel_loan(&mut self, tenant: &str) {
        if let Some(running) = &mut self.running {
            self.cancelled_loans += 1;
            running.lender.cancel_loan(tenant, REQUEST_COST);
        }
    }

    /// Records the end of a request within its quota. `rejected`: it was rejected before any attempt.
    pub fn record_within_quota(&mut self, rejected: bool, now: Instant) {
        self.shortage.record_end(self.since_start(now), rejected);
    }

    /// Counts the quota withheld from a tenant as repayment, and returns the fraction of its quota to withhold from now
    /// on, 0 to 1. `withheld` is in requests, `quota` is this proxy's part of the quota in requests per second, and `used`
    /// is the fraction of that part that the tenant uses, 0 to 1.
    pub fn repay(
        &mut self,
        tenant: &str,
        withheld: f64,
        quota: f64,
        used: f64,
        now: Instant,
    ) -> f64 {
        let since_start = self.since_start(now);
        let Some(running) = &mut self.running else {
            return 0.0;
        };
        let lender = &mut running.lender;
        lender.repay(since_start, tenant, (withheld * 1e3) as MilliRequests);
        let used = (used * 1e3).min(1e3) as u32;
        let thousandths =
            lender.withhold(since_start, tenant, (quota * 1e3) as MilliRequests, used);
        match self.withheld.get_mut(tenant) {
            Some(current) => *current = thousandths,
            None if thousandths > 0 => _ = self.withheld.insert(tenant.to_owned(), thousandths),
            None => {}
        }
        f64::from(thousandths) / 1e3
    }

    /// Fraction of a tenant's quota that is withheld, 0 to 1.
    pub fn withheld(&self, tenant: &str) -> f64 {
        self.withheld
            .get(tenant)
            .map_or(0.0, |thousandths| f64::from(*thousandths) / 1e3)
    }

    /// Handles a message from another proxy; messages of other kinds are ignored.
    pub fn receive(&mut self, fact: &Fact, now: Instant) {
        if quota_lending::messages::is_lending_message(fact.kind) {
            let event = Event::Message {
                source: &fact.source,
                incarnation: fact.incarnation,
                kind: fact.kind,
                key: &fact.key,
                body: &fact.body,
                age: fact.age,
            };
            self.handle(event, now);
        } else if fact.kind == SHORTAGE_KIND && fact.body != [SHORTAGE_VERSION] {
            self.malformed += 1;
        }
    }

    /// Updates the lender's view of members, shortage and lending windows, and runs its timer. To be called several times
    /// per second. Returns true if the lender was started just now and needs [`QuotaLending::update_rules`].
    pub fn poll(&mut self, members: &mut Members, now: Instant) -> bool {
        let started = self.start_if_due(members, now);
        if self.running.is_none() {
            return false;
        }
        self.update_membership(members, now);
        self.update_shortage(members, now);
        self.update_windows(now);
        if let Some((_, token)) = self.timer.take_if(|(due, _)| *due <= now) {
            self.handle(Event::Timer(token), now);
        }
        started
    }

    fn update_membership(&mut self, members: &mut Members, now: Instant) {
        let is_up = |status| matches!(status, Status::Alive | Status::Suspect);
        let member_list: Vec<Member> = members
            .view(now)
            .members
            .into_iter()
            .filter_map(|member| {
                Some(Member {
                    incarnation: member.incarnation?,
                    up: is_up(member.status),
                    name: member.name,
                })
            })
            .collect();
        let roster: Vec<String> = members
            .regions()
            .into_iter()
            .map(|(name, _)| name)
            .collect();
        let event = Event::Membership {
            may_lend: members
                .check_operation(GuardedOperation::Lend, None, now)
                .is_ok(),
            roster: &roster,
            members: &member_list,
        };
        self.handle(event, now);
    }

    /// Publishes a shortage at this proxy, and notifies the lender of a shortage at any proxy.
    fn update_shortage(&mut self, members: &mut Members, now: Instant) {
        let own_shortage = self.shortage.is_in_shortage(self.since_start(now));
        let is_due = self
            .shortage_published_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SHORTAGE_DURATION / 2);
        if own_shortage && is_due {
            self.shortage_published_at = Some(now);
            let body = vec![SHORTAGE_VERSION];
            members.publish(SHORTAGE_KIND, Vec::new(), body, SHORTAGE_DURATION, now);
        }
        let is_from_other_proxy =
            |fact: &Fact| fact.source != members.name() && fact.body == [SHORTAGE_VERSION];
        self.in_shortage = own_shortage
            || members
                .facts(SHORTAGE_KIND, now)
                .iter()
                .any(is_from_other_proxy);
        self.handle(Event::Shortage(self.in_shortage), now);
    }

    fn update_windows(&mut self, now: Instant) {
        let moment = Moment::from_unix(Duration::from_millis(clock::unix_ms()));
        for credit in self.settings.credits.clone() {
            let closed = credit
                .not_during
                .iter()
                .filter_map(|window| self.windows.get(*window))
                .any(|window| window.contains(moment));
            let event = Event::LendingWindow {
                tenant: &credit.tenant,
                open: !closed,
            };
            self.handle(event, now);
        }
    }

    fn receive_written_files(&mut self, now: Instant) {
        let mut finished_writes = Vec::new();
        if let Some(writer) = self.file_writer() {
            finished_writes.extend(writer.finished_writes());
        }
        for finished in finished_writes {
            match finished.result {
                Ok(()) => {
                    self.saves += 1;
                    self.handle(Event::Saved(finished.job.sequence), now);
                }
                Err(error) => {
                    self.saves_failed += 1;
                    if self.saves_failed == 1 {
                        log::error!("loans: {error}; retrying twice a second");
                    }
                    self.retry_write = Some((now + RETRY_INTERVAL, finished.job));
                }
            }
        }
        if let Some((_, job)) = self.retry_write.take_if(|(due, _)| *due <= now) {
            self.write_file(job);
        }
    }

    /// Starts the lender once this process listens as a member and has the lock, and again after each change of its
    /// incarnation.
    fn start_if_due(&mut self, members: &Members, now: Instant) -> bool {
        let incarnation = members.incarnation();
        let is_running = self
            .running
            .as_ref()
            .is_some_and(|running| running.incarnation == incarnation);
        if is_running || !members.is_listening() || now < self.start_at {
            return false;
        }
        if let Some(previous) = self.running.take() {
            self.malformed += previous.lender.malformed();
        }
        match self.start_file_writer() {
            Ok((file_writer, file)) => {
                self.start(members, file_writer, file.as_deref(), now);
                true
            }
            Err(error) => {
                self.start_at = now + RETRY_INTERVAL;
                if !std::mem::replace(&mut self.start_error_logged, true) {
                    log::warn!("{error}");
                }
                false
            }
        }
    }

    fn start_file_writer(&self) -> Result<(Option<FileWriter>, Option<Vec<u8>>), StartError> {
        let Some(folder) = self.settings.state_file.as_deref() else {
            return Ok((None, None));
        };
        let waker = self.waker.try_clone().map_err(StartError::Thread)?;
        let (writer, file) = FileWriter::start(folder, waker)?;
        Ok((Some(writer), file))
    }

    fn start(
        &mut self,
        members: &Members,
        file_writer: Option<FileWriter>,
        file: Option<&[u8]>,
        now: Instant,
    ) {
        let incarnation = members.incarnation();
        let config = Config {
            lease: self.settings.lease,
            exchange_interval: self.settings.exchange_interval,
            max_loan_time: self.settings.max_loan_time,
            ..Config::new(members.name(), incarnation, file_writer.is_some())
        };
        let lender = Lender::new(&config, self.since_start(now), file);
        log::info!(
            "loans: lender started, {}",
            if file_writer.is_some() {
                "with a state file"
            } else {
                "without a state file: loans are not saved"
            }
        );
        self.running = Some(RunningLender {
            lender,
            incarnation,
            file_writer,
        });
        self.handle(Event::Timer(0), now);
    }

    fn handle(&mut self, event: Event<'_>, now: Instant) {
        let since_start = self.since_start(now);
        let Some(running) = &mut self.running else {
            return;
        };
        let mut actions = Vec::new();
        running.lender.handle(since_start, event, &mut actions);
        self.perform(actions, now);
    }

    fn perform(&mut self, actions: Vec<Action>, now: Instant) {
        for action in actions {
            match action {
                Action::Publish {
                    kind,
                    key,
                    body,
                    ttl,
                } => self.queued_messages.push(QueuedMessage {
                    kind,
                    key,
                    body,
                    ttl,
                }),
                Action::Save { sequence, bytes } => self.write_file(WriteJob { sequence, bytes }),
                Action::Timer { after, token } => self.timer = Some((now + after, token)),
                Action::Notice(notice) => log::warn!("loans: {notice}"),
            }
        }
    }

    fn file_writer(&self) -> Option<&FileWriter> {
        self.running.as_ref()?.file_writer.as_ref()
    }

    fn write_file(&mut self, job: WriteJob) {
        if let Some(writer) = self.file_writer() {
            writer.write(job);
        }
    }

    /// Reports finished writes of the state file to the lender, and publishes its messages.
    pub fn flush(&mut self, members: &mut Members, now: Instant) {
        self.receive_written_files(now);
        for message in self.queued_messages.drain(..) {
            members.publish(message.kind, message.key, message.body, message.ttl, now);
        }
    }
}

/// The lender's rule for a credit. `quota`: requests per second of the whole fleet.
fn lending_rule(credit: &Credit, quota: f64) -> Rule {
    Rule {
        limit_time: credit.credit_limit,
        quota: (quota * 1e3) as MilliRequests,
        term: credit.term,
        write_off: credit.write_off,
        floor: credit.floor,
        classes: credit.classes.clone(),
        max_rate: credit.rate.saturating_mul(REQUEST_COST),
    }
}
