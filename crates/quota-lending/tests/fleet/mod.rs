//! A fleet on virtual time with faults, and a checker that sees all loans. It trusts no totals of a lender.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use quota_lending::identity::AccountId;
use quota_lending::messages::{decode, PublishedBalances, BALANCES};
use quota_lending::{Action, Config, Decision, Event, Guards, Lender, Member, Rule, Rules};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const TENANT: &str = "depot";
const TERM: Duration = Duration::from_millis(1500);
const WRITE_OFF: Duration = Duration::from_millis(1500);
pub const LIMIT_SECONDS: u64 = 4;
const STEP: Duration = Duration::from_millis(250);

#[derive(Clone)]
struct PublishedMessage {
    start: u64,
    sequence: u64,
    body: Vec<u8>,
    at: Duration,
    ttl: Duration,
}

type Key = (usize, u8, Vec<u8>);

struct Process {
    lender: Lender,
    start: u64,
    token: u64,
    due: Duration,
    paused: bool,
    known: BTreeMap<Key, (u64, u64)>,
}

impl Node {
    /// What is written off by now is not what is paid.
    fn paid(&mut self, local: Duration, mut paid: u64) {
        self.loans
            .retain(|(since, _)| local < *since + TERM + WRITE_OFF);
        while let Some((_, left)) = self.loans.front_mut() {
            let part = paid.min(*left);
            (*left, paid) = (*left - part, paid - part);
            if *left > 0 {
                break;
            }
            self.loans.pop_front();
        }
    }
}

/// A clock of its own: where it began, and thousandths that it runs at.
#[derive(Clone, Copy)]
struct Clock {
    origin: Duration,
    rate: u32,
}

impl Clock {
    fn at(self, now: Duration) -> Duration {
        self.origin + now * self.rate / 1000
    }
}

struct Node {
    name: String,
    clock: Clock,
    process: Option<Process>,
    file: Option<Vec<u8>>,
    said: BTreeMap<Key, VecDeque<PublishedMessage>>,
    /// Loans that are out, by the time of its clock, of this memory and of former ones.
    loans: VecDeque<(Duration, u64)>,
    former: VecDeque<(Duration, u64)>,
    lent: u64,
}

pub struct Fleet {
    rng: ChaCha8Rng,
    pub now: Duration,
    nodes: Vec<Node>,
    side: Vec<u8>,
    drops: u32,
    has_state_file: bool,
    guards: Guards,
    sequence: u64,
    quota: Vec<u64>,
    /// Accounts that were taken over, by whom.
    taken: BTreeMap<AccountId, usize>,
    pub lent: u64,
    pub takeovers: usize,
    wrong_memberships: bool,
    pub reliable_disks: bool,
    /// Nothing is asked beyond quota.
    pub quiet: bool,
    /// Bytes of all messages.
    pub published_bytes: usize,
    /// How readily links heal.
    heal_probability: f64,
    /// Is killed then.
    kill_at: Option<(usize, Duration)>,
}

impl Fleet {
    pub fn new(seed: u64, members: usize, has_state_file: bool, guards: Guards) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node = |at: usize| Node {
            name: format!("proxy-{at}"),
            clock: Clock {
                origin: Duration::from_secs(rng.random_range(0..1000)),
                rate: rng.random_range(970..1030),
            },
            process: None,
            file: None,
            said: BTreeMap::new(),
            loans: VecDeque::new(),
            former: VecDeque::new(),
            lent: 0,
        };
        let nodes = (0..members).map(node).collect();
        let mut fleet = Self {
            rng,
            now: Duration::ZERO,
            nodes,
            side: vec![0; members],
            drops: 0,
            has_state_file,
            guards,
            sequence: 1,
            quota: vec![members as u64 * 4000; members],
            taken: BTreeMap::new(),
            lent: 0,
            takeovers: 0,
            wrong_memberships: true,
            reliable_disks: false,
            quiet: false,
            published_bytes: 0,
            heal_probability: if seed.is_multiple_of(2) { 1.0 } else { 0.2 },
            kill_at: None,
        };
        (0..members).for_each(|at| fleet.start(at, true));
        fleet
    }

    fn rules(&self, at: usize) -> Rules {
        let rule = Rule {
            limit_time: Duration::from_secs(LIMIT_SECONDS),
            quota: self.quota[at],
            term: TERM,
            floor: 500,
            write_off: WRITE_OFF,
            classes: vec!["normal".into()],
            max_rate: 1 << 40,
        };
        Rules::new(vec![(TENANT.into(), rule)], TERM + WRITE_OFF).expect("the rule is sound")
    }

    fn credit_limit(&self) -> u64 {
        self.quota
            .iter()
            .max()
            .map_or(0, |quota| quota * LIMIT_SECONDS)
    }

    pub fn start(&mut self, at: usize, keep_file: bool) {
        self.sequence += 1;
        let start = 1_700_000_000_000 + self.sequence * 7;
        let local = self.nodes[at].clock.at(self.now);
        let mut config = Config::new(&self.nodes[at].name, start, self.has_state_file);
        config.max_loan_time = TERM + WRITE_OFF;
        config.lease = Duration::from_secs(1);
        config.exchange_interval = STEP;
        config.guards = self.guards;
        if !keep_file {
            self.nodes[at].file = None;
        }
        let remembers = self.nodes[at].file.is_some();
        let lender = Lender::new(&config, local, self.nodes[at].file.as_deref());
        let node = &mut self.nodes[at];
        if !remembers {
            let loans = std::mem::take(&mut node.loans);
            node.former.extend(loans);
        }
        node.process = Some(Process {
            lender,
            start,
            token: 0,
            due: self.now,
            paused: false,
            known: BTreeMap::new(),
        });
        let rules = self.rules(at);
        self.event(at, Event::Rules(rules));
    }

    fn event(&mut self, at: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        let (now, node) = (self.now, &mut self.nodes[at]);
        let local = node.clock.at(now);
        let Some(process) = node.process.as_mut() else {
            return;
        };
        let repaid = |lender: &Lender| lender.totals(local, TENANT).map_or(0, |book| book.repaid);
        let before = repaid(&process.lender);
        process.lender.handle(local, event, &mut actions);
        // Others may have paid for it.
        let paid = repaid(&process.lender).saturating_sub(before);
        node.paid(local, paid);
        self.act(at, actions);
    }

    fn act(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Publish {
                    kind,
                    key,
                    body,
                    ttl,
                } => {
                    assert!(body.len() <= 512 && key.len() <= 32, "a fact is too long");
                    self.sequence += 1;
                    self.published_bytes += body.len() + key.len();
                    let node = &mut self.nodes[at];
                    let start = node.process.as_ref().map_or(0, |process| process.start);
                    let said = PublishedMessage {
                        start,
                        sequence: self.sequence,
                        body,
                        at: self.now,
                        ttl,
                    };
                    let versions = node.said.entry((at, kind, key)).or_default();
                    versions.push_back(said);
                    if versions.len() > 3 {
                        versions.pop_front();
                    }
                }
                Action::Save { sequence, bytes } => {
                    // A disk that is slow, or gives up: then nothing is confirmed until the next start.
                    if self.rng.random_range(0..2000) > 0 || self.reliable_disks {
                        self.nodes[at].file = Some(bytes);
                        self.event(at, Event::Saved(sequence));
                    }
                }
                Action::Timer { after, token } => {
                    let node = &mut self.nodes[at];
                    let due = self.now + after * 1000 / node.clock.rate;
                    if let Some(process) = node.process.as_mut() {
                        (process.due, process.token) = (due, token);
                    }
                }
                Action::Notice(_) => {}
            }
        }
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        self.side[a] == self.side[b]
    }

    fn update_membership(&mut self, at: usize) {
        let members: Vec<Member> = (0..self.nodes.len())
            .map(|other| Member {
                name: self.nodes[other].name.clone(),
                incarnation: 0,
                up: self.linked(at, other)
                    && self.nodes[other]
                        .process
                        .as_ref()
                        .is_some_and(|process| !process.paused),
            })
            .collect();
        let roster: Vec<String> = members.iter().map(|member| member.name.clone()).collect();
        let heard = members.iter().filter(|member| member.up).count();
        let lend = heard * 2 > members.len() || self.wrong_memberships && self.rng.random_bool(0.3);
        self.event(
            at,
            Event::Membership {
                may_lend: lend,
                roster: &roster,
                members: &members,
            },
        );
    }

    /// One receives what another knows or publishes: some of it old or twice, some lost.
    fn receive(&mut self, at: usize, from: usize) {
        let keys: Vec<Key> = {
            let Some(there) = &self.nodes[from].process else {
                return;
            };
            there
                .known
                .keys()
                .chain(self.nodes[from].said.keys())
                .cloned()
                .collect()
        };
        for key in keys.into_iter().filter(|key| key.0 != at) {
            if self.drops > 0 && self.rng.random_range(0..100) < self.drops {
                continue;
            }
            let old = self.rng.random_range(0..40) == 0;
            let there = self.nodes[from]
                .process
                .as_ref()
                .and_then(|process| process.known.get(&key))
                .copied();
            let versions = &self.nodes[key.0].said[&key];
            let has = |said: &&PublishedMessage| {
                key.0 == from || there.is_some_and(|v| (said.start, said.sequence) <= v)
            };
            let mut versions = versions.iter().rev().filter(has);
            let said = if old {
                versions.next_back()
            } else {
                versions.next()
            };
            let Some(said) = said.filter(|said| self.now < said.at + said.ttl).cloned() else {
                continue;
            };
            let version = (said.start, said.sequence);
            let Some(process) = self.nodes[at].process.as_mut() else {
                return;
            };
            let known = process.known.get(&key).copied().unwrap_or_default();
            if version <= known && !old {
                continue;
            }
            process.known.insert(key.clone(), known.max(version));
            let source = self.nodes[key.0].name.clone();
            let (key, kind, age) = (key.2, key.1, self.now - said.at);
            let fact = Event::Message {
                source: &source,
                incarnation: said.start,
                kind,
                key: &key,
                body: &said.body,
                age,
            };
            self.event(at, fact);
        }
    }

    pub fn ask(&mut self, at: usize) {
        let local = self.nodes[at].clock.at(self.now);
        let mut actions = Vec::new();
        let Some(process) = self.nodes[at].process.as_mut() else {
            return;
        };
        if process.paused {
            return;
        }
        let verdict = process
            .lender
            .decide(local, TENANT, "normal", 1000, &mut actions);
        self.act(at, actions);
        if verdict == Decision::Borrowed {
            let node = &mut self.nodes[at];
            node.loans.push_back((local, 1000));
            node.lent += 1000;
            self.lent += 1000;
        }
    }

    fn repay(&mut self, at: usize, amount: u64, elsewhere: bool) {
        let node = &mut self.nodes[at];
        let Some(process) = node.process.as_mut().filter(|process| !process.paused) else {
            return;
        };
        let local = node.clock.at(self.now);
        if elsewhere {
            // Little of its quota is here, so that others are asked; these withhold more than is owed to them.
            process.lender.withhold(local, TENANT, amount / 8, 1000);
        }
        let paid = process.lender.repay(local, TENANT, amount);
        node.paid(local, paid);
    }

    /// A quarter of a second: faults, messages, requests; then the checker.
    pub fn step(&mut self, faults: bool) -> Result<(), String> {
        self.now += Duration::from_millis(250);
        let members = self.nodes.len();
        if faults {
            self.faults();
        }
        for at in 0..members {
            if self.nodes[at]
                .process
                .as_ref()
                .is_none_or(|process| process.paused)
            {
                continue;
            }
            if self.rng.random_range(0..4) == 0 || self.now < Duration::from_secs(1) {
                self.update_membership(at);
            }
            let process = self.nodes[at]
                .process
                .as_ref()
                .map(|process| (process.due, process.token));
            if let Some((due, token)) = process.filter(|(due, _)| *due <= self.now) {
                let _ = due;
                self.event(at, Event::Timer(token));
            }
            for _ in 0..3 {
                let from = self.rng.random_range(0..members);
                if from != at && self.linked(at, from) {
                    let awake =
                        |node: &Node| node.process.as_ref().is_some_and(|there| !there.paused);
                    if awake(&self.nodes[from]) {
                        self.receive(at, from);
                    }
                }
            }
            // One proxy has most of the traffic for a while.
            let asks = if self.busy() == at { 12 } else { 2 };
            for _ in 0..if self.quiet { 0 } else { asks } {
                self.ask(at);
                self.check()?;
            }
            if self.rng.random_bool(0.3) {
                let amount = self.rng.random_range(0..4000);
                self.repay(at, amount, faults);
            }
        }
        self.check()
    }

    fn busy(&self) -> usize {
        (self.now.as_secs() / 5) as usize % self.nodes.len()
    }

    fn faults(&mut self) {
        if let Some((at, _)) = self.kill_at.take_if(|(_, when)| *when <= self.now) {
            self.nodes[at].process = None;
        }
        let at = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..60) {
            0 => self.nodes[at].process = None,
            1 => {
                if let Some(process) = self.nodes[at].process.as_mut() {
                    process.paused = true;
                }
            }
            2 => {
                let sides = self.rng.random_range(2..4);
                self.side = (0..self.nodes.len())
                    .map(|_| self.rng.random_range(0..sides))
                    .collect();
            }
            3..6 if self.rng.random_bool(self.heal_probability) => self.side.fill(0),
            6 => self.side[at] = 9,
            7 => self.drops = self.rng.random_range(0..60),
            8 => self.drops = 0,
            9..14 | 23..28 if self.nodes[at].process.is_none() => {
                let keep = self.rng.random_bool(0.85);
                self.start(at, keep);
            }
            14..20 => self.resume(at),
            21..23 => {
                // Who had most of the traffic is cut off with who has it now, may give, and dies.
                let busy = self.busy();
                let giver = (busy + self.nodes.len() - 1) % self.nodes.len();
                (self.side[busy], self.side[giver]) = (8, 8);
                self.kill_at = Some((giver, self.now + Duration::from_millis(750)));
            }
            20 => {
                // Killed while it wrote: torn.
                let cut = self.rng.random_range(0..64);
                let node = &mut self.nodes[at];
                node.process = None;
                if let Some(file) = node.file.as_mut().filter(|_| cut < 8) {
                    file.truncate(file.len().saturating_sub(1 + cut));
                    let loans = std::mem::take(&mut node.loans);
                    node.former.extend(loans);
                }
            }
            _ => {}
        }
    }

    fn resume(&mut self, at: usize) {
        if let Some(process) = self.nodes[at]
            .process
            .as_mut()
            .filter(|process| process.paused)
        {
            process.paused = false;
            // The first thing that it does is to lend, if it may.
            (0..8).for_each(|_| self.ask(at));
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let max_loan_time = TERM + WRITE_OFF;
        // What is owed, and what may be lent this moment besides.
        let (mut out, mut may) = (0, 0);
        for (at, node) in self.nodes.iter_mut().enumerate() {
            let local = node.clock.at(self.now);
            for loans in [&mut node.loans, &mut node.former] {
                loans.retain(|(since, _)| local < *since + max_loan_time);
                out += loans.iter().map(|(_, left)| left).sum::<u64>();
            }
            let Some(process) = &node.process else {
                continue;
            };
            if let Some(book) = process.lender.totals(local, TENANT) {
                if book.lent != book.repaid + book.owed + book.written_off {
                    return Err(format!(
                        "{} at {:?}: {book:?} does not add up",
                        node.name, self.now
                    ));
                }
                if local < book.lease_until {
                    may += book.local_limit.saturating_sub(book.owed);
                }
            }
            for lane in process.lender.accounts_taken_over() {
                let first = *self.taken.entry(lane).or_insert_with(|| {
                    self.takeovers += 1;
                    at
                });
                if first != at {
                    return Err(format!(
                        "{lane:?} was taken by {first} and {at} at {:?}",
                        self.now
                    ));
                }
            }
        }
        if out + may > self.credit_limit() {
            let line = self.credit_limit();
            return Err(format!(
                "{out} is owed at {:?}, {may} may be lent, of a line of {line}",
                self.now
            ));
        }
        Ok(())
    }

    /// The most that any account has sent in all.
    pub fn sent_most(&self) -> u64 {
        let said = self
            .nodes
            .iter()
            .flat_map(|node| &node.said)
            .filter(|((_, kind, _), _)| *kind == BALANCES);
        let rows =
            said.filter_map(|(_, versions)| decode::<PublishedBalances>(&versions.back()?.body));
        rows.map(|said| said.balances.sent.values().sum())
            .max()
            .unwrap_or(0)
    }

    pub fn founded(&self) -> usize {
        let founded = |node: &&Node| {
            node.process
                .as_ref()
                .is_some_and(|process| process.lender.is_bootstrapped())
        };
        self.nodes.iter().filter(founded).count()
    }

    /// A schedule: bootstrap without faults, then faults.
    pub fn play(seed: u64, members: usize, steps: usize, guards: Guards) -> Result<Fleet, String> {
        let mut fleet = Fleet::new(seed, members, !seed.is_multiple_of(4), guards);
        for _ in 0..80 {
            fleet.step(false)?;
        }
        for _ in 0..steps {
            fleet.step(true)?;
        }
        Ok(fleet)
    }

    pub fn peace(seed: u64, guards: Guards) -> Result<Fleet, String> {
        let mut fleet = Fleet::new(seed, 5, true, guards);
        // Up to the moment at which another becomes busy.
        while fleet.now < Duration::from_secs(25) {
            fleet.step(false)?;
        }
        Ok(fleet)
    }

    pub fn steps(&mut self, steps: usize) -> Result<(), String> {
        (0..steps).try_for_each(|_| self.step(false))
    }

    /// One sends shares to another when nobody else hears them, and dies; its account is taken over, and then the other returns.
    pub fn unwitnessed_transfer(seed: u64, guards: Guards) -> Result<Fleet, String> {
        let mut fleet = Self::peace(seed, guards)?;
        fleet.steps(1 + (seed % 6) as usize)?;
        let (to, from) = (fleet.busy(), (fleet.busy() + 4) % 5);
        (fleet.side[to], fleet.side[from]) = (8, 8);
        fleet.steps(4)?;
        fleet.nodes[from].process = None;
        // Until what it said has lapsed.
        fleet.steps(17)?;
        fleet.side.fill(0);
        fleet.steps(40)?;
        Ok(fleet)
    }

    /// One is cut off until its account is taken over, and then is heard again.
    pub fn cut_off(seed: u64, guards: Guards) -> Result<Fleet, String> {
        let mut fleet = Self::peace(seed, guards)?;
        fleet.side[(seed % 5) as usize] = 9;
        fleet.steps(60)?;
        fleet.side.fill(0);
        fleet.steps(40)?;
        Ok(fleet)
    }

    /// The busy one is killed while its loans are out, and returns at once with its file.
    pub fn kill_and_return(seed: u64, guards: Guards) -> Result<Fleet, String> {
        let mut fleet = Self::peace(seed, guards)?;
        fleet.steps(1 + (seed % 12) as usize)?;
        let busy = fleet.busy();
        (0..80).for_each(|_| fleet.ask(busy));
        fleet.nodes[busy].process = None;
        fleet.start(busy, true);
        fleet.steps(20)?;
        Ok(fleet)
    }

    /// The rules of one become stricter: what all parts come to once all have heard it, and its stricter line.
    pub fn stricter(seed: u64) -> Result<(u64, u64), String> {
        let mut fleet = Self::peace(seed, Guards::ALL)?;
        let at = (seed % 5) as usize;
        let former = fleet.credit_limit();
        fleet.quota[at] /= 4;
        let rules = fleet.rules(at);
        fleet.event(at, Event::Rules(rules));
        // What was lent before has to be over.
        fleet.steps(24)?;
        let part = |at: usize| {
            fleet
                .withheld(at, 0, Duration::ZERO)
                .1
                .map_or(0, |book| book.local_limit)
        };
        Ok(((0..5).map(part).sum(), former / 4))
    }

    /// Asks until the answer is no.
    pub fn exhaust(&mut self, at: usize) -> Decision {
        let local = self.nodes[at].clock.at(self.now);
        let lender = &mut self.nodes[at].process.as_mut().expect("it runs").lender;
        let mut asked =
            (0..1000).map(|_| lender.decide(local, TENANT, "normal", 1000, &mut Vec::new()));
        asked
            .find(|verdict| *verdict != Decision::Borrowed)
            .unwrap_or(Decision::Borrowed)
    }

    /// Withheld at such a use of the quota of one request a second; and the book.
    pub fn withheld(
        &mut self,
        at: usize,
        used: u32,
        later: Duration,
    ) -> (u32, Option<quota_lending::LoanTotals>) {
        let local = self.nodes[at].clock.at(self.now) + later;
        let lender = &mut self.nodes[at].process.as_mut().expect("it runs").lender;
        (
            lender.withhold(local, TENANT, 1 << 40, used),
            lender.totals(local, TENANT),
        )
    }

    pub fn founded_in_peace(seed: u64) -> Fleet {
        Self::peace(seed, Guards::ALL).unwrap_or_else(|wrong| panic!("{wrong}"))
    }

    pub fn tell(&mut self, at: usize, event: Event<'_>) {
        self.event(at, event);
    }
}
