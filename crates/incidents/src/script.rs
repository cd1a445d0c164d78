//! Incidents: what goes wrong, when, and what of it is true of which proxy.

use crate::balancer::{HealthProtocol, Settings};
use crate::Time;
use std::time::Duration;

/// What a group of record servers does with what it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Servers {
    /// Answers, times as slow as usual.
    Answer(f64),
    /// Answers no write for want of a primary; reads are served.
    NoPrimary,
    /// Takes requests and answers none.
    Silent,
    /// Refuses connections.
    Dead,
}

/// A change in a scripted incident.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// One group behaves so from now on.
    Group(u32, Servers),
    /// All groups behave so from now on.
    AllGroups(Servers),
    /// A proxy's loop is late by this.
    Lag(usize, Duration),
    /// Part of a proxy's descriptors in use beyond what its requests take.
    Descriptors(usize, f64),
    /// All proxies get so many times the usual requests.
    Demand(f64),
    /// An operator drains a proxy.
    Drain(usize),
    /// An operator puts a proxy back into service.
    Undrain(usize),
    /// Whether a proxy hears discovery.
    Discovery(usize, bool),
    /// Nothing of a proxy moves for so long.
    Stall(usize, Duration),
    /// The link from a proxy to a building stands, or nothing passes it.
    Link(usize, u16, bool),
    /// The buildings' own link to each other.
    Apart(bool),
    /// A building has power. Without it its machines say nothing, the list drops them after a while, and groups whose
    /// primary was there find another in the other building; with it they are back.
    Power(u16, bool),
    /// The servers of a building take requests and answer none.
    HungBuilding(u16, bool),
}

/// Buildings; every group has two members in each.
pub const PLACES: u16 = 2;

/// A scripted incident: what goes wrong, when, and who may be out of service for it.
#[derive(Clone, Debug)]
pub struct Incident {
    /// Its name.
    pub name: &'static str,
    /// What happens, in a sentence.
    pub about: &'static str,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of groups.
    pub groups: u32,
    /// Requests a second, to all proxies together.
    pub requests_per_s: f64,
    /// How long it is played.
    pub length: Duration,
    /// What changes, in the order of time.
    pub changes: Vec<(Time, Change)>,
    /// The balancers in front of the proxies.
    pub balancers: Vec<Settings>,
    /// When the trouble is there, and which proxies may truly be told to be out of service meanwhile.
    pub fault_window: (Time, Time),
    /// Proxies that may be reported out of service during the fault.
    pub may_be_out: Vec<usize>,
}

const S: Duration = Duration::from_secs(1);

fn agent(interval_ms: u64) -> Settings {
    Settings {
        name: "agent",
        protocol: HealthProtocol::Agent,
        interval: Duration::from_millis(interval_ms),
        rise: 2,
        fall: 3,
    }
}

fn http(interval_ms: u64, disable_on_404: bool) -> Settings {
    Settings {
        name: "http",
        protocol: HealthProtocol::Http { disable_on_404 },
        interval: Duration::from_millis(interval_ms),
        rise: 2,
        fall: 3,
    }
}

/// All of them, each of 90 s with its trouble between 30 and 60 s unless it says otherwise.
pub fn all() -> Vec<Incident> {
    let base = Incident {
        name: "",
        about: "",
        proxies: 3,
        groups: 4,
        requests_per_s: 240.0,
        length: 90 * S,
        changes: Vec::new(),
        balancers: vec![agent(1_000), http(2_000, true)],
        fault_window: (30 * S, 60 * S),
        may_be_out: Vec::new(),
    };
    let (from, to) = base.fault_window;
    let usual = Servers::Answer(1.0);
    let flaps = (0..30).map(|n| {
        let what = if n % 2 == 0 { Servers::Dead } else { usual };
        (from + S * n, Change::Group(1, what))
    });
    vec![
        Incident {
            name: "primary-dies",
            about: "the primary of one of four groups dies; a replica takes over after 5 s",
            changes: vec![
                (from, Change::Group(1, Servers::NoPrimary)),
                (from + 5 * S, Change::Group(1, usual)),
            ],
            fault_window: (from, from + 5 * S),
            ..base.clone()
        },
        Incident {
            name: "group-hung",
            about: "one of four groups takes requests and answers none",
            changes: vec![(from, Change::Group(1, Servers::Silent)), (to, Change::Group(1, usual))],
            ..base.clone()
        },
        Incident {
            name: "group-dead",
            about: "one of four groups can't be reached",
            changes: vec![(from, Change::Group(1, Servers::Dead)), (to, Change::Group(1, usual))],
            ..base.clone()
        },
        Incident {
            name: "all-slow",
            about: "all record servers take three times as long",
            changes: vec![(from, Change::AllGroups(Servers::Answer(3.0))), (to, Change::AllGroups(usual))],
            ..base.clone()
        },
        Incident {
            name: "all-dead",
            about: "no record server can be reached",
            changes: vec![(from, Change::AllGroups(Servers::Dead)), (to, Change::AllGroups(usual))],
            ..base.clone()
        },
        Incident {
            name: "own-loop-late",
            about: "the loop of one of three proxies is 300 ms late",
            changes: vec![(from, Change::Lag(0, S * 3 / 10)), (to, Change::Lag(0, Duration::ZERO))],
            ..base.clone()
        },
        Incident {
            name: "descriptors",
            about: "a crowd takes the descriptors of one of three proxies",
            changes: vec![(from, Change::Descriptors(0, 1.0)), (to, Change::Descriptors(0, 0.0))],
            ..base.clone()
        },
        Incident {
            name: "drain-in-overload",
            about:
                "one proxy is drained while all get three times the requests and servers are twice as slow",
            changes: vec![
                (from - 5 * S, Change::Demand(3.0)),
                (from - 5 * S, Change::AllGroups(Servers::Answer(2.0))),
                (from, Change::Drain(0)),
                (to, Change::Undrain(0)),
                (to + 5 * S, Change::Demand(1.0)),
                (to + 5 * S, Change::AllGroups(usual)),
            ],
            may_be_out: vec![0],
            ..base.clone()
        },
        Incident {
            name: "flapping",
            about: "one group dies and comes back every second",
            changes: flaps.collect(),
            ..base.clone()
        },
        Incident {
            name: "no-discovery",
            about: "one proxy can't hear discovery, and serves",
            changes: vec![(from, Change::Discovery(0, false)), (to, Change::Discovery(0, true))],
            ..base.clone()
        },
        Incident {
            name: "stall",
            about: "one proxy stands still for 4 s, as after a jump of its machine's clock",
            changes: vec![(from, Change::Stall(0, 4 * S))],
            fault_window: (from, from + 4 * S),
            may_be_out: vec![0],
            ..base.clone()
        },
        Incident {
            name: "link-cut",
            about: "one of three proxies loses its link to one of two buildings",
            changes: vec![(from, Change::Link(0, 1, false)), (to, Change::Link(0, 1, true))],
            ..base.clone()
        },
        Incident {
            name: "building-dies",
            about: "one of two buildings loses its power",
            changes: vec![(from, Change::Power(1, false)), (to, Change::Power(1, true))],
            ..base.clone()
        },
        Incident {
            name: "buildings-apart",
            about: "the two buildings lose their link, proxies stand in both; discovery is heard",
            changes: vec![
                (from, Change::Apart(true)),
                (from, Change::Link(0, 1, false)),
                (from, Change::Link(1, 0, false)),
                (from, Change::Link(2, 1, false)),
                (to, Change::Link(0, 1, true)),
                (to, Change::Link(1, 0, true)),
                (to, Change::Link(2, 1, true)),
                (to, Change::Apart(false)),
            ],
            ..base.clone()
        },
        Incident {
            name: "building-hung",
            about: "all servers of one of two buildings take requests and answer none",
            changes: vec![(from, Change::HungBuilding(1, true)), (to, Change::HungBuilding(1, false))],
            ..base.clone()
        },
        Incident {
            name: "two-intervals",
            about: "a drain before balancers that check every 0.5 s and every 5 s",
            changes: vec![(from, Change::Drain(0)), (to, Change::Undrain(0))],
            balancers: vec![agent(500), http(5_000, false)],
            may_be_out: vec![0],
            ..base
        },
    ]
}
