//! Publication of this process's proposal, vote, halts, traffic counts and planned restart.

use super::{Core, COUNTS, HALTS, PLANNED_RESTART, PROPOSAL, VOTE};
use crate::event::Action;
use crate::messages::{self, ClassCounts, TrafficCounts, Vote, BODY_BYTES, MAX_CLASSES};
use std::time::Duration;

/// TTL of halts and planned restarts, which must reach members that were partitioned from the fleet.
const LONG_TTL: Duration = Duration::from_secs(600);
/// TTL of a proposal, as a multiple of the TTL of a vote.
const PROPOSAL_TTLS: u32 = 6;
/// Number of times that an unchanged fact is published within its TTL.
const PUBLICATIONS_PER_TTL: u32 = 3;

impl Core {
    /// The vote to publish. Until the state is on the disk, the vote does not exceed the last durable one: after a crash, a
    /// process would not remember a later vote and could vote for another version.
    pub(super) fn durable_vote(&mut self, persisted: bool) -> Option<Vote> {
        let vote = self.machine.vote(&self.observation.peers)?;
        if persisted || self.machine.halt_record().is_some() {
            self.last_durable_vote = Some(vote.clone());
            return Some(vote);
        }
        let proposal = &self.machine.current()?.proposal;
        let last = self
            .last_durable_vote
            .as_ref()
            .filter(|last| last.is_for(proposal))?;
        Some(Vote {
            votes: vote.votes.min(last.votes),
            quorums_seen: vote.quorums_seen.min(last.quorums_seen),
            runs_new: vote.runs_new && last.runs_new,
            ..vote
        })
    }

    pub(super) fn own_counts(&self) -> TrafficCounts {
        let (classes_at_start, total_at_start) = &self.counts_at_start;
        let since = |class: &ClassCounts| {
            let at_start = classes_at_start
                .iter()
                .find(|c| c.class == class.class)
                .copied()
                .unwrap_or_default();
            class.since(at_start)
        };
        let mut classes: Vec<ClassCounts> =
            self.observation.class_counts.iter().map(since).collect();
        let total = self.observation.total_counts.since(*total_at_start);
        classes.sort_by_key(|c| std::cmp::Reverse(c.offered));
        classes.truncate(MAX_CLASSES);
        let hash = self.machine.current().map(|c| c.proposal.hash);
        TrafficCounts {
            epoch: self.machine.current().map_or(0, |c| c.proposal.epoch),
            runs_new: hash == Some(self.applied_version),
            generation: self.generation,
            total,
            classes,
        }
    }

    /// Publishes the facts that have changed, and those that must be refreshed before they expire.
    pub(super) fn publish(&mut self, now: Duration, persisted: bool, actions: &mut Vec<Action>) {
        let ttl = self.config.message_ttl;
        let vote = self.durable_vote(persisted);
        let runs_new = vote.as_ref().is_some_and(|vote| vote.runs_new);
        self.runs_new_since = if runs_new {
            self.runs_new_since.or(Some(now))
        } else {
            None
        };
        let counts = self.machine.is_in_progress().then(|| self.own_counts());
        if !self.machine.halts().is_empty() {
            let halts = messages::encode(&self.machine.halts());
            self.publish_fact(now, HALTS, halts, LONG_TTL, actions);
        }
        if let Some(current) = self.machine.current().filter(|_| persisted) {
            let proposal = messages::encode(&current.proposal);
            self.publish_fact(now, PROPOSAL, proposal, ttl * PROPOSAL_TTLS, actions);
        }
        if let Some(vote) = vote {
            self.publish_fact(now, VOTE, messages::encode(&vote), ttl, actions);
        }
        if let Some(counts) = counts {
            self.publish_fact(now, COUNTS, messages::encode(&counts), ttl, actions);
            if let Some(restart) = self.planned_restart {
                let restart = messages::encode(&restart);
                self.publish_fact(now, PLANNED_RESTART, restart, LONG_TTL, actions);
            }
        }
    }

    fn publish_fact(
        &mut self,
        now: Duration,
        kind: u8,
        body: Vec<u8>,
        ttl: Duration,
        actions: &mut Vec<Action>,
    ) {
        let due = self.published.get(&kind).is_none_or(|(at, last)| {
            *last != body || now.saturating_sub(*at) >= ttl / PUBLICATIONS_PER_TTL
        });
        if due && body.len() <= BODY_BYTES {
            self.published.insert(kind, (now, body.clone()));
            actions.push(Action::Publish(kind, body, ttl));
        }
    }
}
