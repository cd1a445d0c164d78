//! The section `rollout`.

use super::required::{require_directive, require_members};
use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::values::{name_of, Values};
use std::path::PathBuf;
use std::time::Duration;

/// The section `rollout`: staged rollout of a new version of the operators' file to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// Directory in which operators place new files.
    pub candidates: PathBuf,
    /// Regions in the order in which they receive a new version; empty: sorted by name.
    pub order: Vec<String>,
    /// Number of proxies of the first region that run a new version before all others.
    pub canary: u16,
    /// Smallest loss that must be detected, as a share of the requested work.
    pub least_harm: f64,
    /// Accepted probability that a harmless version is halted.
    pub error: f64,
    /// Duration of a stage, unless harm or its absence is shown earlier.
    pub soak: Duration,
    /// The rollout ends when a member with the new version is not heard from, or receives from too few members, for this
    /// long.
    pub dark: Duration,
    /// Interval at which the versions are compared.
    pub period: Duration,
    /// Work requested of both versions that one comparison needs, in requests of the class with the highest weight.
    pub window_least: u64,
    /// Work that must be requested of the new version in a stage, in requests of the class with the highest weight.
    pub stage_least: u64,
    /// Directory for the state of the rollout.
    pub state: Option<PathBuf>,
}

/// `partial`: some of the files could not be read, so a missing section may be defined there.
pub(super) fn rollout(
    sections: &[Section],
    partial: bool,
    faults: &mut Vec<Diagnostic>,
) -> Option<Rollout> {
    let section = sections.iter().find(|s| s.spec.keyword == "rollout")?;
    if !partial {
        require_members(
            sections,
            section,
            "a rollout",
            "no members to roll out to",
            faults,
        );
    }
    let v = Values::of(section);
    require_directive(section, "candidates", "the section rollout", faults);
    Some(Rollout {
        candidates: v.path("candidates")?,
        order: v.collect("order", name_of),
        canary: v.bounded_count("canary").unwrap_or(1),
        least_harm: v.fraction("least-harm"),
        error: v.fraction("error"),
        soak: v.time("soak").unwrap_or_default(),
        dark: v.time("dark").unwrap_or_default(),
        period: v.time("period").unwrap_or_default(),
        window_least: v.count("window-least").unwrap_or(1),
        stage_least: v.count("stage-least").unwrap_or(1),
        state: v.path("state"),
    })
}
