//! A fleet of lenders on virtual time with faults, and a checker that records all loans itself instead of relying on a lender's
//! totals.

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

/// A published message. `at`: time of publication; it is valid for `ttl`.
#[derive(Clone)]
struct PublishedMessage {
    incarnation: u64,
    sequence: u64,
    body: Vec<u8>,
    at: Duration,
    ttl: Duration,
}

/// Index of the publishing node, and kind and key of the message.
type Key = (usize, u8, Vec<u8>);

struct Process {
    lender: Lender,
    incarnation: u64,
    token: u64,
    due: Duration,
    paused: bool,
    /// Last received version of each message: incarnation and sequence number.
    known: BTreeMap<Key, (u64, u64)>,
}

impl Node {
    /// Books a repayment of the oldest loans that are not written off yet.
    fn record_repayment(&mut self, local: Duration, mut repaid: u64) {
        self.loans
            .retain(|(since, _)| local < *since + TERM + WRITE_OFF);
        while let Some((_, left)) = self.loans.front_mut() {
            let part = repaid.min(*left);
            (*left, repaid) = (*left - part, repaid - part);
            if *left > 0 {
                break;
            }
            self.loans.pop_front();
        }
    }
}

/// Clock of a node: its time at the start of the run, and its rate in thousandths of virtual time.
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
    published: BTreeMap<Key, VecDeque<PublishedMessage>>,
    /// Open loans: time by the node's clock, and the amount left. Those whose state file was lost are in `loans_before_loss`.
    loans: VecDeque<(Duration, u64)>,
    loans_before_loss: VecDeque<(Duration, u64)>,
    lent: u64,
}

pub struct Fleet {
    rng: ChaCha8Rng,
    pub now: Duration,
    nodes: Vec<Node>,
    /// Partition of each node; only nodes of the same partition reach each other.
    partition: Vec<u8>,
    /// Loss of messages between nodes, in percent.
    loss_percent: u32,
    has_state_file: bool,
    guards: Guards,
    sequence: u64,
    /// Quota of the whole fleet by each node's rules, in thousandths of a request per second.
    quota: Vec<u64>,
    /// Accounts that were taken over, and the index of the node that did.
    taken_over_by: BTreeMap<AccountId, usize>,
    pub lent: u64,
    pub takeovers: usize,
    /// Now and then membership permits lending to a node that reaches no majority.
    false_memberships: bool,
    /// Every save succeeds.
    pub reliable_disks: bool,
    /// No requests beyond quota arrive.
    pub idle: bool,
    /// Bytes of the bodies and keys of all published messages.
    pub published_bytes: usize,
    /// Probability with which a drawn fault ends a partition.
    heal_probability: f64,
    /// Index of a node that crashes, and the time of the crash.
    crash_at: Option<(usize, Duration)>,
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
            published: BTreeMap::new(),
            loans: VecDeque::new(),
            loans_before_loss: VecDeque::new(),
            lent: 0,
        };
        let nodes = (0..members).map(node).collect();
        let mut fleet = Self {
            rng,
            now: Duration::ZERO,
            nodes,
            partition: vec![0; members],
            loss_percent: 0,
            has_state_file,
            guards,
            sequence: 1,
            quota: vec![members as u64 * 4000; members],
            taken_over_by: BTreeMap::new(),
            lent: 0,
            takeovers: 0,
            false_memberships: true,
            reliable_disks: false,
            idle: false,
            published_bytes: 0,
            heal_probability: if seed.is_multiple_of(2) { 1.0 } else { 0.2 },
            crash_at: None,
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
        Rules::new(vec![(TENANT.into(), rule)], TERM + WRITE_OFF).expect("the rule is valid")
    }

    fn credit_limit(&self) -> u64 {
        self.quota
            .iter()
            .max()
            .map_or(0, |quota| quota * LIMIT_SECONDS)
    }

    pub fn start(&mut self, at: usize, keeps_file: bool) {
        self.sequence += 1;
        let incarnation = 1_700_000_000_000 + self.sequence * 7;
        let local = self.nodes[at].clock.at(self.now);
        let mut config = Config::new(&self.nodes[at].name, incarnation, self.has_state_file);
        config.max_loan_time = TERM + WRITE_OFF;
        config.lease = Duration::from_secs(1);
        config.exchange_interval = STEP;
        config.guards = self.guards;
        if !keeps_file {
            self.nodes[at].file = None;
        }
        let has_file = self.nodes[at].file.is_some();
        let lender = Lender::new(&config, local, self.nodes[at].file.as_deref());
        let node = &mut self.nodes[at];
        if !has_file {
            let loans = std::mem::take(&mut node.loans);
            node.loans_before_loss.extend(loans);
        }
        node.process = Some(Process {
            lender,
            incarnation,
            token: 0,
            due: self.now,
            paused: false,
            known: BTreeMap::new(),
        });
        let rules = self.rules(at);
        self.handle_event(at, Event::Rules(rules));
    }

    fn handle_event(&mut self, at: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        let (now, node) = (self.now, &mut self.nodes[at]);
        let local = node.clock.at(now);
        let Some(process) = node.process.as_mut() else {
            return;
        };
        let total_repaid = |lender: &Lender| lender.totals(local, TENANT).map_or(0, |t| t.repaid);
        let before = total_repaid(&process.lender);
        process.lender.handle(local, event, &mut actions);
        // Other nodes may have reported repayments.
        let repaid = total_repaid(&process.lender).saturating_sub(before);
        node.record_repayment(local, repaid);
        self.perform(at, actions);
    }

    fn perform(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Publish {
                    kind,
                    key,
                    body,
                    ttl,
                } => {
                    assert!(
                        body.len() <= 512 && key.len() <= 32,
                        "body or key exceeds the maximum length"
                    );
                    self.sequence += 1;
                    self.published_bytes += body.len() + key.len();
                    let node = &mut self.nodes[at];
                    let incarnation = node
                        .process
                        .as_ref()
                        .map_or(0, |process| process.incarnation);
                    let published = PublishedMessage {
                        incarnation,
                        sequence: self.sequence,
                        body,
                        at: self.now,
                        ttl,
                    };
                    let versions = node.published.entry((at, kind, key)).or_default();
                    versions.push_back(published);
                    if versions.len() > 3 {
                        versions.pop_front();
                    }
                }
                Action::Save { sequence, bytes } => {
                    // A save that never completes: no further save is confirmed until the next start.
                    if self.rng.random_range(0..2000) > 0 || self.reliable_disks {
                        self.nodes[at].file = Some(bytes);
                        self.handle_event(at, Event::Saved(sequence));
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

    fn is_linked(&self, a: usize, b: usize) -> bool {
        self.partition[a] == self.partition[b]
    }

    fn update_membership(&mut self, at: usize) {
        let members: Vec<Member> = (0..self.nodes.len())
            .map(|other| Member {
                name: self.nodes[other].name.clone(),
                incarnation: 0,
                up: self.is_linked(at, other)
                    && self.nodes[other]
                        .process
                        .as_ref()
                        .is_some_and(|process| !process.paused),
            })
            .collect();
        let roster: Vec<String> = members.iter().map(|member| member.name.clone()).collect();
        let reachable = members.iter().filter(|member| member.up).count();
        let may_lend =
            reachable * 2 > members.len() || self.false_memberships && self.rng.random_bool(0.3);
        self.handle_event(
            at,
            Event::Membership {
                may_lend,
                roster: &roster,
                members: &members,
            },
        );
    }

    /// Node `at` receives the messages that node `from` publishes or has received: some are outdated or repeated, some are lost.
    fn receive(&mut self, at: usize, from: usize) {
        let keys: Vec<Key> = {
            let Some(process) = &self.nodes[from].process else {
                return;
            };
            process
                .known
                .keys()
                .chain(self.nodes[from].published.keys())
                .cloned()
                .collect()
        };
        for key in keys.into_iter().filter(|key| key.0 != at) {
            if self.loss_percent > 0 && self.rng.random_range(0..100) < self.loss_percent {
                continue;
            }
            let old = self.rng.random_range(0..40) == 0;
            let known_version = self.nodes[from]
                .process
                .as_ref()
                .and_then(|process| process.known.get(&key))
                .copied();
            let versions = &self.nodes[key.0].published[&key];
            let has = |published: &&PublishedMessage| {
                key.0 == from
                    || known_version
                        .is_some_and(|v| (published.incarnation, published.sequence) <= v)
            };
            let mut versions = versions.iter().rev().filter(has);
            let published = if old {
                versions.next_back()
            } else {
                versions.next()
            };
            let Some(published) = published
                .filter(|published| self.now < published.at + published.ttl)
                .cloned()
            else {
                continue;
            };
            let version = (published.incarnation, published.sequence);
            let Some(process) = self.nodes[at].process.as_mut() else {
                return;
            };
            let known = process.known.get(&key).copied().unwrap_or_default();
            if version <= known && !old {
                continue;
            }
            process.known.insert(key.clone(), known.max(version));
            let source = self.nodes[key.0].name.clone();
            let (key, kind, age) = (key.2, key.1, self.now - published.at);
            let message = Event::Message {
                source: &source,
                incarnation: published.incarnation,
                kind,
                key: &key,
                body: &published.body,
                age,
            };
            self.handle_event(at, message);
        }
    }

    pub fn request_loan(&mut self, at: usize) {
        let local = self.nodes[at].clock.at(self.now);
        let mut actions = Vec::new();
        let Some(process) = self.nodes[at].process.as_mut() else {
            return;
        };
        if process.paused {
            return;
        }
        let decision = process
            .lender
            .decide(local, TENANT, "normal", 1000, &mut actions);
        self.perform(at, actions);
        if decision == Decision::Borrowed {
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
            // With little local quota the lender requests repayment from others; these withhold more than is owed to them.
            process.lender.withhold(local, TENANT, amount / 8, 1000);
        }
        let repaid = process.lender.repay(local, TENANT, amount);
        node.record_repayment(local, repaid);
    }

    /// Runs a quarter of a second: faults, messages and requests, followed by the checks.
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
                self.handle_event(at, Event::Timer(token));
            }
            for _ in 0..3 {
                let from = self.rng.random_range(0..members);
                if from != at && self.is_linked(at, from) {
                    let is_running =
                        |node: &Node| node.process.as_ref().is_some_and(|process| !process.paused);
                    if is_running(&self.nodes[from]) {
                        self.receive(at, from);
                    }
                }
            }
            // One node at a time has most of the traffic.
            let requests = if self.busy() == at { 12 } else { 2 };
            for _ in 0..if self.idle { 0 } else { requests } {
                self.request_loan(at);
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
        if let Some((at, _)) = self.crash_at.take_if(|(_, when)| *when <= self.now) {
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
                self.partition = (0..self.nodes.len())
                    .map(|_| self.rng.random_range(0..sides))
                    .collect();
            }
            3..6 if self.rng.random_bool(self.heal_probability) => self.partition.fill(0),
            6 => self.partition[at] = 9,
            7 => self.loss_percent = self.rng.random_range(0..60),
            8 => self.loss_percent = 0,
            9..14 | 23..28 if self.nodes[at].process.is_none() => {
                let keeps_file = self.rng.random_bool(0.85);
                self.start(at, keeps_file);
            }
            14..20 => self.resume(at),
            21..23 => {
                // The previously busy node is partitioned together with the one that is busy now, may transfer shares to it, and
                // crashes.
                let busy = self.busy();
                let sender = (busy + self.nodes.len() - 1) % self.nodes.len();
                (self.partition[busy], self.partition[sender]) = (8, 8);
                self.crash_at = Some((sender, self.now + Duration::from_millis(750)));
            }
            20 => {
                // A crash, sometimes during a write that leaves a truncated file.
                let cut = self.rng.random_range(0..64);
                let node = &mut self.nodes[at];
                node.process = None;
                if let Some(file) = node.file.as_mut().filter(|_| cut < 8) {
                    file.truncate(file.len().saturating_sub(1 + cut));
                    let loans = std::mem::take(&mut node.loans);
                    node.loans_before_loss.extend(loans);
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
            // A resumed process lends before it handles any other event, if its state permits.
            (0..8).for_each(|_| self.request_loan(at));
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let max_loan_time = TERM + WRITE_OFF;
        // The amount owed, and the amount that could be lent at this moment in addition.
        let (mut owed, mut lendable) = (0, 0);
        for (at, node) in self.nodes.iter_mut().enumerate() {
            let local = node.clock.at(self.now);
            for loans in [&mut node.loans, &mut node.loans_before_loss] {
                loans.retain(|(since, _)| local < *since + max_loan_time);
                owed += loans.iter().map(|(_, left)| left).sum::<u64>();
            }
            let Some(process) = &node.process else {
                continue;
            };
            if let Some(totals) = process.lender.totals(local, TENANT) {
                if totals.lent != totals.repaid + totals.owed + totals.written_off {
                    return Err(format!(
                        "{} at {:?}: {totals:?} does not add up",
                        node.name, self.now
                    ));
                }
                if local < totals.lease_until {
                    lendable += totals.local_limit.saturating_sub(totals.owed);
                }
            }
            for account in process.lender.accounts_taken_over() {
                let first = *self.taken_over_by.entry(account).or_insert_with(|| {
                    self.takeovers += 1;
                    at
                });
                if first != at {
                    return Err(format!(
                        "{account:?} was taken over by nodes {first} and {at}, at {:?}",
                        self.now
                    ));
                }
            }
        }
        if owed + lendable > self.credit_limit() {
            let limit = self.credit_limit();
            return Err(format!(
                "{owed} owed and {lendable} lendable at {:?}, with a credit limit of {limit}",
                self.now
            ));
        }
        Ok(())
    }

    /// Greatest total of shares that any account has sent.
    pub fn max_sent(&self) -> u64 {
        let published = self
            .nodes
            .iter()
            .flat_map(|node| &node.published)
            .filter(|((_, kind, _), _)| *kind == BALANCES);
        let balances = published
            .filter_map(|(_, versions)| decode::<PublishedBalances>(&versions.back()?.body));
        balances
            .map(|published| published.balances.sent.values().sum())
            .max()
            .unwrap_or(0)
    }

    pub fn count_bootstrapped(&self) -> usize {
        let is_bootstrapped = |node: &&Node| {
            node.process
                .as_ref()
                .is_some_and(|process| process.lender.is_bootstrapped())
        };
        self.nodes.iter().filter(is_bootstrapped).count()
    }

    /// Runs a schedule: a bootstrap without faults, then steps with faults.
    pub fn run_with_faults(
        seed: u64,
        members: usize,
        steps: usize,
        guards: Guards,
    ) -> Result<Fleet, String> {
        let mut fleet = Fleet::new(seed, members, !seed.is_multiple_of(4), guards);
        for _ in 0..80 {
            fleet.step(false)?;
        }
        for _ in 0..steps {
            fleet.step(true)?;
        }
        Ok(fleet)
    }

    pub fn run_without_faults(seed: u64, guards: Guards) -> Result<Fleet, String> {
        let mut fleet = Fleet::new(seed, 5, true, guards);
        // 25 s: the time at which the next node becomes the busy one.
        while fleet.now < Duration::from_secs(25) {
            fleet.step(false)?;
        }
        Ok(fleet)
    }

    pub fn run_steps(&mut self, steps: usize) -> Result<(), String> {
        (0..steps).try_for_each(|_| self.step(false))
    }

    /// A node transfers shares to another while no third node receives its messages, and crashes. Its account is taken over, and
    /// then the receiver is reachable again.
    pub fn unwitnessed_transfer(seed: u64, guards: Guards) -> Result<Fleet, String> {
        let mut fleet = Self::run_without_faults(seed, guards)?;
        fleet.run_steps(1 + (seed % 6) as usize)?;
        let (to, from) = (fleet.busy(), (fleet.busy() + 4) % 5);
        (fleet.partition[to], fleet.partition[from]) = (8, 8);
        fleet.run_steps(4)?;
        fleet.nodes[from].process = None;
        // Until its messages have expired.
        fleet.run_steps(17)?;
        fleet.partition.fill(0);
        fleet.run_steps(40)?;
        Ok(fleet)
    }

    /// A node is partitioned from all others until its account is taken over, and then is reachable again.
    pub fn cut_off(seed: u64, guards: Guards) -> Result<Fleet, String> {
        let mut fleet = Self::run_without_faults(seed, guards)?;
        fleet.partition[(seed % 5) as usize] = 9;
        fleet.run_steps(60)?;
        fleet.partition.fill(0);
        fleet.run_steps(40)?;
        Ok(fleet)
    }

    /// The busy node crashes while its loans are open, and restarts at once with its state file.
    pub fn kill_and_return(seed: u64, guards: Guards) -> Result<Fleet, String> {
        let mut fleet = Self::run_without_faults(seed, guards)?;
        fleet.run_steps(1 + (seed % 12) as usize)?;
        let busy = fleet.busy();
        (0..80).for_each(|_| fleet.request_loan(busy));
        fleet.nodes[busy].process = None;
        fleet.start(busy, true);
        fleet.run_steps(20)?;
        Ok(fleet)
    }

    /// One node's rules become stricter. Returns the sum of all local limits, once all nodes have received its credit limit, and
    /// this limit.
    pub fn stricter_rule(seed: u64) -> Result<(u64, u64), String> {
        let mut fleet = Self::run_without_faults(seed, Guards::ALL)?;
        let at = (seed % 5) as usize;
        let former = fleet.credit_limit();
        fleet.quota[at] /= 4;
        let rules = fleet.rules(at);
        fleet.handle_event(at, Event::Rules(rules));
        // Loans from before have to be over.
        fleet.run_steps(24)?;
        let part = |at: usize| {
            fleet
                .withheld(at, 0, Duration::ZERO)
                .1
                .map_or(0, |totals| totals.local_limit)
        };
        Ok(((0..5).map(part).sum(), former / 4))
    }

    /// Requests loans until one is denied. Returns that decision.
    pub fn exhaust(&mut self, at: usize) -> Decision {
        let local = self.nodes[at].clock.at(self.now);
        let lender = &mut self.nodes[at]
            .process
            .as_mut()
            .expect("the node is up")
            .lender;
        let mut decisions =
            (0..1000).map(|_| lender.decide(local, TENANT, "normal", 1000, &mut Vec::new()));
        decisions
            .find(|decision| *decision != Decision::Borrowed)
            .unwrap_or(Decision::Borrowed)
    }

    /// Thousandths of the quota to withhold if `used` thousandths are in use, and the totals, at the time `later` from now.
    pub fn withheld(
        &mut self,
        at: usize,
        used: u32,
        later: Duration,
    ) -> (u32, Option<quota_lending::LoanTotals>) {
        let local = self.nodes[at].clock.at(self.now) + later;
        let lender = &mut self.nodes[at]
            .process
            .as_mut()
            .expect("the node is up")
            .lender;
        (
            lender.withhold(local, TENANT, 1 << 40, used),
            lender.totals(local, TENANT),
        )
    }

    pub fn bootstrapped_fleet(seed: u64) -> Fleet {
        Self::run_without_faults(seed, Guards::ALL).unwrap_or_else(|error| panic!("{error}"))
    }

    pub fn send_event(&mut self, at: usize, event: Event<'_>) {
        self.handle_event(at, event);
    }
}
