//! The connections between the processes of one proxy while more than one runs.

use super::handover::{send_start, HandoverState};
use crate::event_loop::listener;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::{Key, Slab};
use crate::event_loop::stream::{ReadStatus, Stream};
use crate::event_loop::token::Token;
use serde::{Deserialize, Serialize};
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

const MAX_LINE_BYTES: usize = 4 << 10;
/// Maximum links, which bounds the restarts that overlap.
const MAX_LINKS: usize = 4;
/// Unsent bytes above which a link is closed, since the process at the other end no longer reads.
const MAX_UNSENT_BYTES: usize = 256 << 10;

/// A message on a link, sent as one line of JSON. Earlier and later builds read the names in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// An operator has excluded the record server of this name.
    #[serde(rename = "Out")]
    Excluded(String),
    /// An operator has included the record server of this name again.
    #[serde(rename = "In")]
    Included(String),
    /// The new process accepts clients from the old one's queue.
    Serving,
    /// The new process accepts clients, but at another address: the old process still serves clients at its own address.
    /// An old process whose build does not support this message continues as if there were no new process.
    ServingElsewhere,
}

/// An event on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A message has arrived.
    Message(PeerMessage),
    /// The process at the other end has closed the link or ended.
    Closed,
}

/// The socket for the next process, and the links to other processes of this proxy.
pub struct HotRestart {
    path: PathBuf,
    listener: OwnedFd,
    links: Slab<Link>,
}

struct Link {
    stream: Stream,
    /// Whether the other end is the old process.
    to_old_process: bool,
    /// Whether the other end is the new process and accepts clients.
    serving: bool,
    /// Whether the new process accepts clients from this process's accept queue.
    shares_queue: bool,
}

impl Link {
    fn new(stream: Stream, to_old_process: bool) -> Link {
        Link {
            stream,
            to_old_process,
            serving: false,
            shares_queue: false,
        }
    }

    fn note(&mut self, message: &PeerMessage) {
        match message {
            PeerMessage::Serving => {
                self.serving = true;
                self.shares_queue = true;
            }
            PeerMessage::ServingElsewhere => self.serving = true,
            PeerMessage::Excluded(_) | PeerMessage::Included(_) => {}
        }
    }

    /// Parses the complete lines of the input. Lines that cannot be parsed are logged and skipped.
    fn take_messages(&mut self) -> Vec<PeerMessage> {
        let mut messages = Vec::new();
        while let Some(end) = self.stream.input.unused().iter().position(|b| *b == b'\n') {
            match serde_json::from_slice(&self.stream.input.unused()[..end]) {
                Ok(message) => {
                    self.note(&message);
                    messages.push(message);
                }
                Err(error) => log::warn!("takeover: a message from another process of this proxy cannot be parsed: {error}"),
            }
            self.stream.input.consume(end + 1);
        }
        messages
    }
}

impl HotRestart {
    /// Listens for the next process at `path`, and replaces the socket of the process that listened there.
    pub fn listen(path: &Path, reactor: &Reactor) -> io::Result<HotRestart> {
        let listener = HotRestart::bind(path, reactor)?;
        Ok(HotRestart {
            path: path.to_owned(),
            listener,
            links: Slab::default(),
        })
    }

    /// Listens again after the new process, which had replaced the socket, has ended.
    pub fn listen_again(&mut self, reactor: &Reactor) {
        match HotRestart::bind(&self.path, reactor) {
            Ok(listener) => self.listener = listener,
            Err(error) => log::warn!(
                "takeover: the socket for the next process cannot be opened again: {error}"
            ),
        }
    }

    fn bind(path: &Path, reactor: &Reactor) -> io::Result<OwnedFd> {
        let listener = listener::listen_unix_replacing(path)?;
        reactor.register(&listener, Token::HotRestartListener, Interest::READ)?;
        Ok(listener)
    }

    /// Keeps the link to the old process, and notifies it that this process accepts clients. `shares_queue`: from the old
    /// process's accept queue.
    pub fn link_to_old_process(
        &mut self,
        stream: UnixStream,
        shares_queue: bool,
        reactor: &Reactor,
    ) {
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        self.links
            .insert(Link::new(Stream::new(stream.into()), true));
        let message = if shares_queue {
            PeerMessage::Serving
        } else {
            PeerMessage::ServingElsewhere
        };
        self.send(&message, None, reactor);
    }

    /// Hands over the state and the clients' listener to each process that has connected. Without a listener the
    /// connections are closed.
    pub fn accept(
        &mut self,
        state: impl Fn() -> HandoverState,
        clients: Option<&OwnedFd>,
        reactor: &Reactor,
    ) {
        let token = Token::HotRestartListener;
        for _ in 0..listener::MAX_ACCEPTS_PER_EVENT {
            let Ok((stream, _)) = listener::accept_or_pause(&self.listener, token, reactor) else {
                return;
            };
            let Some(clients) = clients.filter(|_| self.links.len() < MAX_LINKS) else {
                continue;
            };
            let Ok(text) = serde_json::to_vec(&state()) else {
                continue;
            };
            self.hand_over(stream, text, clients, reactor);
        }
        listener::continue_later(token, reactor);
    }

    fn hand_over(
        &mut self,
        mut stream: Stream,
        mut text: Vec<u8>,
        clients: &OwnedFd,
        reactor: &Reactor,
    ) {
        text.push(b'\n');
        match send_start(stream.fd(), &text, clients) {
            Ok(sent) => stream.push(&text[sent..]),
            Err(error) => {
                log::warn!("takeover: the state cannot be handed over: {error}");
                return;
            }
        }
        log::info!("takeover: another process has asked for what this one has");
        let key = self.links.insert(Link::new(stream, false));
        self.flush(key, reactor);
    }

    /// Handles a link that is ready; returns its events.
    pub fn ready(&mut self, key: Key, reactor: &Reactor) -> Vec<LinkEvent> {
        let Some(link) = self.links.get_mut(key) else {
            return Vec::new();
        };
        let filled = link.stream.fill(MAX_LINE_BYTES);
        let messages = link.take_messages().into_iter();
        let mut events: Vec<LinkEvent> = messages.map(LinkEvent::Message).collect();
        if filled == ReadStatus::Ended || link.stream.input.len() >= MAX_LINE_BYTES {
            self.links.remove(key);
            events.push(LinkEvent::Closed);
        } else {
            self.flush(key, reactor);
        }
        events
    }

    /// Sends a message to all other processes, except the one from which it was received.
    pub fn send(&mut self, message: &PeerMessage, from: Option<Key>, reactor: &Reactor) {
        let Ok(mut line) = serde_json::to_vec(message) else {
            return;
        };
        line.push(b'\n');
        for key in self.links.keys() {
            if let Some(link) = self.links.get_mut(key).filter(|_| from != Some(key)) {
                link.stream.push(&line);
                self.flush(key, reactor);
            }
        }
    }

    fn flush(&mut self, key: Key, reactor: &Reactor) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        let flushed = link.stream.flush();
        let interest = Interest {
            read: true,
            write: matches!(flushed, Ok(false)),
        };
        let watched = link.stream.watch(reactor, Token::HotRestart(key), interest);
        if flushed.is_err() || watched.is_err() || link.stream.unsent() > MAX_UNSENT_BYTES {
            self.links.remove(key);
        }
    }

    /// Whether a new process of this proxy accepts clients.
    pub fn has_new_process(&self) -> bool {
        self.links.iter().any(|(_, link)| link.serving)
    }

    /// Whether a new process has received the handover, whether or not it serves yet.
    pub fn has_successor(&self) -> bool {
        self.links.iter().any(|(_, link)| !link.to_old_process)
    }

    /// Whether the new process accepts clients in place of this one.
    pub fn new_process_accepts(&self) -> bool {
        self.links.iter().any(|(_, link)| link.shares_queue)
    }

    /// Whether the old process still runs, to finish its requests.
    pub fn has_old_process(&self) -> bool {
        self.links.iter().any(|(_, link)| link.to_old_process)
    }
}
