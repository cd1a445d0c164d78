//! Bootstrap: the first proxies divide all shares evenly among themselves, once in the lifetime of the fleet.

use std::time::Duration;

use crate::event::Action;
use crate::identity::{bootstrap_digest, AccountId};
use crate::lender::Lender;
use crate::limits;
use crate::messages::BootstrapMembers;
use crate::notice::Notice;

impl Lender {
    /// Bootstraps once all proxies in the roster are ready: none has bootstrap members, and the loans of all earlier processes are
    /// over.
    pub(crate) fn bootstrap(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.state.is_bootstrapped()
            || !self.own_quarantine_over(now)
            || self.roster.len() > limits::MAX_BOOTSTRAP_MEMBERS
        {
            return;
        }
        let others = self.roster.iter().filter(|name| **name != self.number);
        let ready = others.map(|name| self.ready_member(now, *name));
        let Some(mut members) = ready.collect::<Option<Vec<AccountId>>>() else {
            return;
        };
        if members.is_empty() || !self.roster.contains(&self.number) {
            return;
        }
        members.push(AccountId {
            owner: self.number,
            incarnation: self.state.state_incarnation,
        });
        members.sort_unstable();
        actions.push(Action::Notice(Notice::Bootstrapped(members.len())));
        self.state.bootstrap_members = members;
        self.unsaved_changes = true;
    }

    fn ready_member(&self, now: Duration, name: u32) -> Option<AccountId> {
        let peer = self.peers.get(&name)?;
        (peer.ready_for_bootstrap && peer.alive_until > now).then_some(AccountId {
            owner: name,
            incarnation: peer.state_incarnation,
        })
    }

    /// Adopts the bootstrap members that another proxy publishes, if none are known here.
    pub(crate) fn receive_bootstrap_members(&mut self, message: &BootstrapMembers) {
        let count = message.members.len();
        if self.state.is_bootstrapped() || count == 0 || count > limits::MAX_BOOTSTRAP_MEMBERS {
            return;
        }
        let id = |(owner, above_least): &(u32, u64)| AccountId {
            owner: *owner,
            incarnation: message.least_incarnation.saturating_add(*above_least),
        };
        let members: Vec<AccountId> = message.members.iter().map(id).collect();
        if !members.is_sorted_by(|a, b| a.owner < b.owner)
            || bootstrap_digest(&members) != message.sender.bootstrap_digest
        {
            return;
        }
        self.state.bootstrap_members = members;
        if !self.guards.stored_membership {
            self.assume_former_membership();
        }
        self.unsaved_changes = true;
    }

    /// Assumes the bootstrap membership of an earlier process, which [`crate::Guards::stored_membership`] prevents: without its
    /// stored state a proxy has lost its votes, witnessed transfers and loans.
    fn assume_former_membership(&mut self) {
        let own = |id: &&AccountId| id.owner == self.number;
        let former = self.state.bootstrap_members.iter().find(own);
        if let Some(former) = former {
            self.state.state_incarnation = former.incarnation;
        }
        self.state.account_incarnation = self.state.state_incarnation;
    }
}
