//! Route: the only place that calls the decision module. It alone decides where requests go.

use routing::{Action, ClassId, Consistency, Event, Router, Settings, Time};
use std::time::Duration;

/// The decision module, under settings that allow for the error of the clock.
pub struct Route {
    router: Router,
    /// As the platform states them.
    settings: Settings,
    /// How far true time may be ahead of the clock that the decision module goes by.
    lead: Duration,
}

impl Route {
    /// A decision module that knows no servers yet.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Route {
        Route {
            router: Router::new(settings.clone(), seed, now),
            settings,
            lead: Duration::ZERO,
        }
    }

    /// Applies new settings. `predecessors`: for each class id, the former class whose estimates a new class there starts with.
    pub fn configure(&mut self, settings: Settings, predecessors: &[Option<ClassId>]) {
        self.settings = settings;
        self.router.configure(
            reduce_staleness_bounds(&self.settings, self.lead),
            predecessors,
        );
    }

    /// Sets how far the clock may be behind: bounds on staleness are kept all the same.
    pub fn set_lead(&mut self, lead: Duration) {
        if lead != self.lead {
            self.lead = lead;
            self.router
                .configure(reduce_staleness_bounds(&self.settings, lead), &[]);
        }
    }

    /// Number of listed servers that get no requests at present.
    pub fn unavailable_count(&self, now: Time) -> usize {
        self.router.unavailable_servers(now)
    }

    /// Handles an event, and returns the actions that follow.
    pub fn decide(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        actions
    }
}

/// Subtracts `lead` from the bounds on staleness. A bound that is used up leaves only the primary.
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
