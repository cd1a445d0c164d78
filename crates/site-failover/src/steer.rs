//! What is refused first while a site is lost: a level that follows what the decision module refuses, and how it is spent on
//! kinds of requests.
//!
//! The level is the part of the work of reads that has no room. What capacity is left is not known: what was shown errs to
//! less. So it goes by proof: it rises while first tries of kinds that are served in full find no room, and falls while
//! they do. Those of the lowest rank pay for it. Writes are left alone: what they lack, most of all, is a primary.

use crate::order::{served, Ask, Standing};
use crate::{Kind, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// The level moves, and parts are computed again, this often.
pub const LOOK: Duration = Duration::from_millis(250);
/// What was refused counts for this much less with each look.
const KEPT: f64 = 0.7;
/// Fewer first tries than this say nothing.
const FEW: f64 = 5.0;
/// Of first tries so many find no room by chance: servers' times scatter.
const USUAL: f64 = 0.02;
/// In one look the level rises by this part of what is refused beyond that, and by so much at the most ...
const RISE: f64 = 0.5;
const RISE_MOST: f64 = 0.05;
/// ... and falls by so much, and by this part of itself; so many times as fast once no site is lost.
const FALL: f64 = 0.01;
const FADE: f64 = 0.05;
const AFTER: f64 = 5.0;
/// Something is always taken in: what is refused in full tells of no room that is there again.
const MOST: f64 = 0.9;

#[derive(Clone, Debug, Default)]
pub struct Steer {
    level: f64,
    /// First tries within their quotas, of kinds that are served in full, of late; and those of them without room.
    asked: f64,
    short: f64,
    looked: Time,
    /// Of kinds that are not served in full, the part to be refused.
    refused: BTreeMap<Kind, f64>,
}

impl Steer {
    pub fn due(&self, now: Time) -> bool {
        now.saturating_sub(self.looked) >= LOOK
    }

    /// The part of the work of reads that has no room; it outlasts the loss of a site for a moment.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The part of a kind that is to be refused.
    pub fn part(&self, kind: &Kind) -> f64 {
        self.refused.get(kind).copied().unwrap_or(0.0)
    }

    /// Whether what becomes of it tells of room for those who are served in full.
    pub fn tells(&self, kind: &Kind) -> bool {
        !kind.write
            && !kind.repeated
            && kind.standing == Standing::Within
            && !self.refused.contains_key(kind)
    }

    /// One that tells had no room, or had it.
    pub fn ended(&mut self, refused: bool) {
        self.asked += 1.0;
        self.short += f64::from(u8::from(refused));
    }

    /// `lost`: a site is. `asks`: what is asked of the groups that it served; the rooms that they name are made here.
    pub fn look(&mut self, now: Time, lost: bool, asks: &[(Kind, Ask)]) {
        self.looked = now;
        let beyond = if self.asked < FEW {
            0.0
        } else {
            self.short / self.asked - USUAL
        };
        let fall = FALL + FADE * self.level;
        let step = match lost {
            true if beyond > 0.0 => (RISE * beyond).min(RISE_MOST),
            true => -fall,
            false => -AFTER * fall,
        };
        self.level = (self.level + step).clamp(0.0, MOST);
        (self.asked, self.short) = (KEPT * self.asked, KEPT * self.short);
        self.refused.clear();
        if self.level <= 0.0 {
            return;
        }
        let reads: Vec<&(Kind, Ask)> = asks.iter().filter(|(kind, _)| !kind.write).collect();
        let plain: Vec<Ask> = reads.iter().map(|(_, ask)| *ask).collect();
        let mut rooms = vec![0.0; plain.iter().map(|ask| ask.room + 1).max().unwrap_or(0)];
        for ask in &plain {
            rooms[ask.room] += (1.0 - self.level) * ask.work * ask.rate;
        }
        let parts = served(&plain, &rooms).into_iter().zip(reads);
        // What is not asked for takes no part; nor what rounding leaves.
        let short =
            parts.filter(|(part, (_, ask))| *part < 1.0 - 1e-6 && ask.work > 0.0 && ask.rate > 0.0);
        self.refused = short.map(|(part, (kind, _))| (*kind, 1.0 - part)).collect();
    }
}
