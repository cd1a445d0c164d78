//! Runs operators' commands from the control socket, and sends the replies.

use super::state::Proxy;
use crate::cluster::rollout::RolloutCommand;
use crate::control::control_socket::OperatorCommand;
use crate::event_loop::slab::Key;
use ::drain::{Event, Phase};
use std::time::Instant;

impl Proxy {
    pub(super) fn on_operator_command(&mut self, key: Key, command: OperatorCommand, now: Instant) {
        let reply = match command {
            OperatorCommand::Rollout(command) => self.run_rollout_command(command, now),
            OperatorCommand::Sites(site) => self.pipeline.site_report(site.as_deref(), now),
            OperatorCommand::Drain => self.run_drain_command(&command, Event::Drain, now),
            OperatorCommand::Undrain => self.run_drain_command(&command, Event::Undrain, now),
            OperatorCommand::Status => self.status_report(now),
        };
        if let Some(control_socket) = &mut self.io.control_socket {
            control_socket.answer(key, &reply);
        }
    }

    fn run_rollout_command(&mut self, command: RolloutCommand, now: Instant) -> String {
        let (Some(rollout), Some(members)) = (&mut self.rollout, &mut self.members) else {
            return "error: the operators' file has no section rollout\n".to_owned();
        };
        let (reply, requests) = rollout.command(command, members, &self.pipeline.counters, now);
        self.request_reads(requests);
        reply
    }

    fn run_drain_command(
        &mut self,
        command: &OperatorCommand,
        event: Event,
        now: Instant,
    ) -> String {
        log::info!(command:? = command; "operator command received");
        self.handle_drain_event(event, now);
        self.status_report(now)
    }

    fn status_report(&self, now: Instant) -> String {
        let phase = self.describe_phase(now);
        let monitor = self.pipeline.monitor.lines();
        let sites = self.pipeline.monitor.site_lines(now);
        let members = self
            .members
            .as_ref()
            .map(|members| members.status_text(now));
        let members = members.unwrap_or_default();
        let lending = self.pipeline.quota.lending.as_ref();
        let lending = lending
            .map(|lending| lending.status_text(now))
            .unwrap_or_default();
        format!("phase {phase}\n{monitor}{sites}{members}{lending}")
    }

    fn describe_phase(&self, now: Instant) -> String {
        match self.drain.phase() {
            Phase::Serving => "serving".to_owned(),
            Phase::Announced { until, .. } => {
                let end = self.started_at + until;
                let left = end.saturating_duration_since(now).as_millis();
                format!("announced, listening for {left} ms more")
            }
            Phase::Drained => "drained".to_owned(),
            Phase::StillAccepting { .. } | Phase::Closing | Phase::Finished => "ending".to_owned(),
        }
    }
}
