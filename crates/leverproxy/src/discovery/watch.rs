//! The watch on the endpoint list: one connection to discovery with a long poll. When discovery moves to another
//! address, the watch at the previous address stays open until the new address responds.

use super::wire::{EndpointList, EndpointListError};
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::{Key, Slab};
use crate::event_loop::stream::{DialError, ReadStatus, Stream};
use crate::event_loop::token::Token;
use crate::observability::log_rate_limit::LogRateLimit;
use crate::protocol::http::{self, Part, ResponseParser};
use discovery_schedule::{Action, Event, PollSchedule};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum number of bytes of a response that are read at a time.
const INPUT_LIMIT: usize = 256 << 10;

/// An event of the watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// Discovery has reported that nothing has changed.
    Unchanged,
    /// Discovery has sent a complete list or a list of changes.
    List(EndpointList),
    /// The watch is lost.
    Lost,
    /// A call has failed; the decision module, which requests the calls, has to be notified.
    CallFailed,
}

/// The reason why a watch has ended.
#[derive(Debug, Error)]
enum WatchError {
    #[error(transparent)]
    Dial(#[from] DialError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Http(#[from] http::HttpError),
    #[error(transparent)]
    List(#[from] EndpointListError),
    #[error("discovery closed the watch")]
    Ended,
}

/// The connection to discovery.
pub struct DiscoveryClient {
    address: SocketAddr,
    schedule: PollSchedule,
    /// The origin of the schedule's time.
    origin: Instant,
    /// The time for which the event loop has a timer set.
    timer: Option<Instant>,
    watches: Slab<Watch>,
    current: Option<Key>,
    /// The watch at the previous address. Its lists are applied until the current watch responds.
    previous: Option<Key>,
    events: VecDeque<WatchEvent>,
    /// Limits the log lines of lost watches: while discovery is down it is called ten times a second.
    loss_log: LogRateLimit,
}

struct Watch {
    stream: Stream,
    connected: bool,
    reader: ResponseParser,
    /// Whether a part of the response body has arrived.
    responded: bool,
}

impl DiscoveryClient {
    /// `watch_silence`: time without data after which a watch counts as lost. `push_mode`: lists are pushed, so that a
    /// watch is always open.
    pub fn new(
        address: SocketAddr,
        watch_silence: Duration,
        push_mode: bool,
        now: Instant,
    ) -> DiscoveryClient {
        DiscoveryClient {
            address,
            schedule: PollSchedule::new(watch_silence, push_mode),
            origin: now,
            timer: None,
            watches: Slab::default(),
            current: None,
            previous: None,
            events: VecDeque::new(),
            loss_log: LogRateLimit::default(),
        }
    }

    /// The next event.
    pub fn pop_event(&mut self) -> Option<WatchEvent> {
        self.events.pop_front()
    }

    /// Sets whether lists are pushed or polled. If they are pushed, a watch is opened unless one is open.
    pub fn set_push_mode(&mut self, push_mode: bool, index: u64, now: Instant, reactor: &Reactor) {
        self.schedule.set_push_mode(push_mode);
        if push_mode && self.current.is_none() {
            self.poll(index, now, reactor);
        }
    }

    /// Requests all changes after `index`, unless a call is open.
    pub fn poll(&mut self, index: u64, now: Instant, reactor: &Reactor) {
        self.handle(Event::PollRequested, index, now, reactor);
    }

    /// Handles the timer of [`DiscoveryClient::next_timer`]. If a call is started, it requests the changes after
    /// `index`.
    pub fn handle_timer(&mut self, index: u64, now: Instant, reactor: &Reactor) {
        self.timer = None;
        self.handle(Event::Tick, index, now, reactor);
    }

    /// The time for which a timer has to be set; `None` if an earlier timer is set already.
    pub fn next_timer(&mut self) -> Option<Instant> {
        let deadline = self.origin + self.schedule.next_deadline()?;
        if self.timer.is_some_and(|set| set <= deadline) {
            return None;
        }
        self.timer = Some(deadline);
        Some(deadline)
    }

    /// Moves to another address. The watch there requests the changes after `index`. If the watch at the previous
    /// address has responded, it stays open meanwhile, since the new address may be slow or fail.
    pub fn set_address(
        &mut self,
        address: SocketAddr,
        index: u64,
        now: Instant,
        reactor: &Reactor,
    ) {
        if address == self.address {
            return;
        }
        log::info!(
            "discovery: moving the watch from {} to {address}",
            self.address
        );
        self.address = address;
        let has_responded = |key: &Key| self.watches.get(*key).is_some_and(|w| w.responded);
        if let Some(key) = self.current.filter(has_responded) {
            self.close_previous();
            self.previous = Some(key);
            self.current = None;
        }
        self.handle(Event::AddressChanged, index, now, reactor);
    }

    fn handle(&mut self, event: Event, index: u64, now: Instant, reactor: &Reactor) {
        let mut actions = Vec::new();
        let time = now.saturating_duration_since(self.origin);
        self.schedule.handle(time, event, &mut actions);
        for action in actions {
            match action {
                Action::StartCall => self.start_call(index, now, reactor),
                Action::CallLost { silent } => self.report_loss(silent, now),
                Action::ReportFailure => self.events.push_back(WatchEvent::CallFailed),
            }
        }
    }

    fn report_loss(&mut self, silent: bool, now: Instant) {
        if silent {
            self.loss_log.warn(now, || {
                "discovery: watch lost: no data within the silence limit".to_owned()
            });
        }
        self.events.push_back(WatchEvent::Lost);
    }

    /// Reports the progress of the open call to the schedule, which returns no actions for it.
    fn report_progress(&mut self, connected: bool, bytes: bool, objects: bool, now: Instant) {
        let time = now.saturating_duration_since(self.origin);
        let progress = [
            (connected, Event::Connected),
            (bytes, Event::BytesReceived),
            (objects, Event::ObjectReceived),
        ];
        for (_, event) in progress.into_iter().filter(|(happened, _)| *happened) {
            self.schedule.handle(time, event, &mut Vec::new());
        }
        if objects {
            self.close_previous();
        }
    }

    fn start_call(&mut self, index: u64, now: Instant, reactor: &Reactor) {
        if let Some(old) = self.current.take() {
            self.watches.remove(old);
        }
        match Stream::dial(self.address) {
            Ok(stream) => self.open_watch(stream, index, now, reactor),
            Err(error) => {
                self.loss_log.warn(now, || {
                    format!("discovery: cannot dial {}: {error}", self.address)
                });
                self.handle(Event::CallEnded, index, now, reactor);
            }
        }
    }

    fn open_watch(&mut self, mut stream: Stream, index: u64, now: Instant, reactor: &Reactor) {
        let target = format!("/catalog/members?watch=1&after={index}");
        stream.push(&http::get(&self.address.to_string(), &target));
        let key = self.watches.insert(Watch {
            stream,
            connected: false,
            reader: ResponseParser::default(),
            responded: false,
        });
        self.current = Some(key);
        let Some(watch) = self.watches.get_mut(key) else {
            return;
        };
        if let Err(error) = watch.watch_dial(key, reactor) {
            self.fail(key, &error, now, reactor);
        }
    }

    fn close_previous(&mut self) {
        if let Some(key) = self.previous.take() {
            self.watches.remove(key);
        }
    }

    /// Handles a connection that epoll reports as ready.
    pub fn ready(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        if let Err(error) = self.advance(key, now, reactor) {
            self.fail(key, &error, now, reactor);
        }
    }

    fn advance(&mut self, key: Key, now: Instant, reactor: &Reactor) -> Result<(), WatchError> {
        let Some(watch) = self.watches.get_mut(key) else {
            return Ok(());
        };
        let newly_connected = !watch.connected;
        if newly_connected && !watch.stream.connected()? {
            return watch.watch_dial(key, reactor);
        }
        watch.connected = true;
        let mut parts = Vec::new();
        let transfer = watch.transfer(&mut parts)?;
        watch.responded |= !parts.is_empty();
        let interest = Interest {
            read: true,
            write: !transfer.written,
        };
        let watched = watch.stream.watch(reactor, Token::Discovery(key), interest);
        self.push_parts(&parts)?;
        if self.current == Some(key) {
            self.report_progress(newly_connected, transfer.received, !parts.is_empty(), now);
        }
        // Complete objects were processed above, even if malformed bytes follow them.
        transfer.parsed?;
        if transfer.ended {
            return Err(WatchError::Ended);
        }
        Ok(watched?)
    }

    fn push_parts(&mut self, parts: &[Part]) -> Result<(), EndpointListError> {
        for part in parts {
            self.events.push_back(match part {
                Part::Keepalive => WatchEvent::Unchanged,
                Part::Object(text) => {
                    WatchEvent::List(EndpointList::parse_readable(text.as_bytes())?)
                }
            });
        }
        Ok(())
    }

    fn fail(&mut self, key: Key, error: &WatchError, now: Instant, reactor: &Reactor) {
        if self.watches.remove(key).is_none() {
            return;
        }
        if self.previous == Some(key) {
            log::info!("discovery: the previous watch has ended: {error}");
            self.previous = None;
            return;
        }
        self.loss_log
            .warn(now, || format!("discovery: watch lost: {error}"));
        self.current = None;
        // The schedule does not start a call immediately, so the index is not used.
        self.handle(Event::CallEnded, 0, now, reactor);
    }
}

/// The result of writing to and reading from a watch.
struct Transfer {
    /// Whether the request is written in full.
    written: bool,
    /// Whether bytes have arrived.
    received: bool,
    /// Whether the response or its connection has ended.
    ended: bool,
    parsed: Result<(), http::HttpError>,
}

impl Watch {
    fn watch_dial(&mut self, key: Key, reactor: &Reactor) -> Result<(), WatchError> {
        let token = Token::Discovery(key);
        Ok(self.stream.watch(reactor, token, Interest::WRITE)?)
    }

    /// Writes the request, and reads the bytes of the response that have arrived.
    fn transfer(&mut self, parts: &mut Vec<Part>) -> io::Result<Transfer> {
        let written = self.stream.flush()?;
        let filled = self.stream.fill(INPUT_LIMIT);
        let received = !self.stream.input.is_empty();
        let parsed = self.reader.parse(self.stream.input.unused(), parts);
        self.stream.input.consume(*parsed.as_ref().unwrap_or(&0));
        Ok(Transfer {
            written,
            received,
            ended: filled == ReadStatus::Ended || self.reader.is_done(),
            parsed: parsed.map(|_| ()),
        })
    }
}
