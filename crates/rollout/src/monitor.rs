//! The canary monitor detects members that crash or become unreachable while they have to run the new version. It implements
//! the table in `docs/design/rollout.md`.

use crate::guard::guard;
#[cfg(test)]
use crate::guard::Guard;
use crate::messages::{HaltReason, PlannedRestart, Proposal, Vote};
use crate::peer::Peer;
use crate::stages::entry_stages;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of unplanned restarts of one member that are attributed to its host and not to the version.
const MAX_UNPLANNED_RESTARTS: usize = 1;

/// The state of the monitored members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MonitorVerdict {
    /// The version must be halted.
    Harm(HaltReason),
    /// A member is missing or has not reported that it runs the version. This process does not vote for the next stage.
    Waiting,
    /// All monitored members run the version or have left.
    Healthy,
}

/// The last vote received from another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReceivedVote {
    /// The incarnation of the member that voted.
    pub incarnation: u64,
    /// The received vote.
    pub vote: Vote,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Member {
    incarnation: Option<u64>,
    /// Restarts without a planned restart: the incarnations before and after each.
    unplanned_restarts: Vec<(u64, u64)>,
    planned_restarts: u32,
    /// The last incarnation that announced its end.
    left_incarnation: Option<u64>,
    /// The last incarnation that announced a takeover (hot restart).
    takeover_incarnation: Option<u64>,
    /// Whether the member has reported that it runs the new version.
    ran_new: bool,
    /// The time since which the member is unreachable or sends no vote.
    missing_since: Option<Duration>,
}

impl Member {
    fn is_planned(&self, (from, to): (u64, u64)) -> bool {
        self.left_incarnation == Some(from) || self.takeover_incarnation == Some(to)
    }

    fn is_missing_for(&self, now: Duration, timeout: Duration) -> bool {
        self.missing_since
            .is_some_and(|since| now.saturating_sub(since) >= timeout)
    }

    fn update_missing(
        &mut self,
        now: Duration,
        peer: &Peer,
        has_voted: bool,
        reaches_majority: bool,
    ) {
        let missing = if peer.reachable {
            !has_voted
        } else {
            !peer.left
        };
        self.missing_since = if missing && reaches_majority {
            self.missing_since.or(Some(now))
        } else {
            None
        };
    }

    fn observe(&mut self, peer: &Peer, restart: Option<&PlannedRestart>) {
        match restart {
            Some(PlannedRestart::Leaving(left)) => self.left_incarnation = Some(*left),
            Some(PlannedRestart::TookOver(new)) => self.takeover_incarnation = Some(*new),
            None => {}
        }
        if let Some(incarnation) = peer.incarnation {
            if let Some(previous) = self.incarnation.filter(|previous| *previous < incarnation) {
                self.unplanned_restarts.push((previous, incarnation));
            }
            self.incarnation = self.incarnation.max(Some(incarnation));
            if peer.left {
                self.left_incarnation = Some(incarnation);
            }
        }
        // The announcement of a planned restart may arrive after the restart.
        let unplanned_before = self.unplanned_restarts.len();
        let unplanned = std::mem::take(&mut self.unplanned_restarts);
        self.unplanned_restarts = unplanned
            .into_iter()
            .filter(|change| !self.is_planned(*change))
            .collect();
        self.planned_restarts = self
            .planned_restarts
            .saturating_add((unplanned_before - self.unplanned_restarts.len()) as u32);
    }
}

/// Whether another member of the same region is reachable, so that the region as a whole is not partitioned.
fn region_is_reachable(member: &Peer, peers: &[Peer]) -> bool {
    peers
        .iter()
        .any(|peer| peer.region == member.region && peer.name != member.name && peer.reachable)
}

/// Monitors the other members that run the new version, or have to run it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CanaryMonitor {
    own_name: String,
    unreachable_timeout: Duration,
    members: BTreeMap<String, Member>,
    #[cfg(test)]
    pub(crate) disabled_guard: Option<Guard>,
}

impl CanaryMonitor {
    /// A monitor without members. A member may be missing for up to `unreachable_timeout`.
    pub fn new(own_name: &str, unreachable_timeout: Duration) -> Self {
        Self {
            own_name: own_name.to_owned(),
            unreachable_timeout,
            members: BTreeMap::new(),
            #[cfg(test)]
            disabled_guard: None,
        }
    }

    /// Stops monitoring all members.
    pub fn clear(&mut self) {
        self.members.clear();
    }

    /// Adds the members that have to run the version now, according to the quorums that this process or any other has seen.
    pub fn add_members(
        &mut self,
        proposal: &Proposal,
        quorums_seen: u8,
        peers: &[Peer],
        votes: &BTreeMap<String, ReceivedVote>,
    ) {
        let other_quorums = votes
            .values()
            .map(|received| &received.vote)
            .filter(|vote| vote.is_for(proposal))
            .map(|vote| vote.quorums_seen);
        let reached = other_quorums.fold(quorums_seen, u8::max);
        if reached == 0 {
            return;
        }
        let entries = entry_stages(proposal, peers);
        let enters = |peer: &&Peer| {
            entries
                .get(peer.name.as_str())
                .is_some_and(|at| *at <= reached)
        };
        for peer in peers
            .iter()
            .filter(enters)
            .filter(|peer| peer.reachable && peer.name != self.own_name)
        {
            let incarnation = peer.incarnation;
            self.members
                .entry(peer.name.clone())
                .or_insert_with(|| Member {
                    incarnation,
                    ..Member::default()
                });
        }
    }

    /// Updates the monitored members from the current peers, votes and announcements, and returns the verdict.
    pub fn observe(
        &mut self,
        now: Duration,
        proposal: &Proposal,
        peers: &[Peer],
        votes: &BTreeMap<String, ReceivedVote>,
        planned_restarts: &BTreeMap<String, PlannedRestart>,
    ) -> MonitorVerdict {
        // A process that reaches at most half of the fleet may itself be partitioned from it.
        let reaches_majority = peers.iter().filter(|peer| peer.reachable).count() * 2 > peers.len();
        let mut verdict = MonitorVerdict::Healthy;
        for (name, member) in &mut self.members {
            // The member is no longer in the roster.
            let Some(peer) = peers.iter().find(|peer| peer.name == *name) else {
                continue;
            };
            member.observe(peer, planned_restarts.get(name));
            let vote = votes
                .get(name)
                .filter(|received| Some(received.incarnation) >= member.incarnation)
                .map(|received| &received.vote);
            let runs_new = vote.is_some_and(|vote| vote.runs_new && vote.is_for(proposal));
            member.ran_new |= runs_new;
            member.update_missing(now, peer, vote.is_some(), reaches_majority);
            if member.unplanned_restarts.len() > MAX_UNPLANNED_RESTARTS && guard!(self, Crash) {
                return MonitorVerdict::Harm(HaltReason::Crash);
            }
            let attributable = peer.reachable || member.ran_new || region_is_reachable(peer, peers);
            if member.is_missing_for(now, self.unreachable_timeout) && attributable {
                return MonitorVerdict::Harm(HaltReason::Unreachable);
            }
            let reported_or_left = if peer.reachable { runs_new } else { peer.left };
            if !reported_or_left && guard!(self, MembersReported) {
                verdict = MonitorVerdict::Waiting;
            }
        }
        verdict
    }

    /// Name and number of planned restarts of each member that had any.
    pub fn planned_restarts(&self) -> impl Iterator<Item = (&str, u32)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member.planned_restarts))
            .filter(|(_, count)| *count > 0)
    }
}
