//! A proxy with the real availability and drain models, and the attempts that it has in flight.

use crate::script::{Incident, Servers, PLACES};
use crate::world::{Reach, World};
use crate::Time;
use availability::{Availability, Cause, Ended, Event, Link, Load};
use drain::{Action, Drain};
use rand::rngs::StdRng;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// What an answer takes as a rule, and how long an attempt is waited for.
const USUAL_LATENCY: Duration = Duration::from_millis(55);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A member that broke is left alone for this long.
const FAILED_MEMBER_BACKOFF: Duration = Duration::from_secs(1);
/// Discovery says this often that nothing has changed.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Part of the requests that are writes.
const WRITE_FRACTION: f64 = 0.06;
/// Requests open at a proxy that use up all its descriptors, when nothing else does.
const DESCRIPTOR_LIMIT: f64 = 120.0;

/// One proxy.
pub(crate) struct Proxy {
    pub(crate) model: Availability,
    drain: Drain,
    pub(crate) listening: bool,
    pub(crate) lag: Duration,
    pub(crate) extra_descriptors: f64,
    open: u32,
    pub(crate) stalled_until: Time,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    /// By server, until when it is left alone.
    backoff_until: Vec<Time>,
    pub(crate) links: Vec<Link>,
}

/// An attempt that is out: when it is over, its number, its server, how it ends and what it takes.
type InFlight = (Time, u64, u32, AttemptOutcome, Duration);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptOutcome {
    Answered,
    /// A write that was served, and one that found no primary.
    Wrote,
    NoPrimary,
    /// With a word of the machine, and without any.
    Refused,
    Silent,
}

impl Proxy {
    pub(crate) fn new(incident: &Incident, world: &World) -> Proxy {
        let mut model = Availability::new(availability::Settings::default(), Time::ZERO);
        for server in 0..world.servers() {
            let (place, group) = (world.place(server), world.group(server));
            model.handle(
                Time::ZERO,
                Event::Listed {
                    server,
                    place,
                    group,
                    there: true,
                },
            );
        }
        model.handle(Time::ZERO, Event::Started);
        let balancers = incident.balancers.iter().map(|b| drain::Balancer {
            interval: b.interval,
            fall: b.fall,
            timeout: Duration::from_millis(200),
        });
        let settings = drain::Settings {
            balancers: balancers.collect(),
            announce_end: true,
            ..drain::Settings::default()
        };
        Proxy {
            model,
            drain: Drain::new(settings, Time::ZERO),
            listening: true,
            lag: Duration::ZERO,
            extra_descriptors: 0.0,
            open: 0,
            stalled_until: Time::ZERO,
            in_flight: BinaryHeap::new(),
            backoff_until: vec![Time::ZERO; world.servers() as usize],
            links: vec![Link::Up; usize::from(PLACES)],
        }
    }

    pub(crate) fn drain(&mut self, event: drain::Event, now: Time) {
        let mut actions = Vec::new();
        self.drain.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Announce => self.model.handle(now, Event::Drain),
                Action::Retract => self.model.handle(now, Event::Undrain),
                Action::StopListening => self.listening = false,
                Action::Listen => self.listening = true,
                Action::EndsAt(_) | Action::GiveUp | Action::End => {}
            }
        }
    }

    /// A request, sent once: a write to the primary, a read to a member that does not rest.
    pub(crate) fn send_request(
        &mut self,
        own: usize,
        group: u32,
        number: u64,
        world: &World,
        now: Time,
        rng: &mut StdRng,
    ) {
        self.open += 1;
        self.model.handle(now, Event::Asked { group });
        let write = rng.random_bool(WRITE_FRACTION);
        let members = world.members(group);
        let rested: Vec<u32> = members
            .clone()
            .filter(|m| self.backoff_until[*m as usize] <= now)
            .collect();
        let picked = rng.random_range(0..1_000_usize);
        let any = if rested.is_empty() {
            members.start + picked as u32 % (members.end - members.start)
        } else {
            rested[picked % rested.len()]
        };
        let server = if write {
            world.primary(group).unwrap_or(any)
        } else {
            any
        };
        // Run times scatter: the sum of two uniform parts.
        let scatter = 0.4 + 0.6 * (rng.random::<f64>() + rng.random::<f64>());
        let (end, took) = match world.reach(own, server) {
            Reach::Nothing => (AttemptOutcome::Silent, ATTEMPT_TIMEOUT),
            Reach::Servers(Servers::Silent) => (AttemptOutcome::Silent, ATTEMPT_TIMEOUT),
            Reach::Servers(Servers::Dead) => (AttemptOutcome::Refused, Duration::from_millis(2)),
            Reach::Servers(Servers::NoPrimary) if write => {
                (AttemptOutcome::NoPrimary, USUAL_LATENCY / 8)
            }
            Reach::Servers(_) if write && world.primary(group).is_none() => {
                (AttemptOutcome::NoPrimary, USUAL_LATENCY / 8)
            }
            Reach::Servers(Servers::Answer(slower)) if write => (
                AttemptOutcome::Wrote,
                USUAL_LATENCY.mul_f64(slower * scatter * 2.0),
            ),
            Reach::Servers(Servers::Answer(slower)) => (
                AttemptOutcome::Answered,
                USUAL_LATENCY.mul_f64(slower * scatter),
            ),
            Reach::Servers(Servers::NoPrimary) => {
                (AttemptOutcome::Answered, USUAL_LATENCY.mul_f64(scatter))
            }
        };
        self.model.handle(now, Event::Sent { group });
        self.model.handle(now, Event::Asks { server });
        self.in_flight
            .push(Reverse((now + took, number, server, end, took)));
    }

    /// Answers and time; how many were served.
    pub(crate) fn step(&mut self, own: usize, world: &World, now: Time) -> u64 {
        let mut served = 0;
        while let Some(&Reverse((at, _, server, end, elapsed))) = self.in_flight.peek() {
            if at > now {
                break;
            }
            self.in_flight.pop();
            self.open -= 1;
            let group = world.group(server);
            let late = now.saturating_sub(at);
            if matches!(end, AttemptOutcome::Wrote | AttemptOutcome::NoPrimary) {
                self.model.handle(
                    now,
                    Event::Wrote {
                        group,
                        served: end == AttemptOutcome::Wrote,
                    },
                );
            }
            let (how, answer) = match end {
                AttemptOutcome::Answered | AttemptOutcome::Wrote => {
                    (Ended::Answered, Event::Served { group })
                }
                AttemptOutcome::NoPrimary => (
                    Ended::TurnedAway,
                    Event::Refused {
                        group,
                        cause: Cause::Servers,
                    },
                ),
                AttemptOutcome::Refused | AttemptOutcome::Silent => {
                    (Ended::Broken, Event::Failed { group })
                }
            };
            served += u64::from(how == Ended::Answered);
            if how == Ended::Broken {
                self.backoff_until[server as usize] = now + FAILED_MEMBER_BACKOFF;
            } else {
                let position = Some(world.position(server, now));
                let primary = Some(world.primary(group) == Some(server));
                self.model.handle(
                    now,
                    Event::Told {
                        server,
                        position,
                        primary,
                    },
                );
            }
            self.model.handle(
                now,
                Event::Over {
                    server,
                    word: end != AttemptOutcome::Silent,
                },
            );
            self.model.handle(
                now,
                Event::Ended {
                    group,
                    how,
                    elapsed: elapsed + late,
                },
            );
            self.model.handle(now, answer);
        }
        if now.as_nanos().is_multiple_of(LIST_INTERVAL.as_nanos()) {
            self.model.handle(now, Event::ListHeard);
        }
        if now.as_millis().is_multiple_of(100) {
            if let Some(server) = self.model.knock(|_| true) {
                self.model.handle(now, Event::Dials { server });
                if world.reach(own, server) != Reach::Nothing {
                    self.model.handle(now, Event::Word { server });
                }
            }
        }
        if now.as_millis().is_multiple_of(100) {
            let descriptors =
                (f64::from(self.open) / DESCRIPTOR_LIMIT + self.extra_descriptors).min(1.0);
            let open = f64::from(self.open) / DESCRIPTOR_LIMIT;
            self.model.handle(
                now,
                Event::Load(Load {
                    lag: self.lag,
                    open,
                    descriptors,
                    memory: 0.2,
                }),
            );
            self.drain(drain::Event::Tick, now);
        }
        served
    }
}
