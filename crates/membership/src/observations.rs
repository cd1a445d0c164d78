//! The observed state of each member, and counts derived from it. A change of one member updates the counts
//! incrementally, so the cost of an event does not depend on the size of the roster.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::process_id::ProcessId;
use crate::quorum::MemberCounts;
use crate::roster::IndexedRoster;
use crate::view::Status;
use crate::view_message::ViewMessage;

/// The observed state of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Observation {
    pub status: Status,
    pub since: Duration,
    pub process: Option<ProcessId>,
    /// Time at which its last datagram was received.
    pub last_datagram: Option<Duration>,
}

/// Differences between two observations of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ObservationChange {
    /// Its status or its process changed.
    pub changed: bool,
    /// It became reachable.
    pub rejoined: bool,
    /// It now has a roster version that differs from this process's.
    pub roster_mismatch: bool,
}

/// The members of the roster except this process.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Observations {
    members: BTreeMap<u32, Observation>,
    counts: DerivedCounts,
}

/// Counts that follow from the members and the roster alone.
#[derive(Clone, Debug, Default, PartialEq)]
struct DerivedCounts {
    fleet: MemberCounts,
    regions: BTreeMap<String, MemberCounts>,
    /// Members that are alive or suspected, sorted by id.
    reachable: Vec<u32>,
    suspected: BTreeSet<u32>,
    down: BTreeSet<ProcessId>,
    roster_mismatches: usize,
    /// Cached hash of `down`; cleared when `down` changes.
    down_hash: Option<ViewMessage>,
}

pub(crate) fn is_reachable(status: Status) -> bool {
    matches!(status, Status::Alive | Status::Suspect)
}

impl DerivedCounts {
    fn count(roster: &IndexedRoster, own_id: u32, members: &BTreeMap<u32, Observation>) -> Self {
        let mut counts = Self::default();
        for (id, member) in &roster.members {
            counts.regions.entry(member.region.clone()).or_default();
            for member_counts in counts.member_counts(&member.region) {
                member_counts.total += 1;
                if *id == own_id {
                    member_counts.includes_self = true;
                    member_counts.alive += 1;
                }
            }
            if let Some(observation) = members.get(id) {
                counts.add_or_remove(roster, *id, observation, true);
            }
        }
        counts
    }

    /// The counts of the fleet and of the region.
    fn member_counts(&mut self, region: &str) -> impl Iterator<Item = &mut MemberCounts> {
        std::iter::once(&mut self.fleet).chain(self.regions.get_mut(region))
    }

    /// Adds a member to the counts, or removes it.
    fn add_or_remove(
        &mut self,
        roster: &IndexedRoster,
        id: u32,
        observation: &Observation,
        add: bool,
    ) {
        let Some(member) = roster.members.get(&id) else {
            return;
        };
        self.add_status(&member.region, observation.status, add);
        if is_reachable(observation.status) {
            self.add_reachable(id, add);
            let version = observation.process.map(|process| process.roster_version);
            if version.is_some_and(|version| version != roster.version) {
                add_or_subtract_one(&mut self.roster_mismatches, add);
            }
        }
        if observation.status == Status::Suspect {
            if add {
                self.suspected.insert(id);
            } else {
                self.suspected.remove(&id);
            }
        }
        if let (Status::Down | Status::Left, Some(process)) =
            (observation.status, observation.process)
        {
            self.down_hash = None;
            if add {
                self.down.insert(process);
            } else {
                self.down.remove(&process);
            }
        }
    }

    fn add_status(&mut self, region: &str, status: Status, add: bool) {
        for counts in self.member_counts(region) {
            match status {
                Status::Alive => add_or_subtract_one(&mut counts.alive, add),
                Status::Suspect => add_or_subtract_one(&mut counts.suspect, add),
                Status::Left => add_or_subtract_one(&mut counts.left, add),
                Status::Down | Status::NeverHeard => {}
            }
        }
    }

    fn add_reachable(&mut self, id: u32, add: bool) {
        match (add, self.reachable.binary_search(&id)) {
            (true, Err(at)) => self.reachable.insert(at, id),
            (false, Ok(at)) => drop(self.reachable.remove(at)),
            _ => {}
        }
    }
}

fn add_or_subtract_one(count: &mut usize, add: bool) {
    *count = if add { *count + 1 } else { *count - 1 };
}

impl Observations {
    /// Adjusts the members to a new roster; returns the processes of members that are no longer in it.
    pub fn apply_roster(
        &mut self,
        now: Duration,
        roster: &IndexedRoster,
        own_id: u32,
    ) -> Vec<ProcessId> {
        let removed = self
            .members
            .iter()
            .filter(|(id, _)| !roster.members.contains_key(id));
        let removed = removed
            .filter_map(|(_, observation)| observation.process)
            .collect();
        self.members.retain(|id, _| roster.members.contains_key(id));
        for id in roster.members.keys().filter(|id| **id != own_id) {
            let new = Observation {
                status: Status::NeverHeard,
                since: now,
                process: None,
                last_datagram: None,
            };
            self.members.entry(*id).or_insert(new);
        }
        self.counts = DerivedCounts::count(roster, own_id, &self.members);
        removed
    }

    /// Records the status of a process. Returns `None` if its member is not in the roster.
    pub fn update(
        &mut self,
        now: Duration,
        roster: &IndexedRoster,
        id: ProcessId,
        status: Status,
    ) -> Option<ObservationChange> {
        let observation = self.members.get_mut(&id.member)?;
        let before = *observation;
        if before.process == Some(id) && before.status == status {
            return Some(ObservationChange::default());
        }
        observation.process = Some(id);
        let changed = status != before.status
            || before
                .process
                .is_some_and(|before| before.incarnation != id.incarnation);
        if changed {
            (observation.status, observation.since) = (status, now);
        }
        let after = *observation;
        self.counts.add_or_remove(roster, id.member, &before, false);
        self.counts.add_or_remove(roster, id.member, &after, true);
        let rejoined = changed && is_reachable(status) && !is_reachable(before.status);
        let roster_mismatch = before
            .process
            .is_none_or(|before| before.roster_version != id.roster_version)
            && id.roster_version != roster.version;
        Some(ObservationChange {
            changed,
            rejoined,
            roster_mismatch,
        })
    }

    pub fn get(&self, id: u32) -> Option<&Observation> {
        self.members.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &Observation)> {
        self.members
            .iter()
            .map(|(id, observation)| (*id, observation))
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Records that a datagram of the member was received.
    pub fn record_datagram(&mut self, id: u32, now: Duration) {
        if let Some(observation) = self.members.get_mut(&id) {
            observation.last_datagram = Some(now);
        }
    }

    /// Restarts all suspicions after a pause of this process, during which it could not receive refutations.
    pub fn restart_suspicions(&mut self, now: Duration) {
        for id in &self.counts.suspected {
            if let Some(observation) = self.members.get_mut(id) {
                observation.since = now;
            }
        }
    }

    pub fn fleet_counts(&self) -> MemberCounts {
        self.counts.fleet
    }

    pub fn region_counts(&self) -> &BTreeMap<String, MemberCounts> {
        &self.counts.regions
    }

    /// Members that are alive or suspected, sorted by id.
    pub fn reachable(&self) -> &[u32] {
        &self.counts.reachable
    }

    pub fn suspected(&self) -> impl Iterator<Item = (u32, Duration)> + '_ {
        let since = |id: &u32| {
            self.members
                .get(id)
                .map(|observation| (*id, observation.since))
        };
        self.counts.suspected.iter().filter_map(since)
    }

    /// Number of reachable members that have another version of the roster.
    pub fn roster_mismatches(&self) -> usize {
        self.counts.roster_mismatches
    }

    /// Processes that are down or have left.
    pub fn down(&self) -> &BTreeSet<ProcessId> {
        &self.counts.down
    }

    pub fn down_hash(&mut self) -> &ViewMessage {
        let counts = &mut self.counts;
        counts
            .down_hash
            .get_or_insert_with(|| ViewMessage::hash(&counts.down))
    }

    /// Whether the counts equal a recount of all members.
    pub fn counts_match(&self, roster: &IndexedRoster, own_id: u32) -> bool {
        let hash = self.counts.down_hash.clone();
        let recount = DerivedCounts {
            down_hash: hash,
            ..DerivedCounts::count(roster, own_id, &self.members)
        };
        recount == self.counts
            && recount
                .down_hash
                .is_none_or(|hash| hash == ViewMessage::hash(&recount.down))
    }
}
