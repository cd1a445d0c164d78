//! A group of record servers, as this proxy's own requests show it.

use crate::latency::Latency;
use crate::{AttemptOutcome, Settings, Time};
use std::time::Duration;

/// The condition of a group, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// It serves.
    Serving,
    /// Its reads are served, and its writes are not.
    NoPrimary,
    /// It answers, but much is rejected or fails.
    Failing,
    /// It accepts requests and answers none.
    Hung,
    /// It can't be reached, or breaks all connections.
    Dead,
}

impl Condition {
    /// The word in health reports.
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
    /// Its condition.
    pub condition: Condition,
    /// When the condition began.
    pub since: Time,
    /// Its response time, as a multiple of the usual.
    pub slowness: f64,
    /// Part of its recent requests that were rejected or failed.
    pub unserved: f64,
}

#[derive(Debug)]
pub(crate) struct Group {
    condition: Condition,
    since: Time,
    /// When it last answered anything, or when the first of the attempts in flight was sent.
    silent_since: Time,
    /// Attempts in flight.
    in_flight: u32,
    /// Requests that wait for their answers, with or without an attempt in flight.
    open_requests: u32,
    /// Hard failures in a row, with no answer between, of attempts that were sent since it last answered.
    failures_in_row: u32,
    /// Answers in a row since it was last hung or dead.
    answers_in_row: u32,
    /// Writes in a row that were not served, and when the last of any write was.
    failed_writes_in_row: u32,
    write_ended_at: Time,
    latency: Latency,
    /// Decayed numbers of requests that were served and were not.
    served: f64,
    unserved: f64,
    decayed_at: Time,
    requested_at: Time,
}

/// Time constant of the counts of requests, in seconds.
const TIME_CONSTANT: f64 = 2.0;
/// Weight that stands for requests not seen yet: a first failure is no half of the traffic.
const PRIOR: f64 = 4.0;
/// Parts of a group's requests that are not served: above the first it fails, below the second no longer.
const FAILING_THRESHOLDS: (f64, f64) = (0.5, 0.25);
/// Writes in a row that were not served: a single one may have met a limit of its own.
const NO_PRIMARY_WRITES: u32 = 2;
/// Answers in a row after which a group is not dead or hung any more.
const RECOVERY_ANSWERS: u32 = 3;
/// A group is silent after so many times what its answers usually take.
const SILENCE_FACTOR: u32 = 4;
/// ... and after this time at most, since it is to be reported within a second; unless its answers usually take longer.
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

    /// The process was suspended: what the group owed before means nothing.
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
                // An attempt that was sent before the last answer and failed after it shows a fault of its connection alone.
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

    /// The group's traffic, in recent requests.
    pub fn traffic(&self, now: Time) -> f64 {
        // Attempts in flight are traffic too: otherwise a hung group would seem to get none.
        let keep =
            (-now.saturating_sub(self.decayed_at).as_secs_f64() / (5.0 * TIME_CONSTANT)).exp();
        (self.served + self.unserved) * keep + f64::from(self.in_flight.min(64)) * 0.1
    }

    /// Part of its requests that are not served.
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

    /// Judges the condition. A better one is kept back for the dwell time, `dwell_factor` times.
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
                // Only answers end these: a group without requests stays as it was last seen, for a while.
                Condition::Dead | Condition::Hung
                    if self.answers_in_row < RECOVERY_ANSWERS && self.idle(now) < EVIDENCE_TTL =>
                {
                    self.condition
                }
                Condition::Failing if failing > FAILING_THRESHOLDS.1 => Condition::Failing,
                _ if failing > FAILING_THRESHOLDS.0 => Condition::Failing,
                // Without writes it is not known for long.
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

/// What is known of a group without requests holds for so long.
const EVIDENCE_TTL: Duration = Duration::from_secs(20);
