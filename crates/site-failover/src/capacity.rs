//! What each site has shown that it can do for each group: work that was answered in time, reads and writes apart.
//!
//! The most of a window of [`SPAN`], which fades by half in [`HALF`]: so it says no more than was seen, and a site that was never
//! asked for much counts for little. Work is in seconds: of a kind of request the time that it takes unhindered, as the
//! shortest answers tell.

use crate::{Time, GROUPS_LIMIT, SITES_LIMIT};
use std::collections::BTreeMap;
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(1);
const HALF: f64 = 60.0;
/// Kinds of requests whose work is learned.
const KINDS_LIMIT: usize = 256;
/// A short answer is forgotten by this part of the difference with each further one.
const FORGET: f64 = 0.01;
/// Rooms that are kept; those of groups and sites that come later count for nothing.
const ROOMS_LIMIT: usize = 4 * GROUPS_LIMIT;

/// Who has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Room {
    pub group: u32,
    pub site: u16,
    pub write: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Shown {
    /// Work in the window that runs, and when it began.
    now: f64,
    began: Time,
    /// The most of one, as of then.
    most: f64,
    at: Time,
}

impl Shown {
    fn faded(&self, now: Time) -> f64 {
        self.most * 0.5_f64.powf(now.saturating_sub(self.at).as_secs_f64() / HALF)
    }

    fn turn(&mut self, now: Time) {
        let span = now.saturating_sub(self.began);
        if span >= SPAN {
            let rate = self.now / span.as_secs_f64();
            if rate >= self.faded(now) {
                (self.most, self.at) = (rate, now);
            }
            (self.now, self.began) = (0.0, now);
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Capacity {
    rooms: BTreeMap<Room, Shown>,
    /// By kind, in seconds.
    works: BTreeMap<u16, f64>,
}

impl Capacity {
    /// A request of a kind was answered in time after so long.
    pub fn answered(&mut self, now: Time, room: Room, kind: u16, elapsed: Duration) {
        let took = elapsed.as_secs_f64().max(1e-6);
        if self.works.len() < KINDS_LIMIT || self.works.contains_key(&kind) {
            let work = self.works.entry(kind).or_insert(took);
            *work = if took < *work {
                took
            } else {
                *work + (took - *work) * FORGET
            };
        }
        let work = self.work(kind);
        if usize::from(room.site) >= SITES_LIMIT
            || !self.rooms.contains_key(&room) && self.rooms.len() >= ROOMS_LIMIT
        {
            return;
        }
        let shown = self.rooms.entry(room).or_insert(Shown {
            began: now,
            ..Shown::default()
        });
        shown.turn(now);
        shown.now += work;
    }

    /// The work of a kind of request, in seconds; 0: not known.
    pub fn work(&self, kind: u16) -> f64 {
        self.works.get(&kind).copied().unwrap_or(0.0)
    }

    /// Work in a second that a site has shown.
    pub fn shown(&self, now: Time, room: Room) -> f64 {
        let Some(mut shown) = self.rooms.get(&room).copied() else {
            return 0.0;
        };
        shown.turn(now);
        shown.faded(now)
    }

    /// Groups of which a site has served requests.
    pub fn groups(&self, site: u16) -> impl Iterator<Item = u32> + '_ {
        self.rooms
            .keys()
            .filter(move |room| room.site == site)
            .map(|room| room.group)
    }

    /// What a group's other sites have shown.
    pub fn without(&self, now: Time, lost: u16, group: u32, write: bool) -> f64 {
        self.others(now, lost, group, write)
            .map(|(_, shown)| shown)
            .sum()
    }

    /// What each of them has.
    pub fn others(
        &self,
        now: Time,
        lost: u16,
        group: u32,
        write: bool,
    ) -> impl Iterator<Item = (u16, f64)> + '_ {
        let of_group = Room {
            group,
            site: 0,
            write: false,
        }..=Room {
            group,
            site: u16::MAX,
            write: true,
        };
        let others = self.rooms.range(of_group).map(|(room, _)| *room);
        others
            .filter(move |r| r.site != lost && r.write == write)
            .map(move |room| (room.site, self.shown(now, room)))
    }
}
