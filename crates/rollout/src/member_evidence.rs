//! Evidence about the new version from one member in one stage.

use crate::messages::ClassCounts;
use crate::series::Series;
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum number of windows in which a member that enters with a stage must be compared. This is enough to show a sign of
/// harm from a version that loses half of the requests at that member.
const MIN_WINDOWS: u64 = 10;

/// Figures of one member that runs the new version, in one stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberFigures {
    /// Weight of the requests offered to the member.
    pub offered: u64,
    /// Weight of the requests lost by the member.
    pub lost: u64,
    /// Number of windows in which the member was compared with the previous version in its region.
    pub windows: u64,
}

/// Evidence from one member in one stage: its counts of the new version, compared with the previous version in its region.
/// Counts of the new version from other members are not included.
#[derive(Clone, Debug)]
pub(crate) struct MemberEvidence {
    region: String,
    figures: MemberFigures,
    series: Series,
    first_window: Option<Duration>,
}

impl MemberEvidence {
    pub(crate) fn new(region: &str) -> MemberEvidence {
        MemberEvidence {
            region: region.to_owned(),
            figures: MemberFigures::default(),
            series: Series::default(),
            first_window: None,
        }
    }

    pub(crate) fn figures(&self) -> MemberFigures {
        self.figures
    }

    /// Adds the member's own counts of the new version.
    pub(crate) fn add_new(&mut self, name: &str, counts: ClassCounts) {
        self.figures.offered = self.figures.offered.saturating_add(counts.offered);
        self.figures.lost = self.figures.lost.saturating_add(counts.lost);
        self.series.add((name, &self.region), true, counts);
    }

    /// Adds another member's counts of the previous version, if that member is in the same region.
    pub(crate) fn add_old(&mut self, name: &str, region: &str, counts: ClassCounts) {
        if self.region == region {
            self.series.add((name, region), false, counts);
        }
    }

    pub(crate) fn close_window(
        &mut self,
        now: Duration,
        min_demand: u64,
        mixed_regions: &BTreeSet<String>,
    ) {
        if self
            .series
            .close_window(min_demand, mixed_regions)
            .is_some()
        {
            self.figures.windows += 1;
            self.first_window.get_or_insert(now);
        }
    }

    /// The end of the first window in which the member was compared.
    pub(crate) fn first_window(&self) -> Option<Duration> {
        self.first_window
    }

    /// Whether the member was compared in enough windows to show harm.
    pub(crate) fn is_sufficient(&self) -> bool {
        self.figures.windows >= MIN_WINDOWS
    }

    /// The wealth of the bet that the new version does harm at this member.
    pub(crate) fn harm_wealth(&self) -> f64 {
        self.series.harm_wealth()
    }
}
