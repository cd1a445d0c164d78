//! Calls on the admin address: readiness, metrics, and manual exclusion of record servers.

use super::state::Proxy;
use crate::event_loop::slab::Key;
use crate::persistence::hot_restart::links::PeerMessage;
use crate::request::truncate_for_display;
use maintenance::UnknownServer;
use std::time::Instant;
use wire_admin::{Answer, Call, Status};

/// Result of a call.
enum CallResult {
    Answer(Answer),
    /// State has changed. The answer is sent once the change is on disk.
    Changed(&'static str),
}

impl CallResult {
    fn into_answer(self) -> Answer {
        match self {
            CallResult::Answer(answer) => answer,
            CallResult::Changed(text) => Answer::line(Status::Ok, text),
        }
    }
}

impl Proxy {
    pub(super) fn on_admin_call(&mut self, key: Key, call: Call, now: Instant) {
        match (self.run_admin_call(call, now), &mut self.saved_state) {
            (CallResult::Changed(text), Some(saved_state)) => {
                saved_state.confirm_when_saved(key, text, now);
                self.persist(now);
            }
            (result, _) => {
                if let Some(admin) = &mut self.io.admin {
                    admin.answer(key, &result.into_answer(), &self.io.reactor);
                }
            }
        }
    }

    fn run_admin_call(&mut self, call: Call, now: Instant) -> CallResult {
        match call {
            Call::Ready => CallResult::Answer(self.readiness()),
            Call::Telemetry => CallResult::Answer(self.metrics(now)),
            Call::Exclude(name) => self.set_manual_exclusion(name, true, now),
            Call::Include(name) => self.set_manual_exclusion(name, false, now),
        }
    }

    fn readiness(&self) -> Answer {
        if self.drain.is_terminating() {
            Answer::line(Status::Unavailable, "ending: told to stop")
        } else if self.awaits_discovery && self.pipeline.counters.lists == 0 {
            Answer::line(
                Status::Unavailable,
                "starting: discovery has not spoken yet",
            )
        } else {
            Answer::line(Status::Ok, "ready")
        }
    }

    fn set_manual_exclusion(&mut self, name: String, excluded: bool, now: Instant) -> CallResult {
        let result = self
            .pipeline
            .set_manual_exclusion(&name, excluded, &mut self.io, now);
        if let Err(UnknownServer) = result {
            let text = "no record server of that name";
            return CallResult::Answer(Answer::line(Status::NotFound, text));
        }
        let (text, message) = if excluded {
            ("out", PeerMessage::Excluded(name.clone()))
        } else {
            ("in", PeerMessage::Included(name.clone()))
        };
        if let Some(hot_restart) = &mut self.io.hot_restart {
            hot_restart.send(&message, None, &self.io.reactor);
        }
        let name = truncate_for_display(&name);
        log::info!("admin: an operator has set {name} to {text}");
        CallResult::Changed(text)
    }
}
