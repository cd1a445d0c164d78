//! Responses that are too large to be buffered, through a whole proxy and through its downstream side alone.

mod common;
use common::{answer, message, read_statement, Listener, Peer, Reply, TestProxy};
use leverproxy::downstream::{Downstream, Event};
use leverproxy::event_loop::reactor::Reactor;
use leverproxy::event_loop::token::Token;
use leverproxy::request::{Answer, ResponseSlot};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Size in bytes of a value that is forwarded as a whole.
const SMALL: usize = 200;
/// Pause between two pieces of a response, so that the pieces of several responses arrive in a known order.
const WRITE_INTERVAL: Duration = Duration::from_millis(30);

/// A value of `bytes` letters that depend on their position.
fn value(bytes: usize) -> String {
    (0..bytes)
        .map(|at| char::from(b'a' + (at / 7 % 26) as u8))
        .collect()
}

fn request_in_flight(server: &Listener, test_proxy: &TestProxy) -> (Peer, Peer) {
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    (client, upstream)
}

/// A server writes a large response in chunks of odd sizes, cut at every byte of the row's header. The client gets it
/// unchanged, and the connection serves another request.
#[test]
fn a_large_answer_passes_unchanged_in_chunks_cut_anywhere() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let (mut client, mut upstream) = request_in_flight(&server, &test_proxy);
    let value = value(4 << 20);
    let bytes = answer(&value, &[("role", "replica")]);
    let writing = std::thread::spawn(move || {
        // Cuts at every byte of the row's header, then at odd sizes.
        let mut at = 0;
        for piece in std::iter::repeat_n(1, 60).chain(std::iter::repeat(70_001)) {
            if at == bytes.len() {
                return upstream;
            }
            let end = bytes.len().min(at + piece);
            upstream.write(&bytes[at..end]);
            at = end;
        }
        unreachable!()
    });
    assert!(client.reply().value == Some(value));
    // The connection serves another request.
    let mut upstream = writing.join().unwrap();
    client.ask(&read_statement(2, "any", 19000));
    upstream.query();
    upstream.answer("small", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("small"));
}

/// A server fails after the first bytes of its large response have reached the client. Another server's response could not
/// continue the first one, so the request is not retried. The client's connection is closed, which shows that the row is
/// incomplete.
#[test]
fn an_answer_that_has_begun_is_not_retried_on_another_server() {
    let (server, other) = (Listener::new(), Listener::new());
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let (mut client, mut upstream) = request_in_flight(&server, &test_proxy);
    let bytes = answer(&value(1 << 20), &[]);
    upstream.write(&bytes[..200 << 10]);
    assert_eq!(client.message().unwrap().0, b'T');
    // A second server is available for a retry.
    let mut test_proxy = test_proxy;
    test_proxy
        .watch
        .send_list(42, &[other.endpoint_entry("s-2", "Ready")]);
    drop(upstream);
    assert!(
        client.message().is_err(),
        "the connection must end before the row is complete"
    );
    assert!(server.no_connection_within(Duration::from_millis(50)) && other.try_accept().is_none());
}

/// A server stops in the middle of a large response without closing its connection. Both connections are closed at the
/// request's deadline, which shows the client that the row is incomplete.
#[test]
fn a_server_that_stalls_midway_holds_its_client_until_the_deadline() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 1_500));
    let mut upstream = server.accept_session();
    upstream.query();
    upstream.write(&answer(&value(1 << 20), &[])[..200 << 10]);
    assert_eq!(client.message().unwrap().0, b'T');
    assert!(
        client.message().is_err(),
        "the client's connection must end at the deadline"
    );
    assert!(upstream.ended());
    // The proxy still serves.
    drop(common::serve_request(
        &mut Peer::client(test_proxy.address),
        &server,
        2,
        "small",
    ));
}

/// A client disconnects in the middle of a large response. The server's connection is closed, since the rest of the response
/// has no recipient.
#[test]
fn a_client_that_leaves_midway_ends_the_exchange() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let (mut client, mut upstream) = request_in_flight(&server, &test_proxy);
    upstream.write(&answer(&value(1 << 20), &[])[..200 << 10]);
    assert_eq!(client.message().unwrap().0, b'T');
    drop(client);
    assert!(upstream.ended());
}

/// A large response to a client's second command arrives before the response to the first, and is held until then.
#[test]
fn large_answers_keep_the_order_of_commands() {
    let server = Listener::new();
    let other = Listener::new();
    let admin = |config: &mut leverproxy::config::Config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap())
    };
    let mut test_proxy = TestProxy::with_config(&[("s-1", &server)], admin);
    let (mut client, mut first) = request_in_flight(&server, &test_proxy);
    test_proxy
        .watch
        .send_list(42, &[other.endpoint_entry("s-2", "Ready")]);
    common::wait_for_metric(test_proxy.admin.unwrap(), "lb_record_servers_known 2");
    client.ask(&read_statement(2, "any", 19000));
    let mut second = other.accept_session();
    second.query();
    let large = value(200 << 10);
    // The rest of it is held back until the first response has been sent.
    second.write_answer(&large, &[]);
    first.answer("first", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("first"));
    assert!(client.reply().value == Some(large));
}

/// Asks for values of `sizes` bytes at once on one connection, each from a server of its own. The servers
/// write in the order of `writers`, each in `rounds` pieces. Checks that the client gets every value whole.
fn check_pipelined_values(sizes: &[usize], writers: &[usize], rounds: usize) {
    let servers: Vec<Listener> = sizes.iter().map(|_| Listener::new()).collect();
    let names: Vec<String> = (0..sizes.len()).map(|n| format!("s-{n}")).collect();
    let endpoints: Vec<(&str, &Listener)> =
        names.iter().map(String::as_str).zip(&servers).collect();
    let test_proxy = TestProxy::new(&endpoints);
    let mut client = Peer::client(test_proxy.address);
    for id in 0..sizes.len() {
        client.ask(&read_statement(id as u32, "any", 19000));
    }
    // Responses that are held back block their servers, so each server has a thread.
    let writing: Vec<_> = servers
        .into_iter()
        .map(|server| {
            let (sizes, writers) = (sizes.to_vec(), writers.to_vec());
            std::thread::spawn(move || {
                let mut upstream = server.accept_session();
                let query = upstream.query();
                let asked = |id: &usize| query.contains(&format!("id={id:016x}"));
                let id = (0..sizes.len()).find(asked).unwrap();
                let turn = writers.iter().position(|&writer| writer == id).unwrap();
                let bytes = answer(&value(sizes[id]), &[]);
                // A response that is not forwarded in chunks has to arrive without a pause.
                let rounds = if sizes[id] > SMALL { rounds } else { 1 };
                for piece in bytes.chunks(bytes.len().div_ceil(rounds)) {
                    std::thread::sleep(WRITE_INTERVAL * (turn as u32 + 1));
                    upstream.write(piece);
                }
                upstream.synchronize();
            })
        })
        .collect();
    for &size in sizes {
        assert!(
            client.reply().value == Some(value(size)),
            "{size} bytes, written in the order {writers:?} in {rounds} pieces"
        );
    }
    for server in writing {
        server.join().unwrap();
    }
}

/// Guards against a large response that is held back behind another large one and is never continued.
#[test]
fn large_answers_that_arrive_together_on_one_connection_all_arrive_whole() {
    const LARGE: usize = 1 << 20;
    for rounds in [1, 5] {
        check_pipelined_values(&[LARGE, LARGE], &[1, 0], rounds);
        check_pipelined_values(&[LARGE, LARGE], &[0, 1], rounds);
        check_pipelined_values(&[LARGE, 4 * LARGE, LARGE], &[2, 1, 0], rounds);
        check_pipelined_values(&[LARGE, SMALL, LARGE, 70 << 10], &[3, 2, 0, 1], rounds);
        check_pipelined_values(&[SMALL, LARGE, LARGE], &[1, 2, 0], rounds);
    }
}

/// Serves every query on every connection with these bytes, until `stopped` is set.
fn serve_all(server: Listener, bytes: Vec<u8>, stopped: Arc<AtomicBool>) {
    while !stopped.load(Ordering::SeqCst) {
        let Some(mut upstream) = server.try_accept() else {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        };
        let bytes = bytes.clone();
        std::thread::spawn(move || {
            upstream.startup();
            while let Ok((b'Q', body)) = upstream.message() {
                if body == common::EMPTY_QUERY {
                    upstream.write_empty_query_response();
                } else if upstream.stream.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
    }
}

/// Guards against the same where the client begins to read late, so that the first response is held back as well.
#[test]
fn large_answers_on_one_connection_arrive_whole_though_their_client_reads_late() {
    let (one, two) = (Listener::new(), Listener::new());
    let test_proxy = TestProxy::new(&[("s-1", &one), ("s-2", &two)]);
    let mut client = Peer::client(test_proxy.address);
    let large = value(4 << 20);
    for id in 0..4 {
        client.ask(&read_statement(id, "any", 19000));
    }
    let stopped = Arc::<AtomicBool>::default();
    let servers = [one, two].map(|server| {
        let (bytes, stopped) = (answer(&large, &[]), stopped.clone());
        std::thread::spawn(move || serve_all(server, bytes, stopped))
    });
    std::thread::sleep(Duration::from_millis(300));
    for id in 0..4 {
        assert!(client.reply().value.as_ref() == Some(&large), "value {id}");
    }
    stopped.store(true, Ordering::SeqCst);
    for server in servers {
        server.join().unwrap();
    }
}

/// Several clients do not read their large responses, so the proxy stops reading from the servers' connections. Small
/// requests of other clients are still answered.
#[test]
fn small_requests_pass_beside_large_answers_that_are_held_back() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let bytes = Arc::new(answer(&value(4 << 20), &[]));
    let held: Vec<Peer> = (0..12)
        .map(|id| {
            let mut client = Peer::client(test_proxy.address);
            client.ask(&read_statement(id, "any", 19000));
            let mut upstream = server.accept_session();
            upstream.query();
            let bytes = bytes.clone();
            std::thread::spawn(move || upstream.stream.write_all(&bytes));
            // The first bytes have arrived; the client never reads the rest.
            assert_eq!(client.message().unwrap().0, b'T');
            client
        })
        .collect();
    for id in 100..110 {
        drop(common::serve_request(
            &mut Peer::client(test_proxy.address),
            &server,
            id,
            "small",
        ));
    }
    drop(held);
}

/// A server sends a row with an impossible length. No byte of it has reached the client, so only that attempt fails, and
/// another attempt serves the request.
#[test]
fn a_row_with_an_impossible_length_fails_only_its_attempt() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let (mut client, mut upstream) = request_in_flight(&server, &test_proxy);
    let mut lie = answer("", &[]);
    let row = lie.iter().rposition(|b| *b == b'D').unwrap();
    lie.truncate(row + 1);
    let length = 3_000_000_000_u32;
    lie.extend(length.to_be_bytes());
    lie.extend([0, 1]);
    lie.extend((length - 10).to_be_bytes());
    upstream.write(&lie);
    // The server is probed before the retry.
    let mut upstream = server.accept_session();
    upstream.report_primary();
    upstream.query();
    upstream.answer("sound", &[]);
    assert_eq!(
        client.reply(),
        Reply {
            value: Some("sound".into()),
            ..Reply::default()
        }
    );
}

/// A client that has sent three requests at once on one connection, and the connection of the server that got each.
fn three_requests_at_once() -> (TestProxy, Peer, [Peer; 3]) {
    let servers = [Listener::new(), Listener::new(), Listener::new()];
    let [first, second, third] = &servers;
    let test_proxy = TestProxy::new(&[("s-1", first), ("s-2", second), ("s-3", third)]);
    let mut client = Peer::client(test_proxy.address);
    let ids = [1, 2, 3];
    client.write(
        &ids.map(|id| message(&read_statement(id, "any", 19000)))
            .concat(),
    );
    let mut received: Vec<(String, Peer)> = servers
        .iter()
        .map(|server| {
            let mut upstream = server.accept_session();
            (upstream.query(), upstream)
        })
        .collect();
    let upstreams = ids.map(|id| {
        let id = format!("id={id:016x}");
        let at = received.iter().position(|(query, _)| query.contains(&id));
        received
            .swap_remove(at.expect("each server gets one request"))
            .1
    });
    (test_proxy, client, upstreams)
}

/// Number of bytes of a response before the value: RowDescription, and the header of the row.
fn header_bytes() -> usize {
    let all = answer("", &[]).len();
    all - (1 + 4 + "SELECT 1".len() + 1) - (1 + 4 + 1)
}

/// Guards against requests without an answer behind a large value that breaks off after a part of it was passed on (review/8).
/// The client sees that the value isn't whole: an error stands in place of its end.
#[test]
fn requests_behind_a_large_value_that_breaks_off_are_answered() {
    const BYTES: usize = 1 << 20;
    let whole = answer(&value(BYTES), &[]);
    let row_end = header_bytes() + BYTES;
    let cuts = [
        header_bytes() + 1,
        300_000,
        row_end - 1,
        row_end,
        row_end + 3,
    ];
    for cut in cuts {
        let (_test_proxy, mut client, [mut large, mut second, mut third]) =
            three_requests_at_once();
        large.write(&whole[..cut]);
        assert_eq!(client.message().unwrap().0, b'T', "cut at {cut}");
        second.write_answer("second", &[]);
        drop(large);
        let broken = client.reply();
        assert_eq!(broken.code.as_deref(), Some("08007"), "cut at {cut}");
        let length = broken.value.map(|value| value.len());
        assert_eq!(length, Some(BYTES), "cut at {cut}");
        assert_eq!(client.reply().value.as_deref(), Some("second"));
        third.write_answer("third", &[]);
        assert_eq!(client.reply().value.as_deref(), Some("third"));
    }
}

/// Guards against requests without an answer around a large value that breaks off while an earlier request is open (review/8).
#[test]
fn requests_around_a_large_value_that_breaks_off_behind_an_open_one_are_answered() {
    let (_test_proxy, mut client, [mut first, mut large, mut third]) = three_requests_at_once();
    large.write(&answer(&value(1 << 20), &[])[..300_000]);
    third.write_answer("third", &[]);
    thread::sleep(WRITE_INTERVAL);
    drop(large);
    thread::sleep(WRITE_INTERVAL);
    first.write_answer("first", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("first"));
    assert_eq!(client.reply().code.as_deref(), Some("08007"));
    assert_eq!(client.reply().value.as_deref(), Some("third"));
}

/// Guards against a request that is lost because it arrives while the value before it breaks off: it is answered, or its
/// client sees that it was not read.
#[test]
fn a_request_that_follows_the_beginning_of_a_value_that_breaks_off_is_answered() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let (mut client, mut large) = request_in_flight(&server, &test_proxy);
    large.write(&answer(&value(1 << 20), &[])[..300_000]);
    assert_eq!(client.message().unwrap().0, b'T');
    client.ask(&read_statement(2, "any", 19000));
    client.wait_until_acknowledged();
    drop(large);
    assert_eq!(client.reply().code.as_deref(), Some("08007"));
    let mut upstream = server.accept_session();
    upstream.query();
    upstream.answer("second", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("second"));
}

/// Many clients do not read their large responses. Back-pressure stops each server at the client's own window, and the sum of
/// the buffers stays within its share of the memory. A client that begins to read gets more.
#[test]
fn slow_readers_are_held_back_and_their_sum_is_bounded() {
    const CLIENTS: usize = 20;
    let test_proxy = TestProxy::new(&[]);
    let (now, reactor) = (Instant::now(), Reactor::new().unwrap());
    let config = leverproxy::config::parse(
        format!(
            r#"{{"listen":"127.0.0.1:0","discovery":"{}","settings":{}}}"#,
            test_proxy.address,
            common::SETTINGS
        )
        .as_bytes(),
        |_| None,
    )
    .unwrap();
    let mut limits = config.limits;
    limits.unsent_answers = 160 << 10;
    let mut downstream = Downstream::listen(
        config.listen,
        None,
        false,
        limits,
        config.client_limits,
        &reactor,
    )
    .unwrap();
    let address = downstream.local_address().unwrap();
    let mut clients: Vec<Peer> = (0..CLIENTS as u32)
        .map(|id| {
            let mut client = Peer::connect(address);
            client.write(&leverproxy::protocol::postgres::server::startup_packet(
                "app", "shop",
            ));
            client.ask(&read_statement(id, "any", 19000));
            client
        })
        .collect();
    let mut ready = Vec::new();
    let mut slots: Vec<ResponseSlot> = Vec::new();
    let mut turn = |downstream: &mut Downstream, events: &mut Vec<Event>| {
        reactor
            .wait(Some(Instant::now() + Duration::from_millis(10)), &mut ready)
            .unwrap();
        for one in &ready {
            match one.token {
                Token::Listener => downstream.accept(now, &reactor),
                Token::Client(key) => downstream.ready(key, one.ended, now, &reactor),
                _ => {}
            }
        }
        events.extend(std::iter::from_fn(|| downstream.next_event()));
    };
    while slots.len() < CLIENTS {
        let mut events = Vec::new();
        turn(&mut downstream, &mut events);
        slots.extend(events.into_iter().filter_map(|e| match e {
            Event::Request(slot, _) => Some(slot),
            _ => None,
        }));
    }
    let chunk = [b'x'; 4 << 10];
    for &slot in &slots {
        // Socket buffers take some megabytes; then the back-pressure sets in.
        let passed = (0..16 << 10)
            .take_while(|_| downstream.send_chunk(slot, &chunk, now, &reactor))
            .count();
        assert!(passed < 16 << 10, "no back-pressure");
    }
    // At most one chunk beyond the window for each client.
    assert!(
        downstream.unsent_bytes() <= limits.unsent_answers + CLIENTS * chunk.len() * 2,
        "{} bytes are buffered",
        downstream.unsent_bytes()
    );
    // The client that begins to read gets more.
    let held = slots[0];
    let reader = clients.remove(0);
    let mut events = Vec::new();
    let reading = std::thread::spawn(move || {
        let mut reader = reader;
        let mut bytes = vec![0; 1 << 16];
        while reader.stream.read(&mut bytes).is_ok_and(|n| n > 0) {}
    });
    while !events.iter().any(|e| matches!(e, Event::Writable(_))) {
        turn(&mut downstream, &mut events);
    }
    downstream.answer(held, Answer::Served(Vec::new()), now, &reactor);
    drop((clients, downstream));
    reading.join().unwrap();
}
