//! Sections of the fleet: members, rollouts, quota lending and sites.

use super::builders::{at_start, count, directive, share, time, HOUR, MINUTE};
use super::types::Args::{Many, One};
use super::types::{Naming, Section};
use crate::value::Type;

/// The section `members`.
pub(super) const MEMBERS: Section = Section {
    keyword: "members",
    naming: Naming::Unnamed,
    help: "How the proxies of a fleet tell one another who is there. Without this section nothing listens for it; with it, there is a section `member` for each proxy.",
    directives: &[
        directive("version", One(count(1, 1_000_000_000_000)), "", "version 3", "required; of the roster: raise it with each change of the sections `member`"),
        at_start(directive("listen", One(Type::Address), "", "listen 10.0.0.4:7946", "required; the address where this proxy hears the others, over UDP")),
        directive("key-file", One(Type::Text { most: 4_096 }), "", "key-file /etc/leverproxy/members.key", "required; a file of one or two keys, each a line of 64 hex digits (`openssl rand -hex 32`): the first signs, both are accepted"),
        at_start(directive("period", One(time(50, 5_000)), "200ms", "period 500ms", "each member asks another one this often whether it is there")),
        at_start(directive("suspicion", One(time(200, 30_000)), "1s", "suspicion 2s", "a member that does not answer may deny its death for this long")),
    ],
};

/// The section `member`.
pub(super) const MEMBER: Section = Section {
    keyword: "member",
    naming: Naming::ExternalName,
    help: "A proxy of the fleet, by the name that the platform gives it (`LB_NAME`), of at most 64 bytes. All proxies have the same sections, their own among them; at most 1,000.",
    directives: &[
        directive("address", One(Type::Address), "", "address 10.0.0.4:7946", "required; where it hears the others"),
        directive("region", One(Type::Name), "", "region north", "the part of a rollout that it belongs to"),
    ],
};

/// The section `rollout`.
pub(super) const ROLLOUT: Section = Section {
    keyword: "rollout",
    naming: Naming::Unnamed,
    help: "How a new operators' file reaches the fleet in stages, and halts by itself; needs the section `members`. Without this section there are no rollouts.",
    directives: &[
        at_start(directive("candidates", One(Type::Text { most: 4_096 }), "", "candidates /etc/leverproxy/candidates", "required; the directory in which new operators' files are placed, on each host by the operators' own means")),
        at_start(directive("order", Many(Type::Name), "", "order north south", "the regions, in the order in which they get a new version; if not stated, by their names")),
        at_start(directive("canary", One(count(1, 100)), "1", "canary 2", "proxies of the first region that run a new version before all others")),
        at_start(directive("least-harm", One(share((1, 200), (1, 2))), "5%", "least-harm 2%", "the least loss, as a part of what is asked, that has to be found")),
        at_start(directive("error", One(share((1, 10_000), (1, 10))), "1%", "error 0.5%", "the chance that a version which does no harm is halted by the comparison")),
        at_start(directive("soak", One(time(1_000, 24 * HOUR)), "30s", "soak 10min", "each stage lasts this long, unless harm or its absence is shown before")),
        at_start(directive("dark", One(time(2_000, HOUR)), "30s", "dark 1min", "a proxy that runs the new version and is not heard, or hears too few, for this long ends the rollout")),
        at_start(directive("period", One(time(100, 10_000)), "1s", "period 500ms", "the versions are compared this often")),
        at_start(directive("window-least", One(count(1, 1_000_000)), "20", "window-least 50", "worth asked of both versions that one comparison needs, in requests of the dearest class; with less it waits for more")),
        at_start(directive("stage-least", One(count(1, 1_000_000_000)), "500", "stage-least 2000", "worth, in requests of the dearest class, that the new version has to be asked in a stage; with less it waits")),
        at_start(directive("state", One(Type::Text { most: 4_096 }), "", "state /var/lib/leverproxy", "a directory where the state of the rollout outlives a restart; without it, it is heard from the others")),
    ],
};

/// The section `lending`.
pub(super) const LENDING: Section = Section {
    keyword: "lending",
    naming: Naming::Unnamed,
    help: "How the proxies of a fleet agree on what they lend to stands that are beyond their quota; needs the section `members`. Without this section nothing is lent.",
    directives: &[
        at_start(directive("state", One(Type::Text { most: 4_096 }), "", "state /var/lib/leverproxy/lending", "a directory of this proxy alone, where its book of loans outlives a restart; without it, a restarted proxy has no memory and gets a part of the line only from others")),
        at_start(directive("lease", One(time(200, MINUTE)), "5s", "lease 10s", "a proxy lends for this long after more than half of the fleet heard it; the same at all proxies")),
        at_start(directive("step", One(time(50, 10_000)), "1s", "step 500ms", "from one beat to the next; at most a third of `lease`")),
        at_start(directive("longest", One(time(1_000, 24 * HOUR)), "2min", "longest 10min", "no credit's term and write-off together are longer; the same at all proxies")),
    ],
};

/// The section `credit`.
pub(super) const CREDIT: Section = Section {
    keyword: "credit",
    naming: Naming::ExternalName,
    help: "What a stand may borrow, by the platform's name of the tenant; needs the section `lending`. At most 20; a stand without one borrows nothing.",
    directives: &[
        directive("line", One(time(100, HOUR)), "", "line 10s", "required; what the stand may owe, as time of its quota of the whole fleet"),
        directive("term", One(time(100, 12 * HOUR)), "60s", "term 30s", "a loan is repaid within this"),
        directive("write-off", One(time(0, 12 * HOUR)), "60s", "write-off 30s", "what is still owed so long after the term is written off"),
        directive("floor", One(share((0, 1), (99, 100))), "50%", "floor 80%", "the part of the quota that always stays, whatever is repaid"),
        directive("class", Many(Type::Name), "", "class search history", "required; the classes that loans are made for"),
        directive("rate", One(Type::Rate { least: 1, most: 1_000_000 }), "", "rate 100/s", "required; the most that all proxies together lend, a second"),
        directive("not-during", Many(Type::Reference("window")), "", "not-during festival", "windows in which nothing is lent"),
    ],
};

/// The section `sites`.
pub(super) const SITES: Section = Section {
    keyword: "sites",
    naming: Naming::Unnamed,
    help: "What is told of each site (a zone of the list) at the control socket and among the figures. Without this section nothing is told. With it, while a site is lost, reads that find no room are refused in one order, the least worth for its work first.",
    directives: &[
        at_start(directive("lost-after", One(time(100, MINUTE)), "500ms", "lost-after 1s", "a site is lost when its servers fail for this long, none answers, and others elsewhere do")),
        at_start(directive("return-after", One(time(100, HOUR)), "5s", "return-after 30s", "a site that answers again returns for this long at least before it counts as whole")),
        at_start(directive("dwell", One(time(100, HOUR)), "2s", "dwell 5s", "a site is lost, or ceases to be, at most once in this span")),
    ],
};
