//! Sections `balancer`, and the sections `availability` and `drain`.

use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::value::Share;
use crate::values::{network_of, sections_of, Values};
use ipnet::IpNet;
use std::time::Duration;

/// A section `balancer`: who checks this proxy, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Balancer {
    /// Its name.
    pub name: String,
    /// Time between two checks.
    pub interval: Duration,
    /// Failed checks after which it takes the proxy for down.
    pub fall: u32,
    /// Time after which a check has failed.
    pub timeout: Duration,
    /// Networks that it checks from.
    pub networks: Vec<IpNet>,
}

/// The section `availability`: when the proxy counts as degraded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Availability {
    /// Share of its weight that faults which other proxies may share leave at least.
    pub floor: Share,
    /// Share of its weight that a proven cut of a link leaves at least; the lower of the two counts.
    pub cut_floor: Share,
    /// How late the endpoint list may be.
    pub list_late: Duration,
    /// No lost primary is replaced sooner than this.
    pub election: Duration,
    /// How long a state lasts at least.
    pub dwell: Duration,
    /// A group that owes answers and gives none for so long counts as hung.
    pub silence: Duration,
    /// Lag of the event loop from which the weight falls.
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
        let message = "the end is announced, but no balancer is named that would hear of it";
        let fault = Diagnostic::error("cross-check", setting.span, message);
        faults.push(fault.label("waits for nobody").help("state a balancer"));
    }
    Drain {
        announce_end,
        accept_after_stop: v.time("linger"),
    }
}
