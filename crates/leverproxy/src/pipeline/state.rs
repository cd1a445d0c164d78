//! The `Pipeline` type: its state, and settings that change while it runs.

use super::{admit, quota, route, route_rules};
use crate::clock::skew::SkewEstimate;
use crate::clock::{Clock, WallClock};
use crate::discovery::directory::Directory;
use crate::discovery::wire::EndpointList;
use crate::event_loop::memory::MemoryMeter;
use crate::health::monitor::Monitor;
use crate::observability::counters::Counters;
use crate::observability::log_rate_limit::LogRateLimit;
use maintenance::ManualExclusion;
use platform_settings::{ClassMapping, Names, PlatformSettings};
use routing::{ClassId, Consistency, RequestId, Settings, TableSizes};
use std::time::{Duration, Instant};

/// The stages and their shared state. All I/O is passed in with each call.
pub struct Pipeline {
    pub(super) clock: Clock,
    /// Bounds of the error of this host's clock.
    pub(super) clock_skew: SkewEstimate,
    pub(super) clock_checked_at: Option<Instant>,
    pub(super) names: Names,
    /// Maximum time of a request, by class.
    pub(super) deadlines: Vec<Duration>,
    /// Whether requests are writes, which only a primary accepts, by class.
    pub(super) write_classes: Vec<bool>,
    /// Whether an attempt may run beside another one of its request.
    pub(super) may_hedge: bool,
    pub(super) probe_timeout: Duration,
    pub(super) directory: Directory,
    /// Discovery has sent the endpoint list to this process, or confirmed that it has not changed.
    pub(super) list_confirmed: bool,
    pub(super) open_requests: admit::OpenRequests,
    pub(super) route: route::Route,
    pub(super) route_rules: route_rules::RouteRules,
    /// The quota stage.
    pub quota: quota::Quota,
    pub(super) rejection_log: LogRateLimit,
    pub(super) unreadable_log: LogRateLimit,
    /// Time at which the process ends, set when it is stopping; it limits the time of every request.
    pub(super) termination_deadline: Option<Instant>,
    /// Counters of requests and exchanges.
    pub counters: Counters,
    /// Health of the servers, the sites and this process.
    pub monitor: Monitor,
}

impl Pipeline {
    /// A pipeline without endpoints; [`Pipeline::load_endpoints`] adds them.
    pub fn new(
        platform: PlatformSettings,
        rules: route_rules::Rules,
        mut monitor: Monitor,
        seed: u64,
        probe_timeout: Duration,
        wall_clock: WallClock,
        now: Instant,
    ) -> Pipeline {
        let clock = Clock::start(wall_clock);
        let mut quota = quota::Quota::default();
        quota.configure(&platform, now);
        let PlatformSettings {
            settings,
            names,
            max_open,
            ..
        } = platform;
        monitor.configure(&settings);
        let mut counters = Counters::new(&names.classes);
        counters.goodput.configure(&settings);
        Pipeline {
            counters,
            monitor,
            rejection_log: LogRateLimit::default(),
            unreadable_log: LogRateLimit::default(),
            termination_deadline: None,
            names,
            deadlines: class_deadlines(&settings),
            write_classes: find_write_classes(&settings),
            may_hedge: settings.may_hedge,
            probe_timeout,
            directory: Directory::default(),
            list_confirmed: false,
            open_requests: admit::OpenRequests::new(max_open),
            route_rules: route_rules::RouteRules::new(rules),
            quota,
            route: route::Route::new(settings, seed, clock.unix_time(now)),
            clock,
            clock_skew: SkewEstimate::default(),
            clock_checked_at: None,
        }
    }

    /// Sets the meter in which the commands of open requests count.
    pub fn set_memory_meter(&mut self, memory: MemoryMeter) {
        self.open_requests.set_memory_meter(memory);
    }

    /// Applies new platform settings. Requests in flight and all estimates are kept. Returns the requests whose attempts
    /// must end as not sent if they are not sent yet.
    pub fn configure(
        &mut self,
        mapping: ClassMapping,
        probe_timeout: Duration,
        now: Instant,
    ) -> Vec<RequestId> {
        let ClassMapping {
            platform,
            predecessors,
            ..
        } = mapping;
        self.quota.configure(&platform, now);
        let PlatformSettings {
            settings,
            names,
            max_open,
            ..
        } = platform;
        self.counters.extend(&names.classes);
        self.counters.goodput.configure(&settings);
        self.deadlines = class_deadlines(&settings);
        self.write_classes = find_write_classes(&settings);
        self.may_hedge = settings.may_hedge;
        (self.names, self.probe_timeout) = (names, probe_timeout);
        self.open_requests.set_limit(max_open);
        self.monitor.configure(&settings);
        self.route.configure(settings, &predecessors)
    }

    /// Applies new route rules. Returns the previous rules, which may take long to drop.
    pub fn replace_route_rules(&mut self, rules: route_rules::Rules) -> route_rules::Rules {
        self.route_rules.replace(rules)
    }

    /// The route rules stage.
    pub fn route_rules(&self) -> &route_rules::RouteRules {
        &self.route_rules
    }

    /// Limits the time of every request that arrives from now on to the end of the process.
    pub fn set_termination_deadline(&mut self, deadline: Instant) {
        self.termination_deadline = Some(deadline);
    }

    /// Number of requests that have no final answer yet.
    pub fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }

    /// Number of client request ids that no new request may have.
    pub fn reserved_client_request_ids(&self) -> usize {
        self.open_requests.reserved_client_request_ids()
    }

    /// Sizes of the decision module's tables.
    pub fn routing_tables(&self) -> TableSizes {
        self.route.table_sizes()
    }

    /// Discovery's index of the endpoint list; none until discovery has sent a list to this process. A confirmation that
    /// the list has not changed does not count as a list.
    pub fn received_list_index(&self) -> Option<u64> {
        (self.counters.lists > 0).then(|| self.directory.index())
    }

    /// State for the new process of a hot restart: the endpoint list and the manual exclusions.
    pub fn handover_state(&self) -> (EndpointList, Vec<ManualExclusion>) {
        (self.directory.endpoint_list(), self.manual_exclusions())
    }

    /// The operators' manual exclusions.
    pub fn manual_exclusions(&self) -> Vec<ManualExclusion> {
        self.directory.maintenance().exclusions()
    }

    /// Number of endpoints in the list, and number of these that currently get no requests.
    pub fn endpoint_counts(&self, now: Instant) -> (usize, usize) {
        let listed = self.directory.maintenance().listed_count();
        (
            listed,
            self.route.unavailable_count(self.clock.unix_time(now)),
        )
    }

    /// Table of all sites for operators, or of the given site.
    pub fn site_report(&self, site: Option<&str>, now: Instant) -> String {
        let Names {
            classes, tenants, ..
        } = &self.names;
        self.monitor.site_table(site, [classes, tenants], now)
    }

    pub(super) fn is_write(&self, class: Option<ClassId>) -> bool {
        class
            .and_then(|class| self.write_classes.get(usize::from(class.0)))
            .copied()
            .unwrap_or(false)
    }
}

fn class_deadlines(settings: &Settings) -> Vec<Duration> {
    settings.classes.iter().map(|c| c.deadline).collect()
}

fn find_write_classes(settings: &Settings) -> Vec<bool> {
    let classes = settings.classes.iter();
    classes
        .map(|class| class.consistency == Consistency::Write)
        .collect()
}
