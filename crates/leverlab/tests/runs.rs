//! Runs as a whole: the same again, rules caught, bounds kept.

use leverlab::check::Rule;
use leverlab::compare::{paired, runs, Verdict};
use leverlab::fleet::{run, run_with};
use leverlab::policy::{Name, Policy, View, NAMES};
use leverlab::scenario::{all, Scenario, Trouble, SECOND};
use mountshift::{Action, Event, Time};
use std::time::Duration;

fn short(name: &str) -> Scenario {
    let found = all().into_iter().find(|s| s.name == name).unwrap();
    Scenario { length: 15 * SECOND, ..found }
}

#[test]
fn the_same_seed_is_the_same_run_on_any_number_of_threads() {
    let scenario = short("primaries-die");
    let seeds: Vec<u64> = (1..9).collect();
    let one = runs(&scenario, Name::Module, &seeds, 1);
    assert_eq!(one, runs(&scenario, Name::Module, &seeds, 8));
    assert_ne!(one[0], one[1]);
}

/// The module keeps the rules, and so do the baselines but for servers that they push over.
#[test]
fn no_rule_is_broken_by_the_policies_that_are_there() {
    for scenario in all() {
        let scenario = Scenario { length: 25 * SECOND, ..scenario };
        for (name, policy) in NAMES {
            let outcome = run(&scenario, policy, 3);
            let broken: Vec<_> =
                outcome.broken.iter().filter(|(rule, _)| **rule != Rule::Collapsed).collect();
            assert!(broken.is_empty(), "{} on {}: {broken:?}", name, scenario.name);
            assert_eq!(
                outcome.asked,
                outcome.served + outcome.refused + outcome.failed,
                "{name} on {}",
                scenario.name
            );
            if policy == Name::Module {
                assert!(outcome.broken.is_empty(), "{}: {:?}", scenario.name, outcome.broken);
            }
        }
    }
}

/// Nobody beats who sees everything by more than noise.
#[test]
fn the_oracle_is_not_beaten() {
    for name in ["calm", "replicas-hang", "all-slow"] {
        let scenario = short(name);
        let seeds: Vec<u64> = (1..6).collect();
        let goodput =
            |policy| -> Vec<f64> { runs(&scenario, policy, &seeds, 4).iter().map(|o| o.goodput).collect() };
        let oracle = goodput(Name::Oracle);
        for (other, policy) in NAMES {
            let difference = paired(&oracle, &goodput(policy)).unwrap();
            assert!(difference.low < 0.01, "{other} on {name}: {difference:?}");
        }
    }
}

/// A policy that breaks a rule on purpose.
struct Rogue(Rule);

impl Policy for Rogue {
    fn handle(&mut self, _: Time, event: Event, view: &mut dyn View, actions: &mut Vec<Action>) {
        let Event::Arrived(arrival) = event else { return };
        let id = arrival.id;
        let refuse = Action::Refuse { id, come_back: None };
        let Some(store) = view.primary(arrival.group) else { return actions.push(refuse) };
        let send = Action::Send { id, store, time_out: Duration::from_millis(400) };
        match self.0 {
            Rule::Unanswered => {}
            Rule::AnsweredTwice => actions.extend([refuse.clone(), refuse]),
            Rule::Repeated => actions.extend([send.clone(), send, refuse]),
            Rule::TooManyAttempts => actions.extend(std::iter::repeat_n(send, 9).chain([refuse])),
            Rule::Collapsed => {
                // Everything to the one server that has just come back.
                let store = view.members(arrival.group)[0];
                actions.extend([Action::Send { id, store, time_out: Duration::from_millis(400) }, refuse]);
            }
            Rule::Lost => actions.extend([
                Action::Refuse { id: mountshift::RequestId(id.0 + 1_000_000), come_back: None },
                refuse,
            ]),
            Rule::Stale => actions.push(refuse),
        }
    }
}

#[test]
fn each_checker_catches_its_own() {
    for rule in [
        Rule::Unanswered,
        Rule::AnsweredTwice,
        Rule::Repeated,
        Rule::TooManyAttempts,
        Rule::Collapsed,
        Rule::Lost,
    ] {
        let mut scenario = short("calm");
        scenario.groups = 1;
        scenario.troubles = vec![(SECOND, Trouble::Die { server: 0, back_after: SECOND })];
        let outcome = run_with(&scenario, |_, _| Box::new(Rogue(rule)), 1);
        assert!(outcome.broken.contains_key(&rule), "{rule:?}: {:?}", outcome.broken);
    }
}

#[test]
fn nothing_and_nobody_is_survived() {
    let mut none = short("calm");
    none.group.members = 0;
    let outcome = run(&none, Name::Module, 1);
    assert_eq!((outcome.served, outcome.asked), (0, outcome.refused + outcome.failed));
    let mut dead = short("calm");
    dead.troubles = (0..15).map(|server| (0, Trouble::Die { server, back_after: 100 * SECOND })).collect();
    let outcome = run(&dead, Name::Module, 1);
    assert!(outcome.broken.is_empty(), "{:?}", outcome.broken);
    assert!(outcome.served < outcome.asked / 20);
    let nobody = Scenario { proxies: 0, ..short("calm") };
    assert_eq!(run(&nobody, Name::Module, 1).asked, 0);
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
}
