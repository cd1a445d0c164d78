//! State of a router: servers, groups, open and queued requests, and estimates.
//!
//! Data only. The rules are `impl Router` blocks in their own modules; the comment of a field names the module that
//! maintains it in parentheses.

use crate::averages::decay;
use crate::interface::*;
use crate::repetition::ClassHistory;
use crate::slow_start_budget::{OfferedWork, SliceSpending};
use crate::tuning::{Tuning, MIN_SPAN};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Evidence of a server's role.
#[derive(Clone, Copy)]
pub(crate) struct RoleEvidence {
    pub(crate) is_primary: bool,
    /// Instant at which the server had this role.
    pub(crate) as_of: Time,
}

/// A read that a server rejected because its data was too old.
#[derive(Clone, Copy)]
pub(crate) struct StaleRejection {
    /// Log position that the read required.
    pub(crate) needed: Time,
    /// Arrival of the rejection.
    pub(crate) at: Time,
}

/// An attempt in flight, as stored with its server.
pub(crate) struct InFlight {
    pub(crate) class: ClassId,
    pub(crate) sent: Time,
    /// Number of attempts that were sent later and answered earlier.
    pub(crate) overtaken_by: u32,
}

/// A member of a group, with this router's knowledge of it.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) group: GroupId,
    pub(crate) zone: ZoneId,
    pub(crate) state: EndpointState,
    /// Discovery lists the server as the primary.
    pub(crate) listed_primary: bool,
    /// When this router received the update that the server is draining or removed (endpoints).
    pub(crate) draining_since: Option<Time>,
    pub(crate) started: Time,
    /// Newest evidence of the server's role (primary).
    pub(crate) role: Option<RoleEvidence>,
    /// Highest log position that the server reported: all commits up to it are applied (freshness).
    pub(crate) position: Option<Time>,
    /// When the position was last reported.
    pub(crate) position_reported: Time,
    pub(crate) stale_rejection: Option<StaleRejection>,
    /// When the server last answered an attempt or a probe.
    pub(crate) last_response: Option<Time>,
    pub(crate) probe_in_flight: bool,
    pub(crate) last_probed: Time,
    pub(crate) in_flight: BTreeMap<(RequestId, AttemptNumber), InFlight>,
    /// Moving average of the run time, by class; none before the first sample (estimates).
    pub(crate) run_time: Vec<Option<Duration>>,
    /// Most attempts of this router that the server may have at once (concurrency).
    pub(crate) concurrency_limit: f64,
    pub(crate) limit_reduced: Time,
    /// Moving average of latency divided by objective (concurrency).
    pub(crate) latency_ratio: f64,
    /// Moving average of latency (concurrency).
    pub(crate) latency: Duration,
    /// When both latency averages were last updated.
    pub(crate) latency_updated: Time,
    /// Consecutive hard failures (backoff).
    pub(crate) consecutive_failures: u32,
    pub(crate) backoff_until: Time,
    /// Factor on the server's budget while it warms up, at least 1 (slow_start).
    pub(crate) ramp_confidence: f64,
    /// Work that this router has sent to the server in the current slice of its slow start.
    pub(crate) slow_start_spent: SliceSpending,
}

impl Server {
    /// Lower bound of the server's present capacity, as a fraction of its full capacity.
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

/// A fraction of requests to admit, stored as its offset from 1 (admit all). Exists for each group and over all groups.
#[derive(Default)]
pub(crate) struct Admission {
    pub(crate) offset: f64,
    pub(crate) updated: Time,
}

/// The servers that hold the same data.
#[derive(Default)]
pub(crate) struct Group {
    pub(crate) members: Vec<ServerId>,
    /// Largest number of serving members so far. The group's load is meant for that many members.
    pub(crate) largest_size: usize,
    pub(crate) admission: Admission,
    /// Work offered by requests that any member may serve (index 0) and by requests that require the primary (index 1).
    pub(crate) offered_work: [OfferedWork; 2],
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
    /// Until when an answer counts with its full weight.
    pub(crate) objective_deadline: Time,
    /// Log position that a read of the request's session must see.
    pub(crate) session_position: Time,
    /// Number of attempts sent so far.
    pub(crate) attempts: u16,
    pub(crate) in_flight: Vec<(AttemptNumber, ServerId)>,
    /// The earliest ended attempt that may have taken effect.
    pub(crate) possible_effect: Option<PossibleEffect>,
    /// Members that rejected or failed the request; cleared when the queued request is dispatched again.
    pub(crate) avoided_servers: Vec<ServerId>,
    /// All members that the request was ever sent to.
    pub(crate) attempted_servers: Vec<ServerId>,
    pub(crate) is_queued: bool,
    /// When the request is dispatched again unless an event does so earlier.
    pub(crate) recheck_at: Option<Time>,
}

/// Purpose of a timer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The request's deadline: it gets its final answer.
    Deadline(RequestId),
    /// The queued request is dispatched again.
    Recheck(RequestId),
    /// The endpoint list is polled.
    PollEndpoints,
}

/// The decision module of one router: a pure state machine.
#[derive(Default)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) tuning: Tuning,
    /// Time of the event being handled.
    pub(crate) now: Time,
    pub(crate) random_state: u64,
    /// Seed of random numbers that stay the same for one request.
    pub(crate) hash_seed: u64,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Queued requests by group and time of arrival.
    pub(crate) queue: BTreeSet<(GroupId, Time, RequestId)>,
    /// Commit position of each session's last write (freshness).
    pub(crate) session_writes: BTreeMap<SessionKey, Time>,
    /// Writes up to this position may have been dropped from `session_writes`. Sessions without an entry there must see
    /// it.
    pub(crate) dropped_writes: Time,
    /// Versions of each class (repetition).
    pub(crate) class_histories: Vec<ClassHistory>,
    /// Moving average of each class's run time on an idle server (estimates).
    pub(crate) class_work: Vec<Duration>,
    /// Longest time left on arrival of a first request (not a retry), by class (expiry).
    pub(crate) longest_client_timeout: Vec<Duration>,
    pub(crate) timers: BTreeSet<(Time, TimerKind)>,
    /// When the timer of the host is due.
    pub(crate) host_timer: Option<Time>,
    pub(crate) tightest_objective: Duration,
    /// The tightest staleness bound of all classes; the tightest latency objective if no class bounds staleness.
    pub(crate) tightest_staleness_bound: Duration,
    /// Consecutive failed polls (endpoints).
    pub(crate) poll_failures: u32,
    /// Since when the router has used the cached list of the previous process (endpoints). Cleared by any response of
    /// discovery, and by a failed poll too: from then on the backoff of polls applies.
    pub(crate) cached_since: Option<Time>,
    /// Like `Server::ramp_confidence`, over all servers that warm up (slow_start).
    pub(crate) ramp_confidence: f64,
    pub(crate) ramp_confidence_updated: Time,
    /// Admission over all groups (admission).
    pub(crate) admission: Admission,
    /// Fraction of over-quota requests to admit (admission).
    pub(crate) over_quota_admission: f64,
    /// Moving average of the priority of arriving requests (admission).
    pub(crate) average_priority: f64,
    /// Mean age of a load report on arrival, measured by the positions of primaries (probing).
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

    /// Remaining fraction of an estimate that was last updated at `since`, from 0 to 1.
    pub(crate) fn decay_since(&self, since: Time) -> f64 {
        let time_constant = self
            .tightest_objective
            .mul_f64(self.tuning.estimate_time_constant);
        decay(self.now.since(since), time_constant)
    }

    /// 1 in a small fleet; in a large one less, in inverse proportion to the number of routers.
    pub(crate) fn fleet_share(&self) -> f64 {
        let small = self.tuning.small_fleet_size;
        small / f64::from(self.settings.router_count).max(small)
    }

    /// Whether the fleet is so large that a router sees too few answers to judge a server by its own attempts alone.
    pub(crate) fn is_large_fleet(&self) -> bool {
        self.fleet_share() < 1.0
    }
}
