//! Attempts at servers and their answers, and what clients do with them.

use super::messages::{ClientTask, ServerReply};
use super::state::{OpenAttempt, RunningRequest, State, TimerKind};
use invariant_checkers::{Final, Rule};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::Outcome;
use server_model::clients::{self, End, Need, Settled, TryId};
use server_model::site::{self, Answer, Ask, ServerIndex};
use server_model::Micros;
use tokio::sync::oneshot;

impl State {
    pub(super) fn request(
        &mut self,
        server: ServerIndex,
        id: TryId,
        now: Micros,
    ) -> Option<oneshot::Receiver<ServerReply>> {
        let asked = *self.tries.get(&id)?;
        let kind = &self.kinds[asked.kind];
        self.checker.sends(id, server, now);
        let no = self.attempts.entry(id).or_default();
        let seed = self.streams.seed_of(asked.request << 8 | u64::from(*no));
        *no = no.saturating_add(1);
        let work = kind
            .work
            .draw(asked.session, &mut Xoshiro256PlusPlus::seed_from_u64(seed));
        let write = kind.need == Need::Write;
        let need = match kind.need {
            Need::Bounded(age) => now.saturating_sub(age),
            Need::Session => asked.wrote,
            Need::Fresh => now,
            Need::Write | Need::Any => 0,
        };
        *self.reached.entry((asked.proxy, server)).or_default() += 1;
        self.next += 1;
        let (exchange, (answer, reply)) = (self.next, oneshot::channel());
        self.running.insert(
            exchange,
            RunningRequest {
                id,
                need,
                write,
                answer,
            },
        );
        let ask = Ask {
            write: write.then_some(id),
            need,
            work,
        };
        self.site(
            site::Event::Request {
                exchange,
                server,
                ask,
            },
            now,
        );
        Some(reply)
    }

    pub(super) fn complete_request(
        &mut self,
        exchange: u64,
        answer: Answer,
        note: Option<site::Note>,
    ) {
        let Some(RunningRequest {
            id,
            need,
            write,
            answer: reply,
        }) = self.running.remove(&exchange)
        else {
            return;
        };
        self.checker.ends(
            id,
            match answer {
                Answer::Ok => Outcome::Ok,
                Answer::Miss => Outcome::Misdirected,
                Answer::Full => Outcome::Rejected,
                Answer::Error => Outcome::Failed,
                Answer::Reset | Answer::Refused => Outcome::Reset,
            },
        );
        if answer == Answer::Ok {
            let position = note.map_or(0, |n| n.position);
            let stale = !write && need > 0 && position < need;
            self.made
                .insert(exchange, (id, if write { position } else { 0 }, stale));
        }
        _ = reply.send(ServerReply {
            answer,
            note,
            exchange,
        });
    }

    pub(super) fn clients(&mut self, event: clients::Event, now: Micros) {
        let mut actions = Vec::new();
        self.clients.handle(now, event, &mut actions);
        for action in actions {
            match action {
                clients::Action::DueAt(at, due) => self.set_timer(at, TimerKind::Client(due)),
                clients::Action::Ask(asked) => {
                    let (cancel, cancelled) = oneshot::channel();
                    self.open.insert(
                        asked.id,
                        OpenAttempt {
                            asked,
                            cancel: Some(cancel),
                        },
                    );
                    self.tries.insert(asked.id, asked);
                    _ = self.client_tasks.send(ClientTask {
                        asked,
                        until: now + asked.wait,
                        cancelled,
                    });
                }
                clients::Action::Leave { id, .. } => {
                    self.checker.gives_up(id, now);
                    // Its connection is closed by that.
                    drop(self.open.remove(&id).and_then(|o| o.cancel));
                }
                clients::Action::Settled(settled) => self.settled(&settled),
            }
        }
    }

    pub(super) fn settled(&mut self, settled: &Settled) {
        let book = &mut self.accounts[settled.kind];
        book.asked += 1;
        book.worth += settled.worth;
        book.earned += settled.earned;
        match settled.end {
            End::Served => book.served += 1,
            End::Refused => book.refused += 1,
            End::Failed => book.failed += 1,
            End::Left => book.left += 1,
        }
        if let Some(took) = settled.took {
            self.latencies[settled.kind].saturating_record(took.max(1));
        }
    }

    pub(super) fn answered(&mut self, id: TryId, end: Final, told: clients::Answer, now: Micros) {
        // What was told to somebody who left, or died with its proxy, is nobody's.
        if self.open.remove(&id).is_none() {
            return;
        }
        self.checker.answers(id, end, now);
        self.checker.over(id);
        self.clients(clients::Event::Answered(id, told), now);
    }

    pub(super) fn connection_lost(&mut self, id: TryId, reached: bool, now: Micros) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.checker.dies(id);
        if reached && !self.down.contains(&open.asked.proxy) {
            // Its proxy deaths, took it, and ended the connection without an answer.
            self.checker.breaks(Rule::Lost);
        }
        self.clients(
            clients::Event::Answered(id, clients::Answer::Gone { reached }),
            now,
        );
    }
}
