//! Record: converts a completed exchange into an event for the decision module.

use crate::clock::skew::{ReportedPosition, MAX_REPORT_AGE};
use crate::request::{CompletedExchange, ExchangeOutcome, Purpose};
use routing::{AttemptEnded, Event, LoadReport, Outcome, ResponseMetadata, Time};
use std::time::Duration;

/// The event of a completed exchange. `request_finished`: the request has its final answer. A position later than
/// `latest` is dropped: it would make a replica appear to hold writes that do not exist yet.
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

/// The plausible part of a probe's load report. A report that can't be read, or whose position is impossible, counts as
/// empty, although the server has answered. If the position is possible but later than `latest`, only the position is
/// dropped.
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

/// Evidence from an exchange about the error of this host's clock: the position that the server reported.
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
        // The server has answered, so it does not count as down.
        ExchangeOutcome::Failed | ExchangeOutcome::InvalidResponse => Outcome::Failed,
        ExchangeOutcome::Rejected => Outcome::Rejected,
        ExchangeOutcome::ConnectFailed => Outcome::ConnectFailed,
        ExchangeOutcome::Reset => Outcome::Reset,
        ExchangeOutcome::TimedOut => Outcome::TimedOut,
        ExchangeOutcome::Cancelled => Outcome::Cancelled,
        ExchangeOutcome::NotSent => Outcome::NotSent,
    }
}

/// Maximum lag of a working clock behind true time.
pub const MAX_CLOCK_LAG: Duration = Duration::from_secs(24 * 60 * 60);

/// Rounding error of a position in seconds as a 64-bit float. It is subtracted, so that positions are rounded down.
const POSITION_ROUNDING_ERROR: Duration = Duration::from_micros(1);

/// Parses the fields of a load report. All positions on the wire are Unix times.
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
