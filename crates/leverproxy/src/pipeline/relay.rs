//! Relay: the first whole answer of a record server goes to the client as it came; all else is the module's
//! to answer. An answer is passed on once it is there in full, so that none is half sent, but for those too large to be kept.

use super::admit::{OpenRequest, OpenRequests};
use crate::request::{Answer, ExchangeOutcome};
use routing::{AttemptNo, RequestId};
use std::time::Instant;

/// Takes a served answer out of `verdict`, if the request is still owed one and no other has begun to reach its client.
pub fn served(
    id: RequestId,
    attempt: AttemptNo,
    verdict: &mut ExchangeOutcome,
    open_requests: &mut OpenRequests,
    now: Instant,
) -> Option<(OpenRequest, Answer)> {
    let ExchangeOutcome::Served(bytes) = verdict else {
        return None;
    };
    open_requests
        .get_mut(id)
        .filter(|open| open.passing.is_none_or(|(begun, _)| begun == attempt))?;
    let open = open_requests.close(id, now)?;
    Some((open, Answer::Served(std::mem::take(bytes))))
}

/// A line for the log on how a request ended.
pub fn account(open: &OpenRequest, answer: &Answer, now: Instant) -> String {
    let took = now.saturating_duration_since(open.read_at).as_millis();
    let (wait, attempts) = (open.wait.as_millis(), open.attempts());
    format!(
        "{} after {took} of {wait} ms, {attempts} attempts",
        answer.kind()
    )
}
