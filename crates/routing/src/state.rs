//! What a router knows: servers, groups, requests in flight and queued, and its estimates.
//!
//! Data only. The rules are `impl Router` blocks in their own modules; which module maintains a field is said at it.

use crate::averages::decay;
use crate::interface::*;
use crate::slow_start_budget::{SliceSpending, UsualWork};
use crate::tuning::{Tuning, MIN_SPAN};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Evidence of a server's role.
#[derive(Clone, Copy)]
pub(crate) struct RoleEvidence {
    pub(crate) is_primary: bool,
    /// When that was true.
    pub(crate) as_of: Time,
}

/// A read that a server rejected as too far behind.
#[derive(Clone, Copy)]
pub(crate) struct StaleRejection {
    /// The position that the read needed.
    pub(crate) needed: Time,
    /// When the rejection came.
    pub(crate) at: Time,
}

/// An attempt in flight, as kept with its server.
pub(crate) struct InFlight {
    pub(crate) class: ClassId,
    pub(crate) sent: Time,
    /// Attempts sent later and answered meanwhile.
    pub(crate) overtaken_by: u32,
}

/// A member of a group, as far as this router knows it.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) group: GroupId,
    pub(crate) zone: ZoneId,
    pub(crate) state: EndpointState,
    /// Discovery believes it to be the primary.
    pub(crate) listed_primary: bool,
    /// When this router learned that it drains or is removed (endpoints).
    pub(crate) draining_since: Option<Time>,
    pub(crate) started: Time,
    /// Newest evidence of its role (primary).
    pub(crate) role: Option<RoleEvidence>,
    /// All commits up to here are applied, by its own report (freshness).
    pub(crate) position: Option<Time>,
    /// When the position was last reported.
    pub(crate) position_reported: Time,
    pub(crate) stale_rejection: Option<StaleRejection>,
    /// Its last sign of life.
    pub(crate) last_heard: Option<Time>,
    pub(crate) probe_in_flight: bool,
    pub(crate) last_probed: Time,
    pub(crate) in_flight: BTreeMap<(RequestId, AttemptNumber), InFlight>,
    /// Moving average of run time, by class (estimates).
    pub(crate) run_time: Vec<Option<Duration>>,
    /// Own attempts that it is trusted to bear at once (concurrency).
    pub(crate) concurrency_limit: f64,
    pub(crate) limit_reduced: Time,
    /// Moving average of latency over objective (concurrency).
    pub(crate) latency_ratio: f64,
    /// Moving average of latency (concurrency).
    pub(crate) latency: Duration,
    /// When both averages were last updated.
    pub(crate) latency_updated: Time,
    /// Hard failures in a row (backoff).
    pub(crate) consecutive_failures: u32,
    pub(crate) backoff_until: Time,
    /// Factor on its budget while it warms up (slow_start).
    pub(crate) ramp_confidence: f64,
    /// What this router sent it in the present slice of its slow start.
    pub(crate) slow_start_spent: SliceSpending,
}

impl Server {
    /// The fraction of its full capacity that it has at least.
    pub(crate) fn capacity(&self, settings: &Settings, now: Time) -> f64 {
        let age = if self.started == Time::ZERO {
            Duration::MAX
        } else {
            now.since(self.started)
        };
        let warmth = age.div_duration_f64(settings.warm_up_duration.max(MIN_SPAN));
        let initial = settings.initial_capacity_fraction;
        (initial + (1.0 - initial) * warmth).min(1.0)
    }

    pub(crate) fn is_warming_up(&self, settings: &Settings, now: Time) -> bool {
        self.capacity(settings, now) < 1.0
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    pub(crate) fn is_backed_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }
}

/// A fraction of requests to admit, as its offset from 1 (all of them). A group's counts beside that of all groups.
#[derive(Default)]
pub(crate) struct Admission {
    pub(crate) offset: f64,
    pub(crate) updated: Time,
}

/// The servers that hold the same data.
#[derive(Default)]
pub(crate) struct Group {
    pub(crate) members: Vec<ServerId>,
    /// Most members that it had at once: its requests were meant for as many.
    pub(crate) largest_size: usize,
    pub(crate) admission: Admission,
    /// Work that usually comes: for any member, and for the primary alone (index 1).
    pub(crate) usual_work: [UsualWork; 2],
}

/// An attempt that may have taken effect. Ordered by the time sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PossibleEffect {
    pub(crate) sent: Time,
    pub(crate) server: ServerId,
}

/// An open request.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// Until when an answer earns its full weight.
    pub(crate) objective_deadline: Time,
    /// Position that a read of its session must see.
    pub(crate) session_position: Time,
    /// Attempts sent so far.
    pub(crate) attempts: u16,
    pub(crate) in_flight: Vec<(AttemptNumber, ServerId)>,
    /// The earliest ended attempt that may have taken effect.
    pub(crate) possible_effect: Option<PossibleEffect>,
    /// Members that rejected or failed it; forgotten at a recheck.
    pub(crate) avoided_servers: Vec<ServerId>,
    /// All members that it was ever sent to.
    pub(crate) attempted_servers: Vec<ServerId>,
    pub(crate) is_queued: bool,
    /// When it is looked at again if no event does it sooner.
    pub(crate) recheck_at: Option<Time>,
}

/// What a timer is for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The request has to be answered.
    Deadline(RequestId),
    /// The queued request is looked at again.
    Recheck(RequestId),
    /// The endpoint list is polled.
    PollEndpoints,
}

/// The decision module of one router: a pure state machine.
#[derive(Default)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) tuning: Tuning,
    /// Time of the event in hand.
    pub(crate) now: Time,
    pub(crate) random_state: u64,
    /// Seed of draws that stay the same for one request.
    pub(crate) hash_seed: u64,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Queued requests by group and time of arrival.
    pub(crate) queue: BTreeSet<(GroupId, Time, RequestId)>,
    /// Commit position of each session's last write (freshness).
    pub(crate) session_writes: BTreeMap<SessionKey, Time>,
    /// Writes up to here may have been dropped from `session_writes`; it binds every session that is not in there.
    pub(crate) dropped_writes: Time,
    /// Moving average of each class's time on an idle server (estimates).
    pub(crate) class_work: Vec<Duration>,
    /// The longest time that a first request of each class has had (expiry).
    pub(crate) longest_first_wait: Vec<Duration>,
    pub(crate) timers: BTreeSet<(Time, TimerKind)>,
    /// When the timer that the host was asked for fires.
    pub(crate) host_timer: Option<Time>,
    pub(crate) tightest_objective: Duration,
    /// The tightest latency objective where no class bounds staleness.
    pub(crate) tightest_staleness_bound: Duration,
    /// Failed polls in a row (endpoints).
    pub(crate) poll_failures: u32,
    /// Since when it goes by the cached list of the process before it (endpoints). Any answer of discovery ends that, a
    /// failed poll too: from then on the backoff of polls counts.
    pub(crate) cached_since: Option<Time>,
    /// `Server::ramp_confidence` over all servers that warm up (slow_start).
    pub(crate) ramp_confidence: f64,
    pub(crate) ramp_confidence_updated: Time,
    /// Admission over all groups (admission).
    pub(crate) admission: Admission,
    /// Fraction of over-quota requests to admit (admission).
    pub(crate) over_quota_admission: f64,
    /// Moving average of its requests' priority (admission).
    pub(crate) usual_priority: f64,
    /// Mean age of a load report on arrival, as the primaries' positions show it (probing).
    pub(crate) report_age: Duration,
}

impl Router {
    /// # Panics
    /// If the settings do not have the class.
    pub(crate) fn class(&self, class: ClassId) -> &Class {
        &self.settings.classes[usize::from(class.0)]
    }

    pub(crate) fn needs_primary(&self, class: ClassId) -> bool {
        matches!(
            self.class(class).consistency,
            Consistency::Write | Consistency::Strong
        )
    }

    pub(crate) fn members(&self, group: GroupId) -> &[ServerId] {
        self.groups
            .get(&group)
            .map_or(&[], |group| group.members.as_slice())
    }

    /// What is left of an estimate that was last updated at `since`.
    pub(crate) fn decay_since(&self, since: Time) -> f64 {
        let time_constant = self
            .tightest_objective
            .mul_f64(self.tuning.estimate_time_constant);
        decay(self.now.since(since), time_constant)
    }

    /// 1 in a small fleet; in a large one less, in proportion to the number of routers.
    pub(crate) fn fleet_share(&self) -> f64 {
        let small = self.tuning.small_fleet_size;
        small / f64::from(self.settings.router_count).max(small)
    }

    /// One of many routers sees too few answers to judge each server by its own attempts alone.
    pub(crate) fn is_large_fleet(&self) -> bool {
        self.fleet_share() < 1.0
    }
}
