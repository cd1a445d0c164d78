//! The section `memory`: state that survives the process and a power loss.

use super::required::require_directive;
use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::values::Values;
use std::path::PathBuf;
use std::time::Duration;

/// The section `memory`: state that survives the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Persistence {
    /// A directory of this proxy alone.
    pub state: PathBuf,
    /// Interval at which an endpoint list that keeps changing is written.
    pub every: Duration,
}

/// The section's values; `None` without the section.
pub(super) fn persistence(
    sections: &[Section],
    faults: &mut Vec<Diagnostic>,
) -> Option<Persistence> {
    let section = sections.iter().find(|s| s.spec.keyword == "memory")?;
    let v = Values::of(section);
    require_directive(section, "state", "the section memory", faults);
    Some(Persistence {
        state: v.path("state")?,
        every: v.time("every").unwrap_or_default(),
    })
}
