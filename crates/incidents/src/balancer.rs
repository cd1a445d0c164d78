//! Models of load balancers according to their public manuals: periodic checks, rise and fall thresholds, and agent
//! responses.

use crate::Time;
use std::time::Duration;
use wire_health::agent::{self, Administrative, Operational};
use wire_health::http::{self, Statuses};
use wire_health::Status;

/// Health protocol of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthProtocol {
    /// HAProxy's agent check.
    Agent,
    /// HTTP health check.
    Http {
        /// Whether a 404 drains the server instead of counting as a failure.
        disable_on_404: bool,
    },
}

/// Health-check settings of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Name of the balancer in reports.
    pub name: &'static str,
    /// Protocol of the checks.
    pub protocol: HealthProtocol,
    /// Interval between two checks of one server.
    pub interval: Duration,
    /// Number of consecutive successful checks after which a server is up.
    pub rise: u32,
    /// Number of consecutive failed checks after which a server is down.
    pub fall: u32,
}

/// State of a server at a balancer.
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
    /// Health-check settings.
    pub settings: Settings,
    /// State of each proxy.
    pub servers: Vec<Server>,
}

/// A balancer's view of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Whether the server gets new requests, unless it is drained.
    pub up: bool,
    /// Whether the server gets no new requests.
    pub drained: bool,
    /// Weight in percent of the configured weight.
    pub weight: u32,
}

impl Balancer {
    /// Creates a balancer that spreads the first checks of its servers over an interval.
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

    /// Performs a check of a server; `status` is the server's status, or `None` if it does not respond.
    pub fn check(&mut self, at: usize, status: Option<&Status>, now: Time) {
        let settings = self.settings;
        let server = &mut self.servers[at];
        server.next = now + settings.interval;
        match settings.protocol {
            // An unreachable agent changes nothing; detecting that is the task of the regular health checks.
            HealthProtocol::Agent => {
                if let Some(status) = status {
                    server.apply_agent_response(&agent::response_line(status));
                }
            }
            HealthProtocol::Http { disable_on_404 } => {
                let code = status.map(|status| status_code(status, disable_on_404));
                match code {
                    Some(200..=399) => {
                        server.drained = false;
                        server.record_check(true, settings);
                    }
                    Some(404) if disable_on_404 && server.up => {
                        server.drained = true;
                        server.record_check(true, settings);
                    }
                    _ => server.record_check(false, settings),
                }
            }
        }
    }

    /// The balancer's view of a server.
    pub fn view(&self, at: usize) -> ServerView {
        let Server {
            up,
            drained,
            maint,
            weight,
            ..
        } = self.servers[at];
        ServerView {
            up: up && !maint,
            drained,
            weight,
        }
    }

    /// Fraction of the traffic per server.
    pub fn shares(&self) -> Vec<f64> {
        let weights: Vec<f64> = (0..self.servers.len())
            .map(|at| match self.view(at) {
                ServerView {
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

/// HTTP status code of the real codec's response.
fn status_code(status: &Status, drain_is_404: bool) -> u16 {
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
    /// Server that is up and has its full weight.
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

    fn record_check(&mut self, good: bool, settings: Settings) {
        if good {
            (self.good, self.bad) = (self.good + 1, 0);
            self.up |= self.good >= settings.rise;
        } else {
            (self.good, self.bad) = (0, self.bad + 1);
            self.up &= self.bad < settings.fall;
        }
    }

    /// Applies an agent response. Administrative and operational states are independent: `up` does not end a drain.
    pub fn apply_agent_response(&mut self, line: &str) {
        let response = agent::parse_response(line);
        match response.operational {
            Some(Operational::Up) => self.up = true,
            Some(Operational::Down) => self.up = false,
            None => {}
        }
        match response.administrative {
            Some(Administrative::Ready) => (self.drained, self.maint) = (false, false),
            Some(Administrative::Drain) => (self.drained, self.maint) = (true, false),
            Some(Administrative::Maint) => self.maint = true,
            None => {}
        }
        if let Some(weight) = response.weight {
            self.weight = weight.min(256);
        }
    }

    /// Whether the server gets traffic.
    pub fn takes_traffic(&self) -> bool {
        self.up && !self.drained && !self.maint && self.weight > 0
    }
}

impl Default for Server {
    fn default() -> Server {
        Server::new()
    }
}
