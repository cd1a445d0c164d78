//! Experiments as cells, run over all cores, kept in the store.

use crate::file::{Change, Experiment, ExperimentFile};
use crate::play::play;
use crate::store::{Cell, Store};
use crate::tally::Outcomes;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;

/// Cells of one experiment; more are refused before anything runs.
pub const CELLS_LIMIT: usize = 1_000_000;

/// Every combination, in an order that is always the same: seeds last, so that pairs stand together.
pub fn cells(book: &ExperimentFile, experiment: &Experiment) -> Result<Vec<Cell>, String> {
    let variants: usize = experiment
        .grids
        .iter()
        .map(|g| g.values.len().max(1))
        .product();
    let number =
        variants * experiment.scenarios.len() * experiment.players.len() * experiment.seeds.len();
    if number > CELLS_LIMIT {
        return Err(format!(
            "{} has {number} runs; at most {CELLS_LIMIT} are made",
            experiment.name
        ));
    }
    let mut cells = Vec::with_capacity(number);
    for scenario in &experiment.scenarios {
        for variant in 0..variants {
            let mut left = variant;
            let mut changes = Vec::new();
            for grid in experiment.grids.iter().filter(|g| !g.values.is_empty()) {
                let value = grid.values[left % grid.values.len()].clone();
                left /= grid.values.len();
                let (section, directive) = grid.key.clone();
                changes.push(Change {
                    section,
                    directive,
                    value,
                });
            }
            let made = book.varied(scenario, &changes)?;
            for player in &experiment.players {
                let mut policy = player.policy;
                for change in changes.iter().filter(|c| c.section == "tuning") {
                    let word = format!("{}={}", change.directive, change.value);
                    crate::file::set(&mut policy.tuning, &word)?;
                }
                let varied: Vec<(String, String)> = changes
                    .iter()
                    .map(|c| (format!("{}.{}", c.section, c.directive), c.value.clone()))
                    .collect();
                for seed in &experiment.seeds {
                    cells.push(Cell {
                        scenario: made.clone(),
                        player: player.name.clone(),
                        policy,
                        seed: *seed,
                        varied: varied.clone(),
                    });
                }
            }
        }
    }
    Ok(cells)
}

/// Where a run of many cells is, for whoever shows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Runs that are done.
    pub done: usize,
    /// Of these, those that were there already.
    pub found: usize,
    /// Runs in all.
    pub all: usize,
}

/// Runs what is not there yet, on so many threads. The outcomes stand in the order of the cells whatever the number of
/// threads; those that were not reached before `stop` are none.
pub fn run(
    cells: &[Cell],
    store: Option<&Store>,
    threads: usize,
    stop: &AtomicBool,
    progress: &(dyn Fn(Progress) + Sync),
) -> io::Result<Vec<Option<Outcomes>>> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<Outcomes>>> = Mutex::new(vec![None; cells.len()]);
    let failed: Mutex<Option<io::Error>> = Mutex::new(None);
    let so_far = Mutex::new(Progress {
        all: cells.len(),
        ..Progress::default()
    });
    let work = || loop {
        let at = next.fetch_add(1, Ordering::Relaxed);
        let Some(cell) = cells.get(at).filter(|_| !stop.load(Ordering::Relaxed)) else {
            return;
        };
        let key = cell.key();
        let there = store.and_then(|s| s.load(&key));
        let found = there.is_some();
        let outcomes = there.unwrap_or_else(|| play(&cell.scenario, &cell.policy, cell.seed));
        if let (false, Some(store)) = (found, store) {
            if let Err(error) = store.save(&key, &outcomes) {
                // A full disk ends the run, and what is there stays.
                if let Ok(mut failed) = failed.lock() {
                    failed.get_or_insert(error);
                }
                stop.store(true, Ordering::Relaxed);
            }
        }
        if let Ok(mut results) = results.lock() {
            results[at] = Some(outcomes);
        }
        if let Ok(mut so_far) = so_far.lock() {
            so_far.done += 1;
            so_far.found += usize::from(found);
            progress(*so_far);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, cells.len().max(1)) {
            scope.spawn(work);
        }
    });
    match failed.into_inner().ok().flatten() {
        Some(error) => Err(error),
        None => Ok(results.into_inner().unwrap_or_default()),
    }
}
