//! The availability model: handles events and computes the report.

use std::collections::BTreeMap;
use std::time::Duration;

use health_state::State;

use crate::group::Group;
use crate::link::{LinkSettings, Links};
use crate::report::severity;
use crate::weight::{own_factor, reported_weight, shared_faults, Factor, SharedFaults};
use crate::{
    AttemptOutcome, Event, GroupState, LinkState, Load, Reason, RejectionCause, Report, Settings,
    Time,
};

/// Maximum number of groups; requests to further groups are ignored.
pub const GROUPS_LIMIT: usize = 256;
/// Changes of state within this time count as flapping.
const FLAPPING_WINDOW: Duration = Duration::from_secs(60);
/// At the limit of groups, one without requests for longer than this is replaced by a new one.
const GROUP_IDLE: Duration = Duration::from_secs(60);
/// Minimum interval between evaluations, except after urgent events.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of doublings of the dwell time.
const MAX_DOUBLINGS: u32 = 4;
/// Number of changes of state within [`FLAPPING_WINDOW`] up to which the dwell time is not doubled; each further change doubles it.
const CHANGES_WITHOUT_DOUBLING: usize = 4;
/// Minimum part of the traffic that is not served for which the proxy is degraded.
const MIN_DEGRADED_PART: f64 = 0.01;

fn link_settings(settings: &Settings) -> LinkSettings {
    LinkSettings {
        silence: settings.silence,
        list_late: settings.list_late,
        election: settings.election,
    }
}

/// The availability model of one proxy.
#[derive(Debug)]
pub struct Availability {
    settings: Settings,
    now: Time,
    started: bool,
    draining: bool,
    stopping: bool,
    discovery: bool,
    load: Load,
    groups: BTreeMap<u32, Group>,
    links: Links,
    /// The weight before rounding, which rises at a limited rate.
    weight: f64,
    /// When `weight` was computed.
    weight_at: Time,
    report: Report,
    /// Times of recent changes of state, oldest first.
    changes: Vec<Time>,
    evaluated_at: Time,
}

impl Availability {
    /// Creates a model of a proxy that has not started.
    pub fn new(settings: Settings, now: Time) -> Availability {
        Availability {
            settings,
            now,
            started: false,
            draining: false,
            stopping: false,
            discovery: true,
            load: Load::default(),
            groups: BTreeMap::new(),
            links: Links::new(),
            weight: 100.0,
            weight_at: now,
            report: Report {
                state: State::Starting,
                weight: 0,
                reason: Reason::None,
                since: now,
                slowness: 1.0,
                load: Load::default(),
                discovery: true,
            },
            changes: Vec::new(),
            evaluated_at: now,
        }
    }

    /// The current report.
    pub fn report(&self) -> &Report {
        &self.report
    }

    /// The state of a group.
    pub fn group(&self, group: u32) -> Option<GroupState> {
        self.groups.get(&group).map(Group::state)
    }

    /// The states of all groups.
    pub fn groups(&self) -> impl Iterator<Item = (u32, GroupState)> + '_ {
        self.groups.iter().map(|(id, group)| (*id, group.state()))
    }

    /// The state of the link to each site.
    pub fn links(&self) -> impl Iterator<Item = (u16, LinkState)> + '_ {
        self.links.states()
    }

    /// The state of the link to a site.
    pub fn link(&self, site: u16) -> Option<LinkState> {
        self.links.state(site)
    }

    /// A server that should be dialled now, if any: the outcome distinguishes a cut link from slow servers. The caller reports the dial
    /// with [`Event::DialStarted`].
    pub fn server_to_dial(&self, may_dial: impl Fn(u32) -> bool) -> Option<u32> {
        self.links.server_to_dial(may_dial)
    }

    /// Handles an event. The report is updated at once after urgent events, otherwise at most every 50 ms.
    pub fn handle(&mut self, now: Time, event: Event) {
        let now = now.max(self.now);
        if now - self.now > self.settings.suspension {
            self.on_suspension(now);
        }
        self.now = now;
        self.apply(now, event);
        if is_urgent(event) || now - self.evaluated_at >= EVALUATION_INTERVAL {
            self.evaluate();
        }
    }

    /// Discards the silence during a suspension: pending requests may have been answered meanwhile.
    fn on_suspension(&mut self, now: Time) {
        self.groups
            .values_mut()
            .for_each(|group| group.on_suspension(now));
        self.links.on_suspension(now);
    }

    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::Started => self.started = true,
            Event::Drain => self.draining = true,
            Event::Undrain => self.draining = false,
            Event::Stop => self.stopping = true,
            Event::Discovery { connected } => self.discovery = connected,
            Event::Load(load) => self.load = load.sanitized(),
            Event::Tick => {}
            _ => {
                self.apply_to_group(now, event);
                self.apply_to_links(now, event);
            }
        }
    }

    fn apply_to_group(&mut self, now: Time, event: Event) {
        match event {
            Event::RequestArrived { group } => {
                self.with_group(group, |group, _| group.request_arrived(now));
            }
            Event::ClientLeft { group } => {
                self.with_group(group, |group, _| group.client_left());
            }
            Event::AttemptSent { group } => {
                self.with_group(group, |group, _| group.attempt_sent(now));
            }
            Event::AttemptEnded {
                group,
                outcome,
                elapsed,
            } => self.with_group(group, |group, settings| {
                group.attempt_ended(outcome, elapsed, now, settings);
            }),
            Event::RequestServed { group } => {
                self.with_group(group, |group, _| group.request_ended(now, true));
            }
            Event::RequestFailed { group }
            | Event::RequestRejected {
                group,
                cause: RejectionCause::Servers,
            } => self.with_group(group, |group, _| group.request_ended(now, false)),
            Event::WriteEnded { group, served } => {
                self.with_group(group, |group, _| group.write_ended(served, now));
            }
            _ => {}
        }
    }

    fn apply_to_links(&mut self, now: Time, event: Event) {
        match event {
            Event::Endpoint {
                server,
                site,
                group,
                listed,
            } => self.links.set_endpoint(server, site, group, listed, now),
            Event::ListReceived => self.links.list_received(now),
            Event::ExchangeStarted { server } => self.links.exchange_started(server, now),
            Event::ExchangeEnded { server, contact } => {
                self.links.exchange_ended(server, contact, now);
            }
            Event::DialStarted { server } => self.links.dial_started(server, now),
            Event::Contact { server } => self.links.record_contact(server, now),
            Event::RoleReported {
                server,
                position,
                primary,
            } => {
                let settings = link_settings(&self.settings);
                self.links
                    .role_reported(server, position, primary, now, settings);
            }
            _ => {}
        }
    }

    fn with_group(&mut self, id: u32, act: impl FnOnce(&mut Group, &Settings)) {
        if !self.groups.contains_key(&id) {
            if self.groups.len() >= GROUPS_LIMIT && !self.remove_idle_group() {
                return;
            }
            self.groups.insert(id, Group::new(self.now));
        }
        if let Some(group) = self.groups.get_mut(&id) {
            act(group, &self.settings);
        }
    }

    /// Removes the group that has been idle the longest, if it has been idle for longer than [`GROUP_IDLE`].
    fn remove_idle_group(&mut self) -> bool {
        let now = self.now;
        let oldest = self
            .groups
            .iter()
            .filter(|(_, group)| group.idle(now) > GROUP_IDLE)
            .max_by_key(|(_, group)| group.idle(now))
            .map(|(id, _)| *id);
        oldest.is_some_and(|id| self.groups.remove(&id).is_some())
    }

    /// Computes the report.
    fn evaluate(&mut self) {
        let now = self.now;
        self.evaluated_at = now;
        let dwell_factor = self.dwell_factor();
        for group in self.groups.values_mut() {
            group.evaluate(now, &self.settings, dwell_factor);
        }
        self.links.evaluate(now, link_settings(&self.settings));
        let shared = shared_faults(&self.groups, now, self.settings.floor);
        let own = own_factor(&self.load, &shared, self.links.cut(now), &self.settings);
        self.update_weight(100.0 * own.value * shared.factor);
        let (state, weight) = self.state_and_weight(own, &shared);
        let reason = if own.value < shared.factor {
            own.reason
        } else {
            shared.reason
        };
        self.set_report(state, weight, reason, shared.slowness);
    }

    /// Moves the weight towards `target`: it falls at once, and rises by [`Settings::rise`] points per second.
    fn update_weight(&mut self, target: f64) {
        let elapsed = (self.now - self.weight_at).as_secs_f64();
        let risen = self.weight + self.settings.rise * elapsed;
        self.weight = if target < self.weight {
            target
        } else {
            risen.min(target)
        };
        self.weight_at = self.now;
    }

    fn state_and_weight(&self, own: Factor, shared: &SharedFaults) -> (State, u8) {
        if self.stopping {
            (State::Stopping, 0)
        } else if self.draining {
            (State::Draining, 0)
        } else if !self.started {
            (State::Starting, 0)
        } else {
            let weight = reported_weight(self.weight, own.reason, &self.settings);
            (self.serving_state(own, shared), weight)
        }
    }

    fn serving_state(&self, own: Factor, shared: &SharedFaults) -> State {
        let (enter, leave) = self.settings.overload;
        let is_overloaded = self.report.state == State::Overloaded;
        if own.value < if is_overloaded { leave } else { enter } {
            State::Overloaded
        } else if shared.unserved >= MIN_DEGRADED_PART {
            State::Degraded((shared.unserved * 100.0).round().clamp(1.0, 100.0) as u8)
        } else {
            State::Ready
        }
    }

    /// Sets the report. A better state is reported only after the dwell time of the previous one. Start, drain, undrain and stop take
    /// effect at once.
    fn set_report(&mut self, state: State, weight: u8, reason: Reason, slowness: f64) {
        let (now, previous) = (self.now, self.report.state);
        let is_better = state.serves() && previous.serves() && severity(state) < severity(previous);
        let is_held =
            is_better && now - self.report.since < self.settings.dwell * self.dwell_factor();
        let state = if is_held { previous } else { state };
        if std::mem::discriminant(&state) != std::mem::discriminant(&previous) {
            self.changes.push(now);
            self.report.since = now;
        }
        self.report = Report {
            state,
            weight,
            reason,
            since: self.report.since,
            slowness,
            load: self.load,
            discovery: self.discovery,
        };
    }

    /// Factor by which the dwell time is extended, from the number of recent changes of state.
    fn dwell_factor(&mut self) -> u32 {
        let now = self.now;
        self.changes.retain(|at| now - *at < FLAPPING_WINDOW);
        let further = self.changes.len().saturating_sub(CHANGES_WITHOUT_DOUBLING) as u32;
        1 << further.min(MAX_DOUBLINGS)
    }
}

/// Whether the report is updated at once after an event.
fn is_urgent(event: Event) -> bool {
    matches!(
        event,
        Event::Started
            | Event::Drain
            | Event::Undrain
            | Event::Stop
            | Event::Load(_)
            | Event::Tick
            | Event::AttemptEnded {
                outcome: AttemptOutcome::Failed,
                ..
            }
    )
}
