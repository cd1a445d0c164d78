//! Passes events of the pipeline and the event loop to the availability model and to the failover plan of sites.

use std::time::{Duration, Instant};

use availability::{AttemptOutcome, Availability, Event, LinkState, RejectionCause, Settings};
use routing::{
    Arrival, Endpoint, EndpointState, EndpointUpdate, GroupId, RequestId, ServerId, Time,
};
use site_failover::Event as SiteEvent;

use crate::clock::Clock;
use crate::cluster::sites::{self, Sites};
use crate::request::{Answer, CompletedExchange, ExchangeOutcome};
use crate::upstream::HealthSignal;

mod load;
mod status;

use load::LoadSampler;
pub use load::Usage;

/// Interval of [`Monitor::sample_load`].
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// The health of this proxy.
pub struct Monitor {
    model: Availability,
    /// Failover plan of sites, if the operators' file enables it.
    sites: Option<Sites>,
    /// Names of the platform's sites, by site number.
    site_names: Vec<String>,
    /// Time zero of the model and the plan.
    start: Instant,
    load: LoadSampler,
}

/// The outcome for the availability model. Any answer, even an error, shows that the server is alive.
fn attempt_outcome(outcome: &ExchangeOutcome) -> AttemptOutcome {
    match outcome {
        ExchangeOutcome::Served(_)
        | ExchangeOutcome::Reported(_)
        | ExchangeOutcome::Failed
        | ExchangeOutcome::InvalidResponse => AttemptOutcome::Answered,
        ExchangeOutcome::Misdirected | ExchangeOutcome::Rejected => AttemptOutcome::Rejected,
        ExchangeOutcome::ConnectFailed | ExchangeOutcome::Reset | ExchangeOutcome::TimedOut => {
            AttemptOutcome::Failed
        }
        ExchangeOutcome::Cancelled | ExchangeOutcome::NotSent => AttemptOutcome::Cancelled,
    }
}

/// The event for the failover plan at the end of an exchange; none if the proxy ended the exchange.
fn site_evidence(completed: &CompletedExchange) -> Option<SiteEvent> {
    let server = completed.server.0;
    match completed.outcome {
        // Includes exchanges that timed out while they waited for a connection.
        ExchangeOutcome::ConnectFailed => Some(SiteEvent::ConnectFailed { server }),
        ExchangeOutcome::Reset => Some(SiteEvent::Reset { server }),
        ExchangeOutcome::TimedOut => Some(SiteEvent::TimedOut { server }),
        ExchangeOutcome::Cancelled | ExchangeOutcome::NotSent => None,
        _ => Some(SiteEvent::Answered { server }),
    }
}

fn site_name(site_names: &[String], site: u16) -> &str {
    site_names
        .get(usize::from(site))
        .map_or("a place without a name", String::as_str)
}

impl Monitor {
    /// Creates a monitor. `sites`: settings of the failover plan, if enabled. `site_names`: names of sites, by site number.
    pub fn new(
        settings: Settings,
        sites: Option<site_failover::Settings>,
        site_names: Vec<String>,
        now: Instant,
    ) -> Monitor {
        Monitor {
            model: Availability::new(settings, Duration::ZERO),
            sites: sites.map(Sites::new),
            site_names,
            start: now,
            load: LoadSampler::new(now),
        }
    }

    fn since_start(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.start)
    }

    /// Passes an event to the availability model.
    pub fn handle(&mut self, now: Instant, event: Event) {
        self.model.handle(self.since_start(now), event);
    }

    fn handle_site_event(&mut self, now: Instant, event: SiteEvent) {
        let since_start = self.since_start(now);
        if let Some(sites) = &mut self.sites {
            let site_names = &self.site_names;
            sites.handle(since_start, event, |site| {
                site_name(site_names, site).to_owned()
            });
        }
    }

    /// Handles a complete endpoint update (`connected`), or the loss of the watch on the endpoint list.
    pub fn list_updated(&mut self, connected: bool, now: Instant) {
        self.handle_site_event(now, SiteEvent::ListUpdated { connected });
    }

    /// Handles exclusions and inclusions by operators, which the decision module receives as an endpoint update.
    pub fn servers_excluded(&mut self, update: &EndpointUpdate, now: Instant) {
        let EndpointUpdate::Changes(endpoints) = update else {
            return;
        };
        for endpoint in endpoints {
            let event = SiteEvent::ManualExclusion {
                server: endpoint.server.0,
                excluded: endpoint.state != EndpointState::Ready,
            };
            self.handle_site_event(now, event);
        }
    }

    /// Applies the settings of classes and tenants to the failover plan.
    pub fn configure(&mut self, settings: &routing::Settings) {
        if let Some(sites) = &mut self.sites {
            sites.configure(settings);
        }
    }

    /// Handles the arrival of a request. Returns the fraction of its kind to shed because a site is lost.
    pub fn request_arrived(&mut self, arrival: &Arrival, now: Instant) -> f64 {
        let group = arrival.group.0;
        self.handle(now, Event::RequestArrived { group });
        let since_start = self.since_start(now);
        self.sites
            .as_mut()
            .map_or(0.0, |sites| sites.record_request(since_start, arrival))
    }

    /// Handles the first attempt of a request, or its end without an attempt. `rejected`: it ended for lack of capacity.
    pub fn record_attempted_or_rejected(&mut self, id: RequestId, rejected: bool) {
        if let Some(sites) = &mut self.sites {
            sites.plan().record_outcome(id.0, rejected);
        }
    }

    /// Handles the disconnection of a request's client.
    pub fn client_left(&mut self, id: RequestId, group: GroupId, now: Instant) {
        if let Some(sites) = &mut self.sites {
            sites.plan().forget_request(id.0);
        }
        self.handle(now, Event::ClientLeft { group: group.0 });
    }

    /// Handles the start of an exchange with a record server; probes have no group.
    pub fn exchange_started(&mut self, group: Option<GroupId>, server: ServerId, now: Instant) {
        if let Some(group) = group {
            self.handle(now, Event::AttemptSent { group: group.0 });
        }
        self.handle(now, Event::ExchangeStarted { server: server.0 });
    }

    /// Handles the end of an exchange.
    pub fn exchange_ended(&mut self, completed: &CompletedExchange, now: Instant) {
        let outcome = attempt_outcome(&completed.outcome);
        if let Some(group) = completed.group {
            let event = Event::AttemptEnded {
                group: group.0,
                outcome,
                elapsed: completed.elapsed,
            };
            self.handle(now, event);
        }
        if let Some(evidence) = site_evidence(completed) {
            self.handle_site_event(now, evidence);
        }
        let since_start = self.since_start(now);
        if let Some(sites) = &mut self.sites {
            sites.record_end(since_start, completed);
        }
        // If an exchange never got a connection, the failed dial has already been reported.
        let contact = matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Rejected)
            || completed.outcome == ExchangeOutcome::Reset;
        let server = completed.server.0;
        self.handle(now, Event::ExchangeEnded { server, contact });
    }

    /// Handles a server's report of its position, a Unix time, and of whether it is the primary.
    pub fn role_reported(
        &mut self,
        server: ServerId,
        position: Option<Time>,
        primary: Option<bool>,
        clock: &Clock,
        now: Instant,
    ) {
        let (unix, since_start) = (clock.unix_time(now), self.since_start(now));
        let position =
            position.map(|at| (since_start + at.since(unix)).saturating_sub(unix.since(at)));
        let event = Event::RoleReported {
            server: server.0,
            position,
            primary,
        };
        self.handle(now, event);
    }

    /// Handles a signal of the connection pools.
    pub fn handle_signal(&mut self, signal: HealthSignal, now: Instant) {
        let event = match signal {
            HealthSignal::DialStarted(server) => Event::DialStarted { server: server.0 },
            HealthSignal::Responded(server) => Event::Contact { server: server.0 },
        };
        self.handle(now, event);
    }

    /// Handles an update of the endpoint list: new or changed `endpoints`, and servers `removed` from the list.
    pub fn endpoints_updated(
        &mut self,
        endpoints: &[Endpoint],
        removed: impl Iterator<Item = ServerId>,
        now: Instant,
    ) {
        for endpoint in endpoints {
            let event = Event::Endpoint {
                server: endpoint.server.0,
                site: endpoint.zone.0,
                group: endpoint.group.0,
                listed: endpoint.state != EndpointState::Removed,
            };
            self.handle(now, event);
            self.handle_site_event(now, sites::endpoint_event(endpoint));
        }
        for server in removed {
            let event = Event::Endpoint {
                server: server.0,
                site: 0,
                group: 0,
                listed: false,
            };
            self.handle(now, event);
            self.handle_site_event(now, sites::removal_event(server));
        }
    }

    /// A record server that should be dialled to determine whether its machine is reachable. The result is used only for the
    /// status reported to balancers.
    pub fn server_to_dial(&self, may_dial: impl Fn(ServerId) -> bool) -> Option<ServerId> {
        self.model
            .server_to_dial(|server| may_dial(ServerId(server)))
            .map(ServerId)
    }

    /// Handles an answer to a request, from the decision module or a record server.
    pub fn request_answered(&mut self, group: GroupId, write: bool, answer: &Answer, now: Instant) {
        let group = group.0;
        if write && !matches!(answer, Answer::Invalid(_)) {
            let served = matches!(answer, Answer::Served(_));
            self.handle(now, Event::WriteEnded { group, served });
        }
        self.load.record_answer(matches!(answer, Answer::Failed));
        let event = match answer {
            Answer::Served(_) => Event::RequestServed { group },
            Answer::Rejected(_) => Event::RequestRejected {
                group,
                cause: RejectionCause::Servers,
            },
            Answer::Failed => Event::RequestFailed { group },
            Answer::Cancelled | Answer::Invalid(_) => return,
        };
        self.handle(now, event);
    }

    /// Records a lag of the event loop: the time between two waits, or the delay of a timer.
    pub fn record_lag(&mut self, lag: Duration) {
        self.load.record_lag(lag);
    }

    /// Samples the proxy's load, and advances the time of the models.
    pub fn sample_load(&mut self, usage: Usage, now: Instant) {
        let load = self.load.sample(usage, now);
        self.handle(now, Event::Load(load));
        if self.sites.is_some() {
            self.handle_site_event(now, SiteEvent::LoopLag(load.lag));
            let links: Vec<(u16, LinkState)> = self.model.links().collect();
            for (site, link) in links {
                let cut = link == LinkState::Cut;
                self.handle_site_event(now, SiteEvent::LinkCut { site, cut });
            }
            self.handle_site_event(now, SiteEvent::Tick);
        }
    }
}
