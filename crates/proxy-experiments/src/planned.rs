//! The decision module with the plan for the loss of a site before it, fed with what the program feeds it with.

use crate::member::Member;
use crate::policy::{Decider, View};
use routing::{
    Action, AttemptEnded, Consistency, Endpoint, EndpointState, EndpointUpdate, Event, Outcome,
    RequestId, ServerId, Settings, Time,
};
use rustc_hash::FxHashMap;
use site_failover::order::Standing;
use site_failover::{Class, Event as Sign, Kind, Plan};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time passes for the plan this often.
const TICK: Duration = Duration::from_millis(100);

/// The decision module behind the plan for the loss of a site.
pub struct Planned {
    module: Box<dyn Decider>,
    plan: Plan,
    named: BTreeSet<ServerId>,
    /// Group and class of each request that is open.
    open: FxHashMap<RequestId, (u32, u16)>,
    ticked: Time,
}

impl Planned {
    /// A module behind a plan for these settings.
    pub fn new(module: Box<dyn Decider>, settings: &Settings, now: Time) -> Planned {
        let mut plan = Plan::new(site_failover::Settings::default(), true, now.0);
        let class = |class: &routing::Class| Class {
            write: class.consistency == Consistency::Write,
            worth: class.priority_weight,
            aim: class.latency_objective,
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
                EndpointState::Ready => site_failover::Listed::Ready,
                EndpointState::Draining => site_failover::Listed::Draining,
                EndpointState::Removed => site_failover::Listed::Gone,
            };
            self.plan.handle(
                now.0,
                Sign::Listed {
                    server: entry.server.0,
                    site: entry.zone.0,
                    listed,
                },
            );
        }
        let named: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
        if complete {
            let gone: Vec<ServerId> = self.named.difference(&named).copied().collect();
            for store in gone {
                let listed = site_failover::Listed::Gone;
                self.plan.handle(
                    now.0,
                    Sign::Listed {
                        server: store.0,
                        site: 0,
                        listed,
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
            self.plan.served(now.0, server, group, class, ended.elapsed);
        }
        let sign = match ended.outcome {
            Outcome::ConnectFailed => Sign::Unreached { server },
            Outcome::Reset => Sign::Reset { server },
            Outcome::TimedOut => Sign::Silent { server },
            Outcome::Cancelled | Outcome::NotSent => return,
            _ => Sign::Answered { server },
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
            self.plan.handle(now.0, Sign::Tick);
        }
        match &mut event {
            Event::Endpoints(EndpointUpdate::Failed) => {
                self.plan.handle(now.0, Sign::List { heard: false })
            }
            Event::Endpoints(EndpointUpdate::Changes(entries)) => {
                self.listed(now, entries, false);
                self.plan.handle(now.0, Sign::List { heard: true });
            }
            Event::Endpoints(
                EndpointUpdate::Snapshot(entries) | EndpointUpdate::Cached(entries),
            ) => {
                self.listed(now, entries, true);
                self.plan.handle(now.0, Sign::List { heard: true });
            }
            Event::RequestArrived(arrival) => {
                let kind = Kind {
                    group: arrival.group.0,
                    write: self.plan.writes(arrival.class.0),
                    class: arrival.class.0,
                    tenant: arrival.tenant.0,
                    standing: Standing::Within,
                    repeated: arrival.is_client_retry,
                };
                self.open.insert(arrival.id, (kind.group, kind.class));
                arrival.shed_fraction = self.plan.asked(now.0, arrival.id.0, kind);
            }
            Event::AttemptEnded(ended) => self.ended(now, ended),
            Event::ClientLeft(id) => {
                self.open.remove(id);
                self.plan.left(id.0);
            }
            _ => {}
        }
        self.module.handle(now, event, view, actions);
        for action in &actions[before..] {
            match action {
                Action::Send { id, .. } => self.plan.settled(id.0, false),
                Action::Fail { id } | Action::Reject { id, .. } => {
                    self.open.remove(id);
                    self.plan
                        .settled(id.0, matches!(action, Action::Reject { .. }));
                }
                _ => {}
            }
        }
    }

    fn member(&mut self) -> Option<&mut Member> {
        self.module.member()
    }
}
