//! Tests of the conditions for a clean stage, with evidence that is late, arrives in bursts or comes from Byzantine members.

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rollout::{ClassCounts, Evidence, EvidenceLimits, ReportedCounts, TrafficCounts, Verdict};
use std::time::Duration;

const REGION: &str = "east";
/// Duration of a simulation.
const SECONDS: u64 = 300;
/// Weight of the requests offered to a correct proxy per second.
const DEMAND: u64 = 30;

fn limits() -> EvidenceLimits {
    EvidenceLimits {
        min_harm: 0.05,
        error_probability: 0.01,
        soak_time: Duration::from_secs(30),
        min_window_demand: 20,
        min_stage_demand: 500,
        max_age: Duration::from_secs(10),
    }
}

/// A proxy of the region, with its own counts and the last counts that the others received from it.
struct Proxy {
    name: String,
    runs_new: bool,
    /// Whether the proxy reports forged counts.
    is_byzantine: bool,
    /// The second at which the proxy begins to serve requests.
    starts_at: u64,
    /// The probability that a report of the proxy is received in a second.
    report_probability: f64,
    counted: ClassCounts,
    reported: ClassCounts,
}

impl Proxy {
    fn serve(&mut self, second: u64, loss: f64, rng: &mut Xoshiro256PlusPlus) {
        if self.is_byzantine {
            self.counted.offered += rng.random_range(1..100 * DEMAND);
        } else if second >= self.starts_at {
            self.counted.offered += DEMAND;
            self.counted.lost += (0..DEMAND).filter(|_| rng.random_bool(loss)).count() as u64;
        }
        if rng.random_bool(self.report_probability) {
            self.reported = self.counted;
        }
    }

    fn report(&self) -> ReportedCounts<'_> {
        ReportedCounts {
            name: &self.name,
            region: REGION,
            incarnation: 1,
            counts: TrafficCounts {
                epoch: 1,
                runs_new: self.runs_new,
                generation: 1,
                total: self.reported,
                classes: Vec::new(),
            },
        }
    }
}

/// The proxies of a stage: a canary, a proxy that is held back, and `entrants` that enter with the stage, of which the first
/// `byzantine` report forged counts. If there are any, the canary does so too.
fn stage(rng: &mut Xoshiro256PlusPlus, byzantine: usize, entrants: usize) -> Vec<Proxy> {
    let mut proxy = |name: String, runs_new, is_byzantine| Proxy {
        name,
        runs_new,
        is_byzantine,
        starts_at: if runs_new { rng.random_range(0..60) } else { 0 },
        report_probability: if is_byzantine {
            1.0
        } else {
            rng.random_range(0.2..1.0)
        },
        counted: ClassCounts::default(),
        reported: ClassCounts::default(),
    };
    let mut proxies = vec![
        proxy("canary".into(), true, byzantine > 0),
        proxy("held".into(), false, false),
    ];
    proxies.extend((0..entrants).map(|at| proxy(format!("entrant {at}"), true, at < byzantine)));
    proxies
}

/// The first second in which the stage is clean, if any.
fn first_clean_second(seed: u64, byzantine: usize, entrants: usize, loss: f64) -> Option<u64> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut proxies = stage(&mut rng, byzantine, entrants);
    let names: Vec<String> = proxies[2..]
        .iter()
        .map(|proxy| proxy.name.clone())
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut evidence = Evidence::new(limits(), Duration::ZERO);
    (0..SECONDS).find(|&second| {
        for proxy in &mut proxies {
            let loss = if proxy.runs_new { loss } else { 0.01 };
            proxy.serve(second, loss, &mut rng);
        }
        let now = Duration::from_secs(second);
        evidence.observe(now, proxies.iter().map(Proxy::report));
        evidence.verdict(now, &names) == Verdict::Clean
    })
}

/// Guards against a stage that becomes clean by the counts of Byzantine members while those of correct members are late,
/// arrive in bursts, or are missing.
#[test]
fn no_minority_of_byzantine_members_makes_a_stage_clean() {
    for seed in 0..2_000 {
        let entrants = 1 + seed as usize % 6;
        for byzantine in 0..=(entrants - 1) / 2 {
            let loss = [0.5, 1.0][seed as usize / 6 % 2];
            let clean = first_clean_second(seed, byzantine, entrants, loss);
            assert_eq!(
                clean, None,
                "seed {seed}: {byzantine} of {entrants} are Byzantine, loss {loss}"
            );
        }
    }
}

/// For a good version, evidence with the same delays must eventually make the stage clean.
#[test]
fn a_sound_version_is_clean_in_the_end() {
    for seed in 0..500 {
        let entrants = 1 + seed as usize % 6;
        let clean = first_clean_second(seed, 0, entrants, 0.01);
        assert!(clean.is_some(), "seed {seed}: {entrants} entrants");
    }
}

/// Guards against a member that sets the bound on its own weight. With two members, one that claimed a hundred times the
/// requests hid the losses of the other.
#[test]
fn one_member_of_two_does_not_outweigh_the_other() {
    let counts = |offered, lost| ClassCounts {
        class: 0,
        offered,
        lost,
    };
    let member = |name: &str, runs_new, counted| Proxy {
        name: name.into(),
        runs_new,
        is_byzantine: false,
        starts_at: 0,
        report_probability: 1.0,
        counted,
        reported: counted,
    };
    let mut evidence = Evidence::new(limits(), Duration::ZERO);
    for second in 0..=20 {
        let honest = counts(second * DEMAND, second * DEMAND);
        let byzantine = counts(second * DEMAND * 100, 0);
        let held_back = counts(second * DEMAND, 0);
        let members = [
            member("honest", true, honest),
            member("liar", true, byzantine),
            member("held", false, held_back),
        ];
        evidence.observe(
            Duration::from_secs(second),
            members.iter().map(Proxy::report),
        );
    }
    let summary = evidence.summary();
    assert!(
        summary.windows == 20 && summary.harm_wealth > 2.0,
        "{summary:?}"
    );
}

/// Guards against comparing regions with each other while a report is late: the difference between the regions then counted
/// as harm of the version.
#[test]
fn a_late_report_does_not_mix_regions() {
    for seed in 0..200 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let member = |name: &str, runs_new, report_probability| Proxy {
            name: name.into(),
            runs_new,
            is_byzantine: false,
            starts_at: 0,
            report_probability,
            counted: ClassCounts::default(),
            reported: ClassCounts::default(),
        };
        let mut lossy_region = [member("canary", true, 1.0), member("held", false, 0.6)];
        let mut lossless_region = [member("other", false, 1.0)];
        let mut evidence = Evidence::new(limits(), Duration::ZERO);
        for second in 0..SECONDS {
            lossy_region
                .iter_mut()
                .for_each(|proxy| proxy.serve(second, 0.3, &mut rng));
            lossless_region
                .iter_mut()
                .for_each(|proxy| proxy.serve(second, 0.0, &mut rng));
            let other_reports = lossless_region.iter().map(|proxy| ReportedCounts {
                region: "west",
                ..proxy.report()
            });
            let reports = lossy_region.iter().map(Proxy::report).chain(other_reports);
            evidence.observe(Duration::from_secs(second), reports);
        }
        let wealth = evidence.summary().harm_wealth;
        assert!(wealth < 200.0, "seed {seed}: {wealth}");
    }
}

/// Guards against waiting for a region that runs only the new version. The last counts of the previous version in that region
/// were left over and too small for a window, so no window ever closed again.
#[test]
fn a_region_that_has_changed_wholly_is_not_waited_for() {
    let counts = |offered| ClassCounts {
        class: 0,
        offered,
        lost: 0,
    };
    let mut evidence = Evidence::new(limits(), Duration::ZERO);
    let mut observe = |second: u64, members: &[(&str, &str, bool, u64)]| {
        let reports = members
            .iter()
            .map(|(name, region, runs_new, offered)| ReportedCounts {
                name,
                region,
                incarnation: 1,
                counts: TrafficCounts {
                    epoch: 1,
                    runs_new: *runs_new,
                    generation: u32::from(*runs_new),
                    total: counts(*offered),
                    classes: Vec::new(),
                },
            });
        evidence.observe(Duration::from_secs(second), reports);
        evidence.summary().windows
    };
    let west_member = ("c", "west", false);
    let before_change = |offered| {
        [
            ("a", "east", true, 0),
            ("b", "east", false, offered),
            (west_member.0, west_member.1, west_member.2, 0),
        ]
    };
    observe(0, &before_change(0));
    // Less demand than a window requires.
    assert_eq!(observe(1, &before_change(5)), 0);
    let after_change = |second: u64| {
        let offered = second * DEMAND;
        [
            ("a", "east", true, offered),
            ("b", "east", true, offered),
            (west_member.0, west_member.1, west_member.2, offered),
        ]
    };
    observe(2, &after_change(2));
    assert!(
        (3..10)
            .map(|second| observe(second, &after_change(second)))
            .last()
            > Some(3)
    );
}
