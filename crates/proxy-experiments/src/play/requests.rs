//! Client attempts: their arrival at a proxy, and their final answers.

use super::*;

impl Simulation<'_> {
    pub(super) fn clients(&mut self, event: clients::Event) {
        let mut actions = std::mem::take(&mut self.client_actions);
        self.clients.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                clients::Action::SetTimer(at, due) => {
                    self.wheel
                        .put(at, Step::Clients(clients::Event::Timer(due)));
                }
                clients::Action::Send(client_attempt) => self.send_to_proxy(client_attempt),
                clients::Action::Abandon { id, proxy } => self.client_left(id, proxy),
                clients::Action::Settled(settled) => {
                    self.lots.settled(settled.request);
                    self.tally.settled(&settled);
                }
            }
        }
        // What they did may have made them do more, with a buffer of its own.
        if self.client_actions.capacity() < actions.capacity() {
            self.client_actions = actions;
        }
    }

    pub(super) fn send_to_proxy(&mut self, client_attempt: ClientAttempt) {
        let now = self.now;
        let Some(host) = self.hosts.get(client_attempt.proxy) else {
            return;
        };
        if !host.up() {
            return self.clients(clients::Event::Answered(
                client_attempt.id,
                clients::Answer::ConnectionLost { reached: false },
            ));
        }
        let class = &self.scenario.clients.classes[client_attempt.class];
        let write = class.consistency == clients::Consistency::Write;
        let min_position = match class.consistency {
            clients::Consistency::ReadYourWrites => client_attempt.last_write,
            clients::Consistency::Strong => now,
            _ => 0,
        };
        self.tally.counts().tries += 1;
        self.checker.client_sends(
            client_attempt.id,
            client_attempt.request,
            class.idempotency,
            write,
            client_attempt.proxy,
            now + client_attempt.timeout,
        );
        let drawn = self.lots.draw(
            client_attempt.request,
            client_attempt.tenant,
            client_attempt.within_quota,
        );
        self.open.insert(
            client_attempt.id,
            OpenAttempt {
                client_attempt,
                drawn,
                arrived_at: now,
                attempts: 0,
                answered: false,
                min_position,
            },
        );
        let sessions = matches!(
            class.consistency,
            clients::Consistency::ReadYourWrites | clients::Consistency::Write
        );
        let arrival = Arrival {
            id: RequestId(client_attempt.id),
            class: ClassId(client_attempt.class as u16),
            client_class: None,
            tenant: TenantId(client_attempt.tenant as u16),
            group: GroupId(client_attempt.group),
            session: sessions.then_some(SessionKey(client_attempt.session)),
            time_left: span(client_attempt.timeout.saturating_sub(MARGIN).max(1)),
            session_position: (client_attempt.last_write > 0)
                .then(|| SessionPosition::Ago(span(now.saturating_sub(client_attempt.last_write)))),
            is_client_retry: client_attempt.is_retry,
            quota_status: QuotaStatus::WithinQuota,
            attempt_limit: None,
            shed_fraction: 0.0,
        };
        self.deliver(client_attempt.proxy, Event::RequestArrived(arrival));
    }

    /// Its client no longer waits.
    pub(super) fn client_left(&mut self, id: ClientAttemptId, proxy: usize) {
        self.checker.client_gives_up(id, self.now);
        if self.open.remove(&id).is_some_and(|open| !open.answered) {
            self.deliver(proxy, Event::ClientLeft(RequestId(id)));
        }
    }

    pub(super) fn answer_client(
        &mut self,
        id: ClientAttemptId,
        answer: Final,
        answer_to_client: clients::Answer,
    ) {
        self.checker.proxy_answers(id, answer, self.now);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        self.open.remove(&id);
        self.checker.client_done(id);
        self.clients(clients::Event::Answered(id, answer_to_client));
    }
}
