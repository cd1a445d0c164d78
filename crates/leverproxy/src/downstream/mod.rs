//! The clients' side: accepts connections, reads requests off them and writes answers in their order.

mod client;

use crate::config::{Limits, Patience};
use crate::event_loop::listener::{self, AcceptError};
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::{Key, Slab};
use crate::event_loop::stream::{ReadStatus, Stream};
use crate::event_loop::token::Token;
use crate::observability::log_rate_limit::LogRateLimit;
use crate::protocol::postgres::server::{self, CancelKey};
use crate::protocol::postgres::Malformed;
use crate::request::{Answer, Request, ResponseSlot};
use client::{command, greet, header, Client, Ending, Slot, Step};
use ipnet::IpNet;
use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

/// An unfinished command of more than this is worth asking how many there are.
const LARGE: usize = 16 << 10;
/// The clients are looked over this often for whoever has run out of time.
const LOOK_OVER: Duration = Duration::from_millis(100);
/// At the limit, who has asked for nothing gives way, but not before this: its first words may be on their way.
const FIRST_WORDS: Duration = Duration::from_millis(100);

/// Bytes of an answer passing in pieces that wait for its client: as many while those of all clients are within their
/// share of the memory, so few when they are not. Less would cost more calls than bytes.
const WINDOW: (usize, usize) = (4 << 10, 64 << 10);

fn window(crowded: bool) -> usize {
    if crowded {
        WINDOW.0
    } else {
        WINDOW.1
    }
}

/// Balancers' connections that have asked for nothing, beside the clients.
pub const CHECKS: usize = 16;

#[derive(Debug)]
pub enum Event {
    Asked(ResponseSlot, Request),
    /// Nobody waits for the answer any more.
    Left(ResponseSlot),
    /// The client has taken its request back on another connection.
    Cancelled(ResponseSlot),
    /// More of an answer that passes in pieces may come, after [`Downstream::pass`] had no room.
    Room(ResponseSlot),
}

pub struct Downstream {
    listener: Option<OwnedFd>,
    /// At the limit of clients the listener is not looked at.
    accepting: bool,
    limits: Limits,
    patience: Patience,
    clients: Slab<Client>,
    events: VecDeque<Event>,
    misunderstood: LogRateLimit,
    exhausted: LogRateLimit,
    /// Connections ended for what came on them, or for nothing sound having come in time.
    pub turned_out: u64,
    /// Statements that are answered with an error, since they are no request.
    pub not_understood: u64,
    /// Where listeners are, to listen there again.
    address: SocketAddr,
    shared: bool,
    /// Another process accepts from the same queue; this one only waits for whether it lives.
    left_to_heir: bool,
    /// Networks of balancers, whose checks count for nothing, and of those that name their clients.
    checks: Vec<IpNet>,
    proxy_from: Vec<IpNet>,
    /// Balancers' checks among the clients.
    checking: usize,
    /// No more than what is under way is served: each client goes once it waits for nothing.
    closing: bool,
    cancel_keys: CancelKeys,
}

/// Makes the keys by which sessions' requests can be cancelled. Nobody can guess one from others.
#[derive(Default)]
struct CancelKeys {
    secret: RandomState,
    made: u64,
}

impl CancelKeys {
    fn next(&mut self) -> CancelKey {
        self.made += 1;
        let hash = self.secret.hash_one(self.made);
        CancelKey {
            process: (hash >> 32) as u32,
            secret: hash as u32,
        }
    }
}

impl Downstream {
    /// Listens with `inherited` if that is there, else at `address`, which others may share.
    pub fn listen(
        address: SocketAddr,
        inherited: Option<OwnedFd>,
        shared: bool,
        limits: Limits,
        patience: Patience,
        reactor: &Reactor,
    ) -> io::Result<Downstream> {
        let listener = match inherited {
            Some(listener) => listener,
            None => listener::listen_shared(address, shared)?,
        };
        reactor.register(&listener, Token::Listener, Interest::READ)?;
        let address = listener::local_address(&listener).unwrap_or(address);
        Ok(Downstream {
            listener: Some(listener),
            accepting: true,
            limits,
            patience,
            clients: Slab::default(),
            events: VecDeque::new(),
            misunderstood: LogRateLimit::default(),
            exhausted: LogRateLimit::default(),
            turned_out: 0,
            not_understood: 0,
            address,
            shared,
            left_to_heir: false,
            checks: Vec::new(),
            proxy_from: Vec::new(),
            checking: 0,
            closing: false,
            cancel_keys: CancelKeys::default(),
        })
    }

    pub fn local_address(&self) -> Option<SocketAddr> {
        listener::local_address(self.listener.as_ref()?)
    }

    pub fn pop(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// Networks from which balancers come that only check, and those whose connections begin with a header that names
    /// the client. Connections that are there stay as they are.
    pub fn set_balancers(&mut self, checks: Vec<IpNet>, proxy_from: Vec<IpNet>) {
        (self.checks, self.proxy_from) = (checks, proxy_from);
    }

    /// Listens again, after [`Downstream::close`].
    pub fn open(&mut self, now: Instant, reactor: &Reactor) -> io::Result<()> {
        self.closing = false;
        if self.listener.is_some() {
            return Ok(());
        }
        let added = listener::listen_shared(self.address, self.shared).and_then(|fd| {
            reactor
                .register(&fd, Token::Listener, Interest::READ)
                .map(|()| fd)
        });
        if let Err(error) = &added {
            let address = self.address;
            self.exhausted.warn(now, || {
                format!("front: clients can't be listened to on {address}: {error}. It is tried again; see who listens there.")
            });
        }
        (self.listener, self.accepting) = (Some(added?), true);
        Ok(())
    }

    /// Clients are to be served and can't come yet: [`Downstream::open`] has failed.
    pub fn lacks_listener(&self) -> bool {
        self.listener.is_none() && !self.closing
    }

    /// Who is above a lower limit stays until it leaves or gives way.
    pub fn set_limits(&mut self, limits: Limits, patience: Patience) {
        (self.limits, self.patience) = (limits, patience);
    }

    pub fn accept(&mut self, now: Instant, reactor: &Reactor) {
        // One that gives way is enough for the next; if it is not, descriptors are short elsewhere.
        let mut gave_way = false;
        while !self.left_to_heir {
            // Who would give way; nobody does before another client is there for the place.
            let quiet = if self.full() {
                self.find_place(now, reactor)
            } else {
                None
            };
            let full = self.full();
            // Only its address tells a balancer's check from a client, so it has to be let in to be told.
            let checks = !self.checks.is_empty() && self.checking < CHECKS;
            if full && quiet.is_none() && !checks {
                return self.pause(true, reactor);
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener::accept(listener) {
                Ok((stream, peer)) => {
                    gave_way = false;
                    if let Some(key) = quiet {
                        self.remove(key);
                    }
                    let key = self.adopt(stream, peer, now, reactor);
                    let check = self.clients.get(key).is_some_and(|c| c.check);
                    if full && quiet.is_none() && !check {
                        self.turn_out(key, server::too_many_connections());
                        self.write(key, now, reactor);
                    }
                }
                Err(AcceptError::Empty) => return,
                Err(AcceptError::RetryLater) => return self.pause(true, reactor),
                Err(AcceptError::NoDescriptors) => {
                    let clients = self.clients.len();
                    self.exhausted.warn(now, || {
                        format!("front: no descriptor left, {clients} clients")
                    });
                    if gave_way {
                        return self.pause(true, reactor);
                    }
                    let clients_before = self.clients.len();
                    let quiet = self.find_place(now, reactor);
                    quiet.and_then(|key| self.remove(key));
                    if self.clients.len() == clients_before {
                        return self.pause(true, reactor);
                    }
                    gave_way = true;
                }
            }
        }
    }

    fn adopt(&mut self, stream: Stream, peer: IpAddr, now: Instant, reactor: &Reactor) -> Key {
        let within = |networks: &[IpNet]| networks.iter().any(|net| net.contains(&peer));
        let headed = within(&self.proxy_from);
        // Bounded: whatever calls itself a balancer beyond that is a client like any other.
        let check = within(&self.checks) && self.checking < CHECKS;
        self.checking += usize::from(check);
        let cancel_key = self.cancel_keys.next();
        let key = self
            .clients
            .insert(Client::new(stream, cancel_key, peer, headed, check, now));
        // Read in a later round even if it has come: what others sent before is taken in before it.
        self.write(key, now, reactor);
        key
    }

    /// While the listener is full it must not be waited on: it would be ready all the time.
    fn pause(&mut self, pause: bool, reactor: &Reactor) {
        let pause = pause || self.left_to_heir;
        let Some(listener) = self.listener.as_ref().filter(|_| self.accepting == pause) else {
            return;
        };
        let interest = Interest {
            read: !pause,
            write: false,
        };
        if let Ok(watched) = reactor.update(listener, Token::Listener, interest, true) {
            self.accepting = watched && !pause;
        }
    }

    /// The listener is not looked at until a client has left or [`Downstream::resume`] is called.
    pub fn paused(&self) -> bool {
        !self.accepting
    }

    pub fn resume(&mut self, reactor: &Reactor) {
        self.pause(false, reactor);
    }

    /// The client that may give way to another: one that has asked for nothing, else the one that has been quiet
    /// the longest between its requests. While a crowd that says nothing fills the place, those who have asked
    /// keep theirs, and the crowd gives way as fast as it can be told from newcomers.
    fn gives_way(&self, now: Instant) -> Option<Key> {
        let longest = |fits: &dyn Fn(&Client) -> bool| {
            let fitting = self.clients.iter().filter(|(_, c)| fits(c));
            fitting
                .min_by_key(|(_, c)| c.quiet_since)
                .map(|(key, _)| key)
        };
        let old = |c: &Client| now.saturating_duration_since(c.quiet_since) >= FIRST_WORDS;
        let crowd = self.clients.iter().filter(|(_, c)| c.silent()).count();
        longest(&|c| c.silent() && (old(c) || c.leaving.is_some())).or_else(|| {
            longest(&|c| c.greeted && c.asked && c.idle())
                .filter(|_| crowd <= self.limits.clients / 4)
        })
    }

    fn full(&self) -> bool {
        self.clients.len() - self.checking >= self.limits.clients
    }

    /// The client that may give way even after what it sent until now has been read.
    fn find_place(&mut self, now: Instant, reactor: &Reactor) -> Option<Key> {
        while let Some(key) = self.gives_way(now) {
            if !self.take_in(key, now, reactor) {
                // None: it had ended by itself, and its place is free.
                return self.clients.get(key).map(|_| key);
            }
            self.write(key, now, reactor);
        }
        None
    }

    /// Reads what a client has sent until now, before its connection is ended: a request among it is owed an answer.
    /// Whether anything came.
    fn take_in(&mut self, key: Key, now: Instant, reactor: &Reactor) -> bool {
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        if !client.takes_more(&self.patience) {
            return false;
        }
        let before = client.stream.input.len();
        if client.stream.fill(server::INPUT_LIMIT) == ReadStatus::Ended {
            self.drop_client(key, reactor);
            return false;
        }
        let came = client.stream.input.len() > before;
        if came {
            self.read(key, now);
        }
        came
    }

    /// Of many clients those go that have asked once and stay, then those that have been idle the longest.
    fn clear_idle(&mut self, now: Instant, reactor: &Reactor) {
        let held = self.clients.iter().filter(|(_, c)| !c.silent());
        let number = held.clone().count();
        let mut idle: Vec<(bool, Instant, Key)> = held
            .filter(|(_, c)| c.idle())
            .map(|(key, c)| (c.again, c.quiet_since, key))
            .collect();
        idle.sort();
        let mut left = number;
        for (_, since, key) in idle {
            let old = now.saturating_duration_since(since) >= self.patience.idle;
            if left > self.limits.packed || old && left > self.limits.crowded {
                if !self.take_in(key, now, reactor) {
                    left -= 1;
                    if let Some(client) = self.clients.get_mut(key) {
                        client.part();
                    }
                }
                self.write(key, now, reactor);
            }
        }
    }

    /// Ends the connections of those who have run out of time; when to look again.
    pub fn look_over(&mut self, now: Instant, reactor: &Reactor) -> Instant {
        for key in self.clients.keys() {
            let Some(client) = self.clients.get_mut(key) else {
                continue;
            };
            let quiet = now.saturating_duration_since(client.quiet_since);
            match client.leaving {
                Some(leaving) if now >= leaving.since + self.patience.goodbye => {
                    self.drop_client(key, reactor)
                }
                Some(_) => {}
                None if client.stream.unsent() > 0 && quiet >= self.patience.unread => {
                    self.drop_client(key, reactor)
                }
                None if client.overdue(&self.patience, now) => self.put_out(key, now, reactor),
                // Its time for a first request may be over.
                None if self.closing => self.write(key, now, reactor),
                None => {}
            }
        }
        self.clear_idle(now, reactor);
        now + LOOK_OVER
    }

    /// Turns a client out that has run out of time, unless what it has sent until now changes that.
    fn put_out(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        self.take_in(key, now, reactor);
        if self
            .clients
            .get(key)
            .is_some_and(|client| client.overdue(&self.patience, now))
        {
            let why = Malformed("nothing whole was asked for in time".into());
            self.turn_out(key, server::protocol_violation(&why));
        }
        self.write(key, now, reactor);
    }

    /// `ended`: the client is known to have closed its side. One that has is gone, even with answers to come.
    pub fn ready(&mut self, key: Key, ended: bool, now: Instant, reactor: &Reactor) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let takes_more = client.takes_more(&self.patience);
        let gone = match (&mut client.leaving, takes_more) {
            (Some(leaving), _) if leaving.room > 0 => {
                let (filled, thrown_away) = client.stream.discard_input();
                leaving.room = leaving.room.saturating_sub(thrown_away);
                filled == ReadStatus::Ended || ended && leaving.room == 0
            }
            (Some(_), _) => ended,
            // What it sent before it left needs no answer, read or not.
            (None, _) if ended => true,
            (None, true) => client.stream.fill(server::INPUT_LIMIT) == ReadStatus::Ended,
            (None, false) => false,
        };
        if gone {
            return self.drop_client(key, reactor);
        }
        self.read(key, now);
        self.write(key, now, reactor);
    }

    /// Turns what has come into requests, as far as the client may have more.
    fn read(&mut self, key: Key, now: Instant) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let first = client.stream.input.len();
        let mut cancels = None;
        while client.takes_more(&self.patience) {
            let greeted = client.greeted;
            let step = match greeted {
                _ if client.headed => header(client),
                true => command(client, key, now),
                false => greet(client),
            };
            match step {
                Ok(Step::Wait) => break,
                Ok(Step::Gone) => {
                    client.gone = true;
                    break;
                }
                Ok(Step::Cancel(named)) => {
                    client.gone = true;
                    cancels = Some(named);
                    break;
                }
                Ok(Step::Rejected(why)) => {
                    self.misunderstood.warn(now, || {
                        format!("front: a statement is not understood: {why}")
                    });
                    self.not_understood += 1;
                    client.expect(Some(server::response(Answer::Rejected(why))));
                    client.quiet_since = now;
                }
                Ok(Step::Next) if greeted => client.quiet_since = now,
                Ok(Step::Next) => {}
                Ok(Step::Asked(ticket, request)) => {
                    client.again = client.asked;
                    client.asked = true;
                    // Whoever asks is a client.
                    self.checking -= usize::from(std::mem::take(&mut client.check));
                    client.quiet_since = now;
                    self.events.push_back(Event::Asked(ticket, request));
                }
                Err(why) => {
                    self.misunderstood
                        .warn(now, || format!("front: a client is not understood: {why}"));
                    self.turned_out += 1;
                    client.expect(Some(server::protocol_violation(&why)));
                    client.ending = Some(Ending::Told);
                }
            }
        }
        if let Some(named) = cancels {
            return self.cancel(named);
        }
        let partial = client.takes_more(&self.patience) && !client.stream.input.is_empty();
        // Guards against commands that are begun by many at once and never ended: each is within its limit, all of
        // them together are not.
        if partial && client.stream.input.len() > LARGE {
            let bytes: usize = self.clients.iter().map(|(_, c)| c.stream.input.len()).sum();
            if bytes > self.limits.unfinished {
                return self.turn_out(key, server::out_of_memory());
            }
        }
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // What is there now is the begin of another command than before, if any was used up.
        let same = client.begun.filter(|_| client.stream.input.len() == first);
        client.begun = same.or(Some(now)).filter(|_| partial);
    }

    /// The request that the session of this key waits for is cancelled; there may be none.
    fn cancel(&mut self, named: CancelKey) {
        let Some((key, client)) = self.clients.iter().find(|(_, c)| c.cancel_key == named) else {
            return;
        };
        let waits = |slot: &Slot| matches!(slot, Slot::Waiting);
        if let Some(place) = client.answers.iter().position(waits) {
            let number = client.first + place as u64;
            self.events.push_back(Event::Cancelled(ResponseSlot {
                client: key,
                number,
            }));
        }
    }

    /// The last word to a client: nothing more is taken in from it.
    fn turn_out(&mut self, key: Key, why: Vec<u8>) {
        if let Some(client) = self.clients.get_mut(key) {
            self.turned_out += 1;
            client.expect(Some(why));
            client.ending = Some(Ending::Told);
        }
    }

    /// The final answer to a request; it goes out when all before it on the connection have.
    pub fn answer(
        &mut self,
        ticket: ResponseSlot,
        answer: Answer,
        now: Instant,
        reactor: &Reactor,
    ) {
        let Some(client) = self.clients.get_mut(ticket.client) else {
            return;
        };
        let Some(place) = client
            .place(ticket)
            .and_then(|at| client.answers.get_mut(at))
        else {
            return;
        };
        let mut bytes = server::response(answer);
        if let Slot::Passing(begun) = place {
            begun.append(&mut bytes);
            bytes = std::mem::take(begun);
        }
        *place = Slot::Ready(bytes);
        self.write(ticket.client, now, reactor);
        if self.clients.len() > self.limits.packed {
            self.clear_idle(now, reactor);
        }
    }

    /// A part of an answer; false: no more may come until [`Event::Room`] is told.
    pub fn pass(
        &mut self,
        ticket: ResponseSlot,
        bytes: &[u8],
        now: Instant,
        reactor: &Reactor,
    ) -> bool {
        let Some(client) = self.clients.get_mut(ticket.client) else {
            return true;
        };
        let Some(place) = client
            .place(ticket)
            .and_then(|at| client.answers.get_mut(at))
        else {
            return true;
        };
        match place {
            Slot::Passing(begun) => begun.extend_from_slice(bytes),
            Slot::Ready(_) => return true,
            Slot::Waiting => *place = Slot::Passing(bytes.to_vec()),
        }
        self.write(ticket.client, now, reactor);
        let crowded = self.unsent() >= self.limits.passing;
        let Some(client) = self.clients.get_mut(ticket.client) else {
            return true;
        };
        let first = client.first == ticket.number;
        client.starved |= !first || client.stream.unsent() >= window(crowded);
        !client.starved
    }

    /// More may come for a client that has taken its answer but for so many bytes.
    fn make_room(&mut self, key: Key, left: usize) {
        let Some(client) = self
            .clients
            .get_mut(key)
            .filter(|c| c.stream.unsent() <= left)
        else {
            return;
        };
        client.starved = false;
        let number = client.first;
        self.events.push_back(Event::Room(ResponseSlot {
            client: key,
            number,
        }));
    }

    /// Bytes of answers that clients have not taken.
    pub fn unsent(&self) -> usize {
        self.clients.iter().map(|(_, c)| c.stream.unsent()).sum()
    }

    /// An answer that has begun will never be whole: the client can tell by the end of its connection.
    pub fn cut(&mut self, ticket: ResponseSlot, now: Instant, reactor: &Reactor) {
        let Some(client) = self.clients.get_mut(ticket.client) else {
            return;
        };
        let Some(at) = client.place(ticket) else {
            return;
        };
        let behind = client.answers.split_off((at + 1).min(client.answers.len()));
        for (number, slot) in (ticket.number + 1..).zip(behind) {
            if !matches!(slot, Slot::Ready(_)) {
                self.events.push_back(Event::Left(ResponseSlot {
                    client: ticket.client,
                    number,
                }));
            }
        }
        if let Some(slot) = client.answers.get_mut(at) {
            if let Slot::Passing(begun) = slot {
                *slot = Slot::Ready(std::mem::take(begun));
            }
            client.ending = Some(Ending::Unread);
        }
        self.write(ticket.client, now, reactor);
    }

    fn write(&mut self, key: Key, now: Instant, reactor: &Reactor) {
        // Once a call: a client that never stops sending must not hold the loop.
        let mut looked = false;
        loop {
            let Some(client) = self.clients.get_mut(key) else {
                return;
            };
            if client.gone {
                return self.drop_client(key, reactor);
            }
            let full = !client.takes_more(&self.patience);
            while let Some(slot) = client.answers.front_mut() {
                let (bytes, whole) = match slot {
                    Slot::Waiting => break,
                    Slot::Ready(bytes) => (std::mem::take(bytes), true),
                    Slot::Passing(bytes) => (std::mem::take(bytes), false),
                };
                client.stream.push(&bytes);
                if client.asked {
                    client.quiet_since = now;
                }
                if !whole {
                    break;
                }
                client.answers.pop_front();
                client.first += 1;
            }
            let unsent = client.stream.unsent();
            let Ok(written) = client.stream.flush() else {
                return self.drop_client(key, reactor);
            };
            if client.stream.unsent() < unsent && client.asked {
                // It takes its answers, however slowly.
                client.quiet_since = now;
            }
            let passes = matches!(client.answers.front(), Some(Slot::Passing(_)));
            if client.starved && passes && client.stream.unsent() <= WINDOW.1 / 2 {
                let crowded = self.unsent() >= self.limits.passing;
                self.make_room(key, window(crowded) / 2);
            }
            let Some(client) = self.clients.get_mut(key) else {
                return;
            };
            if written && client.answers.is_empty() {
                if self.closing && !looked && client.may_close(now) {
                    looked = true;
                    if self.take_in(key, now, reactor) {
                        continue;
                    }
                    let Some(client) = self.clients.get_mut(key) else {
                        return;
                    };
                    client.part();
                } else if client.ending.is_some() && client.leaving.is_none() {
                    client.leave(now);
                }
            }
            let Some(client) = self.clients.get_mut(key) else {
                return;
            };
            // Commands that had to wait for room are in the buffer, not in the socket: no event tells of them.
            if full && client.takes_more(&self.patience) && !client.stream.input.is_empty() {
                self.read(key, now);
                continue;
            }
            let listens = client
                .leaving
                .map_or(client.takes_more(&self.patience), |leaving| {
                    leaving.room > 0
                });
            let interest = Interest {
                read: listens,
                write: !written,
            };
            if client
                .stream
                .watch(reactor, Token::Client(key), interest)
                .is_err()
            {
                self.drop_client(key, reactor);
            }
            return;
        }
    }

    fn remove(&mut self, key: Key) -> Option<Client> {
        let client = self.clients.remove(key)?;
        self.checking -= usize::from(client.check);
        Some(client)
    }

    fn drop_client(&mut self, key: Key, reactor: &Reactor) {
        let Some(client) = self.remove(key) else {
            return;
        };
        // Nothing that the chain has not seen yet is begun for it.
        self.events
            .retain(|event| !matches!(event, Event::Asked(ticket, _) if ticket.client == key));
        for (number, answer) in (client.first..).zip(&client.answers) {
            if !matches!(answer, Slot::Ready(_)) {
                self.events.push_back(Event::Left(ResponseSlot {
                    client: key,
                    number,
                }));
            }
        }
        self.pause(false, reactor);
    }

    /// Whether another process accepts from the same queue in place of this one.
    pub fn leave_to_heir(&mut self, leave: bool, reactor: &Reactor) {
        self.left_to_heir = leave;
        self.pause(leave, reactor);
    }

    pub fn listener(&self) -> Option<&OwnedFd> {
        self.listener.as_ref()
    }

    /// Whoever there was no place for is told so: closed with the listener, its connection would just be reset.
    fn refuse_waiting(&mut self, now: Instant, reactor: &Reactor) {
        while let Some(Ok((stream, peer))) = self.listener.as_ref().map(listener::accept) {
            let key = self.adopt(stream, peer, now, reactor);
            self.turn_out(key, server::too_many_connections());
            self.write(key, now, reactor);
        }
    }

    /// Takes no new connection from now on, once those that wait are taken, and closes each connection as
    /// soon as nothing is owed on it. One that has not sent its startup may have a request right behind it.
    pub fn close(&mut self, now: Instant, reactor: &Reactor) {
        if !self.left_to_heir {
            self.accept(now, reactor);
            self.refuse_waiting(now, reactor);
        }
        if let Some(listener) = self.listener.take() {
            reactor.deregister(&listener);
        }
        self.closing = true;
        for key in self.clients.keys() {
            // A request that has come already is read and answered, not cut off.
            self.ready(key, false, now, reactor);
        }
    }
}
