//! Commands of signals and of an embedding program, and what the reload thread has read.

use super::state::Proxy;
use crate::cluster::members::Members;
use crate::cluster::rollout::Rollout;
use crate::config::reload::Reloader;
use crate::config::reload_request::ReloadRequest;
use crate::config::{Config, ConfigError};
use crate::control::ControlCommand;
use crate::observability::counters::Counters;
use crate::persistence::hot_restart::links::HotRestart;
use std::time::Instant;

impl Proxy {
    /// Runs what has come over the command channel. Other threads of the proxy wake the loop through it too: their
    /// results are taken here.
    pub(super) fn on_commands(&mut self, now: Instant) {
        for command in self.commands.take_commands() {
            match command {
                ControlCommand::Stop => self.stop(now),
                ControlCommand::Report => self.report(),
                ControlCommand::Reload => self.request_reload(),
            }
        }
        if let (Some(rollout), Some(members)) = (&mut self.rollout, &mut self.members) {
            let requests = rollout.persist_finished(members, now);
            self.request_reads(requests);
        }
        self.persist(now);
        while let Some((request, loaded)) = self.reloads.as_mut().and_then(Reloader::next_result) {
            self.on_configuration_read(request, loaded, now);
        }
    }

    fn stop(&mut self, now: Instant) {
        if self.drain.is_terminating() {
            return;
        }
        log::info!("told to stop: answering what has come");
        // The drain needs the state of now: it may have changed since the last round.
        self.update_idle(now);
        // Clients from now on are the new process's. To wait for them here would take them from its queue.
        let hot_restart = self.io.hot_restart.as_ref();
        if hot_restart.is_some_and(HotRestart::new_process_accepts) {
            self.io.downstream.start_draining(now, &self.io.reactor);
        }
        if let (Some(rollout), Some(members)) = (&mut self.rollout, &mut self.members) {
            rollout.leave(members, now);
        }
        self.handle_drain_event(::drain::Event::Terminate, now);
    }

    fn request_reload(&mut self) {
        match &mut self.reloads {
            Some(reloads) => reloads.request_reload(),
            None => log::warn!("told to reread the configuration, which has no source here"),
        }
    }

    /// Asks the reload thread for files of a rollout.
    pub(super) fn request_reads(&mut self, requests: Vec<ReloadRequest>) {
        for request in requests {
            match &mut self.reloads {
                Some(reloads) => _ = reloads.request(request),
                None => log::warn!("rollout: the configuration has no source here"),
            }
        }
    }

    fn on_configuration_read(
        &mut self,
        request: ReloadRequest,
        loaded: Result<Config, ConfigError>,
        now: Instant,
    ) {
        match request {
            // A failure is logged; the configuration stays as it was.
            ReloadRequest::CurrentFiles => _ = self.reload(loaded, now),
            ReloadRequest::Check(hash, _) => {
                let checked = loaded
                    .map_err(|error| error.to_string())
                    .and_then(|config| self.check_candidate(&config));
                self.notify_rollout(|rollout, members, counters| {
                    rollout.version_checked(hash, checked, members, counters, now)
                });
            }
            ReloadRequest::Run(hash, _) => {
                let run = self.reload(loaded, now);
                self.notify_rollout(|rollout, members, counters| {
                    rollout.version_run(hash, run, members, counters, now)
                });
            }
        }
    }

    /// Tells the rollout something, if this proxy takes part in rollouts, and reads what it asks for.
    fn notify_rollout(
        &mut self,
        notify: impl FnOnce(&mut Rollout, &mut Members, &Counters) -> Vec<ReloadRequest>,
    ) {
        if let (Some(rollout), Some(members)) = (&mut self.rollout, &mut self.members) {
            let requests = notify(rollout, members, &self.pipeline.counters);
            self.request_reads(requests);
        }
    }

    /// Whether a candidate of a rollout could run here: it must not take this proxy out of the fleet.
    fn check_candidate(&self, config: &Config) -> Result<(), String> {
        let missing = |section: &str| {
            Err(format!(
                "it has no section {section}: include the host's own file"
            ))
        };
        match (&config.members, &config.rollout) {
            (None, _) => missing("members"),
            (_, None) => missing("rollout"),
            _ => platform_settings::map_classes(&self.platform, config.platform.clone())
                .map(|_| ())
                .map_err(|error| format!("settings.{error}")),
        }
    }
}
