//! Relay: the first complete answer of a record server goes to the client unchanged; the proxy makes all other answers
//! itself (`answers`). An answer is forwarded only when it is complete, so that clients get no partial answers. Answers
//! that are too large to be buffered are forwarded in chunks.

use super::admit::{OpenRequest, OpenRequests};
use crate::request::{Answer, ExchangeOutcome};
use routing::{AttemptNumber, RequestId};
use std::time::Instant;

/// Takes a served answer out of `outcome` and closes its request, if the request is still open and the answer of another
/// attempt is not being forwarded.
pub fn take_served(
    id: RequestId,
    attempt: AttemptNumber,
    outcome: &mut ExchangeOutcome,
    open_requests: &mut OpenRequests,
    now: Instant,
) -> Option<(OpenRequest, Answer)> {
    let ExchangeOutcome::Served(bytes) = outcome else {
        return None;
    };
    open_requests.get_mut(id).filter(|open| {
        open.streaming
            .is_none_or(|answer| answer.attempt == attempt)
    })?;
    let open = open_requests.close(id, now)?;
    Some((open, Answer::Served(std::mem::take(bytes))))
}

/// Log text about the end of a request.
pub fn describe(open: &OpenRequest, answer: &Answer, now: Instant) -> String {
    let elapsed_ms = now.saturating_duration_since(open.read_at).as_millis();
    let (timeout, attempts) = (open.timeout.as_millis(), open.attempts());
    format!(
        "{} after {elapsed_ms} of {timeout} ms, {attempts} attempts",
        answer.kind()
    )
}
