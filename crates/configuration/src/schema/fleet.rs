//! Sections for the fleet: members, rollouts, quota lending and sites.

use super::builders::{at_start, count, directive, share, time, HOUR, MINUTE};
use super::types::Args::{Many, One};
use super::types::{Naming, Section};
use crate::value::Type;

/// The section `members`.
pub(super) const MEMBERS: Section = Section {
    keyword: "members",
    naming: Naming::Unnamed,
    help: "Membership of the fleet: how its proxies detect one another. Without this section the proxy does not listen for other proxies; with it, a section `member` is required for each proxy.",
    directives: &[
        directive("version", One(count(1, 1_000_000_000_000)), "", "version 3", "required; version of the roster: increase it with each change of the sections `member`"),
        at_start(directive("listen", One(Type::Address), "", "listen 10.0.0.4:7946", "required; the UDP address on which this proxy receives messages of the others")),
        directive("key-file", One(Type::Text { most: 4_096 }), "", "key-file /etc/leverproxy/members.key", "required; a file of one or two keys, each a line of 64 hex digits (`openssl rand -hex 32`): the first key signs, both are accepted"),
        at_start(directive("period", One(time(50, 5_000)), "200ms", "period 500ms", "interval at which each member probes another one")),
        at_start(directive("suspicion", One(time(200, 30_000)), "1s", "suspicion 2s", "how long a member that does not answer a probe may still refute that it is down")),
    ],
};

/// The section `member`.
pub(super) const MEMBER: Section = Section {
    keyword: "member",
    naming: Naming::ExternalName,
    help: "A proxy of the fleet, by the name that the platform gives it (`LB_NAME`), of at most 64 bytes. All proxies have the same sections, including their own; at most 1,000.",
    directives: &[
        directive("address", One(Type::Address), "", "address 10.0.0.4:7946", "required; the UDP address on which this member receives messages"),
        directive("region", One(Type::Name), "", "region north", "region of the member in a rollout"),
    ],
};

/// The section `rollout`.
pub(super) const ROLLOUT: Section = Section {
    keyword: "rollout",
    naming: Naming::Unnamed,
    help: "Staged rollout of a new operators' file to the fleet, halted automatically when the file does harm; needs the section `members`. Without this section there are no rollouts.",
    directives: &[
        at_start(directive("candidates", One(Type::Text { most: 4_096 }), "", "candidates /etc/leverproxy/candidates", "required; directory in which operators place new operators' files, on each host by their own means")),
        at_start(directive("order", Many(Type::Name), "", "order north south", "regions in the order in which they receive a new version; sorted by name if not stated")),
        at_start(directive("canary", One(count(1, 100)), "1", "canary 2", "number of proxies of the first region that run a new version before all others")),
        at_start(directive("least-harm", One(share((1, 200), (1, 2))), "5%", "least-harm 2%", "smallest loss that must be detected, as a share of the requested work")),
        at_start(directive("error", One(share((1, 10_000), (1, 10))), "1%", "error 0.5%", "probability that the comparison halts a harmless version")),
        at_start(directive("soak", One(time(1_000, 24 * HOUR)), "30s", "soak 10min", "duration of each stage, unless harm or its absence is shown earlier")),
        at_start(directive("dark", One(time(2_000, HOUR)), "30s", "dark 1min", "the rollout ends when a proxy with the new version is not heard from, or receives from too few members, for this long")),
        at_start(directive("period", One(time(100, 10_000)), "1s", "period 500ms", "interval at which the versions are compared")),
        at_start(directive("window-least", One(count(1, 1_000_000)), "20", "window-least 50", "work requested of both versions that one comparison needs, in requests of the class with the highest weight; the comparison waits until there is enough")),
        at_start(directive("stage-least", One(count(1, 1_000_000_000)), "500", "stage-least 2000", "work that must be requested of the new version in a stage, in requests of the class with the highest weight; the stage waits until there is enough")),
        at_start(directive("state", One(Type::Text { most: 4_096 }), "", "state /var/lib/leverproxy", "directory in which the state of the rollout survives a restart; without it, the state is received from the other members")),
    ],
};

/// The section `lending`.
pub(super) const LENDING: Section = Section {
    keyword: "lending",
    naming: Naming::Unnamed,
    help: "How the proxies of a fleet agree on the quota that they lend to tenants beyond their own; needs the section `members`. Without this section nothing is lent.",
    directives: &[
        at_start(directive("state", One(Type::Text { most: 4_096 }), "", "state /var/lib/leverproxy/lending", "directory of this proxy alone in which its record of loans survives a restart; without it, a restarted proxy has no record and receives a part of the credit line only from others")),
        at_start(directive("lease", One(time(200, MINUTE)), "5s", "lease 10s", "how long a proxy may lend after more than half of the fleet received a message from it; must be the same on all proxies")),
        at_start(directive("step", One(time(50, 10_000)), "1s", "step 500ms", "interval between two exchanges of balances; at most a third of `lease`")),
        at_start(directive("longest", One(time(1_000, 24 * HOUR)), "2min", "longest 10min", "maximum of the term and the write-off of a credit together; must be the same on all proxies")),
    ],
};

/// The section `credit`.
pub(super) const CREDIT: Section = Section {
    keyword: "credit",
    naming: Naming::ExternalName,
    help: "What a tenant may borrow, by the platform's name of the tenant; needs the section `lending`. At most 20; a tenant without this section borrows nothing.",
    directives: &[
        directive("line", One(time(100, HOUR)), "", "line 10s", "required; the maximum that the tenant may owe, as time of its quota of the whole fleet"),
        directive("term", One(time(100, 12 * HOUR)), "60s", "term 30s", "time within which a loan is repaid"),
        directive("write-off", One(time(0, 12 * HOUR)), "60s", "write-off 30s", "time after the term at which the unpaid rest of a loan is written off"),
        directive("floor", One(share((0, 1), (99, 100))), "50%", "floor 80%", "share of the quota that the tenant always keeps, whatever is repaid"),
        directive("class", Many(Type::Name), "", "class search history", "required; classes of requests for which loans are made"),
        directive("rate", One(Type::Rate { least: 1, most: 1_000_000 }), "", "rate 100/s", "required; maximum number of requests that all proxies together lend in a second"),
        directive("not-during", Many(Type::Reference("window")), "", "not-during festival", "windows in which nothing is lent"),
    ],
};

/// The section `sites`.
pub(super) const SITES: Section = Section {
    keyword: "sites",
    naming: Naming::Unnamed,
    help: "Detection of lost sites (zones of the endpoint list), reported at the control socket and in the metrics. Without this section sites are neither watched nor reported. With it, while a site is lost, reads for which there is no capacity are rejected in one order, those with the least value for their work first.",
    directives: &[
        at_start(directive("lost-after", One(time(100, MINUTE)), "500ms", "lost-after 1s", "a site is lost when its servers fail for this long, none of them answers, and servers of other sites do")),
        at_start(directive("return-after", One(time(100, HOUR)), "5s", "return-after 30s", "minimum time for which a site that answers again is returning before it counts as healthy")),
        at_start(directive("dwell", One(time(100, HOUR)), "2s", "dwell 5s", "a site becomes lost, or stops being lost, at most once in this time")),
    ],
};
