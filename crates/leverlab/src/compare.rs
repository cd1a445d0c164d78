//! Runs over seeds, on any number of threads, and paired differences between policies.

use crate::fleet::{run, Outcomes};
use crate::policy::Name;
use crate::scenario::Scenario;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Outcomes by seed, in the order of the seeds, whatever the number of threads.
pub fn runs(scenario: &Scenario, policy: Name, seeds: &[u64], threads: usize) -> Vec<Outcomes> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<Outcomes>>> = Mutex::new(vec![None; seeds.len()]);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some(&seed) = seeds.get(at) else { return };
                let outcome = run(scenario, policy, seed);
                if let Ok(mut results) = results.lock() {
                    results[at] = Some(outcome);
                }
            });
        }
    });
    results.into_inner().unwrap_or_default().into_iter().flatten().collect()
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    pub mean: f64,
    /// Where the mean lies with 95% confidence, by the bootstrap over seeds.
    pub low: f64,
    pub high: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Better,
    Worse,
    CantTell,
}

impl Difference {
    pub fn verdict(&self) -> Verdict {
        match self {
            d if d.low > 0.0 => Verdict::Better,
            d if d.high < 0.0 => Verdict::Worse,
            _ => Verdict::CantTell,
        }
    }
}

const RESAMPLES: usize = 4_000;

/// Of pairs by seed: `new` less `old`. One pair tells nothing of its spread.
pub fn paired(old: &[f64], new: &[f64]) -> Option<Difference> {
    let pairs: Vec<f64> = old.iter().zip(new).map(|(a, b)| b - a).collect();
    if pairs.len() < 2 || old.len() != new.len() {
        return None;
    }
    let mean = |of: &[f64]| of.iter().sum::<f64>() / of.len() as f64;
    let mut rng = StdRng::seed_from_u64(1);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            (0..pairs.len()).map(|_| pairs[rng.random_range(0..pairs.len())]).sum::<f64>()
                / pairs.len() as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |part: f64| means[((RESAMPLES - 1) as f64 * part) as usize];
    Some(Difference { mean: mean(&pairs), low: at(0.025), high: at(0.975) })
}
