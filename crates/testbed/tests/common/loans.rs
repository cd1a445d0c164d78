//! Fleets with quota lending, checked by an independent model: it does not know lanes and verifies that the debts of all
//! proxies together stay within one credit line.

use super::turns::{turn, Turn};
use super::{setup, SECOND};
use invariant_checkers::loans::Checker;
use server_model::clients::Tenant;
use std::time::{Duration, Instant};
use testbed::members::Members;
use testbed::process::EVENT_TIMEOUT;
use testbed::{Setup, Testbed};

/// Short terms, so that tests do not wait long for loans to expire.
const LENDING_SETTINGS: &str = "lending {\n lease 1s\n step 200ms\n longest 3s\n";
const CREDIT_SETTINGS: &str =
    "credit bus {\n term 2s\n write-off 1s\n floor 20%\n class any mine\n rate 200/s\n";
pub const STATE: &str = " state {folder}/tmp\n";
/// Quota of the tenant `bus`, requests per second. Its usual load is below the quota; a surge multiplies the load by
/// `SURGE`.
const QUOTA: u64 = 60;
const SURGE: f64 = 5.0;
/// Number of checker rounds after which all proxies have applied a changed line.
const ROUNDS_TO_SETTLE: u32 = 200;

pub fn operators(state: &str, line: &str) -> String {
    format!("{LENDING_SETTINGS}{state}}}\n{CREDIT_SETTINGS} line {line}\n}}\n")
}

pub struct Fleet {
    pub testbed: Testbed,
    pub checker: Checker,
    /// Indexes of the running proxies, which are checked.
    pub checked: Vec<usize>,
    /// Declared after the testbed, so that it is released after the testbed has ended.
    _turn: Turn,
}

impl Fleet {
    /// Starts a fleet and waits until each proxy is a founder, before a test injects faults.
    pub fn start(proxies: usize, adjust: impl FnOnce(&mut Setup)) -> Fleet {
        let turn = turn();
        let mut setup = setup(proxies, 100.0, 60 * SECOND);
        setup.admin = true;
        setup.operators = operators(STATE, "5s");
        setup.members = Some(Members::default());
        let tenant = |name: &str, share, quota| Tenant {
            name: name.into(),
            share,
            quota,
            credit: None,
        };
        setup.clients.tenants = vec![tenant("bus", 0.4, QUOTA as f64), tenant("desk", 0.6, 0.0)];
        setup.clients.over_quota_weight_fraction = 0.05;
        setup.slack = Duration::from_secs(10);
        adjust(&mut setup);
        let testbed = Testbed::start(setup).unwrap_or_else(|fault| panic!("{fault}"));
        testbed.history.begin();
        let mut fleet = Fleet {
            testbed,
            checker: Checker::new(Some(ROUNDS_TO_SETTLE)),
            checked: (0..proxies).collect(),
            _turn: turn,
        };
        fleet.until(0..proxies, "lb_loans_founded", |n| n == 1);
        fleet
    }

    pub fn metric(&self, proxy: usize, name: &str) -> u64 {
        let figures = self
            .testbed
            .metrics(proxy)
            .unwrap_or_else(|fault| panic!("{fault}"));
        figures.get(name).copied().unwrap_or_default()
    }

    pub fn check_accounts(&mut self) {
        let checked = self.checked.iter().copied();
        self.testbed
            .check_loans(checked, &mut self.checker)
            .unwrap_or_else(|fault| panic!("{fault}"));
        assert_eq!(self.checker.broken.count, 0, "{:?}", self.checker.broken);
    }

    /// Runs checker rounds until the metric `name` of each given proxy satisfies `is`.
    pub fn until(
        &mut self,
        proxies: impl IntoIterator<Item = usize>,
        name: &str,
        is: impl Fn(u64) -> bool,
    ) {
        let end = Instant::now() + EVENT_TIMEOUT;
        for proxy in proxies {
            loop {
                self.check_accounts();
                let value = self.metric(proxy, name);
                if is(value) {
                    break;
                }
                let figures = || self.testbed.metrics(proxy);
                assert!(
                    Instant::now() < end,
                    "{name} of proxy {proxy} is {value}: {:#?}",
                    figures()
                );
            }
        }
    }

    /// Waits until each given proxy has made `more` further loans.
    pub fn wait_for_loans(&mut self, proxies: impl IntoIterator<Item = usize>, more: u64) {
        for proxy in proxies {
            let before = self.metric(proxy, LOANS);
            self.until([proxy], LOANS, |n| n >= before + more);
        }
    }

    pub fn surge(&self, on: bool) {
        self.testbed
            .history
            .surge(Some(0), if on { SURGE } else { 1.0 });
    }

    /// Ends the surge, waits until no debt is left, and checks that lent equals owed plus repaid plus written off.
    pub fn settle(&mut self) {
        self.surge(false);
        self.until(self.checked.clone(), &loan_metric("owed"), |n| n == 0);
        for proxy in self.checked.clone() {
            let figures = self
                .testbed
                .metrics(proxy)
                .unwrap_or_else(|fault| panic!("{fault}"));
            let [lent, owed, repaid, lost] =
                ["lent", "owed", "repaid", "written_off"].map(|part| figures[&loan_metric(part)]);
            assert_eq!(lent, owed + repaid + lost, "proxy {proxy}");
        }
    }

    /// Kills the proxy with SIGKILL. Its debts still count, less the repayments that it may have received since the last
    /// check.
    pub fn kill(&mut self, proxy: usize) {
        self.check_accounts();
        let checked = Instant::now();
        self.testbed.kill(proxy);
        let since = checked.elapsed().as_millis() as u64;
        self.checker.proxy_died(&format!("n{proxy}"), QUOTA * since);
        self.checked.retain(|checked| *checked != proxy);
    }

    pub fn restart(&mut self, proxy: usize) {
        self.testbed
            .restart(proxy)
            .unwrap_or_else(|fault| panic!("{fault}"));
        self.checked.push(proxy);
    }
}

pub const LOANS: &str = "lb_loans_total{stand=\"bus\"}";
pub const LINE: u64 = 5 * QUOTA * 1000;

pub fn loan_metric(part: &str) -> String {
    format!("lb_loan_{part}_milli{{stand=\"bus\"}}")
}

pub fn refused_metric(reason: &str) -> String {
    format!("lb_loans_refused_total{{reason=\"{reason}\"}}")
}
