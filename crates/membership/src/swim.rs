//! `foca` for one roster: its timers, its packets without strangers, and what their headers tell.

use std::collections::{BTreeMap, BTreeSet};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Codec, Config, Foca, Header, Identity, Member, Message, NoCustomBroadcast,
    PeriodicParams, PostcardCodec, Timer,
};
use rand_10::rngs::StdRng;
use rand_10::SeedableRng;
use serde::{Deserialize, Serialize};

use crate::roster::hash_bytes;
use crate::seen::Seen;
use crate::view::Status;

/// What `foca` may fill of a datagram of 1,200 bytes, beside the byte of its kind.
const PACKET_BYTES: usize = 1199;
/// The first byte of a datagram with such a packet.
pub(crate) const SWIM: u8 = 1;
/// The count of returns of who has left: no other way to tell a leave from a death.
const LEFT: u16 = u16::MAX;

/// A process of a member: the number of its name, its start, how often it came back after it was called dead
/// (or changed its roster), and the version of its roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Id {
    pub number: u32,
    pub start: u64,
    pub returns: u16,
    pub roster: u64,
}

impl Id {
    pub fn has_left(self) -> bool {
        self.returns == LEFT
    }
}

impl Identity for Id {
    type Addr = u32;

    fn renew(&self) -> Option<Self> {
        // One before the last: the last means that it left.
        (self.returns < LEFT - 1).then(|| Self {
            returns: self.returns + 1,
            ..*self
        })
    }

    fn addr(&self) -> u32 {
        self.number
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.start, self.returns) > (other.start, other.returns)
    }
}

/// How `foca` is set.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    pub period: Duration,
    pub suspicion: Duration,
    pub indirect: usize,
    pub gossip: usize,
    pub members: usize,
}

fn some(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

impl Pace {
    fn config(self) -> Config {
        // Each update is sent often enough that all hear of it: as often as a number of that size has bits, and
        // half again against loss.
        let bits = usize::BITS - self.members.leading_zeros();
        Config {
            probe_period: self.period,
            probe_rtt: self.period * 2 / 5,
            num_indirect_probes: some(self.indirect),
            max_transmissions: NonZeroU8::new(4 + 3 * bits as u8 / 2).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: self.suspicion,
            // As many as the roster has are remembered: strangers never reach it.
            remove_down_after: None,
            max_packet_size: some(PACKET_BYTES),
            notify_down_members: true,
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(PeriodicParams {
                frequency: self.period / 2,
                num_members: some(self.gossip),
            }),
        }
    }
}

/// How two proxies bring their views together. News of a death goes round by chance, and of many at once, as in a cut
/// into halves, some is lost: one member that is falsely held alive can be what makes a half more than a half.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Views {
    /// The hash of who is down.
    Hash(u64),
    Down {
        answer: bool,
        ids: Vec<Id>,
    },
}

impl Views {
    pub fn hash(downs: &BTreeSet<Id>) -> Self {
        let bytes = |id: &Id| postcard::to_stdvec(id).unwrap_or_default();
        Self::Hash(
            downs
                .iter()
                .fold(0, |hash, id| hash_bytes(hash, &bytes(id))),
        )
    }
}

/// What a packet told, beside what `foca` makes of it.
#[derive(Debug, Default)]
pub(crate) struct Told {
    /// A member that answered a probe of ours, by its own datagram or through another.
    pub acked: Option<u32>,
    /// Members that are not in the roster, of whom the packet spoke.
    pub strangers: usize,
    /// It is meant for a process of this name that started later than this one.
    pub later: Option<u64>,
}

/// A packet whose sender is not who the envelope says, or that is none.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Bad {
    Malformed,
    Sender,
}

pub(crate) struct Swim {
    foca: Foca<Id, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Id>,
    timers: BTreeMap<(Duration, u64), Timer<Id>>,
    count: u64,
    /// Datagrams to send, taken by the core.
    pub out: Vec<(u32, Vec<u8>)>,
    /// Something may have changed in who is there, since the core last looked. `foca` tells of who comes and goes, not of
    /// who is suspected.
    pub touched: bool,
    /// Calls that `foca` found wrong, which should not be.
    pub errors: u64,
}

impl Swim {
    pub fn new(id: Id, pace: Pace, seed: u64) -> Self {
        Self {
            foca: Foca::new(
                id,
                pace.config(),
                StdRng::seed_from_u64(seed),
                PostcardCodec,
            ),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            count: 0,
            out: Vec::new(),
            touched: false,
            errors: 0,
        }
    }

    pub fn id(&self) -> Id {
        *self.foca.identity()
    }

    /// Each process that it knows of, and what that is.
    pub fn members(&self) -> impl Iterator<Item = (Id, Status)> + '_ {
        self.foca
            .iter_membership_state()
            .map(|member| (*member.id(), status(member)))
    }

    /// When it wants to be woken.
    pub fn due(&self) -> Option<Duration> {
        self.timers.keys().next().map(|(due, _)| *due)
    }

    /// Moves all its timers on, in their order: after a pause no answer is missing yet.
    pub fn postpone(&mut self, by: Duration) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers
            .into_iter()
            .map(|((due, count), timer)| ((due + by, count), timer))
            .collect();
    }

    pub fn run(&mut self, now: Duration) {
        while self.due().is_some_and(|due| due <= now) {
            let Some((_, timer)) = self.timers.pop_first() else {
                break;
            };
            // Whoever did not answer the probe before is suspected now.
            self.touched |= matches!(timer, Timer::ProbeRandomMember(_));
            let done = self.foca.handle_timer(timer, &mut self.runtime);
            self.after(now, done);
        }
    }

    pub fn announce(&mut self, now: Duration, to: Id) {
        let done = self.foca.announce(to, &mut self.runtime);
        self.after(now, done);
    }

    /// Says another version of the roster from now on.
    pub fn roster(&mut self, now: Duration, version: u64, pace: Pace) {
        // What depends on the size may be changed as it runs, and nothing else of it changes.
        let done = self.foca.set_config(pace.config());
        self.after(now, done);
        if let Some(id) = self.id().renew().filter(|id| id.roster != version) {
            let done = self.foca.change_identity(
                Id {
                    roster: version,
                    ..id
                },
                &mut self.runtime,
            );
            self.after(now, done);
        }
    }

    /// Goes on as a process of a later start.
    pub fn renew(&mut self, now: Duration, start: u64) {
        // What waits is signed by nobody any more.
        self.out.clear();
        self.touched = true;
        let id = Id {
            start,
            returns: 0,
            ..self.id()
        };
        let done = self.foca.change_identity(id, &mut self.runtime);
        self.after(now, done);
    }

    /// A member is no longer in the roster: it is not probed any more, and no other is told that it died.
    pub fn drop(&mut self, now: Duration, id: Id) {
        let done =
            self.foca
                .apply_many(std::iter::once(Member::down(id)), false, &mut self.runtime);
        self.after(now, done);
    }

    /// Tells a suspected member that it is, so that it says that it lives. `foca` does so only by the way, and not at
    /// all for a suspicion whose timer it dropped, as it does with all timers when it comes back under a new
    /// identity: such a member would stay suspected for good.
    pub fn remind(&mut self, now: Duration, number: u32) {
        let Some(member) = self.suspected(number) else {
            return;
        };
        self.say(now, *member.id(), Message::Gossip, Some(&member));
    }

    /// Asks a member whether it lives, beside the probes: its ack is of no probe, but a word of its own.
    pub fn ask(&mut self, now: Duration, id: Id) {
        self.say(now, id, Message::Ping(0), None);
    }

    fn say(&mut self, now: Duration, dst: Id, message: Message<Id>, news: Option<&Member<Id>>) {
        // An own incarnation below the true one is taken for old news, which is all that it is meant to be.
        let header = Header {
            src: self.id(),
            src_incarnation: 0,
            dst,
            message,
        };
        let mut datagram = vec![SWIM];
        let mut codec = PostcardCodec;
        let done = codec.encode_header(&header, &mut datagram).and_then(|()| {
            datagram.extend_from_slice(&u16::from(news.is_some()).to_be_bytes());
            news.map_or(Ok(()), |member| codec.encode_member(member, &mut datagram))
        });
        match done {
            Ok(()) => self.out.push((dst.number, datagram)),
            Err(_) => self.errors += 1,
        }
        self.after(now, Ok(()));
    }

    /// Holds a member for suspect that did not answer.
    pub fn suspect(&mut self, now: Duration, number: u32) {
        let of = self
            .foca
            .iter_membership_state()
            .find(|member| member.id().number == number);
        let Some(member) = of.filter(|member| member.state() == foca::State::Alive) else {
            return;
        };
        let suspect = Member::new(*member.id(), member.incarnation(), foca::State::Suspect);
        self.touched = true;
        let done = self
            .foca
            .apply_many(std::iter::once(suspect), true, &mut self.runtime);
        self.after(now, done);
    }

    /// Calls a suspected member down that said nothing for too long.
    pub fn give_up(&mut self, now: Duration, number: u32) {
        let Some(member) = self.suspected(number) else {
            return;
        };
        let down = Member::new(*member.id(), member.incarnation(), foca::State::Down);
        let done = self
            .foca
            .apply_many(std::iter::once(down), true, &mut self.runtime);
        self.after(now, done);
    }

    /// Takes over who another says is down.
    pub fn take_downs(&mut self, now: Duration, downs: Vec<Id>) {
        if !downs.is_empty() {
            self.touched = true;
            let done =
                self.foca
                    .apply_many(downs.into_iter().map(Member::down), true, &mut self.runtime);
            self.after(now, done);
        }
    }

    fn suspected(&self, number: u32) -> Option<Member<Id>> {
        let mut members = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == foca::State::Suspect);
        members.find(|member| member.id().number == number).cloned()
    }

    pub fn leave(&mut self, now: Duration) {
        let id = Id {
            returns: LEFT,
            ..self.id()
        };
        let done = self.foca.change_identity(id, &mut self.runtime);
        self.after(now, done);
        let done = self.foca.leave_cluster(&mut self.runtime);
        self.after(now, done);
        self.timers.clear();
    }

    /// Takes a packet from the process that the envelope vouches for.
    pub fn heard(
        &mut self,
        now: Duration,
        from: (u32, u64),
        bytes: &[u8],
        me: u32,
        seen: &Seen,
    ) -> Result<Told, Bad> {
        let mut rest = bytes;
        let header: Header<Id> = PostcardCodec
            .decode_header(&mut rest)
            .map_err(|_| Bad::Malformed)?;
        if (header.src.number, header.src.start) != from {
            return Err(Bad::Sender);
        }
        let mut told = Told::default();
        let mut touched = false;
        // Whether that is a member of the roster. What says nothing else than is known changes nothing.
        let mut known = |member: &Member<Id>| {
            let Some(seen) = seen.get(member.id().number) else {
                return member.id().number == me;
            };
            touched |= (seen.id, seen.status) != (Some(*member.id()), status(member));
            true
        };
        known(&Member::alive(header.src));
        let (kept, strangers) = members_within(rest, &mut known).ok_or(Bad::Malformed)?;
        self.touched |= touched;
        told.strangers = strangers;
        if !message_numbers(&header.message).is_none_or(|of| of == me || seen.get(of).is_some()) {
            // It asks for a probe of a stranger: there is no address to send to.
            told.strangers += 1;
            return Ok(told);
        }
        let mine = header.dst.number == self.id().number;
        told.later = (mine && header.dst.start > self.id().start).then_some(header.dst.start);
        told.acked = match &header.message {
            Message::Ack(_) if mine => Some(header.src.number),
            Message::ForwardedAck { origin, .. } if mine => Some(origin.number),
            _ => None,
        };
        // To a former self of this process. `foca` lets it lie, and who missed the news of the later one would go on to call that
        // dead which lives: so it is told who it is now.
        let former = mine && self.id().win_addr_conflict(&header.dst);
        let former = former && matches!(header.message, Message::Ping(_));
        let done = match kept {
            None => self.foca.handle_data(bytes, &mut self.runtime),
            Some(kept) => {
                let mut clean = bytes[..bytes.len() - rest.len()].to_vec();
                clean.extend_from_slice(&kept);
                self.foca.handle_data(&clean, &mut self.runtime)
            }
        };
        self.after(now, done);
        if former {
            self.say(now, header.src, Message::Gossip, None);
        }
        Ok(told)
    }

    fn after(&mut self, now: Duration, done: Result<(), foca::Error>) {
        match done {
            // Asked to gossip while nobody is heard, or sent a packet that was for an earlier self: daily life.
            Ok(()) | Err(foca::Error::NotConnected) => {}
            Err(_) => self.errors += 1,
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            let mut datagram = vec![SWIM];
            datagram.extend_from_slice(&bytes);
            self.out.push((to.number, datagram));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.count += 1;
            self.timers.insert((now + after, self.count), timer);
        }
        while self.runtime.to_notify().is_some() {
            self.touched = true;
        }
    }
}

/// Another member that the message speaks of.
fn message_numbers(message: &Message<Id>) -> Option<u32> {
    match message {
        Message::PingReq { target, .. } | Message::IndirectAck { target, .. } => {
            Some(target.number)
        }
        Message::IndirectPing { origin, .. } | Message::ForwardedAck { origin, .. } => {
            Some(origin.number)
        }
        _ => None,
    }
}

fn status(member: &Member<Id>) -> Status {
    match member.state() {
        foca::State::Alive => Status::Alive,
        foca::State::Suspect => Status::Suspect,
        foca::State::Down if member.id().has_left() => Status::Left,
        foca::State::Down => Status::Down,
    }
}

/// The updates of a packet behind its header without strangers (none if there are none to take out), and how many
/// those are. `foca` documents the layout: a count of two bytes, then the members.
fn members_within(
    rest: &[u8],
    mut known: impl FnMut(&Member<Id>) -> bool,
) -> Option<(Option<Vec<u8>>, usize)> {
    if rest.is_empty() {
        return Some((None, 0));
    }
    let (count, mut rest) = rest.split_first_chunk::<2>()?;
    let count = u16::from_be_bytes(*count);
    let mut kept = vec![0, 0];
    let mut left: u16 = 0;
    for _ in 0..count {
        let before = rest;
        let member: Member<Id> = Codec::<Id>::decode_member(&mut PostcardCodec, &mut rest).ok()?;
        if known(&member) {
            kept.extend_from_slice(&before[..before.len() - rest.len()]);
            left += 1;
        }
    }
    if !rest.is_empty() {
        return None;
    }
    kept[..2].copy_from_slice(&left.to_be_bytes());
    let strangers = usize::from(count - left);
    Some(((strangers > 0).then_some(kept), strangers))
}
