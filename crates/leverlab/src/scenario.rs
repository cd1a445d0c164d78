//! What there is, who asks for what, and what goes wrong.

use mountshift::{Checks, Class, Effect, Need, Settings, ZoneId};
use std::time::Duration;
use world::law::{Law, Work};
use world::{group, server, Micros};

#[derive(Clone, Debug)]
pub struct Kind {
    pub class: Class,
    /// Part of the requests.
    pub share: f64,
    pub work: Work,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Die { server: usize, back_after: Micros },
    Hang { server: usize, span: Micros },
    SlowAll { times: f64, span: Micros },
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub about: &'static str,
    pub proxies: usize,
    pub groups: usize,
    pub server: server::Settings,
    pub group: group::Settings,
    /// Requests a second, to all proxies together.
    pub per_s: f64,
    pub length: Micros,
    pub kinds: Vec<Kind>,
    pub one_way: Micros,
    pub list_late: Micros,
    pub tries: u16,
    pub troubles: Vec<(Micros, Trouble)>,
}

pub const SECOND: Micros = 1_000_000;

impl Scenario {
    pub fn servers(&self) -> usize {
        self.groups * self.group.members
    }

    /// What the platform would tell the decision module.
    pub fn settings(&self) -> Settings {
        Settings {
            routers: self.proxies as u32,
            zone: ZoneId(0),
            classes: self.kinds.iter().map(|k| k.class.clone()).collect(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            checks: Checks::Refuse,
            tokens_carried: true,
            list_on_request: true,
            may_probe: true,
            may_cancel: true,
            second_copies: true,
            retry_after: true,
            max_retry_after: Duration::from_secs(2),
            try_limit: self.tries,
            drain_grace: Duration::from_millis(500),
            soft_removal: false,
            cold_share: self.server.cold,
            warm_after: Duration::from_micros(self.server.warm_after),
            overload_factor: self.server.tip,
            tip_after: Duration::from_micros(self.server.tip_after),
            keepalive: Duration::from_secs(30),
        }
    }
}

fn kind(need: Need, effect: Effect, share: f64, times: [u64; 2], worth: [f64; 2], work: f64) -> Kind {
    let ms = Duration::from_millis;
    Kind {
        class: Class {
            need,
            effect,
            aim: ms(times[0]),
            deadline: ms(times[1]),
            worth: worth[0],
            late_worth: worth[1],
        },
        share,
        work: Work { law: Law::LogNormal { variation: 0.6 }, mean: work, by_key: 0.2 },
    }
}

/// Ride booking: the classes of the project's own deployment, by its brief.
fn booking() -> Vec<Kind> {
    let bounded = Need::Bounded(Duration::from_secs(3));
    vec![
        kind(bounded, Effect::Safe, 0.43, [200, 500], [1.0, 0.0], 55_000.0),
        kind(Need::Session, Effect::Safe, 0.28, [300, 1_200], [2.0, 0.2], 55_000.0),
        kind(Need::Any, Effect::Safe, 0.229, [250, 750], [2.0, 0.0], 55_000.0),
        kind(Need::Write, Effect::Unsafe, 0.061, [1_000, 3_000], [3.0, 0.5], 135_000.0),
    ]
}

/// The named scenarios: a calm day, and days with trouble from the tenth second on.
pub fn all() -> Vec<Scenario> {
    let calm = Scenario {
        name: "calm",
        about: "four proxies, three groups of five; nothing goes wrong",
        proxies: 4,
        groups: 3,
        server: server::Settings::default(),
        group: group::Settings::default(),
        per_s: 500.0,
        length: 40 * SECOND,
        kinds: booking(),
        one_way: 600,
        list_late: 4 * SECOND,
        tries: 8,
        troubles: Vec::new(),
    };
    let at = 10 * SECOND;
    vec![
        Scenario {
            name: "primaries-die",
            about: "all three primaries die and come back cold after 12 s",
            troubles: (0..3).map(|g| (at, Trouble::Die { server: g * 5, back_after: 12 * SECOND })).collect(),
            ..calm.clone()
        },
        Scenario {
            name: "replicas-hang",
            about: "one replica in each group takes requests and answers none for 15 s",
            troubles: (0..3).map(|g| (at, Trouble::Hang { server: g * 5 + 2, span: 15 * SECOND })).collect(),
            ..calm.clone()
        },
        Scenario {
            name: "all-slow",
            about: "every server takes twice as long for 12 s",
            troubles: vec![(at, Trouble::SlowAll { times: 2.0, span: 12 * SECOND })],
            ..calm.clone()
        },
        Scenario {
            name: "many-proxies",
            about: "forty proxies that each see little, before ten groups; two primaries die",
            proxies: 40,
            groups: 10,
            per_s: 1_700.0,
            troubles: (0..2).map(|g| (at, Trouble::Die { server: g * 5, back_after: 12 * SECOND })).collect(),
            ..calm.clone()
        },
        calm,
    ]
}
