//! The loans of one stand in one proxy.

use std::collections::VecDeque;
use std::time::Duration;

use crate::rules::{Milli, Rule};

/// Loans made about the same time are one entry.
const ENTRIES: usize = 32;

/// For each stand in a proxy: `lent = repaid + owed + written_off`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Book {
    pub lent: Milli,
    pub repaid: Milli,
    pub written_off: Milli,
    pub owed: Milli,
    /// What this proxy's part of the line comes to.
    pub part: Milli,
    /// Lanes of dead proxies held.
    pub took: u64,
    pub in_default: bool,
    /// Without a new echo nothing is lent from then on.
    pub lends_until: Duration,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Loans {
    pub lent: Milli,
    pub repaid: Milli,
    pub written_off: Milli,
    /// The times of the first and last loan, and what is left of them; the oldest first. Due by the first, written off by
    /// the last: so no loan is repaid late or written off early.
    open: VecDeque<(Duration, Duration, Milli)>,
    /// Of the rate: what may be lent now, as of when.
    room: Milli,
    at: Duration,
}

impl Loans {
    /// What a file says was lent counts as lent now.
    pub fn from_file(now: Duration, lent: Milli, repaid: Milli, written_off: Milli) -> Self {
        let owed = lent.saturating_sub(repaid).saturating_sub(written_off);
        let mut loans = Self {
            lent: repaid + written_off + owed,
            repaid,
            written_off,
            ..Self::default()
        };
        if owed > 0 {
            loans.open.push_back((now, now, owed));
        }
        loans
    }

    pub fn owed(&self) -> Milli {
        self.open.iter().map(|(_, _, left)| left).sum()
    }

    pub fn lend(&mut self, now: Duration, amount: Milli, term: Duration) {
        self.lent += amount;
        let full = self.open.len() >= ENTRIES;
        match self.open.back_mut() {
            Some((first, last, left)) if now.saturating_sub(*first) < term / 16 || full => {
                *last = now;
                *left += amount;
            }
            _ => self.open.push_back((now, now, amount)),
        }
    }

    /// What was owed no more is not taken.
    pub fn repay(&mut self, mut amount: Milli) -> Milli {
        let mut paid = 0;
        while let Some((_, _, left)) = self.open.front_mut() {
            let part = amount.min(*left);
            *left -= part;
            amount -= part;
            paid += part;
            if *left > 0 {
                break;
            }
            self.open.pop_front();
        }
        self.repaid += paid;
        paid
    }

    /// Returns what was written off.
    pub fn write_off(&mut self, now: Duration, after: Duration) -> Milli {
        let mut lost = 0;
        while let Some((_, last, left)) = self.open.front() {
            if now.saturating_sub(*last) < after {
                break;
            }
            lost += left;
            self.open.pop_front();
        }
        self.written_off += lost;
        lost
    }

    pub fn in_default(&self, now: Duration, term: Duration) -> bool {
        self.open
            .front()
            .is_some_and(|(since, _, _)| now.saturating_sub(*since) >= term)
    }

    /// May so much be lent by the rate, of which a second may come at once? Takes it if so.
    pub fn rate(&mut self, now: Duration, amount: Milli, most: Milli) -> bool {
        let passed = now
            .saturating_sub(self.at)
            .min(Duration::from_secs(1))
            .as_millis() as u64;
        // The time that makes less than a thousandth of a request is not lost.
        let more = most.saturating_mul(passed) / 1000;
        if more > 0 {
            self.room = self.room.saturating_add(more).min(most);
            self.at = now;
        }
        let enough = self.room >= amount;
        if enough {
            self.room -= amount;
        }
        enough
    }

    /// What is owed that this proxy's part of the quota won't repay in time: the stand is elsewhere.
    pub fn beyond_means(&self, now: Duration, rule: &Rule, quota: Milli) -> Milli {
        let Some((since, _, _)) = self.open.front() else {
            return 0;
        };
        let left = rule
            .term
            .saturating_sub(now.saturating_sub(*since))
            .as_millis();
        let most = u128::from(1000_u32.saturating_sub(rule.floor));
        let means = u128::from(quota) * most * left / 1_000_000;
        self.owed()
            .saturating_sub(Milli::try_from(means).unwrap_or(Milli::MAX))
    }

    /// The thousandths of this proxy's part of its quota that are withheld now.
    pub fn withhold(
        &self,
        now: Duration,
        rule: &Rule,
        quota: Milli,
        used: u32,
        short: bool,
    ) -> u32 {
        let owed = self.owed();
        let most = 1000_u32.saturating_sub(rule.floor);
        let Some((since, _, _)) = self.open.front() else {
            return 0;
        };
        let left = rule
            .term
            .saturating_sub(now.saturating_sub(*since))
            .as_millis() as u64;
        if owed == 0 || quota == 0 || left == 0 || short {
            return most;
        }
        // Half a term is aimed at: what a stand does not send can't be withheld.
        let need = u128::from(owed) * 2_000_000 / (u128::from(quota) * u128::from(left));
        let quiet = 1000_u32.saturating_sub(used);
        (need.min(1000) as u32 + 1).max(quiet).min(most)
    }
}
