//! What an operator can do about each error. No match has a wildcard, so an error without advice does not compile.

use crate::{KeyError, OpenError, SealError};

impl OpenError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            OpenError::TooLong(_) | OpenError::WrongMagic(_) => {
                "It is dropped and does no harm. Find its sender with a packet capture on the port of `listen`, and let only the addresses of the roster through the firewall."
            }
            OpenError::UnsupportedVersion { .. } => "Upgrade this proxy: the sender's build no longer speaks this one's version.",
            OpenError::UnknownKey(_) => {
                "Compare the key files: while a key is changed, both keys stand in all of them. Put the fleet's keys into the file and send SIGHUP."
            }
            OpenError::InvalidMac => {
                "Single ones are damage on the way: nothing to do. If it grows, find the sender with a packet capture; a device between that rewrites payloads does this too."
            }
            OpenError::Malformed => {
                "It is dropped. If it grows, compare the builds of the proxies (`leverproxy status` prints them), and find the sender with a packet capture."
            }
            OpenError::OwnName => {
                "Give each proxy a name of its own in LB_NAME. If no two share one, look which relay sends datagrams back."
            }
            OpenError::UnknownSender(_) => {
                "Add a section `member` for it to the operators' file, raise `version`, and send SIGHUP. If it is no longer of the fleet, stop it, and change the key on all others."
            }
            OpenError::StaleIncarnation { .. } => {
                "If it grows for a member that is up, its host's clock was set back: set it right and start the proxy anew. Or take the member out of the roster, SIGHUP, and state it again."
            }
            OpenError::Replayed => {
                "It is dropped and does no harm. If it grows, look for a relay or a bond of links that doubles datagrams."
            }
        }
    }
}

impl KeyError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            KeyError::NoKey => {
                "Make a key (`openssl rand -hex 32`), put the same one on every host, and send SIGHUP; at the start, start again."
            }
            KeyError::TooManyKeys { .. } => {
                "Keep two lines: first the key that signs, then the one that is accepted beside it. `#` begins a comment."
            }
            KeyError::WrongLength { .. } | KeyError::NotHex { .. } => {
                "Copy the whole line from a host whose file is read, or make a new key for all hosts (`openssl rand -hex 32`)."
            }
            KeyError::DuplicateKey { .. } => "Remove the second line, or put the fleet's other key there.",
        }
    }
}

impl SealError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            SealError::InvalidName(_) => {
                "Nothing this proxy says reaches the others (`lb_members_unsent_total` grows): start it under a shorter LB_NAME, and name its section `member` so."
            }
            SealError::PayloadTooLong(_) | SealError::Encoding(_) => {
                "A fault of the program: the datagram is not sent and counts in `lb_members_unsent_total`. Report it with the build."
            }
            SealError::SequenceExhausted => "Start the proxy again: a new start counts from the beginning.",
        }
    }
}
