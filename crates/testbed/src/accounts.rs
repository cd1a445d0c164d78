//! What proxies tell of loans and rollouts on their second addresses, for the checkers of what many do together.

use crate::process::Fault;
use crate::Testbed;
use invariant_checkers::loans::{self, Book};
use invariant_checkers::versions::{self, Look, Version};
use rustc_hash::FxHashMap;
use std::time::Duration;

type Told = FxHashMap<String, u64>;

const LENT: &str = "lb_loan_lent_milli{stand=\"";
const START: &str = "lb_start_ms";
/// Books begin anew with a lane, too: others may have taken the former.
const LANE: &str = "lb_loans_lane_ms";

/// By stand, the books that these figures tell.
fn books(figures: &Told) -> Result<Vec<(&str, Book)>, String> {
    let stands = figures
        .keys()
        .filter_map(|name| name.strip_prefix(LENT)?.strip_suffix("\"}"));
    let book = |stand| {
        let figure = |name: &str| {
            let name = format!("lb_loan_{name}_milli{{stand=\"{stand}\"}}");
            figures
                .get(&name)
                .copied()
                .ok_or_else(|| format!("it tells of loans, but not {name}"))
        };
        let (lent, repaid, written_off) =
            (figure("lent")?, figure("repaid")?, figure("written_off")?);
        let (owed, part, line) = (figure("owed")?, figure("part")?, figure("line")?);
        Ok((
            stand,
            Book {
                lent,
                repaid,
                written_off,
                owed,
                part,
                line,
            },
        ))
    };
    stands.map(book).collect()
}

/// What of a rollout the figures tell: versions by their epochs, of halts that of the proposal that it goes by.
fn version(figures: &Told, start: u64) -> Option<Look> {
    let figure = |name: &str| figures.get(name).copied();
    let phase = |name| figure(&format!("lb_rollout_phase{{phase=\"{name}\"}}")) == Some(1);
    let epoch = figure("lb_rollout_epoch")?;
    let version = || Version { epoch, hash: None };
    let halted = phase("halted") || phase("returned");
    let moves = [
        "lb_reloads_ok_total",
        "lb_reloads_failed_total",
        "lb_rollout_runs_failed_total",
    ];
    Some(Look {
        start,
        epoch,
        runs: (figure("lb_rollout_new")? == 1).then(version),
        whole: phase("whole"),
        halted: halted.then(version).into_iter().collect(),
        moves: moves.into_iter().map(figure).sum(),
    })
}

impl Testbed {
    /// A round of looks at the loans of these proxies; each has to be alive.
    pub fn check_loans(
        &self,
        proxies: impl IntoIterator<Item = usize>,
        checker: &mut loans::Checker,
    ) -> Result<(), Fault> {
        for proxy in proxies {
            let figures = self.metrics(proxy)?;
            let fault = |problem| Fault::new(format!("figures of proxy {proxy}: {problem}"));
            let books = books(&figures).map_err(fault)?;
            let start = figures
                .get(START)
                .copied()
                .ok_or_else(|| fault(format!("{START} is not told")))?;
            let lane = figures.get(LANE).copied().unwrap_or_default();
            for (stand, book) in books {
                checker.look(&name(proxy), start ^ lane.rotate_left(20), stand, book);
            }
        }
        checker.round();
        Ok(())
    }

    /// A round of looks at the versions that these proxies are to run; each has to be alive. `now`: since any instant
    /// before the first round. Versions are told apart by their epochs: the file that runs, and halts of other proposals
    /// than the one that a proxy goes by, are in no figure.
    pub fn check_versions(
        &self,
        proxies: impl IntoIterator<Item = usize>,
        now: Duration,
        checker: &mut versions::Checker,
    ) -> Result<(), Fault> {
        for proxy in proxies {
            let figures = self.metrics(proxy)?;
            let process = self.proxies[proxy]
                .process
                .as_ref()
                .map_or(0, |process| process.number().into());
            let look = version(&figures, process).ok_or_else(|| {
                Fault::new(format!(
                    "figures of proxy {proxy}: no rollout is told, set the section rollout"
                ))
            })?;
            checker.look(now, &name(proxy), look);
        }
        checker.round();
        Ok(())
    }
}

/// As its configuration calls it.
fn name(proxy: usize) -> String {
    format!("n{proxy}")
}

#[cfg(test)]
mod tests;
