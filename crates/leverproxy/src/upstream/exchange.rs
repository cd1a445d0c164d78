//! One request to a record server and its response.

use crate::request::{CompletedExchange, ExchangeOutcome, Purpose, UpstreamQuery};
use routing::{ClassId, GroupId, ResponseMetadata, ServerId};
use std::time::{Duration, Instant};

/// One request and its response.
#[derive(Debug)]
pub struct Exchange {
    /// An attempt of a request, or a probe.
    pub purpose: Purpose,
    /// The request's class; a probe has none.
    pub class: Option<ClassId>,
    /// The request's group; a probe has none.
    pub group: Option<GroupId>,
    /// What the server is asked.
    pub query: UpstreamQuery,
    /// When the exchange was started.
    pub started: Instant,
    /// Nobody waits for the response after this.
    pub deadline: Instant,
    /// It is dropped unsent unless it is written in full by then.
    pub write_deadline: Instant,
}

impl Exchange {
    /// The latest time that it is queued for a connection.
    pub(super) fn queue_deadline(&self, dial_timeout: Duration) -> Instant {
        self.deadline
            .min(self.write_deadline)
            .min(self.started + dial_timeout)
    }

    /// Starts the time of a probe anew, with the same length. Not for attempts: their write deadline is the request's.
    pub(super) fn restart(&mut self, now: Instant) {
        let allowed = self.deadline.saturating_duration_since(self.started);
        self.started = now;
        self.deadline = now + allowed;
        self.write_deadline = now + allowed;
    }

    /// The report of its end.
    pub(super) fn completed(
        self,
        server: ServerId,
        outcome: ExchangeOutcome,
        metadata: ResponseMetadata,
        now: Instant,
    ) -> CompletedExchange {
        CompletedExchange {
            purpose: self.purpose,
            class: self.class,
            group: self.group,
            server,
            outcome,
            elapsed: now.saturating_duration_since(self.started),
            metadata,
        }
    }
}
