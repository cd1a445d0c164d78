//! A proxy as a member of a fleet: what it hears of its peers, its loans, and what it sends.

use super::counts::TenantCounts;
use super::messages::{Envelope, FleetSettings, Message};
use quota::{OtherProxies, QuotaMeter};
use quota_lending::{
    Action as LendingAction, Decision, Lender, Notice, Shortage, SHORTAGE_DURATION,
};
use routing::{Arrival, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// What another sees counts for so long after it was last heard, unless it is known to be dead.
const RATES_VALID_FOR: Duration = Duration::from_secs(60);
/// A loan is for one request: in thousandths.
pub(super) const ONE_REQUEST: u64 = 1000;

/// The last that was heard of another proxy.
pub(super) struct Peer {
    pub(super) start: u64,
    pub(super) heard: Time,
    pub(super) rates: Vec<f64>,
}

/// State of a proxy as a member of a fleet.
pub(super) struct FleetMember {
    pub(super) settings: FleetSettings,
    pub(super) core: Lender,
    pub(super) peers: BTreeMap<usize, Peer>,
    /// Those that were up, and whether it may lend, as the core was told last.
    pub(super) view: Option<(bool, Vec<(usize, u64)>)>,
    pub(super) timer: Option<(Time, u64)>,
    /// On its way to the file, and what the file has.
    pub(super) saving: Option<(u64, Vec<u8>)>,
    pub(super) file: Option<Vec<u8>>,
    pub(super) out: Vec<Message>,
    pub(super) announced: Option<Time>,
    /// Room is short until then, by its own eyes and by others' word.
    pub(super) short: Time,
    pub(super) shortage: Shortage,
    /// Of what was withheld, less than a thousandth.
    pub(super) remainder: Vec<f64>,
    /// What each lane of this process owed and had lent and repaid when it began.
    pub(super) began: Vec<(u64, u64)>,
}

impl FleetMember {
    pub(super) fn try_borrow(
        &mut self,
        now: Time,
        tenant: usize,
        arrival: &Arrival,
        counts: &mut [TenantCounts],
    ) -> bool {
        let (stand, class) = (
            &self.settings.tenants[tenant],
            &self.settings.classes[usize::from(arrival.class.0)],
        );
        let mut asked = Vec::new();
        let verdict = self
            .core
            .decide(now.0, stand, class, ONE_REQUEST, &mut asked);
        self.apply_lending_actions(now, asked, counts);
        verdict == Decision::Borrowed
    }

    /// Carries out what the lending core asks for.
    pub(super) fn apply_lending_actions(
        &mut self,
        now: Time,
        asked: Vec<LendingAction>,
        counts: &mut [TenantCounts],
    ) {
        for action in asked {
            match action {
                LendingAction::Publish {
                    kind, key, body, ..
                } => self.out.push(Message::LoanFact { kind, key, body }),
                LendingAction::Save { sequence, bytes } => self.saving = Some((sequence, bytes)),
                LendingAction::Timer { after, token } => {
                    self.timer = Some((now.plus(after), token))
                }
                LendingAction::Notice(Notice::WrittenOff { tenant, amount }) => {
                    let index = self
                        .settings
                        .tenants
                        .iter()
                        .position(|name| *name == tenant);
                    index
                        .and_then(|at| counts.get_mut(at))
                        .into_iter()
                        .for_each(|s| s.written_off += amount);
                }
                LendingAction::Notice(Notice::AccountLost) => {
                    // The account starts anew, as if it had lent that much less.
                    for (began, stand) in self.began.iter_mut().zip(counts.iter()) {
                        let lent = (stand.borrowed * ONE_REQUEST).wrapping_neg();
                        *began = (lent, (stand.returned + stand.repaid).wrapping_neg());
                    }
                }
                LendingAction::Notice(_) => {}
            }
        }
    }

    pub(super) fn handle(
        &mut self,
        now: Time,
        event: quota_lending::Event<'_>,
        counts: &mut [TenantCounts],
    ) {
        let mut asked = Vec::new();
        self.core.handle(now.0, event, &mut asked);
        self.apply_lending_actions(now, asked, counts);
    }

    pub(super) fn receive(&mut self, now: Time, envelope: &Envelope, counts: &mut [TenantCounts]) {
        let fresh = Peer {
            start: envelope.start,
            heard: envelope.sent_at,
            rates: Vec::new(),
        };
        let peer = self.peers.entry(envelope.sender).or_insert(fresh);
        if envelope.start < peer.start {
            return;
        }
        if envelope.start > peer.start {
            (peer.start, peer.rates) = (envelope.start, Vec::new());
        }
        let is_newer = envelope.sent_at >= peer.heard;
        peer.heard = peer.heard.max(envelope.sent_at);
        match &envelope.message {
            Message::Rates(rates) if is_newer => peer.rates.clone_from(rates),
            Message::Rates(_) => {}
            Message::CapacityShortage => {
                self.short = self.short.max(envelope.sent_at.plus(SHORTAGE_DURATION))
            }
            Message::LoanFact { kind, key, body } => {
                let source = self.settings.names[envelope.sender].clone();
                let (start, kind, age) = (envelope.start, *kind, now.since(envelope.sent_at));
                let event = quota_lending::Event::Message {
                    source: &source,
                    incarnation: start,
                    kind,
                    key,
                    body,
                    age,
                };
                let repaid = |core: &Lender, name: &String| {
                    core.totals(now.0, name).map_or(0, |book| book.repaid)
                };
                let names = self
                    .settings
                    .tenants
                    .iter()
                    .filter(|_| kind == quota_lending::messages::REPAYMENT_REPORT);
                let before: Vec<u64> = names.map(|name| repaid(&self.core, name)).collect();
                self.handle(now, event, counts);
                // Others may have paid for it.
                for ((stand, name), before) in counts
                    .iter_mut()
                    .zip(self.settings.tenants.iter())
                    .zip(before)
                {
                    stand.repaid += repaid(&self.core, name).saturating_sub(before);
                }
            }
        }
    }

    pub(super) fn tick(&mut self, now: Time, quota: &mut QuotaMeter, counts: &mut [TenantCounts]) {
        if let Some((sequence, bytes)) = self.saving.take() {
            self.file = Some(bytes);
            self.handle(now, quota_lending::Event::Saved(sequence), counts);
        }
        self.update_view(now, quota, counts);
        let own = self.shortage.is_in_shortage(now.0);
        if own {
            self.out.push(Message::CapacityShortage);
        }
        self.handle(
            now,
            quota_lending::Event::Shortage(own || now < self.short),
            counts,
        );
        if let Some((_, token)) = self.timer.take_if(|(at, _)| *at <= now) {
            self.handle(now, quota_lending::Event::Timer(token), counts);
        }
        for (tenant, name) in self.settings.tenants.iter().enumerate() {
            let (rate, used) = (
                quota.local_quota(tenant) * 1000.0,
                quota.utilization(tenant) * 1000.0,
            );
            let share = self
                .core
                .withhold(now.0, name, rate as u64, used.min(1e6) as u32);
            let withheld = quota.withhold(now.0, tenant, f64::from(share) / 1000.0);
            self.remainder[tenant] += withheld * ONE_REQUEST as f64;
            let whole = self.remainder[tenant].floor();
            self.remainder[tenant] -= whole;
            counts[tenant].repaid += self.core.repay(now.0, name, whole as u64);
        }
        if self
            .announced
            .is_none_or(|announced| now.since(announced) >= self.settings.announce_every)
        {
            self.announced = Some(now);
            self.out.push(Message::Rates(quota.rates(now.0).collect()));
        }
    }

    /// Most of the fleet is heard: then it may lend, and who is not heard is dead.
    pub(super) fn update_view(
        &mut self,
        now: Time,
        quota: &mut QuotaMeter,
        counts: &mut [TenantCounts],
    ) {
        let dead = self.settings.dead_after;
        let heard = |peer: &Peer| now.since(peer.heard) < dead;
        let up: Vec<(usize, u64)> = self
            .peers
            .iter()
            .filter(|(_, o)| heard(o))
            .map(|(at, o)| (*at, o.start))
            .collect();
        let majority = (up.len() + 1) * 2 > self.settings.names.len();
        self.peers.retain(|_, peer| {
            heard(peer) || (!majority && now.since(peer.heard) < RATES_VALID_FOR)
        });
        let mut peers = OtherProxies {
            proxies: 0,
            rates: vec![0.0; self.settings.tenants.len()],
        };
        for peer in self.peers.values().filter(|peer| !peer.rates.is_empty()) {
            peers.proxies += 1;
            peers
                .rates
                .iter_mut()
                .zip(&peer.rates)
                .for_each(|(sum, rate)| *sum += rate);
        }
        quota.set_other_proxies(Some(&peers).filter(|peers| peers.proxies > 0));
        let view = (majority, up);
        if self.view.as_ref() != Some(&view) {
            let names = self.settings.names.clone();
            let member = |(at, start): &(usize, u64)| quota_lending::Member {
                name: names[*at].clone(),
                incarnation: *start,
                up: true,
            };
            let members: Vec<_> = view.1.iter().map(member).collect();
            self.view = Some(view);
            let event = quota_lending::Event::Membership {
                may_lend: majority,
                roster: &names,
                members: &members,
            };
            self.handle(now, event, counts);
        }
    }
}
