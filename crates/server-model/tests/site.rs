//! Sites, the discovery service, networks and clients.

use server_model::catalog::{self, Catalog, Record};
use server_model::clients::{
    self, Answer as ClientAnswer, Clients, Consistency, Idempotency, RequestClass, RequestOutcome,
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
struct SiteDriver {
    site: Site,
    timers: Vec<(Micros, TimerOwner)>,
    log: Vec<(Micros, Action)>,
}

impl SiteDriver {
    fn new(site: Site) -> SiteDriver {
        SiteDriver {
            site,
            timers: Vec::new(),
            log: Vec::new(),
        }
    }

    fn handle(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.site.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer(at, owner) => self.timers.push((at, owner)),
                other => self.log.push((now, other)),
            }
        }
    }

    fn run_until(&mut self, end: Micros) {
        while let Some(at) = (0..self.timers.len()).min_by_key(|at| self.timers[*at].0) {
            if self.timers[at].0 > end {
                return;
            }
            let (now, owner) = self.timers.remove(at);
            self.handle(now, Event::Timer(owner));
        }
    }

    fn answer(&self, wanted: u64) -> Option<Answer> {
        self.log.iter().find_map(|(_, action)| match action {
            Action::Answer {
                exchange, answer, ..
            } if *exchange == wanted => Some(*answer),
            _ => None,
        })
    }

    fn request(&mut self, now: Micros, exchange: u64, server: u32, operation: Operation) {
        self.handle(
            now,
            Event::Request {
                exchange,
                server,
                operation,
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
    let mut driver = SiteDriver::new(site());
    driver.request(SECOND, 1, 0, write(7));
    driver.request(SECOND, 2, 1, write(8));
    driver.request(SECOND, 3, 1, READ);
    driver.request(
        SECOND,
        4,
        1,
        Operation {
            min_position: SECOND,
            ..READ
        },
    );
    driver.request(SECOND, 5, 99, READ);
    driver.run_until(2 * SECOND);
    assert_eq!(driver.answer(1), Some(Answer::Ok));
    assert_eq!(
        driver.answer(2),
        Some(Answer::Misdirected),
        "a replica rejects writes"
    );
    assert_eq!(driver.answer(3), Some(Answer::Ok));
    assert_eq!(
        driver.answer(4),
        Some(Answer::Misdirected),
        "the replica is 8 ms behind"
    );
    assert_eq!(driver.answer(5), Some(Answer::Unreachable));
    let applied: Vec<_> = driver
        .log
        .iter()
        .filter(|(_, a)| matches!(a, Action::Applied { key: 7, .. }))
        .collect();
    assert_eq!(applied.len(), 1);
}

#[test]
fn a_write_at_a_primary_that_hangs_may_run_and_is_never_answered() {
    let mut driver = SiteDriver::new(site());
    driver.request(SECOND, 1, 0, write(7));
    driver.handle(
        SECOND + 10_000,
        Event::Fault(ServerFault::Hang {
            server: 0,
            on: true,
        }),
    );
    driver.request(SECOND + 20_000, 2, 0, READ);
    driver.run_until(20 * SECOND);
    assert_eq!((driver.answer(1), driver.answer(2)), (None, None));
    let count = |wanted: fn(&Action) -> bool| driver.log.iter().filter(|(_, a)| wanted(a)).count();
    assert_eq!(count(|a| matches!(a, Action::Applied { .. })), 1);
    assert_eq!(
        count(|a| matches!(a, Action::Undone { server: 0, .. })),
        1,
        "the write had not been replicated"
    );
    assert_eq!(count(|a| matches!(a, Action::Primary { group: 0, .. })), 1);
    assert!(driver.site.primary(0) != Some(0) && driver.site.primary(1) == Some(5));
}

#[test]
fn a_drain_hands_over_and_a_new_server_comes_cold_and_behind() {
    let mut driver = SiteDriver::new(site());
    driver.request(SECOND, 1, 0, write(7));
    driver.handle(SECOND + 10, Event::Fault(ServerFault::Drain(0)));
    driver.request(SECOND + 20, 2, 0, READ);
    assert_eq!(
        driver.answer(2),
        Some(Answer::Rejected),
        "a draining server accepts no new requests"
    );
    driver.run_until(2 * SECOND);
    assert_eq!(
        driver.answer(1),
        Some(Answer::Failed),
        "the server lost the primary role before the work was done"
    );
    assert_eq!(driver.site.status(0), Status::Draining);
    driver.handle(2 * SECOND, Event::Fault(ServerFault::Retire(0)));
    driver.handle(
        2 * SECOND,
        Event::Fault(ServerFault::Join { group: 0, place: 0 }),
    );
    let new = driver.site.servers().end - 1;
    assert_eq!(
        (driver.site.group(new), driver.site.started(new)),
        (0, 2 * SECOND)
    );
    assert!(
        driver.site.capacity(new, 2 * SECOND) < 0.2
            && driver.site.position(new, 2 * SECOND) < 2 * SECOND
    );
    let changed: Vec<_> = driver
        .log
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

fn handle(catalog: &mut Catalog, now: Micros, event: catalog::Event) -> Vec<catalog::Action> {
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
        handle(&mut list, 0, catalog::Event::Watch { caller, after: 0 });
    }
    let mut answered = Vec::new();
    for now in (100..=600).step_by(100) {
        answered.extend(handle(&mut list, now, catalog::Event::Due));
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
    handle(
        &mut list,
        1_000,
        catalog::Event::Changed(record(1, Status::Gone)),
    );
    assert_eq!(handle(&mut list, 1_999, catalog::Event::Due), []);
    let updates = handle(&mut list, 2_000, catalog::Event::Due);
    assert_eq!(updates.len(), 2, "one update per watcher: {updates:?}");
    assert_eq!(list.records().count(), 2);
    // An outage ends all watches; afterwards a watch continues from its index.
    assert_eq!(
        handle(&mut list, 2_100, catalog::Event::Down(true)).len(),
        2
    );
    handle(
        &mut list,
        2_200,
        catalog::Event::Changed(record(2, Status::Draining)),
    );
    handle(&mut list, 3_300, catalog::Event::Due);
    assert!(matches!(
        handle(
            &mut list,
            3_300,
            catalog::Event::Watch {
                caller: 0,
                after: 2
            }
        )[..],
        [catalog::Action::Fail(0)]
    ));
    handle(&mut list, 3_400, catalog::Event::Down(false));
    handle(
        &mut list,
        3_400,
        catalog::Event::Watch {
            caller: 0,
            after: 2,
        },
    );
    let updates = handle(&mut list, 3_500, catalog::Event::Due);
    assert!(
        matches!(&updates[..], [catalog::Action::Update { complete: false, records, .. }] if records.len() == 1),
        "{updates:?}"
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

fn request_classes() -> Vec<RequestClass> {
    let class = |name: &str, consistency, idempotency, share| RequestClass {
        name: name.into(),
        consistency,
        idempotency,
        share,
        work: Work::new(Law::Fixed, 50_000.0),
        latency_objective: 200_000,
        deadline: 1_000_000,
        priority_weight: 2.0,
        late_weight_fraction: 0.5,
    };
    vec![
        class("read", Consistency::Eventual, Idempotency::Idempotent, 0.7),
        class(
            "own",
            Consistency::ReadYourWrites,
            Idempotency::Idempotent,
            0.2,
        ),
        class("book", Consistency::Write, Idempotency::NonIdempotent, 0.1),
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
        classes: request_classes(),
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
    answer: impl Fn(&clients::ClientAttempt) -> Option<ClientAnswer>,
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
                clients::Action::Send(attempt) => {
                    if let Some(answer) = answer(attempt) {
                        wheel.put(now + 60_000, clients::Event::Answered(attempt.id, answer));
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

fn sent_attempts(all: &[(Micros, clients::Action)]) -> Vec<(Micros, clients::ClientAttempt)> {
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
    let all = play(settings(), |_| Some(ClientAnswer::Served { commit: 0 }), 1);
    let attempts = sent_attempts(&all);
    // 5,000 in the first half, 10,000 in the second; two standard deviations are about 140 and 200.
    let early = attempts.iter().filter(|(at, _)| *at < 50 * SECOND).count();
    assert!((4_800..5_200).contains(&early), "{early}");
    assert!(
        (9_700..10_300).contains(&(attempts.len() - early)),
        "{}",
        attempts.len()
    );
    let part = |fits: &dyn Fn(&clients::ClientAttempt) -> bool| {
        attempts.iter().filter(|(_, t)| fits(t)).count() as f64 / attempts.len() as f64
    };
    assert!((part(&|t| t.class == 2) - 0.1).abs() < 0.01);
    assert!((part(&|t| t.tenant == 1) - 0.25).abs() < 0.01);
    // 1, 1/2 and 1/3 of 11/6.
    assert!((part(&|t| t.proxy == 0) - 6.0 / 11.0).abs() < 0.015);
    let settled = settled(&all);
    assert_eq!(settled.len(), attempts.len());
    assert!(settled
        .iter()
        .all(|s| s.outcome == RequestOutcome::Served && s.earned == s.priority_weight));
    // Of tenant b, only ten requests per second count with full weight.
    let full = settled
        .iter()
        .filter(|s| s.tenant == 1 && s.priority_weight == 2.0)
        .count();
    assert!((980..1_020).contains(&full), "{full}");
}

#[test]
fn only_rejected_or_idempotent_requests_are_retried() {
    let all = play(settings(), |_| Some(ClientAnswer::Failed), 2);
    assert!(sent_attempts(&all)
        .iter()
        .all(|(_, t)| t.class != 2 || !t.is_retry));
    let max_attempts = settled(&all)
        .iter()
        .filter(|s| s.class == 0)
        .map(|s| s.attempts)
        .max();
    assert_eq!(max_attempts, Some(4), "one attempt and three retries");
    let rejected = play(
        settings(),
        |_| {
            Some(ClientAnswer::Rejected {
                retry_after: Some(300_000),
            })
        },
        2,
    );
    let writes: Vec<_> = sent_attempts(&rejected)
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
    let unanswered = play(settings(), |_| None, 3);
    assert!(settled(&unanswered)
        .iter()
        .all(|s| s.outcome == RequestOutcome::Abandoned && s.earned == 0.0));
    // The attempt timeout is 40 to 100 percent of the deadline, and no request is retried beyond the deadline.
    assert!(sent_attempts(&unanswered)
        .iter()
        .all(|(_, t)| t.timeout <= SECOND && (t.is_retry || t.timeout >= 400_000)));
}

#[test]
fn arrivals_do_not_depend_on_the_answers() {
    let first = |all: &[(Micros, clients::Action)]| -> Vec<(Micros, usize, usize, usize)> {
        let attempts = sent_attempts(all).into_iter().filter(|(_, t)| !t.is_retry);
        attempts
            .map(|(at, t)| (at, t.class, t.proxy, t.tenant))
            .collect()
    };
    let served = play(settings(), |_| Some(ClientAnswer::Served { commit: 0 }), 5);
    let failed = play(settings(), |_| Some(ClientAnswer::Failed), 5);
    assert_eq!(first(&served), first(&failed));
}

#[test]
fn sessions_read_soon_after_they_wrote() {
    let all = play(
        settings(),
        |t| {
            Some(ClientAnswer::Served {
                commit: if t.class == 2 { 9 } else { 0 },
            })
        },
        6,
    );
    let reads: Vec<_> = sent_attempts(&all)
        .into_iter()
        .filter(|(_, t)| t.class == 1)
        .collect();
    let after_write = reads.iter().filter(|(_, t)| t.last_write > 0).count();
    assert!(
        after_write * 2 > reads.len(),
        "{after_write} of {}",
        reads.len()
    );
}

#[test]
fn clients_of_a_proxy_that_is_down_use_another() {
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
    let attempts = actions.iter().filter_map(|a| {
        if let clients::Action::Send(t) = a {
            Some(t.proxy)
        } else {
            None
        }
    });
    let attempts: Vec<usize> = attempts.collect();
    assert!(!attempts.is_empty() && attempts.iter().all(|proxy| *proxy != 0));
}

#[test]
fn busy_proxies_carry_their_share_of_the_requests() {
    let set = clients::Settings {
        busy_proxies: 1,
        busy_proxies_share: 0.8,
        proxy_skew: 0.0,
        ..settings()
    };
    let sent = sent_attempts(&play(set, |_| Some(ClientAnswer::Served { commit: 0 }), 2));
    let part =
        |proxy| sent.iter().filter(|(_, t)| t.proxy == proxy).count() as f64 / sent.len() as f64;
    // Three standard deviations are 0.01.
    assert!(
        (part(0) - 0.8).abs() < 0.01 && (part(1) - 0.1).abs() < 0.01,
        "{} {}",
        part(0),
        part(1)
    );
}
