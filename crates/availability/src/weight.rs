//! Arithmetic of the weight: what shared faults, own load and cut links leave of it.

use std::collections::BTreeMap;

use crate::group::Group;
use crate::{Condition, Load, Reason, Settings, Time};

/// Slower than this times the usual is slow.
const SLOW: f64 = 1.5;
/// Of a slow group's traffic, the most that counts as not served for its slowness alone.
const SLOW_PART_MOST: f64 = 0.5;

/// What record servers do to the traffic, as all proxies see it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedFaults {
    /// Part of the traffic that is not served.
    pub unserved: f64,
    /// Response time as a multiple of the usual.
    pub slowness: f64,
    /// What they leave of the weight.
    pub factor: f64,
    /// The worst of them.
    pub reason: Reason,
}

/// A part of the weight that is left, and what takes the rest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part {
    pub left: f64,
    pub reason: Reason,
}

impl Part {
    /// The one that leaves less; of equal ones the first.
    fn worse(self, other: Part) -> Part {
        if other.left < self.left {
            other
        } else {
            self
        }
    }
}

/// Slower than usual, but alive: a part of its work comes late.
fn late_part(slowness: f64) -> f64 {
    (1.0 - SLOW / slowness.max(SLOW)).min(1.0) * SLOW_PART_MOST
}

fn reason_of(id: u32, group: &Group, late: f64, unserved: f64) -> Reason {
    match group.state().condition {
        Condition::Dead | Condition::Hung => Reason::Group(id),
        Condition::NoPrimary => Reason::Primary(id),
        _ if late > unserved => Reason::Slow,
        _ => Reason::Servers,
    }
}

/// Shared faults of all groups, by their traffic.
pub(crate) fn shared_faults(groups: &BTreeMap<u32, Group>, now: Time, floor: f64) -> SharedFaults {
    let (mut all, mut lost, mut slow) = (0.0, 0.0, 0.0);
    let mut reason = Reason::None;
    let mut worst = 0.0;
    for (id, group) in groups {
        let traffic = group.traffic(now);
        let unserved = group.unserved();
        let late = late_part(group.slowness());
        let lost_here = traffic * unserved.max(late);
        all += traffic;
        lost += lost_here;
        slow += traffic * group.slowness();
        if lost_here > worst {
            worst = lost_here;
            reason = reason_of(*id, group, late, unserved);
        }
    }
    let unserved = if all > 0.0 { lost / all } else { 0.0 };
    SharedFaults {
        unserved,
        slowness: if all > 0.0 { slow / all } else { 1.0 },
        factor: 1.0 - (1.0 - floor) * unserved,
        reason,
    }
}

/// 1 up to `from`, then falling to `least` at `to`.
fn ramp(value: f64, from: f64, to: f64, least: f64) -> f64 {
    let part = if to > from {
        (value - from) / (to - from)
    } else {
        f64::from(u8::from(value >= to))
    };
    1.0 - (1.0 - least) * part.clamp(0.0, 1.0)
}

/// What own faults leave. `cut`: the site with the worst cut link, and the part of the attempts that cut links concern.
pub(crate) fn own_part(
    load: &Load,
    shared: &SharedFaults,
    cut: Option<(u16, f64)>,
    settings: &Settings,
) -> Part {
    let (from, to) = settings.lag;
    let lag = Part {
        left: ramp(
            load.lag.as_secs_f64(),
            from.as_secs_f64(),
            to.as_secs_f64(),
            settings.least,
        ),
        reason: Reason::Lag,
    };
    let mut worst = limits(load, shared, settings)
        .into_iter()
        .fold(lag, Part::worse);
    if let Some((site, part)) = cut {
        worst = worst.worse(cut_link(site, part, shared, settings));
    }
    if worst.left >= 1.0 {
        return Part {
            left: 1.0,
            reason: Reason::None,
        };
    }
    worst
}

/// What the use of limits leaves; together with the shared part it does not go under the floor.
fn limits(load: &Load, shared: &SharedFaults, settings: &Settings) -> [Part; 3] {
    let (from, to) = settings.use_of_limits;
    // Requests stay open for longer with slower servers: that much is no own fault.
    let open = load.open / shared.slowness.max(1.0);
    [
        (open, Reason::Open),
        (load.descriptors, Reason::Descriptors),
        (load.memory, Reason::Memory),
    ]
    .map(|(used, reason)| Part {
        left: ramp(used, from, to, settings.least)
            .max(settings.floor / shared.factor)
            .min(1.0),
        reason,
    })
}

/// What a cut link leaves. Requests that servers of other sites serve instead do not show as lost, but these servers bear them.
fn cut_link(site: u16, part: f64, shared: &SharedFaults, settings: &Settings) -> Part {
    let cut_floor = settings.cut_floor.min(settings.floor);
    Part {
        left: (1.0 - (1.0 - cut_floor) * part)
            .max(cut_floor / shared.factor)
            .min(1.0),
        reason: Reason::Link(site),
    }
}

/// The weight as reported: in steps, rounded down, but not below what the rule guarantees for this reason.
pub(crate) fn reported_weight(weight: f64, own_reason: Reason, settings: &Settings) -> u8 {
    let least = match own_reason {
        Reason::Lag => settings.least,
        Reason::Link(_) => settings.cut_floor.min(settings.floor),
        _ => settings.floor,
    };
    let least = (100.0 * least).ceil();
    let step = f64::from(settings.step.max(1));
    ((weight / step).floor() * step)
        .max(least.min(weight.ceil()))
        .clamp(1.0, 100.0) as u8
}
