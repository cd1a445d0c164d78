//! One client: what is known of its connection, and its next command read off it.

use crate::config::Patience;
use crate::event_loop::slab::Key;
use crate::event_loop::stream::Stream;
use crate::protocol::postgres::server::{self, CancelKey, ClientMessage, Startup};
use crate::protocol::postgres::statement::{self, Query};
use crate::protocol::postgres::Malformed;
use crate::request::{Request, ResponseSlot};
use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::{Duration, Instant};
use wire_health::proxy::{self, From};

/// A client that has been told why its connection ends may still send this much while it has time to read it:
/// closed at once with bytes unread, the connection would be reset and the word lost on its way.
const LEAVE_BYTES: usize = 1 << 20;
/// While the proxy closes, a new connection that has been welcomed has this long, from its accept, to send its first
/// request: many clients wait for the welcome first.
const FIRST_REQUEST: Duration = Duration::from_millis(500);

/// What a command of a client gets.
#[derive(Debug)]
pub(super) enum Slot {
    Waiting,
    /// Whole, or all that there will be of it.
    Ready(Vec<u8>),
    /// Some of it; it goes out as soon as it is the first.
    Passing(Vec<u8>),
}

/// Why nothing more is taken in from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// It has been told why. What it still sends is read and thrown away, or it might not come to read that.
    Told,
    /// It is between requests, or its answer was cut off. What it still sends stays unread: it asks that again elsewhere.
    Unread,
}

/// A connection whose last byte is written, and whose peer has been told so.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    /// Since when it has had time to read all that it gets.
    pub(super) since: Instant,
    /// Bytes that are still read and thrown away.
    pub(super) room: usize,
}

pub(super) struct Client {
    pub(super) stream: Stream,
    pub(super) cancel_key: CancelKey,
    pub(super) peer: IpAddr,
    /// A header has to name the client first.
    pub(super) headed: bool,
    /// A balancer's connection that has asked for nothing: no client.
    pub(super) check: bool,
    pub(super) greeted: bool,
    /// Ignores messages until Sync, as after any error in the extended protocol.
    pub(super) skipping: bool,
    /// Nothing more is taken in; the connection ends once everything is written and the peer has read it.
    pub(super) ending: Option<Ending>,
    pub(super) leaving: Option<Leaving>,
    /// Some request of it was sound; more than one.
    pub(super) asked: bool,
    pub(super) again: bool,
    /// It has said that it goes: no answer is of use any more.
    pub(super) gone: bool,
    pub(super) answers: VecDeque<Slot>,
    /// More of an answer is held back for it.
    pub(super) starved: bool,
    /// The number of the first of these.
    pub(super) first: u64,
    /// Since when no command has come whole from it and no answer gone to it.
    pub(super) quiet_since: Instant,
    /// Since when it is at a command that has not come whole.
    pub(super) begun: Option<Instant>,
}

impl Client {
    pub(super) fn new(
        stream: Stream,
        cancel_key: CancelKey,
        peer: IpAddr,
        headed: bool,
        check: bool,
        now: Instant,
    ) -> Client {
        Client {
            stream,
            cancel_key,
            peer,
            headed,
            check,
            greeted: false,
            skipping: false,
            ending: None,
            leaving: None,
            asked: false,
            again: false,
            gone: false,
            answers: VecDeque::new(),
            starved: false,
            first: 0,
            quiet_since: now,
            begun: None,
        }
    }

    /// Of a request among those not answered yet.
    pub(super) fn place(&self, ticket: ResponseSlot) -> Option<usize> {
        usize::try_from(ticket.number.checked_sub(self.first)?).ok()
    }

    pub(super) fn idle(&self) -> bool {
        self.answers.is_empty() && self.stream.unsent() == 0 && self.stream.input.is_empty()
    }

    pub(super) fn expect(&mut self, answer: Option<Vec<u8>>) -> u64 {
        self.answers
            .push_back(answer.map_or(Slot::Waiting, Slot::Ready));
        self.first + self.answers.len() as u64 - 1
    }

    /// It has never got as far as a request.
    pub(super) fn silent(&self) -> bool {
        !self.asked && self.answers.is_empty() || self.leaving.is_some()
    }

    /// It has run out of time for its first request, or for the rest of a command that it has begun.
    pub(super) fn overdue(&self, patience: &Patience, now: Instant) -> bool {
        let waits = self.answers.is_empty() && self.stream.unsent() == 0;
        let slow = self
            .begun
            .is_some_and(|at| now.saturating_duration_since(at) >= patience.first);
        let quiet = now.saturating_duration_since(self.quiet_since);
        waits && (slow || !self.asked && quiet >= patience.first)
    }

    /// While the proxy closes: nothing is owed on the connection, nor is a first request about to come.
    pub(super) fn may_close(&self, now: Instant) -> bool {
        let quiet = now.saturating_duration_since(self.quiet_since);
        self.ending.is_none()
            && self.greeted
            && self.idle()
            && (self.asked || quiet >= FIRST_REQUEST)
    }

    /// Ends the connection between two requests. The time since its last answer counts: who has had that long to read it
    /// need not be waited for.
    pub(super) fn part(&mut self) {
        self.ending = Some(Ending::Unread);
        self.leave(self.quiet_since);
    }

    /// Everything is written: tells the peer so, and waits for its end.
    pub(super) fn leave(&mut self, since: Instant) {
        let room = if self.ending == Some(Ending::Told) {
            LEAVE_BYTES
        } else {
            0
        };
        self.leaving = Some(Leaving { since, room });
        self.stream.end_output();
    }

    /// Room for more commands, and a peer that takes its answers.
    pub(super) fn takes_more(&self, patience: &Patience) -> bool {
        self.ending.is_none()
            && self.answers.len() < patience.pipeline
            && self.stream.unsent() < patience.unsent
    }
}

#[allow(
    clippy::large_enum_variant,
    reason = "lives for one call, and the large variant is the usual one"
)]
pub(super) enum Step {
    /// The next message has not come in full.
    Wait,
    Next,
    /// The client takes its leave.
    Gone,
    /// The client came to cancel another session's request, and goes.
    Cancel(CancelKey),
    Asked(ResponseSlot, Request),
    /// A statement that is no request, and why.
    Rejected(String),
}

/// Who the client is, as the balancer before it says.
pub(super) fn header(client: &mut Client) -> Result<Step, Malformed> {
    let found =
        proxy::parse(client.stream.input.unused()).map_err(|fault| Malformed(fault.to_string()))?;
    let Some((from, used)) = found else {
        return Ok(Step::Wait);
    };
    client.stream.input.consume(used);
    client.headed = false;
    if let From::Client(address) = from {
        client.peer = address.ip();
    }
    Ok(Step::Next)
}

pub(super) fn greet(client: &mut Client) -> Result<Step, Malformed> {
    let Some((startup, used)) =
        server::parse_startup(client.stream.input.unused(), client.cancel_key)?
    else {
        return Ok(Step::Wait);
    };
    client.stream.input.consume(used);
    match startup {
        Startup::Session(welcome) => {
            client.greeted = true;
            client.expect(Some(welcome));
        }
        Startup::Encryption => _ = client.expect(Some(b"N".to_vec())),
        Startup::Cancel(named) => return Ok(Step::Cancel(named)),
    }
    Ok(Step::Next)
}

pub(super) fn command(client: &mut Client, key: Key, now: Instant) -> Result<Step, Malformed> {
    let Some((asked, used)) = server::parse_client_message(client.stream.input.unused())? else {
        return Ok(Step::Wait);
    };
    let (mut request, mut rejected) = (None, None);
    let answer = match asked {
        ClientMessage::Terminate => return Ok(Step::Gone),
        ClientMessage::Sync => {
            client.skipping = false;
            Some(server::ready_for_query())
        }
        ClientMessage::Unsupported(tag) if !client.skipping => {
            client.skipping = true;
            Some(server::unsupported(tag))
        }
        ClientMessage::Unsupported(_) => None,
        ClientMessage::Query(_) if client.skipping => None,
        ClientMessage::Query(text) => match statement::parse(text, now) {
            Ok(Query::Empty) => Some(server::empty_query()),
            Ok(Query::Setting(tag)) => Some(server::command_complete(tag)),
            Ok(Query::Request(read)) => {
                request = Some(Request {
                    client: client.peer,
                    ..read
                });
                None
            }
            Err(why) => {
                rejected = Some(why.to_string());
                None
            }
        },
    };
    client.stream.input.consume(used);
    if let Some(request) = request {
        let number = client.expect(None);
        return Ok(Step::Asked(
            ResponseSlot {
                client: key,
                number,
            },
            request,
        ));
    }
    if let Some(why) = rejected {
        return Ok(Step::Rejected(why));
    }
    if answer.is_some() {
        client.expect(answer);
    }
    Ok(Step::Next)
}
