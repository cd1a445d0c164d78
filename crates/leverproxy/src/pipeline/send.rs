//! Send: converts an attempt or a probe of the decision module into an exchange with a record server.

use super::admit::OpenRequest;
use crate::event_loop::timers::deadline_after;
use crate::request::{Purpose, UpstreamQuery};
use crate::upstream::Exchange;
use routing::RequestId;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The exchange of a request's next attempt. It times out after `timeout`, and is dropped unsent if it is not completely
/// written within `begin_within`.
pub fn attempt(
    id: RequestId,
    open: &mut OpenRequest,
    timeout: Duration,
    begin_within: Duration,
    now: Instant,
) -> Exchange {
    Exchange {
        purpose: Purpose::Attempt(id, open.next_attempt()),
        class: Some(open.class),
        group: Some(open.group),
        query: UpstreamQuery::Command(Arc::clone(&open.command)),
        started: now,
        deadline: deadline_after(now, timeout),
        write_deadline: deadline_after(now, begin_within.min(timeout)),
    }
}

/// The exchange of a probe. A server that does not answer within `timeout` counts as unresponsive.
pub fn probe(timeout: Duration, now: Instant) -> Exchange {
    Exchange {
        purpose: Purpose::Probe,
        class: None,
        group: None,
        query: UpstreamQuery::Load,
        started: now,
        deadline: deadline_after(now, timeout),
        write_deadline: deadline_after(now, timeout),
    }
}
