//! A record server's machine.
//!
//! Requests in work share the cores evenly, each at most one core; further ones wait in their order, and beyond the
//! waiting room they are rejected unseen. The sharing is exact: time is kept as service attained by each request in
//! work, so that arrivals and departures cost the logarithm of their number and no step of time is needed.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// The capacity of a server, with times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Cores.
    pub cores: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that may wait.
    pub room: usize,
    /// Part of its efficiency that is lost with all slots taken; none is with no more than it has cores.
    pub crowding: f64,
    /// A start begins at this part of its capacity, which grows evenly to the whole over `warm_after`.
    pub cold: f64,
    /// Time from a start to full capacity.
    pub warm_after: Micros,
    /// More work within that time than so many times what a cold server can do in it makes it collapse.
    pub tip: f64,
    /// Length of the window in which work adds up.
    pub tip_after: Micros,
    /// Whether it does collapse; else it goes on, and only whoever counts sees what it was sent.
    pub falls: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            cores: 4.0,
            slots: 16,
            room: 64,
            crowding: 0.2,
            cold: 0.15,
            warm_after: 18_000_000,
            tip: 2.0,
            tip_after: 1_500_000,
            falls: true,
        }
    }
}

/// What happens to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A request arrives, with its work in microseconds of a core.
    Arrive {
        /// The driver's name for it.
        id: u64,
        /// Its work.
        work: Micros,
    },
    /// A wake-up that was asked for.
    Wake {
        /// The number that was given with it.
        number: u64,
    },
    /// It is so many times as slow as usual, from now on.
    Slow(f64),
    /// It takes requests and answers none; what it holds goes on and is told to nobody.
    Hang(bool),
    /// It dies: nothing that it holds is ever answered.
    Die,
    /// It starts, cold.
    Start,
}

/// What follows for whoever drives the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request's work is done.
    Done(u64),
    /// Its work is done, and nobody hears of it.
    Untold(u64),
    /// Turned away unseen.
    Full(u64),
    /// Gone with the server: it may have run, or part of it.
    Lost(u64),
    /// To be woken then, by that number; a later one of these replaces it.
    WakeAt(Micros, u64),
    /// Overrun while it was cold: it is dead from now on.
    Collapsed,
}

/// Service attained, in nanoseconds of a core: finer than time, so that shares add up.
type Service = u64;

/// A record server's machine.
#[derive(Clone, Debug)]
pub struct Server {
    set: Settings,
    up: bool,
    hung: bool,
    slow: f64,
    started: Option<Micros>,
    now: Micros,
    /// What each request in work has attained since it began, counted from the server's start.
    attained: f64,
    /// In work: attained at which it is done, and which it is.
    work: BinaryHeap<Reverse<(Service, u64)>>,
    waiting: VecDeque<(u64, Micros)>,
    wake: u64,
    /// Work that came in windows of a tenth of `tip_after`.
    windows: VecDeque<f64>,
    window_start: Micros,
    /// Requests done since the beginning.
    pub served: u64,
}

/// While a server is cold its capacity is taken anew this often.
const WARMING: Micros = 50_000;
const WINDOWS: usize = 10;

impl Server {
    /// Warm, as if it had run for long.
    pub fn new(set: Settings) -> Server {
        Server {
            set,
            up: true,
            hung: false,
            slow: 1.0,
            started: None,
            now: 0,
            attained: 0.0,
            work: BinaryHeap::new(),
            waiting: VecDeque::new(),
            wake: 0,
            windows: VecDeque::new(),
            window_start: 0,
            served: 0,
        }
    }

    /// Its process runs.
    pub fn up(&self) -> bool {
        self.up
    }

    /// It takes requests and answers none.
    pub fn hung(&self) -> bool {
        self.hung
    }

    /// In work and waiting.
    pub fn held(&self) -> usize {
        self.work.len() + self.waiting.len()
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Part of its full capacity that it has now.
    pub fn capacity(&self, now: Micros) -> f64 {
        let warm = match self.started {
            None => 1.0,
            Some(at) => {
                let part = now.saturating_sub(at) as f64 / self.set.warm_after.max(1) as f64;
                (self.set.cold + (1.0 - self.set.cold) * part).min(1.0)
            }
        };
        warm / self.slow.max(1e-9)
    }

    /// Cores' worth of work that it does with so many requests in work.
    fn power(&self, now: Micros, in_work: usize) -> f64 {
        let Settings {
            cores,
            slots,
            crowding,
            ..
        } = self.set;
        let over = (in_work as f64 - cores).max(0.0) / (slots as f64 - cores).max(1.0);
        cores.min(in_work as f64) * (1.0 - crowding * over.min(1.0)) * self.capacity(now)
    }

    /// What one request in work attains in a microsecond, as a part of a core.
    fn rate(&self, now: Micros) -> f64 {
        let in_work = self.work.len();
        if in_work == 0 {
            0.0
        } else {
            self.power(now, in_work) / in_work as f64
        }
    }

    /// Applies an event and appends what follows from it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.advance(now.max(self.now), actions);
        match event {
            Event::Arrive { id, work } => self.arrive(id, work, actions),
            Event::Wake { number } if number != self.wake => return,
            Event::Wake { .. } => {}
            Event::Slow(times) => self.slow = times,
            Event::Hang(hung) => self.hung = hung,
            Event::Die => self.die(actions),
            Event::Start => {
                self.die(actions);
                (self.up, self.hung, self.started) = (true, false, Some(self.now));
                self.windows.clear();
                self.window_start = self.now;
            }
        }
        self.fill();
        self.ask_wake(actions);
    }

    fn arrive(&mut self, id: u64, work: Micros, actions: &mut Vec<Action>) {
        if !self.up {
            actions.push(Action::Lost(id));
            return;
        }
        if self.overrun(work) && self.set.falls {
            actions.push(Action::Collapsed);
            actions.push(Action::Lost(id));
            self.die(actions);
            return;
        }
        if self.work.len() < self.set.slots {
            self.begin(id, work);
        } else if self.waiting.len() < self.set.room {
            self.waiting.push_back((id, work));
        } else {
            actions.push(Action::Full(id));
        }
    }

    fn begin(&mut self, id: u64, work: Micros) {
        let done = self.attained + work as f64;
        self.work
            .push(Reverse(((done * 1e3).round() as Service, id)));
    }

    fn fill(&mut self) {
        while self.work.len() < self.set.slots {
            let Some((id, work)) = self.waiting.pop_front() else {
                return;
            };
            self.begin(id, work);
        }
    }

    /// Goes on to a time, and through every departure on the way: each changes what the others attain.
    fn advance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(&Reverse((done, id))) = self.work.peek() {
            let rate = self.rate(self.now);
            let left = (done as f64 / 1e3 - self.attained).max(0.0);
            let span = if rate > 0.0 {
                (left / rate).ceil()
            } else {
                f64::INFINITY
            };
            if !self.up || span > (now - self.now) as f64 {
                break;
            }
            self.now += span as Micros;
            // No further than the request itself: rounding to whole microseconds gives nothing away.
            self.attained = done as f64 / 1e3;
            self.work.pop();
            self.served += 1;
            actions.push(if self.hung {
                Action::Untold(id)
            } else {
                Action::Done(id)
            });
            self.fill();
        }
        self.attained += self.rate(self.now) * (now - self.now) as f64;
        self.now = now;
    }

    fn ask_wake(&mut self, actions: &mut Vec<Action>) {
        let Some(&Reverse((done, _))) = self.work.peek() else {
            return;
        };
        let rate = self.rate(self.now);
        if rate <= 0.0 {
            return;
        }
        let left = (done as f64 / 1e3 - self.attained).max(0.0);
        let mut span = (left / rate).ceil().clamp(1.0, 1e15) as Micros;
        // What it can do grows meanwhile.
        if self
            .started
            .is_some_and(|at| self.now - at < self.set.warm_after)
        {
            span = span.min(WARMING);
        }
        self.wake += 1;
        actions.push(Action::WakeAt(self.now + span, self.wake));
    }

    /// Whether so much more work can come now and a cold server still has this part of its budget to spare.
    pub fn bears(&self, now: Micros, more: f64, spare: f64) -> bool {
        let Some(at) = self
            .started
            .filter(|at| now.saturating_sub(*at) < self.set.warm_after)
        else {
            return true;
        };
        let length = (self.set.tip_after / WINDOWS as u64).max(1);
        let passed = if now < at {
            0
        } else {
            (now.saturating_sub(self.window_start) / length) as usize
        };
        let gone = (self.windows.len() + passed).saturating_sub(WINDOWS);
        let came: f64 = self.windows.iter().skip(gone).sum();
        let could = self.capacity(now) * self.set.cores * self.set.tip_after as f64;
        came + more <= self.set.tip * could * (1.0 - spare)
    }

    /// Whether a cold server has been sent more than it bears, this request included.
    fn overrun(&mut self, work: Micros) -> bool {
        let Some(at) = self.started else { return false };
        if self.now - at >= self.set.warm_after {
            self.started = None;
            return false;
        }
        let length = (self.set.tip_after / WINDOWS as u64).max(1);
        let windows = (self.now - self.window_start) / length;
        if windows > 0 {
            self.window_start += windows * length;
            for _ in 0..windows.min(WINDOWS as u64) {
                self.windows.push_back(0.0);
            }
        }
        if self.windows.is_empty() {
            self.windows.push_back(0.0);
        }
        while self.windows.len() > WINDOWS {
            self.windows.pop_front();
        }
        if let Some(last) = self.windows.back_mut() {
            *last += work as f64;
        }
        // A budget: a burst right after the start can spend it before the time has passed.
        let came: f64 = self.windows.iter().sum();
        let could = self.capacity(self.now) * self.set.cores * self.set.tip_after as f64;
        came > self.set.tip * could
    }

    fn die(&mut self, actions: &mut Vec<Action>) {
        let lost = self
            .work
            .drain()
            .map(|Reverse((_, id))| id)
            .chain(self.waiting.drain(..).map(|(id, _)| id));
        actions.extend(lost.map(Action::Lost));
        (self.up, self.hung) = (false, false);
        self.wake += 1;
    }
}
