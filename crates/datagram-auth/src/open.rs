//! Datagrams into messages, and the reasons why one is none.

use crate::head::{Body, Front, MAGIC, VERSION};
use crate::keys::{KeyId, Keys, MAC_BYTES};
use crate::window::Window;
use crate::{DATAGRAM_LIMIT, NAME_LIMIT, PAYLOAD_LIMIT};
use std::collections::BTreeMap;
use thiserror::Error;

/// What a member has said, for the first time.
#[derive(Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    pub from: &'a str,
    /// Grows with each start of the sender.
    pub start: u64,
    pub kind: u8,
    pub roster_version: u64,
    pub payload: &'a [u8],
}

/// Why a datagram is not taken in.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Refused {
    #[error("a datagram has {0} bytes, more than {DATAGRAM_LIMIT}: no member sends such; look for who else uses the port")]
    TooLong(usize),
    #[error("a datagram begins with {}: it is not from a proxy; look for who else uses the port", hex::encode(.0))]
    NotOurs([u8; 4]),
    #[error(
        "a datagram can be read from version {least} on, and this proxy has {VERSION}: upgrade this proxy"
    )]
    Newer { least: u8 },
    #[error("a datagram is signed by the key {}, which is not in the key file: state the fleet's keys there, and reload", hex::encode(.0))]
    UnknownKey([u8; 4]),
    #[error(
        "a datagram's signature is wrong: it was damaged, or somebody without the key sends to this port"
    )]
    BadMac,
    #[error("a datagram is cut short or not formed as its version asks: a sender of another make, or somebody who tries; look who sends")]
    Malformed,
    #[error(
        "a datagram bears this proxy's own name: two proxies have the same LB_NAME, or it was sent back"
    )]
    OwnName,
    #[error("a datagram is from {0:?}, which has no section member: state it in the roster, or take the key from it")]
    UnknownSender(String),
    #[error("a datagram is of a start {start} of its sender, and a later one is known ({known}): it was sent again, or the sender was started with its clock set back (it goes on under a later start by itself as soon as it hears others; a build before that has to be started anew with its clock right)")]
    Stale { start: u64, known: u64 },
    #[error(
        "a datagram came twice or very late: the network doubles or delays it, or somebody sends it again"
    )]
    Replayed,
}

impl Refused {
    /// All that `kind` can be, for counters.
    pub const KINDS: [&'static str; 10] = [
        "too-long",
        "not-ours",
        "newer",
        "unknown-key",
        "bad-mac",
        "malformed",
        "own-name",
        "unknown-sender",
        "stale",
        "replayed",
    ];

    /// A short name.
    pub fn kind(&self) -> &'static str {
        match self {
            Refused::TooLong(_) => "too-long",
            Refused::NotOurs(_) => "not-ours",
            Refused::Newer { .. } => "newer",
            Refused::UnknownKey(_) => "unknown-key",
            Refused::BadMac => "bad-mac",
            Refused::Malformed => "malformed",
            Refused::OwnName => "own-name",
            Refused::UnknownSender(_) => "unknown-sender",
            Refused::Stale { .. } => "stale",
            Refused::Replayed => "replayed",
        }
    }
}

/// Opens what comes from members, each datagram once.
#[derive(Debug)]
pub struct Opener {
    own: String,
    keys: Keys,
    /// The roster, and what has been heard from each of it.
    heard: BTreeMap<String, Option<Window>>,
}

impl Opener {
    /// `own`: this proxy's name, which may stand among `names`; nobody else may bear it.
    pub fn new<I: IntoIterator<Item = String>>(
        own: impl Into<String>,
        keys: Keys,
        names: I,
    ) -> Opener {
        let mut opener = Opener {
            own: own.into(),
            keys,
            heard: BTreeMap::new(),
        };
        opener.set_names(names);
        opener
    }

    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Another roster. What is known of names that stay in it is kept; a name that left and comes back begins anew.
    pub fn set_names<I: IntoIterator<Item = String>>(&mut self, names: I) {
        let mut former = std::mem::take(&mut self.heard);
        for name in names {
            // A name that is given twice keeps what is known of it.
            let window = former.remove(&name).flatten();
            self.heard.entry(name).or_insert(window);
        }
        self.heard.remove(&self.own);
    }

    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<Opened<'a>, Refused> {
        if datagram.len() > DATAGRAM_LIMIT {
            return Err(Refused::TooLong(datagram.len()));
        }
        let (signed, mac) = datagram
            .split_last_chunk::<MAC_BYTES>()
            .ok_or(Refused::Malformed)?;
        let (front, rest) =
            postcard::take_from_bytes::<Front>(signed).map_err(|_| Refused::Malformed)?;
        if front.magic != MAGIC {
            return Err(Refused::NotOurs(front.magic));
        }
        if front.least > VERSION {
            return Err(Refused::Newer { least: front.least });
        }
        let (key, rest) =
            postcard::take_from_bytes::<KeyId>(rest).map_err(|_| Refused::Malformed)?;
        match self.keys.verify(key, signed, mac) {
            None => return Err(Refused::UnknownKey(key)),
            Some(false) => return Err(Refused::BadMac),
            Some(true) => {}
        }
        let (body, more) =
            postcard::take_from_bytes::<Body>(rest).map_err(|_| Refused::Malformed)?;
        // Fields of a later version are skipped; this one has none.
        let sound = front.least >= 1
            && front.version >= front.least
            && (more.is_empty() || front.version > VERSION)
            && body.name.len() <= NAME_LIMIT
            && body.payload.len() <= PAYLOAD_LIMIT;
        if !sound {
            return Err(Refused::Malformed);
        }
        self.first_time(&body)?;
        let Body {
            name: from,
            start,
            kind,
            roster_version,
            payload,
            ..
        } = body;
        Ok(Opened {
            from,
            start,
            kind,
            roster_version,
            payload,
        })
    }

    fn first_time(&mut self, body: &Body) -> Result<(), Refused> {
        if body.name == self.own {
            return Err(Refused::OwnName);
        }
        let Some(window) = self.heard.get_mut(body.name) else {
            return Err(Refused::UnknownSender(body.name.to_owned()));
        };
        match window {
            Some(known) if body.start < known.start => Err(Refused::Stale {
                start: body.start,
                known: known.start,
            }),
            Some(known) if body.start == known.start => match known.take(body.sequence) {
                true => Ok(()),
                false => Err(Refused::Replayed),
            },
            _ => {
                *window = Some(Window::new(body.start, body.sequence));
                Ok(())
            }
        }
    }
}
