//! Operators' calls on the second address of a real proxy between scripted peers.

mod common;
use common::{call, get, post, read, served, Listener, Peer, Stage};
use leverproxy::control::admin::MAX_CONNECTIONS;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

fn stage(servers: &[(&str, &Listener)]) -> (Stage, SocketAddr) {
    let stage = Stage::with(servers, |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
        // A server that comes back takes its full part at once: no draw decides what these tests see.
        config.platform.settings.initial_capacity_fraction = 1.0;
    });
    let admin = stage.admin.unwrap();
    (stage, admin)
}

fn figures(admin: SocketAddr) -> BTreeMap<String, u64> {
    let (status, text) = get(admin, "/api/telemetry");
    assert_eq!(status, 200);
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| line.rsplit_once(' ').unwrap())
        .map(|(k, v)| (k.into(), v.parse().unwrap()))
        .collect()
}

/// What the scripted peers did is what the figures tell, answer by answer.
#[test]
fn figures_are_what_peers_saw() {
    let server = Listener::new();
    let (stage, admin) = stage(&[("s-1", &server)]);
    let mut client = Peer::client(stage.address);
    client.ask(&read(1, "any", 19000));
    let mut upstream = server.welcome();
    upstream.query();
    let under_way = figures(admin);
    assert_eq!(
        (under_way["lb_in_flight"], under_way["lb_attempts_total"]),
        (1, 1)
    );
    upstream.answer("one", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("one"));
    // A write that may have run, and one that is nobody's class.
    client.ask(&read(2, "book", 19000));
    upstream.report_primary();
    upstream.query();
    drop(upstream);
    assert!(client.reply().code.is_some());
    client.ask(&read(3, "unheard-of", 19000));
    assert!(client.reply().code.is_some());
    // A sound class, but the id of the request before.
    client.ask(&read(2, "any", 19000));
    assert!(client.reply().code.is_some());
    let told = figures(admin);
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
        assert_eq!(told[name], value, "{name}");
    }
}

/// Out by hand: nothing new goes there, whatever discovery says, until one call back.
#[test]
fn a_server_that_is_out_gets_nothing_until_it_is_called_back() {
    let (first, second) = (Listener::new(), Listener::new());
    let (mut stage, admin) = stage(&[("s-1", &first), ("s-2", &second)]);
    assert_eq!(post(admin, "exclude", "s-9"), 404);
    assert_eq!(post(admin, "exclude", "s-1"), 200);
    assert_eq!(post(admin, "exclude", "s-1"), 200);
    assert_eq!(figures(admin)["lb_record_servers_excluded"], 1);
    stage.watch.tell(42, &[first.listed("s-1", "Ready")]);
    let mut client = Peer::client(stage.address);
    drop(served(&mut client, &second, 1, "one"));
    assert!(first.try_accept().is_none());
    assert_eq!(post(admin, "include", "s-1"), 200);
    assert_eq!(post(admin, "exclude", "s-2"), 200);
    drop(served(&mut client, &first, 2, "back"));
    assert!(second.try_accept().is_none());
}

/// As many callers as there are places hold half a call each; a whole one behind them is answered all the same.
#[test]
fn callers_that_dawdle_keep_nobody_from_an_answer() {
    let (_stage, admin) = stage(&[]);
    let dawdlers: Vec<TcpStream> = (0..2 * MAX_CONNECTIONS)
        .map(|_| {
            let mut stream = TcpStream::connect(admin).unwrap();
            stream.write_all(b"GET /api/ready HT").unwrap();
            stream
        })
        .collect();
    assert_eq!(get(admin, "/api/ready"), (200, "ready\n".into()));
    drop(dawdlers);
    // One that ends its side behind a whole call still hears.
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

/// A call cut at every byte, its caller gone or waiting: nothing changes, and a whole one behind them all is answered.
#[test]
fn a_call_cut_anywhere_changes_nothing() {
    let server = Listener::new();
    let (_stage, admin) = stage(&[("s-1", &server)]);
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
    assert_eq!(figures(admin)["lb_record_servers_excluded"], 0);
    assert_eq!(
        call(admin, &format!("{text}GET /api/ready HTTP/1.1\r\n\r\n")).0,
        400
    );
    assert_eq!(figures(admin)["lb_record_servers_excluded"], 0);
    assert_eq!(post(admin, "exclude", "s-1"), 200);
    assert_eq!(figures(admin)["lb_record_servers_excluded"], 1);
}

/// Refusals, errors, retries, a server lost, clients that leave: the figures against a ledger that the peers keep.
#[test]
fn figures_over_a_run_equal_the_peers_ledger() {
    let server = Listener::new();
    let (stage, admin) = stage(&[("s-1", &server)]);
    let mut client = Peer::client(stage.address);
    // Warms up: the first of a class may be preceded by a probe, which is no attempt.
    let (mut served, mut failed, mut attempts) = (0, 0, 0);
    let mut upstream = None;
    for id in 0..60 {
        client.ask(&read(id, "book", 19000));
        let peer = upstream.get_or_insert_with(|| server.welcome());
        let mut asked = peer.query();
        if asked == "SHOW load" {
            peer.answer("x0=1.0,x1=1,backlog=0", &[]);
            asked = peer.query();
        }
        assert!(asked.contains(&format!("id={id:016x}")), "{asked}");
        attempts += 1;
        match id % 3 {
            0 => peer.answer("value", &[("role", "primary")]),
            // A write that may have run fails and is not tried again.
            _ if id < 59 => peer.error("XX000"),
            // The last one's connection breaks: the server is left alone for a while then.
            _ => upstream = None,
        }
        match client.reply() {
            reply if reply.value.is_some() => served += 1,
            reply if reply.code.as_deref() == Some("53300") => {
                panic!("refused, though it may have run")
            }
            _ => failed += 1,
        }
    }
    // One leaves while it is under way.
    client.ask(&read(100, "any", 19000));
    let peer = upstream.get_or_insert_with(|| server.welcome());
    while peer.query() == "SHOW load" {
        peer.answer("x0=1.0,x1=1,backlog=0", &[]);
    }
    drop(client);
    common::until(admin, "lb_in_flight 0");
    let told = figures(admin);
    assert_eq!((served, failed), (20, 40));
    assert_eq!(
        told[r#"lb_requests_total{class="book",outcome="served"}"#],
        served
    );
    assert_eq!(
        told[r#"lb_requests_total{class="book",outcome="failed"}"#],
        failed
    );
    assert_eq!(
        told[r#"lb_requests_total{class="book",outcome="refused"}"#],
        0
    );
    assert_eq!(told["lb_attempts_total"], attempts + 1);
    assert_eq!(
        told.iter()
            .filter(|(k, _)| k.contains("\"any\""))
            .map(|(_, v)| v)
            .sum::<u64>(),
        0
    );
}
