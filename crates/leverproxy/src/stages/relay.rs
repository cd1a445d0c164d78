//! Relay: the first whole answer of a record server goes to the client as it came; all else is the module's
//! to answer. An answer is passed on only once it is there in full, so that none is ever half sent.

use super::admit::{Ledger, Open};
use crate::request::{Answer, Verdict};
use mountshift::RequestId;
use std::time::Instant;

/// Takes a served answer out of `verdict`, if the request is still owed one.
pub fn served(
    id: RequestId,
    verdict: &mut Verdict,
    ledger: &mut Ledger,
    now: Instant,
) -> Option<(Open, Answer)> {
    let Verdict::Served(bytes) = verdict else { return None };
    let open = ledger.close(id, now)?;
    Some((open, Answer::Served(std::mem::take(bytes))))
}

/// A line for the log on how a request ended.
pub fn account(open: &Open, answer: &Answer, now: Instant) -> String {
    let took = now.saturating_duration_since(open.read_at).as_millis();
    let (wait, attempts) = (open.wait.as_millis(), open.attempts());
    format!("{} after {took} of {wait} ms, {attempts} attempts", answer.kind())
}
