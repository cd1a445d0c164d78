//! Computation of the weight from shared faults, own load and cut links.

use std::collections::BTreeMap;

use crate::group::Group;
use crate::{Condition, Load, Reason, Settings, Time};

/// A group is slow when its latency exceeds this multiple of the baseline.
const SLOW_FACTOR: f64 = 1.5;
/// Maximum part of a slow group's traffic that counts as not served because of its slowness.
const MAX_SLOW_PART: f64 = 0.5;

/// Faults of record servers, which affect all proxies.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedFaults {
    /// Part of the traffic that is not served, 0 to 1.
    pub unserved: f64,
    /// Latency as a multiple of the baseline, averaged over the groups by traffic.
    pub slowness: f64,
    /// Factor of the weight, 0 to 1.
    pub factor: f64,
    /// The fault with the most traffic that is not served.
    pub reason: Reason,
}

/// A factor of the weight, from 0 to 1, and what lowers it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Factor {
    pub value: f64,
    pub reason: Reason,
}

impl Factor {
    /// The lower factor; `self` if they are equal.
    fn worse(self, other: Factor) -> Factor {
        if other.value < self.value {
            other
        } else {
            self
        }
    }
}

/// Part of a slow group's traffic that counts as not served, because it is answered late.
fn slow_part(slowness: f64) -> f64 {
    (1.0 - SLOW_FACTOR / slowness.max(SLOW_FACTOR)).min(1.0) * MAX_SLOW_PART
}

fn reason_of(id: u32, group: &Group, group_slow: f64, unserved: f64) -> Reason {
    match group.state().condition {
        Condition::Dead | Condition::Hung => Reason::Group(id),
        Condition::NoPrimary => Reason::Primary(id),
        _ if group_slow > unserved => Reason::Slow,
        _ => Reason::Servers,
    }
}

/// Shared faults of all groups, weighted by traffic.
pub(crate) fn shared_faults(groups: &BTreeMap<u32, Group>, now: Time, floor: f64) -> SharedFaults {
    let (mut all, mut lost, mut slow) = (0.0, 0.0, 0.0);
    let mut reason = Reason::None;
    let mut worst = 0.0;
    for (id, group) in groups {
        let traffic = group.traffic(now);
        let unserved = group.unserved();
        let group_slow = slow_part(group.slowness());
        let group_unserved = traffic * unserved.max(group_slow);
        all += traffic;
        lost += group_unserved;
        slow += traffic * group.slowness();
        if group_unserved > worst {
            worst = group_unserved;
            reason = reason_of(*id, group, group_slow, unserved);
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

/// Linear ramp: 1 up to `from`, then falling to `least` at `to`.
fn ramp(value: f64, from: f64, to: f64, least: f64) -> f64 {
    let part = if to > from {
        (value - from) / (to - from)
    } else {
        f64::from(u8::from(value >= to))
    };
    1.0 - (1.0 - least) * part.clamp(0.0, 1.0)
}

/// The factor for own faults and cut links: the lowest of all. `cut` is the site whose cut link affects most attempts, and the part
/// of all attempts that cut links affect.
pub(crate) fn own_factor(
    load: &Load,
    shared: &SharedFaults,
    cut: Option<(u16, f64)>,
    settings: &Settings,
) -> Factor {
    let (from, to) = settings.lag;
    let lag = Factor {
        value: ramp(
            load.lag.as_secs_f64(),
            from.as_secs_f64(),
            to.as_secs_f64(),
            settings.own_floor,
        ),
        reason: Reason::Lag,
    };
    let mut worst = limits(load, shared, settings)
        .into_iter()
        .fold(lag, Factor::worse);
    if let Some((site, part)) = cut {
        worst = worst.worse(cut_link(site, part, shared, settings));
    }
    if worst.value >= 1.0 {
        return Factor {
            value: 1.0,
            reason: Reason::None,
        };
    }
    worst
}

/// The factors for the use of limits. Together with the shared factor they do not fall below the floor.
fn limits(load: &Load, shared: &SharedFaults, settings: &Settings) -> [Factor; 3] {
    let (from, to) = settings.limit_usage;
    // Requests stay open for longer when servers are slower; that part is not an own fault.
    let open = load.open / shared.slowness.max(1.0);
    [
        (open, Reason::Open),
        (load.descriptors, Reason::Descriptors),
        (load.memory, Reason::Memory),
    ]
    .map(|(used, reason)| Factor {
        value: ramp(used, from, to, settings.own_floor)
            .max(settings.floor / shared.factor)
            .min(1.0),
        reason,
    })
}

/// The factor for cut links. Requests that servers of other sites serve instead are not lost, but they are load on those servers.
fn cut_link(site: u16, part: f64, shared: &SharedFaults, settings: &Settings) -> Factor {
    let cut_floor = settings.cut_floor.min(settings.floor);
    Factor {
        value: (1.0 - (1.0 - cut_floor) * part)
            .max(cut_floor / shared.factor)
            .min(1.0),
        reason: Reason::Link(site),
    }
}

/// The weight as reported: rounded down to a multiple of [`Settings::step`], but not below the lower bound for the reason.
pub(crate) fn reported_weight(weight: f64, own_reason: Reason, settings: &Settings) -> u8 {
    let least = match own_reason {
        Reason::Lag => settings.own_floor,
        Reason::Link(_) => settings.cut_floor.min(settings.floor),
        _ => settings.floor,
    };
    let least = (100.0 * least).ceil();
    let step = f64::from(settings.step.max(1));
    ((weight / step).floor() * step)
        .max(least.min(weight.ceil()))
        .clamp(1.0, 100.0) as u8
}
