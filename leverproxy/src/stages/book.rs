//! Book: how an exchange ended, as the module is told of it.

use crate::request::{Done, Purpose, Verdict};
use mountshift::{Ended, Event, Outcome, Report, Time};
use std::time::Duration;

/// `last`: the request is owed nothing more.
pub fn book(done: &Done, last: bool) -> Event {
    match done.purpose {
        Purpose::Attempt(id, attempt) => Event::Ended(Ended {
            id,
            attempt,
            store: done.store,
            outcome: outcome(&done.verdict),
            elapsed: done.elapsed,
            last,
            note: done.note,
        }),
        Purpose::Probe => {
            let report = match &done.verdict {
                Verdict::Reported(fields) => Some(report(fields)),
                _ => None,
            };
            let ok = report.is_some();
            let (store, elapsed) = (done.store, done.elapsed);
            Event::Probed { store, ok, elapsed, report: report.unwrap_or_default() }
        }
    }
}

fn outcome(verdict: &Verdict) -> Outcome {
    match verdict {
        Verdict::Served(_) | Verdict::Reported(_) => Outcome::Ok,
        Verdict::Miss => Outcome::Miss,
        Verdict::Failed => Outcome::Failed,
        Verdict::Full => Outcome::Full,
        Verdict::ConnectFailed => Outcome::ConnectFailed,
        Verdict::Reset => Outcome::Reset,
        Verdict::TimedOut => Outcome::TimedOut,
        Verdict::Cancelled => Outcome::Cancelled,
        Verdict::NeverSent => Outcome::Moot,
    }
}

/// What a position in seconds may be off by as a 64-bit float: it is told rounded towards the past.
const ROUNDING: Duration = Duration::from_micros(1);

/// On sockets all positions are Unix times.
fn report(fields: &[(String, f64)]) -> Report {
    let fields = fields.iter().map(|(name, value)| (mountshift_settings::field(name), *value));
    let report = mountshift_settings::report(Time::ZERO, fields);
    Report { position: report.position.map(|at| at.minus(ROUNDING)), ..report }
}
