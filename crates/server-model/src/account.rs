//! Fleet-wide quota account of one tenant: decides which of its requests count with full weight.

use crate::Micros;
use std::collections::VecDeque;

/// Account units per request. One unit per microsecond equals a millionth of a request per second, so that no rounding
/// error accumulates between draws.
const UNITS_PER_REQUEST: u128 = 1_000_000_000_000;

/// Limits on a tenant's borrowing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credit {
    /// Maximum debt, as the time in which the quota produces it.
    pub line: Micros,
    /// Repayment term; a tenant with a loan older than this gets no further loans.
    pub term: Micros,
    /// Time after the end of the term at which an unpaid loan is written off.
    pub write_off: Micros,
    /// Part of the quota that repayment never takes, in thousandths.
    pub floor: u32,
    /// Indices of the request classes that are eligible for loans.
    pub kinds: Vec<usize>,
    /// Maximum rate of new loans per second.
    pub rate: u64,
}

/// How a request was charged to its tenant's account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drawn {
    /// Within the quota.
    Within,
    /// Beyond the quota, on credit.
    Borrowed,
    /// Beyond the quota and without credit.
    Beyond,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Loans {
    credit: Credit,
    /// Open loans as (start, remaining units), oldest first.
    open: VecDeque<(Micros, u128)>,
    owed: u128,
    pace: Account,
}

/// Token bucket that holds one second of quota, fills at the quota's rate and is charged in order of arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Units added per microsecond; `None`: no quota, every request counts.
    rate: Option<u128>,
    left: u128,
    since: Micros,
    loans: Option<Box<Loans>>,
}

impl Account {
    /// Account with this quota in requests per second; 0: no limit.
    pub fn new(per_s: f64) -> Account {
        let rate = (per_s > 0.0).then_some((per_s * 1e6).round() as u128);
        let mut account = Account {
            rate,
            left: 0,
            since: 0,
            loans: None,
        };
        account.left = account.depth();
        account
    }

    /// Adds borrowing; has no effect without a quota.
    pub fn with_credit(mut self, credit: Option<Credit>) -> Account {
        self.loans = credit.filter(|_| self.rate.is_some()).map(|credit| {
            let pace = Account::new(credit.rate as f64);
            Box::new(Loans {
                credit,
                open: VecDeque::new(),
                owed: 0,
                pace,
            })
        });
        self
    }

    /// Capacity of the bucket: at least one request, since otherwise a quota below one per second would admit none.
    fn depth(&self) -> u128 {
        self.rate
            .map_or(0, |rate| (rate * 1_000_000).max(UNITS_PER_REQUEST))
    }

    /// Charges a request if it is within the quota, and returns whether it is.
    pub fn draw(&mut self, now: Micros) -> bool {
        let Some(rate) = self.rate else { return true };
        let came = rate * u128::from(now.saturating_sub(self.since));
        self.since = self.since.max(now);
        let depth = self.depth();
        let repaid = self
            .loans
            .as_mut()
            .map_or(0, |loans| loans.repay(now, rate, came, self.left, depth));
        self.left = (self.left + came - repaid).min(depth);
        let within = self.left >= UNITS_PER_REQUEST;
        if within {
            self.left -= UNITS_PER_REQUEST;
        }
        within
    }
    /// Like [`Account::draw`], but borrows beyond the quota if `room` is set and the credit allows it.
    pub fn draw_or_borrow(&mut self, now: Micros, class: usize, room: bool) -> Drawn {
        if self.draw(now) {
            return Drawn::Within;
        }
        let rate = self.rate.unwrap_or(0);
        match self
            .loans
            .as_mut()
            .is_some_and(|loans| room && loans.lend(now, class, rate))
        {
            true => Drawn::Borrowed,
            false => Drawn::Beyond,
        }
    }
}

impl Loans {
    /// Returns the part of the inflow that goes to repayment: enough to repay within half of the remaining term, plus
    /// the overflow of the bucket.
    fn repay(&mut self, now: Micros, rate: u128, came: u128, left: u128, depth: u128) -> u128 {
        let over = self.credit.term + self.credit.write_off;
        while let Some((_, lost)) = self
            .open
            .front()
            .copied()
            .filter(|(since, _)| now.saturating_sub(*since) >= over)
        {
            self.owed -= lost;
            self.open.pop_front();
        }
        let Some((since, _)) = self.open.front() else {
            return 0;
        };
        let time = u128::from(self.credit.term.saturating_sub(now.saturating_sub(*since)));
        let most = 1000 - u128::from(self.credit.floor.min(1000));
        let need = if time == 0 {
            most
        } else {
            (2000 * self.owed / (rate * time).max(1) + 1).min(most)
        };
        let withheld = came * need / 1000;
        let mut paid = (withheld + (left + came - withheld).saturating_sub(depth)).min(self.owed);
        let all = paid;
        self.owed -= paid;
        while let Some((_, open)) = self.open.front_mut().filter(|_| paid > 0) {
            let part = paid.min(*open);
            (*open, paid) = (*open - part, paid - part);
            if *open == 0 {
                self.open.pop_front();
            }
        }
        all
    }

    fn lend(&mut self, now: Micros, class: usize, rate: u128) -> bool {
        let Credit {
            line,
            term,
            ref kinds,
            ..
        } = self.credit;
        let late = self
            .open
            .front()
            .is_some_and(|(since, _)| now.saturating_sub(*since) >= term);
        let full = self.owed + UNITS_PER_REQUEST > rate * u128::from(line);
        if late || full || !kinds.contains(&class) || !self.pace.draw(now) {
            return false;
        }
        self.owed += UNITS_PER_REQUEST;
        match self
            .open
            .back_mut()
            .filter(|(since, _)| now.saturating_sub(*since) < term / 16)
        {
            Some((_, open)) => *open += UNITS_PER_REQUEST,
            None => self.open.push_back((now, UNITS_PER_REQUEST)),
        }
        true
    }
}
