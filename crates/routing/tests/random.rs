//! Random events with a fixed seed; the rules must hold in the actions whatever comes.

mod common;
use common::*;
use routing::*;
use std::collections::BTreeMap;
use std::time::Duration;

struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
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

struct World {
    set: Settings,
    requests: BTreeMap<RequestId, Tracked>,
    draining: BTreeMap<u32, Time>,
    position: BTreeMap<u32, Time>,
    ever_primary: BTreeMap<u32, bool>,
    answers: usize,
    sends: usize,
    log: Vec<Action>,
}

impl World {
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
                    let r = self
                        .requests
                        .get_mut(&id)
                        .expect("a send for a request that is open");
                    let class = &self.set.classes[usize::from(r.class)];
                    assert!(!r.answered, "a send after the final answer");
                    assert!(
                        now.plus(timeout) <= r.deadline,
                        "a time-out beyond the deadline"
                    );
                    assert!(
                        now.plus(begin_within) <= r.deadline,
                        "a begin beyond the deadline"
                    );
                    assert!(
                        !self.draining.contains_key(&server.0),
                        "a send to a draining server"
                    );
                    assert!(r.sent.len() < usize::from(self.set.attempt_limit));
                    assert!(
                        self.set.may_hedge || r.in_flight.is_empty(),
                        "two attempts at once"
                    );
                    match class.idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NonIdempotent => {
                            assert!(
                                r.earliest_effect.is_none() && r.in_flight.is_empty(),
                                "non-idempotent twice"
                            );
                        }
                        Idempotency::Keyed { window, .. } => {
                            let since = r
                                .in_flight
                                .iter()
                                .map(|&n| r.sent[usize::from(n)].0)
                                .chain(r.earliest_effect)
                                .min();
                            let arrives = now.plus(begin_within);
                            assert!(
                                since.is_none_or(|s| arrives < s.plus(window)),
                                "outside the window"
                            );
                        }
                    }
                    let need = match class.consistency {
                        Consistency::BoundedStaleness(bound) => now.minus(bound),
                        Consistency::ReadYourWrites => r.session_position,
                        Consistency::Strong => r.arrived,
                        Consistency::Write | Consistency::Eventual => Time::ZERO,
                    };
                    let told = self.position.get(&server.0).copied().unwrap_or_default();
                    let excused = self.ever_primary.get(&server.0) == Some(&true);
                    assert!(
                        told >= need || excused || self.set.staleness_check != StalenessCheck::None,
                        "a stale read"
                    );
                    r.in_flight.push(r.sent.len() as u16);
                    r.sent.push((now, server.0));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.answers += 1;
                    let r = self
                        .requests
                        .get_mut(&id)
                        .expect("an answer for a request that is open");
                    assert!(
                        !std::mem::replace(&mut r.answered, true),
                        "two final answers"
                    );
                    assert!(
                        now <= r.deadline.plus(5 * MS),
                        "an answer after the deadline"
                    );
                    let refused = matches!(action, Action::Reject { .. });
                    let safe = self.set.classes[usize::from(r.class)].idempotency
                        == Idempotency::Idempotent;
                    let clean = r.in_flight.is_empty() && r.earliest_effect.is_none();
                    assert!(!refused || safe || clean, "a refusal of what may have run");
                }
                Action::Cancel { .. } => assert!(self.set.may_cancel),
                Action::Probe { server } => assert!(server.0 <= 6 && self.set.may_probe),
                Action::Timer { .. } | Action::PollEndpoints => {}
            }
        }
    }
}

fn play(seed: u64, set: Settings) -> World {
    let mut dice = Dice(seed);
    let mut bench = Bench::without_reports(set.clone(), 6);
    let mut world = World {
        set,
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
        bench.wait(5 * MS);
        let now = bench.now;
        let actions = match dice.roll(10) {
            0..=3 => {
                let class = dice.roll(6) as u16;
                let arrival = bench.arrival(class);
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
                world.requests.insert(arrival.id, tracked);
                bench.event(Event::RequestArrived(arrival))
            }
            4..=6 => {
                let open = world
                    .requests
                    .iter()
                    .filter(|(_, r)| !r.in_flight.is_empty());
                let open: Vec<_> = open.map(|(&id, _)| id).collect();
                if open.is_empty() {
                    continue;
                }
                let id = &open[dice.roll(open.len() as u64) as usize];
                let tracked = &world.requests[id];
                let attempt = tracked.in_flight[dice.roll(tracked.in_flight.len() as u64) as usize];
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
                let outcome = outcomes[dice.roll(outcomes.len() as u64) as usize];
                let never_ran = matches!(
                    outcome,
                    Outcome::Rejected | Outcome::ConnectFailed | Outcome::Misdirected
                );
                let r = world.requests.get_mut(id).expect("it is open");
                r.in_flight.retain(|&n| n != attempt);
                if !never_ran {
                    r.earliest_effect = Some(r.earliest_effect.map_or(sent, |m| m.min(sent)));
                }
                let last = r.answered || outcome == Outcome::Ok;
                r.answered = last;
                let mut metadata = ResponseMetadata::default();
                if matches!(
                    outcome,
                    Outcome::Ok | Outcome::Rejected | Outcome::Misdirected | Outcome::Failed
                ) {
                    let primary = outcome != Outcome::Misdirected && dice.roll(3) == 0;
                    metadata.primary = Some(primary);
                    world.ever_primary.insert(server, primary);
                    if outcome == Outcome::Ok
                        && world.set.classes[usize::from(r.class)].consistency == Consistency::Write
                    {
                        metadata.position = Some(now.minus(MS));
                        commits = commits.max(now.minus(MS));
                    }
                }
                let (server, attempt, elapsed) =
                    (ServerId(server), AttemptNumber(attempt), now.since(sent));
                bench.event(Event::AttemptEnded(AttemptEnded {
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
                let server = 1 + dice.roll(6) as u32;
                let primary = dice.roll(4) == 0;
                let position = now.minus(dice.roll(900) as u32 * MS);
                let told = world.position.entry(server).or_default();
                *told = (*told).max(position);
                if primary {
                    world.ever_primary.insert(server, true);
                }
                bench.report(server, primary, now.since(position))
            }
            _ => {
                let server = 1 + dice.roll(6) as u32;
                let listed = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][dice.roll(4) as usize];
                match listed {
                    EndpointState::Ready => _ = world.draining.remove(&server),
                    _ => _ = world.draining.entry(server).or_insert(now),
                }
                let started = if dice.roll(3) == 0 { now } else { Time::ZERO };
                bench.list(vec![Endpoint {
                    started,
                    ..endpoint(server, listed)
                }])
            }
        };
        world.check(now, &actions);
        let timers = bench.event(Event::Timer(TimerToken(0)));
        world.check(now, &timers);
    }
    for _ in 0..250 {
        bench.wait(5 * MS);
        let actions = bench.event(Event::Timer(TimerToken(0)));
        world.check(bench.now, &actions);
    }
    assert!(
        world.requests.values().all(|r| r.answered),
        "every request has its final answer"
    );
    world
}

#[test]
fn the_rules_hold_whatever_comes() {
    for seed in 1..=12 {
        let checks = [
            StalenessCheck::None,
            StalenessCheck::Reject,
            StalenessCheck::Wait(100 * MS),
        ][seed as usize % 3];
        let set = Settings {
            staleness_check: checks,
            may_hedge: seed % 2 == 0,
            ..settings()
        };
        let World { sends, answers, .. } = play(seed * 7919, set);
        assert!(
            sends > 50 && answers > 100,
            "the play reaches both: {sends} sends, {answers} answers"
        );
    }
}

#[test]
fn the_same_events_make_the_same_actions() {
    assert_eq!(play(5, settings()).log, play(5, settings()).log);
}

/// A hundred routers with little traffic and a few with much share six members of a group, one of them
/// starting and one of them told to drain after a while; what they send is judged together.
#[test]
fn many_routers_keep_the_rules_together() {
    const ROUTERS: u64 = 100;
    /// Requests a second that a warm member can serve; the group is offered as much as all six can.
    const EACH: u64 = 40;
    for seed in 1..=3 {
        let set = Settings {
            router_count: ROUTERS as u32,
            ..settings()
        };
        let mut dice = Dice(seed * 104_729);
        let mut routers: Vec<Bench> = (0..ROUTERS)
            .map(|r| Bench::seeded(set.clone(), 6, seed << 32 | r))
            .collect();
        for bench in &mut routers {
            bench.list(vec![Endpoint {
                started: BEGIN,
                ..endpoint(6, EndpointState::Ready)
            }]);
            (1..=6).for_each(|s| _ = bench.report(s, s == 1, Duration::ZERO));
        }
        let mut pending: BTreeMap<Time, Vec<(usize, RequestId, u16, u32)>> = BTreeMap::new();
        let mut attempts: BTreeMap<(usize, RequestId), u16> = BTreeMap::new();
        let mut to_starting: Vec<u32> = vec![];
        let mut served = 0;
        for step in 0..6_000u32 {
            let now = BEGIN.plus(step * MS);
            let mut actions: Vec<(usize, Vec<Action>)> = vec![];
            if step == 2_000 {
                for (r, bench) in routers.iter_mut().enumerate() {
                    bench.now = now;
                    actions.push((r, bench.list(vec![endpoint(2, EndpointState::Draining)])));
                }
            }
            for (r, id, attempt, server) in pending.remove(&now).unwrap_or_default() {
                routers[r].now = now;
                served += 1;
                actions.push((r, routers[r].end(id, attempt, server, Outcome::Ok)));
            }
            if dice.roll(1_000) < 6 * EACH {
                let r = if dice.roll(2) == 0 {
                    dice.roll(3)
                } else {
                    dice.roll(ROUTERS)
                } as usize;
                routers[r].now = now;
                let class = [EVENTUAL, BOUNDED, EVENTUAL, SESSION][dice.roll(4) as usize];
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
                            let due = now.plus((10 + dice.roll(30) as u32) * MS);
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
        assert!(served > 500, "the play serves: {served}");
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
                "{sent} of at most {limit} in the second from {from} ms"
            );
        }
    }
}
