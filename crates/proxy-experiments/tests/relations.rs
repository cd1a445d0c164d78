//! What must not change a day: other names, another order of tenants, classes and zones, worth in another coin.
//!
//! Clients draw tenants and classes by their order, so another order in the scenario is another day. Here the world keeps
//! its order, and the module alone is told another: the same requests come, under other numbers. Groups and servers are
//! known by their numbers to all proxies: which of a cold server's requests pass, and whom each proxy tries first, is
//! drawn by them. Other numbers there are another draw, so only the outcome has to be much the same.

use configuration::load::MemoryFiles;
use proxy_experiments::file::read;
use proxy_experiments::play::{play, play_with};
use proxy_experiments::policy::{Decider, Name, Policy, View};
use proxy_experiments::scenario::{FaultKind, Scenario, ScheduledFault, Target, ORIGIN, SECOND};
use proxy_experiments::tally::Outcomes;
use routing::{Action, ClassId, EndpointUpdate, Event, GroupId, Settings, TenantId, Time, ZoneId};
use std::path::Path;

/// Two draws of one day are no further apart in goodput.
const NEAR: f64 = 0.03;

/// A day of `lab/quota.conf` at an eighth of its size, with servers that start cold and a proxy that dies.
fn day() -> Scenario {
    let file = include_str!("../../../lab/quota.conf");
    let book = read(Path::new("a.conf"), &MemoryFiles::from([("a.conf", file)]))
        .unwrap_or_else(|f| panic!("{f}"));
    let mut day = book
        .scenarios
        .into_iter()
        .find(|s| s.name == "quota-six")
        .unwrap();
    day.site.groups = 3;
    let clients = &mut day.clients;
    (clients.groups, clients.length, clients.requests_per_s) =
        (3, 7 * SECOND, clients.requests_per_s / 8.0);
    clients.tenants.iter_mut().for_each(|t| t.quota /= 8.0);
    day.faults[0].at = SECOND;
    let trouble = |name: &str, at, what, targets| ScheduledFault {
        name: name.into(),
        at,
        span: 2 * SECOND,
        what,
        targets,
    };
    day.faults.extend([
        trouble("deaths", 2 * SECOND, FaultKind::Die, vec![Target::Place(1)]),
        trouble(
            "a proxy",
            3 * SECOND,
            FaultKind::ProxyDies,
            vec![Target::Proxies(1, 1)],
        ),
    ]);
    day
}

/// Where each number of the world's goes, by kind; what is not named keeps its own.
#[derive(Clone, Default)]
struct Map {
    classes: Vec<u16>,
    tenants: Vec<u16>,
    zones: Vec<u16>,
    groups: Vec<u32>,
    /// What servers' numbers are mixed with.
    stores: u32,
}

fn to<N: Copy>(map: &[N], at: usize, own: N) -> N {
    map.get(at).copied().unwrap_or(own)
}

fn moved<T: Clone>(list: &[T], map: &[u16]) -> Vec<T> {
    let mut out = list.to_vec();
    list.iter()
        .enumerate()
        .for_each(|(at, one)| out[usize::from(to(map, at, at as u16))] = one.clone());
    out
}

impl Map {
    fn settings(&self, set: Settings) -> Settings {
        let zone = ZoneId(to(&self.zones, set.zone.0.into(), set.zone.0));
        let (classes, tenants) = (
            moved(&set.classes, &self.classes),
            moved(&set.tenants, &self.tenants),
        );
        Settings {
            classes,
            tenants,
            zone,
            ..set
        }
    }

    fn event(&self, mut event: Event) -> Event {
        let group = |group: GroupId| GroupId(to(&self.groups, group.0 as usize, group.0));
        match &mut event {
            Event::RequestArrived(a) => {
                a.class = ClassId(to(&self.classes, a.class.0.into(), a.class.0));
                a.tenant = TenantId(to(&self.tenants, a.tenant.0.into(), a.tenant.0));
                a.group = group(a.group);
            }
            Event::AttemptEnded(ended) => ended.server.0 ^= self.stores,
            Event::ProbeEnded { server: store, .. } => store.0 ^= self.stores,
            Event::Endpoints(
                EndpointUpdate::Changes(list)
                | EndpointUpdate::Snapshot(list)
                | EndpointUpdate::Cached(list),
            ) => {
                for entry in list {
                    entry.server.0 ^= self.stores;
                    entry.zone = ZoneId(to(&self.zones, entry.zone.0.into(), entry.zone.0));
                    entry.group = group(entry.group);
                }
            }
            _ => {}
        }
        event
    }
}

/// The module, told of everything under other numbers; the planted one refuses what is first among the classes.
struct Mapped {
    inner: Box<dyn Decider>,
    map: Map,
    planted: bool,
}

impl Decider for Mapped {
    fn handle(&mut self, now: Time, event: Event, view: &mut dyn View, actions: &mut Vec<Action>) {
        match self.map.event(event) {
            Event::RequestArrived(arrival) if self.planted && arrival.class == ClassId(0) => {
                actions.push(Action::Reject {
                    id: arrival.id,
                    retry_after: None,
                });
            }
            event => self.inner.handle(now, event, view, actions),
        }
        for action in actions {
            if let Action::Send { server: store, .. } | Action::Probe { server: store } = action {
                store.0 ^= self.map.stores;
            }
        }
    }
}

fn told(day: &Scenario, map: &Map, worth: f64, planted: bool) -> Outcomes {
    let make = |proxy: usize,
                life: u32,
                streams: &simulation_engine::streams::Streams|
     -> Box<dyn Decider> {
        let seed = streams.seed("policy", proxy as u64 | u64::from(life) << 32);
        let mut settings = map.settings(day.settings(proxy));
        settings
            .classes
            .iter_mut()
            .for_each(|class| class.priority_weight *= worth);
        let inner = Policy::of(Name::Module).make(&settings, seed, Time::from_micros(ORIGIN));
        Box::new(Mapped {
            inner,
            map: map.clone(),
            planted,
        })
    };
    play_with(day, &make, 5)
}

#[test]
fn other_names_change_nothing() {
    let plain = day();
    let mut other = plain.clone();
    let odd = [
        "",
        " ",
        "'; DROP TABLE items; --",
        "काठमाडौं",
        "confirm",
        "confirm-ride-2",
        "a=b,c",
        "*/",
        "\u{0}",
    ];
    let clients = &mut other.clients;
    let kinds = clients.classes.iter_mut().map(|k| &mut k.name);
    let tenants = clients.tenants.iter_mut().map(|t| &mut t.name);
    let troubles = other.faults.iter_mut().map(|t| &mut t.name);
    let names = kinds
        .chain(tenants)
        .chain(troubles)
        .chain([&mut other.name]);
    names
        .zip(odd.iter().cycle())
        .for_each(|(name, odd)| *name = (*odd).into());
    let module = Policy::of(Name::Module);
    let (mut a, mut b) = (play(&plain, &module, 5), play(&other, &module, 5));
    assert!(
        !a.cold.is_empty() && a.whole.refused > 0,
        "the day decides nothing"
    );
    // Marks repeat the names of troubles, and nothing else does.
    assert_eq!(a.marks.len(), b.marks.len());
    (a.marks, b.marks) = (Vec::new(), Vec::new());
    assert_eq!(a, b);
}

#[test]
fn another_order_changes_nothing() {
    let day = day();
    let plain = told(&day, &Map::default(), 1.0, false);
    for (what, map) in [
        (
            "tenants",
            Map {
                tenants: vec![2, 0, 1],
                ..Map::default()
            },
        ),
        (
            "classes",
            Map {
                classes: vec![3, 0, 2, 1],
                ..Map::default()
            },
        ),
        (
            "zones",
            Map {
                zones: vec![7, 0],
                ..Map::default()
            },
        ),
    ] {
        assert!(
            told(&day, &map, 1.0, false) == plain,
            "{what} by another order, and the day differs"
        );
    }
}

/// Numbers by which all proxies draw alike: nothing but luck may go by them.
#[test]
fn other_numbers_of_groups_and_servers_serve_as_much() {
    let day = day();
    let plain = told(&day, &Map::default(), 1.0, false);
    for (what, map) in [
        (
            "groups",
            Map {
                groups: vec![4, 70_000, 9],
                ..Map::default()
            },
        ),
        (
            "servers",
            Map {
                stores: 0x5bd1_e995,
                ..Map::default()
            },
        ),
    ] {
        let other = told(&day, &map, 1.0, false);
        assert_eq!(other.whole.asked, plain.whole.asked);
        assert_eq!(
            (other.rules_broken(), plain.rules_broken()),
            (0, 0),
            "{what}"
        );
        let apart = other.goodput - plain.goodput;
        assert!(
            apart.abs() < NEAR,
            "{what} under other numbers: {apart} apart"
        );
    }
}

#[test]
fn worth_in_another_coin_changes_nothing() {
    let day = day();
    let plain = told(&day, &Map::default(), 1.0, false);
    // Powers of two: floats round alike then, and a draw can't fall on the other side.
    for times in [1.0 / 1024.0, 0.5, 8.0, 65_536.0] {
        assert!(
            told(&day, &Map::default(), times, false) == plain,
            "worth times {times}, and the day differs"
        );
    }
}

/// Who goes by a class's number is found out.
#[test]
fn a_planted_fault_shows() {
    let day = day();
    let map = Map {
        classes: vec![3, 0, 2, 1],
        ..Map::default()
    };
    assert!(told(&day, &Map::default(), 1.0, true) != told(&day, &map, 1.0, true));
}
