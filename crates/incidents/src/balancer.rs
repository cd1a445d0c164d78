//! Stand-ins for balancers, after the public manuals: checks at an interval, rise and fall, the agent's words.

use crate::Time;
use std::time::Duration;
use wire_health::agent::{self, Administrative, Operational};
use wire_health::http::{self, Statuses};
use wire_health::Status;

/// The health protocol that a balancer uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthProtocol {
    /// HAProxy's agent check.
    Agent,
    /// `disable_on_404`: a 404 puts a server into drain and is no failure.
    Http {
        /// Whether a 404 means drain.
        disable_on_404: bool,
    },
}

/// How a balancer checks its servers.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Its name in reports.
    pub name: &'static str,
    /// The protocol of its checks.
    pub protocol: HealthProtocol,
    /// Time between two checks of one server.
    pub interval: Duration,
    /// Good checks in a row after which a server is up.
    pub rise: u32,
    /// Bad checks in a row after which a server is down.
    pub fall: u32,
}

/// A server as a balancer sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    up: bool,
    drained: bool,
    maint: bool,
    weight: u32,
    good: u32,
    bad: u32,
    next: Time,
}

/// A balancer in front of the proxies.
#[derive(Debug)]
pub struct Balancer {
    /// How it checks.
    pub settings: Settings,
    /// The proxies, as it sees them.
    pub servers: Vec<Server>,
}

/// What a balancer has come to believe of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Belief {
    /// It is sent new requests unless it is drained.
    pub up: bool,
    /// It is sent nothing new.
    pub drained: bool,
    /// Percent of the configured weight.
    pub weight: u32,
}

impl Balancer {
    /// The first checks of its servers are spread over an interval.
    pub fn new(settings: Settings, servers: usize) -> Balancer {
        let server = |at: usize| Server {
            up: true,
            drained: false,
            maint: false,
            weight: 100,
            good: 0,
            bad: 0,
            next: settings.interval * at as u32 / servers as u32,
        };
        Balancer {
            settings,
            servers: (0..servers).map(server).collect(),
        }
    }

    /// Whether the next check of a server is due.
    pub fn due(&self, server: usize, now: Time) -> bool {
        self.servers[server].next <= now
    }

    /// A check of a server, with what the server would answer; none: it says nothing.
    pub fn check(&mut self, at: usize, status: Option<&Status>, now: Time) {
        let settings = self.settings;
        let server = &mut self.servers[at];
        server.next = now + settings.interval;
        match settings.protocol {
            // An agent that can't be reached changes nothing: that is what the checks beside it are for.
            HealthProtocol::Agent => {
                if let Some(status) = status {
                    server.agent(&agent::response_line(status));
                }
            }
            HealthProtocol::Http { disable_on_404 } => {
                let code = status.map(|status| code(status, disable_on_404));
                match code {
                    Some(200..=399) => {
                        server.drained = false;
                        server.counted(true, settings);
                    }
                    Some(404) if disable_on_404 && server.up => {
                        server.drained = true;
                        server.counted(true, settings);
                    }
                    _ => server.counted(false, settings),
                }
            }
        }
    }

    /// What it believes of a server.
    pub fn belief(&self, at: usize) -> Belief {
        let Server {
            up,
            drained,
            maint,
            weight,
            ..
        } = self.servers[at];
        Belief {
            up: up && !maint,
            drained,
            weight,
        }
    }

    /// The part of its traffic that each server gets.
    pub fn shares(&self) -> Vec<f64> {
        let weights: Vec<f64> = (0..self.servers.len())
            .map(|at| match self.belief(at) {
                Belief {
                    up: true,
                    drained: false,
                    weight,
                } => f64::from(weight),
                _ => 0.0,
            })
            .collect();
        let sum: f64 = weights.iter().sum();
        weights
            .iter()
            .map(|w| if sum > 0.0 { w / sum } else { 0.0 })
            .collect()
    }
}

/// What the real codec answers, as far as a balancer reads it.
fn code(status: &Status, drain_is_404: bool) -> u16 {
    let request = b"GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n";
    let Ok(Some((check, _))) = http::parse(request) else {
        return 0;
    };
    let statuses = if drain_is_404 {
        Statuses::DrainIs404
    } else {
        Statuses::Plain
    };
    let answer = http::response(&check, status, statuses);
    let text = String::from_utf8_lossy(&answer);
    text.split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0)
}

impl Server {
    /// A server that is up, with its full weight.
    pub fn new() -> Server {
        Server {
            up: true,
            drained: false,
            maint: false,
            weight: 100,
            good: 0,
            bad: 0,
            next: Time::ZERO,
        }
    }

    fn counted(&mut self, good: bool, settings: Settings) {
        if good {
            (self.good, self.bad) = (self.good + 1, 0);
            self.up |= self.good >= settings.rise;
        } else {
            (self.good, self.bad) = (0, self.bad + 1);
            self.up &= self.bad < settings.fall;
        }
    }

    /// The administrative state and the operational one are set apart: `up` does not undo a drain.
    pub fn agent(&mut self, line: &str) {
        let words = agent::parse_response(line);
        match words.operational {
            Some(Operational::Up) => self.up = true,
            Some(Operational::Down) => self.up = false,
            None => {}
        }
        match words.administrative {
            Some(Administrative::Ready) => (self.drained, self.maint) = (false, false),
            Some(Administrative::Drain) => (self.drained, self.maint) = (true, false),
            Some(Administrative::Maint) => self.maint = true,
            None => {}
        }
        if let Some(weight) = words.weight {
            self.weight = weight.min(256);
        }
    }

    /// It gets traffic.
    pub fn takes_traffic(&self) -> bool {
        self.up && !self.drained && !self.maint && self.weight > 0
    }
}

impl Default for Server {
    fn default() -> Server {
        Server::new()
    }
}
