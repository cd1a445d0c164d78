//! Every section and directive of the language, in one table: the checker goes by it, and the operators' page
//! is made from it.

use crate::value::{Share, Type};
use std::time::Duration;

/// How many values a directive takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Args {
    /// Exactly one.
    One(Type),
    /// One or none.
    Optional(Type),
    /// One or more.
    Many(Type),
}

/// When a changed value begins to count in a proxy that serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// With a reload (SIGHUP).
    OnReload,
    /// With the next start.
    OnStart,
}

/// A directive of the language.
#[derive(Clone, Copy, Debug)]
pub struct Directive {
    /// Its keyword.
    pub keyword: &'static str,
    /// Its values.
    pub args: Args,
    /// Empty: none.
    pub default: &'static str,
    /// When a change counts.
    pub takes_effect: TakesEffect,
    /// What it does, for the operators' page.
    pub help: &'static str,
    /// An example, for the operators' page.
    pub example: &'static str,
}

/// How sections of a keyword are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Naming {
    /// Stands once and bears no name.
    Unnamed,
    /// By a name of their own, which references use.
    Named,
    /// By a name that others have given: any text.
    ExternalName,
}

/// A kind of section.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Its keyword.
    pub keyword: &'static str,
    /// How it is named.
    pub naming: Naming,
    /// What it is for, for the operators' page.
    pub help: &'static str,
    /// The directives that it may have.
    pub directives: &'static [Directive],
}

impl Section {
    /// The directive of that keyword.
    pub fn directive(&self, keyword: &str) -> Option<&'static Directive> {
        self.directives.iter().find(|d| d.keyword == keyword)
    }
}

/// The sections that a kind of file may have.
pub type Table = &'static [Section];

/// A section of the operators' table.
pub fn section(keyword: &str) -> Option<&'static Section> {
    SECTIONS.iter().find(|s| s.keyword == keyword)
}

/// Milliseconds.
pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A span of time within these bounds, in milliseconds.
pub const fn time(least: u64, most: u64) -> Type {
    Type::Time {
        least: ms(least),
        most: ms(most),
    }
}

/// A whole number within these bounds.
pub const fn count(least: u64, most: u64) -> Type {
    Type::Count { least, most }
}

/// A share within these bounds.
pub const fn share(least: (u32, u32), most: (u32, u32)) -> Type {
    Type::Share {
        least: Share::new(least.0, least.1),
        most: Share::new(most.0, most.1),
    }
}

/// A size in bytes within these bounds.
pub const fn size(least: u64, most: u64) -> Type {
    Type::Size { least, most }
}

/// A directive whose changes count with a reload.
pub const fn directive(
    keyword: &'static str,
    args: Args,
    default: &'static str,
    example: &'static str,
    help: &'static str,
) -> Directive {
    Directive {
        keyword,
        args,
        default,
        takes_effect: TakesEffect::OnReload,
        help,
        example,
    }
}

const fn at_start(d: Directive) -> Directive {
    Directive {
        takes_effect: TakesEffect::OnStart,
        ..d
    }
}

use Args::{Many, One, Optional};

const MINUTE: u64 = 60_000;
const HOUR: u64 = 3_600_000;
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const YES: Type = Type::Choice(&["yes", "no"]);

/// Of a directive's values and of a section's list of values, more are refused.
pub const VALUES_LIMIT: usize = 10_000;
/// Sections `window`.
pub const WINDOWS_LIMIT: usize = 1_000;
/// Sections `member`.
pub const MEMBERS_LIMIT: usize = 1_000;
/// Stands that may borrow: the core keeps books of no more.
pub const CREDITS_LIMIT: usize = 20;
/// Bytes of a member's name.
pub const MEMBER_NAME_LIMIT: usize = 64;

/// The table of the operators' file.
pub static SECTIONS: &[Section] = &[
    Section {
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
    },
    Section {
        keyword: "discovery",
        naming: Naming::Unnamed,
        help: "The list of record servers.",
        directives: &[
            directive("address", One(Type::Address), "", "address 127.0.0.1:8500", "where discovery answers, if the platform does not say"),
            at_start(directive("watch-silence", One(time(500, 3_000)), "3s", "watch-silence 2500ms", "a watch that says nothing for this long is replaced")),
        ],
    },
    Section {
        keyword: "listener",
        naming: Naming::Named,
        help: "Where clients connect, if the platform does not say. One listener is served so far.",
        directives: &[
            at_start(directive("protocol", One(Type::Choice(&["postgres"])), "postgres", "protocol postgres", "what is spoken there")),
            at_start(directive("address", One(Type::Address), "", "address 127.0.0.1:5433", "the address to listen on")),
            directive("proxy-from", Many(Type::Network), "", "proxy-from 10.9.0.0/24", "balancers that send a PROXY header (version 1 or 2) before each connection's first byte; from these networks it has to be there, from others it is a fault"),
        ],
    },
    Section {
        keyword: "calendar",
        naming: Naming::Unnamed,
        help: "How the windows of the file are to be read.",
        directives: &[
            directive("offset", One(Type::Offset), "UTC", "offset +05:45", "the local time's distance from UTC; it is fixed, there is no summer time"),
        ],
    },
    Section {
        keyword: "window",
        naming: Naming::Named,
        help: "A part of the calendar. All that is stated has to hold; what is not stated always does. Hours that run over midnight belong to the day on which they begin.",
        directives: &[
            directive("dates", Many(Type::Dates), "", "dates 2026-10-17..2026-10-31 04-13..04-15", "days from one to another, both included; without a year they come back each year, and may run over its end"),
            directive("weekdays", Many(Type::Weekdays), "", "weekdays fri sat-sun", "days of the week"),
            directive("hours", Many(Type::Hours), "", "hours 06:00-10:00 22:00-02:00", "from the first moment up to, but without, the last"),
        ],
    },
    Section {
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
    },
    Section {
        keyword: "class",
        naming: Naming::ExternalName,
        help: "A class of requests, by the platform's name for it. Nothing here loosens what the platform says of the class.",
        directives: &[
            directive("deadline", One(time(1, HOUR)), "", "deadline 400ms", "the longest that a request of the class is worked on"),
            directive("tries", One(count(1, 1_000)), "", "tries 2", "attempts for a request of the class"),
            directive("runs", One(Type::Choice(&["once", "any"])), "any", "runs once", "once: a request that may have run is never sent again, even if the platform would allow it"),
        ],
    },
    Section {
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
    },
    Section {
        keyword: "policy",
        naming: Naming::Unnamed,
        help: "What the decision module is told beyond the platform's settings; each can only be tighter than these.",
        directives: &[
            directive("tries", One(count(1, 1_000)), "", "tries 4", "attempts for any request"),
            directive("second-copies", One(YES), "yes", "second-copies no", "whether a second copy may be sent while the first runs"),
            directive("probes", One(YES), "yes", "probes no", "whether record servers are probed"),
            directive("come-back-most", One(time(1, 10 * MINUTE)), "", "come-back-most 1s", "the longest that a refused client is told to wait"),
        ],
    },
    Section {
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
    },
    Section {
        keyword: "balancer",
        naming: Naming::Named,
        help: "A balancer in front, as its own file has it: a drain waits until it must have heard.",
        directives: &[
            directive("interval", One(time(10, HOUR)), "2s", "interval 2s", "between two of its checks"),
            directive("fall", One(count(1, 100)), "3", "fall 3", "checks in a row that it takes to believe one"),
            directive("timeout", One(time(1, MINUTE)), "1s", "timeout 500ms", "how long a check of it may take"),
            directive("network", Many(Type::Network), "", "network 10.9.0.7", "where it comes from: connections to the clients' listener that ask for nothing are checks, and count against no limit"),
        ],
    },
    Section {
        keyword: "drain",
        naming: Naming::Unnamed,
        help: "How the proxy leaves service. Told by an operator it announces the drain, waits for the balancers and stops listening.",
        directives: &[
            directive("announce-end", One(YES), "no", "announce-end yes", "SIGTERM too is announced, and waits for the balancers, before the listener closes"),
            directive("linger", One(time(0, 5 * MINUTE)), "", "linger 1s", "without that, new connections are taken for this long after SIGTERM; 500ms unless stated"),
        ],
    },
    Section {
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
    },
    Section {
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
    },
    Section {
        keyword: "member",
        naming: Naming::ExternalName,
        help: "A proxy of the fleet, by the name that the platform gives it (`LB_NAME`), of at most 64 bytes. All proxies have the same sections, their own among them; at most 1,000.",
        directives: &[
            directive("address", One(Type::Address), "", "address 10.0.0.4:7946", "required; where it hears the others"),
            directive("region", One(Type::Name), "", "region north", "the part of a rollout that it belongs to"),
        ],
    },
    Section {
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
    },
    Section {
        keyword: "memory",
        naming: Naming::Unnamed,
        help: "What the proxy remembers over a kill or a power loss: the last list, the servers that operators took out, its own start. Without this section, nothing.",
        directives: &[
            at_start(directive("state", One(Type::Text { most: 4_096 }), "", "state /var/lib/leverproxy/memory", "required; a directory of this proxy alone")),
            at_start(directive("every", One(time(100, HOUR)), "5s", "every 30s", "a list that changes without end is written this often; what operators say at once")),
        ],
    },
    Section {
        keyword: "lending",
        naming: Naming::Unnamed,
        help: "How the proxies of a fleet agree on what they lend to stands that are beyond their quota; needs the section `members`. Without this section nothing is lent.",
        directives: &[
            at_start(directive("state", One(Type::Text { most: 4_096 }), "", "state /var/lib/leverproxy/lending", "a directory of this proxy alone, where its book of loans outlives a restart; without it, a restarted proxy has no memory and gets a part of the line only from others")),
            at_start(directive("lease", One(time(200, MINUTE)), "5s", "lease 10s", "a proxy lends for this long after more than half of the fleet heard it; the same at all proxies")),
            at_start(directive("step", One(time(50, 10_000)), "1s", "step 500ms", "from one beat to the next; at most a third of `lease`")),
            at_start(directive("longest", One(time(1_000, 24 * HOUR)), "2min", "longest 10min", "no credit's term and write-off together are longer; the same at all proxies")),
        ],
    },
    Section {
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
    },
    Section {
        keyword: "sites",
        naming: Naming::Unnamed,
        help: "What is told of each site (a zone of the list) at the control socket and among the figures. Without this section nothing is told. With it, while a site is lost, reads that find no room are refused in one order, the least worth for its work first.",
        directives: &[
            at_start(directive("lost-after", One(time(100, MINUTE)), "500ms", "lost-after 1s", "a site is lost when its servers fail for this long, none answers, and others elsewhere do")),
            at_start(directive("return-after", One(time(100, HOUR)), "5s", "return-after 30s", "a site that answers again returns for this long at least before it counts as whole")),
            at_start(directive("dwell", One(time(100, HOUR)), "2s", "dwell 5s", "a site is lost, or ceases to be, at most once in this span")),
        ],
    },
    Section {
        keyword: "control",
        naming: Naming::Unnamed,
        help: "The operators' socket, for `leverproxy drain`, `undrain`, `status` and `rollout`.",
        directives: &[
            at_start(directive("socket", One(Type::Text { most: 100 }), "", "socket /run/leverproxy/control", "its path; only the proxy's own user may connect")),
        ],
    },
    Section {
        keyword: "logging",
        naming: Naming::Unnamed,
        help: "The log, on standard error. RUST_LOG counts over `level`.",
        directives: &[
            directive("level", One(Type::Choice(&["error", "warn", "info", "debug", "trace"])), "info", "level debug", "the least that is logged"),
            directive("form", One(Type::Choice(&["text", "json"])), "text", "form json", "lines for people, or a JSON object a line"),
        ],
    },
];

/// The operators' table of directives, in Markdown.
pub fn markdown() -> String {
    markdown_of(SECTIONS, true)
}

/// Any table in Markdown; `takes`: whether it is told when a changed value counts.
pub fn markdown_of(table: Table, takes: bool) -> String {
    let mut out = String::new();
    for section in table {
        let head = match section.naming {
            Naming::Unnamed => format!("{} {{", section.keyword),
            Naming::Named | Naming::ExternalName => format!("{} NAME {{", section.keyword),
        };
        out.push_str(&format!("### `{head}`\n\n{}\n\n", section.help));
        let column = |text: &str| {
            if takes {
                format!(" {text} |")
            } else {
                String::new()
            }
        };
        out.push_str(&format!(
            "| directive | value | range | default |{} says |\n",
            column("takes effect")
        ));
        out.push_str(&format!(
            "| --- | --- | --- | --- |{} --- |\n",
            column("---")
        ));
        for d in section.directives {
            let (kind, many) = match d.args {
                Args::One(kind) => (kind, ""),
                Args::Optional(kind) => (kind, ", or nothing"),
                Args::Many(kind) => (kind, ", one or more"),
            };
            let when = match d.takes_effect {
                TakesEffect::OnReload => "reload",
                TakesEffect::OnStart => "start",
            };
            let default = if d.default.is_empty() {
                "-".to_owned()
            } else {
                format!("`{}`", d.default)
            };
            let range = if kind.range().is_empty() {
                "-".to_owned()
            } else {
                kind.range()
            };
            out.push_str(&format!(
                "| `{}` | {}{many} | {range} | {default} |{} {}; `{}` |\n",
                d.keyword,
                kind.name(),
                column(when),
                d.help,
                d.example
            ));
        }
        out.push('\n');
    }
    out
}

/// A table that breaks its own rules: a default or an example that the directive itself would not take, a keyword
/// twice. For the tests of those who bring a table.
pub fn example_errors(table: Table) -> Vec<String> {
    let mut found = Vec::new();
    for section in table {
        let mut seen = Vec::new();
        for d in section.directives {
            let mut fault =
                |what: &str| found.push(format!("{} {}: {what}", section.keyword, d.keyword));
            if seen.contains(&d.keyword) {
                fault("stands twice");
            }
            seen.push(d.keyword);
            let (Args::One(kind) | Args::Optional(kind) | Args::Many(kind)) = d.args;
            if !d.default.is_empty() && kind.parse(d.default).is_err() {
                fault("its default is no value of it");
            }
            let syntax = crate::syntax::parse(crate::source::FileId(0), d.example);
            let words = match syntax.lines.first().map(|line| &line.entry) {
                Some(crate::syntax::Entry::Directive(words)) if syntax.faults.is_empty() => {
                    words.as_slice()
                }
                _ => &[],
            };
            let words: Vec<&str> = words
                .iter()
                .map(|w| d.example[w.span.range()].trim_matches('"'))
                .collect();
            let fits = match words.as_slice() {
                [keyword, values @ ..] => {
                    *keyword == d.keyword && values.iter().all(|v| kind.parse(v).is_ok())
                }
                [] => false,
            };
            if !fits {
                fault("its example is none");
            }
        }
    }
    found
}

#[cfg(test)]
mod tests {
    /// Defaults and examples are values that the directive itself takes.
    #[test]
    fn the_table_keeps_its_own_rules() {
        assert_eq!(super::example_errors(super::SECTIONS), Vec::<String>::new());
    }
}
