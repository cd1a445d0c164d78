//! Sites, the discovery service, networks and clients.

use server_model::catalog::{self, Catalog, Record};
use server_model::clients::{
    self, Answer as Told, Clients, Consistency, Idempotency, RequestClass, RequestOutcome as Ended,
    Tenant, TimerKind,
};
use server_model::law::{Law, Work};
use server_model::network::{self, End, Location, Network};
use server_model::site::{
    self, Action, Answer, Event, Operation, ServerFault, Site, Status, TimerOwner,
};
use server_model::Micros;
use simulation_engine::streams::Streams;

const SECOND: Micros = 1_000_000;

fn site() -> Site {
    Site::new(site::Settings {
        groups: 2,
        ..site::Settings::default()
    })
}

/// Drives a site and its timers, without a network or clients.
struct Alone {
    site: Site,
    wakes: Vec<(Micros, TimerOwner)>,
    said: Vec<(Micros, Action)>,
}

impl Alone {
    fn new(site: Site) -> Alone {
        Alone {
            site,
            wakes: Vec::new(),
            said: Vec::new(),
        }
    }

    fn tell(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.site.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer(at, wake) => self.wakes.push((at, wake)),
                other => self.said.push((now, other)),
            }
        }
    }

    fn until(&mut self, end: Micros) {
        while let Some(at) = (0..self.wakes.len()).min_by_key(|at| self.wakes[*at].0) {
            if self.wakes[at].0 > end {
                return;
            }
            let (now, wake) = self.wakes.remove(at);
            self.tell(now, Event::Timer(wake));
        }
    }

    fn answer(&self, wanted: u64) -> Option<Answer> {
        self.said.iter().find_map(|(_, action)| match action {
            Action::Answer {
                exchange, answer, ..
            } if *exchange == wanted => Some(*answer),
            _ => None,
        })
    }

    fn request(&mut self, now: Micros, exchange: u64, server: u32, ask: Operation) {
        self.tell(
            now,
            Event::Request {
                exchange,
                server,
                operation: ask,
            },
        );
    }
}

const READ: Operation = Operation {
    write: None,
    min_position: 0,
    work: 50_000,
};

fn write(key: u64) -> Operation {
    Operation {
        write: Some(key),
        min_position: 0,
        work: 100_000,
    }
}

#[test]
fn servers_answer_by_their_role_and_their_data() {
    let mut alone = Alone::new(site());
    alone.request(SECOND, 1, 0, write(7));
    alone.request(SECOND, 2, 1, write(8));
    alone.request(SECOND, 3, 1, READ);
    alone.request(
        SECOND,
        4,
        1,
        Operation {
            min_position: SECOND,
            ..READ
        },
    );
    alone.request(SECOND, 5, 99, READ);
    alone.until(2 * SECOND);
    assert_eq!(alone.answer(1), Some(Answer::Ok));
    assert_eq!(
        alone.answer(2),
        Some(Answer::Misdirected),
        "a replica rejects writes"
    );
    assert_eq!(alone.answer(3), Some(Answer::Ok));
    assert_eq!(
        alone.answer(4),
        Some(Answer::Misdirected),
        "the replica is 8 ms behind"
    );
    assert_eq!(alone.answer(5), Some(Answer::Unreachable));
    let applied: Vec<_> = alone
        .said
        .iter()
        .filter(|(_, a)| matches!(a, Action::Applied { key: 7, .. }))
        .collect();
    assert_eq!(applied.len(), 1);
}

#[test]
fn a_write_at_a_primary_that_hangs_may_run_and_is_never_answered() {
    let mut alone = Alone::new(site());
    alone.request(SECOND, 1, 0, write(7));
    alone.tell(
        SECOND + 10_000,
        Event::Fault(ServerFault::Hang {
            server: 0,
            on: true,
        }),
    );
    alone.request(SECOND + 20_000, 2, 0, READ);
    alone.until(20 * SECOND);
    assert_eq!((alone.answer(1), alone.answer(2)), (None, None));
    let said = |wanted: fn(&Action) -> bool| alone.said.iter().filter(|(_, a)| wanted(a)).count();
    assert_eq!(said(|a| matches!(a, Action::Applied { .. })), 1);
    assert_eq!(
        said(|a| matches!(a, Action::Undone { server: 0, .. })),
        1,
        "the write had not been replicated"
    );
    assert_eq!(said(|a| matches!(a, Action::Primary { group: 0, .. })), 1);
    assert!(alone.site.primary(0) != Some(0) && alone.site.primary(1) == Some(5));
}

#[test]
fn a_drain_hands_over_and_a_new_server_comes_cold_and_behind() {
    let mut alone = Alone::new(site());
    alone.request(SECOND, 1, 0, write(7));
    alone.tell(SECOND + 10, Event::Fault(ServerFault::Drain(0)));
    alone.request(SECOND + 20, 2, 0, READ);
    assert_eq!(
        alone.answer(2),
        Some(Answer::Rejected),
        "a draining server accepts no new requests"
    );
    alone.until(2 * SECOND);
    assert_eq!(
        alone.answer(1),
        Some(Answer::Failed),
        "the server lost the primary role before the work was done"
    );
    assert_eq!(alone.site.status(0), Status::Draining);
    alone.tell(2 * SECOND, Event::Fault(ServerFault::Retire(0)));
    alone.tell(
        2 * SECOND,
        Event::Fault(ServerFault::Join { group: 0, place: 0 }),
    );
    let new = alone.site.servers().end - 1;
    assert_eq!(
        (alone.site.group(new), alone.site.started(new)),
        (0, 2 * SECOND)
    );
    assert!(
        alone.site.capacity(new, 2 * SECOND) < 0.2
            && alone.site.position(new, 2 * SECOND) < 2 * SECOND
    );
    let changed: Vec<_> = alone
        .said
        .iter()
        .filter_map(|(_, a)| {
            if let Action::Changed(s) = a {
                Some(*s)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(changed, [0, 0, new]);
}

#[test]
fn connections_are_bounded_and_end_with_their_server() {
    let set = site::Settings {
        connections: 3,
        ..site::Settings::default()
    };
    let mut site = Site::new(set);
    let mut actions = Vec::new();
    let taken = (0..5).filter(|_| site.dial(0, 10, &mut actions)).count();
    assert_eq!(taken, 3);
    site.hang_up(0);
    assert!(site.dial(0, 20, &mut actions) && !site.dial(0, 20, &mut actions));
    site.handle(30, Event::Fault(ServerFault::Crash(0)), &mut actions);
    assert!(
        !site.dial(0, 40, &mut actions),
        "a dead server accepts no connections"
    );
    site.handle(50, Event::Fault(ServerFault::Start(0)), &mut actions);
    assert!(site.dial(0, 60, &mut actions));
}

fn told(catalog: &mut Catalog, now: Micros, event: catalog::Event) -> Vec<catalog::Action> {
    let mut actions = Vec::new();
    catalog.handle(now, event, &mut actions);
    actions
}

#[test]
fn the_list_is_late_and_works_through_its_calls_in_turn() {
    let record = |server, status| Record {
        server,
        group: 0,
        place: 0,
        status,
        started: 0,
    };
    let set = catalog::Settings {
        late: 1_000,
        call: 100,
        patience: 250,
    };
    let mut list = Catalog::new(set, (0..3).map(|s| record(s, Status::Ready)));
    for caller in 0..5 {
        told(&mut list, 0, catalog::Event::Watch { caller, after: 0 });
    }
    let mut answered = Vec::new();
    for now in (100..=600).step_by(100) {
        answered.extend(told(&mut list, now, catalog::Event::Due));
    }
    let complete = answered
        .iter()
        .filter(|a| matches!(a, catalog::Action::Update { complete: true, .. }))
        .count();
    let failed = answered
        .iter()
        .filter(|a| matches!(a, catalog::Action::Fail(_)))
        .count();
    assert_eq!(
        (complete, failed),
        (2, 3),
        "calls that waited too long fail"
    );
    told(
        &mut list,
        1_000,
        catalog::Event::Changed(record(1, Status::Gone)),
    );
    assert_eq!(told(&mut list, 1_999, catalog::Event::Due), []);
    let news = told(&mut list, 2_000, catalog::Event::Due);
    assert_eq!(news.len(), 2, "one update per watcher: {news:?}");
    assert_eq!(list.records().count(), 2);
    // An outage ends all watches; afterwards a watch continues from its index.
    assert_eq!(told(&mut list, 2_100, catalog::Event::Down(true)).len(), 2);
    told(
        &mut list,
        2_200,
        catalog::Event::Changed(record(2, Status::Draining)),
    );
    told(&mut list, 3_300, catalog::Event::Due);
    assert!(matches!(
        told(
            &mut list,
            3_300,
            catalog::Event::Watch {
                caller: 0,
                after: 2
            }
        )[..],
        [catalog::Action::Fail(0)]
    ));
    told(&mut list, 3_400, catalog::Event::Down(false));
    told(
        &mut list,
        3_400,
        catalog::Event::Watch {
            caller: 0,
            after: 2,
        },
    );
    let news = told(&mut list, 3_500, catalog::Event::Due);
    assert!(
        matches!(&news[..], [catalog::Action::Update { complete: false, records, .. }] if records.len() == 1),
        "{news:?}"
    );
}

#[test]
fn cuts_may_go_one_way_and_losses_cost_resends() {
    let mut random = Streams::new(1).stream("network", 0);
    let set = network::Settings {
        jitter: 0.0,
        ..network::Settings::default()
    };
    let mut network = Network::new(set);
    let proxy = Location {
        place: 0,
        proxy: Some(3),
    };
    let server = Location {
        place: 1,
        proxy: None,
    };
    assert_eq!(network.one_way(proxy, server, &mut random), Some(600));
    assert_eq!(
        network.one_way(
            proxy,
            Location {
                place: 0,
                proxy: None
            },
            &mut random
        ),
        Some(300)
    );
    network.cut(End::Proxy(3), End::Place(1));
    assert_eq!(network.one_way(proxy, server, &mut random), None);
    assert_eq!(
        network.one_way(server, proxy, &mut random),
        Some(600),
        "the opposite direction is not cut"
    );
    assert_eq!(
        network.one_way(
            Location {
                place: 0,
                proxy: Some(2)
            },
            server,
            &mut random
        ),
        Some(600)
    );
    network.heal(End::Proxy(3), End::Place(1));
    assert_eq!(network.one_way(proxy, server, &mut random), Some(600));
    network.set_extra_loss(0.25);
    let took: Vec<Micros> = (0..20_000)
        .filter_map(|_| network.one_way(proxy, server, &mut random))
        .collect();
    let resent = took.iter().filter(|t| **t > 600).count() as f64 / took.len() as f64;
    assert!((0.24..0.26).contains(&resent), "{resent}");
    assert!(took.contains(&(600 + 200_000 + 400_000)));
}

fn kinds() -> Vec<RequestClass> {
    let kind = |name: &str, need, repeat, share| RequestClass {
        name: name.into(),
        consistency: need,
        idempotency: repeat,
        share,
        work: Work::new(Law::Fixed, 50_000.0),
        latency_objective: 200_000,
        deadline: 1_000_000,
        priority_weight: 2.0,
        late_weight_fraction: 0.5,
    };
    vec![
        kind("read", Consistency::Eventual, Idempotency::Idempotent, 0.7),
        kind(
            "own",
            Consistency::ReadYourWrites,
            Idempotency::Idempotent,
            0.2,
        ),
        kind("book", Consistency::Write, Idempotency::NonIdempotent, 0.1),
    ]
}

fn settings() -> clients::Settings {
    let tenant = |name: &str, share, quota| Tenant {
        name: name.into(),
        share,
        quota,
        credit: None,
    };
    clients::Settings {
        classes: kinds(),
        tenants: vec![tenant("a", 0.75, 0.0), tenant("b", 0.25, 10.0)],
        over_quota_weight_fraction: 0.05,
        requests_per_s: 100.0,
        profile: vec![(0, 1.0), (50 * SECOND, 1.0), (100 * SECOND, 3.0)],
        length: 100 * SECOND,
        proxies: 3,
        groups: 2,
        proxy_skew: 1.0,
        busy_proxies: 0,
        busy_proxies_share: 0.0,
        group_skew: 0.0,
        sessions: 100,
        read_after_write_share: 0.7,
        read_after_write_span: 400_000,
        max_retries: 3,
        retry_wait: 100_000,
        obeys_retry_after: true,
        marks_retries: true,
        patience: (0.4, 1.0),
    }
}

/// Runs clients whose attempts are answered by `answer` after 60 ms; `None` leaves an attempt unanswered.
fn play(
    set: clients::Settings,
    answer: impl Fn(&clients::ClientAttempt) -> Option<Told>,
    seed: u64,
) -> Vec<(Micros, clients::Action)> {
    let mut clients = Clients::new(set, &Streams::new(seed));
    let mut wheel = simulation_engine::wheel::Wheel::default();
    let mut all = Vec::new();
    wheel.put(0, clients::Event::Start);
    while let Some((now, event)) = wheel.take() {
        let mut actions = Vec::new();
        clients.handle(now, event, &mut actions);
        for action in &actions {
            match action {
                clients::Action::SetTimer(at, due) => wheel.put(*at, clients::Event::Timer(*due)),
                clients::Action::Send(asked) => {
                    if let Some(answer) = answer(asked) {
                        wheel.put(now + 60_000, clients::Event::Answered(asked.id, answer));
                    }
                }
                _ => {}
            }
        }
        all.extend(actions.into_iter().map(|action| (now, action)));
    }
    let mut actions = Vec::new();
    clients.close(&mut actions);
    assert!(
        actions.is_empty(),
        "all requests are settled before the end: {actions:?}"
    );
    all
}

fn asked(all: &[(Micros, clients::Action)]) -> Vec<(Micros, clients::ClientAttempt)> {
    all.iter()
        .filter_map(|(at, a)| {
            if let clients::Action::Send(t) = a {
                Some((*at, *t))
            } else {
                None
            }
        })
        .collect()
}

fn settled(all: &[(Micros, clients::Action)]) -> Vec<clients::Settled> {
    all.iter()
        .filter_map(|(_, a)| {
            if let clients::Action::Settled(s) = a {
                Some(*s)
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn requests_come_by_the_profile_and_the_shares() {
    let all = play(settings(), |_| Some(Told::Served { commit: 0 }), 1);
    let asked = asked(&all);
    // 5,000 in the first half, 10,000 in the second; two standard deviations are about 140 and 200.
    let early = asked.iter().filter(|(at, _)| *at < 50 * SECOND).count();
    assert!((4_800..5_200).contains(&early), "{early}");
    assert!(
        (9_700..10_300).contains(&(asked.len() - early)),
        "{}",
        asked.len()
    );
    let part = |fits: &dyn Fn(&clients::ClientAttempt) -> bool| {
        asked.iter().filter(|(_, t)| fits(t)).count() as f64 / asked.len() as f64
    };
    assert!((part(&|t| t.class == 2) - 0.1).abs() < 0.01);
    assert!((part(&|t| t.tenant == 1) - 0.25).abs() < 0.01);
    // 1, 1/2 and 1/3 of 11/6.
    assert!((part(&|t| t.proxy == 0) - 6.0 / 11.0).abs() < 0.015);
    let settled = settled(&all);
    assert_eq!(settled.len(), asked.len());
    assert!(settled
        .iter()
        .all(|s| s.outcome == Ended::Served && s.earned == s.priority_weight));
    // Of tenant b, only ten requests per second count with full weight.
    let full = settled
        .iter()
        .filter(|s| s.tenant == 1 && s.priority_weight == 2.0)
        .count();
    assert!((980..1_020).contains(&full), "{full}");
}

#[test]
fn only_what_does_no_harm_is_asked_for_again() {
    let all = play(settings(), |_| Some(Told::Failed), 2);
    assert!(asked(&all).iter().all(|(_, t)| t.class != 2 || !t.is_retry));
    let tries = settled(&all)
        .iter()
        .filter(|s| s.class == 0)
        .map(|s| s.attempts)
        .max();
    assert_eq!(tries, Some(4), "one attempt and three retries");
    let refused = play(
        settings(),
        |_| {
            Some(Told::Rejected {
                retry_after: Some(300_000),
            })
        },
        2,
    );
    let writes: Vec<_> = asked(&refused)
        .into_iter()
        .filter(|(_, t)| t.class == 2)
        .collect();
    assert!(
        writes.iter().any(|(_, t)| t.is_retry),
        "a rejected write may be retried"
    );
    // Clients retry after the requested time, with a jitter of 50% in both directions.
    let (at, first) = writes[0];
    let (back, _) = writes
        .iter()
        .find(|(b, t)| t.request == first.request && *b > at)
        .unwrap();
    assert!(
        (at + 60_000 + 150_000..=at + 60_000 + 450_000).contains(back),
        "{}",
        back - at
    );
    let left = play(settings(), |_| None, 3);
    assert!(settled(&left)
        .iter()
        .all(|s| s.outcome == Ended::Abandoned && s.earned == 0.0));
    // The attempt timeout is 40 to 100 percent of the deadline, and no request is retried beyond the deadline.
    assert!(asked(&left)
        .iter()
        .all(|(_, t)| t.timeout <= SECOND && (t.is_retry || t.timeout >= 400_000)));
}

#[test]
fn what_is_asked_does_not_depend_on_the_answers() {
    let first = |all: &[(Micros, clients::Action)]| -> Vec<(Micros, usize, usize, usize)> {
        let tries = asked(all).into_iter().filter(|(_, t)| !t.is_retry);
        tries
            .map(|(at, t)| (at, t.class, t.proxy, t.tenant))
            .collect()
    };
    let served = play(settings(), |_| Some(Told::Served { commit: 0 }), 5);
    let failed = play(settings(), |_| Some(Told::Failed), 5);
    assert_eq!(first(&served), first(&failed));
}

#[test]
fn sessions_read_soon_after_they_wrote() {
    let all = play(
        settings(),
        |t| {
            Some(Told::Served {
                commit: if t.class == 2 { 9 } else { 0 },
            })
        },
        6,
    );
    let reads: Vec<_> = asked(&all)
        .into_iter()
        .filter(|(_, t)| t.class == 1)
        .collect();
    let told = reads.iter().filter(|(_, t)| t.last_write > 0).count();
    assert!(told * 2 > reads.len(), "{told} of {}", reads.len());
}

#[test]
fn whose_proxy_is_down_goes_to_another() {
    let mut clients = Clients::new(settings(), &Streams::new(1));
    let mut actions = Vec::new();
    clients.handle(
        0,
        clients::Event::Proxy {
            proxy: 0,
            up: false,
        },
        &mut actions,
    );
    clients.handle(0, clients::Event::Start, &mut actions);
    for _ in 0..2_000 {
        clients.handle(
            1_000,
            clients::Event::Timer(TimerKind::Arrival),
            &mut actions,
        );
    }
    let tries = actions.iter().filter_map(|a| {
        if let clients::Action::Send(t) = a {
            Some(t.proxy)
        } else {
            None
        }
    });
    let tries: Vec<usize> = tries.collect();
    assert!(!tries.is_empty() && tries.iter().all(|proxy| *proxy != 0));
}

#[test]
fn busy_proxies_carry_their_part() {
    let set = clients::Settings {
        busy_proxies: 1,
        busy_proxies_share: 0.8,
        proxy_skew: 0.0,
        ..settings()
    };
    let asked = asked(&play(set, |_| Some(Told::Served { commit: 0 }), 2));
    let part =
        |proxy| asked.iter().filter(|(_, t)| t.proxy == proxy).count() as f64 / asked.len() as f64;
    // Three standard deviations are 0.01.
    assert!(
        (part(0) - 0.8).abs() < 0.01 && (part(1) - 0.1).abs() < 0.01,
        "{} {}",
        part(0),
        part(1)
    );
}
