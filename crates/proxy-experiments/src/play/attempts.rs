//! Attempts at servers: dial, request, answer, timeout.

use super::*;

impl Simulation<'_> {
    pub(super) fn send_attempt(
        &mut self,
        proxy: usize,
        id: ClientAttemptId,
        to: ServerId,
        timeout: Duration,
    ) {
        let now = self.now;
        let server = host::server_index(to);
        self.checker.proxy_sends(id, server, now);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let class = &self.scenario.clients.classes[open.client_attempt.class];
        let (no, arrived_at, wait) = (open.attempts, open.arrived_at, open.client_attempt.timeout);
        open.attempts += 1;
        let min_position = match class.consistency {
            clients::Consistency::BoundedStaleness(age) => now.saturating_sub(age),
            _ => open.min_position,
        };
        // Of the request and the attempt alone, so that every policy sees the same work for them.
        let seed = self
            .streams
            .seed_of(open.client_attempt.request << 8 | u64::from(no));
        let mut draws = Xoshiro256PlusPlus::seed_from_u64(seed);
        let work = class.work.draw(open.client_attempt.session, &mut draws);
        let write = (class.consistency == clients::Consistency::Write).then_some(id);
        let operation = Operation {
            write,
            min_position,
            work,
        };
        self.tally.counts().attempts += 1;
        self.next += 1;
        let number = self.next;
        let epoch = self.hosts[proxy].epoch;
        let mut attempt = Attempt {
            id,
            no,
            server,
            proxy,
            epoch,
            sent: now,
            operation,
            state: State::Dialling,
            connected: false,
        };
        let keepalive = self.scenario.platform.keepalive;
        let life = self.site.started(server);
        if self.hosts[proxy]
            .pool(server)
            .take(life, now, keepalive, &mut self.site, server)
        {
            (attempt.state, attempt.connected) = (State::Written, true);
            self.attempts.insert(number, attempt);
            self.write_request(number, proxy, server);
        } else {
            self.attempts.insert(number, attempt);
            self.tally.counts().dials += 1;
            if let Some(delay) = self.delay_to_server(proxy, server) {
                self.wheel.put(now + delay, Step::DialReached(number));
            }
            let at = now + self.scenario.platform.dial_wait;
            self.wheel.put(
                at,
                Step::DialEnded {
                    attempt: number,
                    up: false,
                },
            );
        }
        // Without a time of its own it is waited for as long as the client waits.
        let longest = (arrived_at + wait).saturating_sub(now);
        let wait = if timeout.is_zero() {
            longest
        } else {
            timeout.as_micros() as Micros
        };
        self.wheel
            .put(now + wait.min(longest).max(1), Step::AttemptTimeout(number));
    }

    /// The request goes out on its connection; on a cut way it goes nowhere.
    pub(super) fn write_request(&mut self, attempt: u64, proxy: usize, server: ServerIndex) {
        if let Some(delay) = self.delay_to_server(proxy, server) {
            self.wheel
                .put(self.now + delay, Step::RequestReached(attempt));
        }
    }

    pub(super) fn dial_reached(&mut self, number: u64) {
        let Some(attempt) = self
            .attempts
            .get(&number)
            .filter(|a| a.state == State::Dialling)
        else {
            return;
        };
        let (server, proxy) = (attempt.server, attempt.proxy);
        let mut actions = std::mem::take(&mut self.site_actions);
        let up = self.site.dial(server, self.now, &mut actions);
        if up {
            self.background_work(proxy, server, self.scenario.site.dial_work);
        }
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.connected = up;
        }
        self.apply_site_actions(actions);
        // The welcome takes another way there and back.
        let mut took = 0;
        for _ in 0..if up { 3 } else { 1 } {
            match self.delay_to_proxy(server, proxy) {
                Some(delay) => took += delay,
                None => return,
            }
        }
        self.wheel.put(
            self.now + took,
            Step::DialEnded {
                attempt: number,
                up,
            },
        );
    }

    pub(super) fn dialled(&mut self, number: u64, up: bool) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        match attempt.state {
            State::Dialling if up => {
                attempt.state = State::Written;
                let (proxy, server) = (attempt.proxy, attempt.server);
                self.write_request(number, proxy, server);
            }
            State::Dialling => self.end_without_response(number, Outcome::ConnectFailed),
            State::Written | State::Over => {}
        }
    }

    /// A probe or a new connection has reached a server.
    pub(super) fn background_work(&mut self, proxy: usize, server: ServerIndex, work: Micros) {
        if self.site.runs(server) {
            let started = self.site.started(server);
            self.cold
                .record_background_work(self.now, proxy, server, started, work);
        }
    }

    pub(super) fn request_reached(&mut self, number: u64) {
        if let Some(attempt) = self.attempts.get(&number) {
            let (server, operation) = (attempt.server, attempt.operation);
            if self.site.runs(server) {
                let started = self.site.started(server);
                self.cold
                    .record_request(self.now, attempt.proxy, server, started, operation.work);
            }
            self.site(site::Event::Request {
                exchange: number << 1,
                server,
                operation,
            });
        }
    }

    /// An answer has come to its proxy, if that still waits for it.
    pub(super) fn response_received(
        &mut self,
        number: u64,
        outcome: Outcome,
        metadata: ResponseMetadata,
    ) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        if attempt.state == State::Over {
            self.attempts.remove(&number);
            return;
        }
        if outcome == Outcome::Cancelled {
            return self.end_without_response(number, outcome);
        }
        let Attempt {
            server,
            proxy,
            connected,
            ..
        } = *attempt;
        if connected && outcome != Outcome::Reset {
            let life = self.site.started(server);
            self.hosts[proxy].pool(server).give_back(life, self.now);
        }
        self.attempt_ended(number, outcome, metadata);
        self.attempts.remove(&number);
    }

    /// The proxy waits no longer; its connection, if there is one, ends with that.
    pub(super) fn end_without_response(&mut self, number: u64, outcome: Outcome) {
        let Some(attempt) = self
            .attempts
            .get_mut(&number)
            .filter(|a| a.state != State::Over)
        else {
            return;
        };
        attempt.state = State::Over;
        if std::mem::take(&mut attempt.connected) {
            self.site.hang_up(attempt.server);
        }
        self.attempt_ended(number, outcome, ResponseMetadata::default());
    }

    pub(super) fn attempt_ended(
        &mut self,
        number: u64,
        outcome: Outcome,
        metadata: ResponseMetadata,
    ) {
        let now = self.now;
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let Attempt {
            id,
            no,
            server,
            proxy,
            epoch,
            sent,
            operation,
            ..
        } = *attempt;
        self.checker.attempt_ends(id, outcome);
        if self.hosts[proxy].epoch != epoch {
            return;
        }
        self.tally.counts().misses += u64::from(outcome == Outcome::Misdirected);
        if outcome == Outcome::Ok && self.open.contains_key(&id) {
            let position = metadata
                .position
                .map_or(0, |at| (at.0.as_micros() as Micros).saturating_sub(ORIGIN));
            if operation.write.is_none()
                && operation.min_position > 0
                && position < operation.min_position
            {
                self.checker.report_violation(Rule::Stale);
            }
            let commit = if operation.write.is_some() {
                position
            } else {
                0
            };
            self.answer_client(id, Final::Served, clients::Answer::Served { commit });
        }
        let last = !self.open.contains_key(&id);
        let elapsed = span(now - sent);
        let (id, attempt, store) = (RequestId(id), AttemptNumber(no), server_id(server));
        self.deliver(
            proxy,
            Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                server: store,
                outcome,
                elapsed,
                request_finished: last,
                metadata,
            }),
        );
    }
}
