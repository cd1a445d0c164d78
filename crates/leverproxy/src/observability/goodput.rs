//! Goodput: the priority weight of requests, and the part of it that is lost by late or missing answers, by class and in
//! total.

use std::time::Duration;

use routing::{ClassId, QuotaStatus, Settings};

use crate::request::Answer;

#[cfg(test)]
mod tests;

/// Weight of a class's requests.
#[derive(Clone, Copy, Debug)]
struct ClassWeight {
    /// Priority weight as a fraction of the greatest weight of any class.
    weight: f64,
    latency_objective: Duration,
    /// Fraction of the weight that a late answer earns, 0 to 1.
    late_fraction: f64,
}

impl ClassWeight {
    /// The fraction of the weight that an answer earns `elapsed` after its request, 0 to 1.
    fn earned(&self, answer: &Answer, elapsed: Duration) -> f64 {
        match answer {
            Answer::Served(_) if elapsed <= self.latency_objective => 1.0,
            Answer::Served(_) => self.late_fraction,
            Answer::Rejected(_) | Answer::Failed | Answer::Cancelled | Answer::Invalid(_) => 0.0,
        }
    }
}

/// Sums of weights, in units of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Weight of all requests.
    pub requested: f64,
    /// The part of `requested` that was not earned.
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
    /// Fraction of its weight with which a request over its tenant's quota counts, 0 to 1.
    over_quota_fraction: f64,
    /// Totals by class id, in requests of that class.
    classes: Vec<Totals>,
    /// Total of all classes, in requests of the class with the greatest weight.
    total: Totals,
}

impl Goodput {
    /// Applies the weights of classes; totals stay.
    pub fn configure(&mut self, settings: &Settings) {
        let greatest = settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .fold(0.0, f64::max);
        let weight = |class: &routing::Class| ClassWeight {
            // If no class has a weight, all count equally.
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

    /// Records the answer to a request, `elapsed` after the request arrived.
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
