//! Saves the state, and publishes what is durable of it. Nothing is published that could be forgotten.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::event::Action;
use crate::identity::bootstrap_digest;
use crate::lender::{Lender, PendingSave, Published};
use crate::limits::{OTHER_WITNESSED, TENANTS, VOTES_PUBLISHED};
use crate::messages::{
    self, account_key, encode, BootstrapMembers, PublishedBalances, PublishedVote, Sender,
    WitnessedTransfers,
};
use crate::notice::Notice;

/// A message to publish; no body: it is longer than permitted.
struct Outgoing {
    kind: u8,
    key: Vec<u8>,
    body: Option<Vec<u8>>,
}

impl Lender {
    pub(crate) fn sender(&self) -> Sender {
        let durable = &self.durable;
        Sender {
            bootstrap_digest: bootstrap_digest(&durable.bootstrap_members),
            state_incarnation: durable.state_incarnation,
            account_incarnation: durable.account_incarnation,
            incarnation: self.incarnation,
        }
    }

    /// Saves changes, one file at a time. Without a file they are published at once.
    pub(crate) fn save(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.unsaved_changes || self.pending_save.is_some() {
            return;
        }
        self.unsaved_changes = false;
        self.copy_loans_to_state();
        if !self.has_state_file {
            self.durable = self.state.clone();
            self.publish_state(now, actions);
            return;
        }
        self.save_sequence += 1;
        if let Some(bytes) = self.state.encode(&self.name) {
            self.pending_save = Some(PendingSave {
                sequence: self.save_sequence,
                state: self.state.clone(),
            });
            actions.push(Action::Save {
                sequence: self.save_sequence,
                bytes,
            });
        }
    }

    fn copy_loans_to_state(&mut self) {
        for (tenant, known) in &self.tenants {
            if let Some(balances) = self.state.balances.get_mut(tenant) {
                balances.lent = balances.lent.max(known.loans.lent);
                balances.repaid = known.loans.repaid;
                balances.written_off = known.loans.written_off;
            }
        }
    }

    pub(crate) fn receive_saved(
        &mut self,
        now: Duration,
        sequence: u64,
        actions: &mut Vec<Action>,
    ) {
        let saved = self
            .pending_save
            .take_if(|pending| pending.sequence == sequence);
        if let Some(saved) = saved {
            self.durable = saved.state;
            self.publish_state(now, actions);
        }
    }

    /// Publishes the durable state, unless it is that of an account or a state that has been replaced since.
    pub(crate) fn publish_state(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let replaced = self.durable.account_incarnation != self.state.account_incarnation
            || self.durable.state_incarnation != self.state.state_incarnation;
        if !self.durable.is_bootstrapped() || replaced {
            return;
        }
        let sender = self.sender();
        let mut messages = self.balances_messages(sender);
        messages.extend(self.witness_messages(sender));
        messages.extend(self.vote_messages(now, sender));
        messages.push(self.bootstrap_message(sender));
        let ttl = self.message_ttl();
        for message in messages {
            self.publish_if_due(now, message, ttl, actions);
        }
    }

    fn bootstrap_message(&self, sender: Sender) -> Outgoing {
        let members = &self.durable.bootstrap_members;
        let least = members.iter().map(|id| id.incarnation).min().unwrap_or(0);
        let message = BootstrapMembers {
            sender,
            least_incarnation: least,
            members: members
                .iter()
                .map(|id| (id.owner, id.incarnation - least))
                .collect(),
        };
        Outgoing {
            kind: messages::BOOTSTRAP_MEMBERS,
            key: vec![],
            body: encode(&message),
        }
    }

    /// Limit and demand are published as they are now: they need not be durable.
    fn balances_messages(&self, sender: Sender) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for (tenant, balances) in &self.durable.balances {
            let mut balances = balances.clone();
            if let (Some(current), Some(known)) =
                (self.state.balances.get(tenant), self.tenants.get(tenant))
            {
                balances.credit_limit = current.credit_limit;
                balances.demand = known.published_demand;
            }
            outgoing.push(Outgoing {
                kind: messages::BALANCES,
                key: tenant.to_le_bytes().to_vec(),
                body: encode(&PublishedBalances { sender, balances }),
            });
        }
        outgoing
    }

    fn witness_messages(&self, sender: Sender) -> Vec<Outgoing> {
        let witnessed = &self.durable.witnessed;
        let tenants: BTreeSet<u32> = witnessed.keys().map(|(_, tenant)| *tenant).collect();
        let mut outgoing = Vec::new();
        for tenant in tenants.into_iter().take(TENANTS) {
            outgoing.push(Outgoing {
                kind: messages::WITNESS,
                key: tenant.to_le_bytes().to_vec(),
                body: encode(&self.witnessed_transfers(sender, tenant)),
            });
        }
        outgoing
    }

    fn witnessed_transfers(&self, sender: Sender, tenant: u32) -> WitnessedTransfers {
        let (mut bootstrap_members, mut others) = (Vec::new(), Vec::new());
        let of_tenant = self
            .durable
            .witnessed
            .iter()
            .filter(|((_, of), _)| *of == tenant);
        for ((account, _), sent) in of_tenant {
            match self.durable.bootstrap_members.binary_search(account) {
                Ok(at) => bootstrap_members.push((at as u8, *sent)),
                Err(_) => others.push((*account, *sent)),
            }
        }
        others.truncate(OTHER_WITNESSED);
        WitnessedTransfers {
            sender,
            bootstrap_members,
            others,
        }
    }

    /// Votes on recent claims.
    fn vote_messages(&self, now: Duration, sender: Sender) -> Vec<Outgoing> {
        let message = |account, vote| Outgoing {
            kind: messages::VOTE,
            key: account_key(account),
            body: encode(&PublishedVote {
                sender,
                account,
                vote,
            }),
        };
        self.claims
            .iter()
            .filter(|(_, until)| **until > now)
            .filter_map(|(account, _)| {
                let vote = self.durable.votes.get(account)?;
                Some(message(*account, vote.clone()))
            })
            .take(VOTES_PUBLISHED)
            .collect()
    }

    /// Publishes what has changed at once. What has not is repeated after a step, and then at growing intervals up to a lease: a
    /// lost message is soon replaced, and what everybody knows does not fill the gossip.
    fn publish_if_due(
        &mut self,
        now: Duration,
        message: Outgoing,
        ttl: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Outgoing { kind, key, body } = message;
        let id = (kind, key.clone());
        let mut first_at = now;
        if let (Some(former), Some(body)) = (self.published.get(&id), &body) {
            if former.body == *body {
                if now < former.last_at + self.repetition_interval(former) {
                    return;
                }
                first_at = former.first_at;
            }
        }
        if let Some(body) = &body {
            let published = Published {
                body: body.clone(),
                first_at,
                last_at: now,
            };
            self.published.insert(id, published);
        }
        self.publish(kind, key, body, ttl, actions);
    }

    fn repetition_interval(&self, published: &Published) -> Duration {
        published
            .last_at
            .saturating_sub(published.first_at)
            .clamp(self.exchange_interval.min(self.lease), self.lease)
    }

    pub(crate) fn publish(
        &self,
        kind: u8,
        key: Vec<u8>,
        body: Option<Vec<u8>>,
        ttl: Duration,
        actions: &mut Vec<Action>,
    ) {
        actions.push(match body {
            Some(body) => Action::Publish {
                kind,
                key,
                body,
                ttl,
            },
            None => Action::Notice(Notice::MessageTooLong(kind)),
        });
    }
}
