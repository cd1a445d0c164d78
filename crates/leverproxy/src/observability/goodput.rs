//! What answers are worth to the platform: asked for and lost, by class and in all.

use crate::request::Answer;
use routing::{ClassId, QuotaStatus, Settings};
use std::time::Duration;

/// Of a class.
#[derive(Clone, Copy, Debug)]
struct Price {
    /// As a part of the greatest worth of any class.
    worth: f64,
    aim: Duration,
    late: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    pub asked: f64,
    pub lost: f64,
}

impl Sum {
    fn add(&mut self, asked: f64, earned: f64) {
        self.asked += asked;
        self.lost += asked * (1.0 - earned);
    }
}

#[derive(Debug, Default)]
pub struct Goodput {
    prices: Vec<Price>,
    /// What is left of it for a request that is wholly beyond its tenant's quota.
    over: f64,
    /// In requests of that class, by its place.
    classes: Vec<Sum>,
    /// In requests of the dearest class.
    total: Sum,
}

impl Goodput {
    /// The prices from now on; what was counted stays.
    pub fn configure(&mut self, settings: &Settings) {
        let greatest = settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .fold(0.0, f64::max);
        let price = |class: &routing::Class| Price {
            // Where nothing is worth anything, all are alike.
            worth: if greatest > 0.0 {
                (class.priority_weight / greatest).clamp(0.0, 1.0)
            } else {
                1.0
            },
            aim: class.latency_objective,
            late: class.late_weight_fraction.clamp(0.0, 1.0),
        };
        self.prices = settings.classes.iter().map(price).collect();
        self.over = settings.over_quota_weight_fraction.clamp(0.0, 1.0);
        self.classes
            .resize(self.prices.len().max(self.classes.len()), Sum::default());
    }

    /// A request that took so long has its answer.
    pub fn answered(
        &mut self,
        class: ClassId,
        standing: QuotaStatus,
        answer: &Answer,
        took: Duration,
    ) {
        let at = usize::from(class.0);
        let (Some(price), Some(sum)) = (self.prices.get(at), self.classes.get_mut(at)) else {
            return;
        };
        let asked = self.over.powf(standing.over_quota_fraction());
        let earned = match answer {
            Answer::Served(_) if took <= price.aim => 1.0,
            Answer::Served(_) => price.late,
            Answer::Refused(_) | Answer::Failed | Answer::Cancelled | Answer::Rejected(_) => 0.0,
        };
        sum.add(asked, earned);
        self.total.add(asked * price.worth, earned);
    }

    pub fn total(&self) -> Sum {
        self.total
    }

    pub fn classes(&self) -> impl Iterator<Item = (ClassId, Sum)> + '_ {
        (0..).map(ClassId).zip(self.classes.iter().copied())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use routing::{Class, Consistency, Idempotency};

    #[test]
    fn a_request_asks_and_earns_what_the_settings_say() {
        let (aim, deadline) = (Duration::from_millis(100), Duration::from_secs(1));
        let class = |worth, late_worth| Class {
            consistency: Consistency::Write,
            idempotency: Idempotency::NonIdempotent,
            latency_objective: aim,
            deadline,
            priority_weight: worth,
            late_weight_fraction: late_worth,
        };
        let settings = Settings {
            classes: vec![class(4.0, 0.25), class(1.0, 0.0)],
            over_quota_weight_fraction: 0.5,
            ..Settings::default()
        };
        let mut worth = Goodput::default();
        worth.configure(&settings);
        let served = || Answer::Served(Vec::new());
        worth.answered(ClassId(0), QuotaStatus::WithinQuota, &served(), aim);
        worth.answered(ClassId(0), QuotaStatus::WithinQuota, &served(), aim * 2);
        worth.answered(
            ClassId(1),
            QuotaStatus::OverQuota,
            &Answer::Refused(None),
            aim,
        );
        worth.answered(ClassId(9), QuotaStatus::WithinQuota, &Answer::Failed, aim);
        let classes: Vec<Sum> = worth.classes().map(|(_, sum)| sum).collect();
        assert_eq!(
            classes,
            [
                Sum {
                    asked: 2.0,
                    lost: 0.75
                },
                Sum {
                    asked: 0.5,
                    lost: 0.5
                }
            ]
        );
        assert_eq!(
            worth.total(),
            Sum {
                asked: 2.125,
                lost: 0.875
            }
        );
    }
}
