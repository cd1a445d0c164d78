//! Measurements for `docs/results/one-fleet/members.md`. The long ones are ignored: `cargo test -p membership --test
//! figures -- --ignored --nocapture`.
mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::{ms, Fleet};
use membership::{republish_interval, Event, GuardedOperation, Status};

/// Runs the fleet while each member publishes the facts that the program publishes with quota loans, at the program's
/// intervals; without `facts` none are published.
struct Publisher {
    publications: Vec<Publication>,
    due: BTreeSet<(Duration, usize, usize)>,
}

impl Publisher {
    fn new(fleet: &Fleet, facts: bool) -> Self {
        let size = fleet.processes.len();
        let rates = republish_interval(size, 1, ms(1000), ms(60_000));
        let publications = if facts {
            publications(size, true, Some(rates))
        } else {
            Vec::new()
        };
        let at =
            |i: usize, proxy: usize| fleet.now + publications[i].2 * proxy as u32 / size as u32;
        let all =
            (0..publications.len()).flat_map(|index| (0..size).map(move |proxy| (index, proxy)));
        let due = all
            .map(|(index, proxy)| (at(index, proxy), proxy, index))
            .collect();
        Self { publications, due }
    }

    fn run(&mut self, fleet: &mut Fleet, until: Duration) {
        while let Some((at, proxy, index)) =
            self.due.first().copied().filter(|(at, ..)| *at < until)
        {
            self.due.pop_first();
            fleet.run(at);
            let (kind, length, interval, ttl) = self.publications[index];
            fleet.handle_event(
                proxy,
                Event::Publish {
                    kind,
                    key: vec![0],
                    body: vec![7; length],
                    ttl,
                },
            );
            fleet
                .processes
                .iter_mut()
                .flatten()
                .for_each(|process| process.facts.clear());
            self.due.insert((at + interval, proxy, index));
        }
        fleet.run(until);
    }
}

/// Crashes one member after another. Returns, sorted, the times until all other members had declared it down.
fn detection_times(size: usize, loss: f64, times: usize, seed: u64, facts: bool) -> Vec<Duration> {
    let mut fleet = Fleet::new(size, seed);
    fleet.loss = loss;
    let mut publisher = Publisher::new(&fleet, facts);
    publisher.run(&mut fleet, ms(8000));
    let mut delays = Vec::new();
    for time in 0..times {
        let proxy = time * 7 % size;
        let killed = fleet.now;
        fleet.status_changes.clear();
        fleet.kill(proxy);
        publisher.run(&mut fleet, killed + ms(6000));
        let others = (0..size).filter(|other| *other != proxy);
        let detected_after = |other: usize| {
            let mut changes = fleet
                .status_changes
                .iter()
                .filter(|(_, at, of, _)| *at == other && *of == proxy);
            changes
                .find(|(.., status)| *status == Status::Down)
                .map_or(ms(6000), |(at, ..)| *at - killed)
        };
        delays.extend(others.map(detected_after).max());
        fleet.start(proxy);
        publisher.run(&mut fleet, killed + ms(10_000));
    }
    delays.sort();
    delays
}

fn false_detections(
    size: usize,
    loss: f64,
    minutes: u64,
    seed: u64,
    facts: bool,
) -> (usize, usize, u64) {
    let mut fleet = Fleet::new(size, seed);
    let mut publisher = Publisher::new(&fleet, facts);
    publisher.run(&mut fleet, ms(8000));
    fleet.loss = loss;
    fleet.status_changes.clear();
    let (mut down, mut suspect, bytes) = (0, 0, fleet.sent_bytes);
    for minute in 1..=minutes {
        publisher.run(&mut fleet, ms(8000 + 60_000 * minute));
        down += fleet
            .status_changes
            .iter()
            .filter(|(.., status)| *status == Status::Down)
            .count();
        suspect += fleet
            .status_changes
            .iter()
            .filter(|(.., status)| *status == Status::Suspect)
            .count();
        fleet.status_changes.clear();
    }
    (
        down,
        suspect,
        (fleet.sent_bytes - bytes) / (size as u64 * 60 * minutes),
    )
}

#[test]
#[ignore]
fn figures_deaths() {
    let number =
        |name: &str, default| std::env::var(name).map_or(default, |text| text.parse().unwrap());
    let (seed, facts) = (number("SEED", 7), number("FACTS", 0) > 0);
    let all = [(5, 200), (20, 200), (100, 200)]
        .map(|(size, times)| (size, number("TIMES", times) as usize));
    for (size, times) in all
        .into_iter()
        .filter(|(size, _)| *size >= number("MEMBERS", 0) as usize)
    {
        let delays = detection_times(size, 0.05, times, seed, facts);
        let quantile =
            |fraction: f64| delays[((delays.len() - 1) as f64 * fraction).round() as usize];
        println!(
            "{times} failures among {size} members, seed {seed}, facts {facts}: p50 {:?} p90 {:?} p99 {:?} max {:?}",
            quantile(0.5),
            quantile(0.9),
            quantile(0.99),
            quantile(1.0)
        );
    }
}

#[test]
#[ignore]
fn figures_false_deaths() {
    let number =
        |name: &str, default| std::env::var(name).map_or(default, |text| text.parse().unwrap());
    let (minutes, seed, facts) = (
        number("MINUTES", 60),
        number("SEED", 3),
        number("FACTS", 0) > 0,
    );
    let (down, suspect, bytes) = false_detections(100, 0.05, minutes, seed, facts);
    println!(
        "{minutes} min, 100 members, 5 % loss, seed {seed}, facts {facts}: {down} false detections, {suspect} suspicions, {bytes} B/s"
    );
}

/// Measures the time from a partition into halves until no process may promote, and from its heal until every process
/// may.
#[test]
#[ignore]
fn figures_majority() {
    for size in [4, 10, 50, 100] {
        let (mut lost, mut regained) = (Vec::new(), Vec::new());
        for seed in 0..20 {
            let mut fleet = Fleet::new(size, seed);
            fleet.loss = 0.05;
            fleet.run(ms(12_000));
            let promoting = |fleet: &Fleet| {
                let all = (0..size).filter(|proxy| {
                    let (core, now) = fleet.core(*proxy);
                    core.check_operation(now, GuardedOperation::Promote, None)
                        .is_ok()
                });
                all.count()
            };
            for (cut, expected) in [(true, 0), (false, size)] {
                let started = fleet.now;
                fleet.partition(|proxy| if cut { proxy % 2 } else { 0 });
                while promoting(&fleet) != expected && fleet.now < started + ms(60_000) {
                    fleet.run(fleet.now + ms(20));
                }
                if cut { &mut lost } else { &mut regained }.push(fleet.now - started);
                fleet.run(fleet.now + ms(5000));
            }
        }
        lost.sort();
        regained.sort();
        println!(
            "{size} members in two halves: lost p50 {:?} max {:?}; regained p50 {:?} max {:?}",
            lost[10], lost[19], regained[10], regained[19]
        );
    }
}

#[test]
#[ignore]
fn figures_bytes() {
    for size in [3, 10, 100, 500] {
        let mut fleet = Fleet::new(size, 1);
        fleet.run(ms(60_000));
        let (bytes, sent) = (fleet.sent_bytes, fleet.sent_datagrams);
        fleet.run(ms(80_000));
        let per = |total: u64| total as f64 / size as f64 / 20.0;
        println!(
            "{size} members: {:.0} B/s {:.1} datagrams/s, alive {}",
            per(fleet.sent_bytes - bytes),
            per(fleet.sent_datagrams - sent),
            fleet.count(0, Status::Alive)
        );
    }
}

/// A fact that a proxy publishes periodically: kind, size of the body in bytes, interval, TTL.
type Publication = (u8, usize, Duration, Duration);
const RATES_KIND: u8 = 30;
const HEARTBEAT_KIND: u8 = 64;

/// The facts that the program publishes. `rates` is the interval of the rates of eight tenants. With loans, the heartbeat
/// and one stand are included whose row and witness change each second, at their maximum size in a fleet of this size.
fn publications(size: usize, with_loans: bool, rates: Option<Duration>) -> Vec<Publication> {
    // Loans are founded among at most 55 members; a heartbeat in a larger fleet has room for eight others.
    let (founders, others) = if size <= 55 { (size, 0) } else { (0, 8) };
    let second = ms(1000);
    let loans = [
        (
            HEARTBEAT_KIND,
            38 + 6 * founders + 17 * others,
            second,
            ms(5000),
        ),
        (66, 80, second, ms(20_000)),
        (
            67,
            38 + 6 * founders + 17 * others.min(4),
            second,
            ms(20_000),
        ),
    ];
    let loans = loans
        .into_iter()
        .filter(|(kind, ..)| with_loans && (size <= 55 || *kind == HEARTBEAT_KIND));
    let rates = rates.map(|interval| (RATES_KIND, 60, interval, ms(60_000)));
    [(1, 12, ms(30_000), ms(60_000))]
        .into_iter()
        .chain(rates)
        .chain(loans)
        .collect()
}

/// Measures traffic and the age of held rates, for example with `MEMBERS=500 LOANS=0 RATES=1000 SECONDS=20`. With
/// `PHASE=0` all members publish at the same time.
#[test]
#[ignore]
fn figures_facts() {
    let number =
        |name: &str, default| std::env::var(name).map_or(default, |text| text.parse().unwrap());
    let (size, seconds, phase) = (
        number("MEMBERS", 5),
        number("SECONDS", 20) as u64,
        number("PHASE", 1),
    );
    let (loans, rates) = (number("LOANS", 0) > 0, number("RATES", 1000) as u64);
    let mut fleet = Fleet::new(size, 1);
    fleet.loss = number("LOSS", 0) as f64 / 100.0;
    // After the start each member sends its facts to every other, to one in each half period.
    let start = ms(10_000 + 100 * size as u64);
    fleet.run(start);
    let facts = publications(size, loans, (rates > 0).then_some(ms(rates)));
    let first =
        |proxy: usize, period: Duration| start + period * (proxy * phase) as u32 / size as u32;
    let mut due: BTreeSet<(Duration, usize, usize)> = (0..size * facts.len())
        .map(|at| (first(at % size, facts[at / size].2), at % size, at / size))
        .collect();
    // All facts have been published once, and the first publications have been replaced.
    let begin = start + ms(rates.max(4000) * 2);
    let end = begin + ms(seconds * 1000);
    let (mut bytes, mut sent) = (0, 0);
    while let Some((at, proxy, index)) = due.pop_first().filter(|(at, ..)| *at < end) {
        if at >= begin && bytes == 0 {
            (bytes, sent) = (fleet.sent_bytes, fleet.sent_datagrams);
        }
        fleet.run(at);
        let (kind, length, interval, ttl) = facts[index];
        fleet.handle_event(
            proxy,
            Event::Publish {
                kind,
                key: vec![0],
                body: vec![7; length],
                ttl,
            },
        );
        fleet
            .processes
            .iter_mut()
            .flatten()
            .for_each(|process| process.facts.clear());
        due.insert((at + interval, proxy, index));
    }
    fleet.run(end);
    // The share of the facts of a kind that are held, and their ages.
    let held = |kind: u8| {
        let cores = (0..size).map(|proxy| fleet.core(proxy));
        let mut ages: Vec<Duration> = cores
            .flat_map(|(core, now)| core.facts(now, kind))
            .map(|fact| fact.age)
            .collect();
        ages.sort();
        let quantile =
            |fraction: f64| ages.get(((ages.len().max(1) - 1) as f64 * fraction) as usize);
        let part = ages.len() as f64 / (size * (size - 1)) as f64;
        format!(
            "{part:.4} held, age p50 {:?} p99 {:?} max {:?}",
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        )
    };
    let per = |total: u64| total as f64 / size as f64 / seconds as f64;
    let down = fleet
        .status_changes
        .iter()
        .filter(|(.., status)| *status == Status::Down)
        .count();
    println!(
        "{size} members, loans {loans}, rates every {rates} ms, phase {phase}: {:.0} B/s {:.1} datagrams/s; rates {}; heartbeats {}; \
         {down} down",
        per(fleet.sent_bytes - bytes),
        per(fleet.sent_datagrams - sent),
        held(RATES_KIND),
        held(HEARTBEAT_KIND),
    );
}

/// CPU time of this thread in nanoseconds.
fn thread_cpu_ns() -> u64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    stat.split(' ').next().unwrap().parse().unwrap()
}

/// Measures the CPU time of an event: after the start, in steady state, and through a partition and its heal.
#[test]
#[ignore]
fn figures_events() {
    for size in [5, 50, 100, 500] {
        let mut fleet = Fleet::new(size, 1);
        fleet.loss = 0.05;
        let mut lines = Vec::new();
        for (what, secs) in [("start", 5), ("quiet", 10), ("cut", 5), ("heal", 5)] {
            match what {
                "cut" => fleet.partition(|proxy| proxy % 2),
                _ => fleet.blocked.clear(),
            }
            let (events, started) = (fleet.events, thread_cpu_ns());
            // The CPU clock of a thread advances in ticks, so a small fleet is measured for longer.
            fleet.run(fleet.now + ms(secs * 1000 * (500 / size as u64)));
            let (events, spent) = (fleet.events - events, thread_cpu_ns() - started);
            lines.push(format!(
                "{what} {:.1} us of {events}",
                spent as f64 / 1000.0 / events as f64
            ));
        }
        println!("{size} members, CPU time per event: {}", lines.join(", "));
    }
}

/// Runs until the given proxies hold the last version of all facts of all kinds. Returns the elapsed time and the bytes
/// sent per second and member meanwhile.
fn run_until_all_held(fleet: &mut Fleet, proxies: &[usize], kinds: u8, version: u8) -> String {
    let size = fleet.processes.len();
    let (started, bytes) = (fleet.now, fleet.sent_bytes);
    let holds = |fleet: &Fleet, proxy: usize| {
        let (core, now) = fleet.core(proxy);
        let held = |kind| {
            core.facts(now, kind)
                .iter()
                .filter(|fact| fact.body[0] == version)
                .count()
        };
        (1..=kinds).map(held).sum::<usize>() + usize::from(kinds) >= usize::from(kinds) * size
    };
    while !proxies.iter().all(|proxy| holds(fleet, *proxy)) && fleet.now < started + ms(300_000) {
        fleet.run(fleet.now + ms(100));
        fleet
            .processes
            .iter_mut()
            .flatten()
            .for_each(|process| process.facts.clear());
    }
    let elapsed = fleet.now - started;
    let bytes_per_second = (fleet.sent_bytes - bytes) as f64 / size as f64 / elapsed.as_secs_f64();
    format!("{elapsed:?} at {bytes_per_second:.0} B/s per member")
}

/// Measures, for example with `MEMBERS=100 SEED=1`, the time until all members hold all facts: after all have started, at
/// one member after its restart, and after the heal of a partition into halves in which each member published all its
/// facts anew.
#[test]
#[ignore]
fn figures_sync() {
    let number =
        |name: &str, default| std::env::var(name).map_or(default, |text| text.parse().unwrap());
    let (size, seed, kinds) = (number("MEMBERS", 100), number("SEED", 1) as u64, 4);
    let mut fleet = Fleet::new(size, seed);
    fleet.loss = 0.05;
    let publish_all = |fleet: &mut Fleet, version: u8| {
        for (proxy, kind) in (0..size).flat_map(|proxy| (1..=kinds).map(move |kind| (proxy, kind)))
        {
            let body = vec![version; 60];
            fleet.handle_event(
                proxy,
                Event::Publish {
                    kind,
                    key: vec![0],
                    body,
                    ttl: ms(600_000),
                },
            );
        }
    };
    publish_all(&mut fleet, 0);
    let all: Vec<usize> = (0..size).collect();
    let started = run_until_all_held(&mut fleet, &all, kinds, 0);
    fleet.run(fleet.now + ms(10_000));
    fleet.kill(0);
    fleet.run(fleet.now + ms(10_000));
    fleet.start(0);
    // The restarted process receives the facts of its earlier incarnation like those of another member.
    let rejoined = run_until_all_held(&mut fleet, &[0], kinds, 0);
    fleet.run(fleet.now + ms(10_000));
    fleet.partition(|proxy| proxy % 2);
    fleet.run(fleet.now + ms(10_000));
    publish_all(&mut fleet, 1);
    fleet.run(fleet.now + ms(20_000));
    fleet.blocked.clear();
    let healed = run_until_all_held(&mut fleet, &all, kinds, 1);
    println!(
        "{size} members, {kinds} kinds, seed {seed}: after the start {started}; after a restart {rejoined}; after a partition {healed}"
    );
}
