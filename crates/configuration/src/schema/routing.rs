//! Sections of what becomes of a request: windows of time, pools, classes, routes and the policy.

use super::builders::{count, directive, share, time, HOUR, MINUTE, YES};
use super::types::Args::{Many, One, Optional};
use super::types::{Naming, Section};
use crate::value::Type;

/// The section `calendar`.
pub(super) const CALENDAR: Section = Section {
    keyword: "calendar",
    naming: Naming::Unnamed,
    help: "How the windows of the file are to be read.",
    directives: &[directive(
        "offset",
        One(Type::Offset),
        "UTC",
        "offset +05:45",
        "the local time's distance from UTC; it is fixed, there is no summer time",
    )],
};

/// The section `window`.
pub(super) const WINDOW: Section = Section {
    keyword: "window",
    naming: Naming::Named,
    help: "A part of the calendar. All that is stated has to hold; what is not stated always does. Hours that run over midnight belong to the day on which they begin.",
    directives: &[
        directive("dates", Many(Type::Dates), "", "dates 2026-10-17..2026-10-31 04-13..04-15", "days from one to another, both included; without a year they come back each year, and may run over its end"),
        directive("weekdays", Many(Type::Weekdays), "", "weekdays fri sat-sun", "days of the week"),
        directive("hours", Many(Type::Hours), "", "hours 06:00-10:00 22:00-02:00", "from the first moment up to, but without, the last"),
    ],
};

/// The section `pool`.
pub(super) const POOL: Section = Section {
    keyword: "pool",
    naming: Naming::Named,
    help: "A part of the proxy's work that is bounded by itself, so that one kind of request can't take the place of others.",
    directives: &[
        directive("requests", One(count(1, 1_000_000)), "", "requests 200", "requests open at once; more are refused"),
        directive("rate", One(Type::Rate { least: 1, most: 1_000_000 }), "", "rate 100/s", "requests taken in; more are refused"),
        directive("burst", One(count(1, 1_000_000)), "1", "burst 50", "requests that may come at once within the rate"),
        directive("reserve", One(share((0, 1), (9, 10))), "10%", "reserve 20%", "part of `requests` and of `burst` that low priority leaves to normal, and normal to high"),
        directive("come-back", One(time(1, 10 * MINUTE)), "", "come-back 500ms", "what a refused client is told to wait, where the platform lets it be told; else it is worked out"),
        directive("groups", Many(Type::Groups), "", "groups 0-4 7", "the groups that the pool serves; all, if not stated"),
    ],
};

/// The section `class`.
pub(super) const CLASS: Section = Section {
    keyword: "class",
    naming: Naming::ExternalName,
    help: "A class of requests, by the platform's name for it. Nothing here loosens what the platform says of the class.",
    directives: &[
        directive("deadline", One(time(1, HOUR)), "", "deadline 400ms", "the longest that a request of the class is worked on"),
        directive("tries", One(count(1, 1_000)), "", "tries 2", "attempts for a request of the class"),
        directive("runs", One(Type::Choice(&["once", "any"])), "any", "runs once", "once: a request that may have run is never sent again, even if the platform would allow it"),
    ],
};

/// The section `route`.
pub(super) const ROUTE: Section = Section {
    keyword: "route",
    naming: Naming::Named,
    help: "The first route whose conditions all hold says what becomes of a request. A condition with several values holds if one of them does.",
    directives: &[
        directive("class", Many(Type::Name), "", "class search history", "condition: the class of the request"),
        directive("tenant", Many(Type::Name), "", "tenant acme", "condition: whose request it is"),
        directive("group", Many(Type::Groups), "", "group 0-4 7", "condition: the group of the request"),
        directive("statement", Many(Type::Text { most: 256 }), "", "statement \"SELECT doc FROM items\"", "condition: how the statement begins, after blanks and in small letters or large"),
        directive("network", Many(Type::Network), "", "network 10.1.0.0/16 2001:db8::/32", "condition: the client's address"),
        directive("during", Many(Type::Reference("window")), "", "during festival", "condition: the time at which the request came"),
        directive("pool", One(Type::Reference("pool")), "", "pool festival", "the pool that the request counts against"),
        directive("as-class", One(Type::Name), "", "as-class history", "the request is treated as one of this class, which must need no less of the data and allow no more repeats"),
        directive("deadline", One(time(1, HOUR)), "", "deadline 300ms", "the longest that the request is worked on"),
        directive("priority", One(Type::Choice(&["low", "normal", "high"])), "normal", "priority high", "how much of its pool it may fill"),
        directive("tries", One(count(1, 1_000)), "", "tries 1", "attempts for the request"),
        directive("refuse", Optional(time(1, 10 * MINUTE)), "", "refuse 2s", "the request is refused; with a time, the client is told to come back after it"),
    ],
};

/// The section `policy`.
pub(super) const POLICY: Section = Section {
    keyword: "policy",
    naming: Naming::Unnamed,
    help: "What the decision module is told beyond the platform's settings; each can only be tighter than these.",
    directives: &[
        directive("tries", One(count(1, 1_000)), "", "tries 4", "attempts for any request"),
        directive("second-copies", One(YES), "yes", "second-copies no", "whether a second copy may be sent while the first runs"),
        directive("probes", One(YES), "yes", "probes no", "whether record servers are probed"),
        directive("come-back-most", One(time(1, 10 * MINUTE)), "", "come-back-most 1s", "the longest that a refused client is told to wait"),
    ],
};
