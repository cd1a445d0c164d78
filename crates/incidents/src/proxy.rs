//! Proxy with the real availability and drain models and its attempts in flight.

use crate::script::{Behaviour, Incident, PLACES};
use crate::world::{Reach, World};
use crate::Time;
use availability::{AttemptOutcome, Availability, Event, LinkState, Load, RejectionCause};
use drain::{Action, Drain};
use rand::rngs::StdRng;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Typical latency of a read.
const USUAL_LATENCY: Duration = Duration::from_millis(55);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which no reads are sent to a member after a failed attempt.
const FAILED_MEMBER_BACKOFF: Duration = Duration::from_secs(1);
/// Interval at which discovery confirms the endpoint list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Fraction of the requests that are writes.
const WRITE_FRACTION: f64 = 0.06;
/// Number of open requests that exhaust a proxy's descriptors.
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
    /// End of the backoff, by server.
    backoff_until: Vec<Time>,
    pub(crate) links: Vec<LinkState>,
}

/// Attempt in flight as (end time, request number, server, result, duration).
type InFlight = (Time, u64, u32, AttemptResult, Duration);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptResult {
    Answered,
    /// A write that was served.
    Wrote,
    NoPrimary,
    /// The connection was refused.
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
                Event::Endpoint {
                    server,
                    site: place,
                    group,
                    listed: true,
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
            announce_termination: true,
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
            links: vec![LinkState::Up; usize::from(PLACES)],
        }
    }

    pub(crate) fn drain(&mut self, event: drain::Event, now: Time) {
        let mut actions = Vec::new();
        self.drain.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::AnnounceDrain => self.model.handle(now, Event::Drain),
                Action::RetractDrain => self.model.handle(now, Event::Undrain),
                Action::StopListening => self.listening = false,
                Action::StartListening => self.listening = true,
                Action::LimitDeadlines(_) | Action::AbortOutstanding | Action::Exit => {}
            }
        }
    }

    /// Sends a request in a single attempt: a write to the primary, a read to a member that is not in backoff.
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
        self.model.handle(now, Event::RequestArrived { group });
        let write = rng.random_bool(WRITE_FRACTION);
        let members = world.members(group);
        let available: Vec<u32> = members
            .clone()
            .filter(|m| self.backoff_until[*m as usize] <= now)
            .collect();
        let draw = rng.random_range(0..1_000_usize);
        let any = if available.is_empty() {
            members.start + draw as u32 % (members.end - members.start)
        } else {
            available[draw % available.len()]
        };
        let server = if write {
            world.primary(group).unwrap_or(any)
        } else {
            any
        };
        // Run times vary by the sum of two uniform random numbers.
        let scatter = 0.4 + 0.6 * (rng.random::<f64>() + rng.random::<f64>());
        let (end, duration) = match world.reach(own, server) {
            Reach::Nothing => (AttemptResult::Silent, ATTEMPT_TIMEOUT),
            Reach::Servers(Behaviour::Silent) => (AttemptResult::Silent, ATTEMPT_TIMEOUT),
            Reach::Servers(Behaviour::Dead) => (AttemptResult::Refused, Duration::from_millis(2)),
            Reach::Servers(Behaviour::NoPrimary) if write => {
                (AttemptResult::NoPrimary, USUAL_LATENCY / 8)
            }
            Reach::Servers(_) if write && world.primary(group).is_none() => {
                (AttemptResult::NoPrimary, USUAL_LATENCY / 8)
            }
            Reach::Servers(Behaviour::Answer(slower)) if write => (
                AttemptResult::Wrote,
                USUAL_LATENCY.mul_f64(slower * scatter * 2.0),
            ),
            Reach::Servers(Behaviour::Answer(slower)) => (
                AttemptResult::Answered,
                USUAL_LATENCY.mul_f64(slower * scatter),
            ),
            Reach::Servers(Behaviour::NoPrimary) => {
                (AttemptResult::Answered, USUAL_LATENCY.mul_f64(scatter))
            }
        };
        self.model.handle(now, Event::AttemptSent { group });
        self.model.handle(now, Event::ExchangeStarted { server });
        self.in_flight
            .push(Reverse((now + duration, number, server, end, duration)));
    }

    /// Completes the due attempts, runs the periodic events and returns the number of served requests.
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
            if matches!(end, AttemptResult::Wrote | AttemptResult::NoPrimary) {
                self.model.handle(
                    now,
                    Event::WriteEnded {
                        group,
                        served: end == AttemptResult::Wrote,
                    },
                );
            }
            let (outcome, answer) = match end {
                AttemptResult::Answered | AttemptResult::Wrote => {
                    (AttemptOutcome::Answered, Event::RequestServed { group })
                }
                AttemptResult::NoPrimary => (
                    AttemptOutcome::Rejected,
                    Event::RequestRejected {
                        group,
                        cause: RejectionCause::Servers,
                    },
                ),
                AttemptResult::Refused | AttemptResult::Silent => {
                    (AttemptOutcome::Failed, Event::RequestFailed { group })
                }
            };
            served += u64::from(outcome == AttemptOutcome::Answered);
            if outcome == AttemptOutcome::Failed {
                self.backoff_until[server as usize] = now + FAILED_MEMBER_BACKOFF;
            } else {
                let position = Some(world.position(server, now));
                let primary = Some(world.primary(group) == Some(server));
                self.model.handle(
                    now,
                    Event::RoleReported {
                        server,
                        position,
                        primary,
                    },
                );
            }
            self.model.handle(
                now,
                Event::ExchangeEnded {
                    server,
                    contact: end != AttemptResult::Silent,
                },
            );
            self.model.handle(
                now,
                Event::AttemptEnded {
                    group,
                    outcome,
                    elapsed: elapsed + late,
                },
            );
            self.model.handle(now, answer);
        }
        if now.as_nanos().is_multiple_of(LIST_INTERVAL.as_nanos()) {
            self.model.handle(now, Event::ListReceived);
        }
        if now.as_millis().is_multiple_of(100) {
            if let Some(server) = self.model.server_to_dial(|_| true) {
                self.model.handle(now, Event::DialStarted { server });
                if world.reach(own, server) != Reach::Nothing {
                    self.model.handle(now, Event::Contact { server });
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
