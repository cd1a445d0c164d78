//! Runs as a whole: the same again, rules caught, bounds kept.

use invariant_checkers::{Rule, RULES};
use proxy_experiments::file::{suite, ExperimentFile};
use proxy_experiments::play::{play, play_with};
use proxy_experiments::policy::{Decider, Name, Policy, View, NAMES};
use proxy_experiments::run::{cells, run};
use proxy_experiments::scenario::{FaultKind, Scenario, ScheduledFault, Target, SECOND};
use proxy_experiments::stats::{paired, rank_correlation, Verdict};
use proxy_experiments::store::{Cell, Store};
use proxy_experiments::tally::Outcomes;
use routing::{Action, EndpointUpdate, Event, ServerId, Time};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

fn book() -> ExperimentFile {
    suite().unwrap_or_else(|faults| panic!("{faults}"))
}

fn short(name: &str) -> Scenario {
    let mut found = book()
        .scenarios
        .into_iter()
        .find(|s| s.name == name)
        .unwrap();
    found.clients.length = 15 * SECOND;
    found
}

fn many(
    scenario: &Scenario,
    policy: Name,
    seeds: std::ops::Range<u64>,
    threads: usize,
) -> Vec<Outcomes> {
    let cell = |seed| Cell {
        scenario: scenario.clone(),
        player: "p".into(),
        policy: Policy::of(policy),
        seed,
        varied: Vec::new(),
    };
    let cells: Vec<Cell> = seeds.map(cell).collect();
    let outcomes = run(&cells, None, threads, &AtomicBool::new(false), &|_| {}).unwrap();
    outcomes.into_iter().map(Option::unwrap).collect()
}

#[test]
fn the_same_seed_is_the_same_run_on_any_number_of_threads() {
    for name in ["quarter-dies", "cut-off"] {
        let scenario = short(name);
        let one = many(&scenario, Name::Module, 1..7, 1);
        assert_eq!(one, many(&scenario, Name::Module, 1..7, 8));
        assert_ne!(one[0], one[1]);
    }
}

/// Policies on one seed are asked the same.
#[test]
fn policies_on_one_seed_see_the_same_arrivals() {
    let scenario = short("quarter-dies");
    let asked = |policy| -> Vec<f64> {
        play(&scenario, &Policy::of(policy), 4)
            .seconds
            .iter()
            .map(|s| s.worth)
            .collect()
    };
    assert_eq!(asked(Name::Module), asked(Name::Random));
}

/// The module keeps the rules on every day of the suite but the largest, and so do the baselines but for servers that
/// they push over.
#[test]
fn no_rule_is_broken_by_the_policies_that_are_there() {
    for scenario in book().scenarios {
        if scenario.proxies() > 50 {
            continue;
        }
        let mut scenario = scenario;
        scenario.clients.length = 25 * SECOND;
        for (name, policy) in [
            ("module", Name::Module),
            ("two-choices", Name::TwoChoices),
            ("oracle", Name::Oracle),
        ] {
            if scenario.servers() > 100 && policy != Name::Module {
                continue;
            }
            let outcome = play(&scenario, &Policy::of(policy), 3);
            let broken: Vec<_> = outcome
                .broken
                .iter()
                .filter(|(rule, _)| {
                    policy == Name::Module || !matches!(**rule, Rule::Collapsed | Rule::Drained)
                })
                .collect();
            assert!(broken.is_empty(), "{name} on {}: {broken:?}", scenario.name);
            let whole = outcome.whole;
            assert_eq!(
                whole.asked,
                whole.served + whole.refused + whole.failed + whole.left,
                "{name} on {}",
                scenario.name
            );
        }
    }
}

/// Nobody beats who sees everything by more than noise.
#[test]
fn the_oracle_is_not_beaten() {
    for name in [
        "calm",
        "replicas-hang",
        "all-slow",
        "quarter-dies",
        "cut-off",
    ] {
        let scenario = short(name);
        let goodput = |policy| -> Vec<f64> {
            many(&scenario, policy, 1..6, 4)
                .iter()
                .map(|o| o.goodput)
                .collect()
        };
        let oracle = goodput(Name::Oracle);
        for (other, policy) in NAMES {
            let difference = paired(&oracle, &goodput(policy)).unwrap();
            assert!(difference.low < 0.01, "{other} on {name}: {difference:?}");
        }
    }
}

/// A policy that breaks a rule on purpose.
struct Rogue {
    rule: Rule,
    /// Servers as the list last had them, and those that it had told to leave.
    gone: Vec<ServerId>,
}

impl Decider for Rogue {
    fn handle(&mut self, _: Time, event: Event, view: &mut dyn View, actions: &mut Vec<Action>) {
        if let Event::Endpoints(news) = event {
            if let EndpointUpdate::Changes(entries) = &news {
                self.gone.extend(
                    entries
                        .iter()
                        .filter(|e| e.state != routing::EndpointState::Ready)
                        .map(|e| e.server),
                );
            }
            if matches!(news, EndpointUpdate::Cached(_)) {
                actions.push(Action::PollEndpoints);
            }
            return;
        }
        let Event::RequestArrived(arrival) = event else {
            return;
        };
        let id = arrival.id;
        let refuse = Action::Reject {
            id,
            retry_after: None,
        };
        let Some(store) = view.primary(arrival.group) else {
            return actions.push(refuse);
        };
        let (time_out, begin_within) = (Duration::from_millis(400), Duration::from_millis(400));
        let send = |store| Action::Send {
            id,
            server: store,
            timeout: time_out,
            begin_within,
        };
        match self.rule {
            Rule::Unanswered => {}
            Rule::AnsweredTwice => actions.extend([refuse.clone(), refuse]),
            // Of writes alone: others may be sent again.
            Rule::Repeated | Rule::Doubled => actions.extend([send(store), send(store)]),
            Rule::TooManyAttempts => {
                actions.extend(std::iter::repeat_n(send(store), 9).chain([refuse]))
            }
            // Everything to the one server that has just come back.
            Rule::Collapsed => {
                let first = *view.members(arrival.group).iter().min().unwrap();
                actions.extend([send(first), refuse]);
            }
            Rule::Lost => {
                actions.extend([
                    Action::Reject {
                        id: routing::RequestId(id.0 + 1_000_000),
                        retry_after: None,
                    },
                    refuse,
                ]);
            }
            // A member that is behind, and not with more than it can answer.
            Rule::Stale if id.0 % 16 > 0 => actions.push(refuse),
            Rule::Stale => {
                let last = *view.members(arrival.group).last().unwrap();
                actions.push(send(last));
            }
            Rule::Drained => {
                let to = self.gone.first().copied().unwrap_or(store);
                actions.push(send(to));
            }
            Rule::FalseRefusal => actions.extend([send(store), refuse]),
            // The checker alone can be told that: no policy can serve what no server answered.
            Rule::Phantom => actions.push(refuse),
        }
    }
}

fn trouble(at: u64, span: u64, what: FaultKind, targets: Vec<Target>) -> ScheduledFault {
    ScheduledFault {
        name: "t".into(),
        at,
        span,
        what,
        targets,
    }
}

#[test]
fn each_checker_catches_its_own() {
    for rule in RULES {
        if rule == Rule::Phantom {
            continue;
        }
        let mut scenario = short("calm");
        scenario.site.groups = 1;
        scenario.clients.groups = 1;
        scenario.catalog.late = SECOND;
        scenario.site.checks = rule != Rule::Stale;
        scenario.faults = match rule {
            Rule::Drained => vec![trouble(
                SECOND,
                5 * SECOND,
                FaultKind::Deploy,
                vec![Target::Member(0, 3)],
            )],
            Rule::Stale => vec![trouble(
                SECOND,
                8 * SECOND,
                FaultKind::Hold,
                vec![Target::Member(0, 4)],
            )],
            _ => vec![trouble(
                SECOND,
                SECOND,
                FaultKind::Die,
                vec![Target::Member(0, 0)],
            )],
        };
        let make =
            |_: usize, _: u32, _: &simulation_engine::streams::Streams| -> Box<dyn Decider> {
                Box::new(Rogue {
                    rule,
                    gone: Vec::new(),
                })
            };
        let outcome = play_with(&scenario, &make, 1);
        assert!(
            outcome.broken.contains_key(&rule),
            "{rule:?}: {:?}",
            outcome.broken
        );
    }
    // What no policy can do: an answer to a write that nobody applied.
    let mut checker = invariant_checkers::Checker::new(0, 0);
    checker.client_sends(
        1,
        1,
        server_model::clients::Idempotency::NonIdempotent,
        true,
        0,
        1_000,
    );
    checker.proxy_answers(1, invariant_checkers::Final::Served, 10);
    checker.close();
    assert!(checker.broken.contains_key(&Rule::Phantom));
}

#[test]
fn nothing_and_nobody_is_survived() {
    let mut none = short("calm");
    none.site.group.members = 0;
    let outcome = play(&none, &Policy::of(Name::Module), 1);
    assert_eq!(
        (outcome.whole.served, outcome.whole.asked),
        (0, outcome.whole.refused + outcome.whole.failed)
    );
    let mut dead = short("calm");
    dead.faults = vec![trouble(0, 100 * SECOND, FaultKind::Die, vec![Target::All])];
    let outcome = play(&dead, &Policy::of(Name::Module), 1);
    assert!(outcome.broken.is_empty(), "{:?}", outcome.broken);
    assert!(outcome.whole.served < outcome.whole.asked / 20);
    let mut nobody = short("calm");
    nobody.clients.proxies = 0;
    assert_eq!(play(&nobody, &Policy::of(Name::Module), 1).whole.asked, 0);
    // Troubles at the end of time, and of what is not there.
    let mut far = short("calm");
    far.clients.length = SECOND;
    far.faults = vec![
        trouble(u64::MAX - 5, u64::MAX, FaultKind::Hang, vec![Target::All]),
        trouble(
            0,
            u64::MAX,
            FaultKind::Die,
            vec![
                Target::Member(77, 3),
                Target::Primaries(5, 9),
                Target::Place(40),
            ],
        ),
        trouble(0, 10, FaultKind::ProxyDies, vec![Target::Proxies(50, 60)]),
    ];
    assert!(play(&far, &Policy::of(Name::Module), 1).whole.served > 0);
}

/// Every write that was served took effect, and none that may run once did so twice, whatever dies and whoever repeats.
#[test]
fn writes_take_effect_as_they_are_answered() {
    for (name, seed) in [
        ("quarter-dies", 1),
        ("primary-hangs", 2),
        ("buildings-apart", 3),
        ("proxy-dies", 4),
    ] {
        let scenario = short(name);
        let outcome = play(&scenario, &Policy::of(Name::Module), seed);
        for rule in [Rule::Doubled, Rule::Phantom, Rule::FalseRefusal] {
            assert!(
                !outcome.broken.contains_key(&rule),
                "{name}: {:?}",
                outcome.broken
            );
        }
        assert!(outcome.applied > 0);
    }
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("proxy-experiments-{}-{name}", std::process::id()));
        _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Stopped in the middle and begun again, a sweep runs only what is missing, and comes to the same.
#[test]
fn a_sweep_goes_on_where_it_was_stopped() {
    let book = book();
    let mut experiment = book
        .experiments
        .iter()
        .find(|e| e.name == "baselines")
        .unwrap()
        .clone();
    experiment.scenarios = vec!["calm".into()];
    experiment.players.truncate(2);
    experiment.seeds = (1..=4).collect();
    let mut cells = cells(&book, &experiment).unwrap();
    cells
        .iter_mut()
        .for_each(|c| c.scenario.clients.length = 3 * SECOND);
    let whole = run(&cells, None, 4, &AtomicBool::new(false), &|_| {}).unwrap();

    let folder = Folder::new("resume");
    let store = Store::open(&folder.0).unwrap();
    let stop = AtomicBool::new(false);
    let part = run(&cells, Some(&store), 1, &stop, &|p| {
        if p.done == 3 {
            stop.store(true, Ordering::Relaxed);
        }
    });
    assert_eq!(part.unwrap().iter().flatten().count(), 3);
    // What a kill has left half written is run again.
    std::fs::write(
        folder
            .0
            .join("cells")
            .join(format!("{}.json", cells[0].key())),
        b"{\"score\":0.",
    )
    .unwrap();
    std::fs::write(folder.0.join("cells").join("x.begun-1"), b"{").unwrap();
    let found = AtomicUsize::new(0);
    let again = run(&cells, Some(&store), 3, &AtomicBool::new(false), &|p| {
        found.fetch_max(p.found, Ordering::Relaxed);
    });
    assert!(again.unwrap() == whole);
    assert_eq!(found.into_inner(), 2);
    // Other constants are another run, another name is not.
    let mut other = cells[0].clone();
    other.policy.tuning.limit_high_latency = 0.6;
    assert_ne!(other.key(), cells[0].key());
    let mut named = cells[0].clone();
    named.scenario.name = "x".into();
    assert_eq!(named.key(), cells[0].key());
}

#[test]
fn verdicts_tell_noise_from_difference() {
    let old = [0.50, 0.55, 0.45, 0.52, 0.48, 0.51, 0.49, 0.53];
    let shifted = old.map(|x| x + 0.02);
    assert_eq!(paired(&old, &shifted).unwrap().verdict(), Verdict::Better);
    assert_eq!(paired(&shifted, &old).unwrap().verdict(), Verdict::Worse);
    let noise = [0.51, 0.53, 0.46, 0.51, 0.49, 0.50, 0.50, 0.52];
    assert_eq!(paired(&old, &noise).unwrap().verdict(), Verdict::CantTell);
    assert!(paired(&old[..1], &noise[..1]).is_none());
    let ranks = |a: &[f64], b: &[f64]| rank_correlation(a, b).map(|r| (r * 1e9).round() / 1e9);
    assert_eq!(
        ranks(&[1.0, 2.0, 3.0, 9.0], &[0.1, 0.2, 0.3, 0.4]),
        Some(1.0)
    );
    assert_eq!(ranks(&[1.0, 2.0, 3.0], &[3.0, 2.0, 1.0]), Some(-1.0));
    assert_eq!(rank_correlation(&[1.0, 1.0, 1.0], &[3.0, 2.0, 1.0]), None);
}
