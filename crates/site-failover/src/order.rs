//! What is served of what is asked where there is not room for all: one order for every proxy.
//!
//! Refused first is what is beyond its quota, then what clients repeat, then what is worth least for its work. Of one rank, no
//! tenant gets more for its share than another that is refused. Nothing is served of a rank below one of which anything
//! is refused: a rank is served in full, in part (one only), or not at all.

use std::collections::BTreeMap;

/// Where a request stands in its tenant's quota, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    Within,
    Borrowed,
    Beyond,
}

/// Requests of one kind, asked so often.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// What has room for them: servers of one group, for writes or for reads.
    pub room: usize,
    pub tenant: u16,
    /// The tenant's part of what there is, beside those of others.
    pub share: f64,
    pub standing: Standing,
    pub repeated: bool,
    /// Of one request, the worth and the work.
    pub worth: f64,
    pub work: f64,
    /// Requests in a second.
    pub rate: f64,
}

impl Ask {
    fn sound(&self) -> bool {
        let fine = |n: f64| n.is_finite() && n > 0.0;
        fine(self.work) && fine(self.rate) && fine(self.share) && self.worth.is_finite()
    }

    fn demand(&self) -> f64 {
        self.work * self.rate
    }
}

/// The best first.
fn rank(a: &Ask, b: &Ask) -> std::cmp::Ordering {
    let value = |ask: &Ask| ask.worth / ask.work;
    let kind = |ask: &Ask| (ask.standing, ask.repeated);
    kind(a).cmp(&kind(b)).then(value(b).total_cmp(&value(a)))
}

/// Whether `a` is refused only when nothing is served of `b`.
pub fn before(a: &Ask, b: &Ask) -> bool {
    rank(a, b).is_lt()
}

/// The part of each that is served, from 0 to 1. `rooms`: work in a second; one that is not named is none. What makes no sense
/// (no work, no rate) is not served and takes nothing.
pub fn served(asks: &[Ask], rooms: &[f64]) -> Vec<f64> {
    let mut parts = vec![0.0; asks.len()];
    let mut order: Vec<usize> = (0..asks.len()).filter(|at| asks[*at].sound()).collect();
    order.sort_by(|a, b| {
        asks[*a]
            .room
            .cmp(&asks[*b].room)
            .then_with(|| rank(&asks[*a], &asks[*b]))
    });
    for of_room in order.chunk_by(|a, b| asks[*a].room == asks[*b].room) {
        let room = of_room
            .first()
            .and_then(|at| rooms.get(asks[*at].room))
            .copied()
            .unwrap_or(0.0);
        let mut left = if room.is_finite() { room.max(0.0) } else { 0.0 };
        for equal in of_room.chunk_by(|a, b| rank(&asks[*a], &asks[*b]).is_eq()) {
            let all: f64 = equal.iter().map(|at| asks[*at].demand()).sum();
            if all <= left {
                equal.iter().for_each(|at| parts[*at] = 1.0);
                left -= all;
                continue;
            }
            share_out(asks, equal, left, &mut parts);
            // Of a lower rank nothing is served, however small: room that is left for a moment is the higher one's.
            break;
        }
    }
    parts
}

/// Progressive filling: whoever wants less than its share of what is left gets all of it, and leaves the rest to the others.
fn share_out(asks: &[Ask], equal: &[usize], room: f64, parts: &mut [f64]) {
    let mut tenants: BTreeMap<u16, (f64, f64)> = BTreeMap::new();
    for at in equal {
        let (wants, share) = tenants.entry(asks[*at].tenant).or_insert((0.0, 0.0));
        *wants += asks[*at].demand();
        *share = share.max(asks[*at].share);
    }
    let mut thirst: Vec<(f64, f64, u16)> = tenants
        .into_iter()
        .map(|(tenant, (wants, share))| (wants, share, tenant))
        .collect();
    thirst.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let (mut left, mut shares) = (room, thirst.iter().map(|t| t.1).sum::<f64>());
    for (wants, share, tenant) in thirst {
        let gets = wants.min(left * (share / shares).min(1.0));
        (left, shares) = ((left - gets).max(0.0), shares - share);
        let mine = equal.iter().filter(|at| asks[**at].tenant == tenant);
        mine.for_each(|at| parts[*at] = (gets / wants).clamp(0.0, 1.0));
    }
}

/// The worth that is served, as a part of the worth that is asked for; all of it where nothing is asked.
pub fn headroom(asks: &[Ask], rooms: &[f64]) -> f64 {
    let worth = |ask: &Ask| {
        if ask.sound() {
            ask.worth.max(0.0) * ask.rate
        } else {
            0.0
        }
    };
    let all: f64 = asks.iter().map(worth).sum();
    let kept: f64 = asks
        .iter()
        .zip(served(asks, rooms))
        .map(|(ask, part)| worth(ask) * part)
        .sum();
    if all > 0.0 {
        kept / all
    } else {
        1.0
    }
}
