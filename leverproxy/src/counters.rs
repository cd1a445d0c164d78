//! What the proxy has taken in, sent and answered.

use crate::request::{Answer, Purpose, Verdict};
use std::collections::BTreeMap;
use std::fmt;

#[derive(Debug, Default)]
struct Class {
    taken: u64,
    answers: BTreeMap<&'static str, u64>,
    attempts: BTreeMap<&'static str, u64>,
}

#[derive(Debug, Default)]
pub struct Counters {
    /// By the class's name.
    classes: BTreeMap<String, Class>,
    probes: BTreeMap<&'static str, u64>,
    probes_sent: u64,
    pub rejected: u64,
    pub lists: u64,
    pub watches_lost: u64,
}

impl Counters {
    fn class(&mut self, class: &str) -> &mut Class {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.to_owned(), Class::default());
        }
        self.classes.entry(class.to_owned()).or_default()
    }

    pub fn taken(&mut self, class: &str) {
        self.class(class).taken += 1;
    }

    pub fn answered(&mut self, class: &str, answer: &Answer) {
        *self.class(class).answers.entry(answer.kind()).or_default() += 1;
    }

    pub fn left(&mut self, class: &str) {
        *self.class(class).answers.entry("client left").or_default() += 1;
    }

    pub fn probe_sent(&mut self) {
        self.probes_sent += 1;
    }

    pub fn ended(&mut self, class: &str, purpose: Purpose, verdict: &Verdict) {
        let ends = match purpose {
            Purpose::Attempt(..) => &mut self.class(class).attempts,
            Purpose::Probe => &mut self.probes,
        };
        *ends.entry(name(verdict)).or_default() += 1;
    }
}

fn name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Served(_) => "ok",
        Verdict::Miss => "miss",
        Verdict::Failed => "error",
        Verdict::Full => "full",
        Verdict::ConnectFailed => "connect failed",
        Verdict::Reset => "reset",
        Verdict::TimedOut => "timed out",
        Verdict::Cancelled => "cancelled",
        Verdict::NeverSent => "never sent",
    }
}

fn list(f: &mut fmt::Formatter<'_>, title: &str, counts: &BTreeMap<&'static str, u64>) -> fmt::Result {
    write!(f, "{title}")?;
    for (name, count) in counts {
        write!(f, " [{name} {count}]")?;
    }
    Ok(())
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, class) in &self.classes {
            write!(f, "class {name}: taken {}; ", class.taken)?;
            list(f, "answered", &class.answers)?;
            list(f, "; attempts", &class.attempts)?;
            writeln!(f)?;
        }
        write!(f, "probes: sent {}; ", self.probes_sent)?;
        list(f, "ended", &self.probes)?;
        writeln!(f)?;
        write!(f, "rejected {}; lists {}; watches lost {}", self.rejected, self.lists, self.watches_lost)
    }
}
