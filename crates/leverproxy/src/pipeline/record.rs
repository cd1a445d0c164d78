//! Record: a completed exchange becomes an event for the decision module.

use crate::clock::skew::{ReportedPosition, MAX_REPORT_AGE};
use crate::request::{CompletedExchange, ExchangeOutcome, Purpose};
use routing::{AttemptEnded, Event, LoadReport, Outcome, ResponseMetadata, Time};
use std::time::Duration;

/// The event of a completed exchange. `request_finished`: the request has its final answer. A position ahead of `latest`
/// is dropped: believed, it would make a replica seem to hold what is not written yet.
pub fn record(completed: &CompletedExchange, request_finished: bool, latest: Time) -> Event {
    let is_plausible = |position: &Time| *position <= latest;
    match completed.purpose {
        Purpose::Attempt(id, attempt) => Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            server: completed.server,
            outcome: attempt_outcome(&completed.outcome),
            elapsed: completed.elapsed,
            request_finished,
            metadata: ResponseMetadata {
                position: completed.metadata.position.filter(is_plausible),
                ..completed.metadata
            },
        }),
        Purpose::Probe => Event::ProbeEnded {
            server: completed.server,
            ok: matches!(completed.outcome, ExchangeOutcome::Reported(_)),
            elapsed: completed.elapsed,
            report: plausible_load_report(&completed.outcome, latest),
        },
    }
}

/// The part of a probe's load report that is believed. A report that can't be read or can't be true counts as empty; the
/// server has answered all the same. Of a report whose position may be true but is not believed yet, the rest counts.
fn plausible_load_report(outcome: &ExchangeOutcome, latest: Time) -> LoadReport {
    let ExchangeOutcome::Reported(fields) = outcome else {
        return LoadReport::default();
    };
    let report = parse_load_report(fields);
    let latest_possible = latest.plus(MAX_CLOCK_LAG);
    match report.position {
        Some(position) if position > latest_possible => LoadReport::default(),
        Some(position) if position > latest => LoadReport {
            position: None,
            ..report
        },
        _ => report,
    }
}

/// What an exchange shows of the error of this process's clock.
pub fn clock_evidence(completed: &CompletedExchange, now: Time) -> Option<ReportedPosition> {
    let since = now.minus(completed.elapsed);
    let (position, primary, since) = match (completed.purpose, &completed.outcome) {
        (_, ExchangeOutcome::InvalidResponse) => return None,
        (Purpose::Attempt(..), _) => (
            completed.metadata.position,
            completed.metadata.primary,
            since,
        ),
        (Purpose::Probe, ExchangeOutcome::Reported(fields)) => {
            let report = parse_load_report(fields);
            (report.position, report.primary, since.minus(MAX_REPORT_AGE))
        }
        (Purpose::Probe, _) => return None,
    };
    let read_after = (primary == Some(true)).then_some(since);
    position.map(|position| ReportedPosition {
        server: completed.server,
        position,
        read_after,
    })
}

fn attempt_outcome(outcome: &ExchangeOutcome) -> Outcome {
    match outcome {
        ExchangeOutcome::Served(_) | ExchangeOutcome::Reported(_) => Outcome::Ok,
        ExchangeOutcome::Misdirected => Outcome::Misdirected,
        // It has answered, so it is not taken to be down.
        ExchangeOutcome::Failed | ExchangeOutcome::InvalidResponse => Outcome::Failed,
        ExchangeOutcome::Rejected => Outcome::Rejected,
        ExchangeOutcome::ConnectFailed => Outcome::ConnectFailed,
        ExchangeOutcome::Reset => Outcome::Reset,
        ExchangeOutcome::TimedOut => Outcome::TimedOut,
        ExchangeOutcome::Cancelled => Outcome::Cancelled,
        ExchangeOutcome::NotSent => Outcome::NotSent,
    }
}

/// A working clock is never further behind true time than this.
pub const MAX_CLOCK_LAG: Duration = Duration::from_secs(24 * 60 * 60);

/// Error of a position in seconds as a 64-bit float: positions are reported rounded towards the past.
const POSITION_ROUNDING_ERROR: Duration = Duration::from_micros(1);

/// A load report. Over sockets all positions are Unix times.
fn parse_load_report(fields: &[(String, f64)]) -> LoadReport {
    let fields = fields
        .iter()
        .map(|(name, value)| (platform_settings::report_field(name), *value));
    let report = platform_settings::load_report(Time::ZERO, fields);
    LoadReport {
        position: report.position.map(|at| at.minus(POSITION_ROUNDING_ERROR)),
        ..report
    }
}
