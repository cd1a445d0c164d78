//! Checks the loan accounts of tenants, from observations of each proxy's metrics.
//!
//! Observations of several proxies are not simultaneous, so the credit line is checked for the instants between two rounds
//! of observations. At such an instant the debt at a proxy is at least the amount lent by its last observation before, less
//! the amount repaid or written off by its first observation after. A reported breach is certain; breaches between two
//! observations of the same proxy go undetected.

use crate::Breaches;
use std::collections::BTreeMap;

/// A proxy's account of a tenant at one instant, in thousandths of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoanAccount {
    /// Lent to the tenant so far.
    pub lent: u64,
    /// Repaid by the tenant so far.
    pub repaid: u64,
    /// Written off as lost so far.
    pub written_off: u64,
    /// Still owed.
    pub owed: u64,
    /// Part of the line that the proxy may lend by itself. Proxies transfer parts to each other, so no rule uses it.
    pub part: u64,
    /// Credit line of the whole fleet, as configured at this proxy; 0: the proxy does not lend to the tenant.
    pub line: u64,
}

/// A violated rule of quota lending.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Breach {
    /// The accounts of one proxy do not add up.
    #[error(
        "{proxy}, tenant {tenant}: the amount lent is not the sum of repaid, owed and written off: {account:?}"
    )]
    Unbalanced {
        /// The proxy's name.
        proxy: String,
        /// The tenant's name.
        tenant: String,
        /// The observed account.
        account: LoanAccount,
    },
    #[error(
        "tenant {tenant} owes at least {owed} thousandths of a request over all proxies, more than the line of {line}"
    )]
    /// A tenant owes more over the whole fleet than the credit line allows, in thousandths of a request.
    CreditLimitExceeded {
        /// The tenant's name.
        tenant: String,
        /// Lower bound of the debt over all proxies.
        owed: u64,
        /// The credit line.
        line: u64,
    },
    /// A cumulative count has decreased.
    #[error("{proxy}, tenant {tenant}: a cumulative count decreased, from {was:?} to {is:?}")]
    CountShrank {
        /// The proxy's name.
        proxy: String,
        /// The tenant's name.
        tenant: String,
        /// The previous account.
        was: LoanAccount,
        /// The current account.
        is: LoanAccount,
    },
}

#[derive(Clone, Debug)]
struct Known {
    start: u64,
    /// Amounts that are not counted: for a restart with a state file, the account at its first observation. A state file may
    /// hold more lent and less repaid than there was.
    base: LoanAccount,
    /// The last observation of the previous round; none: this start was first observed in the current round.
    before: Option<LoanAccount>,
    /// The first observation of the current round.
    after: Option<LoanAccount>,
    last: LoanAccount,
    /// For a dead proxy: upper bound of the repayments since its last observation.
    dead: Option<u64>,
    /// All of its loans have expired, and it has not been observed since.
    gone: bool,
    /// Debts of earlier starts that the later start has lost.
    left: u64,
    /// The same for a start that was observed in the current round: these debts may not have existed at the end of the previous one.
    left_this_round: u64,
}

impl Known {
    fn min_debt_at_death(&self) -> u64 {
        let net = min_debt(&self.base, &self.last, &self.last);
        self.dead.map_or(0, |repaid| net.saturating_sub(repaid))
    }

    /// Lower bound of the debt at the end of the previous round.
    fn min_debt(&self) -> u64 {
        let alive = match (&self.before, &self.after) {
            (Some(before), Some(after)) => min_debt(&self.base, before, after),
            (Some(_), None) => self.min_debt_at_death(),
            (None, _) => 0,
        };
        self.left.saturating_add(alive)
    }

    /// Upper bound of the debt at the end of the previous round; none: not observed both before and after it.
    fn most(&self) -> Option<u64> {
        let (before, after) = (self.before?, self.after?);
        let back = before.repaid.saturating_add(before.written_off);
        Some(self.left.saturating_add(after.lent.saturating_sub(back)))
    }

    /// The largest credit line over the observations before and after.
    fn line(&self) -> u64 {
        let of = |account: &Option<LoanAccount>| account.map_or(0, |account| account.line);
        of(&self.before).max(of(&self.after)).max(self.last.line)
    }
}

fn min_debt(base: &LoanAccount, before: &LoanAccount, after: &LoanAccount) -> u64 {
    let back = |account: &LoanAccount| account.repaid.saturating_add(account.written_off);
    before
        .lent
        .saturating_sub(base.lent)
        .saturating_sub(back(after).saturating_sub(back(base)))
}

#[derive(Clone, Debug, Default)]
struct Line {
    /// The line that is enforced: loans made under an earlier, larger line do not violate a reduced one.
    binds: u64,
    smallest: u64,
    /// Number of rounds since the smallest line decreased or a process started.
    steady: u32,
    /// A process was first observed in this round.
    joined: bool,
}

/// Checks credit lines in rounds: an observation of each running proxy, then `end_round`.
///
/// The checker has to be created before any proxy restarts, since the amounts lent by the first observed start of each
/// proxy count in full. A line has to stay in force until a complete round has observed it; loans under an unobserved line
/// would be reported as a breach.
#[derive(Clone, Debug)]
pub struct Checker {
    settle: Option<u32>,
    /// Key: tenant, then proxy.
    accounts: BTreeMap<String, BTreeMap<String, Known>>,
    lines: BTreeMap<String, Line>,
    /// The breaches found so far.
    pub broken: Breaches<Breach>,
}

impl Checker {
    /// `settle`: number of rounds after which all proxies apply a reduced line, so that the smallest is enforced; until then
    /// the largest is. None: proxies may be partitioned, and the largest line is always enforced.
    pub fn new(settle: Option<u32>) -> Checker {
        let (accounts, lines) = (BTreeMap::new(), BTreeMap::new());
        Checker {
            settle,
            accounts,
            lines,
            broken: Breaches::default(),
        }
    }

    /// Takes an observation of a proxy's account of a tenant; `start`: identifies the process, unique among the proxy's starts.
    pub fn observe(&mut self, proxy: &str, start: u64, tenant: &str, account: LoanAccount) {
        let named = || (proxy.to_owned(), tenant.to_owned());
        let sum = [account.repaid, account.owed, account.written_off]
            .map(u128::from)
            .iter()
            .sum();
        if u128::from(account.lent) != sum {
            let (proxy, tenant) = named();
            self.broken.add(Breach::Unbalanced {
                proxy,
                tenant,
                account,
            });
        }
        let accounts = self.accounts.entry(tenant.to_owned()).or_default();
        let former = accounts.get_mut(proxy);
        if let Some(known) = former.filter(|known| known.start == start) {
            let was = known.last;
            let counts = |b: &LoanAccount| [b.lent, b.repaid, b.written_off];
            if counts(&account)
                .iter()
                .zip(counts(&was))
                .any(|(is, was)| *is < was)
            {
                let (proxy, tenant) = named();
                self.broken.add(Breach::CountShrank {
                    proxy,
                    tenant,
                    was,
                    is: account,
                });
            }
            known.after.get_or_insert(account);
            (known.last, known.dead, known.gone) = (account, None, false);
            return;
        }
        let former = accounts.get(proxy);
        // A state file holds at least as much lent as any observation. A start with less began without a state file: all of
        // its loans are new, and the debts of the former start remain in addition. Otherwise the debts of the former start
        // are not counted: they may have been repaid since its last observation, and the room lent again.
        let lost_state = former.is_some_and(|former| account.lent < former.last.lent);
        let base = if former.is_none() || lost_state {
            LoanAccount::default()
        } else {
            account
        };
        let left = former.map_or(0, |former| former.left);
        let left_this_round = former.map_or(0, |former| {
            former.left_this_round.saturating_add(if lost_state {
                former.min_debt_at_death()
            } else {
                0
            })
        });
        let known = Known {
            start,
            base,
            before: None,
            after: Some(account),
            last: account,
            dead: None,
            gone: false,
            left,
            left_this_round,
        };
        accounts.insert(proxy.to_owned(), known);
        self.lines.entry(tenant.to_owned()).or_default().joined = true;
    }

    /// Records that a proxy has died; its debts remain. `repaid`: upper bound of the amount repaid or written off by any
    /// one tenant since the last observation, such as the quota over that time. This applies until the next start is
    /// observed, which has to come before the next round, or until [`Checker::forget`].
    pub fn proxy_died(&mut self, proxy: &str, repaid: u64) {
        for known in self
            .accounts
            .values_mut()
            .filter_map(|accounts| accounts.get_mut(proxy))
        {
            known.dead = Some(repaid);
        }
    }

    /// Records that all loans of a proxy's dead starts have expired. Must be called before others may lend the freed room.
    pub fn forget(&mut self, proxy: &str) {
        for known in self
            .accounts
            .values_mut()
            .filter_map(|accounts| accounts.get_mut(proxy))
        {
            (known.left, known.left_this_round) = (0, 0);
            if known.dead.take().is_some() {
                // After a return the account still includes the expired loans.
                (known.base, known.before, known.after, known.gone) =
                    (known.last, None, None, true);
            }
        }
    }

    /// Ends a round in which each running proxy has been observed.
    pub fn end_round(&mut self) {
        for (tenant, accounts) in &mut self.accounts {
            let line = self.lines.entry(tenant.clone()).or_default();
            let there = || accounts.values().filter(|known| !known.gone);
            let seen = there().filter(|known| known.after.is_some());
            let smallest = seen
                .map(Known::line)
                .filter(|line| *line > 0)
                .min()
                .unwrap_or_default();
            let moved = std::mem::take(&mut line.joined) || smallest < line.smallest;
            line.steady = if moved {
                0
            } else {
                line.steady.saturating_add(1)
            };
            line.smallest = smallest;
            // Without a running proxy that has a line, the dead proxies' loans are checked against their own lines.
            let settled = smallest > 0 && self.settle.is_some_and(|rounds| line.steady >= rounds);
            let largest = there().map(Known::line).max().unwrap_or_default();
            let wanted = if settled { smallest } else { largest };
            let most = there()
                .map(Known::most)
                .try_fold(0, |sum: u64, most| sum.checked_add(most?));
            if wanted >= line.binds || most.is_some_and(|most| most <= wanted) {
                line.binds = wanted;
            }
            let owed = there().fold(0, |sum: u64, known| sum.saturating_add(known.min_debt()));
            if owed > line.binds {
                self.broken.add(Breach::CreditLimitExceeded {
                    tenant: tenant.clone(),
                    owed,
                    line: line.binds,
                });
            }
            for known in accounts.values_mut().filter(|known| !known.gone) {
                (known.before, known.after) = (Some(known.last), None);
                known.left = known
                    .left
                    .saturating_add(std::mem::take(&mut known.left_this_round));
            }
        }
    }
}
