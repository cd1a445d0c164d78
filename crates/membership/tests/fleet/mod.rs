//! A simulated fleet in virtual time: loss, delay, one-way partitions, pauses and crashes, all derived from a seed.
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
        incarnation: u64,
        bytes: Vec<u8>,
    },
    Timer {
        process_number: u64,
        token: u64,
    },
}

pub struct Process {
    pub core: Core,
    pub incarnation: u64,
    /// Unique number of the process: timers of an earlier process of the same name are dropped.
    process_number: u64,
    /// Origin of the process's own clock, in the fleet's time.
    pub started_at: Duration,
    pub facts: Vec<Fact>,
}

pub struct Fleet {
    pub now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, usize, usize)>>,
    slots: Vec<Option<Delivery>>,
    free_slots: Vec<usize>,
    count: u64,
    rng: StdRng,
    pub loss: f64,
    pub delay_ms: (u64, u64),
    /// Pairs of sender and receiver between which all datagrams are lost.
    pub blocked: BTreeSet<(usize, usize)>,
    pub paused_until: Vec<Duration>,
    pub processes: Vec<Option<Process>>,
    pub roster: Roster,
    pub sent_bytes: u64,
    pub sent_datagrams: u64,
    /// Number of events handled by all cores.
    pub events: u64,
    /// Time of the change, member that observed it, member that it concerns, new status.
    pub status_changes: Vec<(Duration, usize, usize, Status)>,
    pub configure: fn(&mut Config),
    /// Incarnation of the process that started last with a correct clock.
    pub incarnation_clock: u64,
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

fn index_of(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl Fleet {
    pub fn new(size: usize, seed: u64) -> Self {
        Self::with_config(size, seed, |_| {})
    }

    pub fn with_config(size: usize, seed: u64, configure: fn(&mut Config)) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            slots: Vec::new(),
            free_slots: Vec::new(),
            count: 0,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            delay_ms: (1, 10),
            blocked: BTreeSet::new(),
            paused_until: vec![Duration::ZERO; size],
            processes: (0..size).map(|_| None).collect(),
            roster: roster(size),
            sent_bytes: 0,
            sent_datagrams: 0,
            events: 0,
            status_changes: Vec::new(),
            configure,
            incarnation_clock: 1000,
            process_count: 0,
        };
        (0..size).for_each(|proxy| fleet.start(proxy));
        fleet
    }

    pub fn start(&mut self, proxy: usize) {
        self.incarnation_clock += 1;
        self.process_count += 1;
        let mut config = Config::new(
            &format!("p{proxy}"),
            self.incarnation_clock,
            self.roster.clone(),
        );
        (self.configure)(&mut config);
        let core = Core::new(config, self.rng.random()).unwrap();
        let (incarnation, process_number, started_at) =
            (self.incarnation_clock, self.process_count, self.now);
        self.processes[proxy] = Some(Process {
            core,
            incarnation,
            process_number,
            started_at,
            facts: Vec::new(),
        });
        self.handle_event(proxy, Event::Start);
    }

    /// Starts a process whose clock was set back, further with each start.
    pub fn start_with_clock_set_back(&mut self, proxy: usize) {
        let incarnation_clock = self.incarnation_clock;
        self.incarnation_clock = 900 - self.process_count;
        self.start(proxy);
        self.incarnation_clock = incarnation_clock;
    }

    pub fn kill(&mut self, proxy: usize) {
        self.processes[proxy] = None;
    }

    pub fn core(&self, proxy: usize) -> (&Core, Duration) {
        let process = self.processes[proxy].as_ref().unwrap();
        (&process.core, self.now - process.started_at)
    }

    /// Partitions the fleet into groups that cannot reach each other.
    pub fn partition(&mut self, group: impl Fn(usize) -> usize) {
        let size = self.processes.len();
        let pairs = (0..size).flat_map(|a| (0..size).map(move |b| (a, b)));
        self.blocked = pairs.filter(|(a, b)| group(*a) != group(*b)).collect();
    }

    fn push(&mut self, at: Duration, proxy: usize, delivery: Delivery) {
        self.count += 1;
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(delivery);
        self.queue.push(Reverse((at, self.count, proxy, slot)));
    }

    pub fn handle_event(&mut self, proxy: usize, event: Event<'_>) {
        let Some(process) = &mut self.processes[proxy] else {
            return;
        };
        let mut actions = Vec::new();
        self.events += 1;
        process
            .core
            .handle(self.now - process.started_at, event, &mut actions);
        let process_number = process.process_number;
        let mut incarnation = process.incarnation;
        for action in actions {
            match action {
                Action::Send { to, bytes, .. } => {
                    assert!(bytes.len() <= DATAGRAM_BYTES);
                    let to = index_of(&to);
                    self.sent_bytes += bytes.len() as u64;
                    self.sent_datagrams += 1;
                    if self.rng.random_bool(self.loss) || self.blocked.contains(&(proxy, to)) {
                        continue;
                    }
                    let after = ms(self.rng.random_range(self.delay_ms.0..=self.delay_ms.1));
                    self.push(
                        self.now + after,
                        to,
                        Delivery::Datagram {
                            from: proxy,
                            incarnation,
                            bytes,
                        },
                    );
                }
                Action::Timer { after, token } => {
                    self.push(
                        self.now + after,
                        proxy,
                        Delivery::Timer {
                            process_number,
                            token,
                        },
                    );
                }
                Action::MemberChanged(name, status) => {
                    self.status_changes
                        .push((self.now, proxy, index_of(&name), status))
                }
                Action::FactReceived(fact) => {
                    self.processes[proxy].as_mut().unwrap().facts.push(fact)
                }
                Action::QuorumStateChanged(_) => {}
                Action::IncarnationRenewed(later) => {
                    assert!(later > incarnation);
                    incarnation = later;
                    self.processes[proxy].as_mut().unwrap().incarnation = later;
                }
                Action::PublishRejected(error) => panic!("{error}"),
                Action::RosterRejected(error) => panic!("{error}"),
            }
        }
    }

    pub fn run(&mut self, until: Duration) {
        self.run_with(until, |_| {});
    }

    /// Runs until a time, and calls `observe` after each moment at which events occurred.
    pub fn run_with(&mut self, until: Duration, mut observe: impl FnMut(&Self)) {
        while let Some(Reverse((at, count, proxy, slot))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            if at > self.now {
                observe(self);
                self.now = at;
            }
            if self.paused_until[proxy] > at && self.processes[proxy].is_some() {
                self.queue
                    .push(Reverse((self.paused_until[proxy], count, proxy, slot)));
                continue;
            }
            self.free_slots.push(slot);
            let delivery = self.slots[slot].take().unwrap();
            let Some(process_number) = self.processes[proxy]
                .as_ref()
                .map(|process| process.process_number)
            else {
                continue;
            };
            match delivery {
                Delivery::Datagram {
                    from,
                    incarnation,
                    bytes,
                } => {
                    self.handle_event(
                        proxy,
                        Event::Datagram {
                            from: &format!("p{from}"),
                            incarnation,
                            bytes: &bytes,
                        },
                    );
                }
                Delivery::Timer {
                    process_number: of,
                    token,
                } if of == process_number => self.handle_event(proxy, Event::Timer(token)),
                Delivery::Timer { .. } => {}
            }
        }
        self.now = until;
    }

    pub fn status(&self, proxy: usize, observed: usize) -> Status {
        let (core, now) = self.core(proxy);
        let name = format!("p{observed}");
        core.view(now)
            .members
            .iter()
            .find(|member| member.name == name)
            .unwrap()
            .status
    }

    pub fn count(&self, proxy: usize, status: Status) -> usize {
        let (core, now) = self.core(proxy);
        core.view(now)
            .members
            .iter()
            .filter(|member| member.status == status)
            .count()
    }
}
