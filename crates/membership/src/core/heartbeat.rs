//! The heartbeat: periodic work, twice in each probe period, in addition to the timers of SWIM.

use std::time::Duration;

use rand_10::seq::IndexedRandom;

use super::{Core, SelfSuspicion, JOIN_ANNOUNCEMENTS};
use crate::anti_entropy::PullRequest;

/// Number of heartbeats between two digests, and between two comparisons of views while no member was lost recently.
const EXCHANGE_HEARTBEATS: u64 = 4;
/// Number of members that have to acknowledge a probe before a process trusts its view again; at most half of the roster
/// is required.
const ENOUGH_ACKS: usize = 3;

impl Core {
    /// The order of the steps matters: all of them draw from the same random number generator.
    pub(super) fn on_heartbeat(&mut self, now: Duration) {
        self.heartbeats += 1;
        self.next_heartbeat = Some(now + self.config.probe_period / 2);
        let alone = self.observations.reachable().is_empty();
        if self.heartbeats.is_multiple_of(2) {
            self.announce_to_unreachable(now, if alone { JOIN_ANNOUNCEMENTS } else { 1 });
            self.facts.expire(now);
        }
        self.discover_members(now);
        self.resolve_suspicions(now);
        self.resolve_disputes(now);
        self.gossip_facts(now);
        self.compare_views();
        self.send_digests();
        self.replies_sent = 0;
        self.pull_missing_facts(now);
        self.update_self_suspicion(now, alone);
    }

    fn compare_views(&mut self) {
        let exchange = self.heartbeats.is_multiple_of(EXCHANGE_HEARTBEATS);
        if self.heartbeats < self.compare_views_until || exchange {
            if let Some(to) = self.observations.reachable().choose(&mut self.rng).copied() {
                let hash = self.observations.down_hash().clone();
                self.send_view(to, &hash);
            }
        }
    }

    /// Sends one digest to one member, and all digests to a member that rejoined.
    fn send_digests(&mut self) {
        if self.heartbeats.is_multiple_of(EXCHANGE_HEARTBEATS) {
            let to = self.observations.reachable().choose(&mut self.rng).copied();
            if let Some(to) = to {
                let digest = self.facts.next_digest();
                self.send(to, &digest);
            }
        }
        if let Some(to) = self.rejoined.pop_first() {
            for digest in self.facts.all_digests() {
                self.send(to, &digest);
            }
        }
    }

    fn pull_missing_facts(&mut self, now: Duration) {
        let facts = &self.facts;
        let requests =
            self.anti_entropy
                .next_requests(now, |source| facts.source_hash(source), &mut self.rng);
        for PullRequest { to, source } in requests {
            for versions in self.facts.version_messages(source, false) {
                self.send(to, &versions);
            }
        }
    }

    fn update_self_suspicion(&mut self, now: Duration, alone: bool) {
        // After `foca` returned under a new identity, it sends no probes until another member has adopted that identity,
        // and would hold all members for alive meanwhile. So a process whose probes no member acknowledges does not trust
        // its view.
        if !alone && now > self.last_ack + self.config.settle_time {
            self.self_suspicion
                .get_or_insert_with(|| SelfSuspicion::since(now));
        }
        if let Some(suspicion) = &self.self_suspicion {
            let enough = (self.roster.members.len() / 2).min(ENOUGH_ACKS);
            let settled = now >= suspicion.since + self.config.settle_time;
            if suspicion.acked.len() >= enough && settled {
                self.self_suspicion = None;
            }
        }
    }
}
