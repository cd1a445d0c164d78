//! Opening of datagrams: authentication, replay protection, and the reasons to reject a datagram.

use crate::envelope::{Body, VersionHeader, MAGIC, VERSION};
use crate::keys::{KeyId, Keys, MAC_BYTES};
use crate::limits::{MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, MAX_PAYLOAD_BYTES};
use crate::replay_window::ReplayWindow;
use serde::Deserialize;
use std::collections::BTreeMap;
use thiserror::Error;

/// An authentic datagram of a member, received for the first time.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// Name of the sender.
    pub from: &'a str,
    /// Incarnation of the sender; each new process of a sender has a greater one.
    pub incarnation: u64,
    /// The kind of payload.
    pub kind: u8,
    /// Version of the sender's roster.
    pub roster_version: u64,
    /// The payload.
    pub payload: &'a [u8],
}

/// Why a datagram is rejected. None of its content was used, and opening it again gives the same result.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum OpenError {
    /// The datagram is too long; the value is its size in bytes.
    #[error("a datagram has {0} bytes, more than {MAX_DATAGRAM_BYTES}: no member sends datagrams of this size; find the other program that sends to this port")]
    TooLong(usize),
    /// The datagram does not begin with the magic bytes.
    #[error("a datagram begins with {}: it was not sent by a proxy; find the other program that sends to this port", hex::encode(.0))]
    WrongMagic([u8; 4]),
    /// The datagram requires a reader of a later version.
    #[error(
        "a datagram requires at least version {min_version}, and this proxy has version {VERSION}: upgrade this proxy"
    )]
    UnsupportedVersion {
        /// Minimum version of a reader.
        min_version: u8,
    },
    /// The datagram is signed by a key that is not in the key file; the value is the key's id.
    #[error("a datagram is signed by the key {}, which is not in the key file: write the fleet's keys into the key file, and reload", hex::encode(.0))]
    UnknownKey([u8; 4]),
    /// The signature does not match.
    #[error(
        "the signature of a datagram is invalid: the datagram was damaged, or a sender without the key sends to this port"
    )]
    InvalidMac,
    /// The datagram is truncated or does not have the format of its version.
    #[error("a datagram is truncated or does not have the format of its version: it comes from an incompatible program or an attacker; find its sender")]
    Malformed,
    /// The sender's name is that of this proxy.
    #[error(
        "a datagram has this proxy's own name as its sender: two proxies have the same LB_NAME, or the datagram was sent back"
    )]
    OwnName,
    /// The sender is not in the roster; the value is its name.
    #[error("a datagram is from {0:?}, which has no section member: add it to the roster, or remove the key from its host")]
    UnknownSender(String),
    /// A later incarnation of the sender is known.
    #[error("a datagram is from incarnation {incarnation} of its sender, and a later incarnation is known ({known}): it was sent again, or the sender was started with its clock set back (it adopts a later incarnation by itself as soon as it receives datagrams of other members; an older build that does not has to be restarted with its clock corrected)")]
    StaleIncarnation {
        /// Incarnation in the datagram.
        incarnation: u64,
        /// The latest known incarnation of the sender.
        known: u64,
    },
    /// The datagram was received before, or is older than the replay window.
    #[error(
        "a datagram was received twice or very late: the network duplicates or delays datagrams, or an attacker replays them"
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

    /// The label of the error in counters.
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

/// Opens datagrams of members, each at most once.
#[derive(Debug)]
pub struct Opener {
    own_name: String,
    keys: Keys,
    /// Replay windows by name of the member; `None` before its first datagram.
    members: BTreeMap<String, Option<ReplayWindow>>,
}

impl Opener {
    /// Creates an opener for a roster. `own_name` may be among `names`; datagrams from it are rejected.
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

    /// Replaces the roster. Names that stay keep their windows; a name that is removed and added again starts without
    /// one.
    pub fn set_members<I: IntoIterator<Item = String>>(&mut self, names: I) {
        let mut previous = std::mem::take(&mut self.members);
        for name in names {
            // A name that occurs twice keeps its window.
            let window = previous.remove(&name).flatten();
            self.members.entry(name).or_insert(window);
        }
        self.members.remove(&self.own_name);
    }

    /// Authenticates a datagram and checks it against the replay window, which changes only after all other checks have
    /// passed.
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
    // Fields that a later version adds are skipped. A datagram of this version has none.
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
