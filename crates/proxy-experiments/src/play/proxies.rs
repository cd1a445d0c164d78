//! A proxy's policy: the events that it gets, and the actions that it asks for.

use super::*;

impl Simulation<'_> {
    pub(super) fn deliver(&mut self, proxy: usize, event: Event) {
        let now = self.now;
        let host = &mut self.hosts[proxy];
        let Some(mut policy) = host.policy.take() else {
            return;
        };
        let mut actions = std::mem::take(&mut host.actions);
        let spot = Location {
            place: host.place,
            proxy: Some(proxy),
        };
        let mut cluster = ClusterView {
            site: &mut self.site,
            network: &self.network,
            spot,
            ready: &host.ready,
            open: &self.open,
            now,
            cores: self.scenario.site.server.cores,
            mean_work: self.mean_work,
        };
        policy.handle(time(now), event, &mut cluster, &mut actions);
        self.hosts[proxy].policy = Some(policy);
        for action in actions.drain(..) {
            self.apply_action(proxy, action);
        }
        self.hosts[proxy].actions = actions;
    }

    pub(super) fn apply_action(&mut self, proxy: usize, action: Action) {
        let now = self.now;
        let epoch = self.hosts[proxy].epoch;
        match action {
            Action::Send {
                id,
                server: store,
                timeout,
                ..
            } => self.send_attempt(proxy, id.0, store, timeout),
            Action::Cancel { id, attempt } => {
                let wanted = |a: &Attempt| a.id == id.0 && a.no == attempt.0 && a.proxy == proxy;
                let found = self
                    .attempts
                    .iter()
                    .find(|(_, a)| wanted(a))
                    .map(|(number, _)| *number);
                if let Some(attempt) = found {
                    // It is told in a later step, as everything is.
                    let (outcome, metadata) = (Outcome::Cancelled, ResponseMetadata::default());
                    self.wheel.put(
                        now + 1,
                        Step::Response {
                            attempt,
                            outcome,
                            metadata,
                        },
                    );
                }
            }
            Action::Reject { id, retry_after } => {
                let retry_after = retry_after.map(|after| after.as_micros() as Micros);
                self.answer_client(
                    id.0,
                    Final::Rejected,
                    clients::Answer::Rejected { retry_after },
                );
            }
            Action::Fail { id } => self.answer_client(id.0, Final::Failed, clients::Answer::Failed),
            Action::Probe { server: store } => self.probe(proxy, store),
            Action::Timer { after, token } => {
                let at = now + (after.as_micros() as Micros).max(1);
                self.wheel.put(
                    at,
                    Step::PolicyTimer {
                        proxy,
                        epoch,
                        token,
                    },
                );
            }
            Action::PollEndpoints => {
                let to = Location {
                    place: LIST_PLACE,
                    proxy: None,
                };
                let after = self.hosts[proxy].index;
                match self
                    .network
                    .one_way(self.spot(proxy), to, &mut self.network_draws)
                {
                    Some(delay) => self.wheel.put(
                        now + delay,
                        Step::WatchRequest {
                            proxy,
                            epoch,
                            after,
                        },
                    ),
                    None => {
                        let update = Box::new(catalog::Action::Fail(proxy));
                        let at = now + self.scenario.platform.dial_wait;
                        self.wheel.put(
                            at,
                            Step::EndpointUpdate {
                                proxy,
                                epoch,
                                update,
                            },
                        );
                    }
                }
            }
        }
    }
}
