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
    /// The query sent to the server.
    pub query: UpstreamQuery,
    /// When the exchange was started.
    pub started: Instant,
    /// Time after which the response is no longer needed.
    pub deadline: Instant,
    /// Time by which the request has to be written in full; otherwise the exchange is dropped as not sent.
    pub write_deadline: Instant,
}

impl Exchange {
    /// Time until which the exchange may be queued for a connection.
    pub(super) fn queue_deadline(&self, dial_timeout: Duration) -> Instant {
        self.deadline
            .min(self.write_deadline)
            .min(self.started + dial_timeout)
    }

    /// Restarts the time limit of a probe, with the same duration. Not for attempts: their write deadline is that of
    /// the request.
    pub(super) fn restart(&mut self, now: Instant) {
        let allowed = self.deadline.saturating_duration_since(self.started);
        self.started = now;
        self.deadline = now + allowed;
        self.write_deadline = now + allowed;
    }

    /// The report of the exchange's completion.
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
