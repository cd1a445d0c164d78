//! Opening datagrams: authentication, then replay protection, and why a datagram is rejected.

use crate::envelope::{Body, VersionHeader, MAGIC, VERSION};
use crate::keys::{KeyId, Keys, MAC_BYTES};
use crate::limits::{MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, MAX_PAYLOAD_BYTES};
use crate::replay_window::ReplayWindow;
use serde::Deserialize;
use std::collections::BTreeMap;
use thiserror::Error;

/// An authentic datagram of a member that came for the first time.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// Name of the sender.
    pub from: &'a str,
    /// Greater with each process of the sender.
    pub incarnation: u64,
    /// The kind of payload.
    pub kind: u8,
    /// Version of the sender's roster.
    pub roster_version: u64,
    /// The payload.
    pub payload: &'a [u8],
}

/// Why a datagram is rejected. Nothing of it was used, and opening it again gives the same result.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum OpenError {
    /// It has so many bytes.
    #[error("a datagram has {0} bytes, more than {MAX_DATAGRAM_BYTES}: no member sends such; look for who else uses the port")]
    TooLong(usize),
    /// Its first bytes are of no proxy.
    #[error("a datagram begins with {}: it is not from a proxy; look for who else uses the port", hex::encode(.0))]
    WrongMagic([u8; 4]),
    /// Its reader needs a later version.
    #[error(
        "a datagram can be read from version {min_version} on, and this proxy has {VERSION}: upgrade this proxy"
    )]
    UnsupportedVersion {
        /// The least version of a reader.
        min_version: u8,
    },
    /// Its key is not in the key file.
    #[error("a datagram is signed by the key {}, which is not in the key file: state the fleet's keys there, and reload", hex::encode(.0))]
    UnknownKey([u8; 4]),
    /// Its signature is wrong.
    #[error(
        "a datagram's signature is wrong: it was damaged, or somebody without the key sends to this port"
    )]
    InvalidMac,
    /// It is not formed as its version asks.
    #[error("a datagram is cut short or not formed as its version asks: a sender of another make, or somebody who tries; look who sends")]
    Malformed,
    /// It has this proxy's own name.
    #[error(
        "a datagram bears this proxy's own name: two proxies have the same LB_NAME, or it was sent back"
    )]
    OwnName,
    /// Its sender is not in the roster.
    #[error("a datagram is from {0:?}, which has no section member: state it in the roster, or take the key from it")]
    UnknownSender(String),
    /// Its sender has a later incarnation.
    #[error("a datagram is of a start {incarnation} of its sender, and a later one is known ({known}): it was sent again, or the sender was started with its clock set back (it goes on under a later start by itself as soon as it hears others; a build before that has to be started anew with its clock right)")]
    StaleIncarnation {
        /// Incarnation in the datagram.
        incarnation: u64,
        /// The latest one of that sender.
        known: u64,
    },
    /// It came before, or is older than the replay window.
    #[error(
        "a datagram came twice or very late: the network doubles or delays it, or somebody sends it again"
    )]
    Replayed,
}

impl OpenError {
    /// All labels, for counters.
    pub const LABELS: [&'static str; 10] = [
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

    /// A short name for counters.
    pub fn label(&self) -> &'static str {
        match self {
            OpenError::TooLong(_) => "too-long",
            OpenError::WrongMagic(_) => "not-ours",
            OpenError::UnsupportedVersion { .. } => "newer",
            OpenError::UnknownKey(_) => "unknown-key",
            OpenError::InvalidMac => "bad-mac",
            OpenError::Malformed => "malformed",
            OpenError::OwnName => "own-name",
            OpenError::UnknownSender(_) => "unknown-sender",
            OpenError::StaleIncarnation { .. } => "stale",
            OpenError::Replayed => "replayed",
        }
    }
}

/// Opens datagrams of members, each once.
#[derive(Debug)]
pub struct Opener {
    own_name: String,
    keys: Keys,
    /// Members of the roster, with what has come from each.
    members: BTreeMap<String, Option<ReplayWindow>>,
}

impl Opener {
    /// An opener for a roster. `own_name` may be among `names`; a datagram under it is rejected.
    pub fn new<I: IntoIterator<Item = String>>(
        own_name: impl Into<String>,
        keys: Keys,
        names: I,
    ) -> Opener {
        let mut opener = Opener {
            own_name: own_name.into(),
            keys,
            members: BTreeMap::new(),
        };
        opener.set_members(names);
        opener
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Replaces the roster. Windows of names that stay are kept; a name that left and comes back begins anew.
    pub fn set_members<I: IntoIterator<Item = String>>(&mut self, names: I) {
        let mut previous = std::mem::take(&mut self.members);
        for name in names {
            // A name that is given twice keeps its window.
            let window = previous.remove(&name).flatten();
            self.members.entry(name).or_insert(window);
        }
        self.members.remove(&self.own_name);
    }

    /// Checks a datagram. A replay window changes only after all other checks have passed.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, OpenError> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(OpenError::TooLong(datagram.len()));
        }
        let (signed, mac) = datagram
            .split_last_chunk::<MAC_BYTES>()
            .ok_or(OpenError::Malformed)?;
        let (header, rest) = read_header(signed)?;
        let (key, rest) = take::<KeyId>(rest)?;
        match self.keys.verify(key, signed, mac) {
            None => return Err(OpenError::UnknownKey(key)),
            Some(false) => return Err(OpenError::InvalidMac),
            Some(true) => {}
        }
        let body = read_body(header, rest)?;
        self.check_replay(&body)?;
        Ok(OpenedDatagram {
            from: body.name,
            incarnation: body.incarnation,
            kind: body.kind,
            roster_version: body.roster_version,
            payload: body.payload,
        })
    }

    fn check_replay(&mut self, body: &Body) -> Result<(), OpenError> {
        if body.name == self.own_name {
            return Err(OpenError::OwnName);
        }
        let Some(window) = self.members.get_mut(body.name) else {
            return Err(OpenError::UnknownSender(body.name.to_owned()));
        };
        match window {
            Some(known) if body.incarnation < known.incarnation => {
                Err(OpenError::StaleIncarnation {
                    incarnation: body.incarnation,
                    known: known.incarnation,
                })
            }
            Some(known) if body.incarnation == known.incarnation => {
                match known.accept(body.sequence) {
                    true => Ok(()),
                    false => Err(OpenError::Replayed),
                }
            }
            _ => {
                *window = Some(ReplayWindow::new(body.incarnation, body.sequence));
                Ok(())
            }
        }
    }
}

fn take<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<(T, &'a [u8]), OpenError> {
    postcard::take_from_bytes(bytes).map_err(|_| OpenError::Malformed)
}

fn read_header(signed: &[u8]) -> Result<(VersionHeader, &[u8]), OpenError> {
    let (header, rest) = take::<VersionHeader>(signed)?;
    if header.magic != MAGIC {
        return Err(OpenError::WrongMagic(header.magic));
    }
    if header.min_reader_version > VERSION {
        return Err(OpenError::UnsupportedVersion {
            min_version: header.min_reader_version,
        });
    }
    Ok((header, rest))
}

fn read_body(header: VersionHeader, bytes: &[u8]) -> Result<Body<'_>, OpenError> {
    let (body, remaining) = take::<Body>(bytes)?;
    // Fields of a later version are skipped. This version has none to skip.
    let well_formed = header.min_reader_version >= 1
        && header.version >= header.min_reader_version
        && (remaining.is_empty() || header.version > VERSION)
        && body.name.len() <= MAX_NAME_BYTES
        && body.payload.len() <= MAX_PAYLOAD_BYTES;
    if well_formed {
        Ok(body)
    } else {
        Err(OpenError::Malformed)
    }
}
