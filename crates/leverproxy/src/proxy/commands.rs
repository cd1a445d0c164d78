//! Commands from signals and from an embedding program, and configurations read by the reload thread.

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
    /// Runs the commands received over the command channel. Other threads of the proxy also wake the event loop through
    /// the channel: their results are handled here.
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
        log::info!("told to stop: answering the requests that have arrived");
        // The drain needs the current idle state, which may have changed since the last round of the event loop.
        self.update_idle(now);
        // The new process serves clients from now on. Accepting here would take connections from its queue.
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
            None => log::warn!("can't reload the configuration: it has no source"),
        }
    }

    /// Requests the files of a rollout from the reload thread.
    pub(super) fn request_reads(&mut self, requests: Vec<ReloadRequest>) {
        for request in requests {
            match &mut self.reloads {
                Some(reloads) => _ = reloads.request(request),
                None => log::warn!("rollout: can't read versions: no configuration source"),
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
            // `reload` logs a failure, and the current configuration is kept.
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

    /// Calls `notify` on the rollout, if this proxy takes part in rollouts, and reads the files that the rollout requests.
    fn notify_rollout(
        &mut self,
        notify: impl FnOnce(&mut Rollout, &mut Members, &Counters) -> Vec<ReloadRequest>,
    ) {
        if let (Some(rollout), Some(members)) = (&mut self.rollout, &mut self.members) {
            let requests = notify(rollout, members, &self.pipeline.counters);
            self.request_reads(requests);
        }
    }

    /// Checks whether a rollout candidate could run here: it must not remove this proxy from the fleet.
    fn check_candidate(&self, config: &Config) -> Result<(), String> {
        let missing = |section: &str| {
            Err(format!(
                "the candidate has no section {section}: include the host's own file in it"
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
