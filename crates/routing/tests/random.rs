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
    came: Time,
    token: Time,
    sent: Vec<(Time, u32)>,
    out: Vec<u16>,
    earliest_maybe: Option<Time>,
    answered: bool,
}

struct World {
    set: Settings,
    requests: BTreeMap<RequestId, Tracked>,
    told_leaving: BTreeMap<u32, Time>,
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
                    store,
                    time_out,
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
                        now.plus(time_out) <= r.deadline,
                        "a time-out beyond the deadline"
                    );
                    assert!(
                        now.plus(begin_within) <= r.deadline,
                        "a begin beyond the deadline"
                    );
                    assert!(
                        !self.told_leaving.contains_key(&store.0),
                        "a send to a leaving store"
                    );
                    assert!(r.sent.len() < usize::from(self.set.try_limit));
                    assert!(
                        self.set.second_copies || r.out.is_empty(),
                        "two attempts at once"
                    );
                    match class.effect {
                        Effect::Safe => {}
                        Effect::Unsafe => {
                            assert!(
                                r.earliest_maybe.is_none() && r.out.is_empty(),
                                "unsafe twice"
                            );
                        }
                        Effect::Keyed { window, .. } => {
                            let since = r
                                .out
                                .iter()
                                .map(|&n| r.sent[usize::from(n)].0)
                                .chain(r.earliest_maybe)
                                .min();
                            let arrives = now.plus(begin_within);
                            assert!(
                                since.is_none_or(|s| arrives < s.plus(window)),
                                "outside the window"
                            );
                        }
                    }
                    let need = match class.need {
                        Need::Bounded(bound) => now.minus(bound),
                        Need::Session => r.token,
                        Need::Fresh => r.came,
                        Need::Write | Need::Any => Time::ZERO,
                    };
                    let told = self.position.get(&store.0).copied().unwrap_or_default();
                    let excused = self.ever_primary.get(&store.0) == Some(&true);
                    assert!(
                        told >= need || excused || self.set.checks != Checks::None,
                        "a stale read"
                    );
                    r.out.push(r.sent.len() as u16);
                    r.sent.push((now, store.0));
                }
                Action::Refuse { id, .. } | Action::Fail { id } => {
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
                    let refused = matches!(action, Action::Refuse { .. });
                    let safe = self.set.classes[usize::from(r.class)].effect == Effect::Safe;
                    let clean = r.out.is_empty() && r.earliest_maybe.is_none();
                    assert!(!refused || safe || clean, "a refusal of what may have run");
                }
                Action::Cancel { .. } => assert!(self.set.may_cancel),
                Action::Probe { store } => assert!(store.0 <= 6 && self.set.may_probe),
                Action::Timer { .. } | Action::Subscribe => {}
            }
        }
    }
}

fn play(seed: u64, set: Settings) -> World {
    let mut dice = Dice(seed);
    let mut bench = Bench::unheard(set.clone(), 6);
    let mut world = World {
        set,
        requests: BTreeMap::new(),
        told_leaving: BTreeMap::new(),
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
                    came: now,
                    token: commits,
                    sent: vec![],
                    out: vec![],
                    earliest_maybe: None,
                    answered: false,
                };
                world.requests.insert(arrival.id, tracked);
                bench.event(Event::Arrived(arrival))
            }
            4..=6 => {
                let open = world.requests.iter().filter(|(_, r)| !r.out.is_empty());
                let open: Vec<_> = open.map(|(&id, _)| id).collect();
                if open.is_empty() {
                    continue;
                }
                let id = &open[dice.roll(open.len() as u64) as usize];
                let tracked = &world.requests[id];
                let attempt = tracked.out[dice.roll(tracked.out.len() as u64) as usize];
                let (sent, store) = tracked.sent[usize::from(attempt)];
                let outcomes = [
                    Outcome::Ok,
                    Outcome::Ok,
                    Outcome::Ok,
                    Outcome::Failed,
                    Outcome::Full,
                    Outcome::TimedOut,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Miss,
                ];
                let outcome = outcomes[dice.roll(outcomes.len() as u64) as usize];
                let never_ran = matches!(
                    outcome,
                    Outcome::Full | Outcome::ConnectFailed | Outcome::Miss
                );
                let r = world.requests.get_mut(id).expect("it is open");
                r.out.retain(|&n| n != attempt);
                if !never_ran {
                    r.earliest_maybe = Some(r.earliest_maybe.map_or(sent, |m| m.min(sent)));
                }
                let last = r.answered || outcome == Outcome::Ok;
                r.answered = last;
                let mut note = Note::default();
                if matches!(
                    outcome,
                    Outcome::Ok | Outcome::Full | Outcome::Miss | Outcome::Failed
                ) {
                    let primary = outcome != Outcome::Miss && dice.roll(3) == 0;
                    note.primary = Some(primary);
                    world.ever_primary.insert(store, primary);
                    if outcome == Outcome::Ok
                        && world.set.classes[usize::from(r.class)].need == Need::Write
                    {
                        note.position = Some(now.minus(MS));
                        commits = commits.max(now.minus(MS));
                    }
                }
                let (store, attempt, elapsed) =
                    (StoreId(store), AttemptNo(attempt), now.since(sent));
                bench.event(Event::Ended(Ended {
                    id: *id,
                    attempt,
                    store,
                    outcome,
                    elapsed,
                    last,
                    note,
                }))
            }
            7 | 8 => {
                let store = 1 + dice.roll(6) as u32;
                let primary = dice.roll(4) == 0;
                let position = now.minus(dice.roll(900) as u32 * MS);
                let told = world.position.entry(store).or_default();
                *told = (*told).max(position);
                if primary {
                    world.ever_primary.insert(store, true);
                }
                bench.report(store, primary, now.since(position))
            }
            _ => {
                let store = 1 + dice.roll(6) as u32;
                let listed = [Listed::Ready, Listed::Ready, Listed::Draining, Listed::Gone]
                    [dice.roll(4) as usize];
                match listed {
                    Listed::Ready => _ = world.told_leaving.remove(&store),
                    _ => _ = world.told_leaving.entry(store).or_insert(now),
                }
                let started = if dice.roll(3) == 0 { now } else { Time::ZERO };
                bench.list(vec![Entry {
                    started,
                    ..entry(store, listed)
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
        let checks = [Checks::None, Checks::Refuse, Checks::Wait(100 * MS)][seed as usize % 3];
        let set = Settings {
            checks,
            second_copies: seed % 2 == 0,
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
            routers: ROUTERS as u32,
            ..settings()
        };
        let mut dice = Dice(seed * 104_729);
        let mut routers: Vec<Bench> = (0..ROUTERS)
            .map(|r| Bench::seeded(set.clone(), 6, seed << 32 | r))
            .collect();
        for bench in &mut routers {
            bench.list(vec![Entry {
                started: BEGIN,
                ..entry(6, Listed::Ready)
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
                    actions.push((r, bench.list(vec![entry(2, Listed::Draining)])));
                }
            }
            for (r, id, attempt, store) in pending.remove(&now).unwrap_or_default() {
                routers[r].now = now;
                served += 1;
                actions.push((r, routers[r].end(id, attempt, store, Outcome::Ok)));
            }
            if dice.roll(1_000) < 6 * EACH {
                let r = if dice.roll(2) == 0 {
                    dice.roll(3)
                } else {
                    dice.roll(ROUTERS)
                } as usize;
                routers[r].now = now;
                let class = [ANY, BOUNDED, ANY, SESSION][dice.roll(4) as usize];
                actions.push((r, routers[r].ask(class).1));
            }
            while let Some((r, list)) = actions.pop() {
                for action in list {
                    match action {
                        Action::Send { id, store, .. } => {
                            assert!(
                                store != StoreId(2) || step < 2_000,
                                "a send to a draining store"
                            );
                            if store == StoreId(6) {
                                to_starting.push(step);
                            }
                            let no = attempts.entry((r, id)).or_default();
                            let due = now.plus((10 + dice.roll(30) as u32) * MS);
                            pending.entry(due).or_default().push((r, id, *no, store.0));
                            *no += 1;
                        }
                        Action::Probe { store } => {
                            actions.push((
                                r,
                                routers[r].report(store.0, store == StoreId(1), Duration::ZERO),
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
