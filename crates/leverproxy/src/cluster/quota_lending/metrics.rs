//! Metrics and status text of quota lending.

use std::fmt::Write as _;
use std::time::Instant;

use quota_lending::{Lender, LoanTotals};
use wire_admin::Metrics;

use super::QuotaLending;

/// Metric name, help text, and function that reads the value from a tenant's totals.
type TenantMetric = (&'static str, &'static str, fn(&LoanTotals) -> u64);

const TENANT_METRICS: [TenantMetric; 6] = [
    (
        "lb_loan_lent_milli",
        "Thousandths of a request lent by this proxy's account.",
        |totals| totals.lent,
    ),
    (
        "lb_loan_repaid_milli",
        "Thousandths of a request repaid.",
        |totals| totals.repaid,
    ),
    (
        "lb_loan_written_off_milli",
        "Thousandths of a request written off.",
        |totals| totals.written_off,
    ),
    (
        "lb_loan_owed_milli",
        "Thousandths of a request owed.",
        |totals| totals.owed,
    ),
    (
        "lb_loan_part_milli",
        "This proxy's part of the credit limit, in thousandths of a request.",
        |totals| totals.local_limit,
    ),
    (
        "lb_loan_default",
        "Whether the tenant is in default at this proxy.",
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

    /// Status text for operators: the lender's state, and a line for each tenant.
    pub fn status_text(&self, now: Instant) -> String {
        let Some(running) = &self.running else {
            return "loans have not started here\n".to_owned();
        };
        let bootstrapped = if running.lender.is_bootstrapped() {
            "founded"
        } else {
            "not founded: nothing is lent"
        };
        let shortage = if self.in_shortage {
            ", capacity is short: nothing is lent"
        } else {
            ""
        };
        let mut text = format!("loans {bootstrapped}{shortage}\n");
        for (tenant, totals) in self.totals(now) {
            self.write_tenant_status(&mut text, tenant, &totals, now);
        }
        text
    }

    fn write_tenant_status(
        &self,
        text: &mut String,
        tenant: &str,
        totals: &LoanTotals,
        now: Instant,
    ) {
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
            "  stand {tenant} owes {} of at most {} thousandths of a request here, lent {}, repaid {}, written off {}; \
             {withheld} of 1000 parts of its quota are withheld; this proxy may lend for {} ms more{in_default}",
            totals.owed,
            totals.local_limit,
            totals.lent,
            totals.repaid,
            totals.written_off,
            lease.as_millis()
        );
    }

    /// Writes all metrics of quota lending.
    pub fn write_metrics(&self, now: Instant, figures: &mut Metrics) {
        self.write_tenant_metrics(now, figures);
        self.write_decision_metrics(figures);
        self.write_state_metrics(figures);
    }

    fn write_tenant_metrics(&self, now: Instant, figures: &mut Metrics) {
        let totals = self.totals(now);
        for (name, help, value) in TENANT_METRICS {
            let rows = totals
                .iter()
                .map(|(tenant, totals)| (vec![("stand", *tenant)], value(totals)));
            figures.add_labelled(name, help, rows);
        }
        let limits = self
            .running
            .iter()
            .flat_map(|running| running.lender.credit_limits());
        let rows = limits.map(|(tenant, limit)| (vec![("stand", tenant)], limit));
        figures.add_labelled(
            "lb_loan_line_milli",
            "Credit limit of the fleet by this proxy's rules, in thousandths of a request.",
            rows,
        );
    }

    fn write_decision_metrics(&self, figures: &mut Metrics) {
        let rows = self.withheld.iter().map(|(tenant, thousandths)| {
            (vec![("stand", tenant.as_str())], u64::from(*thousandths))
        });
        figures.add_labelled(
            "lb_loan_withheld",
            "Thousandths of the tenant's quota that are withheld as repayment.",
            rows,
        );
        let rows = self
            .borrowed
            .iter()
            .map(|(tenant, n)| (vec![("stand", tenant.as_str())], *n));
        figures.add_labelled("lb_loans_total", "Requests that borrowed quota.", rows);
        let rows = self
            .denied
            .iter()
            .map(|(reason, n)| (vec![("reason", *reason)], *n));
        figures.add_labelled(
            "lb_loans_refused_total",
            "Requests beyond quota that were denied a loan, by reason.",
            rows,
        );
    }

    fn write_state_metrics(&self, figures: &mut Metrics) {
        let lender = self.running.as_ref().map(|running| &running.lender);
        let rows = [
            (
                "lb_loans_running",
                "Whether the lender has started.",
                u64::from(lender.is_some()),
            ),
            (
                "lb_loans_founded",
                "Whether the lender is bootstrapped, without which nothing is lent.",
                u64::from(lender.is_some_and(Lender::is_bootstrapped)),
            ),
            (
                "lb_loans_short",
                "Whether capacity is short for tenants within their quota; then nothing is lent.",
                u64::from(self.in_shortage),
            ),
            (
                "lb_loans_lanes_taken",
                "Accounts of failed proxies that this proxy has taken over.",
                lender.map_or(0, |lender| lender.accounts_taken_over().count() as u64),
            ),
            (
                "lb_loans_lane_ms",
                "Incarnation that opened this proxy's account, in Unix milliseconds.",
                lender.map_or(0, Lender::account_incarnation),
            ),
            (
                "lb_loans_given_back_total",
                "Loans cancelled because the request ended without an attempt.",
                self.cancelled_loans,
            ),
            (
                "lb_loans_malformed_total",
                "Lending messages that could not be decoded.",
                self.malformed + lender.map_or(0, Lender::malformed),
            ),
            (
                "lb_loans_not_kept_total",
                "Lending messages ignored: of no member of the roster, or of more accounts than are kept.",
                lender.map_or(0, Lender::ignored),
            ),
            ("lb_loans_saves_total", "State files written.", self.saves),
            (
                "lb_loans_saves_failed_total",
                "Failed writes of the state file.",
                self.saves_failed,
            ),
        ];
        for (name, help, value) in rows {
            figures.add(name, help, value);
        }
    }
}
