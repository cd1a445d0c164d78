//! The core: events in, actions out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::api::{Action, Config, Event, Guards, Member, NotKept, Notice, Reason, Verdict, FOUNDERS};
use crate::book::{Book, Loans};
use crate::file::{BadFile, Kept};
use crate::help::Help;
use crate::lanes::Lane;
use crate::rules::{Milli, Rules};
use crate::said::{
    self, decode, digest, encode, mark, number, Given, Head, Id, Pulse, Row, Vote, KEY_BYTES, WHOLE,
};

/// Stands with a row: each takes two facts of the 64 of a source.
pub const STANDS: usize = 20;
/// Lanes that a proxy gives to for one stand.
pub const RECEIVERS: usize = 24;
pub const VOTES: usize = 1024;
/// Bytes of a row's fact that gifts leave to its other numbers, which grow as well.
const ROW_ROOM: usize = 32;
/// Votes and claims said at a time.
const VOTES_SAID: usize = 16;
const CLAIMS: usize = 4;
const LANES: usize = 1024;
/// Lanes of one name: each start without memory begins another. No member's word takes the room of the others' lanes.
const LIVES: usize = 16;
/// Rows of lanes, of which any number is kept.
pub(crate) const ROWS: usize = LANES * STANDS;

/// Another proxy, as of its last word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    pub life: u64,
    pub memory: u64,
    pub lane: u64,
    /// Its pulse counts until then.
    pub until: Duration,
    pub fresh: bool,
    /// When the last of the own beats that it echoed was said.
    pub echoed: Option<Duration>,
    pub seen: BTreeMap<(Id, u32), Given>,
    pub votes: BTreeMap<Id, Vote>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Stand {
    loans: Loans,
    /// Asked since the last step.
    asked: Milli,
    part: Milli,
    /// The part of the quota that was last said to be here.
    quota: Option<Milli>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Core {
    name: String,
    pub(crate) me: u32,
    life: u64,
    stored: bool,
    step: Duration,
    pub(crate) lease: Duration,
    /// Without a new beat so long: what that lane lent is over.
    pub(crate) hold: Duration,
    pub(crate) guards: Guards,
    /// The time of the start of this process.
    pub(crate) began: Duration,
    pub(crate) kept: Kept,
    /// What the file has.
    pub(crate) saved: Kept,
    pub(crate) dirty: bool,
    sequence: u64,
    saving: Option<(u64, Kept)>,
    token: u64,
    lend: bool,
    short: bool,
    roster: BTreeSet<u32>,
    pub(crate) up: BTreeSet<u32>,
    pub(crate) peers: BTreeMap<u32, Peer>,
    pub(crate) lanes: BTreeMap<Id, Lane>,
    /// Own beats of the last lease, and when they were said.
    pub(crate) beats: VecDeque<(u32, Duration)>,
    lease_until: Duration,
    rules: Rules,
    closed: BTreeSet<u32>,
    stands: BTreeMap<u32, Stand>,
    /// Claims heard lately: whose lane, until when votes on it are said.
    claims: BTreeMap<Id, Duration>,
    bad: Option<BadFile>,
    help: Help,
    malformed: u64,
    /// Facts whose lane or proxy there is no room for; why this one; what of that was said.
    not_kept: u64,
    unkept: Option<NotKept>,
    not_kept_said: BTreeSet<NotKept>,
}

impl Core {
    /// `file`: what the host read, none if there is none. The first event is `Timer(0)`.
    pub fn new(config: &Config, now: Duration, file: Option<&[u8]>) -> Self {
        let read = file.map(|bytes| Kept::read(&config.name, bytes));
        let bad = read.as_ref().and_then(|read| read.as_ref().err().copied());
        let known = read.and_then(Result::ok);
        let fresh = Kept { memory: config.start, lane: config.start, ..Kept::default() };
        let kept = known.unwrap_or(fresh);
        let loans = |row: &Row| Loans::from_file(now, row.lent, row.repaid, row.written_off);
        let stand = |row: &Row| Stand { loans: loans(row), ..Stand::default() };
        let lasting = config.longest + config.lease;
        Self {
            name: config.name.clone(),
            me: number(&config.name),
            life: config.start,
            stored: config.stored,
            step: config.step,
            lease: config.lease,
            // Clocks may run a tenth apart; the rest is for facts on their way.
            hold: lasting + lasting / 10 + config.lease * 3,
            guards: config.guards,
            began: now,
            stands: kept.rows.iter().map(|(key, row)| (*key, stand(row))).collect(),
            saved: kept.clone(),
            kept,
            dirty: false,
            sequence: 0,
            saving: None,
            token: 0,
            lend: false,
            short: false,
            roster: BTreeSet::new(),
            up: BTreeSet::new(),
            peers: BTreeMap::new(),
            lanes: BTreeMap::new(),
            beats: VecDeque::new(),
            lease_until: Duration::ZERO,
            rules: Rules::default(),
            closed: BTreeSet::new(),
            claims: BTreeMap::new(),
            bad,
            help: Help::default(),
            malformed: 0,
            not_kept: 0,
            unkept: None,
            not_kept_said: BTreeSet::new(),
        }
    }

    /// How long after the last new beat of a lane it may be taken over.
    pub fn hold(&self) -> Duration {
        self.hold
    }

    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::View { lend, roster, members } => self.view(lend, roster, members, actions),
            Event::Fact { source, start, kind, key, body, age } => {
                let source = number(source);
                if source != self.me && self.fact(now, source, start, kind, key, body, age).is_none() {
                    self.malformed = self.malformed.saturating_add(1);
                }
                if let Some(why) = self.unkept.take() {
                    self.not_kept = self.not_kept.saturating_add(1);
                    if self.not_kept_said.insert(why) {
                        actions.push(Action::Notice(Notice::NotKept(why, source)));
                    }
                }
                self.refresh(now);
            }
            Event::Rules(rules) => {
                self.rules = rules;
                self.refresh(now);
            }
            Event::Short(short) => self.short = short,
            Event::Open { stand, open: true } => drop(self.closed.remove(&number(stand))),
            Event::Open { stand, open: false } => drop(self.closed.insert(number(stand))),
            Event::Saved(sequence) => {
                if let Some((_, kept)) = self.saving.take_if(|(saving, _)| *saving == sequence) {
                    self.saved = kept;
                    self.tell_kept(now, actions);
                }
            }
            Event::Timer(token) if token == self.token => self.tick(now, actions),
            Event::Timer(_) => {}
        }
        self.save(now, actions);
    }

    fn view(&mut self, lend: bool, roster: &[String], members: &[Member], actions: &mut Vec<Action>) {
        self.lend = lend;
        let numbers: BTreeSet<u32> = roster.iter().map(|name| number(name)).collect();
        if numbers.len() < roster.len() {
            actions.push(Action::Notice(Notice::Alike));
            self.lend = false;
            return;
        }
        if numbers != self.roster && numbers.len() > FOUNDERS && self.kept.founders.is_empty() {
            actions.push(Action::Notice(Notice::TooMany(numbers.len())));
        }
        self.roster = numbers;
        self.up = members.iter().filter(|member| member.up).map(|member| number(&member.name)).collect();
        self.up.insert(self.me);
    }

    /// None: not of this version, not whole, or nothing that a proxy says.
    #[allow(clippy::too_many_arguments)] // The parts of one fact.
    fn fact(
        &mut self,
        now: Duration,
        source: u32,
        start: u64,
        kind: u8,
        key: &[u8],
        body: &[u8],
        age: Duration,
    ) -> Option<()> {
        if key.len() > KEY_BYTES {
            return None;
        }
        let founder = |id: &Id| id.name == source;
        // Before the first view nobody is known.
        if !self.roster.is_empty()
            && !self.roster.contains(&source)
            && !self.kept.founders.iter().any(founder)
        {
            self.unkept = Some(NotKept::Stranger);
            return Some(());
        }
        let stand = || Some(u32::from_le_bytes(key.try_into().ok()?));
        match kind {
            said::PULSE => {
                let pulse: Pulse = decode(body)?;
                if pulse.head.life == start {
                    self.pulse(now, source, pulse, age);
                }
            }
            said::FOUNDED => self.founded(decode(body)?),
            said::ROW => {
                let (said, stand): (said::SaidRow, u32) = (decode(body)?, stand()?);
                if self.same(&said.head) {
                    let lane = Id { name: source, from: said.head.lane };
                    return self.row(now, lane, stand, said.row, age);
                }
            }
            said::WITNESS => {
                let (said, stand): (said::Witness, u32) = (decode(body)?, stand()?);
                if self.same(&said.head) {
                    self.witness(source, said, stand);
                }
            }
            said::CLAIM => {
                let said: said::Claim = decode(body)?;
                if self.same(&said.head) {
                    if self.claims.len() < LANES {
                        self.claims.insert(said.lane, now + self.hold);
                    }
                    self.vote(now, said.lane, Id { name: source, from: said.head.lane });
                }
            }
            said::VOTE => {
                let said: said::SaidVote = decode(body)?;
                if self.same(&said.head) {
                    self.voted(source, said);
                }
            }
            said::ASKS => {
                let asks: said::Asks = decode(body)?;
                if self.same(&asks.head) {
                    self.help.heard(source, asks, now + self.lease.saturating_sub(age));
                }
            }
            said::PAID => {
                let paid: said::Paid = decode(body)?;
                if self.same(&paid.head) {
                    self.paid(source, start, paid);
                }
            }
            _ => {}
        }
        Some(())
    }

    /// Others have withheld for what was lent here.
    fn paid(&mut self, source: u32, life: u64, paid: said::Paid) {
        for (stand, amount) in self.help.got(self.me, source, life, paid) {
            if let Some(known) = self.stands.get_mut(&stand) {
                self.dirty |= known.loans.repay(amount) > 0 && known.loans.owed() == 0;
            }
        }
    }

    fn witness(&mut self, source: u32, said: said::Witness, stand: u32) {
        let founders = said.founders.into_iter();
        let named =
            founders.filter_map(|(at, given)| Some((*self.kept.founders.get(usize::from(at))?, given)));
        let all: Vec<(Id, Given)> = named.chain(said.others).collect();
        let Some(peer) = self.heard(source, &said.head) else { return };
        for (lane, given) in all {
            // What is not kept of its word is one witness less: a gift may not count then, never count twice.
            if peer.seen.len() < ROWS || peer.seen.contains_key(&(lane, stand)) {
                let seen = peer.seen.entry((lane, stand)).or_default();
                *seen = (*seen).max(given);
            }
        }
        self.firm();
    }

    fn voted(&mut self, source: u32, said: said::SaidVote) {
        let once = self.guards.once;
        let Some(peer) = self.heard(source, &said.head) else { return };
        if peer.votes.len() >= VOTES {
            return;
        }
        if once {
            peer.votes.entry(said.lane).or_insert(said.vote);
        } else {
            peer.votes.insert(said.lane, said.vote);
        }
    }

    /// Of the same founders?
    fn same(&self, head: &Head) -> bool {
        head.founders != 0 && head.founders == digest(&self.kept.founders)
    }

    /// The peer, if this is of its last life known; a later one starts anew unless it kept its memory.
    fn heard(&mut self, source: u32, head: &Head) -> Option<&mut Peer> {
        if !self.peers.contains_key(&source) && self.peers.len() >= LANES {
            return None;
        }
        let peer = self.peers.entry(source).or_default();
        if head.life < peer.life {
            return None;
        }
        if head.memory != peer.memory {
            *peer = Peer { memory: head.memory, ..Peer::default() };
        }
        peer.life = head.life;
        peer.lane = head.lane;
        Some(peer)
    }

    fn pulse(&mut self, now: Duration, source: u32, pulse: Pulse, age: Duration) {
        let mine = self.lane();
        let at = self.kept.founders.binary_search(&mine).ok().filter(|_| self.same(&pulse.head));
        let own = |(founder, _): &&(u8, u32)| at == Some(usize::from(*founder));
        let echo = pulse.founders.iter().find(own).map(|(_, mark)| *mark);
        let echo = echo.or(pulse.others.iter().find(|(id, _)| *id == mine).map(|(_, mark)| *mark));
        let life = self.life;
        let said = echo.and_then(|echo| self.beats.iter().rfind(|(beat, _)| mark(life, *beat) == echo));
        let said = said.map(|(_, at)| *at);
        let (until, lease) = (now + self.lease.saturating_sub(age), self.lease);
        let Some(peer) = self.heard(source, &pulse.head) else { return };
        if age < lease {
            peer.until = until;
            peer.fresh = pulse.head.founders == 0 && pulse.ripe;
        }
        peer.echoed = peer.echoed.max(said);
        let lane = Id { name: source, from: pulse.head.lane };
        if self.has_room(now, lane) {
            let known = self.lanes.entry(lane).or_default();
            if (pulse.head.life, pulse.beat) > known.last {
                known.last = (pulse.head.life, pulse.beat);
                known.heard = now;
            }
        }
        if self.kept.votes.contains_key(&lane) {
            // It lives and does not know yet.
            self.claims.insert(lane, now + self.hold);
        }
    }

    fn founded(&mut self, founded: said::Founded) {
        if !self.kept.founders.is_empty() || founded.members.is_empty() || founded.members.len() > FOUNDERS {
            return;
        }
        let id = |(name, more): &(u32, u64)| Id { name: *name, from: founded.least.saturating_add(*more) };
        let founders: Vec<Id> = founded.members.iter().map(id).collect();
        if !founders.is_sorted_by(|a, b| a.name < b.name) || digest(&founders) != founded.head.founders {
            return;
        }
        self.kept.founders = founders;
        if !self.guards.memory {
            let of = self.kept.founders.iter().find(|id| id.name == self.me).map(|id| id.from);
            self.kept.memory = of.unwrap_or(self.kept.memory);
            self.kept.lane = self.kept.memory;
        }
        self.dirty = true;
    }

    /// None: together with what is known, more receivers than any lane gives to. A part of it must not be kept: without the
    /// rest the lane seems to have given less, and whoever takes it over would hold again what others have. So nothing of it
    /// is, as if it had been lost on its way. But this proxy may have witnessed as great a sum of other gifts of that lane, and
    /// for who heard only these that would make them count: so from now on it says that the lane's row is untrue.
    fn row(&mut self, now: Duration, lane: Id, stand: u32, row: Row, age: Duration) -> Option<()> {
        if !self.has_room(now, lane) {
            return Some(());
        }
        let until = now + self.row_lasts().saturating_sub(age);
        let frozen = self.kept.votes.contains_key(&lane) && self.guards.frozen;
        let known = self.lanes.entry(lane).or_default();
        if !known.rows.contains_key(&stand) && known.rows.len() >= STANDS {
            return Some(());
        }
        let (mine, held) = known.rows.entry(stand).or_default();
        let kept = mine.receivers_with(&row) <= RECEIVERS;
        if kept {
            mine.merge(&row);
            *held = (*held).max(until);
        }
        let given = if kept { mine.given() } else { Given::UNTRUE };
        let seen = self.kept.seen.get(&(lane, stand)).copied().unwrap_or_default();
        let room = self.kept.seen.len() < ROWS || self.kept.seen.contains_key(&(lane, stand));
        if given > seen && !frozen && room {
            self.kept.seen.insert((lane, stand), given);
            self.dirty = true;
        }
        if !self.kept.rows.contains_key(&stand) && self.rules.by.contains_key(&stand) {
            // So that all know the line that this proxy's rules say.
            self.open_row(now, stand);
        }
        self.firm();
        kept.then_some(())
    }

    /// Whether there is room for what is said of a lane. Of one name the lane that was heard the longest ago makes room, if all
    /// that it lent is over and it holds nothing: as if its rows had been lost on their way.
    fn has_room(&mut self, now: Duration, lane: Id) -> bool {
        if self.lanes.contains_key(&lane) {
            return true;
        }
        let of_name = Id { name: lane.name, from: 0 }..=Id { name: lane.name, from: u64::MAX };
        let lives: Vec<(Duration, Id)> =
            self.lanes.range(of_name).map(|(id, known)| (known.heard, *id)).collect();
        if lives.len() >= LIVES {
            let idle = |id: Id| self.silent(now, id) && !self.worth(id);
            let Some((_, oldest)) = lives.into_iter().filter(|(_, id)| idle(*id)).min() else {
                self.unkept = Some(NotKept::Lives);
                return false;
            };
            self.lanes.remove(&oldest);
        }
        if self.lanes.len() >= LANES {
            self.unkept = Some(NotKept::Full);
            return false;
        }
        true
    }

    fn row_lasts(&self) -> Duration {
        self.lease * 4
    }

    fn open_row(&mut self, now: Duration, stand: u32) -> bool {
        if self.kept.founders.is_empty() || self.kept.rows.len() >= STANDS {
            return self.kept.rows.contains_key(&stand);
        }
        self.kept.rows.entry(stand).or_default();
        self.stands.entry(stand).or_default();
        self.reserve(stand);
        self.part(now, stand);
        self.dirty = true;
        true
    }

    /// The smallest line said lately, times the own share.
    fn part(&mut self, now: Duration, stand: u32) {
        let own = self.rules.by.get(&stand).map_or(0, |(_, rule)| rule.line());
        let rows = self.lanes.values().filter_map(|lane| lane.rows.get(&stand));
        let said = rows.filter(|(row, until)| *until > now && row.line > 0).map(|(row, _)| row.line).min();
        let line = said.map_or(own, |said| said.min(own));
        let part = (u128::from(line) * u128::from(self.share(stand)) / u128::from(WHOLE)) as Milli;
        if let Some(row) = self.kept.rows.get_mut(&stand) {
            row.line = own;
        }
        if let Some(known) = self.stands.get_mut(&stand) {
            known.part = part;
        }
    }

    fn refresh(&mut self, now: Duration) {
        self.lease_until = self.lease_until();
        let stands: Vec<u32> = self.stands.keys().copied().collect();
        for stand in stands {
            self.part(now, stand);
        }
    }

    /// Chunks of an eighth of the part, at least two requests: the file has them before they are lent.
    fn reserve(&mut self, stand: u32) {
        let Some(known) = self.stands.get(&stand) else { return };
        let chunk = if self.guards.reserve { (known.part / 8).max(2000) } else { 0 };
        let Some(row) = self.kept.rows.get_mut(&stand) else { return };
        if row.lent < known.loans.lent + chunk / 2 && self.guards.reserve {
            row.lent = known.loans.lent + chunk;
            self.dirty = true;
        }
    }

    /// A request of that cost (a thousandth of a request each) beyond the quota of a stand: is it lent?
    pub fn ask(
        &mut self,
        now: Duration,
        stand: &str,
        class: &str,
        cost: Milli,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let verdict = self.decide(now, number(stand), stand, class, cost);
        self.save(now, actions);
        match verdict {
            Ok(()) => Verdict::Borrowed,
            Err(reason) => Verdict::No(reason),
        }
    }

    fn decide(
        &mut self,
        now: Duration,
        key: u32,
        name: &str,
        class: &str,
        cost: Milli,
    ) -> Result<(), Reason> {
        let rule = match self.rules.by.get(&key) {
            Some((named, rule)) if named == name => rule.clone(),
            _ => return Err(Reason::NoRule),
        };
        if !rule.classes.iter().any(|named| named == class) {
            return Err(Reason::Class);
        }
        if self.kept.founders.is_empty() {
            return Err(Reason::Alone);
        }
        if !self.stands.contains_key(&key) && !self.open_row(now, key) {
            return Err(Reason::Crowded);
        }
        let reserved =
            if self.stored { self.saved.rows.get(&key).map_or(0, |row| row.lent) } else { Milli::MAX };
        let guards = self.guards;
        let share = (self.share(key) << 10) / WHOLE;
        let rate = (rule.rate_most.saturating_mul(share) >> 10).max(cost);
        let Some(known) = self.stands.get_mut(&key) else { return Err(Reason::Crowded) };
        known.asked = known.asked.saturating_add(cost);
        let known_owed = known.loans.owed();
        let checks = [
            (self.closed.contains(&key), Reason::Closed),
            (self.short, Reason::Short),
            (!self.lend, Reason::View),
            (now >= self.lease_until, Reason::Alone),
            (known.loans.in_default(now, rule.term), Reason::Default),
            (guards.part && known_owed.saturating_add(cost) > known.part, Reason::Line),
            (guards.reserve && known.loans.lent.saturating_add(cost) > reserved, Reason::Unsaved),
        ];
        if let Some((_, reason)) = checks.into_iter().find(|(no, _)| *no) {
            if reason == Reason::Unsaved {
                self.reserve(key);
            }
            return Err(reason);
        }
        if !known.loans.rate(now, cost, rate) {
            return Err(Reason::Rate);
        }
        known.loans.lend(now, cost, rule.term);
        self.reserve(key);
        Ok(())
    }

    /// The thousandths of its quota here (`quota` a second) that a stand does without now, of which it uses `used` thousandths.
    /// What was lent here comes first; what others ask for is withheld besides.
    pub fn withhold(&mut self, now: Duration, stand: &str, quota: Milli, used: u32) -> u32 {
        let key = number(stand);
        let Some((_, rule)) = self.rules.by.get(&key) else { return 0 };
        let help = self.help.share(now, key, rule);
        let Some(known) = self.stands.get_mut(&key) else { return help };
        known.quota = Some(quota);
        known.loans.withhold(now, rule, quota, used, self.short).max(help)
    }

    /// So much of a stand's quota was withheld: returns what of it was owed here. The rest is for others that ask.
    pub fn repay(&mut self, now: Duration, stand: &str, amount: Milli) -> Milli {
        let key = number(stand);
        let paid = self.give_back(stand, amount);
        self.help.pay(now, key, amount - paid);
        paid
    }

    /// Of what was lent, so much was not used after all.
    pub fn give_back(&mut self, stand: &str, amount: Milli) -> Milli {
        let Some(known) = self.stands.get_mut(&number(stand)) else { return 0 };
        let paid = known.loans.repay(amount);
        self.dirty |= paid > 0 && known.loans.owed() == 0;
        paid
    }

    /// Asks for what can't be repaid here, and says what was done for others.
    fn help(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let means = |(key, known): (&u32, &Stand)| {
            let (_, rule) = self.rules.by.get(key)?;
            Some((*key, known.loans.beyond_means(now, rule, known.quota?))).filter(|(_, amount)| *amount > 0)
        };
        let stands: Vec<(u32, Milli)> = self.stands.iter().filter_map(means).collect();
        let (head, lasts) = (self.head(), self.lease);
        if !stands.is_empty() {
            self.tell(said::ASKS, vec![], encode(&said::Asks { head, stands }), lasts, actions);
        }
        let lanes = self.help.says(now);
        if !lanes.is_empty() {
            self.tell(said::PAID, vec![], encode(&said::Paid { head, lanes }), self.row_lasts(), actions);
        }
    }

    pub fn book(&self, now: Duration, stand: &str) -> Option<Book> {
        let key = number(stand);
        let known = self.stands.get(&key)?;
        let term = self.rules.by.get(&key).map_or(Duration::MAX, |(_, rule)| rule.term);
        Some(Book {
            lent: known.loans.lent,
            repaid: known.loans.repaid,
            written_off: known.loans.written_off,
            owed: known.loans.owed(),
            part: known.part,
            took: self.kept.rows.get(&key).map_or(0, |row| row.took),
            in_default: known.loans.in_default(now, term),
            lends_until: self.lease_until,
        })
    }

    /// The line of each stand that may borrow, by this proxy's rules.
    pub fn lines(&self) -> impl Iterator<Item = (&str, Milli)> + '_ {
        self.rules.by.values().map(|(stand, rule)| (stand.as_str(), rule.line()))
    }

    /// The part of all of a stand's line that this lane holds, of [`WHOLE`], and the start that names the lane.
    pub fn held(&self, stand: &str) -> (u64, u64) {
        (self.share(number(stand)), self.kept.lane)
    }

    /// The start that names this proxy's lane: another one when others have taken the former.
    pub fn lane_from(&self) -> u64 {
        self.kept.lane
    }

    /// Lanes of others taken over: number of the name and start.
    pub fn taken(&self) -> impl Iterator<Item = Id> + '_ {
        self.kept.taken.keys().copied()
    }

    /// Facts that could not be read, or that no proxy of this version says.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Facts of proxies and lanes that there is no room for.
    pub fn not_kept(&self) -> u64 {
        self.not_kept
    }

    pub fn is_founded(&self) -> bool {
        !self.kept.founders.is_empty()
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.token == 0 {
            if let Some(bad) = self.bad {
                actions.push(Action::Notice(Notice::BadFile(bad)));
            }
            self.dirty = true;
        }
        self.token += 1;
        actions.push(Action::Timer { after: self.step, token: self.token });
        self.found(now, actions);
        self.write_off(now, actions);
        if self.lost() {
            self.lose(actions);
        }
        self.beat(now, actions);
        self.claim(now, actions);
        self.refresh(now);
        self.give(now);
        for stand in self.kept.rows.keys().copied().collect::<Vec<_>>() {
            self.reserve(stand);
        }
        self.claims.retain(|_, until| *until > now);
        self.help(now, actions);
        self.tell_kept(now, actions);
    }

    /// All of the roster are without memory, and what former lives lent is over.
    fn found(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.kept.founders.is_empty() || !self.ripe(now) || self.roster.len() > FOUNDERS {
            return;
        }
        let others = self.roster.iter().filter(|name| **name != self.me);
        let peer = |name: &u32| {
            let peer = self.peers.get(name).filter(|peer| peer.fresh && peer.until > now)?;
            Some(Id { name: *name, from: peer.memory })
        };
        let Some(mut founders) = others.map(peer).collect::<Option<Vec<Id>>>() else { return };
        if founders.is_empty() || !self.roster.contains(&self.me) {
            return;
        }
        founders.push(Id { name: self.me, from: self.kept.memory });
        founders.sort_unstable();
        actions.push(Action::Notice(Notice::Founded(founders.len())));
        self.kept.founders = founders;
        self.dirty = true;
    }

    fn ripe(&self, now: Duration) -> bool {
        now.saturating_sub(self.began) >= self.hold
    }

    fn write_off(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for (key, known) in &mut self.stands {
            let Some((name, rule)) = self.rules.by.get(key) else { continue };
            let amount = known.loans.write_off(now, rule.term + rule.write_off);
            if amount > 0 {
                actions.push(Action::Notice(Notice::WrittenOff { stand: name.clone(), amount }));
                self.dirty = true;
            }
        }
    }

    /// Others have the lane, with all that it held: begin with nothing, and owe nothing.
    fn lose(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::Notice(Notice::LaneLost));
        self.kept.lane = self.life.max(self.kept.lane + 1);
        self.kept.rows.clear();
        self.kept.taken.clear();
        self.stands.clear();
        self.dirty = true;
    }

    fn head(&self) -> Head {
        let kept = &self.saved;
        Head { founders: digest(&kept.founders), memory: kept.memory, lane: kept.lane, life: self.life }
    }

    fn beat(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let beat = self.beats.back().map_or(1, |(beat, _)| beat + 1);
        self.beats.push_back((beat, now));
        while self.beats.len() > 1 && self.beats[0].1 + self.lease <= now {
            self.beats.pop_front();
        }
        let (mut founders, mut others) = (Vec::new(), Vec::new());
        for (lane, known) in &self.lanes {
            let voted = self.kept.votes.contains_key(lane) && self.guards.frozen;
            if voted || known.last.1 == 0 || now.saturating_sub(known.heard) > self.lease {
                continue;
            }
            let echo = mark(known.last.0, known.last.1);
            match self.saved.founders.binary_search(lane) {
                Ok(at) => founders.push((at as u8, echo)),
                Err(_) => others.push((*lane, echo)),
            }
        }
        others.truncate(8);
        let pulse = Pulse { head: self.head(), ripe: self.ripe(now), beat, founders, others };
        self.tell(said::PULSE, vec![], encode(&pulse), self.lease, actions);
    }

    fn claim(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.lend && self.is_founded() {
            for lane in self.claimable(now).into_iter().take(CLAIMS) {
                let to = self.lane();
                self.vote(now, lane, to);
                let body = encode(&said::Claim { head: self.head(), lane });
                self.tell(said::CLAIM, key(lane), body, self.row_lasts(), actions);
                if self.count(lane) {
                    actions.push(Action::Notice(Notice::Took(lane.name)));
                }
            }
        }
        for stand in self.kept.rows.keys().copied().collect::<Vec<_>>() {
            let took = self.took(stand);
            if let Some(row) = self.kept.rows.get_mut(&stand).filter(|row| row.took < took) {
                row.took = took;
                self.dirty = true;
            }
        }
    }

    /// Half of what is held beyond the part of the traffic, and not used, to who lacks most.
    fn give(&mut self, now: Duration) {
        let living = |(name, peer): (&u32, &Peer)| {
            (peer.until > now && self.up.contains(name)).then_some(Id { name: *name, from: peer.lane })
        };
        let lanes: Vec<Id> = self.peers.iter().filter_map(living).collect();
        let mut gifts = Vec::new();
        for (stand, known) in &mut self.stands {
            let Some(row) = self.kept.rows.get_mut(stand) else { continue };
            row.demand = (row.demand - row.demand / 8).saturating_add(known.asked);
            known.asked = 0;
        }
        for (stand, known) in &self.stands {
            let Some(row) = self.kept.rows.get(stand) else { continue };
            if !self.lend || now >= self.lease_until || lanes.is_empty() || row.line == 0 {
                continue;
            }
            let demand = |lane: &Id| {
                let row = self.lanes.get(lane).and_then(|lane| lane.rows.get(stand));
                u128::from(row.map_or(0, |(row, _)| row.demand))
            };
            let floor = u128::from(row.line) / 64 / (lanes.len() as u128 + 1) + 1;
            let all: u128 =
                lanes.iter().map(|lane| demand(lane) + floor).sum::<u128>() + u128::from(row.demand) + floor;
            let share = self.share(*stand);
            let held: u128 = lanes.iter().map(|lane| u128::from(self.guess(*lane, *stand))).sum::<u128>()
                + u128::from(share);
            let fair = |demand: u128| (held * (demand + floor) / all) as u64;
            let used = u128::from(known.loans.owed()) * u128::from(share) / u128::from(known.part.max(1)) + 1;
            let spare = share.saturating_sub(fair(u128::from(row.demand)).max(used.min(1 << 62) as u64));
            let lacks = |lane: &Id| (fair(demand(lane)).saturating_sub(self.guess(*lane, *stand)), *lane);
            let full = row.gave.len() >= RECEIVERS;
            let able = lanes.iter().filter(|lane| !full || row.gave.contains_key(lane));
            let Some((lack, to)) = able.map(lacks).max() else { continue };
            let gift = spare.min(lack) / 2;
            // What is not a hundredth of an even part is not worth a word.
            if gift > WHOLE / 100 / (lanes.len() as u64 + 1) && self.may_give(row, to, gift) {
                gifts.push((*stand, to, gift));
            }
        }
        for (stand, to, gift) in gifts {
            if let Some(row) = self.kept.rows.get_mut(&stand) {
                *row.gave.entry(to).or_default() += gift;
                self.dirty = true;
            }
            self.part(now, stand);
        }
    }

    /// With this gift the row still fits into a fact, and its sum says nothing else.
    fn may_give(&self, row: &Row, to: Id, gift: u64) -> bool {
        let mut row = row.clone();
        let gave = row.gave.entry(to).or_default();
        *gave = gave.saturating_add(gift);
        let said = row.given() < Given::UNTRUE;
        let body = encode(&said::SaidRow { head: self.head(), row });
        said && body.is_some_and(|body| body.len() + ROW_ROOM <= said::BODY_BYTES)
    }

    /// Asks for a file when something is to be kept; without one it is kept as it is.
    fn save(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.dirty || self.saving.is_some() {
            return;
        }
        self.dirty = false;
        for (key, known) in &self.stands {
            if let Some(row) = self.kept.rows.get_mut(key) {
                row.lent = row.lent.max(known.loans.lent);
                row.repaid = known.loans.repaid;
                row.written_off = known.loans.written_off;
            }
        }
        if !self.stored {
            self.saved = self.kept.clone();
            self.tell_kept(now, actions);
            return;
        }
        self.sequence += 1;
        if let Some(bytes) = self.kept.write(&self.name) {
            self.saving = Some((self.sequence, self.kept.clone()));
            actions.push(Action::Save { sequence: self.sequence, bytes });
        }
    }

    /// Says what the file has: nothing that is said can be forgotten.
    fn tell_kept(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let head = self.head();
        if self.saved.founders.is_empty()
            || (self.saved.lane, self.saved.memory) != (self.kept.lane, self.kept.memory)
        {
            return;
        }
        let lasts = self.row_lasts();
        let least = self.saved.founders.iter().map(|id| id.from).min().unwrap_or(0);
        let members = self.saved.founders.iter().map(|id| (id.name, id.from - least)).collect();
        let founded = encode(&said::Founded { head, least, members });
        self.tell(said::FOUNDED, vec![], founded, lasts, actions);
        for (stand, row) in &self.saved.rows {
            let mut row = row.clone();
            if let Some(now) = self.kept.rows.get(stand) {
                (row.line, row.demand) = (now.line, now.demand);
            }
            let said = encode(&said::SaidRow { head, row });
            self.tell(said::ROW, stand.to_le_bytes().to_vec(), said, lasts, actions);
        }
        let stands: BTreeSet<u32> = self.saved.seen.keys().map(|(_, stand)| *stand).collect();
        for stand in stands.into_iter().take(STANDS) {
            let (mut founders, mut others) = (Vec::new(), Vec::new());
            for ((lane, _), given) in self.saved.seen.iter().filter(|((_, of), _)| *of == stand) {
                match self.saved.founders.binary_search(lane) {
                    Ok(at) => founders.push((at as u8, *given)),
                    Err(_) => others.push((*lane, *given)),
                }
            }
            others.truncate(4);
            let said = encode(&said::Witness { head, founders, others });
            self.tell(said::WITNESS, stand.to_le_bytes().to_vec(), said, lasts, actions);
        }
        let asked = self.claims.iter().filter(|(_, until)| **until > now);
        let votes = asked.filter_map(|(lane, _)| Some((*lane, self.saved.votes.get(lane)?)));
        for (lane, vote) in votes.take(VOTES_SAID) {
            let said = encode(&said::SaidVote { head, lane, vote: vote.clone() });
            self.tell(said::VOTE, key(lane), said, lasts, actions);
        }
    }

    fn tell(
        &self,
        kind: u8,
        key: Vec<u8>,
        body: Option<Vec<u8>>,
        lasts: Duration,
        actions: &mut Vec<Action>,
    ) {
        actions.push(match body {
            Some(body) => Action::Tell { kind, key, body, lasts },
            None => Action::Notice(Notice::Unsaid(kind)),
        });
    }
}

fn key(lane: Id) -> Vec<u8> {
    let mut key = lane.name.to_le_bytes().to_vec();
    key.extend(lane.from.to_le_bytes());
    key
}
