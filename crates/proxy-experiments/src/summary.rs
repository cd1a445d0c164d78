//! Cells put together: a row for each scenario and policy, with the policy compared by pairs of seeds.

use crate::stats::{paired, Difference, Verdict};
use crate::store::Cell;
use crate::tally::{histogram, Outcomes};
use hdrhistogram::Histogram;
use invariant_checkers::cold::Peak;
use invariant_checkers::Rule;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Over cold starts, what each got in its fullest time over what it bears: above 1 it falls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    /// Number of starts.
    pub starts: usize,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// The greatest.
    pub max: f64,
    /// The greatest over N alone, without what is left to chance.
    pub max_of_allowed: f64,
}

impl Cold {
    /// The distribution over these peaks.
    pub fn of<'a>(peaks: impl IntoIterator<Item = &'a Peak>) -> Cold {
        let peaks: Vec<&Peak> = peaks.into_iter().collect();
        let mut ratios: Vec<f64> = peaks.iter().map(|peak| peak.ratio()).collect();
        ratios.sort_by(f64::total_cmp);
        let at = |q: f64| {
            let rank = (ratios.len() as f64 * q).ceil() as usize;
            ratios.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        let max_of_allowed = peaks
            .iter()
            .map(|peak| peak.ratio_to_allowed())
            .fold(0.0, f64::max);
        Cold {
            starts: ratios.len(),
            p50: at(0.5),
            p99: at(0.99),
            max: at(1.0),
            max_of_allowed,
        }
    }
}

/// Means over seeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The scenario's name.
    pub scenario: String,
    /// What a grid has changed.
    pub varied: Vec<(String, String)>,
    /// The policy's name.
    pub policy: String,
    /// Number of seeds.
    pub seeds: usize,
    /// The weighted score.
    pub score: f64,
    /// Goodput.
    pub goodput: f64,
    /// Goodput of the worst ten seconds.
    pub worst_span: f64,
    /// Goodput of the worst class.
    pub worst_kind: f64,
    /// Goodput of the worst tenant.
    pub worst_tenant: f64,
    /// Per request.
    pub tries: f64,
    /// Attempts for a request.
    pub attempts: f64,
    /// Probes for a request.
    pub probes: f64,
    /// Of all that was served, in microseconds; histograms are put together, not their quantiles.
    pub p50: u64,
    /// 99th percentile of latency.
    pub p99: u64,
    /// Slow start: what cold starts got.
    #[serde(default)]
    pub cold: Cold,
    /// The same of mostly told times alone.
    #[serde(default)]
    pub cold_told: Cold,
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// This policy's score, and its goodput, less that of the one which it is compared with.
    pub against: Option<(Difference, Difference)>,
}

impl Row {
    /// What the difference in score says; none: nothing to compare with.
    pub fn verdict(&self) -> Option<Verdict> {
        self.against.as_ref().map(|(score, _)| score.verdict())
    }

    /// How often any rule was broken.
    pub fn rules_broken(&self) -> u64 {
        self.broken.values().sum()
    }

    /// Scenario and what is varied in it.
    pub fn title(&self) -> String {
        let varied: Vec<String> = self
            .varied
            .iter()
            .map(|(k, v)| format!("{k}={v}"))
            .collect();
        if varied.is_empty() {
            self.scenario.clone()
        } else {
            format!("{} [{}]", self.scenario, varied.join(" "))
        }
    }
}

type Place = (String, Vec<(String, String)>);

/// Rows in the order in which the cells name them.
pub fn rows(cells: &[Cell], outcomes: &[Option<Outcomes>], against: &str) -> Vec<Row> {
    let mut order: Vec<(Place, String)> = Vec::new();
    let mut by: BTreeMap<(Place, String), Vec<(u64, &Outcomes)>> = BTreeMap::new();
    for (cell, outcomes) in cells.iter().zip(outcomes) {
        let Some(outcomes) = outcomes else { continue };
        let key = (
            (cell.scenario.name.clone(), cell.varied.clone()),
            cell.player.clone(),
        );
        if !by.contains_key(&key) {
            order.push(key.clone());
        }
        by.entry(key).or_default().push((cell.seed, outcomes));
    }
    let mut rows = Vec::new();
    for (place, policy) in order {
        let Some(own) = by.get(&(place.clone(), policy.clone())) else {
            continue;
        };
        let other = by
            .get(&(place.clone(), against.to_owned()))
            .filter(|_| policy != against);
        let compared = other.and_then(|other| {
            let pair = |of: fn(&Outcomes) -> f64| paired_by_seed(other, own, of);
            Some((pair(|o| o.score)?, pair(|o| o.goodput)?))
        });
        rows.push(row(place, policy, own, compared));
    }
    rows
}

/// Seeds that both have.
fn paired_by_seed(
    old: &[(u64, &Outcomes)],
    new: &[(u64, &Outcomes)],
    of: fn(&Outcomes) -> f64,
) -> Option<Difference> {
    let (mut a, mut b) = (Vec::new(), Vec::new());
    for (seed, outcomes) in new {
        if let Some((_, other)) = old.iter().find(|(s, _)| s == seed) {
            a.push(of(other));
            b.push(of(outcomes));
        }
    }
    paired(&a, &b)
}

fn row(
    (scenario, varied): Place,
    policy: String,
    runs: &[(u64, &Outcomes)],
    against: Option<(Difference, Difference)>,
) -> Row {
    let number = runs.len().max(1) as f64;
    let mean = |of: fn(&Outcomes) -> f64| runs.iter().map(|(_, o)| of(o)).sum::<f64>() / number;
    let asked = runs.iter().map(|(_, o)| o.whole.asked).sum::<u64>().max(1) as f64;
    let each =
        |of: fn(&Outcomes) -> u64| runs.iter().map(|(_, o)| of(o)).sum::<u64>() as f64 / asked;
    let all = merged(runs.iter().map(|(_, o)| *o), None);
    let mut broken = BTreeMap::new();
    for (rule, times) in runs.iter().flat_map(|(_, o)| &o.broken) {
        *broken.entry(*rule).or_default() += times;
    }
    Row {
        scenario,
        varied,
        policy,
        seeds: runs.len(),
        score: mean(|o| o.score),
        goodput: mean(|o| o.goodput),
        worst_span: mean(|o| o.worst_span),
        worst_kind: mean(|o| o.worst_kind),
        worst_tenant: mean(|o| o.worst_tenant),
        tries: each(|o| o.tries),
        attempts: each(|o| o.attempts),
        probes: each(|o| o.probes),
        p50: all.value_at_quantile(0.5),
        p99: all.value_at_quantile(0.99),
        cold: Cold::of(runs.iter().flat_map(|(_, o)| &o.cold)),
        cold_told: Cold::of(runs.iter().flat_map(|(_, o)| &o.cold_told)),
        broken,
        against,
    }
}

/// Latencies of several runs as one, of one class or of all.
pub fn merged<'a>(runs: impl Iterator<Item = &'a Outcomes>, kind: Option<usize>) -> Histogram<u64> {
    let mut all = histogram();
    for outcomes in runs {
        let wanted = outcomes
            .latencies
            .iter()
            .enumerate()
            .filter(|(at, _)| kind.is_none_or(|k| k == *at));
        for opened in wanted.filter_map(|(_, packed)| packed.open()) {
            // Of one shape, all of them, so nothing is lost.
            _ = all.add(opened);
        }
    }
    all
}
