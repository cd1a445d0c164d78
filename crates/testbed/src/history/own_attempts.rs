//! Attempts of clients outside of the model: they hold connections through a restart, leave or cancel.

use super::state::OpenAttempt;
use super::{History, State};
use invariant_checkers::Rule;
use server_model::clients::{ClientAttempt, ClientAttemptId};
use server_model::Micros;
use std::time::Duration;

/// First id of their attempts and requests.
const FIRST_ID: ClientAttemptId = 1 << 40;
/// Time after a client's departure from which its attempt must not be sent to a server, in microseconds.
const LEAVE_GRACE: Micros = 100_000;

/// How a client leaves during a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The client closes its connection.
    Closed,
    /// The client cancels the request.
    Cancelled,
}

/// An attempt that reached a record server after its client had left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAfterLeave {
    /// The attempt.
    pub id: ClientAttemptId,
    /// The proxy that sent it.
    pub proxy: usize,
    /// How its client had left.
    pub departure: Departure,
    /// Time since the departure, in microseconds.
    pub late: Micros,
}

impl History {
    /// Creates an attempt that a client sends to a proxy. Returns the attempt and the time at which the client gives up.
    pub fn own_attempt(
        &self,
        class: usize,
        proxy: usize,
        group: u32,
        wait: Duration,
    ) -> (ClientAttempt, Micros) {
        self.with(|state, now| {
            state.own_attempts += 1;
            let id = FIRST_ID + state.own_attempts;
            let asked = ClientAttempt {
                id,
                request: id,
                class,
                tenant: 0,
                group,
                session: id,
                proxy,
                timeout: wait.as_micros() as Micros,
                last_write: 0,
                is_retry: false,
                within_quota: true,
            };
            state.open.insert(
                id,
                OpenAttempt {
                    asked,
                    cancel: None,
                },
            );
            state.attempts_by_id.insert(id, asked);
            (asked, now + asked.timeout)
        })
    }

    /// Sets the lateness that a busy machine may add to timed actions.
    pub fn set_allowed_lateness(&self, lateness: Duration) {
        self.with(|state, _| state.allowed_lateness = lateness.as_micros() as Micros);
    }

    /// Records that the client has closed its connection or cancelled the attempt, which then needs no answer.
    pub fn client_left(&self, id: ClientAttemptId, departure: Departure) {
        self.with(|state, now| {
            if state.open.remove(&id).is_some() {
                state.checker.client_leaves(id);
                state.left.insert(id, (departure, now));
            }
        });
    }

    /// Records that the proxy has closed the connection without an answer. If it forwards the attempt, before or later, the attempt counts as lost.
    pub fn closed_unanswered(&self, id: ClientAttemptId) {
        self.with(|state, now| {
            let asked = state.open.get(&id).map(|open| open.asked);
            // A killed process need not answer.
            if asked.is_some_and(|asked| !state.down.contains(&asked.proxy)) {
                state.closed_unanswered.push((id, now));
            }
            state.connection_lost(id, false, now);
        });
    }

    /// Records that a second process of this proxy is being killed: attempts lost from now on may have been held by it.
    pub fn second_process_dies(&self, proxy: usize) {
        self.with(|state, _| {
            state.second_process = Some(SecondProcess {
                proxy,
                lost: Vec::new(),
            });
        });
    }

    /// Records that the second process has ended. If it had not served, the attempts lost meanwhile were lost by the other process.
    pub fn second_process_died(&self, had_served: bool) {
        self.with(|state, _| {
            let lost = state.second_process.take().map(|second| second.lost);
            for (id, at) in lost.into_iter().flatten().filter(|_| !had_served) {
                state.checker.found(Rule::Lost, id, at);
            }
        });
    }

    /// Attempts that reached a record server too late after their client had left.
    pub fn sent_after_leave(&self) -> Vec<SentAfterLeave> {
        self.lock().sent_after_leave.clone()
    }

    /// Whether a proxy was killed and does not serve again yet.
    pub fn is_down(&self, proxy: usize) -> bool {
        self.lock().down.contains(&proxy)
    }

    /// Started attempts at this proxy that still need an answer.
    pub fn owed(&self, proxy: usize) -> Vec<ClientAttemptId> {
        self.lock().checker.owed(proxy)
    }

    /// Reports as lost the attempts that a proxy forwarded and then left unanswered by closing the client's connection.
    pub fn check_closed_unanswered(&self) {
        self.with(|state, _| {
            for (id, at) in std::mem::take(&mut state.closed_unanswered) {
                if state.server_attempts.contains_key(&id) {
                    state.checker.found(Rule::Lost, id, at);
                }
            }
        });
    }
}

/// A second process of a proxy while it is being killed.
pub(super) struct SecondProcess {
    proxy: usize,
    /// Attempts lost meanwhile, with the time.
    lost: Vec<(ClientAttemptId, Micros)>,
}

impl State {
    /// Reports an attempt that a running proxy accepted and left unanswered by closing the connection.
    pub(super) fn lost(&mut self, asked: &ClientAttempt, now: Micros) {
        match &mut self.second_process {
            Some(second) if second.proxy == asked.proxy => second.lost.push((asked.id, now)),
            _ => self.checker.found(Rule::Lost, asked.id, now),
        }
    }

    pub(super) fn check_client_is_there(&mut self, id: ClientAttemptId, now: Micros) {
        let Some((departure, left)) = self.left.get(&id).copied() else {
            return;
        };
        let late = now.saturating_sub(left);
        if late > LEAVE_GRACE + self.allowed_lateness {
            let proxy = self.attempts_by_id.get(&id).map_or(0, |asked| asked.proxy);
            self.sent_after_leave.push(SentAfterLeave {
                id,
                proxy,
                departure,
                late,
            });
        }
    }
}
