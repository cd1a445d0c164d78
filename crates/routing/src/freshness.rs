//! Log positions: what a read must see, and when a replica has it.
//!
//! A position is an instant on the servers' clock: all commits up to it are applied. **Inputs**: positions reported by
//! probes and answers, rejected reads, and commits of sessions' writes.
//!
//! **Catch-up.** The wait until a replica has the position that a read needs is predicted at one second of log per
//! second. The time since its position was reported counts as caught up, and a replica that never reported counts as
//! caught up in full: so one is tried or probed. Where replicas check staleness, a wrong guess ends in a
//! rejection, runs nothing and takes the guess back; elsewhere the replica is probed first, since only a reported
//! position permits a send. Guards against reports older than the bound, and against all reads crowding the primaries
//! where a router knows few positions (at start, with little traffic). Costs most where rejections or probes are dear.
//!
//! **Sessions.** The commit of a session's last write comes with its requests or is remembered here.

#[cfg(test)]
mod tests;

use crate::interface::*;
use crate::state::{Request, Router, Server, StaleRejection};
use crate::tuning::{MAX_SESSION_WRITES, MIN_SPAN};
use std::time::Duration;

impl Server {
    /// Takes a position that it reported; positions never go back.
    pub(crate) fn report_position(&mut self, position: Time, now: Time) {
        self.position = self.position.max(Some(position));
        self.position_reported = now;
        self.stale_rejection = None;
    }
}

impl Router {
    /// The log position that the request must see if sent now; none: any will do.
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

    /// The predicted wait until the server has the position that the request needs.
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

    /// Whether a replica may be sent the request: it reported the position, or it checks by itself and the guess is
    /// good.
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

    /// Until when a replica that does not check staleness may be sent this read, by the position that it reported.
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

    /// The server rejected the request as too far behind: the guess that it had caught up is taken back.
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

    /// Position that a read of the request's session must see; zero if its session has written nothing.
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

    /// A write of the request's session succeeded. Its commit is remembered unless clients carry it.
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

    fn store_session_write(&mut self, session: SessionKey, commit: Time) {
        if self.session_writes.len() >= MAX_SESSION_WRITES {
            self.dropped_writes = self.now.minus(self.settings.warm_up_duration);
            self.session_writes
                .retain(|_, commit| *commit > self.dropped_writes);
        }
        self.session_writes
            .entry(session)
            .and_modify(|known| *known = commit.max(*known))
            .or_insert(commit);
    }
}

/// Log that a server still has to apply, at one second of log per second, if it had `position` this long ago.
fn remaining_gap(needed: Time, position: Time, elapsed: Duration) -> Duration {
    needed.since(position).saturating_sub(elapsed)
}
