//! Clients that disconnect or cancel a request: no attempt of that request is sent afterwards, whatever other events arrive
//! at the same time.

mod common;
use common::*;
use leverproxy::protocol::postgres;
use leverproxy::protocol::postgres::server::{self, CancelKey};
use rustix::process::Signal;
use std::net::{Shutdown, SocketAddr};

/// A client, and the key that cancels its requests.
fn client_with_key(address: SocketAddr) -> (Peer, CancelKey) {
    let mut peer = Peer::connect(address);
    peer.write(&server::startup_packet("app", "shop"));
    let mut key = None;
    loop {
        match peer.message().unwrap() {
            (b'K', body) => {
                let number = |at: usize| u32::from_be_bytes(body[at..at + 4].try_into().unwrap());
                key = Some(CancelKey {
                    process: number(0),
                    secret: number(4),
                });
            }
            (b'Z', _) => return (peer, key.expect("a key comes before the greeting ends")),
            _ => {}
        }
    }
}

/// Asserts that the next query on the connection is that of request `id`.
fn assert_next_query_is(upstream: &mut Peer, id: u32) {
    let query = upstream.query();
    assert!(query.contains(&format!("id={id:016x}")), "{query}");
}

/// Asserts that request `id` of this client is the next that reaches the record server, and serves it.
fn assert_served_next(client: &mut Peer, upstream: &mut Peer, id: u32) {
    client.ask(&read_statement(id, "any", 19000));
    assert_next_query_is(upstream, id);
    upstream.answer("value", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("value"));
}

/// Sends request 1 of `client` and accepts the server's connection without completing its startup.
fn accept_without_greeting(server: &Listener, client: &mut Peer) -> Peer {
    client.ask(&read_statement(1, "any", 19000));
    server.accept()
}

/// A client disconnects while the connection for its request is being established.
#[test]
fn nothing_is_sent_for_a_client_that_left_during_the_dial() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let mut client = Peer::client(test_proxy.address);
    let mut upstream = accept_without_greeting(&server, &mut client);
    client.close_and_wait();
    upstream.startup();
    assert_served_next(&mut Peer::client(test_proxy.address), &mut upstream, 2);
}

/// A client cancels its request while the connection for it is being established. The session stays open.
#[test]
fn nothing_is_sent_for_a_request_that_was_cancelled_during_the_dial() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let (mut client, key) = client_with_key(test_proxy.address);
    let mut upstream = accept_without_greeting(&server, &mut client);
    let mut canceller = Peer::connect(test_proxy.address);
    canceller.write(&server::cancel_packet(key));
    assert!(canceller.ended());
    assert_eq!(client.reply().code.as_deref(), Some("57014"));
    upstream.startup();
    // The session is still open.
    assert_served_next(&mut client, &mut upstream, 2);
}

/// A cancel request with a session's process id and a wrong secret does not cancel the request.
#[test]
fn a_cancel_with_a_wrong_secret_changes_nothing() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let (mut client, key) = client_with_key(test_proxy.address);
    let mut upstream = accept_without_greeting(&server, &mut client);
    let mut canceller = Peer::connect(test_proxy.address);
    canceller.write(&server::cancel_packet(CancelKey {
        secret: !key.secret,
        ..key
    }));
    assert!(canceller.ended());
    upstream.startup();
    assert_next_query_is(&mut upstream, 1);
    upstream.answer("one", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("one"));
}

/// A client at its pipelining limit disconnects while its second command is unread in the socket. The proxy notices the
/// disconnection without reading, and does not send the second command.
#[test]
fn a_client_that_leaves_is_noticed_while_nothing_is_read_from_it() {
    let server = Listener::new();
    let test_proxy = TestProxy::with_config(&[("s-1", &server)], |config| {
        config.client_limits.max_pipelined = 1
    });
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    assert_next_query_is(&mut upstream, 1);
    client.ask(&read_statement(2, "any", 19000));
    client.close_and_wait();
    upstream.answer("one", &[]);
    assert_served_next(&mut Peer::client(test_proxy.address), &mut upstream, 3);
}

/// A client disconnects while its write is queued until the primary of its group is known.
#[test]
fn nothing_is_sent_for_a_client_that_left_while_its_request_was_queued() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "book", 19000));
    let mut upstream = server.accept_session();
    assert_eq!(upstream.query(), "SHOW load");
    client.close_and_wait();
    upstream.answer("x0=1.0,x1=1,backlog=0", &[]);
    assert_served_next(&mut Peer::client(test_proxy.address), &mut upstream, 2);
}

/// A query and the Terminate message arrive together. Nothing is sent for the query.
#[test]
fn nothing_is_sent_for_a_query_followed_by_terminate() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let mut client = Peer::client(test_proxy.address);
    // An idle connection to the server exists, so an attempt would be sent at once.
    let mut upstream = serve_request(&mut client, &server, 3, "value");
    let mut both = Vec::new();
    postgres::put(&mut both, b'Q', |body| {
        postgres::put_text(body, &read_statement(1, "any", 19000))
    });
    postgres::put(&mut both, b'X', |_| {});
    client.write(&both);
    assert!(client.ended());
    assert_served_next(&mut Peer::client(test_proxy.address), &mut upstream, 2);
}

/// A write is queued until the primary of its group is known. The probe response that identifies the primary and the
/// disconnection of the client arrive in one batch of events. The disconnection is handled first, so the write is not sent.
#[test]
fn in_one_batch_of_events_the_client_that_left_comes_first() {
    let server = Listener::new();
    let mut program = Program::start("");
    program
        .watch
        .send_list(57, &[server.endpoint_entry("s-1", "Ready")]);
    let mut client = Peer::client(program.address);
    client.ask(&read_statement(1, "book", 19000));
    let mut upstream = server.accept_session();
    assert_eq!(upstream.query(), "SHOW load");
    // Once this client is greeted, the program has handled all earlier events.
    let mut next = Peer::client(program.address);
    program.pause();
    upstream.write_answer("x0=1.0,x1=1,backlog=0", &[]);
    upstream.wait_until_acknowledged();
    client.stream.shutdown(Shutdown::Write).unwrap();
    client.wait_until_acknowledged();
    program.signal(Signal::CONT);
    assert!(client.ended());
    next.ask(&read_statement(2, "book", 19000));
    assert_next_query_is(&mut upstream, 2);
}

/// Guards against dropping a cancel request unread because its sender has closed the connection right after it, as many
/// drivers do.
#[test]
fn a_cancel_whose_sender_closes_at_once_is_heeded() {
    let server = Listener::new();
    let mut program = Program::start("");
    program
        .watch
        .send_list(57, &[server.endpoint_entry("s-1", "Ready")]);
    let (mut client, key) = client_with_key(program.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    assert_next_query_is(&mut upstream, 1);
    program.pause();
    let mut canceller = Peer::connect(program.address);
    canceller.write(&server::cancel_packet(key));
    canceller.stream.shutdown(Shutdown::Write).unwrap();
    canceller.wait_until_acknowledged();
    program.signal(Signal::CONT);
    assert_eq!(client.reply().code.as_deref(), Some("57014"));
}
