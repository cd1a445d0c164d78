//! The watch on the list of record servers. Whether and when to ask is the module's to say; this keeps one
//! watch open at most and tells when it has broken.

pub mod directory;
pub mod wire;

use crate::http::{self, LineReader};
use crate::net::{Filled, Stream};
use crate::reactor::{Interest, Key, Reactor, Slots, Token};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::{Listing, ListingError};

const INPUT_LIMIT: usize = 256 << 10;

#[derive(Debug)]
pub enum News {
    Listing(Listing),
    Failed,
}

pub struct Discovery {
    address: SocketAddr,
    /// Longest that a watch may say nothing.
    silence: Duration,
    watches: Slots<Watch>,
    current: Option<Key>,
    news: VecDeque<News>,
}

struct Watch {
    stream: Stream,
    up: bool,
    reader: LineReader,
    heard: Instant,
}

impl Discovery {
    pub fn new(address: SocketAddr, silence: Duration) -> Discovery {
        Discovery { address, silence, watches: Slots::default(), current: None, news: VecDeque::new() }
    }

    pub fn pop(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    /// Asks for all changes after `index`, in place of the watch there was; returns when to look after it.
    pub fn subscribe(&mut self, index: u64, now: Instant, reactor: &Reactor) -> Instant {
        if let Some(old) = self.current.take() {
            self.watches.remove(old);
        }
        match Stream::dial(self.address) {
            Ok(mut stream) => {
                let target = format!("/catalog/members?watch=1&after={index}");
                stream.push(&http::get(&self.address.to_string(), &target));
                let watch = Watch { stream, up: false, reader: LineReader::default(), heard: now };
                let key = self.watches.insert(watch);
                self.current = Some(key);
                let watched = self
                    .watches
                    .get_mut(key)
                    .map(|w| w.stream.watch(reactor, Token::Discovery(key), Interest::WRITE));
                if let Some(Err(e)) = watched {
                    self.fail(key, &e.to_string());
                }
            }
            Err(e) => {
                log::warn!("discovery: cannot dial {}: {e}", self.address);
                self.news.push_back(News::Failed);
            }
        }
        now + self.silence
    }

    pub fn ready(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        if let Err(why) = self.advance(key, now, reactor) {
            self.fail(key, &why);
        }
    }

    /// Breaks a watch that has been silent for too long; else returns when to look again.
    pub fn check(&mut self, now: Instant) -> Option<Instant> {
        let key = self.current?;
        let due = self.watches.get(key)?.heard + self.silence;
        if due <= now {
            self.fail(key, "silent for too long");
            return None;
        }
        Some(due)
    }

    fn advance(&mut self, key: Key, now: Instant, reactor: &Reactor) -> Result<(), String> {
        let Some(watch) = self.watches.get_mut(key) else { return Ok(()) };
        if !watch.up {
            watch.stream.connected().map_err(|e| e.to_string())?;
            watch.up = true;
        }
        let written = watch.stream.flush().map_err(|e| e.to_string())?;
        let filled = watch.stream.fill(INPUT_LIMIT);
        if !watch.stream.input.is_empty() {
            watch.heard = now;
        }
        let mut lines = Vec::new();
        let used = watch.reader.take(watch.stream.input.unused(), &mut lines);
        watch.stream.input.consume(used.map_err(|e| e.to_string())?);
        for line in lines.iter().filter(|line| !line.trim_ascii().is_empty()) {
            let listing = Listing::parse(line).map_err(|ListingError(problem)| problem)?;
            self.news.push_back(News::Listing(listing));
        }
        if filled == Filled::Ended || watch.reader.done() {
            return Err("the watch ended".into());
        }
        let interest = Interest { read: true, write: !written };
        watch.stream.watch(reactor, Token::Discovery(key), interest).map_err(|e| e.to_string())
    }

    fn fail(&mut self, key: Key, why: &str) {
        if self.watches.remove(key).is_some() {
            log::warn!("discovery: watch lost: {why}");
            self.current = None;
            self.news.push_back(News::Failed);
        }
    }
}
