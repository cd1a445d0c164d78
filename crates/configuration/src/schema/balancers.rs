//! Sections of balancers' checks, drains, and when the proxy counts as degraded.

use super::builders::{at_start, count, directive, share, time, HOUR, MINUTE, YES};
use super::types::Args::{Many, One};
use super::types::{Naming, Section};
use crate::value::Type;

/// The section `health`.
pub(super) const HEALTH: Section = Section {
    keyword: "health",
    naming: Naming::Named,
    help: "Where balancers' checks are answered, beside the clients' listener.",
    directives: &[
        at_start(directive("protocol", One(Type::Choice(&["agent", "http", "grpc"])), "http", "protocol agent", "HAProxy's agent check, checks over HTTP, or gRPC's health checking (in a program built with the feature `grpc`)")),
        at_start(directive("address", One(Type::Address), "", "address 127.0.0.1:9090", "the address to listen on")),
        at_start(directive("statuses", One(Type::Choice(&["plain", "drain-is-404", "overload-is-429"])), "plain", "statuses drain-is-404", "HTTP: 200 and 503 alone; 404 for a drain; 429 for overload")),
        at_start(directive("expects-text", One(YES), "no", "expects-text yes", "agent: the balancer sends a line first (`agent-send`), which may be `group N`")),
        at_start(directive("maxconn", One(YES), "no", "maxconn yes", "agent: the balancer is told how many clients the proxy takes; with several balancers each is told all of them")),
        at_start(directive("connections", One(count(1, 256)), "8", "connections 16", "checks at once; they are kept apart from the clients' descriptors")),
        at_start(directive("patience", One(time(50, 10_000)), "1s", "patience 500ms", "a check has to come whole, and its answer to be taken, within this")),
        at_start(directive("idle", One(time(1_000, HOUR)), "1min", "idle 30s", "a connection that is kept between checks ends after this")),
    ],
};

/// The section `balancer`.
pub(super) const BALANCER: Section = Section {
    keyword: "balancer",
    naming: Naming::Named,
    help: "A balancer in front, as its own file has it: a drain waits until it must have heard.",
    directives: &[
        directive("interval", One(time(10, HOUR)), "2s", "interval 2s", "between two of its checks"),
        directive("fall", One(count(1, 100)), "3", "fall 3", "checks in a row that it takes to believe one"),
        directive("timeout", One(time(1, MINUTE)), "1s", "timeout 500ms", "how long a check of it may take"),
        directive("network", Many(Type::Network), "", "network 10.9.0.7", "where it comes from: connections to the clients' listener that ask for nothing are checks, and count against no limit"),
    ],
};

/// The section `drain`.
pub(super) const DRAIN: Section = Section {
    keyword: "drain",
    naming: Naming::Unnamed,
    help: "How the proxy leaves service. Told by an operator it announces the drain, waits for the balancers and stops listening.",
    directives: &[
        directive("announce-end", One(YES), "no", "announce-end yes", "SIGTERM too is announced, and waits for the balancers, before the listener closes"),
        directive("linger", One(time(0, 5 * MINUTE)), "", "linger 1s", "without that, new connections are taken for this long after SIGTERM; 500ms unless stated"),
    ],
};

/// The section `availability`.
pub(super) const AVAILABILITY: Section = Section {
    keyword: "availability",
    naming: Naming::Unnamed,
    help: "When the proxy tells balancers that it should get less work.",
    directives: &[
        at_start(directive("floor", One(share((1, 10), (1, 1))), "50%", "floor 60%", "of its weight, what trouble that other proxies may share leaves at least")),
        at_start(directive("cut-floor", One(share((1, 20), (1, 1))), "25%", "cut-floor 40%", "of its weight, what a link that is proven to be cut leaves at least; beside `floor` the lower one counts")),
        at_start(directive("list-late", One(time(500, 5 * MINUTE)), "10s", "list-late 20s", "the list of record servers is no later than this: a building that it still holds then, and that nothing comes from, is cut off and not dead")),
        at_start(directive("election", One(time(100, MINUTE)), "2s", "election 1s", "no lost primary is replaced sooner than this: a log that grows before then is its own")),
        at_start(directive("dwell", One(time(100, MINUTE)), "2s", "dwell 5s", "a state is kept for this long before a better one is told")),
        at_start(directive("silence", One(time(50, 5_000)), "350ms", "silence 500ms", "a group that owes answers and gives none for this long is hung")),
        at_start(directive("lag", One(time(1, 1_000)), "10ms", "lag 20ms", "weight falls from this lag of the loop on, and is at its least at 20 times that")),
    ],
};
