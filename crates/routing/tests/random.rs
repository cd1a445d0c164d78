//! Random events from a fixed seed; the rules must hold for all resulting actions.

mod common;
use common::*;
use routing::*;
use std::collections::BTreeMap;
use std::time::Duration;

struct XorShift(u64);

impl XorShift {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

#[derive(Clone)]
struct Tracked {
    class: u16,
    deadline: Time,
    arrived: Time,
    session_position: Time,
    sent: Vec<(Time, u32)>,
    in_flight: Vec<u16>,
    earliest_effect: Option<Time>,
    answered: bool,
}

struct RuleChecker {
    settings: Settings,
    requests: BTreeMap<RequestId, Tracked>,
    draining: BTreeMap<u32, Time>,
    position: BTreeMap<u32, Time>,
    ever_primary: BTreeMap<u32, bool>,
    answers: usize,
    sends: usize,
    log: Vec<Action>,
}

impl RuleChecker {
    fn check(&mut self, now: Time, actions: &[Action]) {
        self.log.extend_from_slice(actions);
        for action in actions {
            match *action {
                Action::Send {
                    id,
                    server,
                    timeout,
                    begin_within,
                } => {
                    self.sends += 1;
                    let request = self
                        .requests
                        .get_mut(&id)
                        .expect("a send must belong to an open request");
                    let class = &self.settings.classes[usize::from(request.class)];
                    assert!(!request.answered, "a send after the final answer");
                    assert!(
                        now.plus(timeout) <= request.deadline,
                        "the time-out exceeds the deadline"
                    );
                    assert!(
                        now.plus(begin_within) <= request.deadline,
                        "begin_within exceeds the deadline"
                    );
                    assert!(
                        !self.draining.contains_key(&server.0),
                        "a send to a draining server"
                    );
                    assert!(request.sent.len() < usize::from(self.settings.attempt_limit));
                    assert!(
                        self.settings.may_hedge || request.in_flight.is_empty(),
                        "two attempts in flight without hedging"
                    );
                    match class.idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NonIdempotent => {
                            assert!(
                                request.earliest_effect.is_none() && request.in_flight.is_empty(),
                                "a non-idempotent request sent again after it may have run"
                            );
                        }
                        Idempotency::Keyed { window, .. } => {
                            let since = request
                                .in_flight
                                .iter()
                                .map(|&n| request.sent[usize::from(n)].0)
                                .chain(request.earliest_effect)
                                .min();
                            let arrives = now.plus(begin_within);
                            assert!(
                                since.is_none_or(|s| arrives < s.plus(window)),
                                "a repetition outside the deduplication window"
                            );
                        }
                    }
                    let need = match class.consistency {
                        Consistency::BoundedStaleness(bound) => now.minus(bound),
                        Consistency::ReadYourWrites => request.session_position,
                        Consistency::Strong => request.arrived,
                        Consistency::Write | Consistency::Eventual => Time::ZERO,
                    };
                    let reported = self.position.get(&server.0).copied().unwrap_or_default();
                    let was_primary = self.ever_primary.get(&server.0) == Some(&true);
                    assert!(
                        reported >= need
                            || was_primary
                            || self.settings.staleness_check != StalenessCheck::None,
                        "a stale read"
                    );
                    request.in_flight.push(request.sent.len() as u16);
                    request.sent.push((now, server.0));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.answers += 1;
                    let request = self
                        .requests
                        .get_mut(&id)
                        .expect("an answer must belong to an open request");
                    assert!(
                        !std::mem::replace(&mut request.answered, true),
                        "two final answers"
                    );
                    assert!(
                        now <= request.deadline.plus(5 * MS),
                        "an answer after the deadline"
                    );
                    let is_rejection = matches!(action, Action::Reject { .. });
                    let is_idempotent = self.settings.classes[usize::from(request.class)]
                        .idempotency
                        == Idempotency::Idempotent;
                    let has_not_run =
                        request.in_flight.is_empty() && request.earliest_effect.is_none();
                    assert!(
                        !is_rejection || is_idempotent || has_not_run,
                        "a rejection of a request that may have run"
                    );
                }
                Action::Cancel { .. } => assert!(self.settings.may_cancel),
                Action::Probe { server } => assert!(server.0 <= 6 && self.settings.may_probe),
                Action::Timer { .. } | Action::PollEndpoints => {}
            }
        }
    }
}

fn run_random_events(seed: u64, settings: Settings) -> RuleChecker {
    let mut random = XorShift(seed);
    let mut harness = Harness::without_reports(settings.clone(), 6);
    let mut checker = RuleChecker {
        settings,
        requests: BTreeMap::new(),
        draining: BTreeMap::new(),
        position: BTreeMap::new(),
        ever_primary: BTreeMap::new(),
        answers: 0,
        sends: 0,
        log: vec![],
    };
    let mut commits = Time::ZERO;
    for _ in 0..2_000 {
        harness.advance(5 * MS);
        let now = harness.now;
        let actions = match random.below(10) {
            0..=3 => {
                let class = random.below(6) as u16;
                let arrival = harness.arrival(class);
                let tracked = Tracked {
                    class,
                    deadline: now.plus(arrival.time_left),
                    arrived: now,
                    session_position: commits,
                    sent: vec![],
                    in_flight: vec![],
                    earliest_effect: None,
                    answered: false,
                };
                checker.requests.insert(arrival.id, tracked);
                harness.event(Event::RequestArrived(arrival))
            }
            4..=6 => {
                let open = checker
                    .requests
                    .iter()
                    .filter(|(_, r)| !r.in_flight.is_empty());
                let open: Vec<_> = open.map(|(&id, _)| id).collect();
                if open.is_empty() {
                    continue;
                }
                let id = &open[random.below(open.len() as u64) as usize];
                let tracked = &checker.requests[id];
                let attempt =
                    tracked.in_flight[random.below(tracked.in_flight.len() as u64) as usize];
                let (sent, server) = tracked.sent[usize::from(attempt)];
                let outcomes = [
                    Outcome::Ok,
                    Outcome::Ok,
                    Outcome::Ok,
                    Outcome::Failed,
                    Outcome::Rejected,
                    Outcome::TimedOut,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Misdirected,
                ];
                let outcome = outcomes[random.below(outcomes.len() as u64) as usize];
                let never_ran = matches!(
                    outcome,
                    Outcome::Rejected | Outcome::ConnectFailed | Outcome::Misdirected
                );
                let request = checker.requests.get_mut(id).expect("the request is open");
                request.in_flight.retain(|&n| n != attempt);
                if !never_ran {
                    request.earliest_effect =
                        Some(request.earliest_effect.map_or(sent, |m| m.min(sent)));
                }
                let last = request.answered || outcome == Outcome::Ok;
                request.answered = last;
                let mut metadata = ResponseMetadata::default();
                if matches!(
                    outcome,
                    Outcome::Ok | Outcome::Rejected | Outcome::Misdirected | Outcome::Failed
                ) {
                    let primary = outcome != Outcome::Misdirected && random.below(3) == 0;
                    metadata.primary = Some(primary);
                    checker.ever_primary.insert(server, primary);
                    if outcome == Outcome::Ok
                        && checker.settings.classes[usize::from(request.class)].consistency
                            == Consistency::Write
                    {
                        metadata.position = Some(now.minus(MS));
                        commits = commits.max(now.minus(MS));
                    }
                }
                let (server, attempt, elapsed) =
                    (ServerId(server), AttemptNumber(attempt), now.since(sent));
                harness.event(Event::AttemptEnded(AttemptEnded {
                    id: *id,
                    attempt,
                    server,
                    outcome,
                    elapsed,
                    request_finished: last,
                    metadata,
                }))
            }
            7 | 8 => {
                let server = 1 + random.below(6) as u32;
                let primary = random.below(4) == 0;
                let position = now.minus(random.below(900) as u32 * MS);
                let reported = checker.position.entry(server).or_default();
                *reported = (*reported).max(position);
                if primary {
                    checker.ever_primary.insert(server, true);
                }
                harness.report(server, primary, now.since(position))
            }
            _ => {
                let server = 1 + random.below(6) as u32;
                let state = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][random.below(4) as usize];
                match state {
                    EndpointState::Ready => _ = checker.draining.remove(&server),
                    _ => _ = checker.draining.entry(server).or_insert(now),
                }
                let started = if random.below(3) == 0 {
                    now
                } else {
                    Time::ZERO
                };
                harness.update_endpoints(vec![Endpoint {
                    started,
                    ..endpoint(server, state)
                }])
            }
        };
        checker.check(now, &actions);
        let timers = harness.event(Event::Timer(TimerToken(0)));
        checker.check(now, &timers);
    }
    for _ in 0..250 {
        harness.advance(5 * MS);
        let actions = harness.event(Event::Timer(TimerToken(0)));
        checker.check(harness.now, &actions);
    }
    assert!(
        checker.requests.values().all(|r| r.answered),
        "every request has its final answer"
    );
    checker
}

#[test]
fn the_rules_hold_for_random_events() {
    for seed in 1..=12 {
        let staleness_check = [
            StalenessCheck::None,
            StalenessCheck::Reject,
            StalenessCheck::Wait(100 * MS),
        ][seed as usize % 3];
        let set = Settings {
            staleness_check,
            may_hedge: seed % 2 == 0,
            ..settings()
        };
        let RuleChecker { sends, answers, .. } = run_random_events(seed * 7919, set);
        assert!(
            sends > 50 && answers > 100,
            "too few events: {sends} sends, {answers} answers"
        );
    }
}

#[test]
fn the_same_events_make_the_same_actions() {
    assert_eq!(
        run_random_events(5, settings()).log,
        run_random_events(5, settings()).log
    );
}

/// A hundred routers with little traffic and a few with much share six members of a group, of which one is starting and
/// one drains after a while. The checks cover the attempts of all routers together.
#[test]
fn many_routers_keep_the_rules_together() {
    const ROUTERS: u64 = 100;
    /// Requests per second that a warm member can serve; the offered load is what all six members can serve.
    const EACH: u64 = 40;
    for seed in 1..=3 {
        let set = Settings {
            router_count: ROUTERS as u32,
            ..settings()
        };
        let mut random = XorShift(seed * 104_729);
        let mut routers: Vec<Harness> = (0..ROUTERS)
            .map(|r| Harness::with_seed(set.clone(), 6, seed << 32 | r))
            .collect();
        for harness in &mut routers {
            harness.update_endpoints(vec![Endpoint {
                started: START,
                ..endpoint(6, EndpointState::Ready)
            }]);
            (1..=6).for_each(|s| _ = harness.report(s, s == 1, Duration::ZERO));
        }
        let mut pending: BTreeMap<Time, Vec<(usize, RequestId, u16, u32)>> = BTreeMap::new();
        let mut attempts: BTreeMap<(usize, RequestId), u16> = BTreeMap::new();
        let mut to_starting: Vec<u32> = vec![];
        let mut served = 0;
        for step in 0..6_000u32 {
            let now = START.plus(step * MS);
            let mut actions: Vec<(usize, Vec<Action>)> = vec![];
            if step == 2_000 {
                for (r, harness) in routers.iter_mut().enumerate() {
                    harness.now = now;
                    actions.push((
                        r,
                        harness.update_endpoints(vec![endpoint(2, EndpointState::Draining)]),
                    ));
                }
            }
            for (r, id, attempt, server) in pending.remove(&now).unwrap_or_default() {
                routers[r].now = now;
                served += 1;
                actions.push((r, routers[r].end_attempt(id, attempt, server, Outcome::Ok)));
            }
            if random.below(1_000) < 6 * EACH {
                let r = if random.below(2) == 0 {
                    random.below(3)
                } else {
                    random.below(ROUTERS)
                } as usize;
                routers[r].now = now;
                let class = [EVENTUAL, BOUNDED, EVENTUAL, SESSION][random.below(4) as usize];
                actions.push((r, routers[r].request(class).1));
            }
            while let Some((r, list)) = actions.pop() {
                for action in list {
                    match action {
                        Action::Send { id, server, .. } => {
                            assert!(
                                server != ServerId(2) || step < 2_000,
                                "a send to a draining server"
                            );
                            if server == ServerId(6) {
                                to_starting.push(step);
                            }
                            let no = attempts.entry((r, id)).or_default();
                            let due = now.plus((10 + random.below(30) as u32) * MS);
                            pending.entry(due).or_default().push((r, id, *no, server.0));
                            *no += 1;
                        }
                        Action::Probe { server } => {
                            actions.push((
                                r,
                                routers[r].report(server.0, server == ServerId(1), Duration::ZERO),
                            ));
                        }
                        _ => {}
                    }
                }
            }
        }
        assert!(served > 500, "too few requests served: {served}");
        assert!(!to_starting.is_empty());
        for (i, &from) in to_starting.iter().enumerate() {
            let sent = to_starting[i..]
                .iter()
                .take_while(|&&at| at < from + 1_000)
                .count() as f64;
            let capacity = 0.25 + 0.75 * f64::from(from) / 10_000.0;
            let limit = 3.0 * capacity * EACH as f64;
            assert!(
                sent <= limit,
                "{sent} attempts, at most {limit} allowed, in the second from {from} ms"
            );
        }
    }
}
