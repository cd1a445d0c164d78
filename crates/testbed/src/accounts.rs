//! Reads loan accounts and rollout states from the proxies' metrics and passes them to the fleet-wide checkers.

use crate::process::Fault;
use crate::Testbed;
use invariant_checkers::loans::{self, LoanAccount};
use invariant_checkers::versions::{self, Observation, Version};
use rustc_hash::FxHashMap;
use std::time::Duration;

type Metrics = FxHashMap<String, u64>;

const LENT: &str = "lb_loan_lent_milli{stand=\"";
const START: &str = "lb_start_ms";
/// Incarnation of a proxy's loan account: a new one starts an empty account, since others may have taken over the former lane.
const ACCOUNT_INCARNATION: &str = "lb_loans_lane_ms";

/// Loan accounts by tenant.
fn accounts(metrics: &Metrics) -> Result<Vec<(&str, LoanAccount)>, String> {
    let tenants = metrics
        .keys()
        .filter_map(|name| name.strip_prefix(LENT)?.strip_suffix("\"}"));
    let account = |tenant| {
        let metric = |name: &str| {
            let name = format!("lb_loan_{name}_milli{{stand=\"{tenant}\"}}");
            metrics
                .get(&name)
                .copied()
                .ok_or_else(|| format!("loan metrics without {name}"))
        };
        let (lent, repaid, written_off) =
            (metric("lent")?, metric("repaid")?, metric("written_off")?);
        let (owed, part, line) = (metric("owed")?, metric("part")?, metric("line")?);
        Ok((
            tenant,
            LoanAccount {
                lent,
                repaid,
                written_off,
                owed,
                part,
                line,
            },
        ))
    };
    tenants.map(account).collect()
}

/// Rollout state from the metrics: versions are identified by their epochs, and only a halt of the followed proposal is visible.
fn version(metrics: &Metrics, start: u64) -> Option<Observation> {
    let metric = |name: &str| metrics.get(name).copied();
    let phase = |name| metric(&format!("lb_rollout_phase{{phase=\"{name}\"}}")) == Some(1);
    let epoch = metric("lb_rollout_epoch")?;
    let version = || Version { epoch, hash: None };
    let halted = phase("halted") || phase("returned");
    let moves = [
        "lb_reloads_ok_total",
        "lb_reloads_failed_total",
        "lb_rollout_runs_failed_total",
    ];
    Some(Observation {
        start,
        epoch,
        runs: (metric("lb_rollout_new")? == 1).then(version),
        whole: phase("whole"),
        halted: halted.then(version).into_iter().collect(),
        moves: moves.into_iter().map(metric).sum(),
    })
}

impl Testbed {
    /// Runs one checker round over the loan accounts of these proxies, which must be running.
    pub fn check_loans(
        &self,
        proxies: impl IntoIterator<Item = usize>,
        checker: &mut loans::Checker,
    ) -> Result<(), Fault> {
        for proxy in proxies {
            let metrics = self.metrics(proxy)?;
            let fault = |problem| Fault::new(format!("metrics of proxy {proxy}: {problem}"));
            let accounts = accounts(&metrics).map_err(fault)?;
            let start = metrics
                .get(START)
                .copied()
                .ok_or_else(|| fault(format!("metric {START} is missing")))?;
            let incarnation = metrics
                .get(ACCOUNT_INCARNATION)
                .copied()
                .unwrap_or_default();
            for (tenant, account) in accounts {
                checker.observe(
                    &name(proxy),
                    start ^ incarnation.rotate_left(20),
                    tenant,
                    account,
                );
            }
        }
        checker.end_round();
        Ok(())
    }

    /// Runs one checker round over the versions of these proxies, which must be running. `now`: time since a fixed instant
    /// before the first round. Versions are identified by their epochs: no metric has the hash of the running file or
    /// halts of proposals other than the one that a proxy follows.
    pub fn check_versions(
        &self,
        proxies: impl IntoIterator<Item = usize>,
        now: Duration,
        checker: &mut versions::Checker,
    ) -> Result<(), Fault> {
        for proxy in proxies {
            let metrics = self.metrics(proxy)?;
            let process = self.proxies[proxy]
                .process
                .as_ref()
                .map_or(0, |process| process.number().into());
            let look = version(&metrics, process).ok_or_else(|| {
                Fault::new(format!(
                    "metrics of proxy {proxy}: no rollout metrics; the operators' file needs a rollout section"
                ))
            })?;
            checker.observe(now, &name(proxy), look);
        }
        checker.end_round();
        Ok(())
    }
}

/// Member name of a proxy, as in its configuration.
fn name(proxy: usize) -> String {
    format!("n{proxy}")
}

#[cfg(test)]
mod tests;
