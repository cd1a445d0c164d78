//! The condition of a group of record servers, derived from this proxy's own requests.

use crate::latency::Latency;
use crate::{AttemptOutcome, Settings, Time};
use std::time::Duration;

/// The condition of a group, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// The group serves requests.
    Serving,
    /// The group serves reads but not writes.
    NoPrimary,
    /// The group answers, but many requests are rejected or fail.
    Failing,
    /// The group accepts requests but does not answer them.
    Hung,
    /// The group can't be reached, or closes all connections.
    Dead,
}

impl Condition {
    /// The condition's name in health reports.
    pub fn name(self) -> &'static str {
        match self {
            Condition::Serving => "serving",
            Condition::NoPrimary => "without a primary",
            Condition::Failing => "failing",
            Condition::Hung => "hung",
            Condition::Dead => "dead",
        }
    }
}

/// The state of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupState {
    /// The condition of the group.
    pub condition: Condition,
    /// When the condition began.
    pub since: Time,
    /// Latency of the group, as a multiple of the baseline.
    pub slowness: f64,
    /// Part of the group's recent requests that were rejected or failed, 0 to 1.
    pub unserved: f64,
}

#[derive(Debug)]
pub(crate) struct Group {
    condition: Condition,
    since: Time,
    /// When the group last answered, or when the first of the attempts in flight was sent, whichever is later.
    silent_since: Time,
    /// Number of attempts in flight.
    in_flight: u32,
    /// Number of requests without an answer, with or without an attempt in flight.
    open_requests: u32,
    /// Number of successive hard failures, without an answer in between, of attempts that were sent after the last answer.
    failures_in_row: u32,
    /// Number of successive answers since the group last became hung or dead.
    answers_in_row: u32,
    /// Number of successive writes that were not served.
    failed_writes_in_row: u32,
    /// When the last write ended.
    write_ended_at: Time,
    latency: Latency,
    /// Decaying count of requests that were served.
    served: f64,
    /// Decaying count of requests that were not served.
    unserved: f64,
    decayed_at: Time,
    requested_at: Time,
}

/// Time constant of the counts of requests, in seconds.
const TIME_CONSTANT: f64 = 2.0;
/// Number of served requests that is assumed in addition, so that a first failure does not count as half of the traffic.
const PRIOR: f64 = 4.0;
/// A group is failing when the part of its requests that is not served exceeds the first value, until it falls to the second.
const FAILING_THRESHOLDS: (f64, f64) = (0.5, 0.25);
/// Number of successive unserved writes after which a group has no primary: a single one may have failed for another reason.
const NO_PRIMARY_WRITES: u32 = 2;
/// Number of successive answers after which a group is no longer dead or hung.
const RECOVERY_ANSWERS: u32 = 3;
/// A group is hung after a silence of this many times its baseline latency.
const SILENCE_FACTOR: u32 = 4;
/// Upper bound of that silence, so that a hung group is reported within a second, unless its baseline latency is longer.
const MAX_SILENCE: Duration = Duration::from_millis(700);

impl Group {
    pub fn new(now: Time) -> Group {
        Group {
            condition: Condition::Serving,
            since: now,
            silent_since: now,
            in_flight: 0,
            open_requests: 0,
            failures_in_row: 0,
            answers_in_row: 0,
            failed_writes_in_row: 0,
            write_ended_at: now,
            latency: Latency::new(now),
            served: 0.0,
            unserved: 0.0,
            decayed_at: now,
            requested_at: now,
        }
    }

    pub fn state(&self) -> GroupState {
        let (condition, since) = (self.condition, self.since);
        GroupState {
            condition,
            since,
            slowness: self.slowness(),
            unserved: self.unserved(),
        }
    }

    pub fn idle(&self, now: Time) -> Duration {
        now.saturating_sub(self.requested_at)
    }

    /// Discards silence and failures: during a suspension of the process no answers were read.
    pub fn on_suspension(&mut self, now: Time) {
        self.silent_since = now;
        self.failures_in_row = 0;
    }

    pub fn request_arrived(&mut self, now: Time) {
        self.open_requests = self.open_requests.saturating_add(1);
        self.requested_at = now;
    }

    pub fn client_left(&mut self) {
        self.open_requests = self.open_requests.saturating_sub(1);
    }

    pub fn attempt_sent(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight = self.in_flight.saturating_add(1);
        self.requested_at = now;
    }

    pub fn attempt_ended(
        &mut self,
        outcome: AttemptOutcome,
        elapsed: Duration,
        now: Time,
        settings: &Settings,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Rejected => {
                self.silent_since = now;
                self.failures_in_row = 0;
                self.answers_in_row = self.answers_in_row.saturating_add(1);
                if outcome == AttemptOutcome::Answered {
                    self.latency.add(elapsed, now);
                }
            }
            AttemptOutcome::Failed => {
                // An attempt that was sent before the last answer and failed after it indicates a fault of its connection only.
                if now.saturating_sub(elapsed) >= self.silent_since
                    || self.failures_in_row > 0
                    || elapsed < settings.silence
                {
                    self.failures_in_row = self.failures_in_row.saturating_add(1);
                }
                self.answers_in_row = 0;
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    /// A request has ended.
    pub fn request_ended(&mut self, now: Time, served: bool) {
        self.decay(now);
        self.client_left();
        self.requested_at = now;
        if served {
            self.served += 1.0;
        } else {
            self.unserved += 1.0;
        }
    }

    pub fn write_ended(&mut self, served: bool, now: Time) {
        self.failed_writes_in_row = if served {
            0
        } else {
            self.failed_writes_in_row.saturating_add(1)
        };
        self.write_ended_at = now;
    }

    fn decay(&mut self, now: Time) {
        let keep = (-now.saturating_sub(self.decayed_at).as_secs_f64() / TIME_CONSTANT).exp();
        self.served *= keep;
        self.unserved *= keep;
        self.decayed_at = now;
    }

    /// The group's recent traffic, as a decaying count of requests.
    pub fn traffic(&self, now: Time) -> f64 {
        // Attempts in flight count as traffic too: otherwise a hung group would appear to have none.
        let keep =
            (-now.saturating_sub(self.decayed_at).as_secs_f64() / (5.0 * TIME_CONSTANT)).exp();
        (self.served + self.unserved) * keep + f64::from(self.in_flight.min(64)) * 0.1
    }

    /// Part of the group's requests that are not served, 0 to 1.
    pub fn unserved(&self) -> f64 {
        match self.condition {
            Condition::Hung | Condition::Dead => 1.0,
            Condition::Failing | Condition::NoPrimary => {
                self.unserved / (self.served + self.unserved + PRIOR)
            }
            Condition::Serving => 0.0,
        }
    }

    pub fn slowness(&self) -> f64 {
        match self.condition {
            Condition::Hung | Condition::Dead => 1.0,
            _ => self.latency.slowness(),
        }
    }

    /// Updates the condition. A better one takes effect only after the dwell time, extended by `dwell_factor`.
    pub fn evaluate(&mut self, now: Time, settings: &Settings, dwell_factor: u32) {
        self.latency.rotate(now);
        self.decay(now);
        let found = self.find_condition(now, settings);
        if found == self.condition {
            return;
        }
        let is_better = found < self.condition;
        if is_better && now.saturating_sub(self.since) < settings.dwell * dwell_factor {
            return;
        }
        if found >= Condition::Hung {
            self.answers_in_row = 0;
        }
        (self.condition, self.since) = (found, now);
    }

    fn find_condition(&self, now: Time, settings: &Settings) -> Condition {
        let baseline = self.latency.baseline();
        let silence = (baseline * SILENCE_FACTOR).clamp(
            settings.silence,
            MAX_SILENCE.max(settings.silence).max(baseline),
        );
        let silent_for = now.saturating_sub(self.silent_since);
        let failing = self.unserved / (self.served + self.unserved + PRIOR);
        if self.failures_in_row >= settings.dead_failures {
            Condition::Dead
        } else if self.in_flight > 0
            && self.in_flight.max(self.open_requests) >= settings.min_pending
            && silent_for >= silence
        {
            Condition::Hung
        } else {
            match self.condition {
                // Only answers end these conditions: a group without requests keeps its condition until the evidence expires.
                Condition::Dead | Condition::Hung
                    if self.answers_in_row < RECOVERY_ANSWERS && self.idle(now) < EVIDENCE_TTL =>
                {
                    self.condition
                }
                Condition::Failing if failing > FAILING_THRESHOLDS.1 => Condition::Failing,
                _ if failing > FAILING_THRESHOLDS.0 => Condition::Failing,
                // Without further writes the evidence expires.
                _ if self.failed_writes_in_row >= NO_PRIMARY_WRITES
                    && now.saturating_sub(self.write_ended_at) < EVIDENCE_TTL =>
                {
                    Condition::NoPrimary
                }
                _ => Condition::Serving,
            }
        }
    }
}

/// Time after which the evidence about a group without requests or writes expires.
const EVIDENCE_TTL: Duration = Duration::from_secs(20);
