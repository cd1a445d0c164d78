//! Route: the one place where the module is asked. It alone decides.

use routing::{Action, ClassId, Consistency, Event, Router, Settings, Time};
use std::time::Duration;

pub struct Route {
    router: Router,
    /// As the platform has them.
    settings: Settings,
    /// How far true time may be ahead of the clock that the module goes by.
    lead: Duration,
}

impl Route {
    pub fn new(settings: Settings, seed: u64, now: Time) -> Route {
        Route {
            router: Router::new(settings.clone(), seed, now),
            settings,
            lead: Duration::ZERO,
        }
    }

    pub fn configure(&mut self, settings: Settings, heirs: &[Option<ClassId>]) {
        self.settings = settings;
        self.router
            .configure(under_lead(&self.settings, self.lead), heirs);
    }

    /// From now on bounds on the age of data are kept although the clock may be so far behind.
    pub fn set_lead(&mut self, lead: Duration) {
        if lead != self.lead {
            self.lead = lead;
            self.router.configure(under_lead(&self.settings, lead), &[]);
        }
    }

    /// Listed members that get nothing at present.
    pub fn avoided(&self, now: Time) -> usize {
        self.router.unavailable_servers(now)
    }

    pub fn decide(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        actions
    }
}

/// Bounds less the lead; a bound that it uses up leaves only the primary.
fn under_lead(settings: &Settings, lead: Duration) -> Settings {
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
