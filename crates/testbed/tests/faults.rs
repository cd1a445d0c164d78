//! Faults of proxies, links, servers and discovery in a fleet: no invariant may be violated.

mod common;
use common::{assert_sound, setup, start, wait_for_answers, SECOND};
use rustix::process::Signal;
use server_model::catalog;
use server_model::site::ServerFault;
use std::time::Duration;
use testbed::link::Flow;
use testbed::process::{Plan, Process};
use testbed::Testbed;

/// Number of requests of one proxy that have reached a server so far.
fn forwarded_requests(testbed: &Testbed, proxy: usize) -> u64 {
    testbed
        .history
        .lock()
        .reached
        .iter()
        .filter(|((p, _), _)| *p == proxy)
        .map(|(_, n)| n)
        .sum()
}

/// Waits until a proxy has forwarded `more` further requests.
fn wait_for_forwarded(testbed: &Testbed, proxy: usize, more: u64) {
    let before = forwarded_requests(testbed, proxy);
    let is = |inner: &testbed::history::State| {
        let sent: u64 = inner
            .reached
            .iter()
            .filter(|((p, _), _)| *p == proxy)
            .map(|(_, n)| n)
            .sum();
        sent >= before + more
    };
    testbed
        .until("a proxy forwards more requests", is)
        .unwrap_or_else(|fault| panic!("{fault}"));
}

/// Killing one proxy loses only the requests that it held; the other proxies keep serving.
#[test]
fn kill_9_of_one_in_three() {
    let mut testbed = start(setup(3, 150.0, 6 * SECOND));
    for proxy in 0..3 {
        wait_for_forwarded(&testbed, proxy, 5);
    }
    testbed.kill(1);
    wait_for_forwarded(&testbed, 0, 20);
    wait_for_forwarded(&testbed, 2, 20);
    testbed.restart(1).unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_forwarded(&testbed, 1, 10);
    assert_sound(testbed);
}

/// A proxy is stopped while a server begins to drain. When it continues, it must honour the drain before it acts on
/// requests that have queued up in the meantime.
#[test]
fn a_stopped_proxy_goes_on() {
    let mut setup = setup(3, 150.0, 8 * SECOND);
    setup.list.late = 0;
    let mut testbed = start(setup);
    wait_for_forwarded(&testbed, 1, 5);
    testbed.signal(1, Signal::STOP);
    let last = *testbed.history.lock().site.members(0).last().unwrap();
    testbed.history.inject_fault(ServerFault::Drain(last));
    testbed
        .until(
            "the endpoint list announces the drain to the proxy",
            |inner| inner.checker.is_leaving(1, last),
        )
        .unwrap();
    // The schedule of these requests is longer than the grace period of drains, however fast the machine.
    wait_for_answers(&testbed, 150);
    testbed.signal(1, Signal::CONT);
    wait_for_forwarded(&testbed, 1, 10);
    assert_sound(testbed);
}

/// The links to the servers of one building pass requests but no responses; then they are healed.
#[test]
fn a_link_cut_one_way() {
    let testbed = start(setup(2, 100.0, 6 * SECOND));
    wait_for_forwarded(&testbed, 0, 5);
    let links = testbed.links(&[0], Some(1));
    assert!(!links.is_empty());
    links
        .iter()
        .for_each(|link| link.set(Flow::Passes, Flow::Cut));
    wait_for_forwarded(&testbed, 0, 30);
    wait_for_forwarded(&testbed, 1, 30);
    links.iter().for_each(|link| link.heal());
    wait_for_answers(&testbed, 30);
    assert_sound(testbed);
}

#[test]
fn a_building_cut_off_from_one_proxy_and_back() {
    let testbed = start(setup(2, 100.0, 6 * SECOND));
    wait_for_forwarded(&testbed, 0, 5);
    let links = testbed.links(&[0], Some(1));
    links.iter().for_each(|link| link.cut());
    wait_for_forwarded(&testbed, 0, 30);
    links.iter().for_each(|link| link.heal());
    wait_for_answers(&testbed, 30);
    assert_sound(testbed);
}

/// Links reset connections during requests, delay responses, deliver them in small pieces, and lose and resend bytes.
#[test]
fn links_that_reset_delay_and_trickle() {
    let testbed = start(setup(2, 60.0, 6 * SECOND));
    wait_for_forwarded(&testbed, 0, 5);
    let (first, second) = (testbed.links(&[0], None), testbed.links(&[1], None));
    let millis = Duration::from_millis;
    first
        .iter()
        .for_each(|link| link.set(Flow::Passes, Flow::Late(millis(5), millis(40))));
    second.iter().for_each(|link| {
        link.set(
            Flow::Lossy {
                part: 0.1,
                resend: millis(100),
            },
            Flow::Passes,
        )
    });
    wait_for_answers(&testbed, 20);
    first.iter().for_each(|link| link.reset());
    wait_for_answers(&testbed, 20);
    second.iter().for_each(|link| {
        link.set(
            Flow::Passes,
            Flow::Trickles {
                bytes: 7,
                gap: millis(1),
            },
        )
    });
    wait_for_answers(&testbed, 20);
    first.iter().for_each(|link| link.refuse());
    wait_for_forwarded(&testbed, 1, 20);
    first.iter().chain(&second).for_each(|link| link.heal());
    wait_for_answers(&testbed, 20);
    assert_sound(testbed);
}

/// A primary crashes and a replica takes over, one server hangs and one drains; each proxy detects this by itself.
#[test]
fn servers_die_hang_and_drain() {
    let mut setup = setup(3, 120.0, 8 * SECOND);
    (setup.site.group.give_up, setup.site.group.take_over) = (300_000, 300_000);
    let testbed = start(setup);
    wait_for_answers(&testbed, 20);
    let (primary, members) = {
        let inner = testbed.history.lock();
        (
            inner.site.primary(0).unwrap(),
            inner.site.members(1).to_vec(),
        )
    };
    testbed.history.inject_fault(ServerFault::Crash(primary));
    testbed.history.inject_fault(ServerFault::Hang {
        server: members[1],
        on: true,
    });
    testbed.history.inject_fault(ServerFault::Drain(members[2]));
    let another =
        |inner: &testbed::history::State| inner.site.primary(0).is_some_and(|now| now != primary);
    testbed
        .until("another server becomes the primary", another)
        .unwrap();
    wait_for_answers(&testbed, 60);
    testbed.history.inject_fault(ServerFault::Start(primary));
    testbed.history.inject_fault(ServerFault::Hang {
        server: members[1],
        on: false,
    });
    testbed
        .history
        .inject_fault(ServerFault::Join { group: 1, place: 0 });
    wait_for_answers(&testbed, 60);
    assert_sound(testbed);
}

/// Discovery is down for the whole fleet, and all proxies reconnect to it at once.
#[test]
fn a_list_that_fails_a_whole_fleet_and_comes_back() {
    let mut setup = setup(6, 120.0, 10 * SECOND);
    (setup.list.call, setup.list.patience) = (20_000, 200_000);
    let testbed = start(setup);
    for proxy in 0..6 {
        wait_for_forwarded(&testbed, proxy, 1);
    }
    let before: Vec<u64> = testbed.proxies.iter().map(|p| p.list.accepted()).collect();
    testbed.history.list(catalog::Event::Down(true));
    // The watch of each proxy has ended, and each has tried to connect again.
    for (proxy, taken) in testbed.proxies.iter().zip(&before) {
        testbed.wait(proxy.list.wait_for_accepted(taken + 1));
    }
    let gone = *testbed.history.lock().site.members(0).last().unwrap();
    testbed.history.inject_fault(ServerFault::Retire(gone));
    wait_for_answers(&testbed, 40);
    testbed.history.list(catalog::Event::Down(false));
    testbed
        .until("all proxies watch the endpoint list again", |inner| {
            inner.watching() == 6
        })
        .unwrap();
    wait_for_answers(&testbed, 20);
    assert_sound(testbed);
}

/// A server at its connection limit rejects connections; the other servers take its load.
#[test]
fn a_full_table_of_connections() {
    let mut setup = setup(4, 200.0, 5 * SECOND);
    setup.site.connections = 2;
    // Requests slow enough that connections are used concurrently.
    setup
        .clients
        .classes
        .iter_mut()
        .for_each(|kind| kind.work.mean = 20_000.0);
    let testbed = start(setup);
    testbed
        .until("a server rejected a connection", |inner| {
            inner.rejected_connections > 0
        })
        .unwrap();
    wait_for_answers(&testbed, 100);
    assert_sound(testbed);
}

/// A proxy that receives SIGTERM under load exits with code 0 and loses no request that it had accepted.
#[test]
fn sigterm_under_load() {
    let mut testbed = start(setup(2, 100.0, 5 * SECOND));
    wait_for_forwarded(&testbed, 1, 10);
    testbed.signal(1, Signal::TERM);
    let code = testbed.proxies[1].process.as_mut().unwrap().wait();
    assert_eq!(code, Some(0));
    testbed.history.proxy_down(1);
    wait_for_forwarded(&testbed, 0, 30);
    testbed.restart(1).unwrap_or_else(|fault| panic!("{fault}"));
    wait_for_forwarded(&testbed, 1, 5);
    assert_sound(testbed);
}

/// The output and the exit code of a process that fails to start reach the caller.
#[test]
fn a_process_that_does_not_start() {
    let mut setup = setup(2, 10.0, SECOND);
    setup.operators = "nonsense {".into();
    let fault = Testbed::start(setup)
        .err()
        .expect("a proxy with invalid settings must not start");
    assert_eq!(fault.code, Some(2), "{fault}");
    assert!(
        fault.lines.iter().any(|line| line.contains("nonsense")),
        "{fault}"
    );
    let missing = Plan {
        program: "/nowhere".into(),
        arguments: vec![],
        variables: vec![],
        files: 0,
        log: None,
    };
    let fault = Process::start(&missing)
        .unwrap()
        .wait_for_line("serving", 0)
        .unwrap_err();
    assert_eq!(fault.code, Some(127), "{fault}");
}

/// A proxy serves within the platform's limit of file descriptors.
#[test]
fn a_proxy_within_its_descriptors() {
    let mut setup = setup(1, 100.0, 3 * SECOND);
    setup.sockets = 64;
    let testbed = start(setup);
    wait_for_answers(&testbed, 50);
    assert_sound(testbed);
}

/// When a stall of the machine delays its own timers, the testbed reports the delay and no goodput.
#[test]
fn a_testbed_that_is_late_claims_nothing() {
    let testbed = start(setup(1, 400.0, 2 * SECOND));
    wait_for_answers(&testbed, 5);
    {
        // The lock blocks the whole testbed; everything due in this time is late, however fast the machine.
        let _held = testbed.history.lock();
        std::thread::sleep(20 * testbed::history::LATE);
    }
    let out = testbed.finish().unwrap();
    assert!(out.late() > testbed::history::LATE, "{:?}", out.late());
    assert_eq!(out.goodput(), None);
}

/// Guards against reads that wait for an answer that begins and never ends (review/10): one in ten of all servers' answers to
/// reads does so, and each read has to be served by another server in its time.
#[test]
fn reads_whose_answers_never_end_are_served_in_time() {
    const DEADLINE: u64 = 1_200_000;
    let mut setup = setup(2, 150.0, 6 * SECOND);
    setup.endless_answers = 10;
    setup.slack = Duration::from_millis(200);
    for class in &mut setup.clients.classes {
        if class.name != "book" {
            class.latency_objective = DEADLINE / 2;
            class.deadline = DEADLINE;
        }
    }
    let outcomes = assert_sound(start(setup));
    for (class, account) in outcomes.accounts.iter().take(2).enumerate() {
        let latencies = &outcomes.latencies[class];
        let (median, late) = (latencies.value_at_quantile(0.5), latencies.max());
        eprintln!("class {class}: {account:?}, median {median} us, most {late} us");
        let served = account.served as f64 / account.requests as f64;
        assert!(served >= 0.99, "{account:?}");
        assert!(late <= DEADLINE, "class {class}: served after {late} us");
    }
}
