//! Responses of record servers that coincide with a closed connection, a reset or a drain. The program is stopped
//! (SIGSTOP) meanwhile, so that its event loop gets both events in one batch.

mod common;
use common::{answer, read_statement, serve_request, Listener, Peer, Program, Reply, TestProxy};
use leverproxy::protocol::postgres;
use rustix::net::sockopt;
use rustix::process::Signal;
use std::net::Shutdown;

/// Response to a request that may have run.
fn unknown_outcome() -> Reply {
    Reply {
        code: Some("08007".into()),
        ..Reply::default()
    }
}

/// Starts a program with these servers in its endpoint list, and connects a client.
fn start_with_client(servers: &[(&str, &Listener)]) -> (Program, Peer) {
    let mut program = Program::start("");
    let entries: Vec<String> = servers
        .iter()
        .map(|(name, server)| server.endpoint_entry(name, "Ready"))
        .collect();
    program.watch.send_list(57, &entries);
    let client = Peer::client(program.address);
    (program, client)
}

/// Closes a connection with a reset.
fn reset(peer: Peer) {
    sockopt::set_socket_linger(&peer.stream, Some(std::time::Duration::ZERO)).unwrap();
}

/// Sends a request of this class. Returns the server's connection, with the request read.
fn request_in_flight(client: &mut Peer, server: &Listener, class: &str) -> Peer {
    client.ask(&read_statement(1, class, 19000));
    let mut upstream = server.accept_session();
    if class == "book" {
        upstream.report_primary();
    }
    upstream.query();
    upstream
}

/// Sends half of an answer and a reset, in one batch of events.
fn reset_mid_response(program: &Program, mut upstream: Peer) {
    // Once this client is greeted, the program has handled all earlier events.
    Peer::client(program.address);
    program.pause();
    let whole = answer("whole", &[]);
    upstream.write(&whole[..whole.len() / 2]);
    upstream.wait_until_acknowledged();
    reset(upstream);
    program.signal(Signal::CONT);
}

/// A server writes a complete response and resets its connection; the proxy gets both in one batch. The client gets the
/// response, and the next request is sent on another connection.
#[test]
fn an_answer_with_a_reset_right_behind_it_is_served() {
    let server = Listener::new();
    let (program, mut client) = start_with_client(&[("s-1", &server)]);
    let mut upstream = request_in_flight(&mut client, &server, "any");
    Peer::client(program.address);
    program.pause();
    upstream.write_answer("whole", &[]);
    upstream.wait_until_acknowledged();
    reset(upstream);
    program.signal(Signal::CONT);
    assert_eq!(client.reply().value.as_deref(), Some("whole"));
    // The connection is not used again.
    serve_request(&mut client, &server, 2, "next");
}

/// A server resets its connection in the middle of the response to a read. A read may run twice, so it is retried.
#[test]
fn a_read_whose_answer_breaks_off_is_served_by_another_attempt() {
    let server = Listener::new();
    let (program, mut client) = start_with_client(&[("s-1", &server)]);
    let upstream = request_in_flight(&mut client, &server, "any");
    reset_mid_response(&program, upstream);
    let mut second = server.accept_session();
    second.query();
    second.answer("again", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("again"));
}

/// A server resets its connection in the middle of the response to a write. The write may have run, so it is not retried, and
/// the client gets the error for an unknown outcome.
#[test]
fn a_write_whose_answer_breaks_off_fails() {
    let server = Listener::new();
    let (program, mut client) = start_with_client(&[("s-1", &server)]);
    let upstream = request_in_flight(&mut client, &server, "book");
    reset_mid_response(&program, upstream);
    assert_eq!(client.reply(), unknown_outcome());
    assert!(server.try_accept().is_none());
}

/// A server closes an idle connection while a request is on its way to it, and so resets the connection. The request may
/// have run: it is retried only if its class is idempotent.
#[test]
fn a_request_that_crosses_the_end_of_an_idle_connection_is_retried_if_idempotent() {
    for (class, repeated) in [("any", true), ("book", false)] {
        let server = Listener::new();
        let (_program, mut client) = start_with_client(&[("s-1", &server)]);
        let mut upstream = request_in_flight(&mut client, &server, class);
        upstream.answer("one", &[("role", "primary")]);
        assert_eq!(client.reply().value.as_deref(), Some("one"));
        client.ask(&read_statement(2, class, 19000));
        // The request has arrived at the server, which never reads it.
        assert!(upstream.stream.peek(&mut [0]).unwrap() > 0);
        drop(upstream);
        if repeated {
            let mut second = server.accept_session();
            second.query();
            second.answer("two", &[]);
            assert_eq!(client.reply().value.as_deref(), Some("two"));
        } else {
            assert_eq!(client.reply(), unknown_outcome());
            assert!(server.try_accept().is_none());
        }
    }
}

/// A write and the end of the idle connection that it would be sent on arrive in one batch of events. The end is handled
/// before the request is written, so the write is sent on another connection.
#[test]
fn a_write_in_one_batch_with_the_end_of_its_connection_goes_out_on_another() {
    let server = Listener::new();
    let (program, mut client) = start_with_client(&[("s-1", &server)]);
    let mut upstream = request_in_flight(&mut client, &server, "book");
    upstream.answer("one", &[("role", "primary")]);
    assert_eq!(client.reply().value.as_deref(), Some("one"));
    Peer::client(program.address);
    program.pause();
    client.ask(&read_statement(2, "book", 19000));
    client.wait_until_acknowledged();
    upstream.stream.shutdown(Shutdown::Write).unwrap();
    upstream.wait_until_acknowledged();
    program.signal(Signal::CONT);
    let mut second = server.accept_session();
    second.query();
    second.answer("two", &[("role", "primary")]);
    assert_eq!(client.reply().value.as_deref(), Some("two"));
}

/// A server's response and discovery's update that the server drains arrive in one batch of events, in either order. The
/// client gets the response, and the server gets no new requests.
#[test]
fn an_answer_and_a_drain_in_one_batch_both_count() {
    for answer_first in [true, false] {
        let (leaving, staying) = (Listener::new(), Listener::new());
        let (mut program, mut client) = start_with_client(&[("s-1", &leaving)]);
        let mut upstream = request_in_flight(&mut client, &leaving, "any");
        Peer::client(program.address);
        program.pause();
        let drain = [
            leaving.endpoint_entry("s-1", "Terminating"),
            staying.endpoint_entry("s-2", "Ready"),
        ];
        if answer_first {
            upstream.write_answer("one", &[]);
            upstream.wait_until_acknowledged();
        }
        program.watch.send_list(58, &drain);
        program.watch.wait_until_acknowledged();
        if !answer_first {
            upstream.write_answer("one", &[]);
            upstream.wait_until_acknowledged();
        }
        program.signal(Signal::CONT);
        assert_eq!(client.reply().value.as_deref(), Some("one"));
        assert!(upstream.ended());
        serve_request(&mut client, &staying, 2, "two");
    }
}

/// A server sends valid messages without end, and none of them completes the response. The client gets an error at its
/// deadline, and the connection to the server is closed.
#[test]
fn an_endless_answer_ends_at_the_deadline() {
    let server = Listener::new();
    let (program, mut client) = start_with_client(&[("s-1", &server)]);
    client.ask(&read_statement(1, "any", 300));
    let mut upstream = server.accept_session();
    upstream.query();
    let mut notice = Vec::new();
    postgres::put(&mut notice, b'S', |body| {
        postgres::put_text(body, "name");
        postgres::put_text(body, "value");
    });
    let endless = std::thread::spawn(move || {
        use std::io::Write;
        while upstream.stream.write_all(&notice).is_ok() {}
    });
    assert!(client.reply().code.is_some());
    endless.join().unwrap();
    // The program still serves.
    Peer::client(program.address);
}

/// Guards against an error response that is sent late because an earlier request on the connection has a later deadline.
#[test]
fn a_request_behind_one_with_more_time_is_answered_in_time() {
    let server = Listener::new();
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut hanging = server.accept_session();
    hanging.query();
    // The server is at its limit: the second request waits for it, and gets an error at its own deadline.
    client.ask(&read_statement(2, "any", 600));
    // The read timeout of the client is shorter than the deadline of the first request.
    assert_eq!(client.reply(), unknown_outcome());
    assert!(client.reply().code.is_some());
}

/// Guards against one unreadable entry of discovery's list causing the whole list to be ignored.
#[test]
fn a_list_with_an_unreadable_entry_is_served_by() {
    let server = Listener::new();
    let mut program = Program::start("");
    let unreadable = r#"{"name":"s-2","address":"nowhere","group":3,"status":"Ready"}"#;
    program.watch.send_list(
        57,
        &[unreadable.to_owned(), server.endpoint_entry("s-1", "Ready")],
    );
    let mut client = Peer::client(program.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    upstream.answer("value", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("value"));
}
