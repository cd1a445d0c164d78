//! The watch on the list of record servers. Whether to ask, and when again after an answer that says no, is the module's
//! to say where the list has to be asked for; when a call is broken is [`discovery_schedule`]'s. This keeps one watch at most and
//! tells when it has broken; while discovery moves, the former one stays open until the new one speaks.

pub mod directory;
pub mod wire;

use crate::event_loop::connection::{Filled, Stream};
use crate::event_loop::reactor::{Interest, Key, Reactor, Slots, Token};
use crate::observability::log_rate_limit::LogRateLimit;
use crate::protocol::http::{self, Part, Reader};
use discovery_schedule::{Action, Event, PollSchedule};
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
    /// The watch is lost.
    Lost,
    /// The module, which orders calls, hears that one has failed.
    Failed,
}

pub struct Discovery {
    address: SocketAddr,
    clock: PollSchedule,
    /// The clock's origin.
    start: Instant,
    /// A timer is set for then.
    alarm: Option<Instant>,
    watches: Slots<Watch>,
    current: Option<Key>,
    /// At the address that discovery has left; what it has to tell counts until the current one speaks.
    former: Option<Key>,
    news: VecDeque<News>,
    /// An agent that is down is called ten times a second.
    losses: LogRateLimit,
}

struct Watch {
    stream: Stream,
    up: bool,
    reader: Reader,
    /// The answer has begun.
    spoke: bool,
}

impl Discovery {
    /// `silence`: the longest that a watch may say nothing; `pushed`: a watch stands from the first moment.
    pub fn new(address: SocketAddr, silence: Duration, pushed: bool, now: Instant) -> Discovery {
        Discovery {
            address,
            clock: PollSchedule::new(silence, pushed),
            start: now,
            alarm: None,
            watches: Slots::default(),
            current: None,
            former: None,
            news: VecDeque::new(),
            losses: LogRateLimit::default(),
        }
    }

    pub fn pop(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    /// Lists are pushed from now on, or have to be asked for. Where they are pushed a watch is opened, if there is none.
    pub fn set_pushed(&mut self, pushed: bool, index: u64, now: Instant, reactor: &Reactor) {
        self.clock.set_push_mode(pushed);
        if pushed && self.current.is_none() {
            self.subscribe(index, now, reactor);
        }
    }

    /// Asks for all changes after `index`, in place of the watch there was.
    pub fn subscribe(&mut self, index: u64, now: Instant, reactor: &Reactor) {
        self.act(Event::PollRequested, index, now, reactor);
    }

    /// Looks whether the watch has been silent for too long.
    pub fn check(&mut self, index: u64, now: Instant, reactor: &Reactor) {
        self.alarm = None;
        self.act(Event::Tick, index, now, reactor);
    }

    /// When a timer is to be set that is not yet.
    pub fn alarm(&mut self) -> Option<Instant> {
        let due = self.start + self.clock.next_deadline()?;
        if self.alarm.is_some_and(|set| set <= due) {
            return None;
        }
        self.alarm = Some(due);
        Some(due)
    }

    /// Discovery is at another address from now on. A watch there goes on from `index`; the one there was is
    /// kept meanwhile, as the new one may take its time or break.
    pub fn move_to(&mut self, address: SocketAddr, index: u64, now: Instant, reactor: &Reactor) {
        if address == self.address {
            return;
        }
        log::info!("discovery: moves from {} to {address}", self.address);
        self.address = address;
        let speaks = |key: &Key| self.watches.get(*key).is_some_and(|watch| watch.spoke);
        if let Some(key) = self.current.filter(speaks) {
            self.let_go_former();
            self.former = Some(key);
            self.current = None;
        }
        self.act(Event::AddressChanged, index, now, reactor);
    }

    fn act(&mut self, event: Event, index: u64, now: Instant, reactor: &Reactor) {
        let mut actions = Vec::new();
        self.clock.handle(
            now.saturating_duration_since(self.start),
            event,
            &mut actions,
        );
        for action in actions {
            match action {
                Action::StartCall => self.call(index, now, reactor),
                Action::CallLost { silent } => {
                    if silent {
                        self.losses.warn(now, || {
                            "discovery: watch lost: silent for too long".to_owned()
                        });
                    }
                    self.news.push_back(News::Lost);
                }
                Action::ReportFailure => self.news.push_back(News::Failed),
            }
        }
    }

    /// Of the call that is out: the clock hears of it, and orders nothing by it.
    fn tell(&mut self, event: Event, now: Instant) {
        self.clock.handle(
            now.saturating_duration_since(self.start),
            event,
            &mut Vec::new(),
        );
    }

    fn call(&mut self, index: u64, now: Instant, reactor: &Reactor) {
        if let Some(old) = self.current.take() {
            self.watches.remove(old);
        }
        match Stream::dial(self.address) {
            Ok(mut stream) => {
                let target = format!("/catalog/members?watch=1&after={index}");
                stream.push(&http::get(&self.address.to_string(), &target));
                let watch = Watch {
                    stream,
                    up: false,
                    reader: Reader::default(),
                    spoke: false,
                };
                let key = self.watches.insert(watch);
                self.current = Some(key);
                let watched = self.watches.get_mut(key).map(|w| {
                    w.stream
                        .watch(reactor, Token::Discovery(key), Interest::WRITE)
                });
                if let Some(Err(e)) = watched {
                    self.fail(key, &e.to_string(), now, reactor);
                }
            }
            Err(e) => {
                self.losses.warn(now, || {
                    format!("discovery: cannot dial {}: {e}", self.address)
                });
                self.act(Event::CallEnded, index, now, reactor);
            }
        }
    }

    fn let_go_former(&mut self) {
        if let Some(key) = self.former.take() {
            self.watches.remove(key);
        }
    }

    pub fn ready(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        if let Err(why) = self.advance(key, now, reactor) {
            self.fail(key, &why, now, reactor);
        }
    }

    fn advance(&mut self, key: Key, now: Instant, reactor: &Reactor) -> Result<(), String> {
        let current = self.current == Some(key);
        let Some(watch) = self.watches.get_mut(key) else {
            return Ok(());
        };
        let mut events = Vec::new();
        if !watch.up {
            if !watch.stream.connected().map_err(|e| e.to_string())? {
                let watched = watch
                    .stream
                    .watch(reactor, Token::Discovery(key), Interest::WRITE);
                return watched.map_err(|e| e.to_string());
            }
            watch.up = true;
            events.push(Event::Connected);
        }
        let written = watch.stream.flush().map_err(|e| e.to_string())?;
        let filled = watch.stream.fill(INPUT_LIMIT);
        if !watch.stream.input.is_empty() {
            events.push(Event::BytesReceived);
        }
        let mut parts = Vec::new();
        let taken = watch.reader.take(watch.stream.input.unused(), &mut parts);
        watch.stream.input.consume(*taken.as_ref().unwrap_or(&0));
        if !parts.is_empty() {
            watch.spoke = true;
            events.push(Event::ObjectReceived);
        }
        let ended = filled == Filled::Ended || watch.reader.done();
        let interest = Interest {
            read: true,
            write: !written,
        };
        let watched = watch.stream.watch(reactor, Token::Discovery(key), interest);
        for part in &parts {
            self.news.push_back(match part {
                Part::Alive => News::Heard,
                Part::Object(text) => News::Listing(
                    Listing::parse(text.as_bytes()).map_err(|ListingError(problem)| problem)?,
                ),
            });
        }
        if current {
            events.into_iter().for_each(|event| self.tell(event, now));
            if !parts.is_empty() {
                self.let_go_former();
            }
        }
        // What came whole counts, whatever came behind it.
        taken.map_err(|e| e.to_string())?;
        if ended {
            return Err("the watch ended".into());
        }
        watched.map_err(|e| e.to_string())
    }

    fn fail(&mut self, key: Key, why: &str, now: Instant, reactor: &Reactor) {
        if self.watches.remove(key).is_none() {
            return;
        }
        if self.former == Some(key) {
            log::info!("discovery: the former watch is over: {why}");
            self.former = None;
        } else {
            self.losses
                .warn(now, || format!("discovery: watch lost: {why}"));
            self.current = None;
            // No call follows at once, so no index is needed.
            self.act(Event::CallEnded, 0, now, reactor);
        }
    }
}
