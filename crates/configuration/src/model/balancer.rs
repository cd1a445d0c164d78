//! Sections `balancer`, and the sections `availability` and `drain`.

use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::value::Share;
use crate::values::{network_of, sections_of, Values};
use ipnet::IpNet;
use std::time::Duration;

/// A section `balancer`: a balancer in front of this proxy, and its check settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Balancer {
    /// Its name.
    pub name: String,
    /// Time between two checks.
    pub interval: Duration,
    /// Number of consecutive failed checks after which it considers the proxy down.
    pub fall: u32,
    /// Time after which it considers a check failed.
    pub timeout: Duration,
    /// Networks from which it connects.
    pub networks: Vec<IpNet>,
}

/// The section `availability`: when the proxy reports itself as degraded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Availability {
    /// Minimum share of its weight that the proxy keeps during faults that other proxies may share.
    pub floor: Share,
    /// Minimum share of its weight that the proxy keeps during a proven cut of a link; the lower one of this and `floor`
    /// applies.
    pub cut_floor: Share,
    /// Maximum delay of the endpoint list.
    pub list_late: Duration,
    /// Minimum time before a lost primary is replaced.
    pub election: Duration,
    /// Minimum duration of a state before a better one is reported.
    pub dwell: Duration,
    /// Time after which a group with outstanding requests that sends no answer is considered hung.
    pub silence: Duration,
    /// Lag of the event loop from which the weight is reduced.
    pub lag: Duration,
}

/// The section `drain`: how the proxy leaves service.
pub(super) struct Drain {
    pub announce_end: bool,
    pub accept_after_stop: Option<Duration>,
}

pub(super) fn balancers(sections: &[Section]) -> Vec<Balancer> {
    sections_of(sections, "balancer")
        .map(|section| {
            let v = Values::of(section);
            Balancer {
                name: section.name.clone(),
                interval: v.time("interval").unwrap_or_default(),
                fall: v.bounded_count("fall").unwrap_or(1),
                timeout: v.time("timeout").unwrap_or_default(),
                networks: v.collect("network", network_of),
            }
        })
        .collect()
}

pub(super) fn availability(sections: &[Section]) -> Availability {
    let v = Values::of_single(sections, "availability");
    let time = |keyword| v.time(keyword).unwrap_or_default();
    Availability {
        floor: v.share("floor"),
        cut_floor: v.share("cut-floor"),
        list_late: time("list-late"),
        election: time("election"),
        dwell: time("dwell"),
        silence: time("silence"),
        lag: time("lag"),
    }
}

pub(super) fn drain(
    sections: &[Section],
    balancers: &[Balancer],
    faults: &mut Vec<Diagnostic>,
) -> Drain {
    let v = Values::of_single(sections, "drain");
    let announce_end = v.is_yes("announce-end");
    let stated = v.section.and_then(|s| s.setting("announce-end"));
    if let Some(setting) = stated.filter(|_| announce_end && balancers.is_empty()) {
        let message = "announce-end is set, but no balancer is configured that would receive the announcement";
        let fault = Diagnostic::error("cross-check", setting.span, message);
        faults.push(
            fault
                .label("no balancer to wait for")
                .help("add a section balancer"),
        );
    }
    Drain {
        announce_end,
        accept_after_stop: v.time("linger"),
    }
}
