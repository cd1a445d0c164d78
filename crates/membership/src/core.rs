//! The core: events in, actions out.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand_10::rngs::StdRng;
use rand_10::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use rand_10::{RngExt, SeedableRng};

use crate::facts::{Fact, Frame, Limits, Name, Said, Store, Taken, TellError};
use crate::pull::Pull;
use crate::roster::{number, Known, Roster, RosterError};
use crate::seen::{is_heard, Seen, Sighting};
use crate::standing::{rule, Act, Denied, Heads, Rule, Standing, State};
use crate::starts::{Later, Starts};
use crate::swim::{Bad, Id, Pace, Swim, Views, SWIM};
use crate::view::{Counts, Sight, Status, View};

/// No datagram is longer.
pub const DATAGRAM_BYTES: usize = 1200;
/// Datagrams in answer to one, and to all in half a period.
const ANSWERS: usize = 4;
const ANSWERED: usize = 64;
/// So many of those that see a member come back send it their summaries.
const GREETERS: u32 = 5;
/// Members that what is new here goes to, twice each.
const RUMOUR: usize = 2;
/// The first byte of a datagram about facts.
const FACTS: u8 = 2;
const VIEWS: u8 = 3;
/// Members in one datagram of who is down: so that it is not too long.
const DOWNS: usize = 40;
/// Members in dispute that are asked in one beat.
const DISPUTES: usize = 2;
/// For so many beats after a change views are compared in each, else in each fourth.
const LIVELY: u64 = 20;

/// For so many beats after somebody was heard anew, while some are not, members that are heard are asked who else is: so
/// many in each.
const CURIOUS: u64 = 10;
const ASKED: usize = 2;

/// What a core is made of.
#[derive(Clone, Debug)]
pub struct Config {
    pub me: String,
    /// The start of this process: Unix milliseconds. A later one of the same name replaces it.
    pub start: u64,
    pub roster: Roster,
    /// One member is probed in each.
    pub period: Duration,
    /// How long a suspected member has to say that it lives.
    pub suspicion: Duration,
    /// Others that are asked to probe who did not answer.
    pub indirect: usize,
    /// Members told of news, each half period.
    pub gossip: usize,
    /// How long a majority has to be heard until it counts.
    pub regain: Duration,
    /// Own timers that much too late make this process doubt itself.
    pub late: Duration,
    /// How long it doubts at least.
    pub settle: Duration,
    pub limits: Limits,
}

impl Config {
    pub fn new(me: &str, start: u64, roster: Roster) -> Self {
        Self::with_period(me, start, roster, Duration::from_millis(200))
    }

    /// All times in proportion to the period.
    pub fn with_period(me: &str, start: u64, roster: Roster, period: Duration) -> Self {
        Self {
            me: me.to_owned(),
            start,
            roster,
            period,
            suspicion: period * 3,
            indirect: 4,
            gossip: 3,
            regain: period * 4,
            late: period * 2,
            settle: period * 10,
            limits: Limits::default(),
        }
    }
}

#[derive(Clone, Debug)]
pub enum Event<'a> {
    Start,
    /// A datagram whose envelope vouches for the name and the start of its sender.
    Heard {
        from: &'a str,
        start: u64,
        bytes: &'a [u8],
    },
    Timer(u64),
    Roster(Roster),
    Leave,
    /// An own fact, which replaces the one of that kind and key.
    Tell {
        kind: u8,
        key: Vec<u8>,
        body: Vec<u8>,
        lasts: Duration,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: String,
        address: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Wake the core then. A later one replaces it: only the last token asked for counts.
    Timer {
        after: Duration,
        token: u64,
    },
    Changed(String, Status),
    State(State),
    /// A fact of another that is new here.
    Fact(Fact),
    /// An own fact was not taken.
    Untold(TellError),
    /// A roster was not taken; the former stays.
    BadRoster(RosterError),
    /// Others know this name by a later start than this process had: it goes on under this one, in the envelope too, for all
    /// that is sent from now on.
    Renewed(u64),
}

pub struct Core {
    me: u32,
    starts: Starts,
    config: Config,
    roster: Known,
    swim: Swim,
    store: Store,
    rng: StdRng,
    seen: Seen,
    /// What `foca` held when it was last looked at, in its order, which rarely changes.
    looked: Vec<(Id, Status)>,
    fleet: Standing,
    regions: BTreeMap<String, Standing>,
    shown: State,
    doubt: Option<Doubt>,
    /// When a probe of ours was last answered.
    answered: Duration,
    /// Facts to pass on, and how many times still.
    fresh: BTreeMap<Name, u8>,
    /// Members that all summaries go to at once, since they were not heard before.
    returned: BTreeSet<u32>,
    pull: Pull,
    /// Datagrams in answer to others, since the last beat.
    answered_with: usize,
    beat: Option<Duration>,
    beats: u64,
    /// Alive here, and down elsewhere under an earlier identity; when each was asked whether it lives.
    disputed: BTreeMap<u32, Option<Duration>>,
    /// Until which beat views are compared in each, and others are asked whom they hear.
    lively: u64,
    curious: u64,
    armed: Option<Duration>,
    token: u64,
    left: bool,
    counts: Counts,
}

#[derive(Clone, Debug)]
struct Doubt {
    since: Duration,
    acked: BTreeSet<u32>,
}

impl Core {
    pub fn new(config: Config, seed: u64) -> Result<Self, RosterError> {
        let roster = Known::new(&config.me, config.roster.clone())?;
        let me = number(&config.me);
        let id = Id {
            number: me,
            start: config.start,
            returns: 0,
            roster: roster.version,
        };
        let swim = Swim::new(id, pace(&config, &roster), seed);
        let mut core = Self {
            me,
            starts: Starts::new(config.start, config.settle),
            swim,
            store: Store::new(me, config.start, config.limits),
            rng: StdRng::seed_from_u64(seed ^ 0x6d65_6d62),
            seen: Seen::default(),
            looked: Vec::new(),
            fleet: Standing::default(),
            regions: BTreeMap::new(),
            shown: State::Alone,
            doubt: None,
            answered: Duration::ZERO,
            fresh: BTreeMap::new(),
            returned: BTreeSet::new(),
            pull: Pull::new(config.period * 2),
            answered_with: 0,
            beat: None,
            beats: 0,
            disputed: BTreeMap::new(),
            lively: 0,
            curious: CURIOUS,
            armed: None,
            token: 0,
            left: false,
            counts: Counts::default(),
            config,
            roster,
        };
        core.fit(Duration::ZERO);
        Ok(core)
    }

    /// Brings what is kept for each member into line with the roster.
    fn fit(&mut self, now: Duration) {
        for id in self.seen.fit(now, &self.roster, self.me) {
            self.swim.drop(now, id);
        }
        self.looked.clear();
        self.swim.touched = true;
        let members = &self.roster.members;
        self.regions
            .retain(|region, _| members.values().any(|member| member.region == *region));
        for member in members.values() {
            self.regions.entry(member.region.clone()).or_default();
        }
    }

    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        if self.left {
            return;
        }
        self.notice_lateness(now);
        let mut adopted = false;
        match event {
            Event::Start if self.beat.is_none() => {
                self.beat = Some(now + self.config.period / 2);
                self.seek(now, 3);
            }
            Event::Start => {}
            Event::Heard { from, start, bytes } => self.heard(now, from, start, bytes, actions),
            Event::Timer(token) => {
                if token == self.token {
                    self.armed = None;
                }
            }
            Event::Roster(roster) => {
                self.adopt(now, roster, actions);
                adopted = true;
            }
            Event::Leave => self.leave(now),
            Event::Tell {
                kind,
                key,
                body,
                lasts,
            } => match self.store.tell(now, kind, key, body, lasts) {
                Ok(name) => self.pass_on(name),
                Err(error) => actions.push(Action::Untold(error)),
            },
        }
        self.swim.run(now);
        let beat = self.beat.is_some_and(|beat| beat <= now);
        if beat {
            self.on_beat(now);
        }
        let news = self.look(now, actions);
        debug_assert!(!beat || self.is_seen());
        // Many datagrams carry news, few of them new here: states are counted when a member changed, and with each beat.
        if beat || news || adopted {
            self.count_states(now, actions);
        }
        self.flush(actions);
        self.counts.errors = self.swim.errors;
        if !self.left {
            self.arm(now, actions);
        }
    }

    fn due(&self) -> Option<Duration> {
        self.swim.due().into_iter().chain(self.beat).min()
    }

    fn arm(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let due = self.due();
        if due != self.armed {
            self.armed = due;
            if let Some(due) = due {
                self.token += 1;
                actions.push(Action::Timer {
                    after: due.saturating_sub(now),
                    token: self.token,
                });
            }
        }
    }

    fn is_late(&self, now: Duration) -> bool {
        self.due()
            .is_some_and(|due| now.saturating_sub(due) > self.config.late)
    }

    /// A process that was paused has to wait for answers before it calls anyone dead, and to hear again before it
    /// acts.
    fn notice_lateness(&mut self, now: Duration) {
        if !self.is_late(now) {
            return;
        }
        let Some(due) = self.due() else { return };
        let by = now - due + self.config.period;
        self.swim.postpone(by);
        self.beat = self.beat.map(|_| now);
        self.counts.pauses += 1;
        self.doubt = Some(Doubt {
            since: now,
            acked: BTreeSet::new(),
        });
        self.seen.suspect_anew(now);
        self.fleet.forget();
        self.regions.values_mut().for_each(Standing::forget);
    }

    fn heard(
        &mut self,
        now: Duration,
        from: &str,
        start: u64,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let from = number(from);
        let Some(seen) = self.seen.get(from) else {
            self.counts.strangers += 1;
            return;
        };
        if seen.id.is_some_and(|id| id.start > start) {
            self.counts.earlier += 1;
            return;
        }
        let done = match bytes.split_first() {
            _ if bytes.len() > DATAGRAM_BYTES => Err(Bad::Malformed),
            Some((&SWIM, packet)) => self.heard_swim(now, (from, start), packet, actions),
            Some((&FACTS, packet)) => self.heard_facts(now, from, packet, actions),
            Some((&VIEWS, packet)) => self.heard_view(now, from, packet),
            _ => Err(Bad::Malformed),
        };
        match done {
            Ok(()) => self.seen.heard_of(from, now),
            Err(Bad::Malformed) => self.counts.malformed += 1,
            Err(Bad::Sender) => self.counts.imposters += 1,
        }
    }

    fn heard_swim(
        &mut self,
        now: Duration,
        from: (u32, u64),
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), Bad> {
        let told = self.swim.heard(now, from, packet, self.me, &self.seen)?;
        self.counts.strangers += told.strangers as u64;
        if let Some(number) = told.acked {
            self.answered = now;
            if let Some(doubt) = &mut self.doubt {
                doubt.acked.insert(number);
            }
        }
        if let Some(later) = told.later {
            self.known_by(now, later, actions);
        }
        Ok(())
    }

    /// Others know this name by a later start.
    fn known_by(&mut self, now: Duration, later: u64, actions: &mut Vec<Action>) {
        match self.starts.known(now, later) {
            Later::Renewed(start) => {
                self.counts.renewals += 1;
                self.swim.renew(now, start);
                for name in self.store.renew(now, start) {
                    self.pass_on(name);
                }
                actions.push(Action::Renewed(start));
            }
            Later::Held => self.counts.renewals_held += 1,
            Later::Spent => self.counts.renewals_spent += 1,
        }
    }

    fn heard_view(&mut self, now: Duration, from: u32, packet: &[u8]) -> Result<(), Bad> {
        match postcard::from_bytes(packet).map_err(|_| Bad::Malformed)? {
            hash @ Views::Hash(_) if hash != *self.seen.downs_hash() => {
                let mine = self.seen.downs().clone();
                self.send_downs(from, false, mine);
            }
            Views::Hash(_) => {}
            Views::Down { answer, ids } => {
                let theirs: BTreeSet<Id> = ids.into_iter().collect();
                let mine = self.seen.downs();
                let (seen, lacking) = (&self.seen, mine.difference(&theirs).copied().collect());
                let new = theirs
                    .difference(mine)
                    .filter(|id| seen.get(id.number).is_some());
                let new: Vec<Id> = new.copied().collect();
                let later = |id: &Id, mine: Id| (mine.start, mine.returns) > (id.start, id.returns);
                let alive = |id: &&Id| {
                    let seen = seen
                        .get(id.number)
                        .filter(|seen| seen.status == Status::Alive);
                    seen.and_then(|seen| seen.id)
                        .is_some_and(|mine| later(id, mine))
                };
                let disputed = theirs.iter().filter(alive).map(|id| id.number);
                disputed.for_each(|number| _ = self.disputed.entry(number).or_default());
                if !answer {
                    self.send_downs(from, true, lacking);
                }
                self.swim.take_downs(now, new);
            }
        }
        Ok(())
    }

    fn send_downs(&mut self, to: u32, answer: bool, downs: BTreeSet<Id>) {
        let downs: Vec<Id> = downs.into_iter().sample(&mut self.rng, DOWNS * ANSWERS);
        if downs.is_empty() && !answer {
            // Nothing to tell, but the other has something.
            self.send_view(
                to,
                &Views::Down {
                    answer,
                    ids: Vec::new(),
                },
            );
        }
        for ids in downs.chunks(DOWNS) {
            self.send_view(
                to,
                &Views::Down {
                    answer,
                    ids: ids.to_vec(),
                },
            );
        }
    }

    fn send_view(&mut self, to: u32, views: &Views) {
        match postcard::to_extend(views, vec![VIEWS]) {
            Ok(bytes) if bytes.len() <= DATAGRAM_BYTES => self.out(to, bytes),
            _ => self.counts.errors += 1,
        }
    }

    fn heard_facts(
        &mut self,
        now: Duration,
        from: u32,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), Bad> {
        let frame: Frame = postcard::from_bytes(packet).map_err(|_| Bad::Malformed)?;
        let facts = match frame {
            Frame::Facts(facts) => facts,
            Frame::Summary { sources, .. } => {
                let mut differing = self.store.differing(sources);
                differing.retain(|(source, _)| self.roster.members.contains_key(source));
                self.pull.claimed(from, differing, &mut self.rng);
                return Ok(());
            }
            Frame::Detail {
                answer,
                source,
                part,
                versions,
            } => {
                if self.answered_with < ANSWERED {
                    let answers = self.store.lacking(now, answer, source, part, &versions);
                    let before = self.swim.out.len();
                    self.pack(from, answers);
                    self.answered_with += self.swim.out.len() - before;
                }
                return Ok(());
            }
        };
        for said in facts {
            let Some(source) = self
                .roster
                .members
                .get(&said.source)
                .map(|member| member.name.clone())
            else {
                self.counts.facts_refused += 1;
                continue;
            };
            self.pull
                .got(from, said.source, said.key.len() + said.body.len());
            match self.store.hear(now, said) {
                Taken::New(name) => {
                    actions.extend(self.store.fact(now, &name, &source).map(Action::Fact));
                    self.pass_on(name);
                }
                Taken::Known => {}
                Taken::Invented => self.counts.invented += 1,
                Taken::Later(start) => self.known_by(now, start, actions),
                Taken::Full => self.counts.facts_refused += 1,
            }
        }
        Ok(())
    }

    fn pass_on(&mut self, name: Name) {
        // With the next beat, so that what is told in one go is in one datagram.
        self.fresh.insert(name, 2);
    }

    fn adopt(&mut self, now: Duration, roster: Roster, actions: &mut Vec<Action>) {
        match Known::new(&self.config.me, roster) {
            Ok(known) => {
                self.roster = known;
                self.fit(now);
                let pace = pace(&self.config, &self.roster);
                self.swim.roster(now, self.roster.version, pace);
            }
            Err(error) => {
                self.counts.rosters_refused += 1;
                actions.push(Action::BadRoster(error));
            }
        }
    }

    fn leave(&mut self, now: Duration) {
        self.swim.leave(now);
        self.left = true;
        self.beat = None;
    }

    /// Announces itself to some of the roster that are not heard.
    fn seek(&mut self, now: Duration, count: usize) {
        // Under a new identity (another roster, a return) `foca` is silent until somebody speaks to it: if all change
        // theirs at once, nobody would. So without answers it is announced to those that are heard as well.
        let silent = now > self.answered + self.config.period * 2;
        if !silent && self.seen.others().len() == self.seen.len() {
            return;
        }
        let unheard = self
            .seen
            .iter()
            .filter(|(_, seen)| silent || !is_heard(seen.status));
        for (number, seen) in unheard
            .map(|(number, seen)| (number, *seen))
            .sample(&mut self.rng, count)
        {
            let unknown = Id {
                number,
                start: 0,
                returns: 0,
                roster: 0,
            };
            self.swim.announce(now, seen.id.unwrap_or(unknown));
        }
    }

    fn on_beat(&mut self, now: Duration) {
        self.beats += 1;
        self.beat = Some(now + self.config.period / 2);
        let alone = self.seen.others().is_empty();
        if self.beats.is_multiple_of(2) {
            self.seek(now, if alone { 3 } else { 1 });
            self.store.tidy(now);
        }
        self.ask_around(now);
        self.settle_suspicions(now);
        self.settle_disputes(now);
        self.spread(now);
        if self.beats < self.lively || self.beats.is_multiple_of(4) {
            if let Some(to) = self.seen.others().choose(&mut self.rng).copied() {
                let hash = self.seen.downs_hash().clone();
                self.send_view(to, &hash);
            }
        }
        if self.beats.is_multiple_of(4) {
            let to = self.seen.others().choose(&mut self.rng).copied();
            if let Some(to) = to {
                let summary = self.store.summary();
                self.send(to, &summary);
            }
        }
        if let Some(to) = self.returned.pop_first() {
            for summary in self.store.summaries() {
                self.send(to, &summary);
            }
        }
        self.answered_with = 0;
        let store = &self.store;
        for (to, source) in self
            .pull
            .asks(now, |source| store.hash(source), &mut self.rng)
        {
            for detail in self.store.details(source, false) {
                self.send(to, &detail);
            }
        }
        // Probes that nobody answers for so long, or none sent: `foca` sends none once it came back under a new
        // identity that nobody has taken up yet, and would hold all for alive meanwhile.
        if !alone && now > self.answered + self.config.settle {
            self.doubt.get_or_insert_with(|| Doubt {
                since: now,
                acked: BTreeSet::new(),
            });
        }
        if let Some(doubt) = &self.doubt {
            // As many as make a majority with oneself, or three.
            let enough = doubt.acked.len() >= (self.roster.members.len() / 2).min(3);
            if enough && now >= doubt.since + self.config.settle {
                self.doubt = None;
            }
        }
    }

    /// Asks some that are heard whom they hear: an answer names fifty. One that has just come, or whose cut has healed, would else
    /// find the last of many by announcing itself to who is not heard, one by one, most of whom may be dead.
    fn ask_around(&mut self, now: Duration) {
        let others = self.seen.others();
        if self.beats >= self.curious || others.len() == self.seen.len() {
            return;
        }
        let asked: Vec<u32> = others.sample(&mut self.rng, ASKED).copied().collect();
        for id in asked
            .into_iter()
            .filter_map(|number| self.seen.get(number)?.id)
        {
            self.swim.announce(now, id);
        }
    }

    /// A suspicion ends: by a word of the member, which is asked for, or by calling it down.
    fn settle_suspicions(&mut self, now: Duration) {
        let suspected: Vec<_> = self.seen.suspected().collect();
        for (number, since) in suspected {
            let waited = now - since;
            if waited >= self.config.suspicion * 2 {
                self.swim.give_up(now, number);
            } else if waited > self.config.suspicion {
                self.swim.remind(now, number);
            }
        }
    }

    /// Another holds an earlier identity of a member for down, and nobody else may ever have heard of the later one: it was
    /// heard of just before a cut. So it is asked, out of turn, and suspected if it does not answer: else it would be this
    /// process alone that probes it, once in a round of all.
    fn settle_disputes(&mut self, now: Duration) {
        let (seen, patience) = (&self.seen, self.config.period * 2);
        let mut silent = Vec::new();
        self.disputed.retain(|number, asked| {
            let Some(of) = seen.get(*number).filter(|of| of.status == Status::Alive) else {
                return false;
            };
            let Some(asked) = *asked else { return true };
            if now >= asked + patience {
                silent.push(*number);
            }
            now < asked + patience && of.heard.is_none_or(|heard| heard <= asked)
        });
        for number in silent {
            self.swim.suspect(now, number);
        }
        let waiting = self
            .disputed
            .iter_mut()
            .filter(|(_, asked)| asked.is_none());
        for (number, asked) in waiting.sample(&mut self.rng, DISPUTES) {
            if let Some(id) = self.seen.get(*number).and_then(|of| of.id) {
                *asked = Some(now);
                self.swim.ask(now, id);
            }
        }
    }

    /// Sends what is new here to some. What was passed on least goes first, and else by chance: where not all fits, it is
    /// no source in particular that waits for the next beat.
    fn spread(&mut self, now: Duration) {
        if self.fresh.is_empty() {
            return;
        }
        let to: Vec<u32> = self
            .seen
            .others()
            .sample(&mut self.rng, RUMOUR)
            .copied()
            .collect();
        if to.is_empty() {
            return;
        }
        let store = &self.store;
        self.fresh.retain(|name, _| store.holds(name));
        let mut names: Vec<(Name, u8)> = self
            .fresh
            .iter()
            .map(|(name, times)| (name.clone(), *times))
            .collect();
        names.shuffle(&mut self.rng);
        names.sort_by_key(|(_, times)| Reverse(*times));
        let said: Vec<Said> = names
            .iter()
            .filter_map(|(name, _)| self.store.get(now, name))
            .collect();
        let mut passed = 0;
        for number in to {
            passed = self.pack(number, vec![Frame::Facts(said.clone())]);
        }
        for (name, times) in names.into_iter().take(passed) {
            if times > 1 {
                self.fresh.insert(name, times - 1);
            } else {
                self.fresh.remove(&name);
            }
        }
    }

    /// Sends frames, facts together as far as they fit; no more than some datagrams, what is left comes with the
    /// next exchange. Gives how many facts went.
    fn pack(&mut self, to: u32, frames: Vec<Frame>) -> usize {
        let (mut sent, mut passed) = (0, 0);
        let mut facts: Vec<Said> = Vec::new();
        let mut bytes = 0;
        for frame in frames {
            match frame {
                Frame::Facts(said) => {
                    for said in said {
                        let size = postcard::experimental::serialized_size(&said)
                            .unwrap_or(DATAGRAM_BYTES);
                        if bytes + size > DATAGRAM_BYTES - 8 {
                            passed += facts.len();
                            self.send(to, &Frame::Facts(std::mem::take(&mut facts)));
                            bytes = 0;
                            sent += 1;
                            if sent >= ANSWERS {
                                return passed;
                            }
                        }
                        bytes += size;
                        facts.push(said);
                    }
                }
                other => {
                    self.send(to, &other);
                    sent += 1;
                    if sent >= ANSWERS {
                        return passed;
                    }
                }
            }
        }
        if !facts.is_empty() {
            passed += facts.len();
            self.send(to, &Frame::Facts(facts));
        }
        passed
    }

    fn send(&mut self, to: u32, frame: &Frame) {
        match postcard::to_extend(frame, vec![FACTS]) {
            Ok(bytes) if bytes.len() <= DATAGRAM_BYTES => self.out(to, bytes),
            _ => self.counts.errors += 1,
        }
    }

    fn out(&mut self, to: u32, bytes: Vec<u8>) {
        self.swim.out.push((to, bytes));
    }

    /// Turns what is to be sent into actions, to the addresses of one's own roster.
    fn flush(&mut self, actions: &mut Vec<Action>) {
        for (to, bytes) in self.swim.out.drain(..) {
            if let Some(member) = self.roster.members.get(&to) {
                actions.push(Action::Send {
                    to: member.name.clone(),
                    address: member.address,
                    bytes,
                });
            }
        }
    }

    /// Takes over who is there, as far as something may have changed; whether that is news.
    fn look(&mut self, now: Duration, actions: &mut Vec<Action>) -> bool {
        let mut news = false;
        if !std::mem::take(&mut self.swim.touched) {
            return news;
        }
        for (at, (id, status)) in self.swim.members().enumerate() {
            match self.looked.get_mut(at) {
                Some(looked) if *looked == (id, status) => continue,
                Some(looked) => *looked = (id, status),
                None => self.looked.push((id, status)),
            }
            let Some(change) = self.seen.take(now, &self.roster, id, status) else {
                continue;
            };
            self.counts.roster_differs += u64::from(change.differs);
            if change.back {
                self.curious = self.beats + CURIOUS;
                self.pull.back(self.roster.members.len());
                let others = u32::try_from(self.seen.others().len()).unwrap_or(u32::MAX);
                if self.rng.random_ratio(GREETERS.min(others), others) {
                    self.returned.insert(id.number);
                }
            }
            if change.news {
                news = true;
                if !is_heard(status) {
                    self.lively = self.beats + LIVELY;
                }
                let name = self
                    .roster
                    .members
                    .get(&id.number)
                    .map(|member| member.name.clone());
                actions.extend(name.map(|name| Action::Changed(name, status)));
            }
        }
        news
    }

    /// Nothing has changed that was not looked at, and all is counted.
    fn is_seen(&self) -> bool {
        let same = |(id, status): (Id, Status)| {
            self.seen
                .get(id.number)
                .is_none_or(|seen| (seen.id, seen.status) == (Some(id), status))
        };
        self.swim.members().all(same) && self.seen.adds_up(&self.roster, self.me)
    }

    /// What state that is.
    fn count_states(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let hold = self.config.regain;
        self.fleet.step(now, self.seen.heads(), hold);
        for (region, heads) in self.seen.regions() {
            if let Some(standing) = self.regions.get_mut(region) {
                standing.step(now, *heads, hold);
            }
        }
        let state = self.state(now);
        if state != self.shown {
            self.shown = state;
            actions.push(Action::State(state));
        }
    }

    fn doubting(&self, now: Duration) -> bool {
        self.doubt.is_some() || self.is_late(now)
    }

    fn state(&self, now: Duration) -> State {
        if self.doubting(now) {
            self.fleet.state.min(State::Degraded)
        } else {
            self.fleet.state
        }
    }

    /// Whether something may be done now; for a region, if it concerns only that.
    pub fn allowed(&self, now: Duration, act: Act, region: Option<&str>) -> Result<(), Denied> {
        let standings: Vec<(Option<&str>, &Standing)> = match region {
            None => vec![(None, &self.fleet)],
            Some(region) => {
                let part = self
                    .regions
                    .get(region)
                    .ok_or_else(|| Denied::UnknownRegion(region.to_owned()))?;
                let fleet = (act == Act::Promote).then_some((None, &self.fleet));
                fleet.into_iter().chain([(Some(region), part)]).collect()
            }
        };
        let doubting = self.doubting(now);
        for (region, standing) in standings {
            match rule(act, standing.state, doubting) {
                Rule::Yes | Rule::UntilLapse => {}
                Rule::No | Rule::Agreed if doubting => return Err(Denied::Doubting),
                Rule::No => {
                    let Heads { heard, of, .. } = standing.heads;
                    let region = region.map(str::to_owned);
                    return Err(Denied::TooFew {
                        state: standing.state,
                        heard,
                        of,
                        region,
                    });
                }
                Rule::Agreed if self.left => return Err(Denied::Left),
                Rule::Agreed => match self.seen.differing() {
                    0 => {}
                    members => return Err(Denied::RosterDiffers(members)),
                },
            }
        }
        if self.left && act == Act::Lend {
            return Err(Denied::Left);
        }
        Ok(())
    }

    /// What others said of a kind, and has not lapsed.
    pub fn facts(&self, now: Duration, kind: u8) -> Vec<Fact> {
        self.store
            .names()
            .filter(|name| name.1 == kind)
            .filter(|name| name.0 != self.me || self.store.is_former(name))
            .filter_map(|name| {
                let source = self.roster.members.get(&name.0)?;
                self.store.fact(now, name, &source.name)
            })
            .collect()
    }

    pub fn view(&self, now: Duration) -> View {
        // In one round each two members probe each other once, in an order that changes.
        let rounds = self.config.period * (2 * self.seen.len() as u32 + 2);
        let sight = |(number, seen): (u32, &Sighting)| {
            let member = self.roster.members.get(&number)?;
            Some(Sight {
                name: member.name.clone(),
                address: member.address,
                region: member.region.clone(),
                status: seen.status,
                since: seen.since,
                start: seen.id.map(|id| id.start),
                roster: seen.id.map(|id| id.roster),
                direct: is_heard(seen.status)
                    && seen.heard.is_some_and(|heard| now <= heard + rounds),
            })
        };
        View {
            state: self.state(now),
            doubting: self.doubting(now),
            heads: self.fleet.heads,
            roster: self.roster.version,
            roster_differs: self.seen.differing(),
            regions: self
                .regions
                .iter()
                .map(|(region, part)| (region.clone(), part.state))
                .collect(),
            members: self.seen.iter().filter_map(sight).collect(),
            facts: self.store.len(),
            fact_bytes: self.store.bytes(),
            counts: self.counts,
        }
    }

    pub fn start(&self) -> u64 {
        self.starts.now()
    }
}

fn pace(config: &Config, roster: &Known) -> Pace {
    Pace {
        period: config.period,
        suspicion: config.suspicion,
        indirect: config.indirect,
        gossip: config.gossip,
        members: roster.members.len(),
    }
}
