//! The section `limits`.

use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::value::Share;
use crate::values::Values;
use std::time::Duration;

/// The section `limits`. Shares refer to all descriptors or to the whole memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// `client-patience`: timeout for a connection's first valid request, and for each command.
    pub client_patience: Duration,
    /// `client-idle`: time after which an idle connection is closed while clients use the share `crowded`.
    pub client_idle: Duration,
    /// `answer-unread`: time without a byte read after which a client is disconnected.
    pub answer_unread: Duration,
    /// `goodbye`: time for a client to read the reason before its connection is closed.
    pub goodbye: Duration,
    /// `answer-margin`: time subtracted from each client's deadline for sending the answer.
    pub answer_margin: Duration,
    /// `pipeline`: maximum number of unanswered commands of one connection.
    pub pipeline: usize,
    /// `unsent`: bytes of unsent answers of one connection beyond which nothing more is read from it.
    pub unsent: usize,
    /// `clients`: share of the descriptors for clients.
    pub clients: Share,
    /// `crowded`: share of the descriptors in use from which idle connections are closed after `client-idle`.
    pub crowded: Share,
    /// `packed`: share of the descriptors in use from which idle connections are closed after 2 s at the latest.
    pub packed: Share,
    /// `unfinished`: share of the memory for incomplete commands of all clients.
    pub unfinished: Share,
    /// `sockets`: maximum number of open descriptors.
    pub sockets: Option<usize>,
    /// `memory`: maximum memory in bytes.
    pub memory: Option<u64>,
}

pub(super) fn limits(sections: &[Section], faults: &mut Vec<Diagnostic>) -> Limits {
    let v = Values::of_single(sections, "limits");
    let time = |keyword| v.time(keyword).unwrap_or_default();
    let limits = Limits {
        client_patience: time("client-patience"),
        client_idle: time("client-idle"),
        answer_unread: time("answer-unread"),
        goodbye: time("goodbye"),
        answer_margin: time("answer-margin"),
        pipeline: v.bounded_count("pipeline").unwrap_or(1),
        unsent: v.bounded_count("unsent").unwrap_or(4_096),
        clients: v.share("clients"),
        crowded: v.share("crowded"),
        packed: v.share("packed"),
        unfinished: v.share("unfinished"),
        sockets: v.bounded_count("sockets"),
        memory: v.count("memory"),
    };
    if let Some(section) = v.section {
        check_crowded(section, &limits, faults);
    }
    limits
}

/// Reports `crowded` above `packed`: idle connections would be closed as above `packed` before `client-idle` applies.
fn check_crowded(section: &Section, limits: &Limits, faults: &mut Vec<Diagnostic>) {
    if limits.crowded <= limits.packed {
        return;
    }
    let (crowded, packed) = (section.setting("crowded"), section.setting("packed"));
    let Some(at) = crowded.or(packed) else {
        return;
    };
    let message = format!(
        "crowded ({}) is above packed ({})",
        limits.crowded, limits.packed
    );
    let fault = Diagnostic::error("cross-check", at.span, message)
        .label("crowded must not be above packed");
    faults.push(match (crowded, packed) {
        (Some(_), Some(packed)) => fault.related(packed.span, "packed"),
        _ => fault.help("the one of the two that is not set has its default value"),
    });
}
