//! Decodes messages of other proxies, checks their senders, and passes them to the modules that handle them.

use std::time::Duration;

use crate::identity::{bootstrap_digest, AccountId};
use crate::lender::{Lender, Peer};
use crate::limits::MAX_ACCOUNTS;
use crate::messages::{
    self, decode, BootstrapMembers, Heartbeat, OwnershipClaim, PublishedBalances, PublishedVote,
    RepaymentReport, RepaymentRequest, Sender, WitnessedTransfers, KEY_BYTES,
};
use crate::notice::IgnoreReason;

/// A received message, not decoded yet.
pub(crate) struct Incoming<'a> {
    /// Number of the sender's name.
    pub source: u32,
    pub incarnation: u64,
    pub kind: u8,
    pub key: &'a [u8],
    pub body: &'a [u8],
    pub age: Duration,
}

/// The message is of another version, can't be decoded, or has content that no proxy sends.
pub(crate) struct Malformed;

impl Incoming<'_> {
    fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, Malformed> {
        decode(self.body).ok_or(Malformed)
    }

    /// Number of the tenant, for kinds whose key is that number.
    fn tenant(&self) -> Result<u32, Malformed> {
        let key = self.key.try_into().map_err(|_| Malformed)?;
        Ok(u32::from_le_bytes(key))
    }
}

impl Lender {
    pub(crate) fn receive(
        &mut self,
        now: Duration,
        incoming: &Incoming<'_>,
    ) -> Result<(), Malformed> {
        if incoming.key.len() > KEY_BYTES {
            return Err(Malformed);
        }
        if !self.is_known(incoming.source) {
            self.ignore_reason = Some(IgnoreReason::UnknownSender);
            return Ok(());
        }
        match incoming.kind {
            messages::HEARTBEAT => self.on_heartbeat(now, incoming),
            messages::BOOTSTRAP_MEMBERS => self.on_bootstrap_members(incoming),
            messages::BALANCES => self.on_balances(now, incoming),
            messages::WITNESS => self.on_witness(incoming),
            messages::CLAIM => self.on_claim(now, incoming),
            messages::VOTE => self.on_vote(incoming),
            messages::REPAYMENT_REQUEST => self.on_repayment_request(now, incoming),
            messages::REPAYMENT_REPORT => self.on_repayment_report(incoming),
            _ => Ok(()),
        }
    }

    /// Whether a sender is in the roster or a bootstrap member. Before the first membership event all senders are accepted.
    fn is_known(&self, source: u32) -> bool {
        self.roster.is_empty()
            || self.roster.contains(&source)
            || self
                .state
                .bootstrap_members
                .iter()
                .any(|id| id.owner == source)
    }

    fn on_heartbeat(&mut self, now: Duration, incoming: &Incoming<'_>) -> Result<(), Malformed> {
        let heartbeat: Heartbeat = incoming.decode()?;
        if heartbeat.sender.incarnation == incoming.incarnation {
            self.receive_heartbeat(now, incoming.source, &heartbeat, incoming.age);
        }
        Ok(())
    }

    fn on_bootstrap_members(&mut self, incoming: &Incoming<'_>) -> Result<(), Malformed> {
        let message: BootstrapMembers = incoming.decode()?;
        self.receive_bootstrap_members(&message);
        Ok(())
    }

    fn on_balances(&mut self, now: Duration, incoming: &Incoming<'_>) -> Result<(), Malformed> {
        let message: PublishedBalances = incoming.decode()?;
        let tenant = incoming.tenant()?;
        if !self.is_same_bootstrap(&message.sender) {
            return Ok(());
        }
        let account = AccountId {
            owner: incoming.source,
            incarnation: message.sender.account_incarnation,
        };
        self.receive_balances(now, account, tenant, &message.balances, incoming.age)
            .map_err(|_| Malformed)
    }

    fn on_witness(&mut self, incoming: &Incoming<'_>) -> Result<(), Malformed> {
        let message: WitnessedTransfers = incoming.decode()?;
        let tenant = incoming.tenant()?;
        if self.is_same_bootstrap(&message.sender) {
            self.receive_witness(incoming.source, message, tenant);
        }
        Ok(())
    }

    fn on_claim(&mut self, now: Duration, incoming: &Incoming<'_>) -> Result<(), Malformed> {
        let claim: OwnershipClaim = incoming.decode()?;
        if self.is_same_bootstrap(&claim.sender) {
            self.receive_claim(now, incoming.source, &claim);
        }
        Ok(())
    }

    fn on_vote(&mut self, incoming: &Incoming<'_>) -> Result<(), Malformed> {
        let message: PublishedVote = incoming.decode()?;
        if self.is_same_bootstrap(&message.sender) {
            self.receive_vote(incoming.source, message);
        }
        Ok(())
    }

    fn on_repayment_request(
        &mut self,
        now: Duration,
        incoming: &Incoming<'_>,
    ) -> Result<(), Malformed> {
        let request: RepaymentRequest = incoming.decode()?;
        if self.is_same_bootstrap(&request.sender) {
            let valid_until = now + self.lease.saturating_sub(incoming.age);
            self.remote_repayment
                .receive_request(incoming.source, request, valid_until);
        }
        Ok(())
    }

    fn on_repayment_report(&mut self, incoming: &Incoming<'_>) -> Result<(), Malformed> {
        let report: RepaymentReport = incoming.decode()?;
        if self.is_same_bootstrap(&report.sender) {
            let repaid = self.remote_repayment.receive_report(
                self.number,
                incoming.source,
                incoming.incarnation,
                report,
            );
            for (tenant, amount) in repaid {
                self.book_repayment(tenant, amount);
            }
        }
        Ok(())
    }

    pub(crate) fn is_same_bootstrap(&self, sender: &Sender) -> bool {
        sender.bootstrap_digest != 0
            && sender.bootstrap_digest == bootstrap_digest(&self.state.bootstrap_members)
    }

    /// Peer that sent a message. `None` if the message is of an earlier process than the last known one, or the maximum number
    /// of peers is reached. A peer that lost its stored state is reset: its earlier echoes, votes and witnessed transfers no
    /// longer count.
    pub(crate) fn peer_of(&mut self, source: u32, sender: &Sender) -> Option<&mut Peer> {
        if !self.peers.contains_key(&source) && self.peers.len() >= MAX_ACCOUNTS {
            return None;
        }
        let peer = self.peers.entry(source).or_default();
        if sender.incarnation < peer.incarnation {
            return None;
        }
        if sender.state_incarnation != peer.state_incarnation {
            *peer = Peer {
                state_incarnation: sender.state_incarnation,
                ..Peer::default()
            };
        }
        peer.incarnation = sender.incarnation;
        peer.account_incarnation = sender.account_incarnation;
        Some(peer)
    }
}
