//! The record servers: what follows from what happens at them.

use super::*;

impl Simulation<'_> {
    pub(super) fn site(&mut self, event: site::Event) {
        let mut actions = std::mem::take(&mut self.site_actions);
        self.site.handle(self.now, event, &mut actions);
        self.apply_site_actions(actions);
    }

    pub(super) fn apply_site_actions(&mut self, mut actions: Vec<site::Action>) {
        let now = self.now;
        for action in actions.drain(..) {
            match action {
                site::Action::SetTimer(at, wake) => self.wheel.put(at, Step::Site(wake)),
                site::Action::Answer {
                    exchange,
                    answer,
                    metadata,
                } => {
                    self.response_sent(exchange >> 1, answer, metadata);
                }
                site::Action::LoadReport { exchange, report } => {
                    let probe = exchange >> 1;
                    let Some((server, proxy)) =
                        self.probes.get(&probe).map(|p| (p.server, p.proxy))
                    else {
                        continue;
                    };
                    if let Some(delay) = self.delay_to_proxy(server, proxy) {
                        self.wheel
                            .put(now + delay, Step::ProbeEnded { probe, report });
                    }
                }
                site::Action::Changed(server) => {
                    let record = catalog::Record::of(&self.site, server);
                    self.list(catalog::Event::Changed(record));
                }
                site::Action::Primary { group, server } => {
                    self.tally
                        .mark(now, format!("server {server} is primary of group {group}"));
                }
                site::Action::Vacant { group } => {
                    self.tally
                        .mark(now, format!("group {group} has no primary"));
                }
                site::Action::Applied { key, .. } => {
                    self.tally.counts().applied += 1;
                    self.checker.applied(key);
                }
                site::Action::Undone { server, .. } => {
                    self.tally.counts().undone += 1;
                    self.tally
                        .mark(now, format!("what server {server} took in last is undone"));
                }
                site::Action::Collapsed(server) => {
                    self.checker.report_violation(Rule::Collapsed);
                    self.tally
                        .mark(now, format!("server {server} is pushed over"));
                }
            }
        }
        if self.site_actions.capacity() < actions.capacity() {
            self.site_actions = actions;
        }
    }

    /// What a server says is on its way back.
    pub(super) fn response_sent(
        &mut self,
        attempt: u64,
        answer: Answer,
        metadata: Option<site::ResponseMetadata>,
    ) {
        let Some((server, proxy)) = self.attempts.get(&attempt).map(|a| (a.server, a.proxy)) else {
            return;
        };
        let outcome = match answer {
            Answer::Ok => Outcome::Ok,
            Answer::Misdirected => Outcome::Misdirected,
            Answer::Rejected => Outcome::Rejected,
            Answer::Failed => Outcome::Failed,
            Answer::Reset | Answer::Unreachable => Outcome::Reset,
        };
        let metadata = metadata.map_or(ResponseMetadata::default(), |n| ResponseMetadata {
            primary: Some(n.primary),
            position: Some(time(n.position)),
        });
        if let Some(delay) = self.delay_to_proxy(server, proxy) {
            self.wheel.put(
                self.now + delay,
                Step::Response {
                    attempt,
                    outcome,
                    metadata,
                },
            );
        } else if self
            .attempts
            .get(&attempt)
            .is_some_and(|a| a.state == State::Over)
        {
            self.attempts.remove(&attempt);
        }
    }
}
