//! What one member has shown of the new version in one stage.

use crate::messages::ClassCounts;
use crate::series::Series;
use std::collections::BTreeSet;
use std::time::Duration;

/// Comparisons that each member which enters with a stage has to be a part of. Within so many a version that loses half of all
/// requests at it shows a sign of harm.
const MIN_WINDOWS: u64 = 10;

/// Figures of what one member has shown of the new version in one stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberFigures {
    /// Weight that it was offered.
    pub offered: u64,
    /// Weight of what it lost.
    pub lost: u64,
    /// Comparisons of it with the former version in its region.
    pub windows: u64,
}

/// What one member has shown of the new version in one stage, compared with the former version in its region. No other
/// member's counts of the new version have a part in it.
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

    /// Adds its own counts of the new version.
    pub(crate) fn add_new(&mut self, name: &str, counts: ClassCounts) {
        self.figures.offered = self.figures.offered.saturating_add(counts.offered);
        self.figures.lost = self.figures.lost.saturating_add(counts.lost);
        self.series.add((name, &self.region), true, counts);
    }

    /// Adds counts of the former version, if they are of its region.
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

    /// Since when it is compared.
    pub(crate) fn first_window(&self) -> Option<Duration> {
        self.first_window
    }

    /// Whether it was compared often enough to show harm.
    pub(crate) fn is_sufficient(&self) -> bool {
        self.figures.windows >= MIN_WINDOWS
    }

    /// The wealth of the bet that the new version does harm at this member.
    pub(crate) fn harm_wealth(&self) -> f64 {
        self.series.harm_wealth()
    }
}
