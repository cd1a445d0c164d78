//! Each check of a soak run must detect a violation that is planted on purpose.

mod common;
use common::turns::{turn, Turn};
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};
use testbed::history::Departure;
use testbed::soak::plan::Plan;
use testbed::soak::{Breach, Report, Run, READY_BOUND};
use testbed::wire::Connection;

/// Starts a run with its clients, without any step.
fn started(seed: u64) -> (Run, Turn) {
    let turn = turn();
    let run =
        Run::start(Plan::draw(seed, Duration::ZERO)).unwrap_or_else(|fault| panic!("{fault}"));
    (run, turn)
}

fn found(report: &Report, is: impl Fn(&Breach) -> bool) -> bool {
    report.breaches.iter().any(is)
}

/// Guards against checks that report false violations.
#[test]
fn a_run_without_steps_breaks_nothing() {
    let (mut run, _turn) = started(1);
    run.check_file(0, Duration::from_secs(4));
    let report = run.finish();
    assert!(report.breaches.is_empty(), "{}", report.failure());
}

/// Plants a proxy that never loads the new file.
#[test]
fn a_former_file_in_force_is_found_out() {
    let (mut run, _turn) = started(2);
    run.place_next_file(0)
        .unwrap_or_else(|fault| panic!("{fault}"));
    run.check_file(0, Duration::from_millis(200));
    assert!(matches!(run.breaches(), [Breach::FormerFile { .. }]));
}

/// Plants a process that is late to become ready.
#[test]
fn a_late_start_is_found_out() {
    let (mut run, _turn) = started(3);
    run.check_ready(0, 2 * READY_BOUND, READY_BOUND);
    assert!(matches!(run.breaches(), [Breach::ReadyLate { .. }]));
}

/// Plants a stopped process while an attempt waits for its answer.
#[test]
fn an_answer_that_is_owed_at_the_kill_is_found_out() {
    let (mut run, _turn) = started(4);
    run.testbed().signal(0, Signal::STOP);
    let history = run.testbed().history.clone();
    let (asked, until) = history.own_attempt(0, 0, 0, Duration::from_secs(3));
    history.start_attempt(&asked, until);
    run.check_owed(0);
    assert!(matches!(run.breaches(), [Breach::OwedAtKill { .. }]));
}

/// Plants a stopped process that gets SIGTERM and does not exit.
#[test]
fn a_process_that_does_not_end_is_found_out() {
    let (mut run, _turn) = started(8);
    run.testbed().signal(0, Signal::STOP);
    run.testbed().signal(0, Signal::TERM);
    assert!(!run.check_ended(0, Instant::now() + Duration::from_millis(200)));
    assert!(matches!(run.breaches(), [Breach::NotEnded { .. }]));
}

/// Plants a peer that completes the startup exchange and closes the connection in the middle of an answer.
#[test]
fn an_answer_that_is_cut_is_found_out() {
    let (mut run, _turn) = started(9);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let whole = testbed::wire::row("value", &[]);
        stream.read_exact(&mut [0; 8]).unwrap();
        // Any message that ends with ReadyForQuery completes the startup exchange.
        stream.write_all(&whole).unwrap();
        _ = stream.read(&mut [0; 1_024]).unwrap();
        stream.write_all(&whole[..whole.len() / 2]).unwrap();
    });
    run.check_held_connection(0, address);
    peer.join().unwrap();
    assert!(
        matches!(run.breaches(), [Breach::AnswerCut { .. }]),
        "{:?}",
        run.breaches()
    );
}

/// A client that never closes its connection stands in for a proxy that leaks a descriptor.
#[test]
fn a_descriptor_that_is_left_is_found_out() {
    let (mut run, _turn) = started(5);
    let address = run.testbed().proxies[0].address.unwrap();
    let left = run.testbed().wait(async {
        let mut connection = Connection::open(address).await.unwrap();
        // A client may stay idle for long after its first request.
        let marker = "SELECT marker /* id=00000000000000ff,c=any,d=1000,cluster=0 */";
        connection.ask(marker).await.unwrap();
        connection
    });
    let report = run.finish();
    drop(left);
    assert!(found(&report, |breach| matches!(
        breach,
        Breach::LeftBehind { proxy: 0, .. }
    )));
}

/// The test sends a request to a server after its client has left, as a faulty proxy would.
#[test]
fn an_attempt_after_its_client_left_is_found_out() {
    let (mut run, _turn) = started(6);
    let testbed = run.testbed();
    let history = testbed.history.clone();
    let (asked, until) = history.own_attempt(0, 0, 0, Duration::from_secs(3));
    history.start_attempt(&asked, until);
    history.client_left(asked.id, Departure::Closed);
    std::thread::sleep(Duration::from_millis(150));
    let server = testbed.link(0, 0).expect("a relay to the first server");
    let statement = format!(
        "SELECT doc FROM items WHERE id = '1' /* id={:016x},c=any,d=1000,cluster=0 */",
        asked.id
    );
    testbed.wait(async {
        let mut connection = Connection::open(server.address).await.unwrap();
        connection.ask(&statement).await.unwrap();
    });
    let report = run.finish();
    assert!(found(&report, |breach| matches!(
        breach,
        Breach::SentAfterLeave(_)
    )));
}

/// Plants a proxy that forwards a request and closes the client's connection without an answer.
#[test]
fn a_forwarded_request_without_an_answer_is_found_out() {
    let (mut run, _turn) = started(7);
    let testbed = run.testbed();
    let history = testbed.history.clone();
    let (asked, until) = history.own_attempt(0, 0, 0, Duration::from_secs(3));
    history.start_attempt(&asked, until);
    let server = testbed.link(0, 0).expect("a relay to the first server");
    let statement = format!(
        "SELECT doc FROM items WHERE id = '1' /* id={:016x},c=any,d=1000,cluster=0 */",
        asked.id
    );
    testbed.wait(async {
        let mut connection = Connection::open(server.address).await.unwrap();
        connection.ask(&statement).await.unwrap();
    });
    history.closed_unanswered(asked.id);
    let report = run.finish();
    let lost = invariant_checkers::Rule::Lost;
    assert!(found(
        &report,
        |breach| matches!(breach, Breach::Rule(rule, _) if *rule == lost)
    ));
}
