//! Route: the only stage that calls the decision module, which alone decides where requests go.

use routing::{Action, ClassId, Consistency, Event, RequestId, Router, Settings, TableSizes, Time};
use std::time::Duration;

/// The decision module, with settings adjusted for the clock error.
pub struct Route {
    router: Router,
    /// Settings of the platform, without the adjustment.
    settings: Settings,
    /// Maximum lag of the decision module's clock behind true time.
    lead: Duration,
}

impl Route {
    /// A decision module without servers.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Route {
        Route {
            router: Router::new(settings.clone(), seed, now),
            settings,
            lead: Duration::ZERO,
        }
    }

    /// Applies new settings. `predecessors`: for each class id, the previous class whose estimates the new class starts
    /// with. Returns the requests whose attempts must end as not sent if they are not sent yet.
    pub fn configure(
        &mut self,
        settings: Settings,
        predecessors: &[Option<ClassId>],
    ) -> Vec<RequestId> {
        self.settings = settings;
        self.router.configure(
            reduce_staleness_bounds(&self.settings, self.lead),
            predecessors,
        )
    }

    /// Sets the maximum lag of the clock behind true time. Staleness bounds are reduced by it, so that they hold anyway.
    pub fn set_lead(&mut self, lead: Duration) {
        if lead != self.lead {
            self.lead = lead;
            self.router
                .configure(reduce_staleness_bounds(&self.settings, lead), &[]);
        }
    }

    /// Number of listed servers that currently get no requests.
    pub fn unavailable_count(&self, now: Time) -> usize {
        self.router.unavailable_servers(now)
    }

    /// Sizes of the decision module's tables.
    pub fn table_sizes(&self) -> TableSizes {
        self.router.table_sizes()
    }

    /// Handles an event, and returns the resulting actions.
    pub fn decide(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        actions
    }
}

/// Subtracts `lead` from the staleness bounds. If nothing is left of a bound, only the primary may be read.
fn reduce_staleness_bounds(settings: &Settings, lead: Duration) -> Settings {
    let mut settings = settings.clone();
    for class in &mut settings.classes {
        class.consistency = match class.consistency {
            Consistency::BoundedStaleness(bound) if lead.is_zero() => {
                Consistency::BoundedStaleness(bound)
            }
            Consistency::BoundedStaleness(bound) if lead < bound => {
                Consistency::BoundedStaleness(bound - lead)
            }
            Consistency::BoundedStaleness(_) => Consistency::Strong,
            other => other,
        };
    }
    settings
}
