//! Estimates the time by which true time may be ahead of the process's clock. That clock is set once, when the process
//! starts, and may have been set wrongly.
//!
//! The reasoning is in `docs/design/wall-clock.md`. Only this direction is estimated: with a clock that is behind,
//! stale data would be treated as fresh, while a clock that is ahead merely requires fresher data than needed.

use routing::{ServerId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum difference between the clocks of any two machines.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(1);
/// Maximum age of a load report when it is received.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// A lead of the system's clock counts as a step only if it is larger than this.
const MIN_STEP: Duration = Duration::from_millis(50);
/// Time for which a lead counts that only one server has reported.
const UNCONFIRMED_LIFETIME: Duration = Duration::from_secs(2);
/// Time within which a lead that only one server has reported can be confirmed by another source.
const HINT_LIFETIME: Duration = Duration::from_secs(10);
/// Number of agreeing reports of one server that confirm a lead like reports of two servers.
const REPORTS_OF_ONE_SERVER: u32 = 3;
/// Number of consecutive contradicting reports of primaries that revoke a lead.
const CONTRADICTIONS_TO_REVOKE: u32 = 3;
/// Leads are rounded up to multiples of this, so that freshness requirements do not change with each response.
const LEAD_STEP: Duration = Duration::from_millis(10);
/// Approximate difference between the clocks of synchronised machines, which does not count as a contradiction.
const JITTER: Duration = Duration::from_millis(20);

/// A position that a record server has reported. A correct position is not ahead of true time.
#[derive(Clone, Copy, Debug)]
pub struct ReportedPosition {
    /// The server.
    pub server: ServerId,
    /// The position, a Unix time.
    pub position: Time,
    /// For a primary, whose position is the current time: the earliest time, by the process's clock, at which the
    /// position was read.
    pub read_after: Option<Time>,
}

/// A lead that one server has reported and no other source supports yet.
#[derive(Clone, Copy, Debug)]
struct Hint {
    lead: Duration,
    reports: u32,
    at: Time,
}

/// Consecutive reports of primaries that contradict the lead.
#[derive(Clone, Copy, Debug, Default)]
struct Contradiction {
    reports: u32,
    /// The largest lead that one of these reports allows.
    upper_bound: Duration,
}

/// The estimate of how far true time is ahead of the process's clock.
#[derive(Debug, Default)]
pub struct SkewEstimate {
    /// The lead that is supported by two sources.
    confirmed: Duration,
    /// The lead of the system's clock; zero unless the clock has stepped.
    system: Duration,
    /// The lead of the system's clock at the time when primaries contradicted it.
    refuted_system: Option<Duration>,
    /// The latest unconfirmed lead of each server.
    hints: BTreeMap<ServerId, Hint>,
    /// The largest unconfirmed lead, and the time until which it counts.
    unconfirmed: Option<(Duration, Time)>,
    contradiction: Contradiction,
}

impl SkewEstimate {
    /// Updates the estimate with the current lead of the system's clock.
    pub fn observe_system_clock(&mut self, lead: Duration) {
        self.system = if lead > MIN_STEP {
            lead
        } else {
            Duration::ZERO
        };
        let refuted = self.refuted_system;
        if refuted.is_some_and(|refuted| lead.abs_diff(refuted) > MIN_STEP) {
            self.refuted_system = None;
        }
    }

    /// Updates the estimate with a server's position; `now` is the time of the process's clock.
    pub fn observe_position(&mut self, reported: ReportedPosition, now: Time) {
        let lead = round_up(reported.position.since(now));
        if lead > self.confirmed {
            self.observe_lead(reported.server, lead, now);
        }
        if let Some(since) = reported.read_after {
            self.observe_bounds(lead, round_up(reported.position.since(since)));
        }
    }

    /// Updates the estimate with the position of a client's last write. Clients may send arbitrary positions, so it
    /// only confirms a lead that another source supports.
    pub fn observe_client_write(&mut self, position: Time, now: Time) {
        let lead = round_up(position.since(now));
        let supported =
            || self.system_supports(lead) || self.supporting_hint(lead, None, now).is_some();
        if lead > self.confirmed && supported() {
            self.confirm(lead);
        }
    }

    /// The time by which true time may be ahead of the process's clock; used to compute freshness requirements.
    pub fn lead(&self, now: Time) -> Duration {
        let unconfirmed = self.unconfirmed_lead(now).unwrap_or_default();
        self.accepted_lead().max(unconfirmed)
    }

    /// The latest position that is accepted as plausible.
    pub fn latest_position(&self, now: Time) -> Time {
        now.plus(self.confirmed).plus(MAX_CLOCK_DIFFERENCE)
    }

    /// The lead that counts until primaries contradict it.
    fn accepted_lead(&self) -> Duration {
        let system = if self.refuted_system.is_some() {
            Duration::ZERO
        } else {
            self.system
        };
        self.confirmed.max(system)
    }

    fn unconfirmed_lead(&self, now: Time) -> Option<Duration> {
        self.unconfirmed
            .filter(|(_, until)| now < *until)
            .map(|(lead, _)| lead)
    }

    /// Handles a server's position that is ahead of the confirmed lead.
    fn observe_lead(&mut self, server: ServerId, lead: Duration, now: Time) {
        let before = self
            .hints
            .get(&server)
            .filter(|hint| is_recent(hint, now) && agree(hint.lead, lead));
        let reports = before.map_or(0, |hint| hint.reports) + 1;
        let other = self.supporting_hint(lead, Some(server), now);
        if reports >= REPORTS_OF_ONE_SERVER || other.is_some() || self.system_supports(lead) {
            return self.confirm(lead.max(other.unwrap_or_default()));
        }
        self.hints.retain(|_, hint| is_recent(hint, now));
        let hint = Hint {
            lead,
            reports,
            at: now,
        };
        self.hints.insert(server, hint);
        let largest = self.unconfirmed_lead(now).unwrap_or_default().max(lead);
        self.unconfirmed = Some((largest, now.plus(UNCONFIRMED_LIFETIME)));
    }

    /// The largest recent lead of a server other than `except` that agrees with `lead`.
    fn supporting_hint(
        &self,
        lead: Duration,
        except: Option<ServerId>,
        now: Time,
    ) -> Option<Duration> {
        self.hints
            .iter()
            .filter(|(server, _)| Some(**server) != except)
            .filter(|(_, hint)| is_recent(hint, now) && agree(hint.lead, lead))
            .map(|(_, hint)| hint.lead)
            .max()
    }

    fn system_supports(&self, lead: Duration) -> bool {
        !self.system.is_zero() && self.refuted_system.is_none() && agree(self.system, lead)
    }

    fn confirm(&mut self, lead: Duration) {
        log::warn!(
            "clock: the clock of this process is {} ms behind the clocks of record servers",
            lead.as_millis()
        );
        self.confirmed = lead;
        self.unconfirmed = None;
        self.contradiction = Contradiction::default();
        self.hints.clear();
    }

    /// Handles a primary's report, according to which true time is ahead by at least `least` and at most `most`.
    fn observe_bounds(&mut self, least: Duration, most: Duration) {
        if self.accepted_lead() <= most + JITTER {
            // A report whose bounds are far apart does not support the lead.
            if agree(least, most) {
                self.contradiction = Contradiction::default();
            }
            return;
        }
        let contradiction = &mut self.contradiction;
        contradiction.reports += 1;
        contradiction.upper_bound = contradiction.upper_bound.max(most);
        if contradiction.reports >= CONTRADICTIONS_TO_REVOKE {
            let upper_bound = contradiction.upper_bound;
            self.revoke_beyond(upper_bound);
        }
    }

    /// Reduces the lead to the upper bound that primaries allow.
    fn revoke_beyond(&mut self, upper_bound: Duration) {
        self.contradiction = Contradiction::default();
        self.confirmed = self.confirmed.min(upper_bound);
        if self.system > upper_bound {
            self.refuted_system = Some(self.system);
        }
        log::info!(
            "clock: estimated lead reduced to the {} ms that primaries allow",
            upper_bound.as_millis()
        );
    }
}

/// Rounds up to the next multiple of [`LEAD_STEP`].
fn round_up(lead: Duration) -> Duration {
    match lead.subsec_nanos() % LEAD_STEP.subsec_nanos() {
        0 => lead,
        over => lead.saturating_add(LEAD_STEP - Duration::from_nanos(over.into())),
    }
}

fn agree(a: Duration, b: Duration) -> bool {
    a.abs_diff(b) <= MAX_CLOCK_DIFFERENCE
}

fn is_recent(hint: &Hint, now: Time) -> bool {
    now.since(hint.at) < HINT_LIFETIME
}
