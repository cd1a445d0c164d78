//! Messages between the old and the new process of a hot restart, and how the two processes share the limits.

use super::state::Proxy;
use crate::event_loop::slab::Key;
use crate::persistence::hot_restart::links::{HotRestart, LinkEvent, PeerMessage};
use std::time::Instant;

impl Proxy {
    /// Handles a message from another process of this proxy, or the end of its link.
    pub(super) fn on_hot_restart_message(&mut self, from: Key, message: LinkEvent, now: Instant) {
        match message {
            LinkEvent::Message(
                message @ (PeerMessage::Serving | PeerMessage::ServingElsewhere),
            ) => self.on_new_process_serving(&message),
            LinkEvent::Message(message) => self.on_exclusion_message(from, message, now),
            LinkEvent::Closed => {
                self.update_handed_over(now);
                self.on_peer_process_exit();
            }
        }
    }

    /// Updates whether a newer process has this proxy's name: the fleet has one member of a name, the newest process.
    pub(super) fn update_handed_over(&mut self, now: Instant) {
        let hot_restart = self.io.hot_restart.as_ref();
        let handed_over = hot_restart.is_some_and(HotRestart::has_successor);
        if let Some(members) = &mut self.members {
            members.set_handed_over(handed_over, now);
        }
    }

    fn on_new_process_serving(&mut self, message: &PeerMessage) {
        let Some(hot_restart) = &mut self.io.hot_restart else {
            return;
        };
        log::info!(peer_message:? = message; "takeover: the next process serves");
        let accepts = hot_restart.new_process_accepts();
        self.io
            .downstream
            .set_new_process_accepts(accepts, &self.io.reactor);
        if let Some(rollout) = &mut self.rollout {
            rollout.set_handed_over(true);
        }
        self.share_limits();
    }

    fn on_peer_process_exit(&mut self) {
        let Some(hot_restart) = &mut self.io.hot_restart else {
            return;
        };
        let (downstream, reactor) = (&mut self.io.downstream, &self.io.reactor);
        log::info!("takeover: the other process is gone");
        downstream.set_new_process_accepts(hot_restart.new_process_accepts(), reactor);
        if let Some(rollout) = &mut self.rollout {
            rollout.set_handed_over(hot_restart.has_new_process());
        }
        if downstream.listener().is_some() {
            hot_restart.listen_again(reactor);
            let control_socket = self.io.control_socket.as_mut();
            if let Some(socket) = control_socket.filter(|_| !hot_restart.has_new_process()) {
                socket.listen_again(reactor);
            }
        }
        if !hot_restart.has_old_process() {
            self.old_process_usage = (0, 0);
        }
        self.share_limits();
    }

    /// An operator has changed a manual exclusion at another process: applies it here, and forwards it to the other
    /// linked processes.
    fn on_exclusion_message(&mut self, from: Key, message: PeerMessage, now: Instant) {
        let Some(hot_restart) = &mut self.io.hot_restart else {
            return;
        };
        hot_restart.send(&message, Some(from), &self.io.reactor);
        let excluded = matches!(message, PeerMessage::Excluded(_));
        if let PeerMessage::Excluded(name) | PeerMessage::Included(name) = message {
            // An unknown name is not an error: this process's list may be older.
            _ = self
                .pipeline
                .set_manual_exclusion(&name, excluded, &mut self.io, now);
            self.persist(now);
        }
    }

    /// Sets this process's share of the limits. The new process gets what the old process does not use; the old process
    /// opens no more upstream connections than it has.
    pub(super) fn share_limits(&mut self) {
        let io = &mut self.io;
        let hot_restart = io.hot_restart.as_ref();
        let mut limits = self.limits.remaining_after(self.old_process_usage);
        if hot_restart.is_some_and(|links| links.has_successor() || links.has_old_process()) {
            limits = limits.with_half_the_memory();
        }
        io.downstream.set_limits(limits, self.client_limits);
        let upstream = if hot_restart.is_some_and(HotRestart::has_new_process) {
            io.upstream.connection_count().max(1).min(limits.upstream)
        } else {
            limits.upstream
        };
        io.upstream.set_connection_limit(upstream);
    }
}
