//! Responses that begin and then pause: those that go on are served, and those that never end delay no request.

mod common;
use common::{answer, get, read_statement, Listener, Peer, TestProxy, EMPTY_QUERY};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// Longer than the pause after which a response counts as stalled.
const PAUSE: Duration = Duration::from_millis(60);
/// Within this time a read is served although the first response to it never ends.
const SERVED_WITHIN: Duration = Duration::from_millis(500);

/// A step of a record server that answers.
#[derive(Clone)]
enum Step {
    Write(Vec<u8>),
    Pause(Duration),
    /// Nothing follows; the connection stays open.
    Stop,
}

/// Answers every query on every connection by these steps.
fn serve(listener: Listener, steps: Vec<Step>) {
    thread::spawn(move || loop {
        if let Some(mut peer) = listener.try_accept() {
            let steps = steps.clone();
            thread::spawn(move || {
                peer.startup();
                while let Ok((_, body)) = peer.message() {
                    let is_answered = match body.as_slice() {
                        EMPTY_QUERY => {
                            peer.write_empty_query_response();
                            true
                        }
                        b"SHOW load\0" => {
                            let report = answer("x0=1.0,x1=0,backlog=0", &[]);
                            peer.stream.write_all(&report).is_ok()
                        }
                        _ => play(&mut peer, &steps),
                    };
                    if !is_answered {
                        return;
                    }
                }
            });
        }
        thread::sleep(Duration::from_millis(1));
    });
}

/// Returns false once the proxy has closed the connection.
fn play(peer: &mut Peer, steps: &[Step]) -> bool {
    for step in steps {
        match step {
            Step::Write(bytes) if peer.stream.write_all(bytes).is_err() => return false,
            Step::Write(_) => {}
            Step::Pause(pause) => thread::sleep(*pause),
            Step::Stop => {
                peer.ended();
                return false;
            }
        }
    }
    true
}

/// The steps of a response that is cut at these places, with a pause at each.
fn in_pieces(response: &[u8], cuts: &[usize], pause: Duration) -> Vec<Step> {
    let (mut steps, mut written) = (Vec::new(), 0);
    for &cut in cuts {
        steps.push(Step::Write(response[written..cut].to_vec()));
        steps.push(Step::Pause(pause));
        written = cut;
    }
    steps.push(Step::Write(response[written..].to_vec()));
    steps
}

/// A proxy with a server for each list of steps.
fn proxy_with(steps: &[Vec<Step>]) -> TestProxy {
    proxy_that_hedges(true, steps)
}

/// The same; `may_hedge`: an attempt may run beside another one of its request.
fn proxy_that_hedges(may_hedge: bool, steps: &[Vec<Step>]) -> TestProxy {
    let names: Vec<String> = (0..steps.len()).map(|n| format!("s-{n}")).collect();
    let servers: Vec<Listener> = steps.iter().map(|_| Listener::new()).collect();
    let endpoints: Vec<(&str, &Listener)> =
        names.iter().map(String::as_str).zip(&servers).collect();
    let test_proxy = TestProxy::with_config(&endpoints, |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
        config.platform.settings.may_hedge = may_hedge;
    });
    for (server, steps) in servers.into_iter().zip(steps) {
        serve(server, steps.clone());
    }
    test_proxy
}

fn value(bytes: usize) -> String {
    "abcdefg".chars().cycle().take(bytes).collect()
}

/// Checks that a value is served whole although each of three servers pauses at each of the cuts.
fn check_served_in_pieces(bytes: usize, cuts: &[usize], pause: Duration) {
    let value = value(bytes);
    let steps = in_pieces(&answer(&value, &[("role", "replica")]), cuts, pause);
    let test_proxy = proxy_with(&[steps.clone(), steps.clone(), steps]);
    let mut client = Peer::client(test_proxy.address);
    for id in 0..2 {
        client.ask(&read_statement(id, "any", 5_000));
        let reply = client.reply();
        assert!(
            reply.value.as_deref() == Some(&value),
            "{bytes} bytes cut at {cuts:?}: {:?}",
            reply.code
        );
    }
}

/// Number of bytes of RowDescription.
const DESCRIPTION_BYTES: usize = 1 + 4 + 2 + 4 + 18;

/// Guards against large values that are cut off before the header of their row has come, as their server pauses (review/10).
#[test]
fn a_large_value_whose_server_pauses_before_its_row_is_served() {
    const LARGE: usize = 1 << 20;
    check_served_in_pieces(LARGE, &[DESCRIPTION_BYTES], PAUSE);
    check_served_in_pieces(LARGE, &[1], PAUSE);
    check_served_in_pieces(LARGE, &[DESCRIPTION_BYTES + 7], PAUSE);
    check_served_in_pieces(
        70 << 10,
        &[3, DESCRIPTION_BYTES, DESCRIPTION_BYTES + 1],
        PAUSE,
    );
    check_served_in_pieces(LARGE, &[DESCRIPTION_BYTES], 8 * PAUSE);
}

/// Guards against the same of values that are relayed as a whole, and whose servers all pause.
#[test]
fn a_small_value_whose_servers_all_pause_is_served() {
    check_served_in_pieces(200, &[DESCRIPTION_BYTES + 50], PAUSE);
    check_served_in_pieces(60 << 10, &[DESCRIPTION_BYTES, 30 << 10], PAUSE);
}

/// Guards against reads that wait for a response that begins and never ends: another server gets them at once.
#[test]
fn a_read_whose_first_response_never_ends_is_served_in_time() {
    let value = value(100);
    let response = answer(&value, &[("role", "replica")]);
    for cut in [
        1,
        DESCRIPTION_BYTES,
        DESCRIPTION_BYTES + 8,
        response.len() - 3,
    ] {
        let endless = vec![Step::Write(response[..cut].to_vec()), Step::Stop];
        let sound = vec![Step::Write(response.clone())];
        let test_proxy = proxy_with(&[endless.clone(), endless, sound]);
        let mut client = Peer::client(test_proxy.address);
        for id in 0..6 {
            let asked_at = Instant::now();
            client.ask(&read_statement(id, "any", 5_000));
            assert_eq!(
                client.reply().value.as_deref(),
                Some(&*value),
                "cut at {cut}"
            );
            let elapsed = asked_at.elapsed();
            assert!(elapsed < SERVED_WITHIN, "cut at {cut}: {elapsed:?}");
        }
        // The responses that never end hold no connection once their requests are answered.
        common::wait_for_metric(test_proxy.admin.unwrap(), "lb_in_flight 0");
    }
}

/// Guards against a request without a final answer, or without one in its time, where no response ever ends.
#[test]
fn a_read_none_of_whose_responses_ends_gets_its_answer_in_its_time() {
    let response = answer(&value(100), &[]);
    let endless = vec![
        Step::Write(response[..DESCRIPTION_BYTES].to_vec()),
        Step::Stop,
    ];
    let test_proxy = proxy_with(&[endless.clone(), endless]);
    let mut client = Peer::client(test_proxy.address);
    let asked_at = Instant::now();
    client.ask(&read_statement(1, "any", 1_000));
    assert!(client.reply().code.is_some());
    assert!(asked_at.elapsed() < Duration::from_millis(1_500));
    let (_, metrics) = get(test_proxy.admin.unwrap(), "/api/telemetry");
    assert!(metrics.contains("lb_in_flight 0"), "{metrics}");
}

/// Guards against a second attempt beside a stalled one where the settings allow none: the stalled one is given up first.
#[test]
fn a_read_whose_first_response_never_ends_is_served_without_hedging() {
    let value = value(100);
    let response = answer(&value, &[("role", "replica")]);
    let endless = vec![
        Step::Write(response[..DESCRIPTION_BYTES].to_vec()),
        Step::Stop,
    ];
    let sound = vec![Step::Write(response)];
    let test_proxy = proxy_that_hedges(false, &[endless, sound]);
    let mut client = Peer::client(test_proxy.address);
    for id in 0..4 {
        let asked_at = Instant::now();
        client.ask(&read_statement(id, "any", 5_000));
        assert_eq!(client.reply().value.as_deref(), Some(&*value));
        assert!(asked_at.elapsed() < SERVED_WITHIN);
    }
}
