//! Admin API of a real proxy between scripted clients and record servers.

mod common;
use common::{call, get, post, read_statement, serve_request, Listener, Peer, TestProxy};
use leverproxy::control::admin::MAX_CONNECTIONS;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

fn test_proxy(servers: &[(&str, &Listener)]) -> (TestProxy, SocketAddr) {
    let test_proxy = TestProxy::with_config(servers, |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
        // A server that is included again gets its full share at once, so that the tests do not depend on random numbers.
        config.platform.settings.initial_capacity_fraction = 1.0;
    });
    let admin = test_proxy.admin.unwrap();
    (test_proxy, admin)
}

fn metrics(admin: SocketAddr) -> BTreeMap<String, u64> {
    let (status, text) = get(admin, "/api/telemetry");
    assert_eq!(status, 200);
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| line.rsplit_once(' ').unwrap())
        .map(|(k, v)| (k.into(), v.parse().unwrap()))
        .collect()
}

/// The metrics count exactly the requests and attempts that the scripted clients and servers saw.
#[test]
fn metrics_are_what_the_peers_saw() {
    let server = Listener::new();
    let (test_proxy, admin) = test_proxy(&[("s-1", &server)]);
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    let under_way = metrics(admin);
    assert_eq!(
        (under_way["lb_in_flight"], under_way["lb_attempts_total"]),
        (1, 1)
    );
    upstream.answer("one", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("one"));
    // A write that may have run, and a request of an unknown class.
    client.ask(&read_statement(2, "book", 19000));
    upstream.report_primary();
    upstream.query();
    drop(upstream);
    assert!(client.reply().code.is_some());
    client.ask(&read_statement(3, "unheard-of", 19000));
    assert!(client.reply().code.is_some());
    // A known class, but the id of the request before.
    client.ask(&read_statement(2, "any", 19000));
    assert!(client.reply().code.is_some());
    let counted = metrics(admin);
    for (name, value) in [
        (r#"lb_requests_total{class="any",outcome="served"}"#, 1),
        (r#"lb_requests_total{class="any",outcome="refused"}"#, 0),
        (r#"lb_requests_total{class="any",outcome="failed"}"#, 1),
        (r#"lb_requests_total{class="book",outcome="served"}"#, 0),
        (r#"lb_requests_total{class="book",outcome="failed"}"#, 1),
        ("lb_attempts_total", 2),
        ("lb_in_flight", 0),
        ("lb_record_servers_known", 1),
        ("lb_reloads_ok_total", 0),
        ("lb_reloads_failed_total", 0),
    ] {
        assert_eq!(counted[name], value, "{name}");
    }
}

/// A server that an operator has excluded gets no new requests, whatever its status in discovery's list, until an operator
/// includes it again.
#[test]
fn an_excluded_server_gets_no_requests_until_it_is_included() {
    let (first, second) = (Listener::new(), Listener::new());
    let (mut test_proxy, admin) = test_proxy(&[("s-1", &first), ("s-2", &second)]);
    assert_eq!(post(admin, "exclude", "s-9"), 404);
    assert_eq!(post(admin, "exclude", "s-1"), 200);
    assert_eq!(post(admin, "exclude", "s-1"), 200);
    assert_eq!(metrics(admin)["lb_record_servers_excluded"], 1);
    test_proxy
        .watch
        .send_list(42, &[first.endpoint_entry("s-1", "Ready")]);
    let mut client = Peer::client(test_proxy.address);
    drop(serve_request(&mut client, &second, 1, "one"));
    assert!(first.try_accept().is_none());
    assert_eq!(post(admin, "include", "s-1"), 200);
    assert_eq!(post(admin, "exclude", "s-2"), 200);
    drop(serve_request(&mut client, &first, 2, "back"));
    assert!(second.try_accept().is_none());
}

/// More callers than the admin API has connections send half a call each and wait. A complete call after them is answered,
/// since the oldest connections are closed for it.
#[test]
fn slow_callers_do_not_block_others() {
    let (_test_proxy, admin) = test_proxy(&[]);
    let slow_callers: Vec<TcpStream> = (0..2 * MAX_CONNECTIONS)
        .map(|_| {
            let mut stream = TcpStream::connect(admin).unwrap();
            stream.write_all(b"GET /api/ready HT").unwrap();
            stream
        })
        .collect();
    assert_eq!(get(admin, "/api/ready"), (200, "ready\n".into()));
    drop(slow_callers);
    // A caller that closes its side for writing after a complete call still gets the response.
    let mut stream = TcpStream::connect(admin).unwrap();
    stream
        .write_all(b"GET /api/ready HTTP/1.1\r\n\r\n")
        .unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_eq!(get(admin, "/api/readyz").0, 404);
}

/// A call that excludes a server is cut at every byte, and its caller disconnects or waits. None of the incomplete calls
/// excludes the server; a complete call after them does.
#[test]
fn an_incomplete_call_changes_nothing() {
    let server = Listener::new();
    let (_test_proxy, admin) = test_proxy(&[("s-1", &server)]);
    let body = r#"{"target":"s-1"}"#;
    let text = format!(
        "POST /api/exclude HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut waiting = Vec::new();
    for cut in 0..text.len() {
        let mut stream = TcpStream::connect(admin).unwrap();
        stream.write_all(&text.as_bytes()[..cut]).unwrap();
        if cut % 2 == 0 {
            waiting.push(stream);
        }
    }
    assert_eq!(metrics(admin)["lb_record_servers_excluded"], 0);
    assert_eq!(
        call(admin, &format!("{text}GET /api/ready HTTP/1.1\r\n\r\n")).0,
        400
    );
    assert_eq!(metrics(admin)["lb_record_servers_excluded"], 0);
    assert_eq!(post(admin, "exclude", "s-1"), 200);
    assert_eq!(metrics(admin)["lb_record_servers_excluded"], 1);
}

/// Over a run with responses, errors, a broken connection and a client that disconnects, the metrics equal the counts of the
/// scripted peers.
#[test]
fn metrics_over_a_run_equal_what_the_peers_counted() {
    let server = Listener::new();
    let (test_proxy, admin) = test_proxy(&[("s-1", &server)]);
    let mut client = Peer::client(test_proxy.address);
    // The first request of a class may be preceded by a probe, which does not count as an attempt.
    let (mut served, mut failed, mut attempts) = (0, 0, 0);
    let mut upstream = None;
    for id in 0..60 {
        client.ask(&read_statement(id, "book", 19000));
        let peer = upstream.get_or_insert_with(|| server.accept_session());
        let mut asked = peer.query();
        if asked == "SHOW load" {
            peer.answer("x0=1.0,x1=1,backlog=0", &[]);
            asked = peer.query();
        }
        assert!(asked.contains(&format!("id={id:016x}")), "{asked}");
        attempts += 1;
        match id % 3 {
            0 => peer.answer("value", &[("role", "primary")]),
            // A write that may have run fails and is not retried.
            _ if id < 59 => peer.error("XX000"),
            // Only the last request breaks its connection, because the server is in backoff afterwards.
            _ => upstream = None,
        }
        match client.reply() {
            reply if reply.value.is_some() => served += 1,
            reply if reply.code.as_deref() == Some("53300") => {
                panic!("rejected as not run, though the write may have run")
            }
            _ => failed += 1,
        }
    }
    // A client disconnects while its request is in flight.
    client.ask(&read_statement(100, "any", 19000));
    let peer = upstream.get_or_insert_with(|| server.accept_session());
    while peer.query() == "SHOW load" {
        peer.answer("x0=1.0,x1=1,backlog=0", &[]);
    }
    drop(client);
    common::wait_for_metric(admin, "lb_in_flight 0");
    let counted = metrics(admin);
    assert_eq!((served, failed), (20, 40));
    assert_eq!(
        counted[r#"lb_requests_total{class="book",outcome="served"}"#],
        served
    );
    assert_eq!(
        counted[r#"lb_requests_total{class="book",outcome="failed"}"#],
        failed
    );
    assert_eq!(
        counted[r#"lb_requests_total{class="book",outcome="refused"}"#],
        0
    );
    assert_eq!(counted["lb_attempts_total"], attempts + 1);
    assert_eq!(
        counted
            .iter()
            .filter(|(k, _)| k.contains("\"any\""))
            .map(|(_, v)| v)
            .sum::<u64>(),
        0
    );
}
