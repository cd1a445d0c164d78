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
        figures.add_labelled("lb_member", "What is known of each other member.", members);
        let direct = view
            .members
            .iter()
            .map(|m| (vec![("member", m.name.as_str())], u64::from(m.direct)));
        figures.add_labelled(
            "lb_member_direct",
            "Whether its last sign of life was its own datagram.",
            direct,
        );
        let accounts = self.self_reports(now);
        let serving = accounts
            .iter()
            .map(|(name, a)| (vec![("member", name.as_str())], u64::from(a.serving)));
        figures.add_labelled(
            "lb_member_serving",
            "What it says of itself, while that has not lapsed.",
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
            "What may be done in this state.",
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
            "How often a member became that.",
            changes,
        );
        let refused = self
            .rejected
            .iter()
            .map(|(reason, n)| (vec![("reason", *reason)], *n));
        let beyond = [
            ("stranger", counters.unknown_members),
            ("earlier", counters.earlier_incarnations),
            ("imposter", counters.sender_mismatches),
            ("malformed-inside", counters.malformed),
        ];
        let beyond = beyond.map(|(reason, n)| (vec![("reason", reason)], n));
        figures.add_labelled(
            "lb_members_refused_total",
            "Datagrams not taken in, by reason.",
            refused.chain(beyond),
        );
        let unread = [
            ("account", self.malformed_accounts),
            ("rates", self.malformed_rates),
        ];
        let unread = unread.map(|(of, n)| (vec![("of", of)], n));
        figures.add_labelled(
            "lb_members_facts_unread_total",
            "Facts of another version, or torn.",
            unread,
        );
    }

    fn write_totals(&self, view: &View, figures: &mut Metrics) {
        let counters = &view.counters;
        for (name, help, value) in [
            (
                "lb_start_ms",
                "When this process started, in Unix milliseconds, or the later start that it goes on under.",
                self.incarnation,
            ),
            (
                "lb_members_renewals_total",
                "Times that it went on under a later start, since others knew its name by one.",
                counters.renewals,
            ),
            (
                "lb_members_renewals_held_total",
                "Words of a later start that came too soon after the last renewal.",
                counters.renewals_rate_limited,
            ),
            (
                "lb_members_renewals_spent_total",
                "Words of a start beyond all clocks; they are not believed.",
                counters.renewals_out_of_range,
            ),
            ("lb_members_heard", "Members heard, this one too.", view.member_counts.alive as u64),
            ("lb_members_roster_version", "Version of the roster.", view.roster_version),
            (
                "lb_members_roster_differs",
                "Members heard that say another version.",
                view.roster_mismatches as u64,
            ),
            (
                "lb_members_doubting",
                "Whether this process was late and doubts itself.",
                u64::from(view.self_suspected),
            ),
            ("lb_members_pauses_total", "Times that it was late enough for that.", counters.pauses),
            ("lb_members_facts", "Facts of others that are kept.", view.facts as u64),
            ("lb_members_facts_invented_total", "Facts told in this one's name by others.", counters.forged_facts),
            (
                "lb_members_unsealed_total",
                "Datagrams that could not be made; the first has a line in the log.",
                self.unsealed,
            ),
            ("lb_members_sent_total", "Datagrams sent.", self.sent),
            ("lb_members_sent_bytes_total", "Bytes of these.", self.sent_bytes),
            ("lb_members_unsent_total", "Datagrams that could not be sent.", self.unsent),
            ("lb_members_received_total", "Datagrams that came.", self.received),
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
        "How much of the roster is heard.",
        state,
    );
}
