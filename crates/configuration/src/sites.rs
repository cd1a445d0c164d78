//! What is told of sites: how long signs last before a site's state changes.

use crate::check::Section;
use crate::values::Values;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub struct Sites {
    pub lost_after: Duration,
    pub return_after: Duration,
    pub dwell: Duration,
}

/// None without the section: nothing is told of sites.
pub fn sites(sections: &[Section]) -> Option<Sites> {
    let v = Values::of(sections.iter().find(|s| s.spec.keyword == "sites")?);
    Some(Sites {
        lost_after: v.time("lost-after")?,
        return_after: v.time("return-after")?,
        dwell: v.time("dwell")?,
    })
}
