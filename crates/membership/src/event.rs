//! Events that the core handles, and actions that it requests from its host.

use std::net::SocketAddr;
use std::time::Duration;

use crate::facts::{Fact, PublishError};
use crate::quorum::QuorumState;
use crate::roster::{Roster, RosterError};
use crate::view::Status;

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The host can send and receive datagrams now.
    Start,
    /// A datagram was received. Its envelope was authenticated and gives the sender and its incarnation.
    Datagram {
        /// Name of the sender.
        from: &'a str,
        /// Incarnation of the sender.
        incarnation: u64,
        /// The payload.
        bytes: &'a [u8],
    },
    /// The timer with this token is due.
    Timer(u64),
    /// The operators' roster changed.
    Roster(Roster),
    /// This process shuts down; the other members are notified that it leaves.
    Leave,
    /// Whether another process of this name takes over (hot restart). While it does, a later incarnation of the name is
    /// that process's, and is not adopted.
    HandedOver(bool),
    /// Publishes a fact of this process. It replaces the fact of the same kind and key.
    Publish {
        /// Meaning of the body, defined by the host.
        kind: u8,
        /// Distinguishes facts of the same kind.
        key: Vec<u8>,
        /// The content.
        body: Vec<u8>,
        /// Validity of the fact, from its publication.
        ttl: Duration,
    },
}

/// A request or a report to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram. Delivery is not required.
    Send {
        /// Name of the receiver.
        to: String,
        /// Address of the receiver in this process's roster.
        address: SocketAddr,
        /// The payload, at most `DATAGRAM_BYTES`.
        bytes: Vec<u8>,
    },
    /// Send `Event::Timer` with this token when the time has passed. A later timer replaces this one.
    Timer {
        /// Time from now.
        after: Duration,
        /// Identifies the timer; only the last token counts.
        token: u64,
    },
    /// The status or the incarnation of a member changed.
    MemberChanged(String, Status),
    /// The quorum state of the fleet changed.
    QuorumStateChanged(QuorumState),
    /// A new fact of another member was received.
    FactReceived(Fact),
    /// A fact of this process was not published.
    PublishRejected(PublishError),
    /// A roster was rejected; the previous one remains in effect.
    RosterRejected(RosterError),
    /// Other members know a later incarnation of this name. The process has adopted this one, and the envelopes of its
    /// datagrams have to carry it from now on.
    IncarnationRenewed(u64),
}
