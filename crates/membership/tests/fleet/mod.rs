//! A simulated fleet in virtual time: loss, delay, one-way partitions, pauses and crashes, all from a seed.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use membership::{Action, Config, Core, Event, Fact, Member, Roster, Status, DATAGRAM_BYTES};
use rand_10::rngs::StdRng;
use rand_10::{RngExt, SeedableRng};

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

enum Delivery {
    Datagram {
        from: usize,
        start: u64,
        bytes: Vec<u8>,
    },
    Timer {
        process_number: u64,
        token: u64,
    },
}

pub struct Process {
    pub core: Core,
    pub start: u64,
    /// Counts processes: timers of an earlier process of the name are dropped.
    process_number: u64,
    /// Origin of its own clock in the fleet's time.
    pub since: Duration,
    pub facts: Vec<Fact>,
}

pub struct Fleet {
    pub now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, usize, usize)>>,
    slots: Vec<Option<Delivery>>,
    free: Vec<usize>,
    count: u64,
    rng: StdRng,
    pub loss: f64,
    pub delay: (u64, u64),
    /// Pairs of sender and receiver whose datagrams are lost.
    pub cut: BTreeSet<(usize, usize)>,
    pub paused: Vec<Duration>,
    pub processes: Vec<Option<Process>>,
    pub roster: Roster,
    pub sent_bytes: u64,
    pub sent: u64,
    /// Events handled by all cores.
    pub events: u64,
    /// When, at which member, about which member.
    pub changes: Vec<(Duration, usize, usize, Status)>,
    pub set: fn(&mut Config),
    /// The clock that gives incarnations.
    pub starts: u64,
    process_count: u64,
}

pub fn roster(size: usize) -> Roster {
    let member = |at: usize| Member {
        name: format!("p{at}"),
        address: ([127, 0, 0, 1], 1000 + at as u16).into(),
        region: format!("r{}", at % 3),
    };
    Roster {
        version: 1,
        members: (0..size).map(member).collect(),
    }
}

fn at(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl Fleet {
    pub fn new(size: usize, seed: u64) -> Self {
        Self::with(size, seed, |_| {})
    }

    pub fn with(size: usize, seed: u64, set: fn(&mut Config)) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            count: 0,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            delay: (1, 10),
            cut: BTreeSet::new(),
            paused: vec![Duration::ZERO; size],
            processes: (0..size).map(|_| None).collect(),
            roster: roster(size),
            sent_bytes: 0,
            sent: 0,
            events: 0,
            changes: Vec::new(),
            set,
            starts: 1000,
            process_count: 0,
        };
        (0..size).for_each(|who| fleet.start(who));
        fleet
    }

    pub fn start(&mut self, who: usize) {
        self.starts += 1;
        self.process_count += 1;
        let mut config = Config::new(&format!("p{who}"), self.starts, self.roster.clone());
        (self.set)(&mut config);
        let core = Core::new(config, self.rng.random()).unwrap();
        let (start, process_number, since) = (self.starts, self.process_count, self.now);
        self.processes[who] = Some(Process {
            core,
            start,
            process_number,
            since,
            facts: Vec::new(),
        });
        self.tell(who, Event::Start);
    }

    /// Starts with a clock that was set back, further each time.
    pub fn start_behind(&mut self, who: usize) {
        let starts = self.starts;
        self.starts = 900 - self.process_count;
        self.start(who);
        self.starts = starts;
    }

    pub fn kill(&mut self, who: usize) {
        self.processes[who] = None;
    }

    pub fn core(&self, who: usize) -> (&Core, Duration) {
        let process = self.processes[who].as_ref().unwrap();
        (&process.core, self.now - process.since)
    }

    /// Partitions the fleet into groups.
    pub fn split(&mut self, group: impl Fn(usize) -> usize) {
        let size = self.processes.len();
        let pairs = (0..size).flat_map(|a| (0..size).map(move |b| (a, b)));
        self.cut = pairs.filter(|(a, b)| group(*a) != group(*b)).collect();
    }

    fn push(&mut self, at: Duration, who: usize, delivery: Delivery) {
        self.count += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(delivery);
        self.queue.push(Reverse((at, self.count, who, slot)));
    }

    pub fn tell(&mut self, who: usize, event: Event<'_>) {
        let Some(process) = &mut self.processes[who] else {
            return;
        };
        let mut actions = Vec::new();
        self.events += 1;
        process
            .core
            .handle(self.now - process.since, event, &mut actions);
        let process_number = process.process_number;
        let mut start = process.start;
        for action in actions {
            match action {
                Action::Send { to, bytes, .. } => {
                    assert!(bytes.len() <= DATAGRAM_BYTES);
                    let to = at(&to);
                    self.sent_bytes += bytes.len() as u64;
                    self.sent += 1;
                    if self.rng.random_bool(self.loss) || self.cut.contains(&(who, to)) {
                        continue;
                    }
                    let after = ms(self.rng.random_range(self.delay.0..=self.delay.1));
                    self.push(
                        self.now + after,
                        to,
                        Delivery::Datagram {
                            from: who,
                            start,
                            bytes,
                        },
                    );
                }
                Action::Timer { after, token } => {
                    self.push(
                        self.now + after,
                        who,
                        Delivery::Timer {
                            process_number,
                            token,
                        },
                    );
                }
                Action::MemberChanged(name, status) => {
                    self.changes.push((self.now, who, at(&name), status))
                }
                Action::FactReceived(fact) => {
                    self.processes[who].as_mut().unwrap().facts.push(fact)
                }
                Action::QuorumStateChanged(_) => {}
                Action::IncarnationRenewed(later) => {
                    assert!(later > start);
                    start = later;
                    self.processes[who].as_mut().unwrap().start = later;
                }
                Action::PublishRejected(error) => panic!("{error}"),
                Action::RosterRejected(error) => panic!("{error}"),
            }
        }
    }

    pub fn run(&mut self, until: Duration) {
        self.run_with(until, |_| {});
    }

    /// Runs, and calls `look` after each moment at which something happened.
    pub fn run_with(&mut self, until: Duration, mut look: impl FnMut(&Self)) {
        while let Some(Reverse((at, count, who, slot))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            if at > self.now {
                look(self);
                self.now = at;
            }
            if self.paused[who] > at && self.processes[who].is_some() {
                self.queue
                    .push(Reverse((self.paused[who], count, who, slot)));
                continue;
            }
            self.free.push(slot);
            let delivery = self.slots[slot].take().unwrap();
            let Some(process_number) = self.processes[who]
                .as_ref()
                .map(|process| process.process_number)
            else {
                continue;
            };
            match delivery {
                Delivery::Datagram { from, start, bytes } => {
                    self.tell(
                        who,
                        Event::Datagram {
                            from: &format!("p{from}"),
                            incarnation: start,
                            bytes: &bytes,
                        },
                    );
                }
                Delivery::Timer {
                    process_number: of,
                    token,
                } if of == process_number => self.tell(who, Event::Timer(token)),
                Delivery::Timer { .. } => {}
            }
        }
        self.now = until;
    }

    pub fn status(&self, who: usize, of: usize) -> Status {
        let (core, now) = self.core(who);
        let name = format!("p{of}");
        core.view(now)
            .members
            .iter()
            .find(|member| member.name == name)
            .unwrap()
            .status
    }

    pub fn count(&self, who: usize, status: Status) -> usize {
        let (core, now) = self.core(who);
        core.view(now)
            .members
            .iter()
            .filter(|member| member.status == status)
            .count()
    }
}
