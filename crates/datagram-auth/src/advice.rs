//! What an operator can do about each error, longer than its message says it. No match has a wildcard: an error without
//! advice does not compile.

use crate::{KeyError, Refused, SealError};

impl Refused {
    pub fn advice(&self) -> &'static str {
        match self {
            Refused::TooLong(_) | Refused::NotOurs(_) => {
                "It is dropped and does no harm. Find its sender with a packet capture on the port of `listen`, and let only the addresses of the roster through the firewall."
            }
            Refused::Newer { .. } => "Upgrade this proxy: the sender's build no longer speaks this one's version.",
            Refused::UnknownKey(_) => {
                "Compare the key files: while a key is changed, both keys stand in all of them. Put the fleet's keys into the file and send SIGHUP."
            }
            Refused::BadMac => {
                "Single ones are damage on the way: nothing to do. If it grows, find the sender with a packet capture; a device between that rewrites payloads does this too."
            }
            Refused::Malformed => {
                "It is dropped. If it grows, compare the builds of the proxies (`leverproxy status` prints them), and find the sender with a packet capture."
            }
            Refused::OwnName => {
                "Give each proxy a name of its own in LB_NAME. If no two share one, look which relay sends datagrams back."
            }
            Refused::UnknownSender(_) => {
                "Add a section `member` for it to the operators' file, raise `version`, and send SIGHUP. If it is no longer of the fleet, stop it, and change the key on all others."
            }
            Refused::Stale { .. } => {
                "If it grows for a member that is up, its host's clock was set back: set it right and start the proxy anew. Or take the member out of the roster, SIGHUP, and state it again."
            }
            Refused::Replayed => {
                "It is dropped and does no harm. If it grows, look for a relay or a bond of links that doubles datagrams."
            }
        }
    }
}

impl KeyError {
    pub fn advice(&self) -> &'static str {
        match self {
            KeyError::NoKey => {
                "Make a key (`openssl rand -hex 32`), put the same one on every host, and send SIGHUP; at the start, start again."
            }
            KeyError::TooMany { .. } => {
                "Keep two lines: first the key that signs, then the one that is accepted beside it. `#` begins a comment."
            }
            KeyError::Length { .. } | KeyError::NotHex { .. } => {
                "Copy the whole line from a host whose file is read, or make a new key for all hosts (`openssl rand -hex 32`)."
            }
            KeyError::Twice { .. } => "Remove the second line, or put the fleet's other key there.",
        }
    }
}

impl SealError {
    pub fn advice(&self) -> &'static str {
        match self {
            SealError::Name(_) => {
                "Nothing this proxy says reaches the others (`lb_members_unsent_total` grows): start it under a shorter LB_NAME, and name its section `member` so."
            }
            SealError::LongPayload(_) | SealError::Encoding(_) => {
                "A fault of the program: the datagram is not sent and counts in `lb_members_unsent_total`. Report it with the build."
            }
            SealError::Spent => "Start the proxy again: a new start counts from the beginning.",
        }
    }
}
