//! System calls that fail in the ways that Linux documents, on real connections: each request gets exactly one response, and
//! the process keeps running without a busy loop.

mod common;
use common::{read_statement, Listener, Peer, TestProxy, TEST_TIMEOUT};
use leverproxy::event_loop::listener;
use leverproxy::event_loop::reactor::{Interest, Reactor};
use leverproxy::event_loop::stream::Stream;
use leverproxy::event_loop::system_calls::errors::{classify, Call, Failure};
use leverproxy::event_loop::system_calls::faults::{Fault, Faults, Rule};
use leverproxy::event_loop::system_calls::RETRY_PAUSE;
use leverproxy::event_loop::token::Token;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketType};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The fault is injected until the test clears it.
const ALWAYS: u64 = u64::MAX;

/// A record server that answers `value` to all reads.
fn serve_reads(listener: Listener, value: &'static str) {
    thread::spawn(move || loop {
        let mut peer = listener.accept();
        thread::spawn(move || {
            peer.startup();
            while let Ok((b'Q', body)) = peer.message() {
                let load = body.starts_with(b"SHOW load");
                peer.answer(if load { "x0=1.0,x1=1,backlog=0" } else { value }, &[]);
            }
        });
    });
}

/// A proxy with one record server that answers `value`, and the server's address.
fn test_proxy(value: &'static str) -> (TestProxy, SocketAddr) {
    let server = Listener::new();
    let address = server.address;
    let test_proxy = TestProxy::new(&[("s-1", &server)]);
    serve_reads(server, value);
    (test_proxy, address)
}

impl TestProxy {
    fn fault(&self, call: Call, address: Option<SocketAddr>, fault: Fault, times: u64) {
        self.faults.add(Rule {
            call,
            address,
            fault,
            times,
        });
    }

    fn fail(&self, call: Call, address: Option<SocketAddr>, errno: Errno, times: u64) {
        self.fault(call, address, Fault::Fail(errno), times);
    }

    /// Waits until `times` faults have been injected into `call`.
    fn wait_for_faults(&self, call: Call, times: u64) {
        let started_at = Instant::now();
        while self.faults.faults(call) < times {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "only {} faults were injected into {call:?}",
                self.faults.faults(call)
            );
            thread::yield_now();
        }
    }
}

/// A read with a unique id.
fn request() -> String {
    static SENT: AtomicU32 = AtomicU32::new(0);
    read_statement(SENT.fetch_add(1, Ordering::Relaxed), "any", 19000)
}

fn assert_served(client: &mut Peer, value: &str) {
    client.ask(&request());
    let reply = client.reply();
    assert_eq!(reply.value.as_deref(), Some(value), "{reply:?}");
}

/// Sends many requests in a row; each gets one response.
fn assert_twenty_served(client: &mut Peer, value: &str) {
    for _ in 0..20 {
        assert_served(client, value);
    }
}

#[test]
fn each_error_has_one_class() {
    let table: [(Call, &[Errno], Failure); 14] = [
        (
            Call::Accept,
            &[Errno::INTR, Errno::CONNABORTED, Errno::PERM, Errno::PROTO],
            Failure::RetryNow,
        ),
        (
            Call::Accept,
            &[Errno::NETDOWN, Errno::HOSTUNREACH, Errno::TIMEDOUT],
            Failure::RetryNow,
        ),
        (Call::Accept, &[Errno::AGAIN], Failure::NotReady),
        (
            Call::Accept,
            &[Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM],
            Failure::RetryLater,
        ),
        (
            Call::Accept,
            &[Errno::INVAL, Errno::BADF],
            Failure::RetryLater,
        ),
        (
            Call::Socket,
            &[Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM],
            Failure::RetryLater,
        ),
        (
            Call::Connect,
            &[Errno::INTR, Errno::INPROGRESS],
            Failure::NotReady,
        ),
        (
            Call::Connect,
            &[Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::NOBUFS],
            Failure::RetryLater,
        ),
        (
            Call::Connect,
            &[Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::CONNREFUSED],
            Failure::Broken,
        ),
        (
            Call::Read,
            &[Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH],
            Failure::Broken,
        ),
        (
            Call::Send,
            &[Errno::PIPE, Errno::CONNRESET, Errno::NETDOWN],
            Failure::Broken,
        ),
        (
            Call::Send,
            &[Errno::NOBUFS, Errno::NOMEM],
            Failure::RetryLater,
        ),
        (
            Call::EpollControl,
            &[Errno::NOMEM, Errno::NOSPC],
            Failure::RetryLater,
        ),
        (
            Call::Bind,
            &[Errno::ADDRINUSE, Errno::ACCESS, Errno::ADDRNOTAVAIL],
            Failure::Fatal,
        ),
    ];
    for (call, errnos, class) in table {
        for &errno in errnos {
            assert_eq!(classify(call, errno), class, "{call:?} {errno}");
        }
    }
}

#[test]
fn an_address_that_cannot_be_listened_on_is_an_error_at_the_start() {
    let faults = Arc::<Faults>::default();
    faults.clone().install();
    let address = "127.0.0.1:0".parse().unwrap();
    for (call, errno) in [
        (Call::Socket, Errno::MFILE),
        (Call::Bind, Errno::ADDRINUSE),
        (Call::Bind, Errno::ACCESS),
        (Call::Bind, Errno::ADDRNOTAVAIL),
        (Call::Listen, Errno::ADDRINUSE),
    ] {
        faults.add(Rule {
            call,
            address: None,
            fault: Fault::Fail(errno),
            times: 1,
        });
        let error = listener::listen(address).unwrap_err();
        assert_eq!(Errno::from_io_error(&error), Some(errno));
    }
    assert!(listener::listen(address).is_ok());
}

#[test]
fn clients_are_accepted_after_any_error_of_accept() {
    let (test_proxy, _) = test_proxy("v");
    for errno in [
        Errno::CONNABORTED,
        Errno::PERM,
        Errno::PROTO,
        Errno::NETDOWN,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::INVAL,
    ] {
        let met = test_proxy.faults.faults(Call::Accept);
        test_proxy.fail(Call::Accept, None, errno, 3);
        let clients: Vec<_> = (0..4)
            .map(|_| {
                let address = test_proxy.address;
                thread::spawn(move || assert_served(&mut Peer::client(address), "v"))
            })
            .collect();
        clients
            .into_iter()
            .for_each(|client| client.join().unwrap());
        assert_eq!(test_proxy.faults.faults(Call::Accept), met + 3, "{errno}");
    }
}

#[test]
fn an_accept_that_fails_permanently_neither_loops_nor_ends_the_process() {
    for errno in [
        Errno::NOMEM,
        Errno::NOBUFS,
        Errno::CONNABORTED,
        Errno::PERM,
        Errno::INVAL,
    ] {
        let (test_proxy, _) = test_proxy("v");
        let mut clients: Vec<Peer> = (0..4).map(|_| Peer::client(test_proxy.address)).collect();
        clients
            .iter_mut()
            .for_each(|client| assert_served(client, "v"));
        test_proxy.fail(Call::Accept, None, errno, ALWAYS);
        let wait_calls = test_proxy.faults.calls(Call::EpollWait);
        let late = test_proxy.address;
        let late = thread::spawn(move || assert_served(&mut Peer::client(late), "v"));
        // Faults in one round of the event loop; rounds are separated by a pause.
        let per_round = if matches!(errno, Errno::CONNABORTED | Errno::PERM) {
            1024
        } else {
            1
        };
        let started_at = Instant::now();
        test_proxy.wait_for_faults(Call::Accept, 6 * per_round);
        assert!(
            started_at.elapsed() >= Duration::from_millis(300),
            "{errno}: {:?}",
            started_at.elapsed()
        );
        let wait_calls = test_proxy.faults.calls(Call::EpollWait) - wait_calls;
        assert!(wait_calls < 200, "{errno}: {wait_calls} rounds");
        for client in &mut clients {
            assert_served(client, "v");
        }
        test_proxy.faults.clear();
        late.join().unwrap();
    }
}

#[test]
fn few_clients_are_closed_when_that_frees_no_descriptor() {
    let (test_proxy, _) = test_proxy("v");
    let mut clients: Vec<Peer> = (0..8).map(|_| Peer::client(test_proxy.address)).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_served(client, "v"));
    test_proxy.fail(Call::Accept, None, Errno::NFILE, 8);
    let mut late = Peer::client(test_proxy.address);
    assert_served(&mut late, "v");
    test_proxy.faults.clear();
    let ended = |client: &mut Peer| {
        client.ask(&request());
        client.message().is_err()
    };
    let ended = clients
        .iter_mut()
        .filter_map(|client| ended(client).then_some(()))
        .count();
    assert!(ended <= 4, "{ended} of 8 clients were closed");
}

#[test]
fn operators_reach_the_proxy_after_errors_of_accept_without_a_busy_loop() {
    let server = Listener::new();
    let test_proxy = TestProxy::with_config(&[("s-1", &server)], |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
    });
    let admin = test_proxy.admin.unwrap();
    test_proxy.fail(Call::Accept, Some(admin), Errno::MFILE, 20);
    let wait_calls = test_proxy.faults.calls(Call::EpollWait);
    let started_at = Instant::now();
    assert_eq!(common::get(admin, "/api/telemetry").0, 200);
    assert_eq!(test_proxy.faults.faults(Call::Accept), 20);
    assert!(
        started_at.elapsed() >= 10 * RETRY_PAUSE,
        "{:?}",
        started_at.elapsed()
    );
    let wait_calls = test_proxy.faults.calls(Call::EpollWait) - wait_calls;
    assert!(wait_calls < 200, "{wait_calls} rounds");
    assert_eq!(common::get(admin, "/api/telemetry").0, 200);
}

#[test]
fn a_dial_without_resources_is_retried_and_no_server_is_blamed() {
    for (call, errno) in [
        (Call::Socket, Errno::NOBUFS),
        (Call::Socket, Errno::NOMEM),
        (Call::Socket, Errno::MFILE),
        (Call::Socket, Errno::NFILE),
        (Call::Connect, Errno::ADDRNOTAVAIL),
        (Call::Connect, Errno::AGAIN),
        (Call::Connect, Errno::NOBUFS),
        (Call::SocketError, Errno::NOBUFS),
    ] {
        let (test_proxy, _) = test_proxy("v");
        let mut client = Peer::client(test_proxy.address);
        let wait_calls = test_proxy.faults.calls(Call::EpollWait);
        test_proxy.fail(call, None, errno, 12);
        // A server in backoff would get no request for longer than this.
        let started_at = Instant::now();
        assert_served(&mut client, "v");
        assert!(test_proxy.faults.faults(call) >= 12, "{call:?} {errno}");
        let wait_calls = test_proxy.faults.calls(Call::EpollWait) - wait_calls;
        assert!(
            wait_calls < 400,
            "{errno}: {wait_calls} rounds in {:?}",
            started_at.elapsed()
        );
        assert_twenty_served(&mut client, "v");
    }
}

/// No port is free until the dial timeouts of both servers have passed. The request is rejected, and neither server may be put
/// into backoff for it.
#[test]
fn a_shortage_beyond_the_dial_timeout_is_answered_without_backoff() {
    let (first, second) = (Listener::new(), Listener::new());
    let test_proxy = TestProxy::with_config(&[("s-1", &first), ("s-2", &second)], |config| {
        config.dial_timeout = Duration::from_millis(50);
    });
    serve_reads(first, "v");
    serve_reads(second, "v");
    let mut client = Peer::client(test_proxy.address);
    test_proxy.fail(Call::Connect, None, Errno::ADDRNOTAVAIL, ALWAYS);
    let started_at = Instant::now();
    client.ask(&request().replace("d=19000", "d=400"));
    let reply = client.reply();
    assert!(reply.value.is_none() && reply.code.is_some(), "{reply:?}");
    assert!(
        started_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        started_at.elapsed()
    );
    test_proxy.faults.clear();
    let started_at = Instant::now();
    assert_served(&mut client, "v");
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "a server is in backoff: {:?}",
        started_at.elapsed()
    );
}

#[test]
fn a_server_without_a_route_is_skipped() {
    for errno in [
        Errno::NETUNREACH,
        Errno::HOSTUNREACH,
        Errno::TIMEDOUT,
        Errno::PERM,
    ] {
        let (far, near) = (Listener::new(), Listener::new());
        let lost = far.address;
        let test_proxy = TestProxy::new(&[("s-1", &far), ("s-2", &near)]);
        serve_reads(near, "near");
        test_proxy.fail(Call::Connect, Some(lost), errno, ALWAYS);
        let wait_calls = test_proxy.faults.calls(Call::EpollWait);
        let mut client = Peer::client(test_proxy.address);
        assert_twenty_served(&mut client, "near");
        let wait_calls = test_proxy.faults.calls(Call::EpollWait) - wait_calls;
        assert!(wait_calls < 1_000, "{errno}: {wait_calls} rounds");
    }
}

#[test]
fn interrupted_calls_are_repeated() {
    let (test_proxy, server) = test_proxy("v");
    test_proxy.fault(
        Call::Connect,
        Some(server),
        Fault::FailAfter(Errno::INTR),
        1,
    );
    for call in [Call::EpollWait, Call::Read, Call::Send, Call::Accept] {
        test_proxy.fail(call, None, Errno::INTR, 10);
    }
    let mut client = Peer::client(test_proxy.address);
    assert_twenty_served(&mut client, "v");
    for (call, times) in [
        (Call::EpollWait, 10),
        (Call::Read, 10),
        (Call::Send, 10),
        (Call::Accept, 10),
        (Call::Connect, 1),
    ] {
        assert_eq!(test_proxy.faults.faults(call), times, "{call:?}");
    }
}

#[test]
fn one_byte_at_a_time_is_enough() {
    let (mut test_proxy, _) = test_proxy("value");
    test_proxy.fault(Call::Read, None, Fault::AtMost(1), ALWAYS);
    test_proxy.fault(Call::Send, None, Fault::AtMost(1), ALWAYS);
    let mut client = Peer::client(test_proxy.address);
    for _ in 0..3 {
        assert_served(&mut client, "value");
    }
    // The next list also arrives byte by byte, and leaves the new server alone.
    let other = Listener::new();
    let gone = r#"{"name":"s-1","status":"Gone","since_ms":0}"#;
    test_proxy
        .watch
        .send_list(42, &[other.endpoint_entry("s-2", "Ready"), gone.to_owned()]);
    serve_reads(other, "other");
    let started_at = Instant::now();
    loop {
        client.ask(&request());
        if client.reply().value.as_deref() == Some("other") {
            break;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the list was not applied"
        );
    }
}

#[test]
fn transfers_without_memory_are_retried_and_lose_nothing() {
    for errno in [Errno::NOBUFS, Errno::NOMEM] {
        for call in [Call::Read, Call::Send] {
            let (test_proxy, _) = test_proxy("v");
            let mut client = Peer::client(test_proxy.address);
            assert_served(&mut client, "v");
            let wait_calls = test_proxy.faults.calls(Call::EpollWait);
            test_proxy.fail(call, None, errno, 10);
            assert_twenty_served(&mut client, "v");
            assert_eq!(test_proxy.faults.faults(call), 10, "{call:?} {errno}");
            let wait_calls = test_proxy.faults.calls(Call::EpollWait) - wait_calls;
            assert!(wait_calls < 400, "{call:?} {errno}: {wait_calls} rounds");
        }
    }
}

#[test]
fn a_read_without_memory_causes_no_busy_loop() {
    let (test_proxy, _) = test_proxy("v");
    let (mut client, mut other) = (
        Peer::client(test_proxy.address),
        Peer::client(test_proxy.address),
    );
    assert_served(&mut client, "v");
    let short = client.stream.local_addr().unwrap();
    test_proxy.fail(Call::Read, Some(short), Errno::NOMEM, 20);
    let (started_at, wait_calls) = (Instant::now(), test_proxy.faults.calls(Call::EpollWait));
    client.ask(&request());
    assert_served(&mut other, "v");
    assert_eq!(client.reply().value.as_deref(), Some("v"));
    assert_eq!(test_proxy.faults.faults(Call::Read), 20);
    assert!(
        started_at.elapsed() >= 10 * RETRY_PAUSE,
        "{:?}",
        started_at.elapsed()
    );
    let wait_calls = test_proxy.faults.calls(Call::EpollWait) - wait_calls;
    assert!(wait_calls < 200, "{wait_calls} rounds");
}

#[test]
fn watching_without_memory_is_retried() {
    for errno in [Errno::NOMEM, Errno::NOSPC] {
        let (test_proxy, _) = test_proxy("v");
        test_proxy.fail(Call::EpollControl, None, errno, 10);
        let wait_calls = test_proxy.faults.calls(Call::EpollWait);
        let mut client = Peer::client(test_proxy.address);
        assert_served(&mut client, "v");
        test_proxy.wait_for_faults(Call::EpollControl, 10);
        let wait_calls = test_proxy.faults.calls(Call::EpollWait) - wait_calls;
        assert!(wait_calls < 400, "{errno}: {wait_calls} rounds");
        assert_twenty_served(&mut client, "v");
        assert_served(&mut Peer::client(test_proxy.address), "v");
    }
}

#[test]
fn a_long_shortage_of_watches_causes_no_busy_loop() {
    let (test_proxy, _) = test_proxy("v");
    let mut clients: Vec<Peer> = (0..4).map(|_| Peer::client(test_proxy.address)).collect();
    test_proxy.fail(Call::EpollControl, None, Errno::NOMEM, ALWAYS);
    for client in &mut clients {
        assert_twenty_served(client, "v");
    }
    // Each of the at most ten connections and listeners is retried once a pause.
    let (started_at, met) = (Instant::now(), test_proxy.faults.faults(Call::EpollControl));
    let wait_calls = test_proxy.faults.calls(Call::EpollWait);
    test_proxy.wait_for_faults(Call::EpollControl, met + 400);
    assert!(
        started_at.elapsed() >= 20 * RETRY_PAUSE,
        "{:?}",
        started_at.elapsed()
    );
    let wait_calls = test_proxy.faults.calls(Call::EpollWait) - wait_calls;
    // Each round has at least one failing call or a due timer, and fewer than one timer a millisecond is due.
    assert!(
        u128::from(wait_calls) <= 400 + started_at.elapsed().as_millis(),
        "{wait_calls} rounds"
    );
    test_proxy.faults.clear();
    clients
        .iter_mut()
        .for_each(|client| assert_served(client, "v"));
}

#[test]
fn the_listener_is_watched_again_once_there_is_memory() {
    let (test_proxy, _) = test_proxy("v");
    test_proxy.fail(Call::Accept, None, Errno::NOMEM, 1);
    test_proxy.fail(Call::EpollControl, None, Errno::NOMEM, ALWAYS);
    assert_served(&mut Peer::client(test_proxy.address), "v");
    let started_at = Instant::now();
    // Longer than several accept pauses of the listener.
    while started_at.elapsed() < Duration::from_millis(350) {
        test_proxy.wait_for_faults(
            Call::EpollControl,
            test_proxy.faults.faults(Call::EpollControl) + 1,
        );
    }
    test_proxy.faults.clear();
    for _ in 0..3 {
        assert_served(&mut Peer::client(test_proxy.address), "v");
    }
}

#[test]
fn a_wait_without_memory_is_retried() {
    let (test_proxy, _) = test_proxy("v");
    let mut client = Peer::client(test_proxy.address);
    test_proxy.fail(Call::EpollWait, None, Errno::NOMEM, 10);
    assert_twenty_served(&mut client, "v");
    assert_eq!(test_proxy.faults.faults(Call::EpollWait), 10);
}

#[test]
fn a_client_whose_connection_breaks_affects_no_other() {
    for errno in [Errno::TIMEDOUT, Errno::CONNRESET] {
        for call in [Call::Read, Call::Send] {
            let (test_proxy, _) = test_proxy("v");
            let (mut lost, mut other) = (
                Peer::client(test_proxy.address),
                Peer::client(test_proxy.address),
            );
            assert_served(&mut lost, "v");
            assert_served(&mut other, "v");
            test_proxy.fail(call, Some(lost.stream.local_addr().unwrap()), errno, 1);
            lost.ask(&request());
            assert!(lost.ended(), "{call:?} {errno}");
            assert_twenty_served(&mut other, "v");
        }
    }
}

#[test]
fn a_read_on_a_broken_server_connection_is_retried_elsewhere() {
    for errno in [Errno::TIMEDOUT, Errno::CONNRESET, Errno::HOSTUNREACH] {
        for call in [Call::Read, Call::Send] {
            let (first, second) = (Listener::new(), Listener::new());
            let test_proxy = TestProxy::new(&[("s-1", &first), ("s-2", &second)]);
            let breaks = first.address;
            serve_reads(first, "v");
            serve_reads(second, "v");
            let mut client = Peer::client(test_proxy.address);
            assert_twenty_served(&mut client, "v");
            test_proxy.fail(call, Some(breaks), errno, 3);
            assert_twenty_served(&mut client, "v");
        }
    }
}

#[test]
fn discovery_is_called_again_when_its_connection_breaks() {
    for errno in [Errno::TIMEDOUT, Errno::CONNRESET, Errno::NETDOWN] {
        let (mut test_proxy, _) = test_proxy("v");
        test_proxy.fail(Call::Read, Some(test_proxy.discovery.address), errno, 1);
        // A keepalive, so that there is something to read; the fault may also hit the head of the response.
        _ = test_proxy.watch.stream.write(b"1\r\n\n\r\n");
        let mut again = test_proxy.discovery.accept();
        assert!(
            again
                .accept_watch()
                .starts_with("GET /catalog/members?watch=1&after=4"),
            "{errno}"
        );
        assert_twenty_served(&mut Peer::client(test_proxy.address), "v");
    }
}

#[test]
fn discovery_is_called_again_when_it_could_not_be_dialled() {
    for (call, errno) in [
        (Call::Socket, Errno::MFILE),
        (Call::Connect, Errno::NETUNREACH),
    ] {
        let (test_proxy, server) = test_proxy("v");
        let mut client = Peer::client(test_proxy.address);
        assert_served(&mut client, "v");
        // The server has an idle connection, so the only dial is that of discovery.
        assert_ne!(server, test_proxy.discovery.address);
        test_proxy.fail(
            call,
            Some(test_proxy.discovery.address).filter(|_| call == Call::Connect),
            errno,
            2,
        );
        let TestProxy {
            watch,
            discovery,
            faults,
            ..
        } = &test_proxy;
        watch.stream.shutdown(std::net::Shutdown::Both).unwrap();
        discovery.accept().accept_watch();
        assert_eq!(faults.faults(call), 2, "{errno}");
        assert_twenty_served(&mut client, "v");
    }
}

#[test]
fn a_shutdown_that_fails_ends_the_connection_in_time() {
    let (test_proxy, _) = test_proxy("v");
    test_proxy.fail(Call::Shutdown, None, Errno::NOTCONN, ALWAYS);
    let mut wrong = Peer::connect(test_proxy.address);
    wrong.write(b"GET / HTTP/1.1\r\n\r\n");
    assert!(wrong.ended());
    assert_twenty_served(&mut Peer::client(test_proxy.address), "v");
}

#[test]
fn a_dial_called_ready_before_it_is_established_continues() {
    let backlog = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    rustix::net::bind(&backlog, &"127.0.0.1:0".parse::<SocketAddr>().unwrap()).unwrap();
    rustix::net::listen(&backlog, 0).unwrap();
    let silent = listener::local_address(&backlog).unwrap();
    // The backlog is full once a further dial times out.
    let mut held = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&silent, Duration::from_millis(200)) {
        held.push(stream);
    }
    let faults = Arc::<Faults>::default();
    faults.clone().install();
    faults.add(Rule {
        call: Call::EpollControl,
        address: None,
        fault: Fault::Fail(Errno::NOMEM),
        times: 1,
    });
    let (reactor, mut ready) = (Reactor::new().unwrap(), Vec::new());
    let mut stream = Stream::dial(silent).unwrap();
    stream
        .watch(&reactor, Token::Commands, Interest::WRITE)
        .unwrap();
    while ready.is_empty() {
        reactor.wait(None, &mut ready).unwrap();
    }
    assert!(matches!(stream.connected(), Ok(false)));
}

fn send_command(socket: &str, command: &str) -> String {
    let mut stream = UnixStream::connect(socket).unwrap();
    stream.write_all(format!("{command}\n").as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn an_undrained_proxy_is_reached_again_though_its_address_was_taken() {
    let socket =
        std::env::temp_dir().join(format!("leverproxy-{}-listen-again", std::process::id()));
    let socket = socket.to_str().unwrap();
    let server = Listener::new();
    let test_proxy = TestProxy::with_operators_file_at_unshared_address(
        &[("s-1", &server)],
        &format!(
            "balancer b {{\n interval 100ms\n fall 2\n timeout 50ms\n}}\ncontrol {{\n socket {socket}\n}}\n"
        ),
    );
    serve_reads(server, "v");
    send_command(socket, "drain");
    let started_at = Instant::now();
    while TcpStream::connect(test_proxy.address).is_ok() {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the listener stays open"
        );
    }
    test_proxy.fail(Call::Bind, None, Errno::ADDRINUSE, 2);
    test_proxy.fail(Call::EpollControl, None, Errno::NOMEM, 3);
    assert!(send_command(socket, "undrain").starts_with("phase serving\n"));
    let client = loop {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the proxy does not listen again"
        );
        if let Ok(client) = TcpStream::connect(test_proxy.address) {
            break client;
        }
        thread::yield_now();
    };
    assert_eq!(test_proxy.faults.faults(Call::Bind), 2);
    drop(client);
    assert_twenty_served(&mut Peer::client(test_proxy.address), "v");
}

#[test]
fn an_operator_is_answered_though_memory_is_short() {
    let socket = std::env::temp_dir().join(format!("leverproxy-{}-short", std::process::id()));
    let socket = socket.to_str().unwrap();
    let test_proxy =
        TestProxy::with_operators_file(&[], &format!("control {{\n socket {socket}\n}}\n"));
    let started_at = Instant::now();
    test_proxy.fail(Call::Accept, None, Errno::MFILE, 20);
    assert!(send_command(socket, "status").starts_with("phase serving\n"));
    assert_eq!(test_proxy.faults.faults(Call::Accept), 20);
    assert!(
        started_at.elapsed() >= 10 * RETRY_PAUSE,
        "{:?}",
        started_at.elapsed()
    );
    for (call, errno) in [
        (Call::Read, Errno::NOMEM),
        (Call::Send, Errno::NOBUFS),
        (Call::EpollControl, Errno::NOMEM),
    ] {
        test_proxy.fail(call, None, errno, 2);
        assert!(
            send_command(socket, "status").starts_with("phase serving\n"),
            "{call:?}"
        );
        // The retry of a failed epoll registration may already find the command, so that one fault is enough.
        assert!(test_proxy.faults.faults(call) >= 1, "{call:?}");
        test_proxy.faults.clear();
    }
}
