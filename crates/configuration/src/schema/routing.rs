//! Sections for the handling of requests: windows of time, pools, classes, routes and the policy.

use super::builders::{count, directive, share, time, HOUR, MINUTE, YES};
use super::types::Args::{Many, One, Optional};
use super::types::{Naming, Section};
use crate::value::Type;

/// The section `calendar`.
pub(super) const CALENDAR: Section = Section {
    keyword: "calendar",
    naming: Naming::Unnamed,
    help: "How the times of the windows are interpreted.",
    directives: &[directive(
        "offset",
        One(Type::Offset),
        "UTC",
        "offset +05:45",
        "offset of local time from UTC; it is fixed, without daylight saving time",
    )],
};

/// The section `window`.
pub(super) const WINDOW: Section = Section {
    keyword: "window",
    naming: Naming::Named,
    help: "A part of the calendar. All stated conditions must hold; one that is not stated always holds. Hours that cross midnight belong to the day on which they begin.",
    directives: &[
        directive("dates", Many(Type::Dates), "", "dates 2026-10-17..2026-10-31 04-13..04-15", "days from the first to the last, both included; dates without a year recur every year and may cross its end"),
        directive("weekdays", Many(Type::Weekdays), "", "weekdays fri sat-sun", "days of the week"),
        directive("hours", Many(Type::Hours), "", "hours 06:00-10:00 22:00-02:00", "from the first moment up to, but not including, the last"),
    ],
};

/// The section `pool`.
pub(super) const POOL: Section = Section {
    keyword: "pool",
    naming: Naming::Named,
    help: "A part of the requests with limits of its own, so that one kind of request can't take the capacity of others.",
    directives: &[
        directive("requests", One(count(1, 1_000_000)), "", "requests 200", "maximum number of open requests; further ones are rejected"),
        directive("rate", One(Type::Rate { least: 1, most: 1_000_000 }), "", "rate 100/s", "maximum rate of accepted requests; further ones are rejected"),
        directive("burst", One(count(1, 1_000_000)), "1", "burst 50", "number of requests that may arrive at once within the rate"),
        directive("reserve", One(share((0, 1), (9, 10))), "10%", "reserve 20%", "share of `requests` and of `burst` that low priority leaves to normal, and normal to high"),
        directive("come-back", One(time(1, 10 * MINUTE)), "", "come-back 500ms", "Retry-After of a rejected request, if the platform allows one; calculated if not stated"),
        directive("groups", Many(Type::Groups), "", "groups 0-4 7", "groups that the pool serves; all if not stated"),
    ],
};

/// The section `class`.
pub(super) const CLASS: Section = Section {
    keyword: "class",
    naming: Naming::ExternalName,
    help: "A class of requests, by the platform's name for it. Its settings can only be stricter than those of the platform.",
    directives: &[
        directive("deadline", One(time(1, HOUR)), "", "deadline 400ms", "maximum time for a request of the class"),
        directive("tries", One(count(1, 1_000)), "", "tries 2", "maximum number of attempts for a request of the class"),
        directive("runs", One(Type::Choice(&["once", "any"])), "any", "runs once", "once: a request that may have run is never sent again, even if the platform allows it"),
    ],
};

/// The section `route`.
pub(super) const ROUTE: Section = Section {
    keyword: "route",
    naming: Naming::Named,
    help: "The first route whose conditions all hold decides how a request is handled. A condition with several values holds if one of them does.",
    directives: &[
        directive("class", Many(Type::Name), "", "class search history", "condition: the class of the request"),
        directive("tenant", Many(Type::Name), "", "tenant acme", "condition: the tenant of the request"),
        directive("group", Many(Type::Groups), "", "group 0-4 7", "condition: the group of the request"),
        directive("statement", Many(Type::Text { most: 256 }), "", "statement \"SELECT doc FROM items\"", "condition: the beginning of the statement, without leading blanks and in any letter case"),
        directive("network", Many(Type::Network), "", "network 10.1.0.0/16 2001:db8::/32", "condition: the client's address"),
        directive("during", Many(Type::Reference("window")), "", "during festival", "condition: the time at which the request arrived"),
        directive("pool", One(Type::Reference("pool")), "", "pool festival", "the pool that the request counts against"),
        directive("as-class", One(Type::Name), "", "as-class history", "class as which the request is handled; it must have no weaker consistency and allow no repeats that the request's own class forbids, and a repeat is sent only where and for as long as both allow it"),
        directive("deadline", One(time(1, HOUR)), "", "deadline 300ms", "maximum time for the request"),
        directive("priority", One(Type::Choice(&["low", "normal", "high"])), "normal", "priority high", "priority in the pool, which decides how much of it the request may fill"),
        directive("tries", One(count(1, 1_000)), "", "tries 1", "maximum number of attempts for the request"),
        directive("refuse", Optional(time(1, 10 * MINUTE)), "", "refuse 2s", "the request is rejected; with a time, the client receives it as Retry-After"),
    ],
};

/// The section `policy`.
pub(super) const POLICY: Section = Section {
    keyword: "policy",
    naming: Naming::Unnamed,
    help:
        "Settings of the decision module; each can only be stricter than the platform's settings.",
    directives: &[
        directive(
            "tries",
            One(count(1, 1_000)),
            "",
            "tries 4",
            "maximum number of attempts for any request",
        ),
        directive(
            "second-copies",
            One(YES),
            "yes",
            "second-copies no",
            "whether a hedged request may be sent while the first one runs",
        ),
        directive(
            "probes",
            One(YES),
            "yes",
            "probes no",
            "whether record servers are probed",
        ),
        directive(
            "come-back-most",
            One(time(1, 10 * MINUTE)),
            "",
            "come-back-most 1s",
            "maximum Retry-After of a rejected request",
        ),
    ],
};
