//! How a proxy leaves service and comes back.
//!
//! Balancers learn of a drain at their next check, and believe it after so many. So a proxy that goes says so first,
//! waits until every balancer must have heard, and stops listening only then: no client that a balancer sends finds
//! the door closed. Told by an operator it may come back; told to end it does not.
//!
//! Events in, actions out; time is an argument. The model checker runs it through every order of events (see the
//! tests).

use std::time::Duration;

pub type Time = Duration;

/// A balancer in front, as its own configuration says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Balancer {
    /// Between two of its checks.
    pub interval: Duration,
    /// Checks in a row that it takes to believe one.
    pub fall: u32,
    /// How long a check of it may take.
    pub timeout: Duration,
}

impl Balancer {
    /// Until it has heard of a change, and believed it: the first check may have been a moment ago.
    pub fn hears_within(&self) -> Duration {
        self.interval * self.fall.max(1) + self.timeout
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Settings {
    pub balancers: Vec<Balancer>,
    /// Told to end, the drain is announced first; else new connections are taken for `linger` and no longer.
    pub announce_end: bool,
    pub linger: Duration,
    /// From the end of the announcement, what is still owed is given up after this.
    pub give_up: Duration,
}

impl Settings {
    /// Until the slowest balancer has heard.
    pub fn wait(&self) -> Duration {
        self.balancers
            .iter()
            .map(Balancer::hears_within)
            .max()
            .unwrap_or_default()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An operator wants it out of service.
    Drain,
    Undrain,
    /// It is to end for good.
    Terminate,
    /// Nothing is owed and no client is left, or there is again. Also told after each [`Action::StopListening`].
    Settled(bool),
    /// Time has passed.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Whoever asks is told that it drains.
    Announce,
    /// It is told no longer.
    Retract,
    /// New connections are taken again.
    Listen,
    /// No new connections but those that wait already; those that are there go as soon as nothing is owed on them. What was
    /// settled before may not be any more: it has to be told again.
    StopListening,
    /// No request that comes from now on may have time beyond this.
    EndsAt(Time),
    /// Whoever is still owed an answer is told that none comes.
    GiveUp,
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Serving,
    /// Told to whoever asks; still serving whoever comes.
    Announced {
        until: Time,
        ending: bool,
    },
    /// Out of service, until an operator says otherwise.
    Drained,
    /// Told to end; new connections may still come.
    Lingering {
        until: Time,
    },
    Closing,
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Drain {
    set: Settings,
    phase: Phase,
    now: Time,
    settled: bool,
    /// When it ends whatever is owed, once it is told to end.
    end: Option<Time>,
}

impl Drain {
    pub fn new(set: Settings, now: Time) -> Drain {
        Drain {
            set,
            phase: Phase::Serving,
            now,
            settled: true,
            end: None,
        }
    }

    /// Other settings; what is under way goes on by the old ones.
    pub fn configure(&mut self, set: Settings) {
        self.set = set;
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// It tells whoever asks that it drains.
    pub fn announced(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// It ends for good.
    pub fn ending(&self) -> bool {
        self.end.is_some()
    }

    /// When it has to be told that time has passed.
    pub fn due(&self) -> Option<Time> {
        let step = match self.phase {
            Phase::Announced { until, .. } | Phase::Lingering { until } => Some(until),
            Phase::Serving | Phase::Drained | Phase::Closing | Phase::Over => None,
        };
        let end = self.end.filter(|_| self.phase != Phase::Over);
        step.into_iter().chain(end).min()
    }

    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Settled(settled) => self.settled = settled,
            Event::Tick => {}
            Event::Drain => {
                if self.phase == Phase::Serving {
                    actions.push(Action::Announce);
                    self.phase = Phase::Announced {
                        until: self.now + self.set.wait(),
                        ending: false,
                    };
                }
            }
            Event::Undrain => match self.phase {
                // What has been told to end ends.
                _ if self.ending() => {}
                Phase::Announced { .. } => {
                    actions.push(Action::Retract);
                    self.phase = Phase::Serving;
                }
                Phase::Drained => {
                    actions.extend([Action::Listen, Action::Retract]);
                    self.phase = Phase::Serving;
                }
                _ => {}
            },
            Event::Terminate => self.terminate(actions),
        }
        self.step(actions);
    }

    fn terminate(&mut self, actions: &mut Vec<Action>) {
        if self.ending() {
            return;
        }
        let (now, set) = (self.now, &self.set);
        let (phase, end) = match self.phase {
            // What balancers were told before counts.
            Phase::Announced { until, .. } if set.announce_end => (
                Phase::Announced {
                    until,
                    ending: true,
                },
                until.max(now) + set.give_up,
            ),
            Phase::Drained => (Phase::Closing, now + set.give_up),
            _ if set.announce_end && set.wait() > Duration::ZERO => {
                let until = now + set.wait();
                (
                    Phase::Announced {
                        until,
                        ending: true,
                    },
                    until + set.give_up,
                )
            }
            // A listener that is closed before the end refuses who still waits there.
            _ => (
                Phase::Lingering {
                    until: now + set.linger.min(set.give_up),
                },
                now + set.give_up,
            ),
        };
        if self.phase == Phase::Serving {
            actions.push(Action::Announce);
        }
        actions.push(Action::EndsAt(end));
        (self.phase, self.end) = (phase, Some(end));
    }

    /// Whoever waits at the listener is still taken. So it ends only once it is told anew that nothing is owed.
    fn stop_listening(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::StopListening);
        self.settled = false;
    }

    /// What time and an empty house bring about.
    fn step(&mut self, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Announced { until, ending } if self.now >= until => {
                self.stop_listening(actions);
                self.phase = if ending {
                    Phase::Closing
                } else {
                    Phase::Drained
                };
            }
            Phase::Lingering { until } if self.now >= until => {
                self.stop_listening(actions);
                self.phase = Phase::Closing;
            }
            _ => {}
        }
        if self.phase == Phase::Over {
            return;
        }
        let late = self.end.is_some_and(|end| self.now >= end);
        if late && !self.settled {
            actions.push(Action::GiveUp);
        }
        if late || self.phase == Phase::Closing && self.settled {
            actions.push(Action::End);
            self.phase = Phase::Over;
        }
    }
}

#[cfg(test)]
mod tests;
