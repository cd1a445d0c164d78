//! Machine of a record server.
//!
//! Running requests share the cores evenly, each with at most one core. Further requests wait in a FIFO queue; when
//! the queue is full, they are rejected without processing. Processor sharing is exact: the model tracks the service
//! attained per running request, so that an arrival or departure costs O(log n) and no time steps are needed.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Capacity of a server, with times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Number of cores.
    pub cores: f64,
    /// Maximum number of running requests.
    pub slots: usize,
    /// Maximum number of waiting requests.
    pub room: usize,
    /// Fraction of the efficiency lost when all slots are taken; nothing is lost with at most one request per core.
    pub crowding: f64,
    /// Fraction of the full capacity at start, which grows linearly to 1 over `warm_after`.
    pub cold: f64,
    /// Time from a start to full capacity.
    pub warm_after: Micros,
    /// A cold server collapses when the work that arrives within `tip_after` exceeds its capacity by this factor.
    pub tip: f64,
    /// Length of the sliding window over which arriving work is summed.
    pub tip_after: Micros,
    /// Whether an overrun cold server collapses; otherwise it continues to run.
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

/// Input to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A request arrives, with its work in microseconds of a core.
    Arrive {
        /// The driver's identifier of the request.
        id: u64,
        /// Work in microseconds of a core.
        work: Micros,
    },
    /// A wake-up requested with [`Action::WakeAt`].
    Wake {
        /// Number of the wake-up.
        number: u64,
    },
    /// The server runs slower by this factor from now on.
    Slow(f64),
    /// The server hangs or recovers: a hanging server accepts requests and runs them, but sends no responses.
    Hang(bool),
    /// The server dies; its running and waiting requests are never answered.
    Die,
    /// The server starts cold.
    Start,
}

/// Output of a server for its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request's work is done.
    Done(u64),
    /// The request's work is done, but no response is sent because the server hangs.
    Unanswered(u64),
    /// The request is rejected without processing because the queue is full.
    Full(u64),
    /// The request is lost because the server died; it may have run in part or in full.
    Lost(u64),
    /// Requests [`Event::Wake`] at this time with this number; a later request replaces it.
    WakeAt(Micros, u64),
    /// The server was overrun while cold and has died.
    Collapsed,
}

/// Attained service in nanoseconds of a core; finer than [`Micros`], which limits rounding errors of the shares.
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
    /// Service, in microseconds of a core, that a request running since the server's creation would have attained.
    attained: f64,
    /// Running requests as (value of `attained` at completion, identifier).
    work: BinaryHeap<Reverse<(Service, u64)>>,
    waiting: VecDeque<(u64, Micros)>,
    wake: u64,
    /// Arrived work per window of a tenth of `tip_after`.
    windows: VecDeque<f64>,
    window_start: Micros,
    /// Number of completed requests.
    pub served: u64,
}

/// Interval in microseconds at which the capacity of a cold server is updated.
const CAPACITY_UPDATE_INTERVAL: Micros = 50_000;
const WINDOW_COUNT: usize = 10;

impl Server {
    /// Server that runs and is warm.
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

    /// Whether its process runs.
    pub fn up(&self) -> bool {
        self.up
    }

    /// Whether it accepts requests without answering them.
    pub fn hung(&self) -> bool {
        self.hung
    }

    /// Number of running and waiting requests.
    pub fn held(&self) -> usize {
        self.work.len() + self.waiting.len()
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Present capacity as a fraction of the full capacity.
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

    /// Throughput in cores with this number of running requests.
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

    /// Service per microsecond that each running request attains, in cores.
    fn rate(&self, now: Micros) -> f64 {
        let in_work = self.work.len();
        if in_work == 0 {
            0.0
        } else {
            self.power(now, in_work) / in_work as f64
        }
    }

    /// Applies an event and appends the resulting actions.
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
        self.schedule_wake(actions);
    }

    fn arrive(&mut self, id: u64, work: Micros, actions: &mut Vec<Action>) {
        if !self.up {
            actions.push(Action::Lost(id));
            return;
        }
        if self.record_and_check_overrun(work) && self.set.falls {
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

    /// Advances to a time, stopping at every departure, since each one changes the rate of the remaining requests.
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
            // Not beyond the completed request: rounding up to whole microseconds must not add service.
            self.attained = done as f64 / 1e3;
            self.work.pop();
            self.served += 1;
            actions.push(if self.hung {
                Action::Unanswered(id)
            } else {
                Action::Done(id)
            });
            self.fill();
        }
        self.attained += self.rate(self.now) * (now - self.now) as f64;
        self.now = now;
    }

    fn schedule_wake(&mut self, actions: &mut Vec<Action>) {
        let Some(&Reverse((done, _))) = self.work.peek() else {
            return;
        };
        let rate = self.rate(self.now);
        if rate <= 0.0 {
            return;
        }
        let left = (done as f64 / 1e3 - self.attained).max(0.0);
        let mut span = (left / rate).ceil().clamp(1.0, 1e15) as Micros;
        // The capacity grows during the warm-up.
        if self
            .started
            .is_some_and(|at| self.now - at < self.set.warm_after)
        {
            span = span.min(CAPACITY_UPDATE_INTERVAL);
        }
        self.wake += 1;
        actions.push(Action::WakeAt(self.now + span, self.wake));
    }

    /// Whether the server can take `more` work now; a cold server must keep the fraction `spare` of its budget free.
    pub fn has_capacity_for(&self, now: Micros, more: f64, spare: f64) -> bool {
        let Some(at) = self
            .started
            .filter(|at| now.saturating_sub(*at) < self.set.warm_after)
        else {
            return true;
        };
        let length = (self.set.tip_after / WINDOW_COUNT as u64).max(1);
        let passed = if now < at {
            0
        } else {
            (now.saturating_sub(self.window_start) / length) as usize
        };
        let gone = (self.windows.len() + passed).saturating_sub(WINDOW_COUNT);
        let came: f64 = self.windows.iter().skip(gone).sum();
        let could = self.capacity(now) * self.set.cores * self.set.tip_after as f64;
        came + more <= self.set.tip * could * (1.0 - spare)
    }

    /// Whether a cold server has received more work than it withstands, including this request.
    fn record_and_check_overrun(&mut self, work: Micros) -> bool {
        let Some(at) = self.started else { return false };
        if self.now - at >= self.set.warm_after {
            self.started = None;
            return false;
        }
        let length = (self.set.tip_after / WINDOW_COUNT as u64).max(1);
        let windows = (self.now - self.window_start) / length;
        if windows > 0 {
            self.window_start += windows * length;
            for _ in 0..windows.min(WINDOW_COUNT as u64) {
                self.windows.push_back(0.0);
            }
        }
        if self.windows.is_empty() {
            self.windows.push_back(0.0);
        }
        while self.windows.len() > WINDOW_COUNT {
            self.windows.pop_front();
        }
        if let Some(last) = self.windows.back_mut() {
            *last += work as f64;
        }
        // This is a budget: a burst right after the start can exhaust it before the window has passed.
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
