//! The state of a rollout as shown by `leverproxy rollout status`. Writing to a string does not fail, so results are
//! ignored.

use super::phase_names::phase_text;
use super::version::hex;
use super::Rollout;
use ::rollout::{Readiness, Status, Verdict};
use std::fmt::Write;

/// Maximum number of planned restarts of a member in one rollout that counts as usual.
const MAX_USUAL_PLANNED_RESTARTS: u32 = 3;

impl Rollout {
    /// The state of the rollout for operators.
    pub fn status_text(&self) -> String {
        let status = self.core.status();
        let mut text = format!(
            "rollout {}\n  runs {}\n",
            phase_text(status.phase),
            hex(&status.running_version)
        );
        if let Some(p) = &status.proposal {
            let order = p.order.join(", then ");
            _ = writeln!(
                text,
                "  version {} epoch {} by {}: {order}",
                hex(&p.hash),
                p.epoch,
                p.proposer
            );
        }
        if let Some(halted) = &status.halt {
            _ = writeln!(
                text,
                "  halted by {}: {}",
                halted.halted_by,
                halted.reason.text()
            );
        }
        write_evidence(&status, &mut text);
        write_members(&status, &mut text);
        write_planned_restarts(&status, &mut text);
        if status.persisting_fails {
            text.push_str("  its state can't be saved: it casts no new votes until it can be\n");
        }
        text
    }
}

/// Verdict of the evidence with its figures, on one line.
pub(super) fn evidence_text(status: &Status) -> String {
    let (windows, harm, safe) = (
        status.evidence.windows,
        status.evidence.harm_wealth,
        status.evidence.safety_wealth,
    );
    let verdict = verdict_text(status.verdict);
    format!("{verdict}; {windows} windows, wealth {harm:.2} for harm, {safe:.2} against")
}

fn verdict_text(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Harm(reason) => reason.text(),
        Verdict::Clean => "no harm",
        Verdict::Soaking => "soaking, no result yet",
        Verdict::InsufficientTraffic => "too little traffic, or not on both versions: waiting",
        Verdict::MemberEvidenceMissing => {
            "a proxy of the stage was not compared often enough: waiting"
        }
        Verdict::Inconclusive => "signs of harm, but not significant: waiting",
        Verdict::MembersMissing => {
            "no harm, but a proxy of the stage is missing or does not run the new version yet: waiting"
        }
    }
}

/// Evidence of each proxy about the new version in this stage, on one line.
pub(super) fn stage_evidence_text(status: &Status) -> String {
    let members = status.stage_evidence.iter().map(|(name, member)| {
        let (offered, lost, windows) = (member.offered, member.lost, member.windows);
        format!("{name} lost {lost} of {offered} in {windows} windows")
    });
    members.collect::<Vec<_>>().join(", ")
}

fn write_evidence(status: &Status, text: &mut String) {
    _ = writeln!(text, "  evidence {}", evidence_text(status));
    if !status.stage_evidence.is_empty() {
        _ = writeln!(text, "  in this stage {}", stage_evidence_text(status));
    }
}

fn write_members(status: &Status, text: &mut String) {
    for (name, vote) in &status.members {
        let runs = if vote.runs_new { "new" } else { "former" };
        let ready = match &vote.readiness {
            Readiness::Unchecked => "has not checked it yet".to_owned(),
            Readiness::Ready => "can run it".to_owned(),
            Readiness::Unable(reason) => format!("cannot run it: {reason}"),
        };
        _ = writeln!(
            text,
            "  member {name} runs {runs}, votes for {} stages, {ready}",
            vote.votes
        );
    }
}

fn write_planned_restarts(status: &Status, text: &mut String) {
    for (name, restarts) in &status.planned_restarts {
        let note = if *restarts > MAX_USUAL_PLANNED_RESTARTS {
            ": more often than a change of builds needs"
        } else {
            ""
        };
        _ = writeln!(
            text,
            "  member {name} restarted as planned {restarts} times{note}"
        );
    }
}
