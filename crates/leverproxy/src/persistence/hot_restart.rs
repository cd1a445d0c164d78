//! From one process to the next over a Unix socket in `$TMPDIR`: the clients' listener, the list, the operators' word; and,
//! while both live, what operators say to either.

use crate::discovery::wire::EndpointList;
use crate::event_loop::connection::{self, Filled, Stream};
use crate::event_loop::reactor::{Interest, Key, Reactor, Slots, Token};
use maintenance::ManualExclusion;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use std::io::{self, IoSlice, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Of the message; another is not understood.
const VERSION: u32 = 1;
/// The elder answers from its loop; one that takes longer is as good as none.
const PATIENCE: Duration = Duration::from_secs(1);
const MESSAGE_LIMIT: usize = 8 << 20;
const LINE_LIMIT: usize = 4 << 10;
/// Upgrades that overlap.
const LINKS: usize = 4;
/// A line that the other side has not read by then tells of a process that hangs.
const UNREAD: usize = 256 << 10;

/// What one process leaves to the next.
#[derive(Debug, Serialize, Deserialize)]
pub struct Estate {
    version: u32,
    pub listing: EndpointList,
    pub hands: Vec<ManualExclusion>,
    /// Descriptors in use, which the next one has to do without.
    pub clients: usize,
    pub upstream: usize,
}

impl Estate {
    pub fn new(
        listing: EndpointList,
        hands: Vec<ManualExclusion>,
        clients: usize,
        upstream: usize,
    ) -> Estate {
        Estate {
            version: VERSION,
            listing,
            hands,
            clients,
            upstream,
        }
    }
}

/// Said on the link, a line each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    Out(String),
    In(String),
    /// The heir accepts from the elder's queue.
    Serving,
    /// The heir accepts, but at another address: who comes to the former one is still the elder's. An elder of an earlier
    /// build does not understand the word, and goes on as if there were no heir.
    ServingElsewhere,
}

/// Why nothing sound came from an elder: this process then shares its address, and starts without what it knew.
#[derive(Debug, Error)]
pub enum Fault {
    #[error("it can't be read from: {0}")]
    Read(#[from] io::Error),
    #[error("it ended before its message did")]
    CutShort,
    #[error("its message has more than {MESSAGE_LIMIT} bytes")]
    Long,
    #[error("its message is not understood: {0}")]
    Form(#[from] serde_json::Error),
    #[error("its message has version {0}, and this process takes {VERSION}")]
    Version(u32),
    #[error("no listener came with its message")]
    NoListener,
}

impl Fault {
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::Read(_) | Fault::CutShort => {
                "If the elder has ended, nothing. Else both accept clients now, and this one is ready once discovery has given its list: then send the elder SIGTERM. What operators took out has to be taken out here again."
            }
            Fault::Long | Fault::Form(_) | Fault::Version(_) => {
                "The two builds do not understand each other. Both accept clients now, and this one is ready once discovery has given its list: then send the elder SIGTERM. What operators took out has to be taken out here again."
            }
            Fault::NoListener => {
                "This process is short of descriptors, or something else listens at that place in `$TMPDIR`. Both accept clients now: wait until this one is ready, then send the elder SIGTERM."
            }
        }
    }
}

/// What came of asking for an elder.
pub enum Elder {
    /// There is none.
    Nobody,
    /// There may be one, but nothing sound came from it.
    Unheard(Fault),
    Left(Box<Estate>, OwnedFd, UnixStream),
}

/// Asks the process that serves now, if there is one, for what it leaves.
pub fn ask(path: &Path) -> Elder {
    let Ok(stream) = UnixStream::connect(path) else {
        return Elder::Nobody;
    };
    match receive(&stream) {
        Ok((estate, listener)) => Elder::Left(Box::new(estate), listener, stream),
        Err(error) => Elder::Unheard(error),
    }
}

fn receive(mut stream: &UnixStream) -> Result<(Estate, OwnedFd), Fault> {
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut chunk = [0; 16 << 10];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(&mut chunk)];
    let came = recvmsg(stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)
        .map_err(io::Error::from)?
        .bytes;
    let listener = ancillary.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
        _ => None,
    });
    let mut text = chunk[..came].to_vec();
    while !text.ends_with(b"\n") {
        match stream.read(&mut chunk)? {
            0 => return Err(Fault::CutShort),
            n if text.len() + n > MESSAGE_LIMIT => return Err(Fault::Long),
            n => text.extend_from_slice(&chunk[..n]),
        }
    }
    let estate: Estate = serde_json::from_slice(&text)?;
    if estate.version != VERSION {
        return Err(Fault::Version(estate.version));
    }
    Ok((estate, listener.ok_or(Fault::NoListener)?))
}

pub struct Takeover {
    path: PathBuf,
    listener: OwnedFd,
    links: Slots<Link>,
}

struct Link {
    stream: Stream,
    /// The other end came before this process.
    elder: bool,
    /// The other end is the heir, and accepts.
    serving: bool,
    /// It accepts from this process's queue.
    in_place: bool,
}

/// What a link has to tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    Said(Said),
    /// The process at the other end is gone.
    Gone,
}

impl Takeover {
    /// From now on the next process comes here, whoever was asked before.
    pub fn listen(path: &Path, reactor: &Reactor) -> io::Result<Takeover> {
        let listener = Takeover::bind(path, reactor)?;
        Ok(Takeover {
            path: path.to_owned(),
            listener,
            links: Slots::default(),
        })
    }

    /// The place was an heir's that is gone.
    pub fn listen_again(&mut self, reactor: &Reactor) {
        match Takeover::bind(&self.path, reactor) {
            Ok(listener) => self.listener = listener,
            Err(error) => log::warn!("takeover: the next process can't be listened for: {error}"),
        }
    }

    fn bind(path: &Path, reactor: &Reactor) -> io::Result<OwnedFd> {
        let listener = connection::take_unix(path)?;
        reactor.add(&listener, Token::TakeoverListener, Interest::READ)?;
        Ok(listener)
    }

    /// Keeps the link to the elder, and tells it that this process accepts; `in_place`: from the elder's queue.
    pub fn join(&mut self, stream: UnixStream, in_place: bool, reactor: &Reactor) {
        if stream.set_nonblocking(true).is_ok() {
            let stream = Stream::new(stream.into());
            self.links.insert(Link {
                stream,
                elder: true,
                serving: false,
                in_place: false,
            });
            let said = if in_place {
                Said::Serving
            } else {
                Said::ServingElsewhere
            };
            self.say(&said, None, reactor);
        }
    }

    /// Hands the estate and the listener to whoever has come.
    pub fn accept(
        &mut self,
        estate: impl Fn() -> Estate,
        clients: Option<&OwnedFd>,
        reactor: &Reactor,
    ) {
        let token = Token::TakeoverListener;
        while let Ok((mut stream, _)) = connection::accept_or_rest(&self.listener, token, reactor) {
            let Some(clients) = clients.filter(|_| self.links.len() < LINKS) else {
                continue;
            };
            let Ok(mut text) = serde_json::to_vec(&estate()) else {
                continue;
            };
            text.push(b'\n');
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            let fds = [clients.as_fd()];
            ancillary.push(SendAncillaryMessage::ScmRights(&fds));
            match sendmsg(
                stream.fd(),
                &[IoSlice::new(&text)],
                &mut ancillary,
                SendFlags::NOSIGNAL,
            ) {
                Ok(sent) => stream.push(&text[sent..]),
                Err(error) => {
                    log::warn!("takeover: nothing can be handed over: {error}");
                    continue;
                }
            }
            log::info!("takeover: another process has asked for what this one has");
            let key = self.links.insert(Link {
                stream,
                elder: false,
                serving: false,
                in_place: false,
            });
            self.write(key, reactor);
        }
    }

    pub fn ready(&mut self, key: Key, reactor: &Reactor) -> Vec<Word> {
        let Some(link) = self.links.get_mut(key) else {
            return Vec::new();
        };
        let filled = link.stream.fill(LINE_LIMIT);
        let mut words = Vec::new();
        while let Some(end) = link.stream.input.unused().iter().position(|b| *b == b'\n') {
            match serde_json::from_slice(&link.stream.input.unused()[..end]) {
                Ok(said) => {
                    link.in_place |= said == Said::Serving;
                    link.serving |= matches!(said, Said::Serving | Said::ServingElsewhere);
                    words.push(Word::Said(said));
                }
                Err(error) => log::warn!("takeover: a word is not understood: {error}"),
            }
            link.stream.input.consume(end + 1);
        }
        if filled == Filled::Ended || link.stream.input.len() >= LINE_LIMIT {
            self.links.remove(key);
            words.push(Word::Gone);
        } else {
            self.write(key, reactor);
        }
        words
    }

    /// To all other processes but the one that said it.
    pub fn say(&mut self, said: &Said, from: Option<Key>, reactor: &Reactor) {
        let Ok(mut line) = serde_json::to_vec(said) else {
            return;
        };
        line.push(b'\n');
        for key in self.links.keys() {
            if let Some(link) = self.links.get_mut(key).filter(|_| from != Some(key)) {
                link.stream.push(&line);
                self.write(key, reactor);
            }
        }
    }

    fn write(&mut self, key: Key, reactor: &Reactor) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        let flushed = link.stream.flush();
        let interest = Interest {
            read: true,
            write: matches!(flushed, Ok(false)),
        };
        let watched = link.stream.watch(reactor, Token::Takeover(key), interest);
        if flushed.is_err() || watched.is_err() || link.stream.unsent() > UNREAD {
            self.links.remove(key);
        }
    }

    /// Another process goes on under this one's name.
    pub fn has_heir(&self) -> bool {
        self.links.iter().any(|(_, link)| link.serving)
    }

    /// It accepts in place of this one.
    pub fn heir_accepts(&self) -> bool {
        self.links.iter().any(|(_, link)| link.in_place)
    }

    /// The process before this one still serves what it took.
    pub fn has_elder(&self) -> bool {
        self.links.iter().any(|(_, link)| link.elder)
    }
}

#[cfg(test)]
mod recorded;
