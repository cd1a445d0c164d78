//! The search for days on which a policy falls furthest behind another, and the way from such a day to a small one that
//! shows the same.

use crate::play::play;
use crate::policy::Policy;
use crate::scenario::{FaultKind, Scenario, ScheduledFault, Target, SECOND};
use rand::Rng;
use server_model::Micros;
use simulation_engine::streams::{Stream, Streams};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// A search for days on which a policy falls behind another.
pub struct Hunt {
    /// The day to begin from; its own troubles stay.
    pub scenario: Scenario,
    /// The policy that is to fall behind.
    pub policy: Policy,
    /// The policy that it is compared with.
    pub against: Policy,
    /// How many random days are played.
    pub days: u64,
    /// The seed of the random faults.
    pub seed: u64,
    /// Threads that play.
    pub threads: usize,
}

/// A day and how far behind the policy was on it.
#[derive(Clone, Debug)]
pub struct Day {
    /// The day with its faults.
    pub scenario: Scenario,
    /// The seed of its run.
    pub seed: u64,
    /// The policy's score.
    pub own: f64,
    /// The other policy's score.
    pub other: f64,
}

impl Day {
    /// How far the policy is behind.
    pub fn gap(&self) -> f64 {
        self.other - self.own
    }
}

impl std::fmt::Display for Day {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let troubles: Vec<String> = self
            .scenario
            .faults
            .iter()
            .map(|t| {
                format!(
                    "{:?} at {:.1} s for {:.1} s",
                    t.what,
                    seconds(t.at),
                    seconds(t.span)
                )
            })
            .collect();
        write!(
            f,
            "{:.4} behind ({:.4} against {:.4}), seed {}, {} proxies, {:.0} requests a second, {}",
            self.gap(),
            self.own,
            self.other,
            self.seed,
            self.scenario.proxies(),
            self.scenario.clients.requests_per_s,
            if troubles.is_empty() {
                "no trouble".to_owned()
            } else {
                troubles.join(", ")
            }
        )
    }
}

/// What a search found.
pub struct Found {
    /// The day on which the policy was furthest behind.
    pub worst: Day,
    /// The same day with as few faults as still show it.
    pub small: Day,
    /// The small one as a file.
    pub text: String,
}

fn seconds(micros: Micros) -> f64 {
    micros as f64 / SECOND as f64
}

/// Less than this is noise.
const WORTH_TELLING: f64 = 0.01;
/// A smaller day has to show this part of what was found.
const KEPT: f64 = 0.7;
/// Days drawn at once, from the worst so far and from the one that the search began with.
const BATCH: u64 = 16;
/// Troubles that are drawn for a day at the most.
const TROUBLES: usize = 4;

/// Draws days, half of them from the worst so far; then makes the worst one small. The same search finds the same on
/// any number of threads.
pub fn hunt(set: &Hunt, say: &dyn Fn(&str)) -> Option<Found> {
    let streams = Streams::new(set.seed);
    let mut worst: Option<Day> = None;
    let mut drawn = 0;
    while drawn < set.days {
        let batch: Vec<(Scenario, u64)> = (drawn..(drawn + BATCH).min(set.days))
            .map(|number| {
                let mut stream = streams.stream("day", number);
                let from = match &worst {
                    Some(day) if number % 2 == 1 => &day.scenario,
                    _ => &set.scenario,
                };
                (
                    mutated(from, &mut stream),
                    streams.seed("seed", number) % 1_000,
                )
            })
            .collect();
        drawn += batch.len() as u64;
        for day in played(set, batch) {
            if worst.as_ref().is_none_or(|w| day.gap() > w.gap()) {
                say(&format!("{drawn} days: {day}"));
                worst = Some(day);
            }
        }
    }
    let worst = worst.filter(|w| w.gap() >= WORTH_TELLING)?;
    let small = shrunk(set, &worst, say);
    let scenario = Scenario {
        name: "found".into(),
        about: format!(
            "found by a search: {:.3} behind at seed {}",
            small.gap(),
            small.seed
        ),
        ..small.scenario.clone()
    };
    Some(Found {
        worst,
        small,
        text: crate::write::text(&scenario),
    })
}

fn judge(set: &Hunt, scenario: Scenario, seed: u64) -> Day {
    let own = play(&scenario, &set.policy, seed).score;
    let other = play(&scenario, &set.against, seed).score;
    Day {
        scenario,
        seed,
        own,
        other,
    }
}

fn played(set: &Hunt, days: Vec<(Scenario, u64)>) -> Vec<Day> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<Day>>> = Mutex::new(vec![None; days.len()]);
    std::thread::scope(|scope| {
        for _ in 0..set.threads.clamp(1, days.len().max(1)) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some((scenario, seed)) = days.get(at) else {
                    return;
                };
                let day = judge(set, scenario.clone(), *seed);
                if let Ok(mut results) = results.lock() {
                    results[at] = Some(day);
                }
            });
        }
    });
    results
        .into_inner()
        .unwrap_or_default()
        .into_iter()
        .flatten()
        .collect()
}

/// Times in whole tenths of a second and shares in whole percents: they are written to files.
fn mutated(from: &Scenario, draw: &mut Stream) -> Scenario {
    let mut day = from.clone();
    match draw.random_range(0..6) {
        0 => {
            let times = draw.random_range(60..=150) as f64 / 100.0;
            day.clients.requests_per_s = (day.clients.requests_per_s * times).round();
        }
        1 => day.clients.proxies = draw.random_range(1..=40),
        2 => day.clients.proxy_skew = draw.random_range(0..=15) as f64 / 10.0,
        3 if !day.faults.is_empty() => {
            let at = draw.random_range(0..day.faults.len());
            if draw.random_bool(0.5) {
                day.faults.remove(at);
            } else {
                let begins = draw.random_range(20..=200);
                day.faults[at].at = begins * SECOND / 10;
            }
        }
        _ => {}
    }
    while day.faults.len() < TROUBLES {
        let trouble = drawn_trouble(&day, draw);
        day.faults.push(trouble);
        if draw.random_bool(0.5) {
            break;
        }
    }
    for (at, trouble) in day.faults.iter_mut().enumerate() {
        trouble.name = format!("t{at}");
    }
    day
}

fn drawn_trouble(day: &Scenario, draw: &mut Stream) -> ScheduledFault {
    let tenth = SECOND / 10;
    let length = day.length() / tenth;
    let at = draw.random_range(length / 10..=length / 2) * tenth;
    let span = draw.random_range(10..=length / 2) * tenth;
    let groups = day.site.groups.max(1) as u32;
    let place = draw.random_range(0..day.site.places.max(1) as u16);
    let share = Target::Share(draw.random_range(5..=30) as f64 / 100.0);
    let primaries = Target::Primaries(0, draw.random_range(0..groups));
    let some = [share, primaries, Target::Place(place)];
    let some = some[draw.random_range(0..some.len())].clone();
    let times = draw.random_range(12..=35) as f64 / 10.0;
    let (what, targets) = match draw.random_range(0..12) {
        0 | 1 => (FaultKind::Die, vec![some]),
        2 | 3 => (FaultKind::Hang, vec![some]),
        4 => (FaultKind::Slow(times), Vec::new()),
        5 => (FaultKind::Hold, vec![some]),
        6 => (FaultKind::Deploy, vec![Target::All]),
        7 => (
            FaultKind::ListBehind(draw.random_range(10..=100) * tenth),
            Vec::new(),
        ),
        8 => (FaultKind::Surge(times, None), Vec::new()),
        9 => {
            let back_only = draw.random_bool(0.3);
            (FaultKind::Cut { place, back_only }, vec![Target::All])
        }
        10 => (
            FaultKind::Loss(draw.random_range(1..=8) as f64 / 100.0),
            Vec::new(),
        ),
        _ => (FaultKind::ListDown, Vec::new()),
    };
    ScheduledFault {
        name: String::new(),
        at,
        span,
        what,
        targets,
    }
}

/// Takes away whatever is not needed to show the same.
fn shrunk(set: &Hunt, worst: &Day, say: &dyn Fn(&str)) -> Day {
    let wanted = worst.gap() * KEPT;
    let mut small = worst.clone();
    loop {
        let tries: Vec<(Scenario, u64)> = smaller(&small.scenario)
            .into_iter()
            .map(|s| (s, small.seed))
            .collect();
        let fits = played(set, tries)
            .into_iter()
            .filter(|day| day.gap() >= wanted);
        // Of those that still show it the one that costs least to play.
        let cost = |day: &Day| {
            let s = &day.scenario;
            (s.clients.requests_per_s * seconds(s.length())) as u64 + 1_000 * s.faults.len() as u64
        };
        let Some(next) = fits.min_by_key(cost) else {
            return small;
        };
        say(&format!("smaller: {next}"));
        small = next;
    }
}

/// One step smaller, in every way that there is.
fn smaller(day: &Scenario) -> Vec<Scenario> {
    let mut found = Vec::new();
    let mut add = |change: &dyn Fn(&mut Scenario)| {
        let mut next = day.clone();
        change(&mut next);
        if next != *day {
            found.push(next);
        }
    };
    for at in 0..day.faults.len() {
        add(&|s| _ = s.faults.remove(at));
        add(&|s| {
            let tenths = s.faults[at].span / (SECOND / 10) / 2;
            s.faults[at].span = (tenths * (SECOND / 10)).max(SECOND);
        });
    }
    let end = day.faults.iter().map(|t| t.at + t.span).max().unwrap_or(0) + 5 * SECOND;
    add(&|s| s.clients.length = s.clients.length.min(end.max(5 * SECOND)));
    // Servers and requests together, so that the load stays.
    if day.site.groups > 1 {
        add(&|s| {
            let fewer = s.site.groups / 2;
            s.clients.requests_per_s =
                (s.clients.requests_per_s * fewer as f64 / s.site.groups as f64).round();
            s.site.groups = fewer;
            s.site.sizes.truncate(fewer);
            s.clients.groups = fewer as u32;
        });
    }
    add(&|s| s.clients.proxies = (s.clients.proxies / 2).max(1));
    add(&|s| s.clients.tenants.clear());
    add(&|s| s.clients.proxy_skew = 0.0);
    add(&|s| s.clients.max_retries = 0);
    add(&|s| s.clients.patience = (1.0, 1.0));
    add(&|s| s.clients.profile.clear());
    add(&|s| s.network.loss = 0.0);
    for at in 0..day.clients.classes.len() {
        if day.clients.classes.len() > 1 {
            add(&|s| _ = s.clients.classes.remove(at));
        }
    }
    found
}
