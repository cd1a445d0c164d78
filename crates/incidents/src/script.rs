//! Scripts of the incidents: faults, their times and the proxies that they affect.

use crate::balancer::{HealthProtocol, Settings};
use crate::Time;
use std::time::Duration;

/// Behaviour of a group of record servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers all requests, slower than usual by this factor.
    Answer(f64),
    /// Has no primary: rejects writes and serves reads.
    NoPrimary,
    /// Accepts requests without answering them.
    Silent,
    /// Refuses connections.
    Dead,
}

/// A change in a scripted incident.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Sets the behaviour of one group.
    Group(u32, Behaviour),
    /// Sets the behaviour of all groups.
    AllGroups(Behaviour),
    /// Sets the lag of a proxy's event loop.
    Lag(usize, Duration),
    /// Sets the fraction of a proxy's descriptors in use in addition to those of its requests.
    Descriptors(usize, f64),
    /// Multiplies the usual request rate by this factor.
    Demand(f64),
    /// An operator drains a proxy.
    Drain(usize),
    /// An operator puts a proxy back into service.
    Undrain(usize),
    /// Sets whether a proxy is connected to discovery.
    Discovery(usize, bool),
    /// A proxy stalls for this long.
    Stall(usize, Duration),
    /// Sets whether the link from a proxy to a building is up.
    Link(usize, u16, bool),
    /// Sets whether the link between the buildings is cut.
    Apart(bool),
    /// Sets whether a building has power. Without power its machines do not respond, the endpoint list drops them
    /// after a delay, and groups whose primary was there elect another one in the other building.
    Power(u16, bool),
    /// Sets whether the servers of a building hang: they accept requests without answering them.
    HungBuilding(u16, bool),
}

/// Number of buildings; every group has two members in each.
pub const PLACES: u16 = 2;

/// Scripted incident: changes over time, and the proxies that may be out of service because of them.
#[derive(Clone, Debug)]
pub struct Incident {
    /// Name of the incident.
    pub name: &'static str,
    /// Description in one sentence.
    pub about: &'static str,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of groups.
    pub groups: u32,
    /// Requests per second to all proxies together.
    pub requests_per_s: f64,
    /// Simulated duration.
    pub length: Duration,
    /// Changes with their times, in order of time.
    pub changes: Vec<(Time, Change)>,
    /// The balancers in front of the proxies.
    pub balancers: Vec<Settings>,
    /// Start and end of the fault.
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

/// All incidents. By default an incident takes 90 s and its fault lasts from 30 s to 60 s.
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
    let usual = Behaviour::Answer(1.0);
    let flapping = (0..30).map(|n| {
        let behaviour = if n % 2 == 0 { Behaviour::Dead } else { usual };
        (from + S * n, Change::Group(1, behaviour))
    });
    vec![
        Incident {
            name: "primary-dies",
            about: "the primary of one of four groups dies; a replica takes over after 5 s",
            changes: vec![
                (from, Change::Group(1, Behaviour::NoPrimary)),
                (from + 5 * S, Change::Group(1, usual)),
            ],
            fault_window: (from, from + 5 * S),
            ..base.clone()
        },
        Incident {
            name: "group-hung",
            about: "one of four groups takes requests and answers none",
            changes: vec![(from, Change::Group(1, Behaviour::Silent)), (to, Change::Group(1, usual))],
            ..base.clone()
        },
        Incident {
            name: "group-dead",
            about: "one of four groups can't be reached",
            changes: vec![(from, Change::Group(1, Behaviour::Dead)), (to, Change::Group(1, usual))],
            ..base.clone()
        },
        Incident {
            name: "all-slow",
            about: "all record servers take three times as long",
            changes: vec![(from, Change::AllGroups(Behaviour::Answer(3.0))), (to, Change::AllGroups(usual))],
            ..base.clone()
        },
        Incident {
            name: "all-dead",
            about: "no record server can be reached",
            changes: vec![(from, Change::AllGroups(Behaviour::Dead)), (to, Change::AllGroups(usual))],
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
                (from - 5 * S, Change::AllGroups(Behaviour::Answer(2.0))),
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
            changes: flapping.collect(),
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
