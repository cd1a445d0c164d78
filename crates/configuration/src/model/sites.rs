//! The section `sites`.

use crate::check::Section;
use crate::values::Values;
use std::time::Duration;

/// The section `sites`: how long evidence must last before the state of a site changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Sites {
    /// Duration of the evidence after which a site is lost.
    pub lost_after: Duration,
    /// Minimum time for which a site that answers again is returning.
    pub return_after: Duration,
    /// Minimum time between two changes of a site to or from lost.
    pub dwell: Duration,
}

/// The section's values; `None` without the section: sites are not watched.
pub(super) fn sites(sections: &[Section]) -> Option<Sites> {
    let v = Values::of(sections.iter().find(|s| s.spec.keyword == "sites")?);
    Some(Sites {
        lost_after: v.time("lost-after")?,
        return_after: v.time("return-after")?,
        dwell: v.time("dwell")?,
    })
}
