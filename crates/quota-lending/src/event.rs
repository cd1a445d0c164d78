//! Events in and actions out.

use std::time::Duration;

use crate::notice::Notice;
use crate::rules::Rules;

/// A member of the fleet, as membership reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Whether it is considered alive.
    pub up: bool,
}

/// What the host reports.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Membership changed.
    Membership {
        /// Whether the membership's state permits lending.
        may_lend: bool,
        /// Names of all that belong to the fleet, this proxy included.
        roster: &'a [String],
        /// Members that have been heard.
        members: &'a [Member],
    },
    /// A message of another proxy.
    Message {
        /// Name of the sender.
        source: &'a str,
        /// Incarnation of the sender's process.
        incarnation: u64,
        /// One of the kinds in [`crate::messages`].
        kind: u8,
        /// What the message is about; a later message of the same kind and key replaces it.
        key: &'a [u8],
        /// The encoded message.
        body: &'a [u8],
        /// Time since it was published.
        age: Duration,
    },
    /// Rules from now on.
    Rules(Rules),
    /// Whether tenants within their quota lack capacity.
    Shortage(bool),
    /// A time in which a tenant may borrow begins or ends. Without this event it may.
    LendingWindow {
        /// Name of the tenant.
        tenant: &'a str,
        /// Whether it may borrow.
        open: bool,
    },
    /// The bytes of [`Action::Save`] with this sequence number are durable.
    Saved(u64),
    /// The timer with this token is due. The first event of all is `Timer(0)`.
    Timer(u64),
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Publish a message to all other proxies.
    Publish {
        /// Kind of the message.
        kind: u8,
        /// What it is about.
        key: Vec<u8>,
        /// The encoded message.
        body: Vec<u8>,
        /// How long it is valid.
        ttl: Duration,
    },
    /// Write the file; report [`Event::Saved`] with the sequence number once the bytes are durable.
    Save {
        /// Grows with each file.
        sequence: u64,
        /// All bytes of the file.
        bytes: Vec<u8>,
    },
    /// Report [`Event::Timer`] with the token after this time.
    Timer {
        /// Time from now.
        after: Duration,
        /// Token to report.
        token: u64,
    },
    /// A line for the log.
    Notice(Notice),
}
