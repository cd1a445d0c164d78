//! Loans in the metrics and in the status text.

use std::fmt::Write as _;
use std::time::Instant;

use quota_lending::{Lender, LoanTotals};
use wire_admin::Metrics;

use super::QuotaLending;

/// Metric name, help text, and what it shows of a tenant's totals.
type TenantFigure = (&'static str, &'static str, fn(&LoanTotals) -> u64);

const TENANT_FIGURES: [TenantFigure; 6] = [
    (
        "lb_loan_lent_milli",
        "Thousandths of a request lent by this lane.",
        |totals| totals.lent,
    ),
    ("lb_loan_repaid_milli", "Of these, repaid.", |totals| {
        totals.repaid
    }),
    (
        "lb_loan_written_off_milli",
        "Of these, given up.",
        |totals| totals.written_off,
    ),
    ("lb_loan_owed_milli", "Of these, owed still.", |totals| {
        totals.owed
    }),
    (
        "lb_loan_part_milli",
        "What this proxy's part of the line comes to.",
        |totals| totals.local_limit,
    ),
    (
        "lb_loan_default",
        "Whether the stand is in default here.",
        |totals| u64::from(totals.in_default),
    ),
];

impl QuotaLending {
    fn totals(&self, now: Instant) -> Vec<(&str, LoanTotals)> {
        let Some(running) = &self.running else {
            return Vec::new();
        };
        let since_start = self.since_start(now);
        self.settings
            .credits
            .iter()
            .map(|credit| credit.tenant.as_str())
            .filter_map(|tenant| Some((tenant, running.lender.totals(since_start, tenant)?)))
            .collect()
    }

    /// The status for an operator: a line for each tenant.
    pub fn status_text(&self, now: Instant) -> String {
        let Some(running) = &self.running else {
            return "loans have not begun here\n".to_owned();
        };
        let bootstrapped = if running.lender.is_bootstrapped() {
            "founded"
        } else {
            "not founded: nothing is lent"
        };
        let shortage = if self.in_shortage {
            ", room is short: nothing is lent"
        } else {
            ""
        };
        let mut text = format!("loans {bootstrapped}{shortage}\n");
        for (tenant, totals) in self.totals(now) {
            self.write_line(&mut text, tenant, &totals, now);
        }
        text
    }

    fn write_line(&self, text: &mut String, tenant: &str, totals: &LoanTotals, now: Instant) {
        let lease = totals.lease_until.saturating_sub(self.since_start(now));
        let in_default = if totals.in_default {
            ", in default"
        } else {
            ""
        };
        let withheld = self.withheld.get(tenant).copied().unwrap_or_default();
        // Writing to a string does not fail.
        _ = writeln!(
            text,
            "  stand {tenant} owes {} of {} thousandths here, lent {}, repaid {}, written off {}; {withheld} of 1000 of \
             its quota are withheld; may lend for {} ms more{in_default}",
            totals.owed,
            totals.local_limit,
            totals.lent,
            totals.repaid,
            totals.written_off,
            lease.as_millis()
        );
    }

    /// Adds the metrics.
    pub fn write_metrics(&self, now: Instant, figures: &mut Metrics) {
        self.tenant_figures(now, figures);
        self.decision_figures(figures);
        self.state_figures(figures);
    }

    fn tenant_figures(&self, now: Instant, figures: &mut Metrics) {
        let totals = self.totals(now);
        for (name, help, value) in TENANT_FIGURES {
            let rows = totals
                .iter()
                .map(|(tenant, totals)| (vec![("stand", *tenant)], value(totals)));
            figures.add_labelled(name, help, rows);
        }
        let limits = self.running.iter().flat_map(|r| r.lender.credit_limits());
        let rows = limits.map(|(tenant, limit)| (vec![("stand", tenant)], limit));
        figures.add_labelled("lb_loan_line_milli", "The line, by the rules here.", rows);
    }

    fn decision_figures(&self, figures: &mut Metrics) {
        let rows = self
            .withheld
            .iter()
            .map(|(tenant, part)| (vec![("stand", tenant.as_str())], u64::from(*part)));
        figures.add_labelled(
            "lb_loan_withheld",
            "Thousandths of its quota that a stand does without.",
            rows,
        );
        let rows = self
            .borrowed
            .iter()
            .map(|(tenant, n)| (vec![("stand", tenant.as_str())], *n));
        figures.add_labelled("lb_loans_total", "Requests lent.", rows);
        let rows = self
            .denied
            .iter()
            .map(|(reason, n)| (vec![("reason", *reason)], *n));
        figures.add_labelled(
            "lb_loans_refused_total",
            "Requests beyond quota not lent, by reason.",
            rows,
        );
    }

    fn state_figures(&self, figures: &mut Metrics) {
        let lender = self.running.as_ref().map(|running| &running.lender);
        let rows = [
            (
                "lb_loans_running",
                "Whether the room of loans has begun.",
                u64::from(lender.is_some()),
            ),
            (
                "lb_loans_founded",
                "Whether loans can be made at all.",
                u64::from(lender.is_some_and(Lender::is_bootstrapped)),
            ),
            (
                "lb_loans_short",
                "Whether stands within quota are short of room.",
                u64::from(self.in_shortage),
            ),
            (
                "lb_loans_lanes_taken",
                "Lanes of dead proxies held.",
                lender.map_or(0, |lender| lender.accounts_taken_over().count() as u64),
            ),
            (
                "lb_loans_lane_ms",
                "The start that names this proxy's lane.",
                lender.map_or(0, Lender::account_incarnation),
            ),
            (
                "lb_loans_given_back_total",
                "Requests lent that nothing was tried for.",
                self.given_back,
            ),
            (
                "lb_loans_malformed_total",
                "Facts of loans that could not be read.",
                self.malformed + lender.map_or(0, Lender::malformed),
            ),
            (
                "lb_loans_not_kept_total",
                "Facts of loans of no member, or of more lanes than are kept.",
                lender.map_or(0, Lender::ignored),
            ),
            ("lb_loans_saves_total", "Files written.", self.saves),
            (
                "lb_loans_saves_failed_total",
                "Files that could not be written.",
                self.saves_failed,
            ),
        ];
        for (name, help, value) in rows {
            figures.add(name, help, value);
        }
    }
}
