//! Comparison of the members that are down with other members. Reports of failures spread by gossip, which is random.
//! Where many members fail at once, as in a partition into halves, some reports are lost, and a single failed member that
//! is held for alive can keep up a majority that is lost.

use std::collections::BTreeSet;
use std::time::Duration;

use rand_10::seq::IteratorRandom;

use super::{Core, DATAGRAM_BYTES, MAX_REPLY_DATAGRAMS, VIEWS_KIND};
use crate::process_id::ProcessId;
use crate::swim::PacketError;
use crate::view::Status;
use crate::view_message::ViewMessage;

/// Maximum number of processes in one message of down members, so that it fits into a datagram.
const DOWN_IDS_PER_DATAGRAM: usize = 40;

impl Core {
    pub(super) fn receive_view(
        &mut self,
        now: Duration,
        from: u32,
        packet: &[u8],
    ) -> Result<(), PacketError> {
        match postcard::from_bytes(packet).map_err(|_| PacketError::Malformed)? {
            hash @ ViewMessage::Hash(_) => {
                if hash != *self.observations.down_hash() {
                    let own = self.observations.down().clone();
                    self.send_down_members(from, false, own);
                }
            }
            ViewMessage::Down { is_reply, ids } => {
                self.receive_down_members(now, from, is_reply, ids.into_iter().collect());
            }
        }
        Ok(())
    }

    /// Adopts the processes that are down in another member's view, and replies with those that the other member lacks.
    fn receive_down_members(
        &mut self,
        now: Duration,
        from: u32,
        is_reply: bool,
        theirs: BTreeSet<ProcessId>,
    ) {
        let observations = &self.observations;
        let own = observations.down();
        let missing_there = own.difference(&theirs).copied().collect();
        let missing_here: Vec<ProcessId> = theirs
            .difference(own)
            .filter(|id| observations.get(id.member).is_some())
            .copied()
            .collect();
        let disputed: Vec<u32> = theirs
            .iter()
            .filter(|id| self.is_alive_under_later_identity(id))
            .map(|id| id.member)
            .collect();
        for member in disputed {
            self.disputed.entry(member).or_default();
        }
        if !is_reply {
            self.send_down_members(from, true, missing_there);
        }
        self.swim.apply_down(now, missing_here);
    }

    fn is_alive_under_later_identity(&self, id: &ProcessId) -> bool {
        let observed = self.observations.get(id.member);
        observed
            .filter(|observed| observed.status == Status::Alive)
            .and_then(|observed| observed.process)
            .is_some_and(|own| (own.incarnation, own.rejoins) > (id.incarnation, id.rejoins))
    }

    fn send_down_members(&mut self, to: u32, is_reply: bool, down: BTreeSet<ProcessId>) {
        let max_ids = DOWN_IDS_PER_DATAGRAM * MAX_REPLY_DATAGRAMS;
        let down: Vec<ProcessId> = down.into_iter().sample(&mut self.rng, max_ids);
        if down.is_empty() && !is_reply {
            // The other member's hash differs, so it knows of down members: an empty list requests them.
            let ids = Vec::new();
            self.send_view(to, &ViewMessage::Down { is_reply, ids });
        }
        for ids in down.chunks(DOWN_IDS_PER_DATAGRAM) {
            let ids = ids.to_vec();
            self.send_view(to, &ViewMessage::Down { is_reply, ids });
        }
    }

    pub(super) fn send_view(&mut self, to: u32, message: &ViewMessage) {
        match postcard::to_extend(message, vec![VIEWS_KIND]) {
            Ok(bytes) if bytes.len() <= DATAGRAM_BYTES => self.enqueue(to, bytes),
            _ => self.counters.errors += 1,
        }
    }
}
