//! A series of windows in which the loss rates of the new and the previous version are compared.

use crate::bettor::Bettor;
use crate::messages::ClassCounts;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum weight of a proxy, as a multiple of the median weight of its side, so that the counts of a single proxy cannot
/// decide a comparison.
const MAX_WEIGHT_TO_MEDIAN: u64 = 2;

/// Counts of the proxies that run one version, since the last window. The key is the name of the proxy.
type Side = BTreeMap<String, ClassCounts>;

/// The previous (index 0) and the new version (index 1).
type Sides = [Side; 2];

/// The comparison for one class, for all classes together, or for one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Series {
    harm: Bettor,
    /// Counts by region. Proxies are compared within a region only, since a difference between regions is not caused by the
    /// version.
    regions: BTreeMap<String, Sides>,
}

impl Series {
    /// The wealth of the bet that the new version does harm.
    pub(crate) fn harm_wealth(&self) -> f64 {
        self.harm.wealth()
    }

    pub(crate) fn add(
        &mut self,
        (name, region): (&str, &str),
        runs_new: bool,
        counts: ClassCounts,
    ) {
        let side = &mut self.regions.entry(region.to_owned()).or_default()[usize::from(runs_new)];
        let sum = side.entry(name.to_owned()).or_default();
        // Other members may report any number.
        sum.offered = sum.offered.saturating_add(counts.offered);
        sum.lost = sum.lost.saturating_add(counts.lost);
    }

    /// Closes the window once both versions were offered at least `min_demand`, and returns the loss rate of the new version
    /// minus that of the previous one. The end of a window must depend on the offered weight and never on the lost weight,
    /// or the test is not valid.
    ///
    /// `mixed_regions` are the regions that run both versions now. The window waits for them if their reports are late. All
    /// regions are compared together only if this set is empty, for example if each region has a single proxy.
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
    // Of two proxies, the smaller count is the median: a proxy must not set the bound on its own weight.
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
        // A loss may be reported in a later window than its request; the rate stays within [0, 1].
        sum += weight * (counts.lost.min(counts.offered) as f64 / counts.offered as f64);
    }
    if weights > 0.0 {
        sum / weights
    } else {
        0.0
    }
}
