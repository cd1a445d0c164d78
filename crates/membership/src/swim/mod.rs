//! Failure detection by SWIM (`foca`): runs its timers, removes members outside the roster from its packets, and adds
//! messages that it lacks.

mod config;
mod packet;

use std::collections::BTreeMap;
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Codec, Foca, Header, Identity, Member, Message, NoCustomBroadcast,
    PostcardCodec, Timer,
};
use rand_10::rngs::StdRng;
use rand_10::SeedableRng;

use crate::observations::Observations;
use crate::process_id::{ProcessId, LEFT_REJOINS};
use crate::view::Status;
pub(crate) use config::SwimConfig;
use packet::{known_members, subject_of};
pub(crate) use packet::{PacketError, PacketSummary};

/// The first byte of a datagram with a SWIM packet.
pub(crate) const SWIM_KIND: u8 = 1;

/// An instance of `foca` with its timers and its outbox.
pub(crate) struct Swim {
    foca: Foca<ProcessId, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<ProcessId>,
    timers: BTreeMap<(Duration, u64), Timer<ProcessId>>,
    timer_count: u64,
    /// Datagrams to send, with the member ids of their receivers; drained by the core.
    pub outbox: Vec<(u32, Vec<u8>)>,
    /// Whether a member may have changed since the core last read the members. `foca` reports members that come and go,
    /// but not suspicions.
    pub changed: bool,
    /// Number of calls that `foca` rejected, which should not happen.
    pub errors: u64,
}

impl Swim {
    pub fn new(id: ProcessId, config: SwimConfig, seed: u64) -> Self {
        Self {
            foca: Foca::new(
                id,
                config.foca(),
                StdRng::seed_from_u64(seed),
                PostcardCodec,
            ),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_count: 0,
            outbox: Vec::new(),
            changed: false,
            errors: 0,
        }
    }

    pub fn own_id(&self) -> ProcessId {
        *self.foca.identity()
    }

    /// Each process that `foca` knows, with its status.
    pub fn members(&self) -> impl Iterator<Item = (ProcessId, Status)> + '_ {
        self.foca
            .iter_membership_state()
            .map(|member| (*member.id(), status(member)))
    }

    /// Time at which the next timer is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.timers.keys().next().map(|(due, _)| *due)
    }

    /// Postpones all timers and keeps their order, so that no reply is overdue after a pause.
    pub fn postpone(&mut self, by: Duration) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers
            .into_iter()
            .map(|((due, count), timer)| ((due + by, count), timer))
            .collect();
    }

    /// Runs all timers that are due.
    pub fn run_timers(&mut self, now: Duration) {
        while self.next_due().is_some_and(|due| due <= now) {
            let Some((_, timer)) = self.timers.pop_first() else {
                break;
            };
            // The end of a probe period suspects a member that did not acknowledge the probe.
            self.changed |= matches!(timer, Timer::ProbeRandomMember(_));
            let result = self.foca.handle_timer(timer, &mut self.runtime);
            self.collect_effects(now, result);
        }
    }

    /// Announces this process to another process.
    pub fn announce(&mut self, now: Duration, to: ProcessId) {
        let result = self.foca.announce(to, &mut self.runtime);
        self.collect_effects(now, result);
    }

    /// Announces a new version of the roster from now on.
    pub fn change_roster(&mut self, now: Duration, version: u64, config: SwimConfig) {
        // Only settings that depend on the roster's size change; `foca` accepts changes of those while it runs.
        let result = self.foca.set_config(config.foca());
        self.collect_effects(now, result);
        if let Some(id) = self
            .own_id()
            .renew()
            .filter(|id| id.roster_version != version)
        {
            let result = self.foca.change_identity(
                ProcessId {
                    roster_version: version,
                    ..id
                },
                &mut self.runtime,
            );
            self.collect_effects(now, result);
        }
    }

    /// Continues under a later incarnation.
    pub fn change_incarnation(&mut self, now: Duration, incarnation: u64) {
        // Queued datagrams carry the former incarnation.
        self.outbox.clear();
        self.changed = true;
        let id = ProcessId {
            incarnation,
            rejoins: 0,
            ..self.own_id()
        };
        let result = self.foca.change_identity(id, &mut self.runtime);
        self.collect_effects(now, result);
    }

    /// Stops probing a member that is no longer in the roster, without reporting to others that it is down.
    pub fn remove_member(&mut self, now: Duration, id: ProcessId) {
        let result =
            self.foca
                .apply_many(std::iter::once(Member::down(id)), false, &mut self.runtime);
        self.collect_effects(now, result);
    }

    /// Notifies a suspected member of the suspicion, so that it refutes it. `foca` does so only by chance, and never for
    /// a suspicion whose timer it dropped under a new identity: without this message the member would stay suspected.
    pub fn notify_suspect(&mut self, now: Duration, member: u32) {
        let Some(member) = self.suspected(member) else {
            return;
        };
        self.send(now, *member.id(), Message::Gossip, Some(&member));
    }

    /// Pings a member outside the probe rounds. The ack belongs to no probe, but counts as a datagram of the member.
    pub fn ping(&mut self, now: Duration, id: ProcessId) {
        self.send(now, id, Message::Ping(0), None);
    }

    fn send(
        &mut self,
        now: Duration,
        dst: ProcessId,
        message: Message<ProcessId>,
        update: Option<&Member<ProcessId>>,
    ) {
        // The incarnation counter of SWIM itself: the receiver ignores 0 as outdated, so this header has no further
        // effect.
        let header = Header {
            src: self.own_id(),
            src_incarnation: 0,
            dst,
            message,
        };
        let mut datagram = vec![SWIM_KIND];
        let mut codec = PostcardCodec;
        let result = codec.encode_header(&header, &mut datagram).and_then(|()| {
            datagram.extend_from_slice(&u16::from(update.is_some()).to_be_bytes());
            update.map_or(Ok(()), |member| codec.encode_member(member, &mut datagram))
        });
        match result {
            Ok(()) => self.outbox.push((dst.member, datagram)),
            Err(_) => self.errors += 1,
        }
        self.collect_effects(now, Ok(()));
    }

    /// Marks a member as suspected after it did not acknowledge a ping.
    pub fn suspect(&mut self, now: Duration, member: u32) {
        let of = self
            .foca
            .iter_membership_state()
            .find(|other| other.id().member == member);
        let Some(member) = of.filter(|member| member.state() == foca::State::Alive) else {
            return;
        };
        let suspect = Member::new(*member.id(), member.incarnation(), foca::State::Suspect);
        self.changed = true;
        let result = self
            .foca
            .apply_many(std::iter::once(suspect), true, &mut self.runtime);
        self.collect_effects(now, result);
    }

    /// Declares a suspected member down.
    pub fn declare_down(&mut self, now: Duration, member: u32) {
        let Some(member) = self.suspected(member) else {
            return;
        };
        let down = Member::new(*member.id(), member.incarnation(), foca::State::Down);
        let result = self
            .foca
            .apply_many(std::iter::once(down), true, &mut self.runtime);
        self.collect_effects(now, result);
    }

    /// Adopts the processes that are down in another member's view.
    pub fn apply_down(&mut self, now: Duration, downs: Vec<ProcessId>) {
        if !downs.is_empty() {
            self.changed = true;
            let result =
                self.foca
                    .apply_many(downs.into_iter().map(Member::down), true, &mut self.runtime);
            self.collect_effects(now, result);
        }
    }

    fn suspected(&self, member: u32) -> Option<Member<ProcessId>> {
        let mut members = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == foca::State::Suspect);
        members.find(|other| other.id().member == member).cloned()
    }

    /// Notifies other members that this process leaves, and stops all timers.
    pub fn leave(&mut self, now: Duration) {
        let id = ProcessId {
            rejoins: LEFT_REJOINS,
            ..self.own_id()
        };
        let result = self.foca.change_identity(id, &mut self.runtime);
        self.collect_effects(now, result);
        let result = self.foca.leave_cluster(&mut self.runtime);
        self.collect_effects(now, result);
        self.timers.clear();
    }

    /// Handles a packet; `from` is the authenticated sender's member id and incarnation.
    pub fn receive(
        &mut self,
        now: Duration,
        from: (u32, u64),
        bytes: &[u8],
        own_id: u32,
        observations: &Observations,
    ) -> Result<PacketSummary, PacketError> {
        let mut rest = bytes;
        let header: Header<ProcessId> = PostcardCodec
            .decode_header(&mut rest)
            .map_err(|_| PacketError::Malformed)?;
        if (header.src.member, header.src.incarnation) != from {
            return Err(PacketError::SenderMismatch);
        }
        let mut changed = false;
        let mut is_in_roster = |member: &Member<ProcessId>| {
            let Some(observed) = observations.get(member.id().member) else {
                return member.id().member == own_id;
            };
            changed |= (observed.process, observed.status) != (Some(*member.id()), status(member));
            true
        };
        is_in_roster(&Member::alive(header.src));
        let (filtered, unknown_members) =
            known_members(rest, &mut is_in_roster).ok_or(PacketError::Malformed)?;
        self.changed |= changed;
        let is_known = |member: u32| member == own_id || observations.get(member).is_some();
        if subject_of(&header.message).is_some_and(|subject| !is_known(subject)) {
            // The packet concerns a probe of a member that has no address here.
            return Ok(PacketSummary {
                unknown_members: unknown_members + 1,
                ..PacketSummary::default()
            });
        }
        // Handling the packet may change this process's identity, so both are computed before.
        let summary = self.summarize(&header, unknown_members);
        let answer_ping = self.is_ping_to_earlier_identity(&header);
        let result = match filtered {
            None => self.foca.handle_data(bytes, &mut self.runtime),
            Some(updates) => {
                let header_bytes = &bytes[..bytes.len() - rest.len()];
                let packet = [header_bytes, &updates].concat();
                self.foca.handle_data(&packet, &mut self.runtime)
            }
        };
        self.collect_effects(now, result);
        if answer_ping {
            self.send(now, header.src, Message::Gossip, None);
        }
        Ok(summary)
    }

    fn summarize(&self, header: &Header<ProcessId>, unknown_members: usize) -> PacketSummary {
        let to_this_member = header.dst.member == self.own_id().member;
        let is_later = to_this_member && header.dst.incarnation > self.own_id().incarnation;
        PacketSummary {
            acked: match &header.message {
                Message::Ack(_) if to_this_member => Some(header.src.member),
                Message::ForwardedAck { origin, .. } if to_this_member => Some(origin.member),
                _ => None,
            },
            unknown_members,
            later_incarnation: is_later.then_some(header.dst.incarnation),
        }
    }

    /// Whether a packet is a ping to an earlier identity of this process, which `foca` ignores. The sender missed the new
    /// identity and would declare this running process down, so it has to be sent the current one.
    fn is_ping_to_earlier_identity(&self, header: &Header<ProcessId>) -> bool {
        header.dst.member == self.own_id().member
            && self.own_id().win_addr_conflict(&header.dst)
            && matches!(header.message, Message::Ping(_))
    }

    fn collect_effects(&mut self, now: Duration, result: Result<(), foca::Error>) {
        match result {
            // No member to gossip to, or a packet for an earlier identity: both are normal.
            Ok(()) | Err(foca::Error::NotConnected) => {}
            Err(_) => self.errors += 1,
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            let mut datagram = vec![SWIM_KIND];
            datagram.extend_from_slice(&bytes);
            self.outbox.push((to.member, datagram));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer_count += 1;
            self.timers.insert((now + after, self.timer_count), timer);
        }
        while self.runtime.to_notify().is_some() {
            self.changed = true;
        }
    }
}

fn status(member: &Member<ProcessId>) -> Status {
    match member.state() {
        foca::State::Alive => Status::Alive,
        foca::State::Suspect => Status::Suspect,
        foca::State::Down if member.id().has_left() => Status::Left,
        foca::State::Down => Status::Down,
    }
}
