//! An experiment held against a stored baseline: for scripts, and for CI.

use super::{book, number, play_cells, show, store, threads, word, End, Result};
use crate::run::cells;
use crate::stats::paired;
use crate::store::SOURCES;
use crate::summary::rows;
use clap::ArgMatches;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Scores by scenario, policy and seed.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Baseline {
    sources: String,
    scores: BTreeMap<String, BTreeMap<u64, f64>>,
}

/// Fails where a score has fallen by more than is allowed and more than seeds scatter, or where the module breaks a rule.
pub fn gate(with: &ArgMatches) -> Result<End> {
    let book = book(with)?;
    let name = word(with, "experiment");
    let experiment = book.experiments.iter().find(|e| e.name == name);
    let experiment = experiment.ok_or_else(|| format!("there is no experiment {name}"))?;
    let path = with
        .get_one::<PathBuf>("baseline")
        .cloned()
        .unwrap_or_default();
    let cells = cells(&book, experiment)?;
    let store = store(with)?;
    let outcomes = play_cells(&cells, store.as_ref(), threads(with))?;
    let mut now = Baseline {
        sources: SOURCES.into(),
        ..Baseline::default()
    };
    for (cell, outcomes) in cells.iter().zip(&outcomes) {
        let Some(outcomes) = outcomes else { continue };
        let key = format!("{} {}", cell.scenario.name, cell.player);
        // Rounded, so that a file of them can be read.
        let score = (outcomes.score * 1e6).round() / 1e6;
        now.scores.entry(key).or_default().insert(cell.seed, score);
    }
    let all = rows(&cells, &outcomes, &experiment.against);
    if with.get_flag("update") {
        let text = serde_json::to_string_pretty(&now).map_err(|e| e.to_string())?;
        std::fs::write(&path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
        show::rows(&all, &experiment.against);
        return Ok(End::Done);
    }
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let before: Baseline =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let allowed = number(with, "allow");
    let mut failed = false;
    for (key, new) in &now.scores {
        let Some(old) = before.scores.get(key) else {
            say!("new    {key}");
            continue;
        };
        let (a, b): (Vec<f64>, Vec<f64>) = new
            .iter()
            .filter_map(|(seed, new)| Some((*old.get(seed)?, *new)))
            .unzip();
        let Some(d) = paired(&a, &b) else { continue };
        let fell = d.mean < -allowed && d.high < 0.0;
        failed |= fell;
        say!("{} {key}: {d}", if fell { "FALLEN" } else { "holds " });
    }
    for row in all
        .iter()
        .filter(|r| r.policy == "module" && r.rules_broken() > 0)
    {
        failed = true;
        say!("BROKEN {}: {:?}", row.title(), row.broken);
    }
    Ok(if failed { End::Found } else { End::Done })
}
