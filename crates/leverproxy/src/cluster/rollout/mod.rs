//! Rollouts of versions of the operators' file: `members` delivers facts published by other proxies, the `rollout` core
//! decides which version runs, and a reload applies it.

mod command;
mod error;
mod metrics;
mod observation;
mod persistence;
mod phase_names;
mod status_text;
mod stored_state;
mod version;

use crate::cluster::members::Members;
use crate::config::reload_request::ReloadRequest;
use crate::observability::counters::Counters;
use crate::persistence::background_writer::BackgroundWriter;
use ::rollout::{Action, Config, Core, Event, EvidenceLimits, Phase, Verdict, VersionHash};
pub use command::RolloutCommand;
use configuration::model::Rollout as RolloutSettings;
use error::log_error;
pub use error::RolloutError;
use phase_names::phase_text;
use status_text::{evidence_text, stage_evidence_text};
use std::collections::{BTreeSet, VecDeque};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};
use stored_state::{load, state_path};
use version::hash_of_file;
pub use version::{find_candidate, hex, resolve_version};

/// First fact kind of rollouts; the core's kinds are added to it.
const FIRST_FACT_KIND: u8 = 20;
/// TTL of facts, in periods.
const TTL_PERIODS: u32 = 10;
/// Minimum TTL of facts.
const MIN_TTL: Duration = Duration::from_secs(5);

/// Participation of this proxy in rollouts.
pub struct Rollout {
    settings: RolloutSettings,
    core: Core,
    name: String,
    /// Version of the operators' file at the start of the process.
    base_version: VersionHash,
    origin: Instant,
    rejected_command: Option<String>,
    /// Phase and verdict that were last logged.
    logged_verdict: Option<(Phase, Verdict)>,
    failed_versions: u64,
    /// A state file exists but could not be read.
    state_unreadable: bool,
    /// Writes the state file; started with the first write.
    writer: Option<BackgroundWriter>,
    waker: UnixStream,
    /// A new process of this name serves and owns the state file.
    handed_over: bool,
}

impl Rollout {
    /// `incarnation` is that of the membership, `took_over` is set if this process took over in a hot restart, and
    /// `operators` is the current operators' file.
    pub fn new(
        settings: RolloutSettings,
        name: &str,
        operators: Option<&Path>,
        (incarnation, took_over): (u64, bool),
        waker: UnixStream,
        now: Instant,
    ) -> Rollout {
        let base_version = operators
            .and_then(|path| hash_of_file(path).ok())
            .unwrap_or_default();
        let loaded = settings.state.as_deref().map_or(Ok(None), load);
        let state_unreadable = loaded.is_err();
        let persisted = loaded.unwrap_or_else(|error| {
            log_error(&error);
            None
        });
        let evidence_limits = EvidenceLimits {
            min_harm: settings.least_harm,
            error_probability: settings.error,
            soak_time: settings.soak,
            min_window_demand: settings.window_least,
            min_stage_demand: settings.stage_least,
            max_age: settings.period * TTL_PERIODS,
        };
        let message_ttl = (settings.period * TTL_PERIODS).max(MIN_TTL);
        let config = Config {
            name: name.to_owned(),
            incarnation,
            took_over,
            base_version,
            evidence_limits,
            unreachable_timeout: settings.dark,
            message_ttl,
            persisted,
        };
        Rollout {
            core: Core::new(config, Duration::ZERO),
            name: name.to_owned(),
            base_version,
            origin: now,
            rejected_command: None,
            logged_verdict: None,
            failed_versions: 0,
            state_unreadable,
            writer: None,
            waker,
            handed_over: false,
            settings,
        }
    }

    /// The settings that this proxy started with.
    pub fn settings(&self) -> &RolloutSettings {
        &self.settings
    }

    /// Interval at which `observe` has to be called.
    pub fn period(&self) -> Duration {
        self.settings.period
    }

    /// Passes the state of the fleet to the core. Returns requests to check or run versions.
    pub fn observe(
        &mut self,
        members: &mut Members,
        counters: &Counters,
        now: Instant,
    ) -> Vec<ReloadRequest> {
        let event = Event::Observe(self.observation(members, counters, now));
        self.handle(event, members, now)
    }

    /// Notifies the core that this process is stopping.
    pub fn leave(&mut self, members: &mut Members, now: Instant) {
        // Returned requests can't be executed any more.
        _ = self.handle(Event::Leave, members, now);
    }

    /// Sets whether a new process serves after a hot restart: only one process of a name writes the state file.
    pub fn set_handed_over(&mut self, handed_over: bool) {
        self.handed_over = handed_over;
    }

    /// Handles the result of running a version.
    pub fn version_run(
        &mut self,
        hash: VersionHash,
        result: Result<(), String>,
        members: &mut Members,
        counters: &Counters,
        now: Instant,
    ) -> Vec<ReloadRequest> {
        if result.is_err() {
            return self.version_checked(hash, result, members, counters, now);
        }
        let mut requests = self.observe(members, counters, now);
        requests.extend(self.handle(Event::VersionApplied(hash), members, now));
        requests
    }

    /// Handles the result of reading a version.
    pub fn version_checked(
        &mut self,
        hash: VersionHash,
        result: Result<(), String>,
        members: &mut Members,
        counters: &Counters,
        now: Instant,
    ) -> Vec<ReloadRequest> {
        if let Err(reason) = &result {
            self.failed_versions += 1;
            log::error!("rollout: {} can't run here: {reason}", hex(&hash));
        }
        let mut requests = self.handle(Event::VersionChecked(hash, result), members, now);
        requests.extend(self.observe(members, counters, now));
        requests
    }

    /// Runs an operator's command; returns its reply, and requests to check or run versions.
    pub fn command(
        &mut self,
        command: RolloutCommand,
        members: &mut Members,
        counters: &Counters,
        now: Instant,
    ) -> (String, Vec<ReloadRequest>) {
        let mut requests = self.observe(members, counters, now);
        let event = match command {
            RolloutCommand::Propose(hash) => Some(self.proposal(hash, false, members)),
            RolloutCommand::Resume(hash) => Some(self.proposal(hash, true, members)),
            RolloutCommand::Halt => Some(Event::Halt),
            RolloutCommand::Return => Some(Event::Rollback),
            RolloutCommand::Status => None,
        };
        if let Some(event) = event {
            log::info!(command:? = command; "rollout: operator command received");
            requests.extend(self.handle(event, members, now));
        }
        match self.rejected_command.take() {
            Some(reason) => (format!("error: {reason}\n"), requests),
            None => (self.status_text(), requests),
        }
    }

    /// A proposal of the version. Without an order in the settings, the regions are ordered by name.
    fn proposal(&self, hash: VersionHash, resume: bool, members: &Members) -> Event {
        let mut order = self.settings.order.clone();
        if order.is_empty() {
            let regions: BTreeSet<String> = members
                .regions()
                .into_iter()
                .map(|(_, region)| region)
                .collect();
            order = regions.into_iter().collect();
        }
        Event::Propose {
            hash,
            order,
            canary_size: self.settings.canary,
            resume,
        }
    }

    fn handle(&mut self, event: Event, members: &mut Members, now: Instant) -> Vec<ReloadRequest> {
        let (mut actions, mut requests) = (Vec::new(), Vec::new());
        let since_origin = now.saturating_duration_since(self.origin);
        self.core.handle(since_origin, event, &mut actions);
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Publish(kind, body, ttl) => {
                    members.publish(FIRST_FACT_KIND + kind, Vec::new(), body, ttl, now)
                }
                Action::CheckVersion(hash) => {
                    requests.push(ReloadRequest::Check(hash, self.settings.candidates.clone()))
                }
                Action::RunVersion(hash) => requests.push(self.run(hash)),
                Action::Persist(bytes) => {
                    if let Some(done) = self.persist(bytes) {
                        let mut more = Vec::new();
                        self.core
                            .handle(since_origin, Event::Persisted(done), &mut more);
                        actions.extend(more);
                    }
                }
                Action::PhaseChanged(phase) => log::warn!("rollout: {}", phase_text(phase)),
                Action::Rejected(error) => {
                    self.rejected_command = Some(format!("{error}. {}", error.advice()))
                }
                Action::StateUnreadable => log_error(&RolloutError::StateMalformed(state_path(
                    self.settings.state.as_deref(),
                ))),
            }
        }
        self.log_verdict();
        requests
    }

    /// Logs the evidence whenever the phase or the verdict has changed.
    fn log_verdict(&mut self) {
        let progress = self.core.progress();
        if progress == self.logged_verdict {
            return;
        }
        self.logged_verdict = progress;
        if progress.is_some() {
            let status = self.core.status();
            let (phase, evidence) = (phase_text(status.phase), evidence_text(&status));
            let members = stage_evidence_text(&status);
            log::info!("rollout: {phase}: evidence {evidence}; this stage: {members}");
        }
    }

    fn run(&self, hash: VersionHash) -> ReloadRequest {
        log::warn!("rollout: running version {} from now on", hex(&hash));
        let is_candidate = hash != self.base_version;
        let folder = is_candidate.then(|| self.settings.candidates.clone());
        ReloadRequest::Run(hash, folder)
    }
}
