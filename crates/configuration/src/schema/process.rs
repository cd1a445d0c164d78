//! Sections of the process itself: discovery, state that outlives it, control socket and log.

use super::builders::{at_start, directive, time, HOUR};
use super::types::Args::One;
use super::types::{Naming, Section};
use crate::value::Type;

/// The section `discovery`.
pub(super) const DISCOVERY: Section = Section {
    keyword: "discovery",
    naming: Naming::Unnamed,
    help: "The list of record servers.",
    directives: &[
        directive(
            "address",
            One(Type::Address),
            "",
            "address 127.0.0.1:8500",
            "where discovery answers, if the platform does not say",
        ),
        at_start(directive(
            "watch-silence",
            One(time(500, 3_000)),
            "3s",
            "watch-silence 2500ms",
            "a watch that says nothing for this long is replaced",
        )),
    ],
};

/// The section `memory`.
pub(super) const MEMORY: Section = Section {
    keyword: "memory",
    naming: Naming::Unnamed,
    help: "What the proxy remembers over a kill or a power loss: the last list, the servers that operators took out, its own start. Without this section, nothing.",
    directives: &[
        at_start(directive("state", One(Type::Text { most: 4_096 }), "", "state /var/lib/leverproxy/memory", "required; a directory of this proxy alone")),
        at_start(directive("every", One(time(100, HOUR)), "5s", "every 30s", "a list that changes without end is written this often; what operators say at once")),
    ],
};

/// The section `control`.
pub(super) const CONTROL: Section = Section {
    keyword: "control",
    naming: Naming::Unnamed,
    help: "The operators' socket, for `leverproxy drain`, `undrain`, `status` and `rollout`.",
    directives: &[at_start(directive(
        "socket",
        One(Type::Text { most: 100 }),
        "",
        "socket /run/leverproxy/control",
        "its path; only the proxy's own user may connect",
    ))],
};

/// The section `logging`.
pub(super) const LOGGING: Section = Section {
    keyword: "logging",
    naming: Naming::Unnamed,
    help: "The log, on standard error. RUST_LOG counts over `level`.",
    directives: &[
        directive(
            "level",
            One(Type::Choice(&["error", "warn", "info", "debug", "trace"])),
            "info",
            "level debug",
            "the least that is logged",
        ),
        directive(
            "form",
            One(Type::Choice(&["text", "json"])),
            "text",
            "form json",
            "lines for people, or a JSON object a line",
        ),
    ],
};
