//! The section `sites`: how long evidence lasts before a site's state changes.

use crate::check::Section;
use crate::values::Values;
use std::time::Duration;

/// The section `sites`: how long evidence lasts before a site's state changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Sites {
    /// Evidence of a loss.
    pub lost_after: Duration,
    /// Evidence of a return.
    pub return_after: Duration,
    /// How long a state lasts at least.
    pub dwell: Duration,
}

/// None without the section: sites are not watched.
pub(super) fn sites(sections: &[Section]) -> Option<Sites> {
    let v = Values::of(sections.iter().find(|s| s.spec.keyword == "sites")?);
    Some(Sites {
        lost_after: v.time("lost-after")?,
        return_after: v.time("return-after")?,
        dwell: v.time("dwell")?,
    })
}
