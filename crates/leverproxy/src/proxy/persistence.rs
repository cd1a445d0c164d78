//! Saves state to disk, and sends the admin answers that wait for a save.

use super::state::Proxy;
use crate::cluster::members::Members;
use std::time::Instant;

impl Proxy {
    /// Saves changed state, and sends the answers whose state is on disk.
    pub(super) fn persist(&mut self, now: Instant) {
        let Some(saved_state) = &mut self.saved_state else {
            return;
        };
        let members = self.members.as_ref();
        let incarnation = members.map_or(self.incarnation, Members::incarnation);
        let pipeline = &self.pipeline;
        let endpoint_list = || pipeline.handover_state().0;
        let list = pipeline
            .received_list_index()
            .map(|index| (index, &endpoint_list as &dyn Fn() -> _));
        saved_state.handle_finished_saves(now);
        saved_state.update(incarnation, pipeline.manual_exclusions(), list, now);
        for (key, answer) in saved_state.take_confirmations(now) {
            if let Some(admin) = &mut self.io.admin {
                admin.answer(key, &answer, &self.io.reactor);
            }
        }
    }
}
