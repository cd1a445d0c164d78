//! A proxy's part in a rollout: facts and what operators say in, what to run and what to tell out.

use crate::evidence::{Evidence, Limits, Verdict};
use crate::machine::{Machine, Peer, Phase, Sight, REGIONS};
use crate::watch::{Said, Sign, Watch};
use crate::words::{
    self, Class, Counts, Halted, Hash, Orderly, Proposal, Ready, Stored, Why, Word, BODY_BYTES,
    CLASSES,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// Kinds of facts, from the first that is this room's own.
const PROPOSAL: u8 = 0;
const WORD: u8 = 1;
const HALTS: u8 = 2;
const COUNTS: u8 = 3;
const ORDERLY: u8 = 4;
/// So many kinds are used.
pub const KINDS: u8 = 5;
/// Halts, and that one goes in order, are told for this long, and again before.
const LONG: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    /// The start of this process.
    pub start: u64,
    /// It took over from a process of its name that had not ended.
    pub heir: bool,
    /// What runs now.
    pub base: Hash,
    pub limits: Limits,
    /// How long one that runs the new version may be unheard, or cut off.
    pub dark: Duration,
    /// How long a word holds.
    pub lasts: Duration,
    /// What an earlier process left in the state directory.
    pub stored: Option<Vec<u8>>,
}

/// What another said, and still holds.
#[derive(Clone, Debug)]
pub struct Told {
    pub source: String,
    pub start: u64,
    /// From 0, below `KINDS`.
    pub kind: u8,
    pub body: Vec<u8>,
}

/// All that is known at a moment, once a window and whenever something new was heard.
#[derive(Clone, Debug, Default)]
pub struct Look {
    pub peers: Vec<Peer>,
    pub promote: BTreeSet<String>,
    pub facts: Vec<Told>,
    /// Worth asked for and lost since the start of the process, by class, each in requests of that class.
    pub counts: Vec<Class>,
    /// The same of all classes together, in requests of the dearest.
    pub total: Class,
}

#[derive(Clone, Debug)]
pub enum Event {
    Look(Look),
    Propose {
        hash: Hash,
        order: Vec<String>,
        canary: u16,
        again: bool,
    },
    Halt,
    Return,
    /// This process was told to end.
    Leave,
    /// What came of the last `Save`: whether the disk has it.
    Kept(bool),
    /// What came of `Check`, or of a `Run` that failed.
    Ready(Hash, Result<(), String>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tell the others: kind, body, how long it holds.
    Say(u8, Vec<u8>, Duration),
    /// Find out whether that version is there and sound.
    Check(Hash),
    /// Run that version, all of it or nothing.
    Run(Hash),
    /// Keep that where a restart finds it, then say `Kept`; none is asked before that.
    Save(Vec<u8>),
    Phase(Phase),
    Refused(Refused),
    /// What an earlier process left can't be read: this one begins without memory, with the base and no rollout, and
    /// hears what there is from the others. What it keeps from now on replaces it.
    Unread,
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    #[error("another rollout (epoch {0}) is under way: halt it or wait for its end")]
    UnderWay(u64),
    #[error("this version was halted in epoch {0}: `resume` proposes it again all the same")]
    Halted(u64),
    #[error("this version runs already")]
    Runs,
    #[error("no rollout is under way")]
    Nothing,
    #[error("the order has to name each region of the roster once: {0:?}")]
    Order(Vec<String>),
    #[error("the order of regions takes {0} bytes, at most {BODY_BYTES} fit: shorten their names")]
    Long(usize),
}

/// For operators.
#[derive(Clone, Debug)]
pub struct Status {
    pub phase: Phase,
    pub proposal: Option<Proposal>,
    pub halted: Option<Halted>,
    pub runs: Hash,
    pub verdict: Verdict,
    pub windows: u64,
    pub harm: f64,
    pub safe: f64,
    /// By member: votes, runs new, why it can't run it.
    pub members: Vec<(String, Word)>,
    pub superseded: u64,
    pub malformed: u64,
    /// What an earlier process left could not be read.
    pub unread: bool,
    /// Members of this rollout that started anew in order, and how often.
    pub planned: Vec<(String, u32)>,
    /// What is to be kept could not be, and this one's word stays as it was until then.
    pub unkept: bool,
}

#[derive(Clone, Debug)]
pub struct Core {
    config: Config,
    machine: Machine,
    evidence: Evidence,
    look: Look,
    /// By the start that said them.
    words: BTreeMap<String, Said>,
    watch: Watch,
    orderly: Option<Orderly>,
    verdict: Verdict,
    /// Version counted for, and where its counts began.
    turn: u32,
    from: (Vec<Class>, Class),
    runs: Hash,
    phase: Phase,
    checked: Option<(u64, Hash, Duration)>,
    judged: Option<(u64, Hash, u8)>,
    /// What the disk has, and is to have next; after a failure, not before that time.
    kept: Vec<u8>,
    keeping: Option<Vec<u8>>,
    keep_again: Option<Duration>,
    /// The last word that rests on what is kept, and since when others are told that this one runs new.
    word: Option<Word>,
    entered: Option<Duration>,
    said: BTreeMap<u8, (Duration, Vec<u8>)>,
    superseded: u64,
    malformed: u64,
    unread: bool,
    /// The host has been told so.
    unread_told: bool,
}

impl Core {
    pub fn new(config: Config, now: Duration) -> Self {
        let mut machine = Machine::new(&config.name, config.base, config.dark);
        let stored: Option<Option<Stored>> = config.stored.as_deref().map(words::decode);
        let unread = matches!(stored, Some(None));
        if let Some(stored) = stored.flatten() {
            machine.restore(stored);
        }
        Self {
            evidence: Evidence::new(config.limits, now),
            runs: config.base,
            machine,
            look: Look::default(),
            words: BTreeMap::new(),
            watch: Watch::new(&config.name, config.dark),
            orderly: config.heir.then_some(Orderly::Heir(config.start)),
            verdict: Verdict::TooLittle,
            turn: 0,
            from: Default::default(),
            phase: Phase::Idle,
            checked: None,
            judged: None,
            kept: config.stored.clone().unwrap_or_default(),
            keeping: None,
            keep_again: None,
            word: None,
            entered: None,
            said: BTreeMap::new(),
            superseded: 0,
            malformed: 0,
            unread,
            unread_told: false,
            config,
        }
    }

    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if self.unread && !std::mem::replace(&mut self.unread_told, true) {
            actions.push(Action::Unread);
        }
        match event {
            Event::Look(look) => {
                self.look = look;
                self.mind_start();
            }
            Event::Propose {
                hash,
                order,
                canary,
                again,
            } => match self.propose(hash, order, canary, again) {
                Ok(()) => {}
                Err(refused) => return actions.push(Action::Refused(refused)),
            },
            Event::Halt | Event::Return => {
                let why = if matches!(event, Event::Halt) {
                    Why::Operator
                } else {
                    Why::Return
                };
                if !self.machine.halt(why) {
                    return actions.push(Action::Refused(Refused::Nothing));
                }
            }
            Event::Kept(done) => {
                let kept = self.keeping.take().filter(|_| done);
                self.keep_again = if done {
                    None
                } else {
                    Some(now + self.config.lasts)
                };
                self.kept = kept.unwrap_or_else(|| std::mem::take(&mut self.kept));
            }
            Event::Leave => self.orderly = Some(Orderly::Left(self.config.start)),
            Event::Ready(hash, result) => {
                let ready = match result {
                    Ok(()) => Ready::Yes,
                    Err(why) => Ready::Cannot(words::reason(&why)),
                };
                self.machine.set_ready(hash, ready);
            }
        }
        self.go_on(now, actions);
    }

    /// The members may go on under a later start of this process, and what it says of its start goes with that.
    fn mind_start(&mut self) {
        let me = self
            .look
            .peers
            .iter()
            .find(|peer| peer.name == self.config.name);
        let Some(start) = me
            .and_then(|me| me.start)
            .filter(|start| *start != self.config.start)
        else {
            return;
        };
        self.config.start = start;
        self.orderly = self.orderly.map(|orderly| match orderly {
            Orderly::Left(_) => Orderly::Left(start),
            Orderly::Heir(_) => Orderly::Heir(start),
        });
    }

    fn propose(
        &mut self,
        hash: Hash,
        order: Vec<String>,
        canary: u16,
        again: bool,
    ) -> Result<(), Refused> {
        if self.machine.under_way() {
            return Err(Refused::UnderWay(self.machine.epoch()));
        }
        if hash == self.runs {
            return Err(Refused::Runs);
        }
        let halted = self.machine.halts().iter().find(|h| h.hash == hash);
        if let Some(halted) = halted.filter(|_| !again) {
            return Err(Refused::Halted(halted.epoch));
        }
        let regions: BTreeSet<&String> = self.look.peers.iter().map(|p| &p.region).collect();
        if order.len() > REGIONS
            || regions.len() != order.len()
            || !order.iter().all(|r| regions.contains(r))
        {
            return Err(Refused::Order(order));
        }
        let epoch = self
            .machine
            .epoch()
            .max(self.words.values().map(|(_, w)| w.epoch).max().unwrap_or(0));
        let epoch = epoch.saturating_add(1);
        let proposal = Proposal {
            epoch,
            hash,
            proposer: self.config.name.clone(),
            order,
            canary,
        };
        let length = words::encode(&proposal).len();
        if length > BODY_BYTES {
            return Err(Refused::Long(length));
        }
        self.machine.adopt(&proposal);
        Ok(())
    }

    fn go_on(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let (mut proposals, mut halts, mut said) = (Vec::new(), Vec::new(), Vec::new());
        let mut orderly = BTreeMap::new();
        self.words.clear();
        for told in &self.look.facts {
            let read = match told.kind {
                PROPOSAL => words::decode::<Proposal>(&told.body).map(|p| proposals.push(p)),
                WORD => words::decode::<Word>(&told.body).map(|w| {
                    self.words.insert(told.source.clone(), (told.start, w));
                }),
                HALTS => words::decode::<Vec<Halted>>(&told.body).map(|h| halts.extend(h)),
                COUNTS => words::decode::<Counts>(&told.body)
                    .map(|counts| said.push((told.source.as_str(), told.start, counts))),
                ORDERLY => words::decode(&told.body)
                    .map(|how| _ = orderly.insert(told.source.clone(), how)),
                _ => None,
            };
            self.malformed += u64::from(read.is_none());
        }
        // A word of an earlier start of this process comes back to it; what it says now is in the machine.
        self.words.remove(&self.config.name);
        let me = self.config.name.clone();
        let mine = self.counts();
        let start = self.config.start;
        let epoch = mine.epoch;
        let of_now = said
            .into_iter()
            .filter(|(name, _, c)| *name != me && c.epoch == epoch);
        let all = of_now.chain([(me.as_str(), start, mine.clone())]);
        let region = |p: &'_ Peer| (p.name.clone(), p.region.clone());
        let regions: BTreeMap<String, String> = self.look.peers.iter().map(region).collect();
        let all = all.filter_map(|(name, start, counts)| {
            Some((name, regions.get(name)?.as_str(), start, counts))
        });
        self.evidence.look(now, all);
        self.verdict = match (self.watch(now, &orderly), self.evidence.verdict(now)) {
            (Sign::Harm(why), _) => Verdict::Harm(why),
            (Sign::Waits, Verdict::Clean) => Verdict::Missing,
            (_, verdict) => verdict,
        };
        let verdict = if self.judged_now() {
            self.verdict
        } else {
            Verdict::TooLittle
        };
        let under_way = self.machine.under_way();
        let words = self
            .words
            .iter()
            .map(|(name, (_, word))| (name.clone(), word.clone()))
            .collect();
        self.machine.step(
            now,
            &Sight {
                peers: &self.look.peers,
                promote: &self.look.promote,
                words: &words,
                proposals: &proposals,
                halts: &halts,
                verdict,
            },
        );
        let before = self.judged.map(|(epoch, hash, _)| (epoch, hash));
        self.begin(now);
        let after = self.judged.map(|(epoch, hash, _)| (epoch, hash));
        if let Some(current) = self.machine.current().filter(|_| self.machine.under_way()) {
            self.watch.begin(
                &current.proposal,
                current.reached,
                &self.look.peers,
                &self.words,
            );
        }
        self.superseded += u64::from(under_way && before.is_some() && before != after);
        let kept = self.act(now, actions);
        self.tell(now, kept, actions);
    }

    /// What the evidence is about: the proposal and its stage.
    fn subject(&self) -> Option<(u64, Hash, u8)> {
        self.machine
            .current()
            .map(|c| (c.proposal.epoch, c.proposal.hash, c.reached))
    }

    fn judged_now(&self) -> bool {
        self.judged == self.subject()
    }

    /// Another rollout has evidence of its own, another stage its own soak.
    fn begin(&mut self, now: Duration) {
        let subject = self.subject();
        if self.judged == subject {
            return;
        }
        let same = |a: Option<(u64, Hash, u8)>| a.map(|(epoch, hash, _)| (epoch, hash));
        if same(self.judged) == same(subject) {
            self.evidence.stage(now);
        } else {
            self.evidence = Evidence::new(self.config.limits, now);
            self.watch.clear();
        }
        self.judged = subject;
    }

    fn watch(&mut self, now: Duration, orderly: &BTreeMap<String, Orderly>) -> Sign {
        match self.machine.current().filter(|_| self.machine.under_way()) {
            Some(current) => self.watch.look(
                now,
                &current.proposal,
                &self.look.peers,
                &self.words,
                orderly,
            ),
            None => {
                self.watch.clear();
                Sign::Well
            }
        }
    }

    /// Whether the disk has all that is to be kept.
    fn act(&mut self, now: Duration, actions: &mut Vec<Action>) -> bool {
        let phase = self.machine.phase();
        if phase != self.phase {
            self.phase = phase;
            actions.push(Action::Phase(phase));
        }
        if let Some(current) = self.machine.current() {
            let (epoch, hash) = (current.proposal.epoch, current.proposal.hash);
            let unable = matches!(current.ready, Ready::Cannot(_));
            // A file that was missing may have been placed since.
            let known = self.checked.is_some_and(|(e, h, at)| {
                (e, h) == (epoch, hash) && !(unable && now.saturating_sub(at) >= self.config.lasts)
            });
            if !known {
                self.checked = Some((epoch, hash, now));
                actions.push(Action::Check(hash));
            }
        }
        let stored = words::encode(&self.machine.stored());
        let kept = stored == self.kept;
        if !kept && self.keeping.is_none() && self.keep_again.is_none_or(|at| now >= at) {
            self.keeping = Some(stored.clone());
            actions.push(Action::Save(stored));
        }
        let runs = self.machine.runs(&self.look.peers);
        // Back at once; on only when that is kept, and others have had a look's time to hear of it.
        let may = runs == self.machine.base() || kept && self.entered.is_some_and(|at| at < now);
        if runs != self.runs && may {
            self.runs = runs;
            self.turn += 1;
            self.from = (self.look.counts.clone(), self.look.total);
            actions.push(Action::Run(runs));
        }
        kept
    }

    /// What may be said of oneself: nothing that a process which is killed now would not find again.
    fn word(&mut self, kept: bool) -> Option<Word> {
        let word = self.machine.word(&self.look.peers)?;
        if kept || self.machine.halted().is_some() {
            self.word = Some(word.clone());
            return Some(word);
        }
        let of = &self.machine.current()?.proposal;
        let last = self.word.as_ref().filter(|last| last.of(of))?;
        let (votes, reached) = (word.votes.min(last.votes), word.reached.min(last.reached));
        Some(Word {
            votes,
            reached,
            new: word.new && last.new,
            ..word
        })
    }

    fn counts(&self) -> Counts {
        let (from, from_total) = &self.from;
        let since = |class: &Class| {
            let was = from
                .iter()
                .find(|c| c.class == class.class)
                .copied()
                .unwrap_or_default();
            class.since(was)
        };
        let mut classes: Vec<Class> = self.look.counts.iter().map(since).collect();
        let total = self.look.total.since(*from_total);
        classes.sort_by_key(|c| std::cmp::Reverse(c.asked));
        classes.truncate(CLASSES);
        let hash = self.machine.current().map(|c| c.proposal.hash);
        Counts {
            epoch: self.machine.current().map_or(0, |c| c.proposal.epoch),
            new: self.machine.new_here(&self.look.peers) && hash == Some(self.runs),
            turn: self.turn,
            total,
            classes,
        }
    }

    fn tell(&mut self, now: Duration, kept: bool, actions: &mut Vec<Action>) {
        let lasts = self.config.lasts;
        let word = self.word(kept);
        let new = word.as_ref().is_some_and(|word| word.new);
        self.entered = if new {
            self.entered.or(Some(now))
        } else {
            None
        };
        let counts = self.machine.under_way().then(|| self.counts());
        let mut say = |kind, body: Vec<u8>, lasts: Duration| {
            let again = self
                .said
                .get(&kind)
                .is_none_or(|(at, was)| *was != body || now.saturating_sub(*at) >= lasts / 3);
            if again && body.len() <= BODY_BYTES {
                self.said.insert(kind, (now, body.clone()));
                actions.push(Action::Say(kind, body, lasts));
            }
        };
        if !self.machine.halts().is_empty() {
            say(HALTS, words::encode(&self.machine.halts()), LONG);
        }
        if let Some(current) = self.machine.current().filter(|_| kept) {
            say(PROPOSAL, words::encode(&current.proposal), lasts * 6);
        }
        if let Some(word) = word {
            say(WORD, words::encode(&word), lasts);
        }
        if let Some(counts) = counts {
            say(COUNTS, words::encode(&counts), lasts);
            if let Some(orderly) = self.orderly {
                say(ORDERLY, words::encode(&orderly), LONG);
            }
        }
    }

    pub fn status(&self) -> Status {
        let (windows, harm, safe) = self.evidence.figures();
        let mut members: Vec<(String, Word)> = self
            .words
            .iter()
            .map(|(name, (_, word))| (name.clone(), word.clone()))
            .collect();
        members.extend(
            self.machine
                .word(&self.look.peers)
                .map(|word| (self.config.name.clone(), word)),
        );
        members.sort_by(|a, b| a.0.cmp(&b.0));
        Status {
            phase: self.machine.phase(),
            proposal: self.machine.current().map(|c| c.proposal.clone()),
            halted: self.machine.halted().cloned(),
            runs: self.runs,
            verdict: self.verdict,
            windows,
            harm,
            safe,
            members,
            superseded: self.superseded,
            malformed: self.malformed,
            unread: self.unread,
            unkept: self.keep_again.is_some(),
            planned: self
                .watch
                .planned()
                .map(|(name, times)| (name.to_owned(), times))
                .collect(),
        }
    }

    pub fn machine(&self) -> &Machine {
        &self.machine
    }
}
