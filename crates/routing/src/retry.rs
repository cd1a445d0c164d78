//! Which attempts are allowed. Every send passes [`Router::check_attempt`].
//!
//! - **Inputs**: the rule for repetitions (`repetition`), attempts that may have taken effect (ended in an error, a reset, a time-out
//!   or a cancellation, or still in flight), and limits on the number of attempts.
//! - **Rules**: a non-idempotent request that may have run is never repeated. A keyed request is repeated only inside
//!   its deduplication window, counted from the earliest attempt that may have run, and only on servers that recognise
//!   the repetition. The window is shortened by `DEDUPLICATION_MARGIN`: a repetition that arrives after its end would
//!   take effect twice.

#[cfg(test)]
mod tests;

use crate::interface::*;
use crate::state::{InFlight, PossibleEffect, Request, Router, Server};
use crate::tuning::DEDUPLICATION_MARGIN;
use std::time::Duration;

/// Reason why an attempt is not allowed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptRejection {
    /// This server must not get this request.
    Forbidden,
    /// The server's data is too old at present.
    Stale,
}

impl Router {
    /// Whether the server may get this request now.
    pub(crate) fn check_attempt(
        &self,
        request: &Request,
        id: ServerId,
    ) -> Result<(), AttemptRejection> {
        let Some(server) = self
            .servers
            .get(&id)
            .filter(|server| server.group == request.arrival.group)
        else {
            return Err(AttemptRejection::Forbidden);
        };
        let is_excluded = server.is_draining() || self.now >= request.deadline;
        if is_excluded || !self.may_attempt_again(request) || !self.may_repeat_at(request, server) {
            return Err(AttemptRejection::Forbidden);
        }
        let is_primary = self.primary(server.group) == Some(id);
        let warms_up = server.is_warming_up(&self.settings, self.now);
        if warms_up && !self.slow_start_allows(request, id, server, is_primary) {
            return Err(AttemptRejection::Forbidden);
        }
        if !is_primary && !self.is_fresh_enough(request, server) {
            return Err(AttemptRejection::Stale);
        }
        Ok(())
    }

    /// Whether the attempt limits, and the hedging rule if an attempt is in flight, allow a further attempt.
    fn may_attempt_again(&self, request: &Request) -> bool {
        let limits = [
            self.settings.attempt_limit,
            request.arrival.attempt_limit.unwrap_or(0),
        ];
        let is_exhausted = limits
            .into_iter()
            .any(|limit| limit > 0 && request.attempts >= limit);
        !is_exhausted && (request.in_flight.is_empty() || self.settings.may_hedge)
    }

    /// Whether the request cannot take effect twice if it is sent to this server.
    fn may_repeat_at(&self, request: &Request, server: &Server) -> bool {
        let Some(earliest) = self.earliest_effect(request) else {
            return true;
        };
        match self.repetition_rule(request) {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let same_zone = self
                    .servers
                    .get(&earliest.server)
                    .is_some_and(|first| first.zone == server.zone);
                self.now < window_end(earliest.sent, window)
                    && (scope != DeduplicationScope::Zone || same_zone)
            }
        }
    }

    /// The earliest attempt that may have taken effect or, while in flight, may still do so.
    fn earliest_effect(&self, request: &Request) -> Option<PossibleEffect> {
        let in_flight = request.in_flight.first().and_then(|&(attempt, server)| {
            let in_flight = &self.servers.get(&server)?.in_flight;
            let attempt = in_flight.get(&(request.arrival.id, attempt))?;
            Some(PossibleEffect {
                sent: attempt.sent,
                server,
            })
        });
        request.possible_effect.into_iter().chain(in_flight).min()
    }

    /// The latest instant at which an attempt chosen now may be sent, since its connection may have to be dialed first.
    /// A keyed repetition that arrives after its window is not recognised as one, and a read must not find data that
    /// has become too old meanwhile.
    fn latest_begin(&self, request: &Request, to: ServerId) -> Time {
        let repeatable_until = match self.earliest_effect(request) {
            Some(earliest) => self.repeatable_until(request, earliest),
            None => Time::MAX,
        };
        request
            .deadline
            .min(repeatable_until)
            .min(self.fresh_until(request, to))
    }

    fn repeatable_until(&self, request: &Request, earliest: PossibleEffect) -> Time {
        match self.repetition_rule(request) {
            Idempotency::Keyed { window, .. } => window_end(earliest.sent, window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => Time::MAX,
        }
    }

    /// Sends an attempt if it is allowed.
    pub(crate) fn send_attempt(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.check_attempt(request, to).is_err() {
            return;
        }
        let begin_within = self.latest_begin(request, to).since(self.now);
        let timeout = request.deadline.since(self.now);
        self.spend_slow_start_budget(id, to);
        self.record_attempt(id, to);
        actions.push(Action::Send {
            id,
            server: to,
            timeout,
            begin_within,
        });
    }

    fn record_attempt(&mut self, id: RequestId, to: ServerId) {
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to))
        else {
            return;
        };
        let attempt = AttemptNumber(request.attempts);
        request.attempts += 1;
        request.in_flight.push((attempt, to));
        request.attempted_servers.push(to);
        request.is_queued = false;
        self.queue
            .remove(&(request.arrival.group, request.arrived, id));
        let in_flight = InFlight {
            class: request.arrival.class,
            sent: self.now,
            overtaken_by: 0,
        };
        server.in_flight.insert((id, attempt), in_flight);
    }

    /// Handles the end of an attempt of a request that still needs an answer: the request is dispatched again.
    pub(crate) fn end_attempt(
        &mut self,
        ended: &AttemptEnded,
        sent: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&ended.id) else {
            return;
        };
        request
            .in_flight
            .retain(|&(number, _)| number != ended.attempt);
        if may_have_run(ended.outcome) {
            let earlier = request.possible_effect.filter(|effect| effect.sent <= sent);
            request.possible_effect = earlier.or(Some(PossibleEffect {
                sent,
                server: ended.server,
            }));
        }
        request.avoided_servers.push(ended.server);
        if request.in_flight.is_empty() {
            self.dispatch(ended.id, actions);
        }
    }
}

/// Whether an attempt with this outcome may have taken effect.
fn may_have_run(outcome: Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Misdirected
    )
}

/// Until when a keyed request may be repeated if an attempt that may have run was sent at `sent`.
fn window_end(sent: Time, window: Duration) -> Time {
    sent.plus(window.saturating_sub(DEDUPLICATION_MARGIN))
}
