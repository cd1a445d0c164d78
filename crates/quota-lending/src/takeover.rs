//! Takeover of the account of a proxy that is not heard: claim, vote, count, and the loss of the own account.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::balances::SentTotal;
use crate::event::Action;
use crate::identity::AccountId;
use crate::lender::{Lender, Peer};
use crate::limits::{ACCOUNTS, ACCOUNTS_OF_OWNER, CLAIMS_PER_STEP, VOTES};
use crate::messages::{self, account_key, encode, OwnershipClaim, PublishedVote, Vote};
use crate::notice::{IgnoreReason, Notice};

/// For each tenant, the most that any voter has seen as sent.
fn most_sent<'a>(votes: impl IntoIterator<Item = &'a Vote>) -> BTreeMap<u32, SentTotal> {
    let mut sent: BTreeMap<u32, SentTotal> = BTreeMap::new();
    for (tenant, total) in votes.into_iter().flat_map(|vote| &vote.sent) {
        let most = sent.entry(*tenant).or_default();
        *most = (*most).max(*total);
    }
    sent
}

impl Lender {
    /// Claims accounts, counts the votes, and books what was taken over.
    pub(crate) fn claim_accounts(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.may_lend && self.state.is_bootstrapped() {
            for account in self
                .claimable_accounts(now)
                .into_iter()
                .take(CLAIMS_PER_STEP)
            {
                self.claim_account(now, account, actions);
            }
        }
        for tenant in self.state.balances.keys().copied().collect::<Vec<_>>() {
            let taken_over = self.shares_taken_over(tenant);
            let balances = self.state.balances.get_mut(&tenant);
            if let Some(balances) = balances.filter(|known| known.taken_over < taken_over) {
                balances.taken_over = taken_over;
                self.unsaved_changes = true;
            }
        }
    }

    fn claim_account(&mut self, now: Duration, account: AccountId, actions: &mut Vec<Action>) {
        self.vote(now, account, self.own_account());
        let claim = OwnershipClaim {
            sender: self.sender(),
            account,
        };
        self.publish(
            messages::CLAIM,
            account_key(account),
            encode(&claim),
            self.message_ttl(),
            actions,
        );
        if self.take_over(account) {
            actions.push(Action::Notice(Notice::AccountTakenOver(account.owner)));
        }
    }

    /// Accounts of dead owners that this proxy is the one to claim: it is the next living one by number, so that claims don't
    /// split the votes.
    fn claimable_accounts(&self, now: Duration) -> Vec<AccountId> {
        let members = &self.state.bootstrap_members;
        let others = self.accounts.keys().filter(|id| !members.contains(id));
        members
            .iter()
            .chain(others)
            .copied()
            .filter(|account| self.is_claimable(now, *account))
            .collect()
    }

    fn is_claimable(&self, now: Duration, account: AccountId) -> bool {
        let own_account = self.own_account();
        let voted_for_other = self
            .state
            .votes
            .get(&account)
            .is_some_and(|vote| vote.to != own_account);
        account != own_account
            && !self.state.taken_over.contains_key(&account)
            && !voted_for_other
            && self.is_silent(now, account)
            && self.is_next_after(account.owner)
            && self.may_hold_shares(account)
    }

    fn is_next_after(&self, owner: u32) -> bool {
        let next = self
            .up
            .range(owner..)
            .chain(self.up.iter())
            .find(|name| **name != owner);
        self.up.contains(&self.number) && next == Some(&self.number)
    }

    pub(crate) fn may_hold_shares(&self, account: AccountId) -> bool {
        let remaining = |tenant: &u32| {
            self.state
                .witnessed_total(account, *tenant)
                .remaining_of(self.shares_received_by(account, *tenant))
        };
        self.state.initial_shares(account) > 0
            || self
                .state
                .balances
                .keys()
                .any(|tenant| remaining(tenant) > 0)
    }

    /// No new heartbeat for the quarantine period: all loans of the account are over.
    pub(crate) fn is_silent(&self, now: Duration, account: AccountId) -> bool {
        let heard_at = self
            .accounts
            .get(&account)
            .map_or(Duration::ZERO, |account| account.heard_at)
            .max(self.started_at);
        now.saturating_sub(heard_at) >= self.quarantine || !self.guards.quarantine
    }

    /// This proxy voted about the account: it echoes and witnesses nothing of it any more, since what its vote says about the
    /// account's transfers must stay complete.
    pub(crate) fn is_frozen(&self, account: AccountId) -> bool {
        self.state.votes.contains_key(&account) && self.guards.freeze
    }

    pub(crate) fn receive_claim(&mut self, now: Duration, source: u32, claim: &OwnershipClaim) {
        if self.claims.len() < ACCOUNTS {
            self.claims.insert(claim.account, now + self.quarantine);
        }
        let to = AccountId {
            owner: source,
            incarnation: claim.sender.account_incarnation,
        };
        self.vote(now, claim.account, to);
    }

    /// Votes for a claim, once for each account: two majorities have a member in common, so no account is taken over twice.
    fn vote(&mut self, now: Duration, account: AccountId, to: AccountId) {
        let voted = self.state.votes.contains_key(&account) && self.guards.single_vote;
        if !self.is_bootstrap_member()
            || account.owner == self.number
            || !self.is_silent(now, account)
            || voted
            || self.state.votes.len() >= VOTES
        {
            return;
        }
        let witnessed = self.state.witnessed.iter();
        let sent = witnessed
            .filter(|((of, _), _)| *of == account)
            .map(|((_, tenant), sent)| (*tenant, *sent))
            .collect();
        self.state.votes.insert(account, Vote { to, sent });
        self.unsaved_changes = true;
    }

    pub(crate) fn receive_vote(&mut self, source: u32, message: PublishedVote) {
        let single_vote = self.guards.single_vote;
        let Some(peer) = self.peer_of(source, &message.sender) else {
            return;
        };
        if peer.votes.len() >= VOTES {
            return;
        }
        if single_vote {
            peer.votes.entry(message.account).or_insert(message.vote);
        } else {
            peer.votes.insert(message.account, message.vote);
        }
    }

    /// Takes an account over if a majority has voted for the own claim.
    fn take_over(&mut self, account: AccountId) -> bool {
        if self.state.taken_over.contains_key(&account) || !self.state.is_bootstrapped() {
            return false;
        }
        let own_account = self.own_account();
        let own_vote = self
            .durable
            .votes
            .get(&account)
            .filter(|_| self.is_bootstrap_member());
        let votes: Vec<&Vote> = self
            .bootstrap_peers()
            .filter_map(|(_, peer)| peer.votes.get(&account))
            .chain(own_vote)
            .filter(|vote| vote.to == own_account)
            .collect();
        if votes.len() < self.state.majority() {
            return false;
        }
        let sent = most_sent(votes);
        self.state.taken_over.insert(account, sent);
        self.unsaved_changes = true;
        true
    }

    /// Shares of all accounts that were taken over. It only grows, as more transfers to them become known.
    fn shares_taken_over(&self, tenant: u32) -> u64 {
        let remaining = |(account, sent): (&AccountId, &BTreeMap<u32, SentTotal>)| {
            sent.get(&tenant)
                .copied()
                .unwrap_or_default()
                .remaining_of(self.shares_received_by(*account, tenant))
        };
        self.state.taken_over.iter().fold(0, |sum, taken_over| {
            sum.saturating_add(remaining(taken_over))
        })
    }

    /// Whether a majority has voted that another gets the own account.
    pub(crate) fn has_lost_account(&self) -> bool {
        let own_account = self.own_account();
        let has_voted = |peer: &Peer| peer.votes.contains_key(&own_account);
        let votes = self
            .bootstrap_peers()
            .filter(|(_, peer)| has_voted(peer))
            .count();
        self.state.is_bootstrapped() && votes >= self.state.majority()
    }

    /// Opens another account, with no shares and no debts.
    pub(crate) fn replace_lost_account(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::Notice(Notice::AccountLost));
        self.state.account_incarnation = self.incarnation.max(self.state.account_incarnation + 1);
        self.state.balances.clear();
        self.state.taken_over.clear();
        self.tenants.clear();
        self.unsaved_changes = true;
    }

    /// Makes room for an account. Of one owner the account that was heard the longest ago goes, if its quarantine is over and it
    /// holds no shares: as if its messages had been lost. False: there is no room, and the message is to be ignored.
    pub(crate) fn make_room_for(&mut self, now: Duration, account: AccountId) -> bool {
        if self.accounts.contains_key(&account) {
            return true;
        }
        let first = AccountId {
            incarnation: 0,
            ..account
        };
        let last = AccountId {
            incarnation: u64::MAX,
            ..account
        };
        let of_owner: Vec<(Duration, AccountId)> = self
            .accounts
            .range(first..=last)
            .map(|(id, known)| (known.heard_at, *id))
            .collect();
        if of_owner.len() >= ACCOUNTS_OF_OWNER {
            let removable = |id: AccountId| self.is_silent(now, id) && !self.may_hold_shares(id);
            let Some((_, oldest)) = of_owner.into_iter().filter(|(_, id)| removable(*id)).min()
            else {
                self.ignoring = Some(IgnoreReason::TooManyIncarnations);
                return false;
            };
            self.accounts.remove(&oldest);
        }
        if self.accounts.len() >= ACCOUNTS {
            self.ignoring = Some(IgnoreReason::TooManyAccounts);
            return false;
        }
        true
    }
}
