//! Whose is what part of a line, as far as this proxy knows: shares, gifts that count, leases, takings over.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::{Core, Peer, ROWS};
use crate::file::Kept;
use crate::said::{total, Given, Id, Row, Vote, WHOLE};

/// Another's lane, or one of a former life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Lane {
    /// When its last new beat was heard, and which it was.
    pub heard: Duration,
    pub last: (u64, u32),
    /// By stand, with the time until which the line that it says counts.
    pub rows: BTreeMap<u32, (Row, Duration)>,
}

impl Kept {
    pub fn majority(&self) -> usize {
        self.founders.len() / 2 + 1
    }

    pub fn is_founder(&self, name: u32, memory: u64) -> bool {
        self.founders
            .binary_search(&Id { name, from: memory })
            .is_ok()
    }

    pub fn initial(&self, lane: Id) -> u64 {
        match self.founders.binary_search(&lane) {
            Ok(_) => WHOLE / self.founders.len() as u64,
            Err(_) => 0,
        }
    }

    /// What others gave to a lane, in gifts that count.
    pub fn received(&self, lane: Id, stand: u32) -> u64 {
        let of = self.firm.iter().filter(|((_, of), _)| *of == stand);
        total(of.filter_map(|(_, gave)| gave.get(&lane)))
    }
}

impl Core {
    pub(crate) fn lane(&self) -> Id {
        Id {
            name: self.me,
            from: self.kept.lane,
        }
    }

    /// The own share: what may be given away or lent from.
    pub(crate) fn share(&self, stand: u32) -> u64 {
        let row = self.kept.rows.get(&stand);
        let lane = self.lane();
        let received = self
            .kept
            .received(lane, stand)
            .saturating_add(row.map_or(0, |row| row.took));
        let held = self.kept.initial(lane).saturating_add(received);
        // Whatever others say that they gave, nobody holds more than there is.
        row.map_or(Given::default(), Row::given)
            .left(held)
            .min(WHOLE)
    }

    /// What a lane held in all, gifts that it made not taken off.
    fn held_by(&self, lane: Id, stand: u32) -> u64 {
        let took = self
            .lanes
            .get(&lane)
            .and_then(|lane| lane.rows.get(&stand))
            .map_or(0, |(row, _)| row.took);
        total(&[
            self.kept.initial(lane),
            self.kept.received(lane, stand),
            took,
        ])
    }

    /// What another is thought to hold, with gifts that don't count yet: only to judge who lacks.
    pub(crate) fn guess(&self, lane: Id, stand: u32) -> u64 {
        let rows = self
            .lanes
            .values()
            .filter_map(|lane| lane.rows.get(&stand))
            .map(|(row, _)| row);
        let received = total(
            rows.chain(self.kept.rows.get(&stand))
                .filter_map(|row| row.gave.get(&lane)),
        );
        let row = self.lanes.get(&lane).and_then(|lane| lane.rows.get(&stand));
        let (took, given) = row.map_or((0, Given::default()), |(row, _)| (row.took, row.given()));
        given
            .left(total(&[self.kept.initial(lane), received, took]))
            .min(WHOLE)
    }

    /// Until when this lane may lend: the time at which the last beat was said that more than half echo, and a lease.
    pub(crate) fn lease_until(&self) -> Duration {
        if !self.guards.lease {
            return Duration::MAX;
        }
        if self.kept.founders.is_empty() {
            return Duration::ZERO;
        }
        let founder = |(name, peer): (&u32, &Peer)| {
            self.kept
                .is_founder(*name, peer.memory)
                .then_some(peer.echoed)
                .flatten()
        };
        let mut said: Vec<Duration> = self.peers.iter().filter_map(founder).collect();
        if self.kept.is_founder(self.me, self.kept.memory) {
            said.extend(self.beats.back().map(|(_, at)| *at));
        }
        said.sort_unstable_by(|a, b| b.cmp(a));
        said.get(self.kept.majority() - 1)
            .map_or(Duration::ZERO, |at| *at + self.lease)
    }

    /// Looks which rows of others have been seen by more than half, in the version known here.
    pub(crate) fn firm(&mut self) {
        if self.kept.founders.is_empty() {
            return;
        }
        for (lane, known) in &self.lanes {
            for (stand, (row, _)) in &known.rows {
                let given = row.given();
                let key = (*lane, *stand);
                let counted = self
                    .kept
                    .firm
                    .get(&key)
                    .map_or(0, |gave| total(gave.values()));
                if given.is_none() || Given::from(counted) >= given {
                    continue;
                }
                let witnessed = |seen: &Given| seen.witnesses(given);
                let mut seen = 0;
                for (name, peer) in &self.peers {
                    // Who gives has seen it, whatever became of its memory since.
                    let giver = *name == lane.name && self.kept.is_founder(lane.name, lane.from);
                    let told = peer.seen.get(&key).is_some_and(witnessed);
                    seen += usize::from(giver || told && self.kept.is_founder(*name, peer.memory));
                }
                let own = self.saved.seen.get(&key).is_some_and(witnessed);
                seen += usize::from(own && self.kept.is_founder(self.me, self.kept.memory));
                let room = self.kept.firm.len() < ROWS || self.kept.firm.contains_key(&key);
                if (seen >= self.kept.majority() || !self.guards.witness) && room {
                    self.kept.firm.insert(key, row.gave.clone());
                    self.dirty = true;
                }
            }
        }
    }

    /// Dead lanes that this proxy is the one to claim: the first living one after it by number.
    pub(crate) fn claimable(&self, now: Duration) -> Vec<Id> {
        let mut lanes: Vec<Id> = self.kept.founders.clone();
        lanes.extend(
            self.lanes
                .keys()
                .filter(|lane| !self.kept.founders.contains(lane)),
        );
        let living = |name: u32| self.up.contains(&name);
        lanes.retain(|lane| {
            let next = self
                .up
                .range(lane.name..)
                .chain(self.up.iter())
                .find(|name| **name != lane.name);
            *lane != self.lane()
                && !self.kept.taken.contains_key(lane)
                && self
                    .kept
                    .votes
                    .get(lane)
                    .is_none_or(|vote| vote.to == self.lane())
                && self.silent(now, *lane)
                && (living(self.me) && next == Some(&self.me))
                && self.worth(*lane)
        });
        lanes
    }

    pub(crate) fn worth(&self, lane: Id) -> bool {
        let given = |stand: u32| {
            self.kept
                .seen
                .get(&(lane, stand))
                .copied()
                .unwrap_or_default()
        };
        self.kept.initial(lane) > 0
            || self
                .kept
                .rows
                .keys()
                .any(|stand| given(*stand).left(self.held_by(lane, *stand)) > 0)
    }

    /// No new beat of it for so long that all that it lent is over.
    pub(crate) fn silent(&self, now: Duration, lane: Id) -> bool {
        let heard = self
            .lanes
            .get(&lane)
            .map_or(Duration::ZERO, |lane| lane.heard)
            .max(self.began);
        now.saturating_sub(heard) >= self.hold || !self.guards.hold
    }

    /// A vote for a claim, once for each lane.
    pub(crate) fn vote(&mut self, now: Duration, lane: Id, to: Id) {
        let founder = self.kept.is_founder(self.me, self.kept.memory);
        if !founder || lane.name == self.me || !self.silent(now, lane) {
            return;
        }
        if self.kept.votes.contains_key(&lane) && self.guards.once {
            return;
        }
        if self.kept.votes.len() >= crate::core::VOTES {
            return;
        }
        let of =
            |((of, stand), given): (&(Id, u32), &Given)| (*of == lane).then_some((*stand, *given));
        let given = self.kept.seen.iter().filter_map(of).collect();
        self.kept.votes.insert(lane, Vote { to, given });
        self.dirty = true;
    }

    /// Counts votes for the own claims.
    pub(crate) fn count(&mut self, lane: Id) -> bool {
        if self.kept.taken.contains_key(&lane) || self.kept.founders.is_empty() {
            return false;
        }
        let mine = self.lane();
        let mut votes: Vec<&Vote> = self.votes_of_others(lane, mine);
        if self.kept.is_founder(self.me, self.kept.memory) {
            votes.extend(self.saved.votes.get(&lane).filter(|vote| vote.to == mine));
        }
        if votes.len() < self.kept.majority() {
            return false;
        }
        let mut given: BTreeMap<u32, Given> = BTreeMap::new();
        for (stand, gave) in votes.into_iter().flat_map(|vote| &vote.given) {
            let most = given.entry(*stand).or_default();
            *most = (*most).max(*gave);
        }
        self.kept.taken.insert(lane, given);
        self.dirty = true;
        true
    }

    fn votes_of_others(&self, lane: Id, to: Id) -> Vec<&Vote> {
        let founder = |(name, peer): &(&u32, &Peer)| self.kept.is_founder(**name, peer.memory);
        let votes = self
            .peers
            .iter()
            .filter(founder)
            .filter_map(|(_, peer)| peer.votes.get(&lane));
        votes.filter(|vote| vote.to == to).collect()
    }

    /// Has more than half voted for another to have the own lane?
    pub(crate) fn lost(&self) -> bool {
        let mine = self.lane();
        let founder = |(name, peer): &(&u32, &Peer)| self.kept.is_founder(**name, peer.memory);
        let votes = self
            .peers
            .iter()
            .filter(founder)
            .filter(|(_, peer)| peer.votes.contains_key(&mine));
        !self.kept.founders.is_empty() && votes.count() >= self.kept.majority()
    }

    /// What is held of dead lanes: it only grows, as more gifts to them become known.
    pub(crate) fn took(&self, stand: u32) -> u64 {
        let of = |(lane, given): (&Id, &BTreeMap<u32, Given>)| {
            given
                .get(&stand)
                .copied()
                .unwrap_or_default()
                .left(self.held_by(*lane, stand))
        };
        self.kept
            .taken
            .iter()
            .fold(0, |sum, taken| sum.saturating_add(of(taken)))
    }
}
