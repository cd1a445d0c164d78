//! Members that are to take the new version: whether they are still there, and are the processes that they were. The
//! table of `docs/design/rollout.md`, line by line.

#[cfg(test)]
use crate::machine::Guard;
use crate::machine::{entries, guard, Peer};
use crate::words::{Orderly, Proposal, Why, Word};
use std::collections::BTreeMap;
use std::time::Duration;

/// Starts of one member without a word before that are taken for its host's fault.
const STARTS: usize = 1;

/// What is to be made of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    Harm(Why),
    /// One of them is missing, or has not said that it runs the new version: no vote rests on that.
    Waits,
    Well,
}

/// The last word of another member, and the start of the process that said it.
pub type Said = (u64, Word);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Member {
    start: Option<u64>,
    /// Changes of its process that nothing explains: from which start to which.
    unplanned: Vec<(u64, u64)>,
    planned: u32,
    /// The last start of which it is known that it went in order, and the last that took over from an elder.
    left: Option<u64>,
    heir: Option<u64>,
    /// It was heard to run the new version.
    ran: bool,
    /// Since when it is not heard, or says nothing.
    off: Option<Duration>,
}

impl Member {
    fn is_in_order(&self, (from, to): (u64, u64)) -> bool {
        self.left == Some(from) || self.heir == Some(to)
    }

    fn sees(&mut self, peer: &Peer, told: Option<&Orderly>) {
        match told {
            Some(Orderly::Left(start)) => self.left = Some(*start),
            Some(Orderly::Heir(start)) => self.heir = Some(*start),
            None => {}
        }
        if let Some(start) = peer.start {
            if let Some(was) = self.start.filter(|was| *was < start) {
                self.unplanned.push((was, start));
            }
            self.start = self.start.max(Some(start));
            if peer.left {
                self.left = Some(start);
            }
        }
        // The word of it may come after the new start.
        let before = self.unplanned.len();
        let unplanned = std::mem::take(&mut self.unplanned);
        self.unplanned = unplanned
            .into_iter()
            .filter(|change| !self.is_in_order(*change))
            .collect();
        self.planned = self
            .planned
            .saturating_add((before - self.unplanned.len()) as u32);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    me: String,
    dark: Duration,
    members: BTreeMap<String, Member>,
    #[cfg(test)]
    pub without: Option<Guard>,
}

impl Watch {
    pub fn new(me: &str, dark: Duration) -> Self {
        Self {
            me: me.to_owned(),
            dark,
            members: BTreeMap::new(),
            #[cfg(test)]
            without: None,
        }
    }

    pub fn clear(&mut self) {
        self.members.clear();
    }

    /// Those that are to take it by now: by one's own quorums, or by what another says that it has seen.
    pub fn begin(
        &mut self,
        p: &Proposal,
        reached: u8,
        peers: &[Peer],
        words: &BTreeMap<String, Said>,
    ) {
        let others = words
            .values()
            .filter(|(_, w)| w.of(p))
            .map(|(_, w)| w.reached);
        let reached = others.fold(reached, u8::max);
        if reached == 0 {
            return;
        }
        let entries = entries(p, peers);
        let enters = |peer: &&Peer| {
            entries
                .get(peer.name.as_str())
                .is_some_and(|at| *at <= reached)
        };
        for peer in peers
            .iter()
            .filter(enters)
            .filter(|peer| peer.heard && peer.name != self.me)
        {
            let start = peer.start;
            self.members
                .entry(peer.name.clone())
                .or_insert_with(|| Member {
                    start,
                    ..Member::default()
                });
        }
    }

    pub fn look(
        &mut self,
        now: Duration,
        p: &Proposal,
        peers: &[Peer],
        words: &BTreeMap<String, Said>,
        orderly: &BTreeMap<String, Orderly>,
    ) -> Sign {
        // One that hears no more than half may be the one that is cut off.
        let most = peers.iter().filter(|peer| peer.heard).count() * 2 > peers.len();
        let beside = |of: &Peer| {
            peers
                .iter()
                .any(|p| p.region == of.region && p.name != of.name && p.heard)
        };
        let mut sign = Sign::Well;
        for (name, member) in &mut self.members {
            // Of another roster, it is nobody's.
            let Some(peer) = peers.iter().find(|peer| peer.name == *name) else {
                continue;
            };
            member.sees(peer, orderly.get(name));
            let word = words
                .get(name)
                .filter(|(start, _)| Some(*start) >= member.start)
                .map(|(_, w)| w);
            let runs = word.is_some_and(|w| w.new && w.of(p));
            member.ran |= runs;
            let missed = if peer.heard {
                word.is_none()
            } else {
                !peer.left
            };
            member.off = if missed && most {
                member.off.or(Some(now))
            } else {
                None
            };
            let long = member
                .off
                .is_some_and(|since| now.saturating_sub(since) >= self.dark);
            if member.unplanned.len() > STARTS && guard!(self, Crash) {
                return Sign::Harm(Why::Crash);
            }
            if long && (peer.heard || member.ran || beside(peer)) {
                return Sign::Harm(Why::Gone);
            }
            let settled = if peer.heard { runs } else { peer.left };
            if !settled && guard!(self, Settled) {
                sign = Sign::Waits;
            }
        }
        sign
    }

    /// Members that started anew in order, and how often.
    pub fn planned(&self) -> impl Iterator<Item = (&str, u32)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member.planned))
            .filter(|(_, n)| *n > 0)
    }
}
