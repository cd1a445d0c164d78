//! Sections of what clients may take, and where they connect.

use super::builders::{at_start, count, directive, share, size, time, HOUR, KIB, MIB, MINUTE};
use super::types::Args::{Many, One};
use super::types::{Naming, Section};
use crate::value::Type;

/// The section `limits`.
pub(super) const LIMITS: Section = Section {
    keyword: "limits",
    naming: Naming::Unnamed,
    help: "What clients may take of the proxy, and for how long. `sockets` and `memory` may only be under what the platform states.",
    directives: &[
        directive("client-patience", One(time(200, 30_000)), "2500ms", "client-patience 500ms", "a client that comes to no sound request within this, or does not end a command that it began, is told so and put out"),
        directive("client-idle", One(time(100, HOUR)), "2s", "client-idle 30s", "among many clients, a connection is kept between requests for this long"),
        directive("answer-unread", One(time(1_000, 10 * MINUTE)), "10s", "answer-unread 5s", "a client that takes nothing of its answers for this long is given up"),
        directive("goodbye", One(time(100, 10_000)), "1s", "goodbye 2s", "a client that was told why its connection ends has this long to read it"),
        directive("answer-margin", One(time(1, 200)), "10ms", "answer-margin 20ms", "kept back from each client's time for the way of the answer"),
        directive("pipeline", One(count(1, 1_024)), "32", "pipeline 8", "commands of one connection that may wait for their answers; more stay in its socket"),
        directive("unsent", One(size(4 * KIB, 16 * MIB)), "64KiB", "unsent 256KiB", "bytes of unsent answers beyond which nothing more is read from a client"),
        directive("clients", One(share((1, 10), (9, 10))), "60%", "clients 50%", "of the descriptors, less a margin, those that are for clients; the rest is for record servers"),
        directive("crowded", One(share((1, 100), (9, 10))), "1/6", "crowded 15%", "from this part of all descriptors on, clients that are idle for `client-idle` are closed"),
        directive("packed", One(share((1, 100), (9, 10))), "25%", "packed 30%", "from this part of all descriptors on, idle clients are closed at once"),
        directive("unfinished", One(share((1, 100), (1, 2))), "12.5%", "unfinished 10%", "of the memory, what commands that have not come whole may take together"),
        directive("sockets", One(count(64, 1 << 20)), "", "sockets 512", "descriptors that the proxy may hold"),
        directive("memory", One(size(16 * MIB, 1 << 40)), "", "memory 64MiB", "memory that the proxy may hold"),
    ],
};

/// The section `listener`.
pub(super) const LISTENER: Section = Section {
    keyword: "listener",
    naming: Naming::Named,
    help: "Where clients connect, if the platform does not say. One listener is served so far.",
    directives: &[
        at_start(directive("protocol", One(Type::Choice(&["postgres"])), "postgres", "protocol postgres", "what is spoken there")),
        at_start(directive("address", One(Type::Address), "", "address 127.0.0.1:5433", "the address to listen on")),
        directive("proxy-from", Many(Type::Network), "", "proxy-from 10.9.0.0/24", "balancers that send a PROXY header (version 1 or 2) before each connection's first byte; from these networks it has to be there, from others it is a fault"),
    ],
};
