//! Route: the one place where the module is asked. It alone decides.

use mountshift::{Action, ClassId, Event, Router, Settings, Time};

pub struct Route {
    router: Router,
}

impl Route {
    pub fn new(settings: Settings, seed: u64, now: Time) -> Route {
        Route { router: Router::new(settings, seed, now) }
    }

    pub fn configure(&mut self, settings: Settings, heirs: &[Option<ClassId>]) {
        self.router.configure(settings, heirs);
    }

    /// Listed members that get nothing at present.
    pub fn avoided(&self, now: Time) -> usize {
        self.router.avoided(now)
    }

    pub fn decide(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        actions
    }
}
