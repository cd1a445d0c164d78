//! How far true time may be ahead of the process's clock, which was read once and may have been wrong then.
//!
//! The reasoning is in `docs/design/wall-clock.md`. Only this direction is estimated: with a clock that is behind, old data
//! would pass for fresh, while a clock that is ahead only asks for fresher data than needed.

use routing::{ServerId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// The clocks of all machines differ by at most this.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(1);
/// A load report may be as old as this when it is received.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// A lead of the system's clock that is no larger is no step.
const MIN_STEP: Duration = Duration::from_millis(50);
/// How long a lead counts that one server alone has reported.
const UNCONFIRMED_LIFETIME: Duration = Duration::from_secs(2);
/// How long such a lead can be confirmed by others.
const HINT_LIFETIME: Duration = Duration::from_secs(10);
/// So many agreeing reports of one server prove as much as those of two servers.
const REPORTS_OF_ONE_SERVER: u32 = 3;
/// So many contradictions by primaries in a row revoke a lead.
const CONTRADICTIONS_TO_REVOKE: u32 = 3;
/// Leads are rounded up to multiples of this, so that freshness needs do not change with each response.
const LEAD_STEP: Duration = Duration::from_millis(10);
/// Synchronised machines differ by about this much, which is no contradiction.
const JITTER: Duration = Duration::from_millis(20);

/// A position that a record server has reported. A true one is not ahead of true time.
#[derive(Clone, Copy, Debug)]
pub struct ReportedPosition {
    /// The server.
    pub server: ServerId,
    /// The position, a Unix time.
    pub position: Time,
    /// For a primary, whose position is the present: by the process's clock it was read no earlier than this.
    pub read_after: Option<Time>,
}

/// A lead that one server has reported and nothing supports yet.
#[derive(Clone, Copy, Debug)]
struct Hint {
    lead: Duration,
    reports: u32,
    at: Time,
}

/// Reports of primaries in a row that contradict the lead.
#[derive(Clone, Copy, Debug, Default)]
struct Contradiction {
    reports: u32,
    /// The largest lead that one of them allows.
    upper_bound: Duration,
}

/// The estimate of how far true time is ahead of the process's clock.
#[derive(Debug, Default)]
pub struct SkewEstimate {
    /// Supported by two sources.
    confirmed: Duration,
    /// The lead of the system's clock.
    system: Duration,
    /// That lead when primaries contradicted it.
    refuted_system: Option<Duration>,
    hints: BTreeMap<ServerId, Hint>,
    /// The largest unconfirmed lead, and until when it counts.
    unconfirmed: Option<(Duration, Time)>,
    contradiction: Contradiction,
}

impl SkewEstimate {
    /// Takes account of how far the system's clock is ahead now.
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

    /// Takes account of a server's position; `now` is the time of the process's clock.
    pub fn observe_position(&mut self, reported: ReportedPosition, now: Time) {
        let lead = round_up(reported.position.since(now));
        if lead > self.confirmed {
            self.observe_lead(reported.server, lead, now);
        }
        if let Some(since) = reported.read_after {
            self.observe_bounds(lead, round_up(reported.position.since(since)));
        }
    }

    /// Takes account of the position of a client's last write. Clients may send anything, so it only confirms a lead that
    /// something else supports.
    pub fn observe_client_write(&mut self, position: Time, now: Time) {
        let lead = round_up(position.since(now));
        let supported =
            || self.system_supports(lead) || self.supporting_hint(lead, None, now).is_some();
        if lead > self.confirmed && supported() {
            self.confirm(lead);
        }
    }

    /// How far true time may be ahead; needs for fresh data are computed with it.
    pub fn lead(&self, now: Time) -> Duration {
        let unconfirmed = self.unconfirmed_lead(now).unwrap_or_default();
        self.accepted_lead().max(unconfirmed)
    }

    /// The latest position that is believed.
    pub fn latest_position(&self, now: Time) -> Time {
        now.plus(self.confirmed).plus(MAX_CLOCK_DIFFERENCE)
    }

    /// The lead that counts until it is contradicted.
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

    /// A server's position is ahead of what is confirmed.
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

    /// The largest lead reported by a server other than `except` that agrees with this one.
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
            "clock: this process's clock is {} ms behind that of record servers",
            lead.as_millis()
        );
        self.confirmed = lead;
        self.unconfirmed = None;
        self.contradiction = Contradiction::default();
        self.hints.clear();
    }

    /// By a primary's report, true time is ahead by at least `least` and at most `most`.
    fn observe_bounds(&mut self, least: Duration, most: Duration) {
        if self.accepted_lead() <= most + JITTER {
            // A report with bounds far apart supports nothing.
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

    /// Drops what is beyond the bound that primaries allow.
    fn revoke_beyond(&mut self, upper_bound: Duration) {
        self.contradiction = Contradiction::default();
        self.confirmed = self.confirmed.min(upper_bound);
        if self.system > upper_bound {
            self.refuted_system = Some(self.system);
        }
        log::info!(
            "clock: primaries allow a lead of {} ms; what was beyond it is dropped",
            upper_bound.as_millis()
        );
    }
}

/// The next multiple of [`LEAD_STEP`].
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
