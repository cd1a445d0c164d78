//! Whom the oracle serves when tenants ask for more than their quota.

use configuration::load::MemoryFiles;
use proxy_experiments::file::read;
use proxy_experiments::play::play_with;
use proxy_experiments::policy::{Decider, Name, Policy, View};
use proxy_experiments::scenario::{Scenario, SECOND};
use proxy_experiments::tally::Outcomes;
use routing::{Action, Event, GroupId, RequestId, ServerId, Time};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// A day of `lab/quota.conf` at an eighth of its size, and its troubles early.
fn small(name: &str) -> Scenario {
    let file = include_str!("../../../lab/quota.conf");
    let book = read(Path::new("a.conf"), &MemoryFiles::from([("a.conf", file)]))
        .unwrap_or_else(|f| panic!("{f}"));
    let mut day = book.scenarios.into_iter().find(|s| s.name == name).unwrap();
    day.site.groups = 3;
    let clients = &mut day.clients;
    (clients.groups, clients.length, clients.requests_per_s) =
        (3, 13 * SECOND, clients.requests_per_s / 8.0);
    clients.tenants.iter_mut().for_each(|t| t.quota /= 8.0);
    day.faults
        .iter_mut()
        .for_each(|t| (t.at, t.span) = (2 * SECOND, 11 * SECOND));
    day
}

/// Who is told that all are within their quota.
struct Blind<'a>(&'a mut dyn View);

impl View for Blind<'_> {
    fn members(&self, group: GroupId) -> Vec<ServerId> {
        self.0.members(group)
    }
    fn primary(&mut self, group: GroupId) -> Option<ServerId> {
        self.0.primary(group)
    }
    fn answers(&self, store: ServerId) -> bool {
        self.0.answers(store)
    }
    fn load(&self, store: ServerId) -> f64 {
        self.0.load(store)
    }
    fn crowded(&self, store: ServerId) -> bool {
        self.0.crowded(store)
    }
    fn expected(&self, store: ServerId) -> Duration {
        self.0.expected(store)
    }
    fn position(&mut self, store: ServerId) -> Time {
        self.0.position(store)
    }
    fn within(&self, _: RequestId) -> bool {
        true
    }
    fn drawn(&self, _: RequestId) -> bool {
        true
    }
    fn bears(&self, store: ServerId) -> bool {
        self.0.bears(store)
    }
    fn spare(&self, store: ServerId) -> f64 {
        self.0.spare(store)
    }
}

#[derive(Default)]
struct Seen {
    beyond: AtomicUsize,
    /// Of these, those that took a server's last core.
    crowding: AtomicUsize,
}

/// The oracle, with someone who looks at what it sends.
struct Watched {
    oracle: Box<dyn Decider>,
    blind: bool,
    seen: Arc<Seen>,
}

impl Decider for Watched {
    fn handle(&mut self, now: Time, event: Event, view: &mut dyn View, actions: &mut Vec<Action>) {
        match self.blind {
            true => self.oracle.handle(now, event, &mut Blind(view), actions),
            false => self.oracle.handle(now, event, view, actions),
        }
        for action in actions.iter() {
            if let Action::Send {
                id, server: store, ..
            } = action
            {
                if !view.within(*id) {
                    self.seen.beyond.fetch_add(1, Relaxed);
                    self.seen
                        .crowding
                        .fetch_add(usize::from(view.spare(*store) < 1.0), Relaxed);
                }
            }
        }
    }
}

fn watched(day: &Scenario, blind: bool) -> (Outcomes, Arc<Seen>) {
    let seen = Arc::new(Seen::default());
    let make =
        |proxy: usize, _: u32, streams: &simulation_engine::streams::Streams| -> Box<dyn Decider> {
            let seed = streams.seed("policy", proxy as u64);
            let oracle = Policy::of(Name::Oracle).make(&day.settings(proxy), seed, Time::ZERO);
            Box::new(Watched {
                oracle,
                blind,
                seen: seen.clone(),
            })
        };
    (play_with(day, &make, 1), seen)
}

/// What is beyond gives way where servers are short, and an oracle that does not know it is found out twice.
#[test]
fn what_is_beyond_a_quota_never_takes_the_last_core() {
    for name in ["quota-six", "quota-sixty"] {
        let day = small(name);
        let (outcomes, seen) = watched(&day, false);
        assert_eq!(seen.crowding.load(Relaxed), 0, "{name}");
        assert!(seen.beyond.load(Relaxed) > 0, "{name}");
        assert!(
            outcomes.worst_span > 0.94,
            "{name}: {}",
            outcomes.worst_span
        );
        let (blind, seen) = watched(&day, true);
        assert!(seen.crowding.load(Relaxed) > 0, "{name}");
        assert!(
            blind.worst_span < outcomes.worst_span - 0.04,
            "{name}: {}",
            blind.worst_span
        );
    }
}

/// With servers to spare it is served.
#[test]
fn what_is_beyond_a_quota_is_served_where_there_is_room() {
    let (outcomes, seen) = watched(&small("beyond-but-ample"), false);
    let whole = outcomes.whole;
    assert!(
        seen.beyond.load(Relaxed) as u64 * 4 > whole.asked,
        "{whole:?}"
    );
    assert!(whole.served as f64 > 0.99 * whole.asked as f64, "{whole:?}");
}
