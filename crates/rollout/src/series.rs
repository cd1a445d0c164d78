//! A series of windows in which the loss rates of the new and the former version are compared.

use crate::bettor::Bettor;
use crate::messages::ClassCounts;
use std::collections::{BTreeMap, BTreeSet};

/// A proxy weighs at most so many times the median of its side: one proxy's counts alone decide nothing.
const MAX_WEIGHT_TO_MEDIAN: u64 = 2;

/// Counts of one side since the last window, by proxy.
type Side = BTreeMap<String, ClassCounts>;

/// The former and the new version.
type Sides = [Side; 2];

/// The comparison of one class, of all together, or of one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Series {
    harm: Bettor,
    /// By region: only proxies of one region are compared, since differences between regions are no harm of a version.
    regions: BTreeMap<String, Sides>,
}

impl Series {
    /// The wealth of the bet on harm.
    pub(crate) fn harm_wealth(&self) -> f64 {
        self.harm.wealth()
    }

    pub(crate) fn add(&mut self, (name, region): (&str, &str), new: bool, counts: ClassCounts) {
        let side = &mut self.regions.entry(region.to_owned()).or_default()[usize::from(new)];
        let sum = side.entry(name.to_owned()).or_default();
        // Others may report any number.
        sum.offered = sum.offered.saturating_add(counts.offered);
        sum.lost = sum.lost.saturating_add(counts.lost);
    }

    /// The difference of the loss rates, once both sides were offered enough. When a window closes must depend on what was offered,
    /// never on what was lost, or the test is not valid.
    /// `mixed_regions`: those that run both versions now. Each is waited for if its reports are late; only where there is none, as
    /// with one proxy each, all regions are compared together.
    pub(crate) fn close_window(
        &mut self,
        min_demand: u64,
        mixed_regions: &BTreeSet<String>,
    ) -> Option<f64> {
        let has_both_versions = |sides: &Sides| sides.iter().all(|side| offered(side) > 0);
        let strata: Vec<Sides> = if mixed_regions.is_empty() {
            vec![self.all_regions()]
        } else {
            let regions = self.regions.iter();
            let compared = regions
                .filter(|(name, sides)| mixed_regions.contains(*name) && has_both_versions(sides));
            compared.map(|(_, sides)| sides.clone()).collect()
        };
        let total_offered =
            |side: usize| saturating_sum(strata.iter().map(|sides| offered(&sides[side])));
        if [0, 1]
            .into_iter()
            .any(|side| total_offered(side) < min_demand.max(1))
        {
            return None;
        }
        let (mut weights, mut sum) = (0.0, 0.0);
        for [old, new] in &strata {
            let weight = offered(old).min(offered(new)) as f64;
            weights += weight;
            sum += weight * (loss_rate(new) - loss_rate(old));
        }
        self.regions.clear();
        let difference = sum / f64::max(weights, 1.0);
        self.harm.bet(difference);
        Some(difference)
    }

    fn all_regions(&self) -> Sides {
        let mut all = Sides::default();
        for sides in self.regions.values() {
            for (merged, side) in all.iter_mut().zip(sides) {
                merged.extend(side.iter().map(|(name, counts)| (name.clone(), *counts)));
            }
        }
        all
    }
}

fn offered(side: &Side) -> u64 {
    saturating_sum(side.values().map(|counts| counts.offered))
}

fn saturating_sum(values: impl Iterator<Item = u64>) -> u64 {
    values.fold(0, u64::saturating_add)
}

fn loss_rate(side: &Side) -> f64 {
    let mut offered: Vec<u64> = side
        .values()
        .map(|counts| counts.offered)
        .filter(|&n| n > 0)
        .collect();
    offered.sort_unstable();
    // Of two, the smaller: one proxy must not set the bound that holds for itself.
    let median = offered.len().saturating_sub(1) / 2;
    let max_weight = offered
        .get(median)
        .copied()
        .unwrap_or(1)
        .saturating_mul(MAX_WEIGHT_TO_MEDIAN);
    let (mut weights, mut sum) = (0.0, 0.0);
    for counts in side.values().filter(|counts| counts.offered > 0) {
        let weight = counts.offered.min(max_weight) as f64;
        weights += weight;
        // A loss may be reported a little after its offer; the rate stays within [0, 1].
        sum += weight * (counts.lost.min(counts.offered) as f64 / counts.offered as f64);
    }
    if weights > 0.0 {
        sum / weights
    } else {
        0.0
    }
}
