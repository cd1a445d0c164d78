//! One group of record servers, as this proxy's own requests show it.

use crate::latency::Latency;
use crate::{Ended, Settings, Time};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    Serving,
    /// Its reads are served, and its writes are not.
    NoPrimary,
    /// Much of what is asked of it is refused or fails, though it answers.
    Failing,
    /// It takes requests and answers none.
    Hung,
    /// It can't be reached, or breaks whatever is sent.
    Dead,
}

impl Condition {
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

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupState {
    pub condition: Condition,
    pub since: Time,
    pub slowness: f64,
    /// Part of its requests that were refused or failed of late.
    pub unserved: f64,
}

#[derive(Debug)]
pub(crate) struct Group {
    condition: Condition,
    since: Time,
    /// When it last answered anything, or began to owe an answer while owing none.
    heard: Time,
    /// Attempts out.
    owed: u32,
    /// Requests that wait for their answers, whether or not an attempt of theirs is out.
    waiting: u32,
    /// Broken in a row, with no answer between; of those that were sent since it last answered.
    broken: u32,
    /// Answers in a row since it was last hung or dead.
    good: u32,
    /// Writes in a row that were not served, and when the last of any write was.
    lost_writes: u32,
    written: Time,
    latency: Latency,
    /// Decayed numbers of requests that were served and were not.
    served: f64,
    unserved: f64,
    decayed: Time,
    asked: Time,
}

/// Requests are forgotten with this time constant.
const FORGET: f64 = 2.0;
/// Weight that stands for requests not seen yet: a first failure is no half of the traffic.
const PRIOR: f64 = 4.0;
/// Parts of a group's requests that are not served: above the first it fails, below the second no longer.
const FAILING: (f64, f64) = (0.5, 0.25);
/// Writes in a row that nobody took: one may have met a limit of its own.
const LOST_WRITES: u32 = 2;
/// Answers in a row that end a silence.
const PROOF: u32 = 3;
/// Times what its answers usually take that a silence lasts.
const LONG: u32 = 4;
/// No silence needs more than this, the aim being to tell within 1 s, unless its answers take longer as a rule: a silence
/// that is shorter than they take is none.
const LONGEST: Duration = Duration::from_millis(700);

impl Group {
    pub fn new(now: Time) -> Group {
        Group {
            condition: Condition::Serving,
            since: now,
            heard: now,
            owed: 0,
            waiting: 0,
            broken: 0,
            good: 0,
            lost_writes: 0,
            written: now,
            latency: Latency::new(now),
            served: 0.0,
            unserved: 0.0,
            decayed: now,
            asked: now,
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
        now.saturating_sub(self.asked)
    }

    /// Nobody has looked for a while: what it owed before says nothing.
    pub fn woke(&mut self, now: Time) {
        self.heard = now;
        self.broken = 0;
    }

    pub fn asked(&mut self, now: Time) {
        self.waiting = self.waiting.saturating_add(1);
        self.asked = now;
    }

    pub fn left(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    pub fn sent(&mut self, now: Time) {
        if self.owed == 0 {
            self.heard = now;
        }
        self.owed = self.owed.saturating_add(1);
        self.asked = now;
    }

    pub fn ended(&mut self, how: Ended, elapsed: Duration, now: Time, set: &Settings) {
        self.owed = self.owed.saturating_sub(1);
        match how {
            Ended::Answered | Ended::TurnedAway => {
                self.heard = now;
                self.broken = 0;
                self.good = self.good.saturating_add(1);
                if how == Ended::Answered {
                    self.latency.add(elapsed, now);
                }
            }
            Ended::Broken => {
                // One that was sent before the last answer and broke after it tells of its connection alone.
                if now.saturating_sub(elapsed) >= self.heard
                    || self.broken > 0
                    || elapsed < set.silence
                {
                    self.broken = self.broken.saturating_add(1);
                }
                self.good = 0;
            }
            Ended::CalledOff => {}
        }
    }

    /// A request had its final answer.
    pub fn answered(&mut self, now: Time, served: bool) {
        self.decay(now);
        self.left();
        self.asked = now;
        if served {
            self.served += 1.0;
        } else {
            self.unserved += 1.0;
        }
    }

    pub fn wrote(&mut self, served: bool, now: Time) {
        self.lost_writes = if served {
            0
        } else {
            self.lost_writes.saturating_add(1)
        };
        self.written = now;
    }

    fn decay(&mut self, now: Time) {
        let keep = (-now.saturating_sub(self.decayed).as_secs_f64() / FORGET).exp();
        self.served *= keep;
        self.unserved *= keep;
        self.decayed = now;
    }

    /// How much of the proxy's traffic is of this group, in requests of late.
    pub fn traffic(&self, now: Time) -> f64 {
        // What waits for an answer is traffic too: a hung group would else seem to lose interest.
        let keep = (-now.saturating_sub(self.decayed).as_secs_f64() / (5.0 * FORGET)).exp();
        (self.served + self.unserved) * keep + f64::from(self.owed.min(64)) * 0.1
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

    pub fn look(&mut self, now: Time, set: &Settings, damping: u32) {
        self.latency.turn(now);
        self.decay(now);
        let usual = self.latency.usual();
        let silence = (usual * LONG).clamp(set.silence, LONGEST.max(set.silence).max(usual));
        let quiet = now.saturating_sub(self.heard);
        let failing = self.unserved / (self.served + self.unserved + PRIOR);
        let found = if self.broken >= set.failures {
            Condition::Dead
        } else if self.owed > 0 && self.owed.max(self.waiting) >= set.owed && quiet >= silence {
            Condition::Hung
        } else {
            match self.condition {
                // Nothing but answers ends these: a group that nobody asks stays as it was last seen, for a while.
                Condition::Dead | Condition::Hung
                    if self.good < PROOF && self.idle(now) < FORGOTTEN =>
                {
                    self.condition
                }
                Condition::Failing if failing > FAILING.1 => Condition::Failing,
                _ if failing > FAILING.0 => Condition::Failing,
                // Of a group that nobody writes to it is not known for long.
                _ if self.lost_writes >= LOST_WRITES
                    && now.saturating_sub(self.written) < FORGOTTEN =>
                {
                    Condition::NoPrimary
                }
                _ => Condition::Serving,
            }
        };
        if found == self.condition {
            return;
        }
        let better = found < self.condition;
        if better && now.saturating_sub(self.since) < set.dwell * damping {
            return;
        }
        if found >= Condition::Hung {
            self.good = 0;
        }
        (self.condition, self.since) = (found, now);
    }
}

/// Of a group that nobody has asked for this long nothing is known any more.
const FORGOTTEN: Duration = Duration::from_secs(20);
