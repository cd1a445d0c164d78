//! The state of the core for operators and the other components of the proxy.

use std::time::Duration;

use super::Core;
use crate::facts::Fact;
use crate::observations::{is_reachable, Observation};
use crate::view::{MemberObservation, View};

impl Core {
    /// Unexpired facts of one kind that other members published, and those of an earlier incarnation of this process.
    pub fn facts(&self, now: Duration, kind: u8) -> Vec<Fact> {
        self.facts
            .ids()
            .filter(|id| id.kind == kind)
            .filter(|id| id.source != self.own_id || self.facts.is_of_earlier_incarnation(id))
            .filter_map(|id| {
                let source = self.roster.members.get(&id.source)?;
                self.facts.live_fact(now, id, &source.name)
            })
            .collect()
    }

    /// The view of the fleet at `now`.
    pub fn view(&self, now: Duration) -> View {
        // In a round each process probes each member once, in an order that changes from round to round.
        let two_rounds = self.config.probe_period * (2 * self.observations.len() as u32 + 2);
        let observation = |(member, observed): (u32, &Observation)| {
            let member = self.roster.members.get(&member)?;
            Some(MemberObservation {
                name: member.name.clone(),
                address: member.address,
                region: member.region.clone(),
                status: observed.status,
                since: observed.since,
                incarnation: observed.process.map(|id| id.incarnation),
                roster_version: observed.process.map(|id| id.roster_version),
                direct: is_reachable(observed.status)
                    && observed
                        .last_datagram
                        .is_some_and(|received_at| now <= received_at + two_rounds),
            })
        };
        View {
            state: self.quorum_state(now),
            self_suspected: self.is_self_suspected(now),
            member_counts: self.fleet_quorum.counts,
            roster_version: self.roster.version,
            roster_mismatches: self.observations.roster_mismatches(),
            regions: self
                .region_quorums
                .iter()
                .map(|(region, part)| (region.clone(), part.state))
                .collect(),
            members: self.observations.iter().filter_map(observation).collect(),
            facts: self.facts.len(),
            fact_bytes: self.facts.bytes(),
            counters: self.counters,
        }
    }

    /// Current incarnation of this process, in Unix milliseconds.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.current()
    }
}
