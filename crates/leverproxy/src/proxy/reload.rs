//! Reload: applies a new configuration, and keeps requests, connections and the decision module's state.

use super::state::{Proxy, RestartSettings};
use crate::cluster::rollout::Rollout;
use crate::config::{Config, ConfigError};
use crate::observability::logging;
use crate::persistence::saved_state::Persistence;
use crate::pipeline::route_rules::Rules;
use platform_settings::SettingsError;
use std::time::Instant;

impl Proxy {
    /// Applies the configuration that was read. An invalid configuration changes nothing.
    ///
    /// # Errors
    /// The fault of the configuration, as published for a rollout candidate. The fault is logged and counted here.
    pub(super) fn reload(
        &mut self,
        loaded: Result<Config, ConfigError>,
        now: Instant,
    ) -> Result<(), String> {
        let mut config = loaded.map_err(|error| self.reject_configuration(&error))?;
        let started = Instant::now();
        let (members, lending) = (config.members.take(), config.quota_lending.take());
        let (keys, windows) = (
            config.member_keys.take(),
            std::mem::take(&mut config.calendar_windows),
        );
        let discovery = config.discovery;
        let mut deferred = self.list_deferred_settings(&config);
        let former_rules = self.apply_to_requests(config, now)?;
        let routes = self.pipeline.route_rules().rules().actions.len();
        deferred.extend(self.reload_members(members, keys, now));
        deferred.extend(self.reload_lending(lending, windows, now));
        let pause_us = started.elapsed().as_micros() as u64;
        log::info!(pause_us, routes; "the configuration is reread: discovery at {discovery}");
        if let Some(reloads) = &self.reloads {
            reloads.discard(former_rules);
        }
        for key in deferred {
            log::warn!(key; "configuration: {key}: a change of it takes effect at the next start");
        }
        Ok(())
    }

    fn reject_configuration(&mut self, error: &ConfigError) -> String {
        self.pipeline.counters.reloads_failed += 1;
        for fault in &error.faults {
            log::error!("configuration: {fault}");
        }
        log::error!("{error}; the configuration stays as it was");
        error.to_string()
    }

    fn reject_platform_settings(&mut self, error: &SettingsError) -> String {
        self.pipeline.counters.reloads_failed += 1;
        log::error!("configuration: settings.{error}; the configuration stays as it was");
        format!("settings.{error}")
    }

    /// Applies all settings of requests and connections. Returns the previous route rules, which take long to drop.
    fn apply_to_requests(&mut self, config: Config, now: Instant) -> Result<Rules, String> {
        let drain_settings = config.drain_settings();
        let mapping = platform_settings::map_classes(&self.platform, config.platform)
            .map_err(|error| self.reject_platform_settings(&error))?;
        self.pipeline.counters.reloads += 1;
        self.platform = mapping.platform.clone();
        let rules = Rules {
            class_ids: mapping.class_ids.clone(),
            ..config.rules
        };
        let (pipeline, io) = (&mut self.pipeline, &mut self.io);
        for request in pipeline.configure(mapping, config.dial_timeout, now) {
            io.upstream.cancel_unwritten(request, now);
        }
        io.upstream
            .set_timeouts(config.dial_timeout, config.upstream_idle_timeout);
        io.downstream
            .set_balancers(config.check_networks, config.proxy_protocol_networks);
        (self.limits, self.client_limits) = (config.limits, config.client_limits);
        self.share_limits();
        self.drain.configure(drain_settings);
        logging::configure(&config.logging);
        let (pipeline, io) = (&mut self.pipeline, &mut self.io);
        let former_rules = pipeline.replace_route_rules(rules);
        pipeline.set_discovery_address(config.discovery, io, now);
        let pushed = !self.platform.settings.endpoints_are_polled;
        pipeline.set_endpoint_push(pushed, io, now);
        Ok(former_rules)
    }

    /// Keys of changed settings that take effect only at the next start.
    fn list_deferred_settings(&self, config: &Config) -> Vec<&'static str> {
        let (new, running) = (RestartSettings::new(config), &self.restart_settings);
        let rollout = self.rollout.as_ref().map(Rollout::settings);
        let saved_state = self.saved_state.as_ref().map(Persistence::settings);
        [
            ("listen", new.listen != running.listen),
            ("admin", new.admin != running.admin),
            ("name", new.name != running.name),
            ("rollout", config.rollout.as_ref() != rollout),
            ("memory", config.persistence.as_ref() != saved_state),
            ("sites", new.sites != running.sites),
            (
                "discovery watch-silence",
                new.watch_silence != running.watch_silence,
            ),
        ]
        .into_iter()
        .filter_map(|(key, differs)| differs.then_some(key))
        .collect()
    }
}
