//! Advice for operators on each error. No match has a wildcard, so an error without advice does not compile.

use crate::{KeyError, OpenError, SealError};

impl OpenError {
    /// Advice for operators on this error.
    pub fn advice(&self) -> &'static str {
        match self {
            OpenError::TooLong(_) | OpenError::WrongMagic(_) => {
                "The datagram is dropped and does no harm. Find its sender with a packet capture on the port of `listen`, and let only the addresses of the roster through the firewall."
            }
            OpenError::UnsupportedVersion { .. } => "Upgrade this proxy: the sender's build no longer supports the version of this one.",
            OpenError::UnknownKey(_) => {
                "Compare the key files of all hosts: during a key rotation each has to contain both keys. Write the fleet's keys into the file and send SIGHUP."
            }
            OpenError::InvalidMac => {
                "Single datagrams were damaged in transit: nothing to do. If the number grows, find the sender with a packet capture; a network device that rewrites payloads causes this too."
            }
            OpenError::Malformed => {
                "The datagram is dropped. If the number grows, compare the builds of the proxies (`leverproxy status` prints them), and find the sender with a packet capture."
            }
            OpenError::OwnName => {
                "Give each proxy its own name in LB_NAME. If no two proxies share a name, find the relay that sends datagrams back."
            }
            OpenError::UnknownSender(_) => {
                "Add a section `member` for the sender to the operators' file, increase `version`, and send SIGHUP. If the sender no longer belongs to the fleet, stop it, and change the key on all other hosts."
            }
            OpenError::StaleIncarnation { .. } => {
                "If the number grows for a member that is running, the clock of its host was set back: correct the clock and restart that proxy. Or remove the member from the roster, send SIGHUP, and add it again."
            }
            OpenError::Replayed => {
                "The datagram is dropped and does no harm. If the number grows, look for a relay or a bond of links that duplicates datagrams."
            }
        }
    }
}

impl KeyError {
    /// Advice for operators on this error.
    pub fn advice(&self) -> &'static str {
        match self {
            KeyError::NoKey => {
                "Generate a key (`openssl rand -hex 32`), write the same key into the file on every host, and send SIGHUP; if the proxy did not start, start it again."
            }
            KeyError::TooManyKeys { .. } => {
                "Keep two lines: first the key that signs, then the other key that is accepted. `#` begins a comment."
            }
            KeyError::WrongLength { .. } | KeyError::NotHex { .. } => {
                "Copy the whole line from a host whose key file is accepted, or generate a new key for all hosts (`openssl rand -hex 32`)."
            }
            KeyError::DuplicateKey { .. } => "Remove the second line, or replace it by the fleet's other key.",
        }
    }
}

impl SealError {
    /// Advice for operators on this error.
    pub fn advice(&self) -> &'static str {
        match self {
            SealError::InvalidName(_) => {
                "No datagram of this proxy reaches the others (`lb_members_unsent_total` grows): start it with a shorter LB_NAME, and give its section `member` the same name."
            }
            SealError::PayloadTooLong(_) | SealError::Encoding(_) => {
                "A fault of the program: the datagram is not sent and counts in `lb_members_unsent_total`. Report it with the build."
            }
            SealError::SequenceExhausted => "Restart the proxy: a new process numbers its datagrams from the beginning.",
        }
    }
}
