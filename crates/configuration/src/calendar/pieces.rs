//! Divides time into pieces, each of which lies either inside or outside of any window.

use super::days::{Days, DAYS};
use super::window::Part;
use super::{Moment, Window};
use crate::ranges::Ranges;
use crate::value::SECONDS_PER_DAY;
use std::collections::HashMap;

/// Number of days left out at both ends of the calendar: windows lack the hours that cross midnight from days beyond it.
const EDGE_DAYS: u32 = 3;
/// 1 January 2026, as days since 1970; examples prefer days from then on.
const PREFERRED_FROM_DAY: u32 = 20_454;
/// Time divided into pieces that no window divides further. A piece is a kind of day and a part of the day; days are of
/// the same kind if they belong to the same windows.
pub struct TimePieces {
    /// Start of each part of the day, in seconds.
    cuts: Vec<u32>,
    /// An example of each kind of day.
    days: Vec<u32>,
    /// The kind of each day from [`EDGE_DAYS`] on, as a position in `days`.
    kind_of_day: Vec<u32>,
}

impl TimePieces {
    /// The pieces into which these windows divide time.
    pub fn of<'a>(windows: impl Iterator<Item = &'a Window>) -> TimePieces {
        let parts: Vec<&Part> = windows.flat_map(|w| &w.parts).collect();
        let mut cuts: Vec<u32> = parts
            .iter()
            .flat_map(|p| [p.from, p.to])
            .filter(|c| *c < SECONDS_PER_DAY)
            .collect();
        cuts.push(0);
        cuts.sort_unstable();
        cuts.dedup();
        if parts.is_empty() {
            return TimePieces {
                cuts,
                days: vec![0],
                kind_of_day: Vec::new(),
            };
        }
        let sets = distinct_days(&parts);
        let (days, kind_of_day) = kinds_of_day(&sets);
        TimePieces {
            cuts,
            days,
            kind_of_day,
        }
    }

    /// Number of pieces.
    pub fn number(&self) -> u128 {
        self.days.len() as u128 * self.cuts.len() as u128
    }

    /// The set of all pieces.
    pub fn all(&self) -> Ranges {
        Ranges::one(0, self.number() - 1)
    }

    /// The pieces inside a window.
    pub fn of_window(&self, window: &Window) -> Ranges {
        let width = self.cuts.len() as u128;
        let mut list = Vec::new();
        for part in &window.parts {
            let first = self.cuts.partition_point(|cut| *cut < part.from) as u128;
            let last = self.cuts.partition_point(|cut| *cut < part.to) as u128 - 1;
            for (kind, day) in self.days.iter().enumerate() {
                if part.days.contains(*day) {
                    list.push((kind as u128 * width + first, kind as u128 * width + last));
                }
            }
        }
        Ranges::from_list(list)
    }

    /// The piece that contains a moment.
    pub fn of_moment(&self, at: Moment) -> u128 {
        let day = at.day.saturating_sub(EDGE_DAYS) as usize;
        let kind = self.kind_of_day.get(day).copied().unwrap_or(0);
        let part = self
            .cuts
            .partition_point(|cut| *cut <= at.second)
            .saturating_sub(1);
        u128::from(kind) * self.cuts.len() as u128 + part as u128
    }

    /// A moment in a set of pieces: noon on 1 January 2026 if the set contains it.
    pub fn example(&self, set: &Ranges) -> Option<Moment> {
        let noon = Moment {
            day: PREFERRED_FROM_DAY,
            second: SECONDS_PER_DAY / 2,
        };
        if set.contains(self.of_moment(noon)) {
            return Some(noon);
        }
        set.first().map(|piece| self.moment(piece))
    }

    /// A moment in a piece.
    pub fn moment(&self, piece: u128) -> Moment {
        let width = self.cuts.len() as u128;
        let day = self
            .days
            .get((piece / width) as usize)
            .copied()
            .unwrap_or(0);
        let second = self
            .cuts
            .get((piece % width) as usize)
            .copied()
            .unwrap_or(0);
        Moment { day, second }
    }
}

/// The distinct sets of days of the parts, which often share them.
fn distinct_days<'a>(parts: &[&'a Part]) -> Vec<&'a Days> {
    let mut sets: Vec<&Days> = Vec::new();
    for part in parts {
        if !sets.contains(&&part.days) {
            sets.push(&part.days);
        }
    }
    sets
}

/// Groups days into kinds: days are of the same kind if they are in the same sets. Returns an example of each kind, and
/// the kind of each day from [`EDGE_DAYS`] on.
fn kinds_of_day(sets: &[&Days]) -> (Vec<u32>, Vec<u32>) {
    // There are rarely more than 64 sets; the key of up to 64 is one word, which needs no allocation.
    let mut kinds_of_word: HashMap<u64, u32> = HashMap::new();
    let mut kinds: HashMap<Vec<u64>, u32> = HashMap::new();
    let mut days: Vec<u32> = Vec::new();
    let mut kind_of_day = Vec::with_capacity(DAYS);
    let mut key = vec![0_u64; sets.len().div_ceil(64)];
    for day in EDGE_DAYS..DAYS as u32 - EDGE_DAYS {
        key.fill(0);
        for (at, set) in sets.iter().enumerate() {
            key[at / 64] |= u64::from(set.contains(day)) << (at % 64);
        }
        let next = days.len() as u32;
        let kind = match key.as_slice() {
            [one] => *kinds_of_word.entry(*one).or_insert(next),
            _ => *kinds.entry(key.clone()).or_insert(next),
        };
        match days.get_mut(kind as usize) {
            None => days.push(day),
            // Prefers an example from 2026 on if the kind has one.
            Some(known) if *known < PREFERRED_FROM_DAY && day >= PREFERRED_FROM_DAY => *known = day,
            Some(_) => {}
        }
        kind_of_day.push(kind);
    }
    (days, kind_of_day)
}
