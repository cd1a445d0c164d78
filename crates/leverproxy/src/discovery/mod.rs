//! The watch on the list of record servers. Whether and when to ask is the module's to say; this keeps one
//! watch at most and tells when it has broken; while discovery moves, the former one stays open until the new one
//! speaks.

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
    /// It has said that nothing has changed.
    Heard,
    Listing(Listing),
    Failed,
}

pub struct Discovery {
    address: SocketAddr,
    /// Longest that a watch may say nothing.
    silence: Duration,
    watches: Slots<Watch>,
    current: Option<Key>,
    /// At the address that discovery has left; what it has to tell counts until the current one speaks.
    former: Option<Key>,
    asked: bool,
    news: VecDeque<News>,
}

struct Watch {
    stream: Stream,
    up: bool,
    reader: LineReader,
    heard: Instant,
    /// A line has come: the answer has begun.
    spoke: bool,
}

impl Discovery {
    pub fn new(address: SocketAddr, silence: Duration) -> Discovery {
        Discovery {
            address,
            silence,
            watches: Slots::default(),
            current: None,
            former: None,
            asked: false,
            news: VecDeque::new(),
        }
    }

    pub fn pop(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    /// Asks for all changes after `index`, in place of the watch there was; returns the new one and when to look
    /// after it.
    pub fn subscribe(&mut self, index: u64, now: Instant, reactor: &Reactor) -> Option<(Instant, Key)> {
        self.asked = true;
        if let Some(old) = self.current.take() {
            self.watches.remove(old);
        }
        match Stream::dial(self.address) {
            Ok(mut stream) => {
                let target = format!("/catalog/members?watch=1&after={index}");
                stream.push(&http::get(&self.address.to_string(), &target));
                let watch =
                    Watch { stream, up: false, reader: LineReader::default(), heard: now, spoke: false };
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
        Some((now + self.silence, self.current?))
    }

    /// Discovery is at another address from now on. A watch there goes on from `index`; the one there was is
    /// kept meanwhile, as the new one may take its time or break.
    pub fn move_to(
        &mut self,
        address: SocketAddr,
        index: u64,
        now: Instant,
        reactor: &Reactor,
    ) -> Option<(Instant, Key)> {
        if address == self.address {
            return None;
        }
        log::info!("discovery: moves from {} to {address}", self.address);
        self.address = address;
        let speaks = |key: &Key| self.watches.get(*key).is_some_and(|watch| watch.spoke);
        if let Some(key) = self.current.filter(speaks) {
            self.let_go_former();
            self.former = Some(key);
            self.current = None;
        }
        if self.asked {
            self.subscribe(index, now, reactor)
        } else {
            None
        }
    }

    fn let_go_former(&mut self) {
        if let Some(key) = self.former.take() {
            self.watches.remove(key);
        }
    }

    pub fn ready(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        if let Err(why) = self.advance(key, now, reactor) {
            self.fail(key, &why);
        }
    }

    /// Breaks a watch that has been silent for too long; else returns when to look again. One that is gone is
    /// not looked after any more, or each new watch would add a timer for good.
    pub fn check(&mut self, key: Key, now: Instant) -> Option<Instant> {
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
        for line in &lines {
            if line.trim_ascii().is_empty() {
                self.news.push_back(News::Heard);
                continue;
            }
            let listing = Listing::parse(line).map_err(|ListingError(problem)| problem)?;
            self.news.push_back(News::Listing(listing));
        }
        let spoke = !lines.is_empty();
        watch.spoke |= spoke;
        let ended = filled == Filled::Ended || watch.reader.done();
        if spoke && self.current == Some(key) {
            self.let_go_former();
        }
        if ended {
            return Err("the watch ended".into());
        }
        let Some(watch) = self.watches.get_mut(key) else { return Ok(()) };
        let interest = Interest { read: true, write: !written };
        watch.stream.watch(reactor, Token::Discovery(key), interest).map_err(|e| e.to_string())
    }

    fn fail(&mut self, key: Key, why: &str) {
        if self.watches.remove(key).is_none() {
            return;
        }
        if self.former == Some(key) {
            log::info!("discovery: the former watch is over: {why}");
            self.former = None;
        } else {
            log::warn!("discovery: watch lost: {why}");
            self.current = None;
            self.news.push_back(News::Failed);
        }
    }
}
