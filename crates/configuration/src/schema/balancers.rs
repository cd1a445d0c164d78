//! Sections for health checks by balancers, drains, and reporting the proxy as degraded.

use super::builders::{at_start, count, directive, share, time, HOUR, MINUTE, YES};
use super::types::Args::{Many, One};
use super::types::{Naming, Section};
use crate::value::Type;

/// The section `health`.
pub(super) const HEALTH: Section = Section {
    keyword: "health",
    naming: Naming::Named,
    help: "An address on which balancers' health checks are answered, separate from the clients' listener.",
    directives: &[
        at_start(directive("protocol", One(Type::Choice(&["agent", "http", "grpc"])), "http", "protocol agent", "protocol of the checks: HAProxy's agent check, HTTP, or gRPC health checking (only in a program built with the feature `grpc`)")),
        at_start(directive("address", One(Type::Address), "", "address 127.0.0.1:9090", "the address to listen on")),
        at_start(directive("statuses", One(Type::Choice(&["plain", "drain-is-404", "overload-is-429"])), "plain", "statuses drain-is-404", "HTTP statuses: `plain` sends only 200 and 503; `drain-is-404` sends 404 during a drain; `overload-is-429` sends 429 under overload")),
        at_start(directive("expects-text", One(YES), "no", "expects-text yes", "agent: the balancer sends a line first (HAProxy's `agent-send`), which may be `group N`")),
        at_start(directive("maxconn", One(YES), "no", "maxconn yes", "agent: report to the balancer how many clients the proxy accepts; each of several balancers receives the full number")),
        at_start(directive("connections", One(count(1, 256)), "8", "connections 16", "maximum number of open check connections; their descriptors are reserved apart from those of clients")),
        at_start(directive("patience", One(time(50, 10_000)), "1s", "patience 500ms", "timeout for receiving a complete check, and for the balancer to read the answer")),
        at_start(directive("idle", One(time(1_000, HOUR)), "1min", "idle 30s", "a connection that is kept open between checks is closed after this idle time")),
    ],
};

/// The section `balancer`.
pub(super) const BALANCER: Section = Section {
    keyword: "balancer",
    naming: Naming::Named,
    help: "A balancer in front of the proxy, with the check settings of the balancer's own configuration. A drain waits until the balancer must have noticed it.",
    directives: &[
        directive("interval", One(time(10, HOUR)), "2s", "interval 2s", "time between two checks of this balancer"),
        directive("fall", One(count(1, 100)), "3", "fall 3", "number of consecutive failed checks after which the balancer considers the proxy down"),
        directive("timeout", One(time(1, MINUTE)), "1s", "timeout 500ms", "time after which the balancer considers a check failed"),
        directive("network", Many(Type::Network), "", "network 10.9.0.7", "networks from which the balancer connects; a connection from them to the clients' listener that sends no request is a check and counts against no limit"),
    ],
};

/// The section `drain`.
pub(super) const DRAIN: Section = Section {
    keyword: "drain",
    naming: Naming::Unnamed,
    help: "How the proxy leaves service. On an operator's request it announces the drain, waits for the balancers and then stops listening.",
    directives: &[
        directive("announce-end", One(YES), "no", "announce-end yes", "yes: SIGTERM also announces the drain and waits for the balancers before the listener closes"),
        directive("linger", One(time(0, 5 * MINUTE)), "", "linger 1s", "without `announce-end`, how long new connections are still accepted after SIGTERM; 500ms if not stated"),
    ],
};

/// The section `availability`.
pub(super) const AVAILABILITY: Section = Section {
    keyword: "availability",
    naming: Naming::Unnamed,
    help: "When the proxy reports to balancers that it should receive less traffic.",
    directives: &[
        at_start(directive("floor", One(share((1, 10), (1, 1))), "50%", "floor 60%", "minimum share of its weight that the proxy keeps during faults that other proxies may share")),
        at_start(directive("cut-floor", One(share((1, 20), (1, 1))), "25%", "cut-floor 40%", "minimum share of its weight that the proxy keeps during a proven cut of a link; the lower one of this and `floor` applies")),
        at_start(directive("list-late", One(time(500, 5 * MINUTE)), "10s", "list-late 20s", "maximum delay of the endpoint list: a zone that is still listed after this time, and from which nothing is received, is cut off and not down")),
        at_start(directive("election", One(time(100, MINUTE)), "2s", "election 1s", "minimum time before a lost primary is replaced: a log that grows earlier is still the old primary's")),
        at_start(directive("dwell", One(time(100, MINUTE)), "2s", "dwell 5s", "minimum time for which a state is kept before a better one is reported")),
        at_start(directive("silence", One(time(50, 5_000)), "350ms", "silence 500ms", "a group with outstanding requests that sends no answer for this long is considered hung")),
        at_start(directive("lag", One(time(1, 1_000)), "10ms", "lag 20ms", "event loop lag from which the weight is reduced; the weight reaches its minimum at 20 times this lag")),
    ],
};
