//! Entry points of the state machine: construction, settings, events and timers. Each event is handled by the module
//! that owns its rule.

use crate::interface::*;
use crate::state::{Router, TimerKind};
use crate::tuning::{Tuning, DEFAULT_OBJECTIVE};
use std::time::Duration;

impl Router {
    /// Creates a router with these settings at `now`. The seed determines its random numbers.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Router {
        Router::with_tuning(settings, Tuning::default(), seed, now)
    }

    /// Same as [`Router::new`] with other constants, for experiments.
    pub fn with_tuning(settings: Settings, tuning: Tuning, seed: u64, now: Time) -> Router {
        let mut router = Router {
            tuning,
            now,
            random_state: seed,
            hash_seed: seed,
            ramp_confidence: 1.0,
            ramp_confidence_updated: now,
            over_quota_admission: 1.0,
            ..Router::default()
        };
        router.configure(settings, &[]);
        router
    }

    /// Applies new settings.
    ///
    /// Classes must keep their indexes, so that open requests keep the rules of their class. A class at a new index
    /// starts with the estimates of the class that `predecessors` contains at that index, if any; a shorter deduplication
    /// window applies to open requests of the predecessor too.
    ///
    /// Returns the requests whose repetitions are restricted by that: attempts of them that are not sent yet may come too
    /// late, and have to end as [`Outcome::NotSent`].
    pub fn configure(
        &mut self,
        settings: Settings,
        predecessors: &[Option<ClassId>],
    ) -> Vec<RequestId> {
        let former_rules = self.repeated_requests();
        self.tightest_objective = tightest_objective(&settings.classes);
        self.tightest_staleness_bound =
            tightest_staleness_bound(&settings.classes).unwrap_or(self.tightest_objective);
        for (index, class) in settings
            .classes
            .iter()
            .enumerate()
            .skip(self.class_work.len())
        {
            let predecessor = predecessors.get(index).copied().flatten();
            self.add_class(class, predecessor);
        }
        self.settings = settings;
        self.restricted_requests(former_rules)
    }

    fn add_class(&mut self, class: &Class, predecessor: Option<ClassId>) {
        self.add_class_history(class, predecessor);
        let predecessor = predecessor.map(|class| usize::from(class.0));
        self.class_work
            .push(predecessor.map_or(class.latency_objective, |index| self.class_work[index]));
        self.longest_client_timeout
            .push(predecessor.map_or(Duration::ZERO, |index| self.longest_client_timeout[index]));
        for server in self.servers.values_mut() {
            server
                .run_time
                .push(predecessor.and_then(|index| server.run_time[index]));
        }
    }

    /// Number of listed servers that get no requests at `now` because they are draining or backed off.
    pub fn unavailable_servers(&self, now: Time) -> usize {
        self.servers
            .values()
            .filter(|server| server.state != EndpointState::Removed)
            .filter(|server| server.is_draining() || server.is_backed_off(now))
            .count()
    }

    /// Sizes of the tables that requests and endpoint lists fill.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            servers: self.servers.len(),
            groups: self.groups.len(),
            open_requests: self.requests.len(),
            session_writes: self.session_writes.len(),
            timers: self.timers.len(),
        }
    }

    /// Handles one event and appends the resulting actions. `now` must not decrease from call to call.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Endpoints(update) => self.on_endpoint_update(update, actions),
            Event::RequestArrived(arrival) => self.on_arrival(arrival, actions),
            Event::AttemptEnded(ended) => self.on_attempt_ended(ended, actions),
            Event::ProbeEnded {
                server, ok, report, ..
            } => self.on_probe_ended(server, ok, report, actions),
            Event::ClientLeft(id) => self.remove_request(id),
            Event::Timer(_) => self.host_timer = None,
        }
        self.run_due_timers(actions);
        self.arm_host_timer(actions);
    }

    fn run_due_timers(&mut self, actions: &mut Vec<Action>) {
        while let Some(&(due, kind)) = self.timers.first().filter(|(due, _)| *due <= self.now) {
            self.timers.remove(&(due, kind));
            match kind {
                TimerKind::Deadline(id) => self.reject(id, actions),
                TimerKind::Recheck(id) => self.dispatch(id, actions),
                TimerKind::PollEndpoints => actions.push(Action::PollEndpoints),
            }
        }
    }

    /// The host keeps one timer, for the earliest entry of `timers`. It is only replaced if a new entry is due earlier.
    fn arm_host_timer(&mut self, actions: &mut Vec<Action>) {
        let next = self.timers.first().map(|&(due, _)| due);
        if let Some(due) = next.filter(|&due| self.host_timer.is_none_or(|set| due < set)) {
            actions.push(Action::Timer {
                after: due.since(self.now),
                token: TimerToken(0),
            });
            self.host_timer = Some(due);
        }
    }
}

fn tightest_objective(classes: &[Class]) -> Duration {
    let objectives = classes
        .iter()
        .map(|class| class.latency_objective)
        .filter(|objective| !objective.is_zero());
    objectives.min().unwrap_or(DEFAULT_OBJECTIVE)
}

fn tightest_staleness_bound(classes: &[Class]) -> Option<Duration> {
    let bounds = classes.iter().filter_map(|class| match class.consistency {
        Consistency::BoundedStaleness(bound) => Some(bound),
        _ => None,
    });
    bounds.filter(|bound| !bound.is_zero()).min()
}
