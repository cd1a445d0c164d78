//! Admission control: which new requests are rejected on arrival.
//!
//! A router admits the fraction of its requests that the servers can handle, judged by recent answers. This guards
//! against overload that no single server and no concurrency limit causes: attempts of many routers, retried by their
//! clients and executed in vain, keep every server full (flash crowds, mass restarts, too few primaries).
//!
//! - **Inputs**: latency divided by objective of each answer, and the weight that a late answer still has.
//! - **Fractions**: one over all groups; one for each group, so that overload in one group does not reject requests of
//!   another; and one for over-quota requests, which falls at the first late answers. The fraction over all groups is
//!   needed because a router gets too few answers from each group. A fraction rises by one step for an answer in time
//!   and falls by several for a late one. Without answers it decays towards 1.
//! - **Priority**: weight of an answer per second of work. Requests below the average priority are shed first.
//! - **Quota**: a borrowed request is admitted only while no request within its quota is rejected; retries of
//!   over-quota requests are rejected until the over-quota fraction is 1. `Arrival::shed_fraction` uses the same random
//!   number as the fraction, so that the lower of the two applies, not their product.
//! - **Cost**: after a fault that reduces weight has ended, requests are shed until the estimate has decayed.

#[cfg(test)]
mod tests;

use crate::interface::*;
use crate::random::unit_hash;
use crate::state::{Admission, Request, Router};
use crate::tuning::Tuning;

/// Fractions of a group's requests to admit.
struct AdmissionFractions {
    /// Fraction according to the answers of all groups.
    all_groups: f64,
    /// Fraction according to the answers of this group, decayed towards that of all groups.
    group: f64,
}

impl Router {
    /// Whether a new request is admitted. Also updates the average priority.
    pub(crate) fn admit(&mut self, id: RequestId) -> bool {
        let priority = self.priority(id);
        self.average_priority += self.tuning.sample_weight * (priority - self.average_priority);
        let Some(Request { arrival, .. }) = self.requests.get(&id) else {
            return true;
        };
        let fraction = self.admission_fraction(arrival, priority);
        let draw = unit_hash(self.hash_seed ^ id.0.rotate_left(32));
        draw < fraction.min(1.0 - arrival.shed_fraction)
    }

    fn admission_fraction(&self, arrival: &Arrival, priority: f64) -> f64 {
        match (arrival.quota_status, arrival.is_client_retry) {
            (QuotaStatus::OverQuota, false) => self.over_quota_admission,
            (QuotaStatus::OverQuota, true) => self.over_quota_admission.floor(),
            (QuotaStatus::Borrowed, _) => self.admission_fractions(arrival.group).group.floor(),
            (QuotaStatus::WithinQuota, _) => {
                let fraction = self.admission_fractions(arrival.group).group;
                fraction_for_priority(fraction, self.average_priority, priority)
            }
        }
    }

    fn admission_fractions(&self, group: GroupId) -> AdmissionFractions {
        let decay = self
            .decay_since(self.admission.updated)
            .powf(self.tuning.admission_decay);
        let all_groups = 1.0 + decay * self.admission.offset;
        // A group's own fraction decays towards that of all groups. The square root slows the decay, since a router
        // gets fewer answers from one group than from all.
        let group_offset = |admission: &Admission| {
            self.decay_since(admission.updated).sqrt() * (1.0 + admission.offset - all_groups)
        };
        let group = self.groups.get(&group);
        AdmissionFractions {
            all_groups,
            group: all_groups + group.map_or(0.0, |group| group_offset(&group.admission)),
        }
    }

    /// Updates the fractions after an answer from a server of this group. `latency_ratio`: latency divided by
    /// objective.
    pub(crate) fn update_admission(
        &mut self,
        group: GroupId,
        outcome: Outcome,
        latency_ratio: f64,
        late_weight_fraction: f64,
    ) {
        let tuning = self.tuning;
        let earned_fraction = if latency_ratio < 1.0 {
            1.0
        } else {
            late_weight_fraction
        };
        // A time-out may be caused by the connection, so it lowers the fraction by no more than an answer in time
        // raises it.
        let step = if outcome == Outcome::TimedOut {
            -1.0
        } else {
            admission_step(earned_fraction, self.admission_fall())
        };
        let fractions = self.admission_fractions(group);
        let weight = 1.0 - self.decay_since(self.admission.updated);
        self.over_quota_admission = adjusted_fraction(
            self.over_quota_admission,
            weight.min(0.5 / tuning.over_quota_admission_fall),
            admission_step(earned_fraction, tuning.over_quota_admission_fall),
            &tuning,
        );
        self.admission = Admission {
            offset: adjusted_fraction(fractions.all_groups, weight, step, &tuning) - 1.0,
            updated: self.now,
        };
        if let Some(group) = self.groups.get_mut(&group) {
            group.admission = Admission {
                offset: adjusted_fraction(fractions.group, 1.0, step, &tuning) - 1.0,
                updated: self.now,
            };
        }
    }

    fn admission_fall(&self) -> f64 {
        if self.is_large_fleet() {
            self.tuning.admission_fall
        } else {
            self.tuning.admission_fall / 2.0
        }
    }

    /// Weight that an answer would have now, per second of the class's work.
    pub(crate) fn priority(&self, id: RequestId) -> f64 {
        let Some(request) = self.requests.get(&id) else {
            return 0.0;
        };
        let class = request.arrival.class;
        let lateness_factor = if self.now >= request.objective_deadline {
            self.class(class).late_weight_fraction
        } else {
            1.0
        };
        let quota_factor = self
            .settings
            .over_quota_weight_fraction
            .powf(request.arrival.quota_status.over_quota_fraction());
        let work = self.class_work[usize::from(class.0)].as_secs_f64();
        self.class(class).priority_weight * lateness_factor * quota_factor / work
    }
}

/// The fraction that applies to a request of this priority: requests below the average priority are shed first.
fn fraction_for_priority(fraction: f64, average_priority: f64, priority: f64) -> f64 {
    fraction.powf((average_priority / priority).powi(2))
}

/// Step of a fraction: 1 for an answer with its full weight, down to `-fall` for one without any.
fn admission_step(earned_fraction: f64, fall: f64) -> f64 {
    earned_fraction - fall * (1.0 - earned_fraction)
}

/// The fraction after a step in proportion to itself, clamped to its limits.
fn adjusted_fraction(fraction: f64, weight: f64, step: f64, tuning: &Tuning) -> f64 {
    (fraction + fraction * weight.min(tuning.sample_weight) * step)
        .clamp(tuning.admission_min, tuning.admission_max)
}
