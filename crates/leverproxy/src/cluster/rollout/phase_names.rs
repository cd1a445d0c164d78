//! Names of phases in metrics, log lines and status text.

use ::rollout::Phase;

/// The name of a phase in metrics.
pub(super) fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Idle => "idle",
        Phase::Proposed => "proposed",
        Phase::Canary => "canary",
        Phase::Region(_) => "region",
        Phase::Complete => "whole",
        Phase::Halted(_) => "halted",
        Phase::RolledBack => "returned",
    }
}

/// Description of a phase for log lines and status text.
pub(super) fn phase_text(phase: Phase) -> String {
    match phase {
        Phase::Region(at) => format!("in region {}", at + 1),
        Phase::Halted(reason) => format!("halted: {}", reason.text()),
        phase => phase_name(phase).to_owned(),
    }
}
