//! Log positions: the position that a read must see, and when a replica has reached it.
//!
//! A position is an instant on the servers' clock: all commits up to it are applied. **Inputs**: positions reported by
//! probes and answers, rejected reads, and commits of sessions' writes.
//!
//! **Catch-up.** A replica is predicted to apply one second of log per second. The time since its last report counts as
//! caught up, and a replica that never reported counts as fully caught up, so that it is tried or probed. Where
//! replicas check staleness, a wrong prediction ends in a rejection, which executes nothing and corrects the
//! prediction. Elsewhere the replica is probed first, since only a reported position permits a send. This guards
//! against reports that are older than the bound, and against all reads crowding the primaries where a router knows few
//! positions (at start, with little traffic). It costs most where rejections or probes are expensive.
//!
//! **Sessions.** The commit position of a session's last write is carried by its requests or stored here.

#[cfg(test)]
mod tests;

use crate::interface::*;
use crate::state::{Request, Router, Server, StaleRejection};
use crate::tuning::{MAX_SESSION_WRITES, MIN_SPAN};
use std::time::Duration;

impl Server {
    /// Records a position that the server reported; positions never decrease.
    pub(crate) fn report_position(&mut self, position: Time, now: Time) {
        self.position = self.position.max(Some(position));
        self.position_reported = now;
        self.stale_rejection = None;
    }
}

impl Router {
    /// The log position that the request must see if it is sent now; none if any position will do.
    pub(crate) fn needed_position(&self, request: &Request) -> Option<Time> {
        match self.class(request.arrival.class).consistency {
            Consistency::Write | Consistency::Eventual => None,
            Consistency::Strong => Some(request.arrived),
            Consistency::ReadYourWrites => {
                Some(request.session_position).filter(|&position| position > Time::ZERO)
            }
            Consistency::BoundedStaleness(bound) => Some(self.now.minus(bound)),
        }
    }

    /// Predicted wait until the server has reached the position that the request requires.
    pub(crate) fn catch_up_wait(&self, request: &Request, server: &Server) -> Duration {
        let Some(needed) = self.needed_position(request) else {
            return Duration::ZERO;
        };
        let gap = |position, known_at, age: Duration| {
            remaining_gap(needed, position, self.now.since(known_at) + age)
        };
        let rejection = server.stale_rejection.filter(|rejection| {
            server
                .position
                .is_none_or(|position| position < rejection.needed)
        });
        let by_rejection = rejection.map_or(Duration::ZERO, |rejection| {
            gap(rejection.needed, rejection.at, Duration::ZERO).max(MIN_SPAN)
        });
        let by_report = server.position.map_or(Duration::ZERO, |position| {
            gap(position, server.position_reported, self.report_age)
        });
        by_report.max(by_rejection)
    }

    /// Whether a replica may get the request: it has reported the position, or it checks staleness itself and is
    /// predicted to have caught up.
    pub(crate) fn is_fresh_enough(&self, request: &Request, server: &Server) -> bool {
        let Some(needed) = self.needed_position(request) else {
            return true;
        };
        let has_position = server.position.is_some_and(|position| position >= needed);
        has_position
            || match self.settings.staleness_check {
                StalenessCheck::None => false,
                StalenessCheck::Reject => self.catch_up_wait(request, server).is_zero(),
                StalenessCheck::Wait(span) => self.catch_up_wait(request, server) <= span,
            }
    }

    /// Until when a replica that does not check staleness may get this read, according to its reported position.
    pub(crate) fn fresh_until(&self, request: &Request, id: ServerId) -> Time {
        let server = &self.servers[&id];
        let is_primary = self.primary(server.group) == Some(id);
        let consistency = self.class(request.arrival.class).consistency;
        match (consistency, self.settings.staleness_check, server.position) {
            (Consistency::BoundedStaleness(bound), StalenessCheck::None, Some(position))
                if !is_primary =>
            {
                position.plus(bound)
            }
            _ => Time::MAX,
        }
    }

    /// Records that the server rejected the request because its data was too old, which corrects the prediction.
    pub(crate) fn record_stale_rejection(&mut self, id: RequestId, server: ServerId) {
        let needed = self
            .requests
            .get(&id)
            .and_then(|request| self.needed_position(request));
        if let (Some(needed), Some(server)) = (needed, self.servers.get_mut(&server)) {
            server.stale_rejection = Some(StaleRejection {
                needed,
                at: self.now,
            });
        }
    }

    /// Position that a read of the request's session must see; zero if its session has not written anything.
    pub(crate) fn session_position(&self, arrival: &Arrival) -> Time {
        match (arrival.session_position, arrival.session) {
            (Some(SessionPosition::Ago(ago)), _) => self.now.minus(ago),
            (Some(SessionPosition::At(position)), _) => position,
            (None, Some(session)) if !self.settings.clients_carry_session_position => self
                .session_writes
                .get(&session)
                .copied()
                .unwrap_or(self.dropped_writes),
            _ => Time::ZERO,
        }
    }

    /// Records a successful write of the request's session. Its commit position is stored unless clients carry it.
    pub(crate) fn record_session_write(&mut self, id: RequestId, commit: Option<Time>) {
        let session = self
            .requests
            .get(&id)
            .and_then(|request| request.arrival.session);
        let stores_here = !self.settings.clients_carry_session_position;
        if let Some(session) = session.filter(|_| stores_here) {
            self.store_session_write(session, commit.unwrap_or(self.now));
        }
    }

    /// Drops the writes that all servers have by now, and the older half at least: dropping few at a time would take long
    /// for each write.
    fn drop_session_writes(&mut self) {
        let applied = self.now.minus(self.settings.warm_up_duration);
        let oldest_kept = median(self.session_writes.values().copied());
        self.dropped_writes = applied.max(oldest_kept).max(self.dropped_writes);
        self.session_writes
            .retain(|_, commit| *commit > self.dropped_writes);
    }

    fn store_session_write(&mut self, session: SessionKey, commit: Time) {
        if self.session_writes.len() >= MAX_SESSION_WRITES {
            self.drop_session_writes();
        }
        self.session_writes
            .entry(session)
            .and_modify(|known| *known = commit.max(*known))
            .or_insert(commit);
    }
}

/// The middle one of these positions.
fn median(positions: impl Iterator<Item = Time>) -> Time {
    let mut positions: Vec<Time> = positions.collect();
    let middle = positions.len() / 2;
    match positions.get(middle) {
        Some(_) => *positions.select_nth_unstable(middle).1,
        None => Time::ZERO,
    }
}

/// Span of log that a server still has to apply, at one second of log per second, if it had `position` this long ago.
fn remaining_gap(needed: Time, position: Time, elapsed: Duration) -> Duration {
    needed.since(position).saturating_sub(elapsed)
}
