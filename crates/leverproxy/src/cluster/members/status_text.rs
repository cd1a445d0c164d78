//! The state of the fleet as shown by `leverproxy status`.

use super::names::{operation_name, status_name, REPORTED_OPERATIONS};
use super::Members;
use std::fmt::Write;
use std::time::Instant;

impl Members {
    /// Status text for operators: the quorum state, denied operations, and a line for each member.
    pub fn status_text(&self, now: Instant) -> String {
        let since_origin = now.saturating_duration_since(self.origin);
        let view = self.core.view(since_origin);
        let self_suspected = if view.self_suspected {
            ", not trusting its own view"
        } else {
            ""
        };
        let mut text = format!(
            "members {}{self_suspected}: {} of {} reachable, roster version {}, {} have another\n",
            view.state,
            view.member_counts.alive,
            view.member_counts.total,
            view.roster_version,
            view.roster_mismatches
        );
        for operation in REPORTED_OPERATIONS {
            // Writing to a string does not fail.
            if let Err(reason) = self.core.check_operation(since_origin, operation, None) {
                _ = writeln!(text, "  may not {}: {reason}", operation_name(operation));
            }
        }
        let self_reports = self.self_reports(now);
        for member in view.members {
            let age = since_origin.saturating_sub(member.since).as_secs();
            let contact = if member.direct {
                "in direct contact"
            } else {
                "not in direct contact"
            };
            let self_report = self_reports
                .get(&member.name)
                .map_or(String::new(), |report| {
                    let phase = if report.serving { "serving" } else { "ending" };
                    format!(", {phase}, build {}", report.build)
                });
            let status = status_name(member.status);
            _ = writeln!(
                text,
                "  member {} {status} for {age} s, {contact}{self_report}",
                member.name
            );
        }
        text
    }
}
