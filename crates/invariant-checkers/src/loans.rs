//! The loan accounts of tenants, from observations at each proxy's own figures.
//!
//! Looks are not simultaneous, so the line is checked for instants between two rounds of observations: at the end of a round a
//! proxy owes at least what it had lent by its last observation before, less all that had come back by its first observation after.
//! What is found is a breach for sure; what hides between two observations is not found.

use crate::Breaches;
use std::collections::BTreeMap;

/// What a proxy says of a tenant, in thousandths of a request. All of it is from one instant of that proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoanAccount {
    /// Lent to the tenant so far.
    pub lent: u64,
    /// Repaid by the tenant so far.
    pub repaid: u64,
    /// Given up as lost so far.
    pub written_off: u64,
    /// Still owed.
    pub owed: u64,
    /// Of the line, what the proxy may lend alone. It moves by gifts: no rule goes by it.
    pub part: u64,
    /// What all proxies together may have lent, as this one knows it; 0: it lends nothing to the tenant.
    pub line: u64,
}

/// A rule of lending that was broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Breach {
    /// The accounts of one proxy do not add up.
    #[error(
        "{proxy} on {tenant}: lent is not repaid, owed and written off together in {account:?}"
    )]
    Unbalanced {
        /// The proxy's name.
        proxy: String,
        /// The tenant's name.
        tenant: String,
        /// Its accounts as it showed them.
        account: LoanAccount,
    },
    #[error(
        "{tenant} owes at least {owed} thousandths of a request over all proxies, beyond the line of {line}"
    )]
    /// More is owed over the whole fleet than the credit limit allows, in thousandths of a request.
    CreditLimitExceeded {
        /// The tenant's name.
        tenant: String,
        /// Owed at the least, over all proxies.
        owed: u64,
        /// The credit limit.
        line: u64,
    },
    /// A count that can only grow has shrunk.
    #[error("{proxy} on {tenant}: a count shrank from {was:?} to {is:?}")]
    CountShrank {
        /// The proxy's name.
        proxy: String,
        /// The tenant's name.
        tenant: String,
        /// Its accounts before.
        was: LoanAccount,
        /// Its accounts now.
        is: LoanAccount,
    },
}

#[derive(Clone, Debug)]
struct Known {
    start: u64,
    /// What does not count: of a later start that has its file, what stood in its account at its first observation. A file may say
    /// more lent and less repaid than was.
    base: LoanAccount,
    /// The last observation before the end of the former round; none: this start was first seen in this one.
    before: Option<LoanAccount>,
    /// The first observation of this round.
    after: Option<LoanAccount>,
    last: LoanAccount,
    /// What it may have got back since its last observation, if it is dead.
    dead: Option<u64>,
    /// What it lent is over, and it has not been seen since.
    gone: bool,
    /// What starts still owe that a later one knows nothing of.
    left: u64,
    /// The same, of a start that was looked at in this round: at the end of the former one it may not have owed it.
    leaves: u64,
}

impl Known {
    fn least_at_death(&self) -> u64 {
        let net = least(&self.base, &self.last, &self.last);
        self.dead.map_or(0, |repaid| net.saturating_sub(repaid))
    }

    /// What it surely owed when the former round ended.
    fn least(&self) -> u64 {
        let alive = match (&self.before, &self.after) {
            (Some(before), Some(after)) => least(&self.base, before, after),
            (Some(_), None) => self.least_at_death(),
            (None, _) => 0,
        };
        self.left.saturating_add(alive)
    }

    /// What it owed then at the most; none: it was not looked at on both sides.
    fn most(&self) -> Option<u64> {
        let (before, after) = (self.before?, self.after?);
        let back = before.repaid.saturating_add(before.written_off);
        Some(self.left.saturating_add(after.lent.saturating_sub(back)))
    }

    /// The line that it goes by at the most, over both observations.
    fn line(&self) -> u64 {
        let of = |account: &Option<LoanAccount>| account.map_or(0, |account| account.line);
        of(&self.before).max(of(&self.after)).max(self.last.line)
    }
}

fn least(base: &LoanAccount, before: &LoanAccount, after: &LoanAccount) -> u64 {
    let back = |account: &LoanAccount| account.repaid.saturating_add(account.written_off);
    before
        .lent
        .saturating_sub(base.lent)
        .saturating_sub(back(after).saturating_sub(back(base)))
}

#[derive(Clone, Debug, Default)]
struct Line {
    /// What binds: loans made under a line that has fallen since are none of its breach.
    binds: u64,
    smallest: u64,
    /// Rounds since the smallest fell or another process came.
    steady: u32,
    /// Another process came in this round.
    joined: bool,
}

/// A round is an observation at each living proxy, then `end_round`. It is made before any proxy has started a second
/// time, since what the first start of each says was lent counts as lent, and a line holds until a complete round has seen
/// it: loans under one that nobody saw would pass for a breach.
#[derive(Clone, Debug)]
pub struct Checker {
    settle: Option<u32>,
    /// By stand and proxy.
    books: BTreeMap<String, BTreeMap<String, Known>>,
    lines: BTreeMap<String, Line>,
    /// The breaches found so far.
    pub broken: Breaches<Breach>,
}

impl Checker {
    /// `settle`: rounds after which each proxy has heard of a smaller line and all go by the smallest; until then the
    /// largest binds. None: some can't hear the others, and the largest binds always.
    pub fn new(settle: Option<u32>) -> Checker {
        let (books, lines) = (BTreeMap::new(), BTreeMap::new());
        Checker {
            settle,
            books,
            lines,
            broken: Breaches::default(),
        }
    }

    /// `start`: a number of the process that differs from that of any other start of the proxy.
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
        let books = self.books.entry(tenant.to_owned()).or_default();
        let former = books.get_mut(proxy);
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
        let former = books.get(proxy);
        // A file says at least as much lent as any observation did. One that says less began without it: all that it lent is
        // its own, and what the former start left is owed beside it. What a former start owed is otherwise not counted
        // on: it may have been repaid since its last observation, and its room given away.
        let forgot = former.is_some_and(|former| account.lent < former.last.lent);
        let base = if former.is_none() || forgot {
            LoanAccount::default()
        } else {
            account
        };
        let left = former.map_or(0, |former| former.left);
        let leaves = former.map_or(0, |former| {
            former
                .leaves
                .saturating_add(if forgot { former.least_at_death() } else { 0 })
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
            leaves,
        };
        books.insert(proxy.to_owned(), known);
        self.lines.entry(tenant.to_owned()).or_default().joined = true;
    }

    /// It has died, and what it owed stays owed. `repaid`: the most that it can have got back or written off of any one
    /// stand since its last observation, such as the quota over that time. It holds until its next start is looked at, which
    /// has to be before the next round, or until [`Checker::forget`].
    pub fn proxy_died(&mut self, proxy: &str, repaid: u64) {
        for known in self
            .books
            .values_mut()
            .filter_map(|books| books.get_mut(proxy))
        {
            known.dead = Some(repaid);
        }
    }

    /// What its dead starts lent is over; to be said before others may use the room.
    pub fn forget(&mut self, proxy: &str) {
        for known in self
            .books
            .values_mut()
            .filter_map(|books| books.get_mut(proxy))
        {
            (known.left, known.leaves) = (0, 0);
            if known.dead.take().is_some() {
                // Should it come back, its account tells of them still.
                (known.base, known.before, known.after, known.gone) =
                    (known.last, None, None, true);
            }
        }
    }

    /// All have been looked at once more.
    pub fn end_round(&mut self) {
        for (tenant, books) in &mut self.books {
            let line = self.lines.entry(tenant.clone()).or_default();
            let there = || books.values().filter(|known| !known.gone);
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
            // Nobody alive says a line: what the dead lent is judged by theirs.
            let settled = smallest > 0 && self.settle.is_some_and(|rounds| line.steady >= rounds);
            let largest = there().map(Known::line).max().unwrap_or_default();
            let wanted = if settled { smallest } else { largest };
            let most = there()
                .map(Known::most)
                .try_fold(0, |sum: u64, most| sum.checked_add(most?));
            if wanted >= line.binds || most.is_some_and(|most| most <= wanted) {
                line.binds = wanted;
            }
            let owed = there().fold(0, |sum: u64, known| sum.saturating_add(known.least()));
            if owed > line.binds {
                self.broken.add(Breach::CreditLimitExceeded {
                    tenant: tenant.clone(),
                    owed,
                    line: line.binds,
                });
            }
            for known in books.values_mut().filter(|known| !known.gone) {
                (known.before, known.after) = (Some(known.last), None);
                known.left = known.left.saturating_add(std::mem::take(&mut known.leaves));
            }
        }
    }
}
