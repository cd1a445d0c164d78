//! A fleet that lends: the line is kept, books add up, and a fleet that lends more than it may is found out.

use configuration::load::MemoryFiles;
use proxy_experiments::file::read;
use proxy_experiments::member::{FleetSettings, Member};
use proxy_experiments::play::fleet::Loans;
use proxy_experiments::play::play_with;
use proxy_experiments::policy::{Decider, Name, Policy, View};
use proxy_experiments::scenario::{FaultKind, Scenario, ORIGIN, SECOND};
use quota_lending::{Rule, Rules};
use routing::{Action, Event, Time};
use std::path::Path;
use std::time::Duration;

/// The stand whose bus arrives, by its place among the tenants.
const STAND: usize = 1;
const LINE: Duration = Duration::from_secs(3);
const TERM: Duration = Duration::from_secs(4);
const WRITE_OFF: Duration = Duration::from_secs(1);
const STARTS: u64 = 20;

/// A day of `lab/borrowing.conf` at an eighth of its size, with short loans and six proxies.
fn small(name: &str) -> Scenario {
    let file = include_str!("../../../lab/borrowing.conf");
    let book = read(Path::new("a.conf"), &MemoryFiles::from([("a.conf", file)]))
        .unwrap_or_else(|f| panic!("{f}"));
    let mut day = book.scenarios.into_iter().find(|s| s.name == name).unwrap();
    day.site.groups = 3;
    let clients = &mut day.clients;
    (clients.groups, clients.length, clients.requests_per_s) =
        (3, 36 * SECOND, clients.requests_per_s / 8.0);
    (clients.proxies, clients.profile) =
        (6, vec![(STARTS * SECOND, 0.0), (STARTS * SECOND + 1, 1.0)]);
    clients.tenants.iter_mut().for_each(|t| t.quota /= 8.0);
    let credit = clients.tenants[STAND].credit.as_mut().unwrap();
    let micros = |span: Duration| span.as_micros() as u64;
    (credit.line, credit.term, credit.write_off) = (micros(LINE), micros(TERM), micros(WRITE_OFF));
    let talk = day.talk.as_mut().unwrap();
    // Few requests a proxy: that room is short is found by chance too often here.
    (talk.late, talk.lease, talk.short_least) = (300_000, 3 * SECOND, 1_000);
    for trouble in &mut day.faults {
        let surge = matches!(trouble.what, FaultKind::Surge(..));
        (trouble.at, trouble.span) = if surge { (23, 5) } else { (25, 3) };
        (trouble.at, trouble.span) = (trouble.at * SECOND, trouble.span * SECOND);
    }
    day
}

/// The module, of a fleet whose rules say another line than the operators do.
struct Generous {
    module: Box<dyn Decider>,
    place: Option<FleetSettings>,
}

impl Decider for Generous {
    fn handle(&mut self, now: Time, event: Event, view: &mut dyn View, actions: &mut Vec<Action>) {
        if let (Some(place), Some(member)) = (self.place.take(), self.module.member()) {
            member.join(now, place, None);
        }
        self.module.handle(now, event, view, actions);
    }

    fn member(&mut self) -> Option<&mut Member> {
        self.module.member()
    }
}

/// The day's loans, with lines so many times as long as stated.
fn lent(day: &Scenario, times: u32) -> Loans {
    let clients = &day.clients;
    let classes: Vec<String> = clients
        .classes
        .iter()
        .map(|kind| kind.name.clone())
        .collect();
    let rule = Rule {
        limit_time: LINE * times,
        quota: (clients.tenants[STAND].quota * 1000.0) as u64,
        term: TERM,
        write_off: WRITE_OFF,
        floor: 500,
        classes: classes.clone(),
        max_rate: 1 << 40,
    };
    let longest = TERM + WRITE_OFF;
    let rules = Rules::new(vec![(clients.tenants[STAND].name.clone(), rule)], longest).unwrap();
    let place = FleetSettings {
        proxy: 0,
        start: ORIGIN + 1,
        names: (0..clients.proxies).map(|n| format!("proxy-{n}")).collect(),
        tenants: clients.tenants.iter().map(|t| t.name.clone()).collect(),
        classes: classes.into(),
        rules,
        longest,
        lease: Duration::from_secs(3),
        announce_every: Duration::from_secs(1),
        dead_after: Duration::from_secs(5),
        short_least: 1_000,
        short_part: 1.0,
    };
    let make = |number: usize,
                _: u32,
                streams: &simulation_engine::streams::Streams|
     -> Box<dyn Decider> {
        let seed = streams.seed("policy", number as u64);
        let module = Policy::of(Name::Module).make(&day.settings(number), seed, Time::ZERO);
        let place = (times > 1).then(|| FleetSettings {
            proxy: number,
            ..place.clone()
        });
        Box::new(Generous { module, place })
    };
    play_with(day, &make, 1).loans.swap_remove(STAND)
}

#[test]
fn a_fleet_that_lends_keeps_the_line_and_its_books() {
    for name in ["bus-arrives", "bus-and-deaths", "bus-and-halves"] {
        let day = small(name);
        let loans = lent(&day, 1);
        assert_eq!(
            (loans.passed, loans.unbalanced),
            (0, 0),
            "{name}: {loans:?}"
        );
        assert!(loans.owed_most > loans.line / 4, "{name}: {loans:?}");
        // What is within and what was withheld for loans is the quota, and each proxy's bucket once.
        let quota = day.clients.tenants[STAND].quota;
        let used = loans.all.within_quota as f64 + loans.all.repaid as f64 / 1000.0;
        assert!(
            used < 1.01 * quota * 16.0 + 2.0 * quota,
            "{name}: {used} of {quota}"
        );
    }
}

#[test]
fn a_line_that_is_passed_is_seen() {
    let loans = lent(&small("bus-arrives"), 4);
    assert!(loans.passed > 0, "{loans:?}");
}
