//! Counters of requests, answers, attempts and reloads.

use crate::observability::goodput::Goodput;
use crate::request::{Answer, ExchangeOutcome};
use routing::{ClassId, QuotaStatus};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Counters of a class: requests read, and answers and attempts by outcome.
#[derive(Debug, Default)]
struct ClassCounters {
    requests: u64,
    answers: BTreeMap<&'static str, u64>,
    attempts: BTreeMap<&'static str, u64>,
}

/// All counters.
#[derive(Debug, Default)]
pub struct Counters {
    /// By class id.
    classes: Vec<(String, ClassCounters)>,
    probes: BTreeMap<&'static str, u64>,
    probes_sent: u64,
    /// Goodput of all answers.
    pub goodput: Goodput,
    /// Requests of an unknown class.
    pub rejected: u64,
    /// Received endpoint lists.
    pub lists: u64,
    /// Entries of the last endpoint list that could not be parsed.
    pub unreadable_endpoints: u64,
    /// Lost watches on the endpoint list.
    pub watches_lost: u64,
    /// Configurations applied by reloads.
    pub reloads: u64,
    /// Configurations rejected by reloads.
    pub reloads_failed: u64,
}

impl Counters {
    /// Creates counters for classes with these names, by class id.
    pub fn new(classes: &[String]) -> Counters {
        let classes = classes
            .iter()
            .map(|name| (name.clone(), ClassCounters::default()))
            .collect();
        Counters {
            classes,
            ..Counters::default()
        }
    }

    /// Adds counters for the classes beyond those that exist; existing counts stay.
    pub fn extend(&mut self, classes: &[String]) {
        let new = classes.iter().skip(self.classes.len());
        self.classes
            .extend(new.map(|name| (name.clone(), ClassCounters::default())));
    }

    /// The name of a class; empty if it is unknown.
    pub fn class_name(&self, class: ClassId) -> &str {
        self.classes
            .get(usize::from(class.0))
            .map_or("", |(name, _)| name)
    }

    fn class(&mut self, class: ClassId) -> Option<&mut ClassCounters> {
        self.classes
            .get_mut(usize::from(class.0))
            .map(|(_, counts)| counts)
    }

    /// Counts a request that was read.
    pub fn request_read(&mut self, class: ClassId) {
        if let Some(class) = self.class(class) {
            class.requests += 1;
        }
    }

    /// Counts a request that was answered `elapsed` after it arrived.
    pub fn request_answered(
        &mut self,
        class: ClassId,
        quota_status: QuotaStatus,
        answer: &Answer,
        elapsed: Duration,
    ) {
        self.goodput
            .record_answer(class, quota_status, answer, elapsed);
        if let Some(class) = self.class(class) {
            *class.answers.entry(answer.kind()).or_default() += 1;
        }
    }

    /// Numbers of requests served, refused and failed, by class name.
    pub fn requests(&self) -> impl Iterator<Item = (&str, [(&'static str, u64); 3])> {
        let mut by_name: BTreeMap<&str, [(&'static str, u64); 3]> = BTreeMap::new();
        for (name, class) in &self.classes {
            let sums =
                by_name
                    .entry(name)
                    .or_insert([("served", 0), ("refused", 0), ("failed", 0)]);
            for (kind, count) in &class.answers {
                // Rejected and cancelled requests are answered with an error: for the client they have failed.
                let kind = if matches!(*kind, "rejected" | "cancelled") {
                    "failed"
                } else {
                    kind
                };
                if let Some((_, sum)) = sums.iter_mut().find(|(outcome, _)| *outcome == kind) {
                    *sum += count;
                }
            }
        }
        by_name.into_iter()
    }

    /// Counts a request whose client has disconnected.
    pub fn client_left(&mut self, class: ClassId) {
        if let Some(class) = self.class(class) {
            *class.answers.entry("client left").or_default() += 1;
        }
    }

    /// Counts a request that its client cancelled.
    pub fn request_cancelled(&mut self, class: ClassId) {
        if let Some(class) = self.class(class) {
            *class.answers.entry(Answer::Cancelled.kind()).or_default() += 1;
        }
    }

    /// Counts a probe that was sent.
    pub fn probe_sent(&mut self) {
        self.probes_sent += 1;
    }

    /// Counts an attempt that has ended, or a probe if there is no class.
    pub fn attempt_ended(&mut self, class: Option<ClassId>, outcome: &ExchangeOutcome) {
        let ends = match class {
            None => Some(&mut self.probes),
            Some(class) => self.class(class).map(|c| &mut c.attempts),
        };
        if let Some(ends) = ends {
            *ends.entry(outcome_label(outcome)).or_default() += 1;
        }
    }
}

fn outcome_label(outcome: &ExchangeOutcome) -> &'static str {
    match outcome {
        ExchangeOutcome::Served(_) | ExchangeOutcome::Reported(_) => "ok",
        ExchangeOutcome::Misdirected => "miss",
        ExchangeOutcome::Failed => "error",
        ExchangeOutcome::InvalidResponse => "spoilt",
        ExchangeOutcome::Rejected => "full",
        ExchangeOutcome::ConnectFailed => "connect failed",
        ExchangeOutcome::Reset => "reset",
        ExchangeOutcome::TimedOut => "timed out",
        ExchangeOutcome::Cancelled => "cancelled",
        ExchangeOutcome::NotSent => "never sent",
    }
}

fn write_counts(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    counts: &BTreeMap<&'static str, u64>,
) -> fmt::Result {
    write!(f, "{title}")?;
    for (name, count) in counts {
        write!(f, " [{name} {count}]")?;
    }
    Ok(())
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, class) in &self.classes {
            write!(f, "class {name}: taken {}; ", class.requests)?;
            write_counts(f, "answered", &class.answers)?;
            write_counts(f, "; attempts", &class.attempts)?;
            writeln!(f)?;
        }
        write!(f, "probes: sent {}; ", self.probes_sent)?;
        write_counts(f, "ended", &self.probes)?;
        writeln!(f)?;
        let Counters {
            rejected,
            lists,
            watches_lost,
            reloads,
            reloads_failed,
            ..
        } = self;
        write!(
            f,
            "rejected {rejected}; lists {lists}; watches lost {watches_lost}; "
        )?;
        write!(f, "reloads {reloads}, turned down {reloads_failed}")
    }
}
