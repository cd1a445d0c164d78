//! Events: each is delegated to the rule that it concerns.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::event::{Action, Event, Member};
use crate::identity::name_number;
use crate::lender::Lender;
use crate::limits::BOOTSTRAP_MEMBERS;
use crate::notice::Notice;
use crate::receive::Incoming;
use crate::rules::Rules;

impl Lender {
    /// Handles an event, and appends what the host has to do. `now` never goes back.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Membership {
                may_lend,
                roster,
                members,
            } => self.on_membership(may_lend, roster, members, actions),
            Event::Message {
                source,
                incarnation,
                kind,
                key,
                body,
                age,
            } => {
                let incoming = Incoming {
                    source: name_number(source),
                    incarnation,
                    kind,
                    key,
                    body,
                    age,
                };
                self.on_message(now, &incoming, actions);
            }
            Event::Rules(rules) => self.on_rules(now, rules),
            Event::Shortage(shortage) => self.shortage = shortage,
            Event::LendingWindow { tenant, open } => self.on_lending_window(tenant, open),
            Event::Saved(sequence) => self.receive_saved(now, sequence, actions),
            Event::Timer(token) => self.on_timer(now, token, actions),
        }
        self.save(now, actions);
    }

    fn on_membership(
        &mut self,
        may_lend: bool,
        roster: &[String],
        members: &[Member],
        actions: &mut Vec<Action>,
    ) {
        self.may_lend = may_lend;
        let numbers: BTreeSet<u32> = roster.iter().map(|name| name_number(name)).collect();
        if numbers.len() < roster.len() {
            actions.push(Action::Notice(Notice::NameCollision));
            self.may_lend = false;
            return;
        }
        let too_long = numbers.len() > BOOTSTRAP_MEMBERS && !self.state.is_bootstrapped();
        if numbers != self.roster && too_long {
            actions.push(Action::Notice(Notice::RosterTooLong(numbers.len())));
        }
        self.roster = numbers;
        self.up = members
            .iter()
            .filter(|member| member.up)
            .map(|member| name_number(&member.name))
            .collect();
        self.up.insert(self.number);
    }

    fn on_message(&mut self, now: Duration, incoming: &Incoming<'_>, actions: &mut Vec<Action>) {
        if incoming.source != self.number && self.receive(now, incoming).is_err() {
            self.malformed = self.malformed.saturating_add(1);
        }
        if let Some(reason) = self.ignoring.take() {
            self.ignored = self.ignored.saturating_add(1);
            if self.ignored_notified.insert(reason) {
                let notice = Notice::Ignored(reason, incoming.source);
                actions.push(Action::Notice(notice));
            }
        }
        self.refresh(now);
    }

    fn on_rules(&mut self, now: Duration, rules: Rules) {
        self.rules = rules;
        self.refresh(now);
    }

    fn on_lending_window(&mut self, tenant: &str, open: bool) {
        let tenant = name_number(tenant);
        if open {
            self.closed_tenants.remove(&tenant);
        } else {
            self.closed_tenants.insert(tenant);
        }
    }

    fn on_timer(&mut self, now: Duration, token: u64, actions: &mut Vec<Action>) {
        if token != self.timer_token {
            return;
        }
        if self.timer_token == 0 {
            self.on_start(actions);
        }
        self.timer_token += 1;
        actions.push(Action::Timer {
            after: self.exchange_interval,
            token: self.timer_token,
        });
        self.step(now, actions);
    }

    fn on_start(&mut self, actions: &mut Vec<Action>) {
        if let Some(bad_file) = self.bad_file {
            actions.push(Action::Notice(Notice::BadFile(bad_file)));
        }
        self.unsaved_changes = true;
    }

    fn step(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.bootstrap(now, actions);
        self.write_off(now, actions);
        if self.has_lost_account() {
            self.replace_lost_account(actions);
        }
        self.send_heartbeat(now, actions);
        self.claim_accounts(now, actions);
        self.refresh(now);
        self.send_spare_shares(now);
        for tenant in self.state.balances.keys().copied().collect::<Vec<_>>() {
            self.reserve(tenant);
        }
        self.forget_expired(now);
        self.publish_repayments(now, actions);
        self.publish_state(now, actions);
    }

    fn forget_expired(&mut self, now: Duration) {
        self.claims.retain(|_, until| *until > now);
        let ttl = self.message_ttl();
        self.published
            .retain(|_, published| now < published.last_at + ttl);
    }
}
