//! The operators' control socket: a line in, lines out, over a Unix socket that only its owner may use.

use crate::event_loop::listener;
use crate::event_loop::reactor::{Interest, Reactor};
use crate::event_loop::slab::{Key, Slab};
use crate::event_loop::stream::{ReadStatus, Stream};
use crate::event_loop::token::Token;
use ::rollout::Hash;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    Drain,
    Undrain,
    Status,
    /// All of them, or one by its name.
    Sites(Option<String>),
    Rollout(Said),
}

/// Of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    Propose(Hash),
    /// The same, though it was halted before.
    Resume(Hash),
    Halt,
    Return,
    Status,
}

/// At once; who has more to say waits.
const CONNECTIONS: usize = 4;
const LINE_LIMIT: usize = 128;
const PATIENCE: Duration = Duration::from_secs(2);

pub struct Operate {
    listener: OwnedFd,
    path: PathBuf,
    /// Which file of the place is this process's.
    file: u64,
    peers: Slab<Peer>,
}

struct Peer {
    stream: Stream,
    since: Instant,
    /// It has its answer.
    answered: bool,
}

impl Operate {
    /// A socket that is left over from a process that is gone is replaced; one that answers is another proxy's, but an
    /// heir takes that of its elder, whose words are its own from then on.
    pub fn listen(path: &Path, heir: bool, reactor: &Reactor) -> io::Result<Operate> {
        if !heir && UnixStream::connect(path).is_ok() {
            return Err(io::Error::new(
                io::ErrorKind::AddrInUse,
                "the control socket is another proxy's",
            ));
        }
        let (listener, file) = Operate::bind(path, reactor)?;
        Ok(Operate {
            listener,
            path: path.to_owned(),
            file,
            peers: Slab::default(),
        })
    }

    /// The place was an heir's that is gone.
    pub fn listen_again(&mut self, reactor: &Reactor) {
        if UnixStream::connect(&self.path).is_ok() {
            return;
        }
        match Operate::bind(&self.path, reactor) {
            Ok((listener, file)) => (self.listener, self.file) = (listener, file),
            Err(error) => {
                let path = self.path.display();
                log::warn!(
                    "control: nobody listens at {path} any more: {error}. Send SIGTERM to drain, or restart."
                );
            }
        }
    }

    fn bind(path: &Path, reactor: &Reactor) -> io::Result<(OwnedFd, u64)> {
        let listener = listener::listen_unix_replacing(path)?;
        reactor.register(&listener, Token::ControlSocketListener, Interest::READ)?;
        Ok((listener, std::fs::symlink_metadata(path)?.ino()))
    }

    pub fn accept(&mut self, now: Instant, reactor: &Reactor) {
        let token = Token::ControlSocketListener;
        while let Ok((mut stream, _)) = listener::accept_or_pause(&self.listener, token, reactor) {
            if self.peers.len() >= CONNECTIONS {
                stream.push(b"error: too many at once\n");
                _ = stream.flush();
                continue;
            }
            let key = self.peers.insert(Peer {
                stream,
                since: now,
                answered: false,
            });
            if let Some(peer) = self.peers.get_mut(key) {
                if peer
                    .stream
                    .watch(reactor, Token::ControlSocket(key), Interest::READ)
                    .is_err()
                {
                    self.peers.remove(key);
                }
            }
        }
    }

    /// A word that has come whole, and who awaits its answer.
    pub fn ready(&mut self, key: Key, reactor: &Reactor) -> Option<(Key, Word)> {
        let peer = self.peers.get_mut(key)?;
        let filled = peer.stream.fill(LINE_LIMIT);
        let input = peer.stream.input.unused();
        let line = input
            .iter()
            .position(|b| *b == b'\n')
            .and_then(|end| std::str::from_utf8(&input[..end]).ok());
        let word = match line.map(str::trim) {
            Some("drain") => Some(Word::Drain),
            Some("undrain") => Some(Word::Undrain),
            Some("status") => Some(Word::Status),
            Some("sites") => Some(Word::Sites(None)),
            Some(line) if line.starts_with("sites ") => Some(Word::Sites(
                line.strip_prefix("sites ")
                    .map(|name| name.trim().to_owned()),
            )),
            Some(line) => line
                .strip_prefix("rollout ")
                .and_then(crate::cluster::rollout::said)
                .map(Word::Rollout),
            None if filled == ReadStatus::Ended || input.len() >= LINE_LIMIT => {
                self.peers.remove(key);
                return None;
            }
            None => {
                _ = peer
                    .stream
                    .watch(reactor, Token::ControlSocket(key), Interest::READ);
                return None;
            }
        };
        if peer.answered {
            self.peers.remove(key);
            return None;
        }
        peer.answered = true;
        if word.is_none() {
            self.answer(key, "error: the words are drain, undrain, status, sites (NAME) and rollout (propose HASH, resume HASH, halt, return, status)\n");
        }
        word.map(|word| (key, word))
    }

    /// One answer, and the connection ends. What the socket does not take at once is sent by [`Operate::look_over`].
    pub fn answer(&mut self, key: Key, text: &str) {
        let Some(peer) = self.peers.get_mut(key) else {
            return;
        };
        peer.stream.push(text.as_bytes());
        if !matches!(peer.stream.flush(), Ok(false)) {
            self.peers.remove(key);
        }
    }

    pub fn look_over(&mut self, now: Instant) {
        for key in self.peers.keys() {
            let Some(peer) = self.peers.get_mut(key) else {
                continue;
            };
            let sent = peer.answered && !matches!(peer.stream.flush(), Ok(false));
            if sent || now.saturating_duration_since(peer.since) >= PATIENCE {
                self.peers.remove(key);
            }
        }
    }
}

impl Drop for Operate {
    fn drop(&mut self) {
        if std::fs::symlink_metadata(&self.path).is_ok_and(|at| at.ino() == self.file) {
            _ = std::fs::remove_file(&self.path);
        }
    }
}
