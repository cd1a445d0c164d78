//! The order of steps in which a proxy leaves service and comes back.
//!
//! A balancer notices a drain at its next health check, and acts on it after several checks. So a proxy first announces
//! the drain, waits until every balancer must have acted, and only then stops listening: no client that a balancer sends
//! finds the port closed. A drain that an operator ordered can be undone; a termination cannot.
//!
//! Events in, actions out, time as an argument; no I/O. A model checker runs it through every order of events
//! (`tests/exhaustive.rs`).
#![forbid(unsafe_code)]

use std::time::Duration;

/// Time since an origin that the caller chooses.
pub type Time = Duration;

/// The health checks of a balancer in front of the proxy, as the balancer is configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Balancer {
    /// The time between two checks.
    pub interval: Duration,
    /// The number of failed checks in a row after which the balancer takes the proxy out.
    pub fall: u32,
    /// The longest that one check takes.
    pub timeout: Duration,
}

impl Balancer {
    /// The longest time from a change to the balancer's reaction; the check before may have ended just before the change.
    pub fn detection_time(&self) -> Duration {
        self.interval * self.fall.max(1) + self.timeout
    }
}

/// How long each step of a drain takes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The balancers in front of the proxy.
    pub balancers: Vec<Balancer>,
    /// Whether a termination is announced to the balancers first. If not, new connections are accepted for `accept_after_stop`.
    pub announce_termination: bool,
    /// How long new connections are accepted after a termination that is not announced.
    pub accept_after_stop: Duration,
    /// From the end of the announcement, the time after which outstanding requests are aborted.
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

/// What happens to the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An operator takes the proxy out of service.
    Drain,
    /// An operator puts the proxy back into service.
    Undrain,
    /// The process has to end.
    Terminate,
    /// Whether no request is outstanding and no client connected. It is also reported after each
    /// [`Action::StopListening`].
    IdleChanged(bool),
    /// Time has passed.
    Tick,
}

/// What the host of the state machine has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Answer health checks with "draining".
    AnnounceDrain,
    /// Answer health checks as before the announcement.
    RetractDrain,
    /// Accept new connections again.
    StartListening,
    /// Accept the connections that wait in the backlog and no others, and close each connection once no request is
    /// outstanding on it. The proxy may not be idle any more: [`Event::IdleChanged`] has to be reported again.
    StopListening,
    /// Give no request that arrives from now on a deadline after this.
    LimitDeadlines(Time),
    /// Tell the clients of all outstanding requests that no response will come.
    AbortOutstanding,
    /// End the process.
    Exit,
}

/// The step that a drain has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// In service.
    Serving,
    /// The drain is announced; new connections are still accepted.
    Announced {
        /// When the balancers have reacted.
        until: Time,
        /// Whether the process ends after the drain.
        terminating: bool,
    },
    /// Out of service until an operator puts the proxy back.
    Drained,
    /// Terminating without an announcement; new connections are still accepted.
    StillAccepting {
        /// When the proxy stops listening.
        until: Time,
    },
    /// Terminating; outstanding requests are completed.
    Closing,
    /// The process has been told to exit.
    Finished,
}

/// The state machine of one proxy's drain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Drain {
    settings: Settings,
    phase: Phase,
    now: Time,
    idle: bool,
    /// When the process ends at the latest; set by a termination.
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

    /// Sets other settings. The times of a drain under way stay as they are.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// The step that the drain has reached.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether health checks are answered with "draining".
    pub fn is_announced(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Whether the process is to end.
    pub fn is_terminating(&self) -> bool {
        self.exit_deadline.is_some()
    }

    /// When [`Event::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let step = match self.phase {
            Phase::Announced { until, .. } | Phase::StillAccepting { until } => Some(until),
            Phase::Serving | Phase::Drained | Phase::Closing | Phase::Finished => None,
        };
        let exit = self.exit_deadline.filter(|_| self.phase != Phase::Finished);
        step.into_iter().chain(exit).min()
    }

    /// Handles one event. Time does not run backwards: an earlier `now` counts as the latest one seen.
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

    /// The first phase of a termination that begins now, and when the process ends at the latest.
    fn termination(&self) -> (Phase, Time) {
        let (now, settings) = (self.now, &self.settings);
        let announced = |until| Phase::Announced {
            until,
            terminating: true,
        };
        match self.phase {
            // The time since an earlier announcement counts.
            Phase::Announced { until, .. } if settings.announce_termination => {
                (announced(until), until.max(now) + settings.drain_timeout)
            }
            Phase::Drained => (Phase::Closing, now + settings.drain_timeout),
            _ if settings.announce_termination && settings.detection_time() > Duration::ZERO => {
                let until = now + settings.detection_time();
                (announced(until), until + settings.drain_timeout)
            }
            _ => {
                // A listener that closes only with the process resets the connections in its backlog.
                let until = now + settings.accept_after_stop.min(settings.drain_timeout);
                (
                    Phase::StillAccepting { until },
                    now + settings.drain_timeout,
                )
            }
        }
    }

    /// Connections in the backlog are still accepted, so the proxy counts as busy until it is reported idle again.
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
