//! The order of steps in which a proxy leaves service and comes back.
//!
//! A balancer detects a drain by its health checks and reacts after several failed checks. A proxy therefore first
//! announces the drain, waits until every balancer must have reacted, and only then stops listening, so that no connection
//! from a balancer is refused. An operator can undo a drain that an operator started, but not a termination.
//!
//! The state machine takes events and the current time, and returns actions. It does no I/O. A model checker verifies it
//! for every order of events (`tests/exhaustive.rs`).
#![forbid(unsafe_code)]

use std::time::Duration;

/// Time since an origin that the caller chooses.
pub type Time = Duration;

/// The health checks of a balancer in front of the proxy, as the balancer is configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Balancer {
    /// The time between two health checks.
    pub interval: Duration,
    /// The number of consecutive failed checks after which the balancer stops sending connections to the proxy.
    pub fall: u32,
    /// The maximum duration of one check.
    pub timeout: Duration,
}

impl Balancer {
    /// The maximum time from a change to the balancer's reaction. A check may have ended just before the change.
    pub fn detection_time(&self) -> Duration {
        self.interval * self.fall.max(1) + self.timeout
    }
}

/// Settings for the duration of each step of a drain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The balancers in front of the proxy.
    pub balancers: Vec<Balancer>,
    /// Whether a termination is announced to the balancers first. If not, new connections are accepted for
    /// `accept_after_stop`.
    pub announce_termination: bool,
    /// How long new connections are accepted after a termination that is not announced.
    pub accept_after_stop: Duration,
    /// The time from the end of the announcement until outstanding requests are aborted.
    pub drain_timeout: Duration,
}

impl Settings {
    /// The time within which the slowest balancer reacts to an announcement.
    pub fn detection_time(&self) -> Duration {
        self.balancers
            .iter()
            .map(Balancer::detection_time)
            .max()
            .unwrap_or_default()
    }
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An operator takes the proxy out of service.
    Drain,
    /// An operator puts the proxy back into service.
    Undrain,
    /// The process has to terminate.
    Terminate,
    /// Whether the proxy is idle: no request is outstanding and no client is connected. Also reported after each
    /// [`Action::StopListening`].
    IdleChanged(bool),
    /// Time has passed.
    Tick,
}

/// An action that the host of the state machine has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Respond to health checks with "draining".
    AnnounceDrain,
    /// Respond to health checks as before the announcement.
    RetractDrain,
    /// Accept new connections again.
    StartListening,
    /// Accept only the connections that are already in the backlog, and close each connection once no request is
    /// outstanding on it. The proxy may no longer be idle, so [`Event::IdleChanged`] must be reported again.
    StopListening,
    /// Limit the deadline of each request that arrives from now on to this time.
    LimitDeadlines(Time),
    /// Send the clients of all outstanding requests an error instead of a response.
    AbortOutstanding,
    /// Exit the process.
    Exit,
}

/// The step that a drain has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// In service.
    Serving,
    /// The drain is announced; new connections are still accepted.
    Announced {
        /// When all balancers must have reacted.
        until: Time,
        /// Whether the process exits after the drain.
        terminating: bool,
    },
    /// Out of service until an operator puts the proxy back into service.
    Drained,
    /// Terminating without an announcement; new connections are still accepted.
    StillAccepting {
        /// When the proxy stops listening.
        until: Time,
    },
    /// Terminating; outstanding requests are completed.
    Closing,
    /// [`Action::Exit`] has been returned.
    Finished,
}

/// The state machine of one proxy's drain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Drain {
    settings: Settings,
    phase: Phase,
    now: Time,
    idle: bool,
    /// The deadline for the exit of the process; set by a termination.
    exit_deadline: Option<Time>,
}

impl Drain {
    /// A proxy in service, without clients.
    pub fn new(settings: Settings, now: Time) -> Drain {
        Drain {
            settings,
            phase: Phase::Serving,
            now,
            idle: true,
            exit_deadline: None,
        }
    }

    /// Replaces the settings. Times that a drain in progress has already set do not change.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// The step that the drain has reached.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the response to health checks is "draining".
    pub fn is_announced(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Whether a termination has begun.
    pub fn is_terminating(&self) -> bool {
        self.exit_deadline.is_some()
    }

    /// When the next [`Event::Tick`] is due, if any.
    pub fn next_deadline(&self) -> Option<Time> {
        let step = match self.phase {
            Phase::Announced { until, .. } | Phase::StillAccepting { until } => Some(until),
            Phase::Serving | Phase::Drained | Phase::Closing | Phase::Finished => None,
        };
        let exit = self.exit_deadline.filter(|_| self.phase != Phase::Finished);
        step.into_iter().chain(exit).min()
    }

    /// Handles one event and appends the resulting actions. Time does not run backwards: a `now` before the latest one seen
    /// is replaced by it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::IdleChanged(idle) => self.idle = idle,
            Event::Tick => {}
            Event::Drain => self.drain(actions),
            Event::Undrain => self.undrain(actions),
            Event::Terminate => self.terminate(actions),
        }
        self.advance_phase(actions);
        self.finish_if_due(actions);
    }

    fn drain(&mut self, actions: &mut Vec<Action>) {
        if self.phase != Phase::Serving {
            return;
        }
        actions.push(Action::AnnounceDrain);
        self.phase = Phase::Announced {
            until: self.now + self.settings.detection_time(),
            terminating: false,
        };
    }

    fn undrain(&mut self, actions: &mut Vec<Action>) {
        if self.is_terminating() {
            return;
        }
        match self.phase {
            Phase::Announced { .. } => actions.push(Action::RetractDrain),
            Phase::Drained => actions.extend([Action::StartListening, Action::RetractDrain]),
            _ => return,
        }
        self.phase = Phase::Serving;
    }

    fn terminate(&mut self, actions: &mut Vec<Action>) {
        if self.is_terminating() {
            return;
        }
        let (phase, exit_deadline) = self.termination();
        if self.phase == Phase::Serving {
            actions.push(Action::AnnounceDrain);
        }
        actions.push(Action::LimitDeadlines(exit_deadline));
        self.phase = phase;
        self.exit_deadline = Some(exit_deadline);
    }

    /// The first phase of a termination that begins now, and the deadline for the exit of the process.
    fn termination(&self) -> (Phase, Time) {
        let (now, settings) = (self.now, &self.settings);
        let announced = |until| Phase::Announced {
            until,
            terminating: true,
        };
        match self.phase {
            // The announcement of the drain is reused, including the time that has passed since.
            Phase::Announced { until, .. } if settings.announce_termination => {
                (announced(until), until.max(now) + settings.drain_timeout)
            }
            Phase::Drained => (Phase::Closing, now + settings.drain_timeout),
            _ if settings.announce_termination && settings.detection_time() > Duration::ZERO => {
                let until = now + settings.detection_time();
                (announced(until), until + settings.drain_timeout)
            }
            _ => {
                // The listener must close before the process exits: otherwise the connections in its backlog are reset.
                let until = now + settings.accept_after_stop.min(settings.drain_timeout);
                (
                    Phase::StillAccepting { until },
                    now + settings.drain_timeout,
                )
            }
        }
    }

    /// Stops listening. Connections in the backlog are still accepted, so the proxy counts as busy until it is reported idle
    /// again.
    fn stop_listening(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::StopListening);
        self.idle = false;
    }

    fn advance_phase(&mut self, actions: &mut Vec<Action>) {
        let next = match self.phase {
            Phase::Announced { until, terminating } if self.now >= until => {
                if terminating {
                    Phase::Closing
                } else {
                    Phase::Drained
                }
            }
            Phase::StillAccepting { until } if self.now >= until => Phase::Closing,
            _ => return,
        };
        self.stop_listening(actions);
        self.phase = next;
    }

    fn finish_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.phase == Phase::Finished {
            return;
        }
        let deadline_reached = self
            .exit_deadline
            .is_some_and(|deadline| self.now >= deadline);
        if deadline_reached && !self.idle {
            actions.push(Action::AbortOutstanding);
        }
        if deadline_reached || self.phase == Phase::Closing && self.idle {
            actions.push(Action::Exit);
            self.phase = Phase::Finished;
        }
    }
}

#[cfg(test)]
mod tests;
