//! Goodput: the priority weight of requests, and what of it is lost by answers that are late or missing; by class and in all.

use std::time::Duration;

use routing::{ClassId, QuotaStatus, Settings};

use crate::request::Answer;

#[cfg(test)]
mod tests;

/// What requests of a class count for.
#[derive(Clone, Copy, Debug)]
struct ClassWeight {
    /// As a part of the greatest weight of any class.
    weight: f64,
    latency_objective: Duration,
    /// The part of the weight that a late answer earns.
    late_fraction: f64,
}

impl ClassWeight {
    /// The part of its weight that an answer earns, `elapsed` after the request.
    fn earned(&self, answer: &Answer, elapsed: Duration) -> f64 {
        match answer {
            Answer::Served(_) if elapsed <= self.latency_objective => 1.0,
            Answer::Served(_) => self.late_fraction,
            Answer::Rejected(_) | Answer::Failed | Answer::Cancelled | Answer::Invalid(_) => 0.0,
        }
    }
}

/// Totals, in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Weight of all requests.
    pub requested: f64,
    /// What of it was not earned.
    pub lost: f64,
}

impl Totals {
    fn add(&mut self, requested: f64, earned: f64) {
        self.requested += requested;
        self.lost += requested * (1.0 - earned);
    }
}

/// Goodput of this proxy.
#[derive(Debug, Default)]
pub struct Goodput {
    weights: Vec<ClassWeight>,
    /// The part of its weight that a request counts for which is over its tenant's quota.
    over_quota_fraction: f64,
    /// By class, in requests of that class.
    classes: Vec<Totals>,
    /// In requests of the class with the greatest weight.
    total: Totals,
}

impl Goodput {
    /// Takes the weights of classes over; totals stay.
    pub fn configure(&mut self, settings: &Settings) {
        let greatest = settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .fold(0.0, f64::max);
        let weight = |class: &routing::Class| ClassWeight {
            // Where no class has weight, all are alike.
            weight: if greatest > 0.0 {
                (class.priority_weight / greatest).clamp(0.0, 1.0)
            } else {
                1.0
            },
            latency_objective: class.latency_objective,
            late_fraction: class.late_weight_fraction.clamp(0.0, 1.0),
        };
        self.weights = settings.classes.iter().map(weight).collect();
        self.over_quota_fraction = settings.over_quota_weight_fraction.clamp(0.0, 1.0);
        let classes = self.weights.len().max(self.classes.len());
        self.classes.resize(classes, Totals::default());
    }

    /// A request was answered, `elapsed` after it arrived.
    pub fn record_answer(
        &mut self,
        class: ClassId,
        quota_status: QuotaStatus,
        answer: &Answer,
        elapsed: Duration,
    ) {
        let at = usize::from(class.0);
        let (Some(weight), Some(totals)) = (self.weights.get(at), self.classes.get_mut(at)) else {
            return;
        };
        let requested = self
            .over_quota_fraction
            .powf(quota_status.over_quota_fraction());
        let earned = weight.earned(answer, elapsed);
        totals.add(requested, earned);
        self.total.add(requested * weight.weight, earned);
    }

    /// Totals of all classes together.
    pub fn total(&self) -> Totals {
        self.total
    }

    /// Totals of each class.
    pub fn classes(&self) -> impl Iterator<Item = (ClassId, Totals)> + '_ {
        (0..).map(ClassId).zip(self.classes.iter().copied())
    }
}
