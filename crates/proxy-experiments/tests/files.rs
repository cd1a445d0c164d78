//! Files of experiments: what is wrong in them, and that a written day is the day that was written.

use configuration::load::MemoryFiles;
use proxy_experiments::file::{read, suite, Change};
use proxy_experiments::hunt::{hunt, Hunt};
use proxy_experiments::play::play;
use proxy_experiments::policy::{Name, Policy};
use proxy_experiments::scenario::SECOND;
use proxy_experiments::write::text;
use std::path::Path;

fn faults(file: &str) -> String {
    match read(Path::new("a.conf"), &MemoryFiles::from([("a.conf", file)])) {
        Ok(_) => String::new(),
        Err(faults) => faults,
    }
}

const CLASS: &str = "class c {\n work 10ms\n}\nload l {\n classes c\n}\n";

#[test]
fn each_fault_has_its_message() {
    for (file, expected) in [
        ("scenario s {\n length 40\n load l\n}\n", "the time 40 has no unit"),
        ("scenario s {\n load m\n}\n", "there is no load m"),
        ("scenario s {\n lenght 40s\n load l\n}\n", "did you mean length?"),
        ("scenario s {\n}\n", "nobody asks for anything"),
        ("load m {\n classes c\n profile 5s:200% 1s:100%\n}\nscenario s {\n load m\n}\n", "run backwards"),
        ("load m {\n classes c\n profile 5s\n}\nscenario s {\n load m\n}\n", "is no point like 10s:250%"),
        ("trouble t {\n kind die\n}\nscenario s {\n load l\n troubles t\n}\n", "does not say whose it is"),
        ("trouble t {\n of all\n}\nscenario s {\n load l\n troubles t\n}\n", "does not say what it is"),
        ("trouble t {\n kind die\n of primary:3-1\n}\nscenario s {\n load l\n troubles t\n}\n", "names no servers"),
        ("trouble t {\n kind surge\n times 90\n}\nscenario s {\n load l\n troubles t\n}\n", "can't come more than"),
        ("class p {\n law pareto\n spread 1\n}\nload m {\n classes p\n}\nscenario s {\n load m\n}\n", "has no mean"),
        ("load m {\n classes c\n patience-from 90%\n patience-to 50%\n}\nscenario s {\n load m\n}\n", "is above"),
        ("tuning t {\n set room_lat=0.5\n}\npolicy p {\n tuning t\n}\n", "did you mean room_late?"),
        ("tuning t {\n set room_late=0.5\n}\npolicy p {\n kind random\n tuning t\n}\n", "only the module"),
        ("scenario s {\n load l\n}\nexperiment e {\n scenarios s\n policies modul\n}\n", "did you mean module?"),
        ("scenario s {\n load l\n}\nexperiment e {\n scenarios s\n against oracle\n}\n", "does not play"),
        ("experiment e {\n policies module\n}\n", "names no scenario"),
        ("grid g {\n key load.rat\n values 1\n}\nscenario s {\n load l\n}\nexperiment e {\n scenarios s\n grids g\n}\n", "has no directive rat"),
        ("grid g {\n key load.rate\n values fast\n}\nscenario s {\n load l\n}\nexperiment e {\n scenarios s\n grids g\n}\n", "is not a number"),
        ("scenario s {\n load l\n}\nexperiment e {\n scenarios s\n seeds 1-900000\n}\n", "more than 100000 seeds"),
    ] {
        let said = faults(&format!("{CLASS}{file}"));
        assert!(said.contains(expected), "{file}\n{said}");
        assert_eq!(said.matches("error[").count(), 1, "one message: {said}");
    }
    assert_eq!(faults(&format!("{CLASS}scenario s {{\n load l\n}}\n")), "");
}

#[test]
fn every_day_of_the_suite_reads_back_as_it_is_written() {
    let days = suite()
        .unwrap_or_else(|faults| panic!("{faults}"))
        .scenarios;
    let busy = days.iter().cloned().map(|mut day| {
        (day.clients.busy_proxies, day.clients.busy_proxies_share) =
            (day.clients.proxies.min(3), 0.8);
        day
    });
    for scenario in days.iter().cloned().chain(busy) {
        let written = text(&scenario);
        let book = read(
            Path::new("a.conf"),
            &MemoryFiles::from([("a.conf", written.as_str())]),
        );
        let book = book.unwrap_or_else(|faults| panic!("{written}\n{faults}"));
        assert_eq!(book.scenarios, [scenario]);
    }
}

#[test]
fn a_grid_changes_what_it_names_and_nothing_else() {
    let book = suite().unwrap_or_else(|faults| panic!("{faults}"));
    let change = |section: &str, directive: &str, value: &str| Change {
        section: section.into(),
        directive: directive.into(),
        value: value.into(),
    };
    let plain = book.varied("today", &[]).unwrap();
    let other = book
        .varied(
            "today",
            &[
                change("load", "rate", "700"),
                change("fleet", "members", "7"),
            ],
        )
        .unwrap();
    assert_eq!(
        (other.clients.requests_per_s, other.site.group.members),
        (700.0, 7)
    );
    assert_eq!(other.clients.classes, plain.clients.classes);
    assert!(book
        .varied("today", &[change("load", "rate", "many")])
        .is_err());
    assert!(book.varied("toda", &[]).is_err());
}

/// The search finds a day on which a bad policy is far behind, makes it smaller, and what it writes shows the same.
#[test]
fn a_hunt_finds_a_day_and_makes_it_small() {
    let book = suite().unwrap_or_else(|faults| panic!("{faults}"));
    let mut scenario = book.varied("today", &[]).unwrap();
    scenario.clients.length = 12 * SECOND;
    let set = Hunt {
        scenario,
        policy: Policy::of(Name::RoundRobin),
        against: Policy::of(Name::Oracle),
        days: 16,
        seed: 3,
        threads: 4,
    };
    let found = hunt(&set, &|_| {}).expect("round robin is behind somewhere");
    assert!(found.worst.gap() > 0.1, "{}", found.worst);
    assert!(
        found.small.gap() >= 0.7 * found.worst.gap(),
        "{}",
        found.small
    );
    assert!(found.small.scenario.faults.len() <= found.worst.scenario.faults.len());
    let book = read(
        Path::new("a.conf"),
        &MemoryFiles::from([("a.conf", found.text.as_str())]),
    );
    let book = book.unwrap_or_else(|faults| panic!("{faults}"));
    let again = &book.scenarios[0];
    let gap = play(again, &set.against, found.small.seed).score
        - play(again, &set.policy, found.small.seed).score;
    assert!(
        (gap - found.small.gap()).abs() < 1e-9,
        "{gap} against {}",
        found.small
    );
    // The same search finds the same on one thread.
    let alone = hunt(&Hunt { threads: 1, ..set }, &|_| {}).unwrap();
    assert_eq!(alone.text, found.text);
}
