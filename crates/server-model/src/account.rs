//! One tenant's account over the whole fleet: how many of its requests count in full.

use crate::Micros;
use std::collections::VecDeque;

/// Parts of a request in which the account is kept: so many a microsecond are a millionth of a request a second, so
/// that nothing is rounded from one draw to the next.
const WHOLE: u128 = 1_000_000_000_000;

/// What a tenant may borrow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credit {
    /// The most that it owes, as a time of its quota.
    pub line: Micros,
    /// In which a loan is repaid; who owes for longer gets none, and after so much more it is written off.
    pub term: Micros,
    /// How long after the term an unpaid loan is written off.
    pub write_off: Micros,
    /// The part of its quota that always stays, in thousandths.
    pub floor: u32,
    /// Kinds of requests that are lent for.
    pub kinds: Vec<usize>,
    /// Of loans a second.
    pub rate: u64,
}

/// How a request counts against its tenant's account.
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
    /// Since when, and what is left of it; the oldest first.
    open: VecDeque<(Micros, u128)>,
    owed: u128,
    pace: Account,
}

/// A bucket of one second's depth that fills at the quota's rate, drawn on in the order of arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// What comes in a microsecond; none: all counts.
    rate: Option<u128>,
    left: u128,
    since: Micros,
    loans: Option<Box<Loans>>,
}

impl Account {
    /// Of so many requests a second; 0: all of them.
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

    /// That lends as well.
    pub fn with(mut self, credit: Option<Credit>) -> Account {
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

    /// At least one request, or a quota below one a second would never count any.
    fn depth(&self) -> u128 {
        self.rate.map_or(0, |rate| (rate * 1_000_000).max(WHOLE))
    }

    /// A request comes: whether it is within the quota. If so, it is drawn.
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
        let within = self.left >= WHOLE;
        if within {
            self.left -= WHOLE;
        }
        within
    }
    /// The same for one that may borrow, where there is room.
    pub fn draw_on(&mut self, now: Micros, kind: usize, room: bool) -> Drawn {
        if self.draw(now) {
            return Drawn::Within;
        }
        let rate = self.rate.unwrap_or(0);
        match self
            .loans
            .as_mut()
            .is_some_and(|loans| room && loans.lend(now, kind, rate))
        {
            true => Drawn::Borrowed,
            false => Drawn::Beyond,
        }
    }
}

impl Loans {
    /// Of what came in, what is withheld: enough to be done in half of the term, and what the bucket can't hold.
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

    fn lend(&mut self, now: Micros, kind: usize, rate: u128) -> bool {
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
        let full = self.owed + WHOLE > rate * u128::from(line);
        if late || full || !kinds.contains(&kind) || !self.pace.draw(now) {
            return false;
        }
        self.owed += WHOLE;
        match self
            .open
            .back_mut()
            .filter(|(since, _)| now.saturating_sub(*since) < term / 16)
        {
            Some((_, open)) => *open += WHOLE,
            None => self.open.push_back((now, WHOLE)),
        }
        true
    }
}
