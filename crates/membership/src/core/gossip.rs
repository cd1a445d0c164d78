//! Gossip of facts, and replies to anti-entropy messages of other members.

use std::cmp::Reverse;
use std::time::Duration;

use rand_10::seq::{IndexedRandom, SliceRandom};

use super::{Core, DATAGRAM_BYTES, FACTS_KIND, MAX_REPLY_DATAGRAMS};
use crate::event::Action;
use crate::facts::{
    AntiEntropyMessage, FactId, FactVersion, HashRange, ReceiveOutcome, SourceHash, WireFact,
};
use crate::swim::PacketError;

/// Number of members that receive a new fact with one heartbeat.
const FACT_FANOUT: usize = 2;
/// Number of heartbeats in which a new fact is sent.
const FACT_TRANSMISSIONS: u8 = 2;
/// Maximum number of reply datagrams between two heartbeats, to all members together.
const MAX_REPLIES_PER_HEARTBEAT: usize = 64;
/// Bytes of a datagram of facts reserved for its kind and the length of the list.
const FACTS_HEADER_BYTES: usize = 8;
const FACTS_PAYLOAD_BYTES: usize = DATAGRAM_BYTES - FACTS_HEADER_BYTES;

impl Core {
    pub(super) fn receive_facts(
        &mut self,
        now: Duration,
        from: u32,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), PacketError> {
        match postcard::from_bytes(packet).map_err(|_| PacketError::Malformed)? {
            AntiEntropyMessage::Facts(facts) => {
                for fact in facts {
                    self.receive_fact(now, from, fact, actions);
                }
            }
            AntiEntropyMessage::Digest { sources, .. } => self.receive_digest(from, sources),
            AntiEntropyMessage::Versions {
                is_reply,
                source,
                range,
                versions,
            } => self.receive_versions(now, from, is_reply, (source, range), &versions),
        }
        Ok(())
    }

    fn receive_digest(&mut self, from: u32, sources: Vec<SourceHash>) {
        let mut differing = self.facts.differing_sources(sources);
        differing.retain(|theirs| self.roster.members.contains_key(&theirs.source));
        self.anti_entropy
            .receive_digest(from, differing, &mut self.rng);
    }

    fn receive_versions(
        &mut self,
        now: Duration,
        from: u32,
        is_reply: bool,
        (source, range): (u32, HashRange),
        versions: &[FactVersion],
    ) {
        if self.replies_sent < MAX_REPLIES_PER_HEARTBEAT {
            let replies = self
                .facts
                .reply_to_versions(now, is_reply, source, range, versions);
            let before = self.swim.outbox.len();
            self.send_messages(from, replies);
            self.replies_sent += self.swim.outbox.len() - before;
        }
    }

    fn receive_fact(
        &mut self,
        now: Duration,
        from: u32,
        fact: WireFact,
        actions: &mut Vec<Action>,
    ) {
        let Some(source) = self.roster.members.get(&fact.source) else {
            self.counters.facts_rejected += 1;
            return;
        };
        let source_name = source.name.clone();
        self.anti_entropy
            .record_received(from, fact.source, fact.key.len() + fact.body.len());
        match self.facts.receive(now, fact) {
            ReceiveOutcome::New(id) => {
                let live = self.facts.live_fact(now, &id, &source_name);
                actions.extend(live.map(Action::FactReceived));
                self.queue_for_gossip(id);
            }
            ReceiveOutcome::Known => {}
            ReceiveOutcome::Forged => self.counters.forged_facts += 1,
            ReceiveOutcome::LaterIncarnation(later) => self.renew_incarnation(now, later, actions),
            ReceiveOutcome::CapacityExceeded => self.counters.facts_rejected += 1,
        }
    }

    /// Queues a fact for the next heartbeat, so that facts published at the same time share a datagram.
    pub(super) fn queue_for_gossip(&mut self, id: FactId) {
        self.facts_to_gossip.insert(id, FACT_TRANSMISSIONS);
    }

    /// Sends new facts to some members. Facts that were sent least often go first, in random order among themselves, so
    /// that no source waits longer than the others when not all facts fit.
    pub(super) fn gossip_facts(&mut self, now: Duration) {
        if self.facts_to_gossip.is_empty() {
            return;
        }
        let reachable = self.observations.reachable();
        let receivers: Vec<u32> = reachable
            .sample(&mut self.rng, FACT_FANOUT)
            .copied()
            .collect();
        if receivers.is_empty() {
            return;
        }
        let ids = self.facts_by_transmissions();
        let facts: Vec<WireFact> = ids
            .iter()
            .filter_map(|(id, _)| self.facts.wire_fact(now, id))
            .collect();
        let mut sent = 0;
        for to in receivers {
            sent = self.send_messages(to, vec![AntiEntropyMessage::Facts(facts.clone())]);
        }
        for (id, transmissions) in ids.into_iter().take(sent) {
            if transmissions > 1 {
                self.facts_to_gossip.insert(id, transmissions - 1);
            } else {
                self.facts_to_gossip.remove(&id);
            }
        }
    }

    /// The queued facts that are still held, those with the most remaining transmissions first.
    fn facts_by_transmissions(&mut self) -> Vec<(FactId, u8)> {
        let facts = &self.facts;
        self.facts_to_gossip.retain(|id, _| facts.contains(id));
        let mut ids: Vec<(FactId, u8)> = self
            .facts_to_gossip
            .iter()
            .map(|(id, transmissions)| (id.clone(), *transmissions))
            .collect();
        ids.shuffle(&mut self.rng);
        ids.sort_by_key(|(_, transmissions)| Reverse(*transmissions));
        ids
    }

    /// Sends messages in at most `MAX_REPLY_DATAGRAMS` datagrams, with as many facts per datagram as fit. The rest is
    /// sent in a later exchange. Returns the number of facts sent.
    fn send_messages(&mut self, to: u32, messages: Vec<AntiEntropyMessage>) -> usize {
        let (mut datagrams, mut facts_sent) = (0, 0);
        let mut batch: Vec<WireFact> = Vec::new();
        let mut batch_bytes = 0;
        for message in messages {
            let AntiEntropyMessage::Facts(facts) = message else {
                self.send(to, &message);
                datagrams += 1;
                if datagrams >= MAX_REPLY_DATAGRAMS {
                    return facts_sent;
                }
                continue;
            };
            for fact in facts {
                let size = wire_size(&fact);
                if batch_bytes + size > FACTS_PAYLOAD_BYTES {
                    facts_sent += batch.len();
                    self.send(to, &AntiEntropyMessage::Facts(std::mem::take(&mut batch)));
                    batch_bytes = 0;
                    datagrams += 1;
                    if datagrams >= MAX_REPLY_DATAGRAMS {
                        return facts_sent;
                    }
                }
                batch_bytes += size;
                batch.push(fact);
            }
        }
        if !batch.is_empty() {
            facts_sent += batch.len();
            self.send(to, &AntiEntropyMessage::Facts(batch));
        }
        facts_sent
    }

    pub(super) fn send(&mut self, to: u32, message: &AntiEntropyMessage) {
        match postcard::to_extend(message, vec![FACTS_KIND]) {
            Ok(bytes) if bytes.len() <= DATAGRAM_BYTES => self.enqueue(to, bytes),
            _ => self.counters.errors += 1,
        }
    }
}

fn wire_size(fact: &WireFact) -> usize {
    postcard::experimental::serialized_size(fact).unwrap_or(DATAGRAM_BYTES)
}
