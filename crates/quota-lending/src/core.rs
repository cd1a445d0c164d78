//! The core: events in, actions out. What is heard, lent and said stands in modules of its own.

mod heard;
mod lend;
mod say;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::api::{
    Action, Config, Event, Guards, Member, NotKept, Notice, Reason, Verdict, FOUNDERS,
};
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
    /// The demand that is said to others.
    demand: Milli,
}

/// What was said last of a kind and key, when it first was, and when last.
type Said = (Vec<u8>, Duration, Duration);

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
    said: BTreeMap<(u8, Vec<u8>), Said>,
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
        let fresh = Kept {
            memory: config.start,
            lane: config.start,
            ..Kept::default()
        };
        let kept = known.unwrap_or(fresh);
        let loans = |row: &Row| Loans::from_file(now, row.lent, row.repaid, row.written_off);
        let stand = |row: &Row| Stand {
            loans: loans(row),
            ..Stand::default()
        };
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
            stands: kept
                .rows
                .iter()
                .map(|(key, row)| (*key, stand(row)))
                .collect(),
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
            said: BTreeMap::new(),
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
            Event::View {
                lend,
                roster,
                members,
            } => self.view(lend, roster, members, actions),
            Event::Fact {
                source,
                start,
                kind,
                key,
                body,
                age,
            } => {
                let source = number(source);
                if source != self.me
                    && self
                        .fact(now, source, start, kind, key, body, age)
                        .is_none()
                {
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

    fn view(
        &mut self,
        lend: bool,
        roster: &[String],
        members: &[Member],
        actions: &mut Vec<Action>,
    ) {
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
        self.up = members
            .iter()
            .filter(|member| member.up)
            .map(|member| number(&member.name))
            .collect();
        self.up.insert(self.me);
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
        let said = rows
            .filter(|(row, until)| *until > now && row.line > 0)
            .map(|(row, _)| row.line)
            .min();
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
        let Some(known) = self.stands.get(&stand) else {
            return;
        };
        let chunk = if self.guards.reserve {
            (known.part / 8).max(2000)
        } else {
            0
        };
        let Some(row) = self.kept.rows.get_mut(&stand) else {
            return;
        };
        if row.lent < known.loans.lent + chunk / 2 && self.guards.reserve {
            row.lent = known.loans.lent + chunk;
            self.dirty = true;
        }
    }

    /// Asks for what can't be repaid here, and says what was done for others.
    fn help(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let means = |(key, known): (&u32, &Stand)| {
            let (_, rule) = self.rules.by.get(key)?;
            Some((*key, known.loans.beyond_means(now, rule, known.quota?)))
                .filter(|(_, amount)| *amount > 0)
        };
        let stands: Vec<(u32, Milli)> = self.stands.iter().filter_map(means).collect();
        let (head, lasts) = (self.head(), self.lease);
        if !stands.is_empty() {
            self.tell(
                said::ASKS,
                vec![],
                encode(&said::Asks { head, stands }),
                lasts,
                actions,
            );
        }
        let lanes = self.help.says(now);
        if !lanes.is_empty() {
            self.tell(
                said::PAID,
                vec![],
                encode(&said::Paid { head, lanes }),
                self.row_lasts(),
                actions,
            );
        }
    }

    pub fn book(&self, now: Duration, stand: &str) -> Option<Book> {
        let key = number(stand);
        let known = self.stands.get(&key)?;
        let term = self
            .rules
            .by
            .get(&key)
            .map_or(Duration::MAX, |(_, rule)| rule.term);
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
        self.rules
            .by
            .values()
            .map(|(stand, rule)| (stand.as_str(), rule.line()))
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
        actions.push(Action::Timer {
            after: self.step,
            token: self.token,
        });
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
        let lasts = self.row_lasts();
        self.said.retain(|_, (_, _, last)| now < *last + lasts);
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
            let peer = self
                .peers
                .get(name)
                .filter(|peer| peer.fresh && peer.until > now)?;
            Some(Id {
                name: *name,
                from: peer.memory,
            })
        };
        let Some(mut founders) = others.map(peer).collect::<Option<Vec<Id>>>() else {
            return;
        };
        if founders.is_empty() || !self.roster.contains(&self.me) {
            return;
        }
        founders.push(Id {
            name: self.me,
            from: self.kept.memory,
        });
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
            let Some((name, rule)) = self.rules.by.get(key) else {
                continue;
            };
            let amount = known.loans.write_off(now, rule.term + rule.write_off);
            if amount > 0 {
                actions.push(Action::Notice(Notice::WrittenOff {
                    stand: name.clone(),
                    amount,
                }));
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

    fn claim(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.lend && self.is_founded() {
            for lane in self.claimable(now).into_iter().take(CLAIMS) {
                let to = self.lane();
                self.vote(now, lane, to);
                let body = encode(&said::Claim {
                    head: self.head(),
                    lane,
                });
                self.tell(said::CLAIM, say::key(lane), body, self.row_lasts(), actions);
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
            (peer.until > now && self.up.contains(name)).then_some(Id {
                name: *name,
                from: peer.lane,
            })
        };
        let lanes: Vec<Id> = self.peers.iter().filter_map(living).collect();
        let mut gifts = Vec::new();
        for (stand, known) in &mut self.stands {
            let Some(row) = self.kept.rows.get_mut(stand) else {
                continue;
            };
            row.demand = (row.demand - row.demand / 8).saturating_add(known.asked);
            known.asked = 0;
            if row.demand.abs_diff(known.demand) > known.demand / 4 {
                known.demand = row.demand;
            }
        }
        for (stand, known) in &self.stands {
            let Some(row) = self.kept.rows.get(stand) else {
                continue;
            };
            if !self.lend || now >= self.lease_until || lanes.is_empty() || row.line == 0 {
                continue;
            }
            let demand = |lane: &Id| {
                let row = self.lanes.get(lane).and_then(|lane| lane.rows.get(stand));
                u128::from(row.map_or(0, |(row, _)| row.demand))
            };
            let floor = u128::from(row.line) / 64 / (lanes.len() as u128 + 1) + 1;
            let all: u128 = lanes.iter().map(|lane| demand(lane) + floor).sum::<u128>()
                + u128::from(row.demand)
                + floor;
            let share = self.share(*stand);
            let held: u128 = lanes
                .iter()
                .map(|lane| u128::from(self.guess(*lane, *stand)))
                .sum::<u128>()
                + u128::from(share);
            let fair = |demand: u128| (held * (demand + floor) / all) as u64;
            let used = u128::from(known.loans.owed()) * u128::from(share)
                / u128::from(known.part.max(1))
                + 1;
            let spare =
                share.saturating_sub(fair(u128::from(row.demand)).max(used.min(1 << 62) as u64));
            let lacks = |lane: &Id| {
                (
                    fair(demand(lane)).saturating_sub(self.guess(*lane, *stand)),
                    *lane,
                )
            };
            let full = row.gave.len() >= RECEIVERS;
            let able = lanes
                .iter()
                .filter(|lane| !full || row.gave.contains_key(lane));
            let Some((lack, to)) = able.map(lacks).max() else {
                continue;
            };
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
        let body = encode(&said::SaidRow {
            head: self.head(),
            row,
        });
        said && body.is_some_and(|body| body.len() + ROW_ROOM <= said::BODY_BYTES)
    }
}
