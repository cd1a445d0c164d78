//! Sections for limits on clients and the listener for clients.

use super::builders::{at_start, count, directive, share, size, time, HOUR, KIB, MIB, MINUTE};
use super::types::Args::{Many, One};
use super::types::{Naming, Section};
use crate::value::Type;

/// The section `limits`.
pub(super) const LIMITS: Section = Section {
    keyword: "limits",
    naming: Naming::Unnamed,
    help: "Limits on the resources and the time that clients may use. `sockets` and `memory` must not exceed the platform's settings.",
    directives: &[
        directive("client-patience", One(time(200, 30_000)), "2500ms", "client-patience 500ms", "timeout for a client's first valid request, and for completing each command that it has begun; a client that exceeds it receives an error and is disconnected"),
        directive("client-idle", One(time(100, HOUR)), "2s", "client-idle 30s", "idle time after which a connection is closed while the descriptors in use exceed `crowded`"),
        directive("answer-unread", One(time(1_000, 10 * MINUTE)), "10s", "answer-unread 5s", "a client that reads nothing of its answers for this long is disconnected"),
        directive("goodbye", One(time(100, 10_000)), "1s", "goodbye 2s", "time that a client has to read the reason before its connection is closed"),
        directive("answer-margin", One(time(1, 200)), "10ms", "answer-margin 20ms", "time subtracted from each client's deadline for sending the answer"),
        directive("pipeline", One(count(1, 1_024)), "32", "pipeline 8", "maximum number of unanswered commands of one connection; further commands stay in its socket"),
        directive("unsent", One(size(4 * KIB, 16 * MIB)), "64KiB", "unsent 256KiB", "bytes of unsent answers beyond which nothing more is read from a client"),
        directive("clients", One(share((1, 10), (9, 10))), "60%", "clients 50%", "share of the descriptors, less a margin, for clients; the rest is for record servers"),
        directive("crowded", One(share((1, 100), (9, 10))), "1/6", "crowded 15%", "share of all descriptors in use from which clients that are idle for `client-idle` are disconnected"),
        directive("packed", One(share((1, 100), (9, 10))), "25%", "packed 30%", "share of all descriptors in use from which clients are disconnected after `client-idle`, and after 2s at the latest"),
        directive("unfinished", One(share((1, 100), (1, 2))), "12.5%", "unfinished 10%", "share of the memory that the incomplete commands of all clients may use together"),
        directive("sockets", One(count(64, 1 << 20)), "", "sockets 512", "maximum number of open descriptors of the proxy"),
        directive("memory", One(size(16 * MIB, 1 << 40)), "", "memory 64MiB", "maximum memory of the proxy"),
    ],
};

/// The section `listener`.
pub(super) const LISTENER: Section = Section {
    keyword: "listener",
    naming: Naming::Named,
    help: "Where clients connect, if the platform's settings do not state it. Only one listener is supported.",
    directives: &[
        at_start(directive("protocol", One(Type::Choice(&["postgres"])), "postgres", "protocol postgres", "protocol of the clients")),
        at_start(directive("address", One(Type::Address), "", "address 127.0.0.1:5433", "the address to listen on")),
        directive("proxy-from", Many(Type::Network), "", "proxy-from 10.9.0.0/24", "networks of balancers that send a PROXY header (version 1 or 2) before the first byte of each connection; the header is required from these networks and an error from all others"),
    ],
};
