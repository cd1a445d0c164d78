//! Record servers that operators take out and call back, joined with what discovery says: a server is out while
//! either says so, and neither undoes the other's word.
//!
//! Pure state: words in, the joined word out. Instants are Unix times.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Whether a server takes anything new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Ready,
    /// Finishes what it has.
    Draining,
    Gone,
}

/// What counts of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Joined {
    pub word: Word,
    /// Its latest start that has to be reckoned with; zero: long ago.
    pub started: Duration,
}

/// Nobody has a server of that name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown;

/// The operators' word on one server, as it is passed from a process to the one that follows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hand {
    pub name: String,
    /// Since when it is out.
    pub out: Option<Duration>,
    /// From when to when it was out before.
    pub before: Option<(Duration, Duration)>,
}

#[derive(Debug, Default)]
struct Server {
    /// Discovery's; none: it is not in the list.
    word: Option<Word>,
    started: Duration,
    out: Option<Duration>,
    before: Option<(Duration, Duration)>,
}

impl Server {
    fn joined(&self) -> Joined {
        let word = match (self.word, self.out) {
            (None | Some(Word::Gone), _) => Word::Gone,
            (Some(Word::Ready), None) => Word::Ready,
            (Some(Word::Ready | Word::Draining), _) => Word::Draining,
        };
        // Operators restart what they take out, and the list may be seconds late to tell: until it tells of a start
        // since then, the server counts as started when it was called back. Harms one that was not restarted, which
        // is warmed up once more.
        let started = match self.before {
            Some((from, to)) if self.started < from => to,
            _ => self.started,
        };
        Joined { word, started }
    }
}

#[derive(Debug, Default)]
pub struct Maintenance {
    /// Those in the list, and those that are out by the operators' word.
    servers: BTreeMap<String, Server>,
}

impl Maintenance {
    /// Discovery's word on a server.
    pub fn hears(&mut self, name: &str, word: Word, started: Duration) -> Joined {
        let server = match self.servers.get_mut(name) {
            Some(server) => server,
            None => self.servers.entry(name.to_owned()).or_default(),
        };
        server.word = Some(word).filter(|word| *word != Word::Gone);
        server.started = server.started.max(started);
        let joined = server.joined();
        self.forget(|n| n == name);
        joined
    }

    /// The list is whole, and these are in it.
    pub fn only(&mut self, listed: &BTreeSet<&str>) {
        for (_, server) in self
            .servers
            .iter_mut()
            .filter(|(name, _)| !listed.contains(name.as_str()))
        {
            server.word = None;
        }
        self.forget(|_| true);
    }

    /// Nothing is kept of what nobody speaks of any more.
    fn forget(&mut self, which: impl Fn(&str) -> bool) {
        self.servers
            .retain(|name, s| s.word.is_some() || s.out.is_some() || !which(name));
    }

    /// Takes a server out; what counts of it from now on, if that is anything new.
    pub fn exclude(&mut self, name: &str, now: Duration) -> Result<Option<Joined>, Unknown> {
        let server = self.servers.get_mut(name).ok_or(Unknown)?;
        if server.out.is_some() {
            return Ok(None);
        }
        server.out = Some(now);
        Ok(Some(server.joined()))
    }

    /// Calls a server back, however often it was taken out.
    pub fn include(&mut self, name: &str, now: Duration) -> Result<Option<Joined>, Unknown> {
        let server = self.servers.get_mut(name).ok_or(Unknown)?;
        let Some(since) = server.out.take() else {
            return Ok(None);
        };
        server.before = Some((since, now.max(since)));
        let joined = server.joined();
        self.forget(|n| n == name);
        Ok(Some(joined))
    }

    /// Servers in the list.
    pub fn listed(&self) -> usize {
        self.servers.values().filter(|s| s.word.is_some()).count()
    }

    /// All that operators have said and that still counts.
    pub fn hands(&self) -> Vec<Hand> {
        let said = self
            .servers
            .iter()
            .filter(|(_, s)| s.out.is_some() || s.before.is_some());
        said.map(|(name, s)| Hand {
            name: name.clone(),
            out: s.out,
            before: s.before,
        })
        .collect()
    }

    /// What was said to the process before this one, of the list that it had, which comes first.
    pub fn take_over(&mut self, hands: Vec<Hand>) -> Vec<(String, Joined)> {
        let mut changed = Vec::new();
        for Hand { name, out, before } in hands {
            let server = self.servers.entry(name.clone()).or_default();
            (server.out, server.before) = (out, before);
            changed.push((name, server.joined()));
        }
        self.forget(|_| true);
        changed
    }
}
