//! Metrics of the fleet.

use super::names::{operation_name, status_name, REPORTED_OPERATIONS, STATUSES};
use super::Members;
use membership::{Counters, QuorumState, View};
use std::time::Instant;
use wire_admin::Metrics;

impl Members {
    /// Writes all metrics of the fleet.
    pub fn write_metrics(&self, now: Instant, figures: &mut Metrics) {
        let view = self.view(now);
        write_quorum_state(&view, figures);
        self.write_members(&view, now, figures);
        self.write_operations(now, figures);
        self.write_counts_by_label(&view.counters, figures);
        self.write_totals(&view, figures);
    }

    fn write_members(&self, view: &View, now: Instant, figures: &mut Metrics) {
        let members = view.members.iter().flat_map(|member| {
            STATUSES.into_iter().map(|status| {
                let labels = vec![
                    ("member", member.name.as_str()),
                    ("status", status_name(status)),
                ];
                (labels, u64::from(member.status == status))
            })
        });
        figures.add_labelled("lb_member", "Status of each other member.", members);
        let direct = view
            .members
            .iter()
            .map(|m| (vec![("member", m.name.as_str())], u64::from(m.direct)));
        figures.add_labelled(
            "lb_member_direct",
            "Whether the last evidence that the member is alive was a datagram from itself.",
            direct,
        );
        let self_reports = self.self_reports(now);
        let serving = self_reports
            .iter()
            .map(|(name, report)| (vec![("member", name.as_str())], u64::from(report.serving)));
        figures.add_labelled(
            "lb_member_serving",
            "Whether the member serves, by its last self-report; none if that has expired.",
            serving,
        );
    }

    fn write_operations(&self, now: Instant, figures: &mut Metrics) {
        let allowed = REPORTED_OPERATIONS.into_iter().map(|operation| {
            (
                vec![("act", operation_name(operation))],
                u64::from(self.check_operation(operation, None, now).is_ok()),
            )
        });
        figures.add_labelled(
            "lb_members_allowed",
            "Operations that are allowed in this state.",
            allowed,
        );
    }

    fn write_counts_by_label(&self, counters: &Counters, figures: &mut Metrics) {
        let changes = self
            .status_changes
            .iter()
            .map(|(status, n)| (vec![("status", *status)], *n));
        figures.add_labelled(
            "lb_members_changes_total",
            "Changes of members to each status.",
            changes,
        );
        let rejected = self
            .rejected
            .iter()
            .map(|(reason, n)| (vec![("reason", *reason)], *n));
        let rejected_by_core = [
            ("stranger", counters.unknown_members),
            ("earlier", counters.earlier_incarnations),
            ("imposter", counters.sender_mismatches),
            ("malformed-inside", counters.malformed),
        ];
        let rejected_by_core = rejected_by_core.map(|(reason, n)| (vec![("reason", reason)], n));
        figures.add_labelled(
            "lb_members_refused_total",
            "Rejected datagrams, by reason.",
            rejected.chain(rejected_by_core),
        );
        let malformed = [
            ("account", self.malformed_self_reports),
            ("rates", self.malformed_rates),
        ];
        let malformed = malformed.map(|(content, n)| (vec![("of", content)], n));
        figures.add_labelled(
            "lb_members_facts_unread_total",
            "Facts that could not be decoded: of another version, or malformed.",
            malformed,
        );
    }

    fn write_totals(&self, view: &View, figures: &mut Metrics) {
        let counters = &view.counters;
        for (name, help, value) in [
            (
                "lb_start_ms",
                "Incarnation of this process: its start in Unix milliseconds, or a later value after a renewal.",
                self.incarnation,
            ),
            (
                "lb_members_renewals_total",
                "Renewals of the incarnation, because other members had a later one for this name.",
                counters.renewals,
            ),
            (
                "lb_members_renewals_held_total",
                "Reports of a later incarnation that came too soon after the last renewal.",
                counters.renewals_rate_limited,
            ),
            (
                "lb_members_renewals_spent_total",
                "Reports of an incarnation beyond any plausible clock, which were ignored.",
                counters.renewals_out_of_range,
            ),
            ("lb_members_heard", "Reachable members, including this one.", view.member_counts.alive as u64),
            ("lb_members_roster_version", "Version of the roster.", view.roster_version),
            (
                "lb_members_roster_differs",
                "Reachable members that have another version of the roster.",
                view.roster_mismatches as u64,
            ),
            (
                "lb_members_doubting",
                "Whether this process was paused, or gets no answers, and does not trust its view of the members.",
                u64::from(view.self_suspected),
            ),
            ("lb_members_pauses_total", "Detected pauses of this process, after which it does not trust its view for a while.", counters.pauses),
            ("lb_members_facts", "Facts of other members that are kept.", view.facts as u64),
            ("lb_members_facts_invented_total", "Facts that other members forwarded under this name, but that this proxy did not publish.", counters.forged_facts),
            (
                "lb_members_unsealed_total",
                "Datagrams that could not be sealed; the first is logged.",
                self.seal_failures,
            ),
            ("lb_members_sent_total", "Datagrams sent.", self.sent),
            ("lb_members_sent_bytes_total", "Bytes of datagrams sent.", self.sent_bytes),
            ("lb_members_unsent_total", "Datagrams that could not be sent.", self.send_failures),
            ("lb_members_received_total", "Datagrams received.", self.received),
        ] {
            figures.add(name, help, value);
        }
    }
}

fn write_quorum_state(view: &View, figures: &mut Metrics) {
    let states = [
        QuorumState::Complete,
        QuorumState::Degraded,
        QuorumState::Minority,
        QuorumState::Alone,
    ]
    .map(|s| (s.to_string(), s));
    let state = states
        .iter()
        .map(|(name, s)| (vec![("state", name.as_str())], u64::from(*s == view.state)));
    figures.add_labelled(
        "lb_members_state",
        "Quorum state: how much of the roster is reachable.",
        state,
    );
}
