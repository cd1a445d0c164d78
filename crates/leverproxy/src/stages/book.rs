//! Book: how an exchange ended, as the module is told of it.

use crate::request::{Done, Purpose, Verdict};
use mountshift::{Ended, Event, Note, Outcome, Report, Time};
use std::time::Duration;

/// `last`: the request is owed nothing more. A position ahead of `now` is no position: believed, it would make a
/// replica seem to hold what is not written yet.
pub fn book(done: &Done, last: bool, now: Time) -> Event {
    let known = |position: &Time| *position <= now.plus(CLOCKS_APART);
    match done.purpose {
        Purpose::Attempt(id, attempt) => Event::Ended(Ended {
            id,
            attempt,
            store: done.store,
            outcome: outcome(&done.verdict),
            elapsed: done.elapsed,
            last,
            note: Note { position: done.note.position.filter(known), ..done.note },
        }),
        Purpose::Probe => {
            let report = match &done.verdict {
                Verdict::Reported(fields) => report(fields),
                _ => Report::default(),
            };
            // A report that can't be read, or can't be true, is none; the server has answered all the same.
            let sound = report.position.as_ref().is_none_or(known);
            let ok = matches!(done.verdict, Verdict::Reported(_));
            let (store, elapsed) = (done.store, done.elapsed);
            Event::Probed { store, ok, elapsed, report: if sound { report } else { Report::default() } }
        }
    }
}

fn outcome(verdict: &Verdict) -> Outcome {
    match verdict {
        Verdict::Served(_) | Verdict::Reported(_) => Outcome::Ok,
        Verdict::Miss => Outcome::Miss,
        // It has answered, so it is not taken for dead.
        Verdict::Failed | Verdict::Spoilt => Outcome::Failed,
        Verdict::Full => Outcome::Full,
        Verdict::ConnectFailed => Outcome::ConnectFailed,
        Verdict::Reset => Outcome::Reset,
        Verdict::TimedOut => Outcome::TimedOut,
        Verdict::Cancelled => Outcome::Cancelled,
        Verdict::NeverSent => Outcome::Moot,
    }
}

/// All machines read one clock, give or take this.
const CLOCKS_APART: Duration = Duration::from_secs(1);

/// What a position in seconds may be off by as a 64-bit float: it is told rounded towards the past.
const ROUNDING: Duration = Duration::from_micros(1);

/// On sockets all positions are Unix times.
fn report(fields: &[(String, f64)]) -> Report {
    let fields = fields.iter().map(|(name, value)| (mountshift_settings::field(name), *value));
    let report = mountshift_settings::report(Time::ZERO, fields);
    Report { position: report.position.map(|at| at.minus(ROUNDING)), ..report }
}
