//! Heartbeats, and the lease granted by their echoes.

use std::time::Duration;

use crate::event::Action;
use crate::identity::AccountId;
use crate::lender::Lender;
use crate::limits::MAX_OTHER_ECHOES;
use crate::messages::{self, encode, heartbeat_mark, Heartbeat};

/// Marks of the last heartbeats received: of bootstrap members by index, and of other accounts.
#[derive(Default)]
struct Echoes {
    bootstrap_members: Vec<(u8, u32)>,
    others: Vec<(AccountId, u32)>,
}

impl Lender {
    /// Publishes the next heartbeat, with echoes of the heartbeats received within the last lease duration.
    pub(crate) fn send_heartbeat(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let number = self.heartbeats.back().map_or(1, |(number, _)| number + 1);
        self.heartbeats.push_back((number, now));
        while self.heartbeats.len() > 1 && self.heartbeats[0].1 + self.lease <= now {
            self.heartbeats.pop_front();
        }
        let echoes = self.echoes(now);
        let heartbeat = Heartbeat {
            sender: self.sender(),
            quarantine_over: self.own_quarantine_over(now),
            number,
            bootstrap_echoes: echoes.bootstrap_members,
            other_echoes: echoes.others,
        };
        self.publish(
            messages::HEARTBEAT,
            vec![],
            encode(&heartbeat),
            self.lease,
            actions,
        );
    }

    /// Echoes of the accounts whose heartbeats arrived recently. A frozen account is not echoed: its owner must not get a lease
    /// while another proxy takes the account over.
    fn echoes(&self, now: Duration) -> Echoes {
        let mut echoes = Echoes::default();
        for (id, account) in &self.accounts {
            let (incarnation, number) = account.last_heartbeat;
            let expired = now.saturating_sub(account.last_heartbeat_at) > self.lease;
            if self.is_frozen(*id) || number == 0 || expired {
                continue;
            }
            let echo = heartbeat_mark(incarnation, number);
            match self.durable.bootstrap_members.binary_search(id) {
                Ok(at) => echoes.bootstrap_members.push((at as u8, echo)),
                Err(_) => echoes.others.push((*id, echo)),
            }
        }
        echoes.others.truncate(MAX_OTHER_ECHOES);
        echoes
    }

    pub(crate) fn receive_heartbeat(
        &mut self,
        now: Duration,
        source: u32,
        heartbeat: &Heartbeat,
        age: Duration,
    ) {
        let echoed_at = self.echoed_at(heartbeat);
        let alive_until = now + self.lease.saturating_sub(age);
        let is_valid = age < self.lease;
        let Some(peer) = self.peer_of(source, &heartbeat.sender) else {
            return;
        };
        if is_valid {
            peer.alive_until = alive_until;
            peer.ready_for_bootstrap =
                heartbeat.sender.bootstrap_digest == 0 && heartbeat.quarantine_over;
        }
        peer.echoed_at = peer.echoed_at.max(echoed_at);
        let account = AccountId {
            owner: source,
            incarnation: heartbeat.sender.account_incarnation,
        };
        self.record_heartbeat(
            now,
            account,
            (heartbeat.sender.incarnation, heartbeat.number),
        );
        if self.state.votes.contains_key(&account) {
            // The owner is alive and has not received the votes against its account yet: they are published again.
            self.claims.insert(account, now + self.quarantine);
        }
    }

    /// Time at which this proxy sent the heartbeat that `heartbeat` echoes. An echo by index counts only if the sender has the
    /// same bootstrap members.
    fn echoed_at(&self, heartbeat: &Heartbeat) -> Option<Duration> {
        let own_account = self.own_account();
        let own_index = self
            .state
            .bootstrap_members
            .binary_search(&own_account)
            .ok()
            .filter(|_| self.is_same_bootstrap(&heartbeat.sender));
        let by_index = heartbeat
            .bootstrap_echoes
            .iter()
            .find(|(index, _)| own_index == Some(usize::from(*index)))
            .map(|(_, mark)| *mark);
        let by_account = heartbeat
            .other_echoes
            .iter()
            .find(|(id, _)| *id == own_account)
            .map(|(_, mark)| *mark);
        let echo = by_index.or(by_account)?;
        self.heartbeats
            .iter()
            .rfind(|(number, _)| heartbeat_mark(self.incarnation, *number) == echo)
            .map(|(_, sent_at)| *sent_at)
    }

    fn record_heartbeat(&mut self, now: Duration, id: AccountId, heartbeat: (u64, u32)) {
        if self.make_room_for(now, id) {
            let account = self.accounts.entry(id).or_default();
            if heartbeat > account.last_heartbeat {
                account.last_heartbeat = heartbeat;
                account.last_heartbeat_at = now;
            }
        }
    }

    /// End of this proxy's lease: one lease duration after it sent the last heartbeat that a majority has echoed. A takeover of
    /// its account waits for the quarantine period after the last heartbeat, so that the two proxies never lend from the same
    /// shares at the same time.
    pub(crate) fn compute_lease(&self) -> Duration {
        if !self.guards.lease {
            return Duration::MAX;
        }
        if !self.state.is_bootstrapped() {
            return Duration::ZERO;
        }
        let mut echoed: Vec<Duration> = self
            .bootstrap_peers()
            .filter_map(|(_, peer)| peer.echoed_at)
            .collect();
        if self.is_bootstrap_member() {
            echoed.extend(self.heartbeats.back().map(|(_, sent_at)| *sent_at));
        }
        echoed.sort_unstable_by(|a, b| b.cmp(a));
        echoed
            .get(self.state.majority() - 1)
            .map_or(Duration::ZERO, |sent_at| *sent_at + self.lease)
    }
}
