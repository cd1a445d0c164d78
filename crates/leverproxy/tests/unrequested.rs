//! Bytes that a record server sends although no request asked for them, and the synchronization that keeps them away from
//! the next request on the connection.

mod common;
use common::{answer, read_statement, wait_for_metric, Listener, Peer, Reply, TestProxy};
use leverproxy::config::Config;
use leverproxy::protocol::postgres::synchronization::SynchronizationReader;
use leverproxy::protocol::postgres::{put, put_error, put_ready_for_query, put_text, server};
use std::thread;
use std::time::{Duration, Instant};

/// Longest delay of a request by a connection that cannot be used: the 40 ms for which it waits, on a busy machine.
const MAX_DELAY: Duration = Duration::from_secs(1);
const PRIMARY: &[(&str, &str)] = &[("role", "primary")];

fn with_admin(config: &mut Config) {
    config.admin = Some("127.0.0.1:0".parse().unwrap());
}

fn error_response(code: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_error(&mut out, "ERROR", code, "scripted", None);
    put_ready_for_query(&mut out);
    out
}

fn served(value: &str) -> Reply {
    Reply {
        value: Some(value.into()),
        ..Reply::default()
    }
}

/// Serves a request, and returns the connection that it was served on before its empty query is read.
fn serve_first_request(client: &mut Peer, server: &Listener) -> Peer {
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    upstream.write_answer("one", PRIMARY);
    assert_eq!(client.reply(), served("one"));
    upstream
}

/// Writes `packets` when the first bytes behind the response have arrived. Serves the next request on another connection,
/// and returns how often the servers received it.
fn serve_second_request(class: &str, packets: Vec<Vec<u8>>) -> usize {
    let server = Listener::new();
    let test_proxy = TestProxy::with_config(&[("s-1", &server)], with_admin);
    let mut client = Peer::client(test_proxy.address);
    let mut upstream = serve_first_request(&mut client, &server);
    client.ask(&read_statement(2, class, 19000));
    let (_, body) = upstream.message().unwrap();
    let received_first =
        usize::from(String::from_utf8_lossy(&body).contains("id=0000000000000002"));
    for packet in packets {
        upstream.write(&packet);
        thread::sleep(Duration::from_millis(5));
    }
    thread::spawn(move || {
        let mut other = server.accept_session();
        other.query();
        other.answer("two", PRIMARY);
        // The listener stays open until the test has ended.
        other.ended();
        drop(server);
    });
    assert_eq!(client.reply(), served("two"));
    wait_for_metric(
        test_proxy.admin.unwrap(),
        "lb_unrequested_responses_total 1",
    );
    received_first + 1
}

/// Guards against a second copy of a response that arrives under the next request being served as its response.
#[test]
fn a_late_second_copy_of_a_response_is_served_to_no_other_request() {
    let copy = answer("one", PRIMARY);
    let halves = [&copy[..copy.len() / 2], &copy[copy.len() / 2..]];
    for class in ["any", "book"] {
        for packets in [
            vec![copy.clone()],
            vec![copy.repeat(2)],
            vec![copy.clone(), copy.clone()],
            halves.map(<[u8]>::to_vec).to_vec(),
            vec![answer(&"x".repeat(200 << 10), PRIMARY)],
        ] {
            assert_eq!(serve_second_request(class, packets), 1);
        }
    }
}

/// Guards against a second copy that arrives together with its response being served to the next request.
#[test]
fn a_second_copy_in_one_packet_with_its_response_is_served_to_no_other_request() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    upstream.write(&answer("one", PRIMARY).repeat(2));
    assert_eq!(client.reply(), served("one"));
    assert!(upstream.ended());
    common::serve_request(&mut client, &server, 2, "two");
}

/// Guards against a late error response being taken for that of the next request: a write that the server has received
/// would be sent again, since these errors state that it did not run.
#[test]
fn a_late_second_error_does_not_cause_another_attempt_of_the_next_request() {
    for code in ["53300", "25006"] {
        assert_eq!(serve_second_request("book", vec![error_response(code)]), 1);
    }
}

/// Guards against bytes behind a response causing the next request on the connection to fail.
#[test]
fn late_noise_behind_a_response_fails_no_other_request() {
    for noise in [&b"\x00\xff\x17noise"[..], b"Z\x00\x00\x00\x05I"] {
        assert_eq!(serve_second_request("book", vec![noise.to_vec()]), 1);
    }
}

/// Guards against a request that waits until a connection times out whose server does not answer the empty query.
#[test]
fn a_connection_that_is_not_synchronized_delays_no_request() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let mut client = Peer::client(test_proxy.address);
    let silent = serve_first_request(&mut client, &server);
    let asked_at = Instant::now();
    client.ask(&read_statement(2, "any", 19000));
    let mut other = server.accept_session();
    other.query();
    let delay = asked_at.elapsed();
    assert!(delay < MAX_DELAY, "sent after {delay:?}");
    other.answer("two", PRIMARY);
    assert_eq!(client.reply(), served("two"));
    drop(silent);
}

#[test]
fn the_response_to_the_empty_query_may_be_cut_anywhere_and_hold_notices() {
    let mut response = Vec::new();
    put(&mut response, b'S', |body| {
        put_text(body, "role");
        put_text(body, "replica");
    });
    response.extend(server::empty_query());
    for cut in 0..response.len() {
        let mut reader = SynchronizationReader::default();
        let (used, complete) = reader.parse(&response[..cut]).unwrap();
        assert!(!complete, "cut at {cut}");
        let (rest, complete) = reader.parse(&response[used..]).unwrap();
        assert_eq!((used + rest, complete), (response.len(), true));
    }
}

#[test]
fn no_other_response_passes_for_that_to_the_empty_query() {
    let mut ready = Vec::new();
    put_ready_for_query(&mut ready);
    for response in [answer("one", &[]), error_response("53300"), ready] {
        assert!(SynchronizationReader::default().parse(&response).is_err());
    }
}
