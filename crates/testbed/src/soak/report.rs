//! Report of a soak run.

use crate::history::SentAfterLeave;
use invariant_checkers::Rule;
use server_model::clients::ClientAttemptId;
use server_model::Micros;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A violated requirement.
#[derive(Clone, Debug, PartialEq)]
pub enum Breach {
    /// A rule of the recorded history, with the number of violations.
    Rule(Rule, u64),
    /// An attempt reached a record server although its client had left.
    SentAfterLeave(SentAfterLeave),
    /// Connections that were open at SIGTERM ended within an answer.
    AnswerCut {
        /// The proxy.
        proxy: usize,
        /// Number of connections.
        connections: usize,
    },
    /// A process had unanswered attempts at the earliest time of SIGKILL.
    OwedAtKill {
        /// The proxy.
        proxy: usize,
        /// The attempts.
        attempts: Vec<ClientAttemptId>,
    },
    /// The old process of an upgrade did not end after SIGTERM.
    NotEnded {
        /// The proxy.
        proxy: usize,
    },
    /// A process was ready too late.
    ReadyLate {
        /// The proxy.
        proxy: usize,
        /// Time from the start until it was ready.
        after: Duration,
    },
    /// An operators' file other than the last valid one is in force.
    FormerFile {
        /// The proxy.
        proxy: usize,
        /// Marker of the last valid file, in milliseconds.
        expected: u64,
        /// The answer to the marker request.
        seen: Option<String>,
    },
    /// A process holds more resources than at its start.
    LeftBehind {
        /// The proxy.
        proxy: usize,
        /// The resource, with its amount at the start and now.
        what: String,
    },
    /// The testbed failed.
    Fault(String),
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::Rule(rule, times) => write!(f, "{rule:?} {times} times"),
            Breach::SentAfterLeave(sent) => write!(
                f,
                "proxy {} sent {:016x} {} ms after its client had left: {:?}",
                sent.proxy,
                sent.id,
                sent.late / 1_000,
                sent.departure
            ),
            Breach::AnswerCut { proxy, connections } => {
                write!(
                    f,
                    "proxy {proxy} truncated answers on {connections} connections at its end"
                )
            }
            Breach::OwedAtKill { proxy, attempts } => {
                write!(f, "proxy {proxy} had not answered the attempts {attempts:x?} at SIGKILL")
            }
            Breach::NotEnded { proxy } => {
                write!(f, "the old process of proxy {proxy} did not end after SIGTERM")
            }
            Breach::ReadyLate { proxy, after } => {
                write!(f, "proxy {proxy} became ready too late, after {after:.1?}")
            }
            Breach::FormerFile {
                proxy,
                expected,
                seen,
            } => write!(f, "proxy {proxy} answered marker {seen:?}, expected {expected} of the last valid file"),
            Breach::LeftBehind { proxy, what } => write!(f, "proxy {proxy} holds more than at its start: {what}"),
            Breach::Fault(fault) => write!(f, "{fault}"),
        }
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seed of the plan.
    pub seed: u64,
    /// Number of requests of all clients.
    pub requests: u64,
    /// Log of actions, with the time in microseconds since the clients' start.
    pub timeline: Vec<(Micros, String)>,
    /// Number of signals sent. Key: name.
    pub signals: BTreeMap<&'static str, u64>,
    /// Time of each start until the process was ready.
    pub ready: Vec<Duration>,
    /// Time from SIGTERM to the end of each process.
    pub ended: Vec<Duration>,
    /// Violated requirements.
    pub breaches: Vec<Breach>,
    /// The first violations of rules: rule, attempt, proxy, and time in microseconds.
    pub found: Vec<(Rule, ClientAttemptId, usize, Micros)>,
    /// 99th percentile of the lateness of the testbed's timers.
    pub late: Duration,
}

impl Report {
    /// Summary of the run in one line.
    pub fn summary(&self) -> String {
        let longest = |times: &[Duration]| times.iter().max().copied().unwrap_or_default();
        let signals: Vec<String> = self
            .signals
            .iter()
            .map(|(name, times)| format!("{name} {times}"))
            .collect();
        format!(
            "seed {}: {} requests; {}; ready within {:.2?}, ended within {:.2?}; testbed late {:.1?}; {} breaches",
            self.seed,
            self.requests,
            signals.join(", "),
            longest(&self.ready),
            longest(&self.ended),
            self.late,
            self.breaches.len()
        )
    }

    /// Full report of a failed run, for diagnosis.
    pub fn failure(&self) -> String {
        let mut text = self.summary();
        for breach in &self.breaches {
            text += &format!("\n  breach: {breach}");
        }
        for (rule, id, proxy, at) in &self.found {
            text += &format!(
                "\n  {rule:?}: request {id:016x} of proxy {proxy} at {:.3} s",
                *at as f64 / 1e6
            );
        }
        for (at, what) in &self.timeline {
            text += &format!("\n  {:9.3} s  {what}", *at as f64 / 1e6);
        }
        text + &format!(
            "\n  to repeat: SOAK_SEEDS={} cargo test -p testbed --test soak seeds_of_the_environment -- --nocapture",
            self.seed
        )
    }
}
