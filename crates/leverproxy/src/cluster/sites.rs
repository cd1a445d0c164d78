//! Host of [`site_failover::FailoverPlan`], if the operators' file configures sites: passes events of the health monitor
//! to the plan, and logs changes of sites' states.

use std::time::Duration;

use routing::{Arrival, Consistency, Endpoint, ServerId};
use site_failover::{
    Class, EndpointState, Event, FailoverPlan, QuotaStatus, Report, RequestKind, Settings,
};

use crate::request::{CompletedExchange, ExchangeOutcome};

mod metrics;
mod table;

/// Sites and their failover plan.
pub struct Sites {
    plan: FailoverPlan,
    /// Reports of all sites when changes were last logged.
    last_logged: Vec<Report>,
}

fn failover_class(class: &routing::Class) -> Class {
    Class {
        write: class.consistency == Consistency::Write,
        priority_weight: class.priority_weight,
        latency_objective: class.latency_objective,
    }
}

fn failover_quota_status(status: routing::QuotaStatus) -> QuotaStatus {
    match status {
        routing::QuotaStatus::WithinQuota => QuotaStatus::WithinQuota,
        routing::QuotaStatus::Borrowed => QuotaStatus::Borrowed,
        routing::QuotaStatus::OverQuota => QuotaStatus::OverQuota,
    }
}

impl Sites {
    /// Creates the plan. Sites are added by events.
    pub fn new(settings: Settings) -> Sites {
        Sites {
            plan: FailoverPlan::new(settings, true, Duration::ZERO),
            last_logged: Vec::new(),
        }
    }

    /// Applies the classes and tenants of the settings.
    pub fn configure(&mut self, settings: &routing::Settings) {
        let quotas = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .collect();
        self.plan.configure(
            settings.classes.iter().map(failover_class).collect(),
            quotas,
            settings.over_quota_weight_fraction,
        );
    }

    /// Records the arrival of a request. Returns the fraction of requests of its kind to shed, 0 to 1.
    pub fn record_request(&mut self, now: Duration, arrival: &Arrival) -> f64 {
        let kind = RequestKind {
            group: arrival.group.0,
            write: self.plan.is_write(arrival.class.0),
            class: arrival.class.0,
            tenant: arrival.tenant.0,
            quota_status: failover_quota_status(arrival.quota_status),
            is_retry: arrival.is_client_retry,
        };
        self.plan.record_request(now, arrival.id.0, kind)
    }

    /// The failover plan.
    pub fn plan(&mut self) -> &mut FailoverPlan {
        &mut self.plan
    }

    /// Records the end of an exchange. Answers within the latency objective show a site's capacity.
    pub fn record_end(&mut self, now: Duration, completed: &CompletedExchange) {
        if let (Some(class), Some(group), ExchangeOutcome::Served(_)) =
            (completed.class, completed.group, &completed.outcome)
        {
            self.plan
                .record_served(now, completed.server.0, group.0, class.0, completed.elapsed);
        }
    }

    /// Handles an event. Changes of state are logged with each tick; the dwell time keeps them rare.
    pub fn handle(&mut self, now: Duration, event: Event, name: impl Fn(u16) -> String) {
        self.plan.handle(now, event);
        if event == Event::Tick {
            self.log_changes(name);
        }
    }

    fn log_changes(&mut self, name: impl Fn(u16) -> String) {
        let reports: Vec<Report> = self.plan.reports().collect();
        for report in &reports {
            let previous = self
                .last_logged
                .iter()
                .find(|logged| logged.site == report.site)
                .map(|logged| logged.state);
            if previous.is_some_and(|previous| previous != report.state) {
                let (site, state, source) = (
                    name(report.site),
                    report.state.name(),
                    report.evidence.name(),
                );
                log::warn!(source; "sites: {site} is {state}");
            }
        }
        self.last_logged = reports;
    }
}

/// The event for an entry of the endpoint list.
pub fn endpoint_event(endpoint: &Endpoint) -> Event {
    Event::Endpoint {
        server: endpoint.server.0,
        site: endpoint.zone.0,
        state: match endpoint.state {
            routing::EndpointState::Ready => EndpointState::Ready,
            routing::EndpointState::Draining => EndpointState::Draining,
            routing::EndpointState::Removed => EndpointState::Removed,
        },
    }
}

/// The event for a server that was removed from the endpoint list.
pub fn removal_event(server: ServerId) -> Event {
    Event::Endpoint {
        server: server.0,
        site: 0,
        state: EndpointState::Removed,
    }
}
