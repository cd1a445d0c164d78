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
        self.balancers.iter().map(Balancer::hears_within).max().unwrap_or_default()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An operator wants it out of service.
    Drain,
    Undrain,
    /// It is to end for good.
    Terminate,
    /// Nothing is owed and no client is left, or there is again.
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
    /// No new connections; those that are there go as soon as nothing is owed on them.
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
        Drain { set, phase: Phase::Serving, now, settled: true, end: None }
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
                    self.phase = Phase::Announced { until: self.now + self.set.wait(), ending: false };
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
            Phase::Announced { until, .. } if set.announce_end => {
                (Phase::Announced { until, ending: true }, until.max(now) + set.give_up)
            }
            Phase::Drained => (Phase::Closing, now + set.give_up),
            _ if set.announce_end && set.wait() > Duration::ZERO => {
                let until = now + set.wait();
                (Phase::Announced { until, ending: true }, until + set.give_up)
            }
            _ => (Phase::Lingering { until: now + set.linger }, now + set.give_up),
        };
        if self.phase == Phase::Serving {
            actions.push(Action::Announce);
        }
        actions.push(Action::EndsAt(end));
        (self.phase, self.end) = (phase, Some(end));
    }

    /// What time and an empty house bring about.
    fn step(&mut self, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Announced { until, ending } if self.now >= until => {
                actions.push(Action::StopListening);
                self.phase = if ending { Phase::Closing } else { Phase::Drained };
            }
            Phase::Lingering { until } if self.now >= until => {
                actions.push(Action::StopListening);
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
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);
    const MS: Duration = Duration::from_millis(1);

    fn acts(drain: &mut Drain, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        drain.handle(now, event, &mut actions);
        actions
    }

    fn settings() -> Settings {
        let balancer = |interval, fall| Balancer { interval, fall, timeout: 500 * MS };
        Settings {
            balancers: vec![balancer(2 * S, 3), balancer(5 * S, 1)],
            announce_end: true,
            linger: 500 * MS,
            give_up: 3 * S,
        }
    }

    #[test]
    fn the_slowest_balancer_is_waited_for() {
        let mut drain = Drain::new(settings(), Time::ZERO);
        assert_eq!(acts(&mut drain, S, Event::Drain), [Action::Announce]);
        assert_eq!(drain.due(), Some(S + 6_500 * MS));
        assert_eq!(acts(&mut drain, 7 * S, Event::Tick), []);
        assert_eq!(acts(&mut drain, 7_500 * MS, Event::Tick), [Action::StopListening]);
        assert_eq!(drain.phase(), Phase::Drained);
        assert_eq!(acts(&mut drain, 9 * S, Event::Undrain), [Action::Listen, Action::Retract]);
        assert_eq!(drain.phase(), Phase::Serving);
    }

    /// The platform's way, to the letter: listening goes on for a while, and the end comes when all is answered.
    #[test]
    fn without_balancers_the_end_is_as_it_was() {
        let set = Settings { linger: 500 * MS, give_up: 3_600 * MS, ..Settings::default() };
        let mut drain = Drain::new(set, Time::ZERO);
        let told = acts(&mut drain, S, Event::Terminate);
        assert_eq!(told, [Action::Announce, Action::EndsAt(4_600 * MS)]);
        assert_eq!(acts(&mut drain, S, Event::Settled(false)), []);
        assert_eq!(acts(&mut drain, 1_500 * MS, Event::Tick), [Action::StopListening]);
        assert_eq!(acts(&mut drain, 2 * S, Event::Settled(true)), [Action::End]);
    }

    #[test]
    fn what_is_owed_at_the_end_is_given_up() {
        let mut drain = Drain::new(Settings { give_up: S, ..Settings::default() }, Time::ZERO);
        acts(&mut drain, Time::ZERO, Event::Settled(false));
        acts(&mut drain, Time::ZERO, Event::Terminate);
        assert_eq!(acts(&mut drain, S, Event::Tick), [Action::GiveUp, Action::End]);
        assert_eq!(drain.due(), None);
        assert_eq!(acts(&mut drain, 2 * S, Event::Undrain), []);
    }

    #[test]
    fn an_end_in_the_middle_of_a_drain_keeps_what_was_announced() {
        let mut drain = Drain::new(settings(), Time::ZERO);
        acts(&mut drain, Time::ZERO, Event::Drain);
        assert_eq!(acts(&mut drain, 2 * S, Event::Terminate), [Action::EndsAt(9_500 * MS)]);
        assert_eq!(acts(&mut drain, 3 * S, Event::Undrain), [], "it has been told to end");
        assert_eq!(acts(&mut drain, 6_500 * MS, Event::Tick), [Action::StopListening, Action::End]);
    }
}
