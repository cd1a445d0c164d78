//! Participation in the fleet: membership, rollouts and quota lending.

use super::state::Proxy;
use crate::clock;
use crate::cluster::members::Members;
use crate::cluster::quota_lending::QuotaLending;
use crate::persistence::hot_restart::links::HotRestart;
use crate::pipeline::TimerKind;
use configuration::calendar::Window;
use configuration::model;
use std::time::Instant;

impl Proxy {
    pub(super) fn check_rollout(&mut self, now: Instant) {
        let (Some(rollout), Some(members)) = (&mut self.rollout, &mut self.members) else {
            return;
        };
        let requests = rollout.observe(members, &self.pipeline.counters, now);
        self.io
            .timers
            .set(now + rollout.period(), TimerKind::Rollout);
        self.request_reads(requests);
    }

    /// Publishes the messages of quotas, and sets the timers that the membership requests.
    pub(super) fn flush_members(&mut self) {
        let Some(members) = &mut self.members else {
            return;
        };
        self.pipeline.quota.flush(members, Instant::now());
        for (at, token) in members.take_timers() {
            self.io.timers.set(at, TimerKind::Members(token));
        }
    }

    /// Leaves the fleet at exit, unless a new process continues under the same name.
    pub(super) fn leave_fleet(&mut self) {
        let hot_restart = self.io.hot_restart.as_ref();
        let new_process_serves = hot_restart.is_some_and(HotRestart::has_new_process);
        if let Some(members) = self.members.as_mut().filter(|_| !new_process_serves) {
            members.leave(Instant::now());
        }
    }

    /// Applies the section `members`: joins or leaves the fleet, or changes the roster. Returns the keys of changed
    /// settings that take effect only at the next start.
    pub(super) fn reload_members(
        &mut self,
        settings: Option<model::Members>,
        keys: Option<datagram_auth::Keys>,
        now: Instant,
    ) -> Vec<&'static str> {
        match (&mut self.members, settings, keys) {
            (Some(members), Some(settings), Some(keys)) => {
                return members.reload(&settings, keys, now)
            }
            (None, Some(settings), keys) => self.join_members(settings, keys, now),
            (Some(members), ..) => {
                log::info!("members: the operators' file has no section members any more; leaving the fleet");
                members.leave(now);
                self.members = None;
                self.pipeline.quota.leave_fleet();
            }
            (None, None, _) => {}
        }
        Vec::new()
    }

    fn join_members(
        &mut self,
        settings: model::Members,
        keys: Option<datagram_auth::Keys>,
        now: Instant,
    ) {
        let (name, reactor) = (&self.restart_settings.name, &self.io.reactor);
        let incarnation = clock::unix_ms();
        match Members::join(settings, keys, name, incarnation, self.seed, now, reactor) {
            Ok(members) => {
                self.members = Some(members);
                self.io.timers.set(now, TimerKind::Quota);
            }
            Err(error) => log::error!("configuration: {error}; this proxy does not join the fleet"),
        }
    }

    /// Applies the section `lending`. Without it nothing more is lent, but open loans are still repaid. Returns the
    /// keys of changed settings that take effect only at the next start.
    pub(super) fn reload_lending(
        &mut self,
        settings: Option<model::Lending>,
        windows: Vec<Window>,
        now: Instant,
    ) -> Vec<&'static str> {
        let lending = &mut self.pipeline.quota.lending;
        let mut deferred = Vec::new();
        match (lending.as_mut(), settings) {
            (Some(lending), Some(settings)) => deferred = lending.reload(settings, windows),
            (Some(lending), None) => lending.stop_lending(),
            (None, Some(settings)) if self.members.is_some() => match self.commands.waker() {
                Ok(waker) => *lending = Some(QuotaLending::new(settings, windows, waker, now)),
                Err(error) => log::error!("loans: {error}; nothing is lent here"),
            },
            (None, _) => {}
        }
        self.pipeline.quota.update_lending_rules(now);
        deferred
    }
}
