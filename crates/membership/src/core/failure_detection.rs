//! Failure detection around SWIM: suspicions, disputed members, pauses of this process, and discovery of members that are
//! not reachable.

use std::time::Duration;

use rand_10::seq::{IndexedRandom, IteratorRandom};
use rand_10::RngExt;

use super::{Core, SelfSuspicion, DISCOVERY_HEARTBEATS};
use crate::event::Action;
use crate::incarnation::RenewalOutcome;
use crate::observations::{is_reachable, ObservationChange};
use crate::process_id::ProcessId;
use crate::quorum::QuorumTracker;
use crate::swim::PacketError;
use crate::view::Status;

/// Maximum number of disputed members that are pinged with one heartbeat.
const DISPUTE_PROBES_PER_HEARTBEAT: usize = 2;
/// Number of reachable members to which a request for the members they know is sent with one heartbeat.
const DISCOVERY_FANOUT: usize = 2;
/// Number of heartbeats after a member was lost in which views are compared each time, instead of every fourth.
const VIEW_COMPARISON_HEARTBEATS: u64 = 20;
/// Average number of members that send their digests to a member that rejoined.
const REJOIN_DIGEST_SENDERS: u32 = 5;

impl Core {
    pub(super) fn is_late(&self, now: Duration) -> bool {
        self.next_due()
            .is_some_and(|due| now.saturating_sub(due) > self.config.pause_threshold)
    }

    /// Handles a pause of this process. All its probes are overdue then, and it would declare the whole fleet down. So
    /// its timers are postponed by the pause, and it trusts its view only after other members have acknowledged probes
    /// again.
    pub(super) fn detect_pause(&mut self, now: Duration) {
        if !self.is_late(now) {
            return;
        }
        let Some(due) = self.next_due() else { return };
        let by = now - due + self.config.probe_period;
        self.swim.postpone(by);
        self.next_heartbeat = self.next_heartbeat.map(|_| now);
        self.counters.pauses += 1;
        self.self_suspicion = Some(SelfSuspicion::since(now));
        self.observations.restart_suspicions(now);
        self.fleet_quorum.reset_hold();
        self.region_quorums
            .values_mut()
            .for_each(QuorumTracker::reset_hold);
    }

    pub(super) fn receive_swim(
        &mut self,
        now: Duration,
        from: (u32, u64),
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), PacketError> {
        let summary = self
            .swim
            .receive(now, from, packet, self.own_id, &self.observations)?;
        self.counters.unknown_members += summary.unknown_members as u64;
        if let Some(member) = summary.acked {
            self.last_ack = now;
            if let Some(suspicion) = &mut self.self_suspicion {
                suspicion.acked.insert(member);
            }
        }
        if let Some(later) = summary.later_incarnation {
            self.renew_incarnation(now, later, actions);
        }
        Ok(())
    }

    /// Adopts a later incarnation, because other members know this name by one: this host's clock was set back. Otherwise
    /// all members would drop this process's datagrams as stale.
    pub(super) fn renew_incarnation(
        &mut self,
        now: Duration,
        later: u64,
        actions: &mut Vec<Action>,
    ) {
        // The later incarnation belongs to the process that takes over. Outbidding it would make other members drop that
        // process's datagrams.
        if self.handed_over {
            return;
        }
        match self.incarnation.renew_after(now, later) {
            RenewalOutcome::Renewed(incarnation) => {
                self.counters.renewals += 1;
                self.swim.change_incarnation(now, incarnation);
                for id in self.facts.renew_incarnation(now, incarnation) {
                    self.queue_for_gossip(id);
                }
                actions.push(Action::IncarnationRenewed(incarnation));
            }
            RenewalOutcome::RateLimited => self.counters.renewals_rate_limited += 1,
            RenewalOutcome::OutOfRange => self.counters.renewals_out_of_range += 1,
        }
    }

    pub(super) fn leave(&mut self, now: Duration) {
        self.swim.leave(now);
        self.has_left = true;
        self.next_heartbeat = None;
    }

    /// Announces this process to some members that are not reachable. This also heals partitions.
    pub(super) fn announce_to_unreachable(&mut self, now: Duration, count: usize) {
        // Under a new identity (after a change of the roster or a rejoin) `foca` sends nothing until it receives a
        // packet. If all processes change their identities at once, none would send: so without acks this process
        // announces itself to reachable members as well.
        let without_acks = now > self.last_ack + self.config.probe_period * 2;
        if !without_acks && self.observations.reachable().len() == self.observations.len() {
            return;
        }
        let candidates = self
            .observations
            .iter()
            .filter(|(_, observed)| without_acks || !is_reachable(observed.status))
            .map(|(member, observed)| (member, *observed));
        for (member, observed) in candidates.sample(&mut self.rng, count) {
            let unknown = ProcessId {
                member,
                incarnation: 0,
                rejoins: 0,
                roster_version: 0,
            };
            self.swim.announce(now, observed.process.unwrap_or(unknown));
        }
    }

    /// Requests the members that some reachable members know; a reply contains up to fifty. Without these requests a
    /// process that has just started, or whose partition healed, would find the last of many members only by announcing
    /// itself to one after the other, most of which may be down.
    pub(super) fn discover_members(&mut self, now: Duration) {
        let reachable = self.observations.reachable();
        if self.heartbeats >= self.discover_until || reachable.len() == self.observations.len() {
            return;
        }
        let receivers: Vec<u32> = reachable
            .sample(&mut self.rng, DISCOVERY_FANOUT)
            .copied()
            .collect();
        for id in receivers
            .into_iter()
            .filter_map(|member| self.observations.get(member)?.process)
        {
            self.swim.announce(now, id);
        }
    }

    /// Ends suspicions: notifies the suspected member so that it can refute the suspicion, and later declares it down.
    /// `foca` alone can leave a member suspected forever, because it drops its timers when it returns under a new
    /// identity.
    pub(super) fn resolve_suspicions(&mut self, now: Duration) {
        let suspected: Vec<_> = self.observations.suspected().collect();
        for (member, since) in suspected {
            let waited = now - since;
            if waited >= self.config.suspicion_timeout * 2 {
                self.swim.declare_down(now, member);
            } else if waited > self.config.suspicion_timeout {
                self.swim.notify_suspect(now, member);
            }
        }
    }

    /// Pings members that are alive here and down elsewhere under an earlier identity, and suspects those that do not
    /// respond. Where a member was cut off just after it rejoined, this process may be the only one that received its new
    /// identity. It would probe the member once in a round over all members, and would keep a lost majority until then.
    pub(super) fn resolve_disputes(&mut self, now: Duration) {
        for member in self.take_silent_disputed(now) {
            self.swim.suspect(now, member);
        }
        let waiting = self
            .disputed
            .iter_mut()
            .filter(|(_, pinged)| pinged.is_none());
        for (member, pinged) in waiting.sample(&mut self.rng, DISPUTE_PROBES_PER_HEARTBEAT) {
            if let Some(process) = self
                .observations
                .get(*member)
                .and_then(|observed| observed.process)
            {
                *pinged = Some(now);
                self.swim.ping(now, process);
            }
        }
    }

    /// Removes settled disputes; returns members that did not respond to their ping in time.
    fn take_silent_disputed(&mut self, now: Duration) -> Vec<u32> {
        let reply_timeout = self.config.probe_period * 2;
        let observations = &self.observations;
        let mut silent = Vec::new();
        self.disputed.retain(|member, pinged| {
            let observed = observations.get(*member);
            let Some(alive) = observed.filter(|observed| observed.status == Status::Alive) else {
                return false;
            };
            let Some(pinged) = *pinged else { return true };
            let timed_out = now >= pinged + reply_timeout;
            if timed_out {
                silent.push(*member);
            }
            !timed_out
                && alive
                    .last_datagram
                    .is_none_or(|received_at| received_at <= pinged)
        });
        silent
    }

    /// Updates the observations from the members that `foca` holds; returns whether any member changed.
    pub(super) fn observe_members(&mut self, now: Duration, actions: &mut Vec<Action>) -> bool {
        if !std::mem::take(&mut self.swim.changed) {
            return false;
        }
        let mut any_changed = false;
        let mut changes = Vec::new();
        for (at, current) in self.swim.members().enumerate() {
            match self.last_members.get_mut(at) {
                Some(last) if *last == current => continue,
                Some(last) => *last = current,
                None => self.last_members.push(current),
            }
            changes.push(current);
        }
        for (process, status) in changes {
            let change = self.observations.update(now, &self.roster, process, status);
            if let Some(change) = change {
                any_changed |= change.changed;
                self.member_changed(process, status, change, actions);
            }
        }
        any_changed
    }

    fn member_changed(
        &mut self,
        process: ProcessId,
        status: Status,
        change: ObservationChange,
        actions: &mut Vec<Action>,
    ) {
        self.counters.roster_mismatches += u64::from(change.roster_mismatch);
        if change.rejoined {
            self.member_rejoined(process);
        }
        if change.changed {
            if !is_reachable(status) {
                self.compare_views_until = self.heartbeats + VIEW_COMPARISON_HEARTBEATS;
            }
            if let Some(member) = self.roster.members.get(&process.member) {
                actions.push(Action::MemberChanged(member.name.clone(), status));
            }
        }
    }

    /// Handles a member that became reachable again. Only some of the members that observe this send it their digests: if
    /// all did, a large fleet would flood it.
    fn member_rejoined(&mut self, process: ProcessId) {
        self.discover_until = self.heartbeats + DISCOVERY_HEARTBEATS;
        self.anti_entropy.member_rejoined(self.roster.members.len());
        let reachable = u32::try_from(self.observations.reachable().len()).unwrap_or(u32::MAX);
        let senders = REJOIN_DIGEST_SENDERS.min(reachable);
        if self.rng.random_ratio(senders, reachable) {
            self.rejoined.insert(process.member);
        }
    }

    /// Whether the observations equal the members that `foca` holds, and their counts add up. For debug assertions.
    pub(super) fn observations_are_current(&self) -> bool {
        let same = |(id, status): (ProcessId, Status)| {
            self.observations
                .get(id.member)
                .is_none_or(|observed| (observed.process, observed.status) == (Some(id), status))
        };
        self.swim.members().all(same) && self.observations.counts_match(&self.roster, self.own_id)
    }
}
