//! How a new operators' file reaches the fleet.

use super::required::{require_directive, require_members};
use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::values::{name_of, Values};
use std::path::PathBuf;
use std::time::Duration;

/// The section `rollout`: how a new version of the operators' file reaches the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// Where new files are.
    pub candidates: PathBuf,
    /// Regions; empty: by their names.
    pub order: Vec<String>,
    /// Proxies of the first region that run a new version before all others.
    pub canary: u16,
    /// The least loss that has to be found, as a share of what is asked.
    pub least_harm: f64,
    /// The accepted chance that a harmless version is halted.
    pub error: f64,
    /// How long a stage lasts, unless harm or its absence is shown before.
    pub soak: Duration,
    /// A member that runs the new version and is not heard, or hears too few, for so long halts the rollout.
    pub dark: Duration,
    /// How often the versions are compared.
    pub period: Duration,
    /// Weight asked of both versions that one comparison needs, in requests of the class with the highest weight.
    pub window_least: u64,
    /// Weight that the new version has to be asked in a stage, in requests of the class with the highest weight.
    pub stage_least: u64,
    /// A directory for the rollout's state.
    pub state: Option<PathBuf>,
}

/// `partial`: some of the files could not be read.
pub(super) fn rollout(
    sections: &[Section],
    partial: bool,
    faults: &mut Vec<Diagnostic>,
) -> Option<Rollout> {
    let section = sections.iter().find(|s| s.spec.keyword == "rollout")?;
    if !partial {
        require_members(sections, section, "a rollout", "has nobody to tell", faults);
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
