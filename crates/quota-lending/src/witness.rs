//! Witnesses of transfers: a transfer counts once a majority of the bootstrap members has seen it. Otherwise a sender that dies
//! could leave shares with the receiver that its successor, who never heard of the transfer, takes over as well.

use std::time::Duration;

use crate::balances::{saturating_total, Balances, SentTotal};
use crate::identity::AccountId;
use crate::lender::Lender;
use crate::limits::{BALANCES, RECEIVERS, TENANTS};
use crate::messages::WitnessedTransfers;

/// Balances with more receivers than any account has.
pub(crate) struct TooManyReceivers;

impl Lender {
    /// Merges balances of another account, and witnesses their transfers.
    ///
    /// Balances that name too many receivers, together with those known, are not merged, as if the message had been lost: with a
    /// part of the transfers the account would seem to have sent less, and who takes it over would own shares that others have
    /// received. But this proxy may have witnessed the same total of other transfers of that account, which would confirm these
    /// where only they are known. So from now on it witnesses [`SentTotal::INVALID`].
    pub(crate) fn receive_balances(
        &mut self,
        now: Duration,
        account: AccountId,
        tenant: u32,
        balances: &Balances,
        age: Duration,
    ) -> Result<(), TooManyReceivers> {
        if !self.make_room_for(now, account) {
            return Ok(());
        }
        let limit_valid_until = now + self.message_ttl().saturating_sub(age);
        let known = self.accounts.entry(account).or_default();
        if !known.balances.contains_key(&tenant) && known.balances.len() >= TENANTS {
            return Ok(());
        }
        let known = known.balances.entry(tenant).or_default();
        let accepted = known.balances.receivers_with(balances) <= RECEIVERS;
        let mut sent = SentTotal::INVALID;
        if accepted {
            known.balances.merge(balances);
            known.limit_valid_until = known.limit_valid_until.max(limit_valid_until);
            sent = known.balances.sent_total();
        }
        self.witness_transfers(account, tenant, sent);
        if !self.state.balances.contains_key(&tenant) && self.rules.by_tenant.contains_key(&tenant)
        {
            // So that all learn this proxy's credit limit.
            self.open_balances(now, tenant);
        }
        self.confirm_transfers();
        if accepted {
            Ok(())
        } else {
            Err(TooManyReceivers)
        }
    }

    fn witness_transfers(&mut self, account: AccountId, tenant: u32, sent: SentTotal) {
        let key = (account, tenant);
        let room = self.state.witnessed.len() < BALANCES || self.state.witnessed.contains_key(&key);
        let newer = sent > self.state.witnessed_total(account, tenant);
        if newer && !self.is_frozen(account) && room {
            self.state.witnessed.insert(key, sent);
            self.unsaved_changes = true;
        }
    }

    pub(crate) fn receive_witness(
        &mut self,
        source: u32,
        message: WitnessedTransfers,
        tenant: u32,
    ) {
        let of_members = message
            .bootstrap_members
            .into_iter()
            .filter_map(|(index, sent)| {
                let member = self.state.bootstrap_members.get(usize::from(index))?;
                Some((*member, sent))
            });
        let all: Vec<(AccountId, SentTotal)> = of_members.chain(message.others).collect();
        let Some(peer) = self.peer_of(source, &message.sender) else {
            return;
        };
        for (account, sent) in all {
            let key = (account, tenant);
            // What is not kept is one witness less: a transfer may count later, never twice.
            if peer.witnessed.len() < BALANCES || peer.witnessed.contains_key(&key) {
                let known = peer.witnessed.entry(key).or_default();
                *known = (*known).max(sent);
            }
        }
        self.confirm_transfers();
    }

    /// Confirms the transfers of all accounts that a majority has witnessed, in the version known here.
    pub(crate) fn confirm_transfers(&mut self) {
        if !self.state.is_bootstrapped() {
            return;
        }
        let mut confirmed = Vec::new();
        for (id, account) in &self.accounts {
            for (tenant, known) in &account.balances {
                if self.is_confirmable(*id, *tenant, known.balances.sent_total()) {
                    confirmed.push(((*id, *tenant), known.balances.sent.clone()));
                }
            }
        }
        for (key, sent) in confirmed {
            let room =
                self.state.confirmed.len() < BALANCES || self.state.confirmed.contains_key(&key);
            if room {
                self.state.confirmed.insert(key, sent);
                self.unsaved_changes = true;
            }
        }
    }

    /// Whether transfers go beyond those confirmed already, and a majority has witnessed them.
    fn is_confirmable(&self, account: AccountId, tenant: u32, sent: SentTotal) -> bool {
        let confirmed = self
            .state
            .confirmed
            .get(&(account, tenant))
            .map_or(0, |sent| saturating_total(sent.values()));
        if sent.is_zero() || SentTotal::from(confirmed) >= sent {
            return false;
        }
        !self.guards.witness || self.count_witnesses(account, tenant, sent) >= self.state.majority()
    }

    fn count_witnesses(&self, account: AccountId, tenant: u32, sent: SentTotal) -> usize {
        let key = (account, tenant);
        let witnessed = |seen: &SentTotal| seen.witnesses(sent);
        // The sender has seen its transfers, whatever became of its stored state since.
        let sender_is_member = self
            .state
            .is_bootstrap_member(account.owner, account.incarnation);
        let of_peers = self
            .peers
            .iter()
            .filter(|(name, peer)| {
                let is_sender = **name == account.owner && sender_is_member;
                let has_witnessed = peer.witnessed.get(&key).is_some_and(witnessed)
                    && self
                        .state
                        .is_bootstrap_member(**name, peer.state_incarnation);
                is_sender || has_witnessed
            })
            .count();
        let own =
            self.durable.witnessed.get(&key).is_some_and(witnessed) && self.is_bootstrap_member();
        of_peers + usize::from(own)
    }
}
