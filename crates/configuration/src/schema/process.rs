//! Sections for the process itself: discovery, persistent state, control socket and log.

use super::builders::{at_start, directive, time, HOUR};
use super::types::Args::One;
use super::types::{Naming, Section};
use crate::value::Type;

/// The section `discovery`.
pub(super) const DISCOVERY: Section = Section {
    keyword: "discovery",
    naming: Naming::Unnamed,
    help: "Discovery of the record servers by the endpoint list.",
    directives: &[
        directive(
            "address",
            One(Type::Address),
            "",
            "address 127.0.0.1:8500",
            "address of the discovery service, if the platform's settings do not state it",
        ),
        at_start(directive(
            "watch-silence",
            One(time(500, 3_000)),
            "3s",
            "watch-silence 2500ms",
            "a watch that receives nothing for this long is replaced",
        )),
    ],
};

/// The section `memory`.
pub(super) const MEMORY: Section = Section {
    keyword: "memory",
    naming: Naming::Unnamed,
    help: "State that survives a kill or a power loss: the last endpoint list, the servers that operators excluded, and the proxy's own start. Without this section nothing is kept.",
    directives: &[
        at_start(directive("state", One(Type::Text { most: 4_096 }), "", "state /var/lib/leverproxy/memory", "required; directory of this proxy alone")),
        at_start(directive("every", One(time(100, HOUR)), "5s", "every 30s", "interval at which an endpoint list that keeps changing is written; changes by operators are written at once")),
    ],
};

/// The section `control`.
pub(super) const CONTROL: Section = Section {
    keyword: "control",
    naming: Naming::Unnamed,
    help: "The control socket, for `leverproxy drain`, `undrain`, `status` and `rollout`.",
    directives: &[at_start(directive(
        "socket",
        One(Type::Text { most: 100 }),
        "",
        "socket /run/leverproxy/control",
        "path of the socket; only the user of the proxy process may connect",
    ))],
};

/// The section `logging`.
pub(super) const LOGGING: Section = Section {
    keyword: "logging",
    naming: Naming::Unnamed,
    help: "The log, on standard error. RUST_LOG takes precedence over `level`.",
    directives: &[
        directive(
            "level",
            One(Type::Choice(&["error", "warn", "info", "debug", "trace"])),
            "info",
            "level debug",
            "lowest level that is logged",
        ),
        directive(
            "form",
            One(Type::Choice(&["text", "json"])),
            "text",
            "form json",
            "lines of text, or one JSON object per line",
        ),
    ],
};
