//! The decision module with the plan for the loss of a site before it, fed with what the program feeds it with.

use crate::member::Member;
use crate::policy::{Decider, View};
use routing::{
    Action, AttemptEnded, Consistency, Endpoint, EndpointState, EndpointUpdate, Event, Outcome,
    RequestId, ServerId, Settings, Time,
};
use rustc_hash::FxHashMap;
use site_failover::{Class, Event as SiteEvent, FailoverPlan, QuotaStatus, RequestKind};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time passes for the plan this often.
const TICK: Duration = Duration::from_millis(100);

/// The decision module behind the plan for the loss of a site.
pub struct Planned {
    module: Box<dyn Decider>,
    plan: FailoverPlan,
    named: BTreeSet<ServerId>,
    /// Group and class of each request that is open.
    open: FxHashMap<RequestId, (u32, u16)>,
    ticked: Time,
}

impl Planned {
    /// A module behind a plan for these settings.
    pub fn new(module: Box<dyn Decider>, settings: &Settings, now: Time) -> Planned {
        let mut plan = FailoverPlan::new(site_failover::Settings::default(), true, now.0);
        let class = |class: &routing::Class| Class {
            write: class.consistency == Consistency::Write,
            priority_weight: class.priority_weight,
            latency_objective: class.latency_objective,
        };
        let quotas = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .collect();
        plan.configure(
            settings.classes.iter().map(class).collect(),
            quotas,
            settings.over_quota_weight_fraction,
        );
        Planned {
            module,
            plan,
            named: BTreeSet::new(),
            open: FxHashMap::default(),
            ticked: now,
        }
    }

    fn listed(&mut self, now: Time, entries: &[Endpoint], complete: bool) {
        for entry in entries {
            let listed = match entry.state {
                EndpointState::Ready => site_failover::EndpointState::Ready,
                EndpointState::Draining => site_failover::EndpointState::Draining,
                EndpointState::Removed => site_failover::EndpointState::Removed,
            };
            self.plan.handle(
                now.0,
                SiteEvent::Endpoint {
                    server: entry.server.0,
                    site: entry.zone.0,
                    state: listed,
                },
            );
        }
        let named: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
        if complete {
            let gone: Vec<ServerId> = self.named.difference(&named).copied().collect();
            for store in gone {
                let listed = site_failover::EndpointState::Removed;
                self.plan.handle(
                    now.0,
                    SiteEvent::Endpoint {
                        server: store.0,
                        site: 0,
                        state: listed,
                    },
                );
            }
            self.named.clear();
        }
        self.named.extend(named);
    }

    fn ended(&mut self, now: Time, ended: &AttemptEnded) {
        let server = ended.server.0;
        let asked = if ended.request_finished {
            self.open.remove(&ended.id)
        } else {
            self.open.get(&ended.id).copied()
        };
        if let (Some((group, class)), Outcome::Ok) = (asked, ended.outcome) {
            self.plan
                .record_served(now.0, server, group, class, ended.elapsed);
        }
        let sign = match ended.outcome {
            Outcome::ConnectFailed => SiteEvent::ConnectFailed { server },
            Outcome::Reset => SiteEvent::Reset { server },
            Outcome::TimedOut => SiteEvent::TimedOut { server },
            Outcome::Cancelled | Outcome::NotSent => return,
            _ => SiteEvent::Answered { server },
        };
        self.plan.handle(now.0, sign);
    }
}

impl Decider for Planned {
    fn handle(
        &mut self,
        now: Time,
        mut event: Event,
        view: &mut dyn View,
        actions: &mut Vec<Action>,
    ) {
        let before = actions.len();
        if now.since(self.ticked) >= TICK {
            self.ticked = now;
            self.plan.handle(now.0, SiteEvent::Tick);
        }
        match &mut event {
            Event::Endpoints(EndpointUpdate::Failed) => self
                .plan
                .handle(now.0, SiteEvent::ListUpdated { connected: false }),
            Event::Endpoints(EndpointUpdate::Changes(entries)) => {
                self.listed(now, entries, false);
                self.plan
                    .handle(now.0, SiteEvent::ListUpdated { connected: true });
            }
            Event::Endpoints(
                EndpointUpdate::Snapshot(entries) | EndpointUpdate::Cached(entries),
            ) => {
                self.listed(now, entries, true);
                self.plan
                    .handle(now.0, SiteEvent::ListUpdated { connected: true });
            }
            Event::RequestArrived(arrival) => {
                let kind = RequestKind {
                    group: arrival.group.0,
                    write: self.plan.is_write(arrival.class.0),
                    class: arrival.class.0,
                    tenant: arrival.tenant.0,
                    quota_status: QuotaStatus::WithinQuota,
                    is_retry: arrival.is_client_retry,
                };
                self.open.insert(arrival.id, (kind.group, kind.class));
                arrival.shed_fraction = self.plan.record_request(now.0, arrival.id.0, kind);
            }
            Event::AttemptEnded(ended) => self.ended(now, ended),
            Event::ClientLeft(id) => {
                self.open.remove(id);
                self.plan.forget_request(id.0);
            }
            _ => {}
        }
        self.module.handle(now, event, view, actions);
        for action in &actions[before..] {
            match action {
                Action::Send { id, .. } => self.plan.record_outcome(id.0, false),
                Action::Fail { id } | Action::Reject { id, .. } => {
                    self.open.remove(id);
                    self.plan
                        .record_outcome(id.0, matches!(action, Action::Reject { .. }));
                }
                _ => {}
            }
        }
    }

    fn member(&mut self) -> Option<&mut Member> {
        self.module.member()
    }
}
