//! Repayment by others: a lane whose stand has gone to other proxies can't withhold there what it lent here. It asks, they
//! withhold a little more of that stand's quota, and say how much they did for whom; only who lent books it as repaid.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::rules::{Milli, Rule};
use crate::said::{Asks, Paid};

/// Proxies that are listened to, and entries of what is said at a time.
const ASKERS: usize = 256;
const PAYERS: usize = 1024;
const ENTRIES: usize = 20;
/// What is asked for is paid within this part of a term: what others still owe is known a second or two late, and so much of it
/// is paid twice.
const PART_OF_TERM: u32 = 4;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Help {
    /// By who asks: what for each stand, and until when that counts.
    asked: BTreeMap<u32, (BTreeMap<u32, Milli>, Duration)>,
    /// What this process withheld for each lane and stand, in all of its life.
    paid: BTreeMap<(u32, u32), Milli>,
    /// What others said the last time, by name, life and stand.
    seen: BTreeMap<(u32, u64, u32), Milli>,
}

impl Help {
    pub fn heard(&mut self, source: u32, asks: Asks, until: Duration) {
        if self.asked.contains_key(&source) || self.asked.len() < ASKERS {
            self.asked.insert(
                source,
                (asks.stands.into_iter().take(ENTRIES).collect(), until),
            );
        }
    }

    fn asks(&self, now: Duration, stand: u32) -> impl Iterator<Item = (u32, Milli)> + '_ {
        let of = move |(source, (stands, until)): (&u32, &(BTreeMap<u32, Milli>, Duration))| {
            (*until > now)
                .then(|| Some((*source, *stands.get(&stand)?)))
                .flatten()
        };
        self.asked.iter().filter_map(of)
    }

    /// The thousandths of its quota that a stand does without everywhere for what others ask.
    pub fn share(&self, now: Duration, stand: u32, rule: &Rule) -> u32 {
        let asked: u128 = self
            .asks(now, stand)
            .map(|(_, amount)| u128::from(amount))
            .sum();
        let within = u128::from(rule.quota) * (rule.term / PART_OF_TERM).as_millis();
        // In milli-requests, thousandths and milliseconds.
        let share = (asked * 1_000_000).div_ceil(within.max(1));
        share.min(u128::from(1000_u32.saturating_sub(rule.floor))) as u32
    }

    /// So much was withheld beyond what is owed here.
    pub fn pay(&mut self, now: Duration, stand: u32, amount: Milli) {
        let asks: Vec<(u32, Milli)> = self.asks(now, stand).take(ENTRIES).collect();
        let all: u128 = asks.iter().map(|(_, asked)| u128::from(*asked)).sum();
        for (source, asked) in asks.into_iter().filter(|(_, asked)| *asked > 0) {
            if self.paid.len() >= PAYERS && !self.paid.contains_key(&(source, stand)) {
                continue;
            }
            let part = (u128::from(amount) * u128::from(asked) / all) as Milli;
            // Nobody is paid more than it asks for at once.
            let paid = self.paid.entry((source, stand)).or_default();
            *paid = paid.saturating_add(part.min(asked));
        }
    }

    /// What is to be said, of those who ask still.
    pub fn says(&mut self, now: Duration) -> Vec<(u32, u32, Milli)> {
        self.asked.retain(|_, (_, until)| *until > now);
        let asks = |source| self.asked.contains_key(source);
        let paid = self
            .paid
            .iter()
            .filter(|((source, _), _)| asks(source))
            .take(ENTRIES);
        paid.map(|((source, stand), paid)| (*source, *stand, *paid))
            .collect()
    }

    /// What of it is new, by stand. The first word of another's life tells where its count stands, no more: it may be of what
    /// a former life of this lane owed.
    pub fn got(&mut self, me: u32, source: u32, life: u64, paid: Paid) -> Vec<(u32, Milli)> {
        let mut new = Vec::new();
        for (_, stand, total) in paid
            .lanes
            .into_iter()
            .take(ENTRIES)
            .filter(|(lane, ..)| *lane == me)
        {
            let key = (source, life, stand);
            let known = self.seen.contains_key(&key);
            if !known && self.seen.len() >= PAYERS {
                continue;
            }
            // It only grows, so what comes late or again is nothing new.
            let seen = self.seen.entry(key).or_insert(total);
            if total > *seen {
                new.push((stand, total - *seen));
                *seen = total;
            }
        }
        new
    }
}
