//! What is asked of one proxy, by kind: how often of late.

use crate::order::Standing;
use crate::Time;
use std::collections::BTreeMap;

/// Requests of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind {
    pub group: u32,
    pub write: bool,
    pub class: u16,
    pub tenant: u16,
    pub standing: Standing,
    pub repeated: bool,
}

/// Requests are forgotten with this time constant, in seconds.
const FORGET: f64 = 10.0;
const KINDS_LIMIT: usize = 4_096;
/// Fewer in a second than this are forgotten where there is no place.
const RARE: f64 = 0.01;

#[derive(Clone, Debug, Default)]
pub struct Demand {
    kinds: BTreeMap<Kind, (f64, Time)>,
}

fn faded((number, at): (f64, Time), now: Time) -> f64 {
    number * (-now.saturating_sub(at).as_secs_f64() / FORGET).exp()
}

impl Demand {
    pub fn asked(&mut self, now: Time, kind: Kind) {
        if self.kinds.len() >= KINDS_LIMIT && !self.kinds.contains_key(&kind) {
            self.kinds
                .retain(|_, seen| faded(*seen, now) / FORGET >= RARE);
            if self.kinds.len() >= KINDS_LIMIT {
                return;
            }
        }
        let seen = self.kinds.entry(kind).or_insert((0.0, now));
        *seen = (faded(*seen, now) + 1.0, now);
    }

    /// Each kind with how often it is asked for in a second.
    pub fn rates(&self, now: Time) -> impl Iterator<Item = (Kind, f64)> + '_ {
        self.kinds
            .iter()
            .map(move |(kind, seen)| (*kind, faded(*seen, now) / FORGET))
    }
}
