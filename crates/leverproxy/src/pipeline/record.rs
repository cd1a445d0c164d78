//! Book: how an exchange ended, as the module is told of it.

use crate::clock::skew::{ReportedPosition, MAX_REPORT_AGE};
use crate::request::{Done, Purpose, Verdict};
use routing::{AttemptEnded, Event, LoadReport, Outcome, ResponseMetadata, Time};
use std::time::Duration;

/// `last`: the request is owed nothing more. A position ahead of `latest` is no position: believed, it would make a
/// replica seem to hold what is not written yet.
pub fn book(done: &Done, last: bool, latest: Time) -> Event {
    let known = |position: &Time| *position <= latest;
    match done.purpose {
        Purpose::Attempt(id, attempt) => Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            server: done.server,
            outcome: outcome(&done.verdict),
            elapsed: done.elapsed,
            request_finished: last,
            metadata: ResponseMetadata {
                position: done.metadata.position.filter(known),
                ..done.metadata
            },
        }),
        Purpose::Probe => {
            let report = match &done.verdict {
                Verdict::Reported(fields) => report(fields),
                _ => LoadReport::default(),
            };
            // A report that can't be read, or can't be true, is none; the server has answered all the same. Of one
            // whose position may be true, but is not believed yet, the rest counts.
            let possible = |position: &Time| *position <= latest.plus(BEHIND_MOST);
            let sound = report.position.as_ref().is_none_or(possible);
            let report = LoadReport {
                position: report.position.filter(known),
                ..report
            };
            let ok = matches!(done.verdict, Verdict::Reported(_));
            let (server, elapsed) = (done.server, done.elapsed);
            Event::ProbeEnded {
                server,
                ok,
                elapsed,
                report: if sound { report } else { LoadReport::default() },
            }
        }
    }
}

/// What an exchange tells of the time, by the clock of this process.
pub fn told(done: &Done, now: Time) -> Option<ReportedPosition> {
    let since = now.minus(done.elapsed);
    let (position, primary, since) = match (done.purpose, &done.verdict) {
        (_, Verdict::Spoilt) => return None,
        (Purpose::Attempt(..), _) => (done.metadata.position, done.metadata.primary, since),
        (Purpose::Probe, Verdict::Reported(fields)) => {
            let report = report(fields);
            (report.position, report.primary, since.minus(MAX_REPORT_AGE))
        }
        (Purpose::Probe, _) => return None,
    };
    let present_since = (primary == Some(true)).then_some(since);
    position.map(|position| ReportedPosition {
        server: done.server,
        position,
        read_after: present_since,
    })
}

fn outcome(verdict: &Verdict) -> Outcome {
    match verdict {
        Verdict::Served(_) | Verdict::Reported(_) => Outcome::Ok,
        Verdict::Miss => Outcome::Misdirected,
        // It has answered, so it is not taken for dead.
        Verdict::Failed | Verdict::Spoilt => Outcome::Failed,
        Verdict::Full => Outcome::Rejected,
        Verdict::ConnectFailed => Outcome::ConnectFailed,
        Verdict::Reset => Outcome::Reset,
        Verdict::TimedOut => Outcome::TimedOut,
        Verdict::Cancelled => Outcome::Cancelled,
        Verdict::NeverSent => Outcome::NotSent,
    }
}

/// No clock that serves is taken to be further behind.
pub const BEHIND_MOST: Duration = Duration::from_secs(24 * 60 * 60);

/// What a position in seconds may be off by as a 64-bit float: it is told rounded towards the past.
const ROUNDING: Duration = Duration::from_micros(1);

/// On sockets all positions are Unix times.
fn report(fields: &[(String, f64)]) -> LoadReport {
    let fields = fields
        .iter()
        .map(|(name, value)| (platform_settings::field(name), *value));
    let report = platform_settings::report(Time::ZERO, fields);
    LoadReport {
        position: report.position.map(|at| at.minus(ROUNDING)),
        ..report
    }
}
