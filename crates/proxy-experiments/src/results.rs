//! What an experiment leaves on disk beside its runs: a table with a line for each, and a manifest.

use crate::scenario::Scenario;
use crate::store::Cell;
use crate::summary::{merged, Cold, Row};
use crate::tally::Outcomes;
use serde::{Deserialize, Serialize};

/// One run, in the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The scenario's name.
    pub scenario: String,
    /// As `key=value`, divided by blanks.
    pub varied: String,
    /// The policy's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// The weighted score.
    pub score: f64,
    /// Goodput.
    pub goodput: f64,
    /// Goodput of the worst ten seconds.
    pub worst_10s: f64,
    /// Goodput of the worst class.
    pub worst_class: f64,
    /// Goodput of the worst tenant.
    pub worst_tenant: f64,
    /// Requests that clients sent.
    pub asked: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client left.
    pub left: u64,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts of proxies.
    pub attempts: u64,
    /// Attempts that a server rejected untouched.
    pub misses: u64,
    /// Probes.
    pub probes: u64,
    /// Connections made.
    pub dials: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of latency in microseconds.
    pub p99_us: u64,
    /// How often any rule was broken.
    pub rules_broken: u64,
    /// Cold starts, and what they got at the most, over what they bear.
    pub cold_starts: usize,
    /// Median over the cold starts.
    pub cold_p50: f64,
    /// 99th percentile over the cold starts.
    pub cold_p99: f64,
    /// The greatest.
    pub cold_max: f64,
    /// The same of those times alone of which over two thirds came from proxies that had been told of the start.
    pub cold_told_starts: usize,
    /// 99th percentile.
    pub cold_told_p99: f64,
    /// The greatest.
    pub cold_told_max: f64,
    /// The run itself, by its key.
    pub cell: String,
}

impl Line {
    /// The line of a run.
    pub fn new(cell: &Cell, o: &Outcomes) -> Line {
        let varied: Vec<String> = cell
            .varied
            .iter()
            .map(|(k, v)| format!("{k}={v}"))
            .collect();
        let latencies = merged(std::iter::once(o), None);
        let cold = Cold::of(&o.cold);
        let told = Cold::of(&o.cold_told);
        Line {
            scenario: cell.scenario.name.clone(),
            varied: varied.join(" "),
            policy: cell.player.clone(),
            seed: cell.seed,
            score: o.score,
            goodput: o.goodput,
            worst_10s: o.worst_span,
            worst_class: o.worst_kind,
            worst_tenant: o.worst_tenant,
            asked: o.whole.asked,
            served: o.whole.served,
            refused: o.whole.refused,
            failed: o.whole.failed,
            left: o.whole.left,
            tries: o.tries,
            attempts: o.attempts,
            misses: o.misses,
            probes: o.probes,
            dials: o.dials,
            p50_us: latencies.value_at_quantile(0.5),
            p99_us: latencies.value_at_quantile(0.99),
            rules_broken: o.rules_broken(),
            cold_starts: cold.starts,
            cold_p50: cold.p50,
            cold_p99: cold.p99,
            cold_max: cold.max,
            cold_told_starts: told.starts,
            cold_told_p99: told.p99,
            cold_told_max: told.max,
            cell: cell.key(),
        }
    }
}

/// A scenario, as far as a report tells of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Day {
    /// The scenario's name.
    pub name: String,
    /// What it is about.
    pub about: String,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// In seconds: name, begin and end.
    pub troubles: Vec<(String, f64, f64)>,
}

impl Day {
    /// What a report shows of a scenario.
    pub fn new(scenario: &Scenario) -> Day {
        let seconds = |micros: u64| micros as f64 / 1e6;
        let trouble = |t: &crate::scenario::ScheduledFault| {
            (
                t.name.clone(),
                seconds(t.at),
                seconds(t.at.saturating_add(t.span)),
            )
        };
        Day {
            name: scenario.name.clone(),
            about: scenario.about.clone(),
            classes: scenario
                .clients
                .classes
                .iter()
                .map(|k| k.name.clone())
                .collect(),
            troubles: scenario.faults.iter().map(trouble).collect(),
        }
    }
}

/// What stands beside the results of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// The experiment's name.
    pub experiment: String,
    /// The policy that the others are compared with.
    pub against: String,
    /// Name and version of the program.
    pub program: String,
    /// Of all that decides how a run goes.
    pub sources: String,
    /// The file with a line for each run.
    pub table: String,
    /// The scenarios.
    pub days: Vec<Day>,
    /// The means over seeds.
    pub rows: Vec<Row>,
}
