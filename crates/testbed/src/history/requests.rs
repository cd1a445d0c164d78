//! Handles attempts at servers, their answers, and the clients' reactions.

use super::messages::{ClientTask, ServerReply};
use super::state::{OpenAttempt, RunningRequest, State, TimerKind};
use invariant_checkers::Final;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::Outcome;
use server_model::clients::{self, ClientAttemptId, Consistency, RequestOutcome, Settled};
use server_model::site::{self, Answer, Operation, ServerIndex};
use server_model::Micros;
use tokio::sync::oneshot;

impl State {
    pub(super) fn request(
        &mut self,
        server: ServerIndex,
        id: ClientAttemptId,
        now: Micros,
    ) -> Option<oneshot::Receiver<ServerReply>> {
        let asked = *self.attempts_by_id.get(&id)?;
        self.check_client_is_there(id, now);
        let class = &self.classes[asked.class];
        self.checker.proxy_sends(id, server, now);
        let no = self.server_attempts.entry(id).or_default();
        let seed = self.streams.seed_of(asked.request << 8 | u64::from(*no));
        *no = no.saturating_add(1);
        let work = class
            .work
            .draw(asked.session, &mut Xoshiro256PlusPlus::seed_from_u64(seed));
        let write = class.consistency == Consistency::Write;
        let min_position = match class.consistency {
            Consistency::BoundedStaleness(age) => now.saturating_sub(age),
            Consistency::ReadYourWrites => asked.last_write,
            Consistency::Strong => now,
            Consistency::Write | Consistency::Eventual => 0,
        };
        *self.reached.entry((asked.proxy, server)).or_default() += 1;
        self.next += 1;
        let (exchange, (answer, reply)) = (self.next, oneshot::channel());
        self.running.insert(
            exchange,
            RunningRequest {
                id,
                min_position,
                write,
                answer,
            },
        );
        let operation = Operation {
            write: write.then_some(id),
            min_position,
            work,
        };
        self.site(
            site::Event::Request {
                exchange,
                server,
                operation,
            },
            now,
        );
        Some(reply)
    }

    pub(super) fn complete_request(
        &mut self,
        exchange: u64,
        answer: Answer,
        metadata: Option<site::ResponseMetadata>,
    ) {
        let Some(RunningRequest {
            id,
            min_position,
            write,
            answer: reply,
        }) = self.running.remove(&exchange)
        else {
            return;
        };
        self.checker.attempt_ends(
            id,
            match answer {
                Answer::Ok => Outcome::Ok,
                Answer::Misdirected => Outcome::Misdirected,
                Answer::Rejected => Outcome::Rejected,
                Answer::Failed => Outcome::Failed,
                Answer::Reset | Answer::Unreachable => Outcome::Reset,
            },
        );
        if answer == Answer::Ok {
            let position = metadata.map_or(0, |n| n.position);
            let stale = !write && min_position > 0 && position < min_position;
            self.made
                .insert(exchange, (id, if write { position } else { 0 }, stale));
        }
        _ = reply.send(ServerReply {
            answer,
            metadata,
            exchange,
        });
    }

    pub(super) fn clients(&mut self, event: clients::Event, now: Micros) {
        let mut actions = Vec::new();
        self.clients.handle(now, event, &mut actions);
        for action in actions {
            match action {
                clients::Action::SetTimer(at, due) => self.set_timer(at, TimerKind::Client(due)),
                clients::Action::Send(asked) => {
                    let (cancel, cancelled) = oneshot::channel();
                    self.open.insert(
                        asked.id,
                        OpenAttempt {
                            asked,
                            cancel: Some(cancel),
                        },
                    );
                    self.attempts_by_id.insert(asked.id, asked);
                    _ = self.client_tasks.send(ClientTask {
                        asked,
                        until: now + asked.timeout,
                        cancelled,
                    });
                }
                clients::Action::Abandon { id, .. } => {
                    self.checker.client_gives_up(id, now);
                    // Dropping the sender makes the client close its connection.
                    drop(self.open.remove(&id).and_then(|o| o.cancel));
                }
                clients::Action::Settled(settled) => self.settled(&settled),
            }
        }
    }

    pub(super) fn settled(&mut self, settled: &Settled) {
        let account = &mut self.accounts[settled.class];
        account.requests += 1;
        account.priority_weight += settled.priority_weight;
        account.earned += settled.earned;
        match settled.outcome {
            RequestOutcome::Served => account.served += 1,
            RequestOutcome::Rejected => account.rejected += 1,
            RequestOutcome::Failed => account.failed += 1,
            RequestOutcome::Abandoned => account.abandoned += 1,
        }
        if let Some(latency) = settled.latency {
            self.latencies[settled.class].saturating_record(latency.max(1));
        }
    }

    pub(super) fn answered(
        &mut self,
        id: ClientAttemptId,
        answer: Final,
        told: clients::Answer,
        now: Micros,
    ) {
        // Ignores an answer to a client that has left or whose proxy was killed.
        if self.open.remove(&id).is_none() {
            return;
        }
        self.checker.proxy_answers(id, answer, now);
        self.checker.client_done(id);
        self.clients(clients::Event::Answered(id, told), now);
    }

    pub(super) fn connection_lost(&mut self, id: ClientAttemptId, reached: bool, now: Micros) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.checker.proxy_dies(id);
        if reached && !self.down.contains(&open.asked.proxy) {
            // A running proxy accepted the attempt and closed the connection without an answer.
            self.lost(&open.asked, now);
        }
        self.clients(
            clients::Event::Answered(id, clients::Answer::ConnectionLost { reached }),
            now,
        );
    }
}
