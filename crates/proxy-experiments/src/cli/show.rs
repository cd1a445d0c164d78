//! Tables for the terminal, and files for those who go on with the figures.

use super::say;
use crate::member::TenantCounts;
use crate::results::{Day, Line, Manifest};
use crate::scenario::{Scenario, SECOND};
use crate::store::{Cell, Store, SOURCES};
use crate::summary::{merged, Cold, Row};
use crate::tally::Outcomes;
use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};
use invariant_checkers::cold::Peak;
use std::error::Error;
use std::fs::File;

/// Cold starts that a run's report names.
const NEAREST: usize = 8;

pub fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(head);
    for column in table.column_iter_mut().skip(2) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

pub fn rows(rows: &[Row], against: &str) {
    let compared = format!("score less {against}'s, 95%");
    let mut out = table(&[
        "scenario",
        "policy",
        "score",
        "goodput",
        "worst 10 s",
        "worst class",
        &compared,
        "effect",
        "verdict",
        "attempts",
        "probes",
        "p50 ms",
        "p99 ms",
        "cold p50/p99/max",
        "told",
        "broken",
    ]);
    for row in rows {
        let (difference, effect) = match &row.against {
            Some((score, _)) => (score.to_string(), format!("{:+.1}", score.effect)),
            None => ("-".into(), "-".into()),
        };
        out.add_row([
            row.title(),
            row.policy.clone(),
            format!("{:.4}", row.score),
            format!("{:.4}", row.goodput),
            format!("{:.4}", row.worst_span),
            format!("{:.4}", row.worst_kind),
            difference,
            effect,
            row.verdict()
                .map_or("-".to_owned(), |v| v.name().to_owned()),
            format!("{:.2}", row.attempts),
            format!("{:.3}", row.probes),
            format!("{:.0}", row.p50 as f64 / 1e3),
            format!("{:.0}", row.p99 as f64 / 1e3),
            cold(&row.cold),
            cold(&row.cold_told),
            row.rules_broken().to_string(),
        ]);
    }
    say(out);
}

/// Of what cold servers bear, what they got.
fn cold(cold: &Cold) -> String {
    match cold.starts {
        0 => "-".to_owned(),
        _ => format!("{:.2}/{:.2}/{:.2}", cold.p50, cold.p99, cold.max),
    }
}

/// One run, whole.
pub fn one(scenario: &Scenario, outcomes: &Outcomes) {
    say!("{}: {}\n", scenario.name, scenario.about);
    say!(
        "score {:.4}: goodput {:.4}, worst 10 s {:.4}, worst class {:.4}, worst tenant {:.4}",
        outcomes.score,
        outcomes.goodput,
        outcomes.worst_span,
        outcomes.worst_kind,
        outcomes.worst_tenant
    );
    say!(
        "by count: goodput {:.4}, worst 10 s {:.4}",
        outcomes.by_count.0,
        outcomes.by_count.1
    );
    say!(
        "tries {}, attempts {}, misses {}, probes {}, dials {}, writes applied {}, undone {}; rules broken {:?}\n",
        outcomes.tries,
        outcomes.attempts,
        outcomes.misses,
        outcomes.probes,
        outcomes.dials,
        outcomes.applied,
        outcomes.undone,
        outcomes.broken
    );
    nearest(outcomes);
    let mut out = table(&[
        "class or tenant",
        "goodput",
        "asked",
        "served",
        "refused",
        "failed",
        "left",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    ]);
    let kinds = scenario
        .clients
        .classes
        .iter()
        .zip(&outcomes.kinds)
        .enumerate();
    for (at, (kind, part)) in kinds {
        let latencies = merged(std::iter::once(outcomes), Some(at));
        let ms = |q: f64| format!("{:.0}", latencies.value_at_quantile(q) as f64 / 1e3);
        out.add_row([kind.name.clone()].into_iter().chain(cells(part)).chain([
            ms(0.5),
            ms(0.99),
            ms(0.999),
        ]));
    }
    for (tenant, part) in scenario.clients.tenants.iter().zip(&outcomes.tenants) {
        let blank = || String::from("-");
        out.add_row([tenant.name.clone()].into_iter().chain(cells(part)).chain([
            blank(),
            blank(),
            blank(),
        ]));
    }
    say(format!("{out}\n"));
    loans(scenario, outcomes);
    let mut out = table(&[
        "second",
        "goodput",
        "asked",
        "served",
        "refused",
        "failed",
        "left",
        "what happens",
    ]);
    for (second, part) in outcomes.seconds.iter().enumerate() {
        let inside = |at: u64| at / SECOND == second as u64;
        let marks: Vec<&str> = outcomes
            .marks
            .iter()
            .filter(|m| inside(m.at))
            .map(|m| m.what.as_str())
            .collect();
        if part.asked > 0 || !marks.is_empty() {
            out.add_row(
                [second.to_string()]
                    .into_iter()
                    .chain(cells(part))
                    .chain([marks.join("; ")]),
            );
        }
    }
    say(out);
}

/// What was lent, where proxies talk: in requests.
fn loans(scenario: &Scenario, outcomes: &Outcomes) {
    let lent = scenario
        .clients
        .tenants
        .iter()
        .zip(&outcomes.loans)
        .filter(|(_, loans)| loans.line > 0);
    let mut out = table(&[
        "tenant",
        "line",
        "most owed",
        "within",
        "borrowed",
        "given back",
        "repaid",
        "written off",
        "owed",
        "line passed",
        "books wrong",
    ]);
    let requests = |milli: u64| format!("{:.1}", milli as f64 / 1e3);
    for (tenant, loans) in lent {
        let all = &loans.all;
        out.add_row([
            tenant.name.clone(),
            requests(loans.line),
            requests(loans.owed_most),
            all.within_quota.to_string(),
            all.borrowed.to_string(),
            requests(all.returned),
            requests(all.repaid),
            requests(all.written_off),
            requests(loans.owed),
            loans.passed.to_string(),
            loans.unbalanced.to_string(),
        ]);
    }
    if out.row_count() > 0 {
        say(format!("{out}\n"));
        turned_away(outcomes);
    }
}

/// Where requests beyond quota come, who was turned away meanwhile: of all tenants, by second.
fn turned_away(outcomes: &Outcomes) {
    let mut out = table(&[
        "second",
        "within",
        "refused",
        "borrowed",
        "given back",
        "beyond",
        "refused",
    ]);
    let seconds = outcomes
        .loans
        .iter()
        .map(|loans| loans.seconds.len())
        .max()
        .unwrap_or(0);
    let sum = |second: usize| {
        let mut sum = TenantCounts::default();
        outcomes
            .loans
            .iter()
            .filter_map(|loans| loans.seconds.get(second))
            .for_each(|stand| sum.add(stand));
        sum
    };
    let mut former = TenantCounts::default();
    for second in 0..seconds {
        let now = sum(second);
        // A proxy that has died has lost what it counted since the last look.
        let of = |count: fn(&TenantCounts) -> u64| count(&now).saturating_sub(count(&former));
        if of(|s| s.borrowed + s.over_quota) > 0 {
            let counts = [
                of(|s| s.within_quota),
                of(|s| s.rejected),
                of(|s| s.borrowed),
            ];
            let counts = counts.into_iter().chain([
                of(|s| s.returned / 1000),
                of(|s| s.over_quota),
                of(|s| s.over_quota_rejected),
            ]);
            out.add_row(
                std::iter::once(second as u64)
                    .chain(counts)
                    .map(|n| n.to_string()),
            );
        }
        former = now;
    }
    say(format!("{out}\n"));
}

/// The cold starts that came nearest to what they bear, of all and of those mostly told.
fn nearest(outcomes: &Outcomes) {
    nearest_of("cold starts", &outcomes.cold);
    nearest_of("cold starts, times mostly told", &outcomes.cold_told);
}

fn nearest_of(what: &str, peaks: &[Peak]) {
    let starts = Cold::of(peaks);
    let mut peaks: Vec<&Peak> = peaks.iter().collect();
    peaks.sort_by(|a, b| b.ratio().total_cmp(&a.ratio()));
    if peaks.is_empty() {
        return;
    }
    let seconds = |micros: u64| format!("{:.2}", micros as f64 / SECOND as f64);
    let mut out = table(&[
        "cold server",
        "start s",
        "its fullest time ends s",
        "got",
        "N",
        "over N",
        "over all that it bears",
        "requests",
        "of proxies",
        "told of the start",
    ]);
    for peak in peaks.iter().take(NEAREST) {
        out.add_row([
            peak.server.to_string(),
            seconds(peak.started),
            seconds(peak.at),
            format!("{:.1}", peak.got),
            format!("{:.1}", peak.allowed),
            format!("{:.2}", peak.ratio_to_allowed()),
            format!("{:.2}", peak.ratio()),
            peak.requests.to_string(),
            peak.proxies.to_string(),
            format!(
                "{:.0}%",
                100.0 * peak.told / peak.got.max(f64::MIN_POSITIVE)
            ),
        ]);
    }
    say!(
        "{what} {}, of what they bear p50/p99/max {}",
        starts.starts,
        cold(&starts)
    );
    say(format!("{out}\n"));
}

fn cells(part: &crate::tally::Part) -> [String; 6] {
    [
        part.goodput().map_or("-".to_owned(), |g| format!("{g:.4}")),
        part.asked.to_string(),
        part.served.to_string(),
        part.refused.to_string(),
        part.failed.to_string(),
        part.left.to_string(),
    ]
}

/// A line for each run, and a manifest with the rows that they come to.
pub fn write(
    store: &Store,
    experiment: &str,
    against: &str,
    cells: &[Cell],
    outcomes: &[Option<Outcomes>],
    rows: &[Row],
) -> Result<(), Box<dyn Error>> {
    let folder = store.folder();
    let table = format!("{experiment}.csv");
    let mut out = csv::Writer::from_writer(File::create(folder.join(&table))?);
    for (cell, outcomes) in cells.iter().zip(outcomes) {
        if let Some(outcomes) = outcomes {
            out.serialize(Line::new(cell, outcomes))?;
        }
    }
    out.flush()?;
    let mut days: Vec<Day> = Vec::new();
    for scenario in cells.iter().map(|c| &c.scenario) {
        if !days.iter().any(|d| d.name == scenario.name) {
            days.push(Day::new(scenario));
        }
    }
    let manifest = Manifest {
        experiment: experiment.into(),
        against: against.into(),
        program: concat!("proxy-experiments ", env!("CARGO_PKG_VERSION")).into(),
        sources: SOURCES.into(),
        table,
        days,
        rows: rows.to_vec(),
    };
    let path = folder.join(format!("{experiment}.json"));
    serde_json::to_writer_pretty(File::create(path)?, &manifest)?;
    Ok(())
}
