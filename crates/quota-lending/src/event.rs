//! Events that the host reports, and actions that it has to perform.

use std::time::Duration;

use crate::notice::Notice;
use crate::rules::Rules;

/// A member of the fleet, as membership reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the member.
    pub name: String,
    /// Incarnation of the member's process.
    pub incarnation: u64,
    /// Whether membership considers the member alive.
    pub up: bool,
}

/// An event that the host reports.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The members or the permission to lend changed.
    Membership {
        /// Whether the state of the membership permits lending.
        may_lend: bool,
        /// Names of all proxies of the fleet, including this one.
        roster: &'a [String],
        /// Members from which messages have been received.
        members: &'a [Member],
    },
    /// A message of another proxy was received.
    Message {
        /// Name of the sender.
        source: &'a str,
        /// Incarnation of the sender's process.
        incarnation: u64,
        /// One of the kinds in [`crate::messages`].
        kind: u8,
        /// Subject of the message; a later message of the same kind and key replaces it.
        key: &'a [u8],
        /// The encoded message.
        body: &'a [u8],
        /// Time since the message was published.
        age: Duration,
    },
    /// Rules that replace the current ones.
    Rules(Rules),
    /// Whether there is a shortage: tenants within their quota lack capacity.
    Shortage(bool),
    /// A time in which a tenant may borrow begins or ends. Without this event the tenant may borrow.
    LendingWindow {
        /// Name of the tenant.
        tenant: &'a str,
        /// Whether it may borrow.
        open: bool,
    },
    /// The bytes of [`Action::Save`] with this sequence number are durable.
    Saved(u64),
    /// The timer with this token has expired. The host's first event is `Timer(0)`.
    Timer(u64),
}

/// An action that the host has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Publish a message to all other proxies.
    Publish {
        /// Kind of the message.
        kind: u8,
        /// Subject of the message.
        key: Vec<u8>,
        /// The encoded message.
        body: Vec<u8>,
        /// Time for which the message is valid.
        ttl: Duration,
    },
    /// Write the state file; report [`Event::Saved`] with the sequence number once the bytes are durable.
    Save {
        /// Sequence number; it grows with each save.
        sequence: u64,
        /// Complete content of the file.
        bytes: Vec<u8>,
    },
    /// Start a timer; report [`Event::Timer`] with the token when it expires.
    Timer {
        /// Time until the timer expires.
        after: Duration,
        /// Token of the timer.
        token: u64,
    },
    /// Write the notice to the log.
    Notice(Notice),
}
