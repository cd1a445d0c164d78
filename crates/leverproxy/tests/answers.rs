//! What record servers do while they answer: ends, resets and drains that cross an answer. Each order is forced by stopping
//! the program, so that one batch of events holds both.

mod common;
use common::{answer, read, served, Listener, Peer, Program, Reply};
use leverproxy::protocol::postgres;
use rustix::net::sockopt;
use rustix::process::Signal;
use std::net::Shutdown;

/// The end of a request whose outcome nobody knows.
fn unknown() -> Reply {
    Reply {
        code: Some("08007".into()),
        ..Reply::default()
    }
}

/// A program that knows of these servers, and a client of it.
fn started(servers: &[(&str, &Listener)]) -> (Program, Peer) {
    let mut program = Program::start("");
    let entries: Vec<String> = servers
        .iter()
        .map(|(name, server)| server.listed(name, "Ready"))
        .collect();
    program.watch.tell(57, &entries);
    let client = Peer::client(program.address);
    (program, client)
}

/// Ends a connection by a reset.
fn reset(peer: Peer) {
    sockopt::set_socket_linger(&peer.stream, Some(std::time::Duration::ZERO)).unwrap();
}

/// The connection that a request of this class comes on, the request read.
fn asked(client: &mut Peer, server: &Listener, class: &str) -> Peer {
    client.ask(&read(1, class, 19000));
    let mut upstream = server.welcome();
    if class == "book" {
        upstream.report_primary();
    }
    upstream.query();
    upstream
}

/// Half of an answer and a reset come in one batch of events.
fn break_off(program: &Program, mut upstream: Peer) {
    // Whoever is welcomed now finds the program done with what came before.
    Peer::client(program.address);
    program.pause();
    let whole = answer("whole", &[]);
    upstream.write(&whole[..whole.len() / 2]);
    upstream.delivered();
    reset(upstream);
    program.signal(Signal::CONT);
}

#[test]
fn an_answer_with_a_reset_right_behind_it_is_served() {
    let server = Listener::new();
    let (program, mut client) = started(&[("s-1", &server)]);
    let mut upstream = asked(&mut client, &server, "any");
    Peer::client(program.address);
    program.pause();
    upstream.answer("whole", &[]);
    upstream.delivered();
    reset(upstream);
    program.signal(Signal::CONT);
    assert_eq!(client.reply().value.as_deref(), Some("whole"));
    // The connection is of no more use.
    served(&mut client, &server, 2, "next");
}

#[test]
fn a_read_whose_answer_breaks_off_is_served_by_another_attempt() {
    let server = Listener::new();
    let (program, mut client) = started(&[("s-1", &server)]);
    let upstream = asked(&mut client, &server, "any");
    break_off(&program, upstream);
    let mut second = server.welcome();
    second.query();
    second.answer("again", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("again"));
}

#[test]
fn a_write_whose_answer_breaks_off_fails() {
    let server = Listener::new();
    let (program, mut client) = started(&[("s-1", &server)]);
    let upstream = asked(&mut client, &server, "book");
    break_off(&program, upstream);
    assert_eq!(client.reply(), unknown());
    assert!(server.try_accept().is_none());
}

/// A server that closes an idle connection while a request is on its way to it resets that connection. What may have run
/// is repeated where its class allows that.
#[test]
fn a_request_that_crosses_the_end_of_an_idle_connection_goes_by_its_effect() {
    for (class, repeated) in [("any", true), ("book", false)] {
        let server = Listener::new();
        let (_program, mut client) = started(&[("s-1", &server)]);
        let mut upstream = asked(&mut client, &server, class);
        upstream.answer("one", &[("role", "primary")]);
        assert_eq!(client.reply().value.as_deref(), Some("one"));
        client.ask(&read(2, class, 19000));
        // It is there, and is never read.
        assert!(upstream.stream.peek(&mut [0]).unwrap() > 0);
        drop(upstream);
        if repeated {
            let mut second = server.welcome();
            second.query();
            second.answer("two", &[]);
            assert_eq!(client.reply().value.as_deref(), Some("two"));
        } else {
            assert_eq!(client.reply(), unknown());
            assert!(server.try_accept().is_none());
        }
    }
}

/// The end of an idle connection that comes in one batch with a request is found before the request is written.
#[test]
fn a_write_in_one_batch_with_the_end_of_its_connection_goes_out_on_another() {
    let server = Listener::new();
    let (program, mut client) = started(&[("s-1", &server)]);
    let mut upstream = asked(&mut client, &server, "book");
    upstream.answer("one", &[("role", "primary")]);
    assert_eq!(client.reply().value.as_deref(), Some("one"));
    Peer::client(program.address);
    program.pause();
    client.ask(&read(2, "book", 19000));
    client.delivered();
    upstream.stream.shutdown(Shutdown::Write).unwrap();
    upstream.delivered();
    program.signal(Signal::CONT);
    let mut second = server.welcome();
    second.query();
    second.answer("two", &[("role", "primary")]);
    assert_eq!(client.reply().value.as_deref(), Some("two"));
}

/// Whichever comes first, the answer is served and nothing new goes to the server that drains.
#[test]
fn an_answer_and_the_notice_of_a_drain_in_one_batch_both_count() {
    for answer_first in [true, false] {
        let (leaving, staying) = (Listener::new(), Listener::new());
        let (mut program, mut client) = started(&[("s-1", &leaving)]);
        let mut upstream = asked(&mut client, &leaving, "any");
        Peer::client(program.address);
        program.pause();
        let drain = [
            leaving.listed("s-1", "Terminating"),
            staying.listed("s-2", "Ready"),
        ];
        if answer_first {
            upstream.answer("one", &[]);
            upstream.delivered();
        }
        program.watch.tell(58, &drain);
        program.watch.delivered();
        if !answer_first {
            upstream.answer("one", &[]);
            upstream.delivered();
        }
        program.signal(Signal::CONT);
        assert_eq!(client.reply().value.as_deref(), Some("one"));
        assert!(upstream.ended());
        served(&mut client, &staying, 2, "two");
    }
}

/// Sound messages without end are no answer: the client gets one in its time, and the connection ends.
#[test]
fn an_answer_without_end_costs_no_more_than_its_request() {
    let server = Listener::new();
    let (program, mut client) = started(&[("s-1", &server)]);
    client.ask(&read(1, "any", 300));
    let mut upstream = server.welcome();
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
    // It goes on.
    Peer::client(program.address);
}
