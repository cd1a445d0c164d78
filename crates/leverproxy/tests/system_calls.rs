//! System calls that fail in the ways that Linux documents, under real connections: each request gets its one answer,
//! the process goes on, and it does not keep itself busy.

mod common;
use common::{read, Listener, Peer, Stage, PATIENCE};
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

/// More faults than any test waits for.
const ALWAYS: u64 = u64::MAX;

/// A record server that answers `value` to all reads.
fn serve(listener: Listener, value: &'static str) {
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
fn stage(value: &'static str) -> (Stage, SocketAddr) {
    let server = Listener::new();
    let address = server.address;
    let stage = Stage::new(&[("s-1", &server)]);
    serve(server, value);
    (stage, address)
}

impl Stage {
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

    /// Waits until so many calls have met a fault.
    fn until_met(&self, call: Call, times: u64) {
        let begun = Instant::now();
        while self.faults.faults(call) < times {
            assert!(
                begun.elapsed() < PATIENCE,
                "{call:?} met {} faults",
                self.faults.faults(call)
            );
            thread::yield_now();
        }
    }
}

/// A request with an id of its own.
fn request() -> String {
    static ASKED: AtomicU32 = AtomicU32::new(0);
    read(ASKED.fetch_add(1, Ordering::Relaxed), "any", 19000)
}

fn asked(client: &mut Peer, value: &str) {
    client.ask(&request());
    let reply = client.reply();
    assert_eq!(reply.value.as_deref(), Some(value), "{reply:?}");
}

/// Sends many requests in a row; each gets one response.
fn asks_on(client: &mut Peer, value: &str) {
    for _ in 0..20 {
        asked(client, value);
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
    let (stage, _) = stage("v");
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
        let met = stage.faults.faults(Call::Accept);
        stage.fail(Call::Accept, None, errno, 3);
        let clients: Vec<_> = (0..4)
            .map(|_| {
                let address = stage.address;
                thread::spawn(move || asked(&mut Peer::client(address), "v"))
            })
            .collect();
        clients
            .into_iter()
            .for_each(|client| client.join().unwrap());
        assert_eq!(stage.faults.faults(Call::Accept), met + 3, "{errno}");
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
        let (stage, _) = stage("v");
        let mut clients: Vec<Peer> = (0..4).map(|_| Peer::client(stage.address)).collect();
        clients.iter_mut().for_each(|client| asked(client, "v"));
        stage.fail(Call::Accept, None, errno, ALWAYS);
        let waits = stage.faults.calls(Call::EpollWait);
        let late = stage.address;
        let late = thread::spawn(move || asked(&mut Peer::client(late), "v"));
        // Rounds with a pause between.
        let per_round = if matches!(errno, Errno::CONNABORTED | Errno::PERM) {
            1024
        } else {
            1
        };
        let begun = Instant::now();
        stage.until_met(Call::Accept, 6 * per_round);
        assert!(
            begun.elapsed() >= Duration::from_millis(300),
            "{errno}: {:?}",
            begun.elapsed()
        );
        let waits = stage.faults.calls(Call::EpollWait) - waits;
        assert!(waits < 200, "{errno}: {waits} rounds");
        for client in &mut clients {
            asked(client, "v");
        }
        stage.faults.clear();
        late.join().unwrap();
    }
}

#[test]
fn few_clients_are_closed_when_that_frees_no_descriptor() {
    let (stage, _) = stage("v");
    let mut clients: Vec<Peer> = (0..8).map(|_| Peer::client(stage.address)).collect();
    clients.iter_mut().for_each(|client| asked(client, "v"));
    stage.fail(Call::Accept, None, Errno::NFILE, 8);
    let mut late = Peer::client(stage.address);
    asked(&mut late, "v");
    stage.faults.clear();
    let ended = |client: &mut Peer| {
        client.ask(&request());
        client.message().is_err()
    };
    let ended = clients
        .iter_mut()
        .filter_map(|client| ended(client).then_some(()))
        .count();
    assert!(ended <= 4, "{ended} of 8 were ended");
}

#[test]
fn operators_reach_the_proxy_after_errors_of_accept_without_a_busy_loop() {
    let server = Listener::new();
    let stage = Stage::with(&[("s-1", &server)], |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
    });
    let admin = stage.admin.unwrap();
    stage.fail(Call::Accept, Some(admin), Errno::MFILE, 20);
    let waits = stage.faults.calls(Call::EpollWait);
    let begun = Instant::now();
    assert_eq!(common::get(admin, "/api/telemetry").0, 200);
    assert_eq!(stage.faults.faults(Call::Accept), 20);
    assert!(begun.elapsed() >= 10 * RETRY_PAUSE, "{:?}", begun.elapsed());
    let waits = stage.faults.calls(Call::EpollWait) - waits;
    assert!(waits < 200, "{waits} rounds");
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
        let (stage, _) = stage("v");
        let mut client = Peer::client(stage.address);
        let waits = stage.faults.calls(Call::EpollWait);
        stage.fail(call, None, errno, 12);
        // A server that is taken for dead rests for longer than this.
        let begun = Instant::now();
        asked(&mut client, "v");
        assert!(stage.faults.faults(call) >= 12, "{call:?} {errno}");
        let waits = stage.faults.calls(Call::EpollWait) - waits;
        assert!(
            waits < 400,
            "{errno}: {waits} rounds in {:?}",
            begun.elapsed()
        );
        asks_on(&mut client, "v");
    }
}

/// The dial timeout passes before there is a free port, for the other server too. The request is rejected, and neither server
/// may be put into backoff for it.
#[test]
fn a_shortage_beyond_the_dial_timeout_is_answered_without_backoff() {
    let (first, second) = (Listener::new(), Listener::new());
    let stage = Stage::with(&[("s-1", &first), ("s-2", &second)], |config| {
        config.dial_timeout = Duration::from_millis(50);
    });
    serve(first, "v");
    serve(second, "v");
    let mut client = Peer::client(stage.address);
    stage.fail(Call::Connect, None, Errno::ADDRNOTAVAIL, ALWAYS);
    let begun = Instant::now();
    client.ask(&request().replace("d=19000", "d=400"));
    let reply = client.reply();
    assert!(reply.value.is_none() && reply.code.is_some(), "{reply:?}");
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
    stage.faults.clear();
    let begun = Instant::now();
    asked(&mut client, "v");
    assert!(
        begun.elapsed() < Duration::from_secs(1),
        "a server rests: {:?}",
        begun.elapsed()
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
        let stage = Stage::new(&[("s-1", &far), ("s-2", &near)]);
        serve(near, "near");
        stage.fail(Call::Connect, Some(lost), errno, ALWAYS);
        let waits = stage.faults.calls(Call::EpollWait);
        let mut client = Peer::client(stage.address);
        asks_on(&mut client, "near");
        let waits = stage.faults.calls(Call::EpollWait) - waits;
        assert!(waits < 1_000, "{errno}: {waits} rounds");
    }
}

#[test]
fn interrupted_calls_are_repeated() {
    let (stage, server) = stage("v");
    stage.fault(
        Call::Connect,
        Some(server),
        Fault::FailAfter(Errno::INTR),
        1,
    );
    for call in [Call::EpollWait, Call::Read, Call::Send, Call::Accept] {
        stage.fail(call, None, Errno::INTR, 10);
    }
    let mut client = Peer::client(stage.address);
    asks_on(&mut client, "v");
    for (call, times) in [
        (Call::EpollWait, 10),
        (Call::Read, 10),
        (Call::Send, 10),
        (Call::Accept, 10),
        (Call::Connect, 1),
    ] {
        assert_eq!(stage.faults.faults(call), times, "{call:?}");
    }
}

#[test]
fn one_byte_at_a_time_is_enough() {
    let (mut stage, _) = stage("value");
    stage.fault(Call::Read, None, Fault::AtMost(1), ALWAYS);
    stage.fault(Call::Send, None, Fault::AtMost(1), ALWAYS);
    let mut client = Peer::client(stage.address);
    for _ in 0..3 {
        asked(&mut client, "value");
    }
    // The list comes in bytes as well: its new server alone is left.
    let other = Listener::new();
    let gone = r#"{"name":"s-1","status":"Gone","since_ms":0}"#;
    stage
        .watch
        .tell(42, &[other.listed("s-2", "Ready"), gone.to_owned()]);
    serve(other, "other");
    let begun = Instant::now();
    loop {
        client.ask(&request());
        if client.reply().value.as_deref() == Some("other") {
            break;
        }
        assert!(begun.elapsed() < PATIENCE, "the list has not come");
    }
}

#[test]
fn transfers_without_memory_are_retried_and_lose_nothing() {
    for errno in [Errno::NOBUFS, Errno::NOMEM] {
        for call in [Call::Read, Call::Send] {
            let (stage, _) = stage("v");
            let mut client = Peer::client(stage.address);
            asked(&mut client, "v");
            let waits = stage.faults.calls(Call::EpollWait);
            stage.fail(call, None, errno, 10);
            asks_on(&mut client, "v");
            assert_eq!(stage.faults.faults(call), 10, "{call:?} {errno}");
            let waits = stage.faults.calls(Call::EpollWait) - waits;
            assert!(waits < 400, "{call:?} {errno}: {waits} rounds");
        }
    }
}

#[test]
fn a_read_without_memory_causes_no_busy_loop() {
    let (stage, _) = stage("v");
    let (mut client, mut other) = (Peer::client(stage.address), Peer::client(stage.address));
    asked(&mut client, "v");
    let short = client.stream.local_addr().unwrap();
    stage.fail(Call::Read, Some(short), Errno::NOMEM, 20);
    let (begun, waits) = (Instant::now(), stage.faults.calls(Call::EpollWait));
    client.ask(&request());
    asked(&mut other, "v");
    assert_eq!(client.reply().value.as_deref(), Some("v"));
    assert_eq!(stage.faults.faults(Call::Read), 20);
    assert!(begun.elapsed() >= 10 * RETRY_PAUSE, "{:?}", begun.elapsed());
    let waits = stage.faults.calls(Call::EpollWait) - waits;
    assert!(waits < 200, "{waits} rounds");
}

#[test]
fn watching_without_memory_is_retried() {
    for errno in [Errno::NOMEM, Errno::NOSPC] {
        let (stage, _) = stage("v");
        stage.fail(Call::EpollControl, None, errno, 10);
        let waits = stage.faults.calls(Call::EpollWait);
        let mut client = Peer::client(stage.address);
        asked(&mut client, "v");
        stage.until_met(Call::EpollControl, 10);
        let waits = stage.faults.calls(Call::EpollWait) - waits;
        assert!(waits < 400, "{errno}: {waits} rounds");
        asks_on(&mut client, "v");
        asked(&mut Peer::client(stage.address), "v");
    }
}

#[test]
fn a_long_shortage_of_watches_causes_no_busy_loop() {
    let (stage, _) = stage("v");
    let mut clients: Vec<Peer> = (0..4).map(|_| Peer::client(stage.address)).collect();
    stage.fail(Call::EpollControl, None, Errno::NOMEM, ALWAYS);
    for client in &mut clients {
        asks_on(client, "v");
    }
    // Each of the ten connections and listeners at most is looked at once a pause.
    let (begun, met) = (Instant::now(), stage.faults.faults(Call::EpollControl));
    let waits = stage.faults.calls(Call::EpollWait);
    stage.until_met(Call::EpollControl, met + 400);
    assert!(begun.elapsed() >= 20 * RETRY_PAUSE, "{:?}", begun.elapsed());
    let waits = stage.faults.calls(Call::EpollWait) - waits;
    // A round has a call at least, or a timer that is due: there are fewer than one a millisecond.
    assert!(
        u128::from(waits) <= 400 + begun.elapsed().as_millis(),
        "{waits} rounds"
    );
    stage.faults.clear();
    clients.iter_mut().for_each(|client| asked(client, "v"));
}

#[test]
fn the_listener_is_watched_again_once_there_is_memory() {
    let (stage, _) = stage("v");
    stage.fail(Call::Accept, None, Errno::NOMEM, 1);
    stage.fail(Call::EpollControl, None, Errno::NOMEM, ALWAYS);
    asked(&mut Peer::client(stage.address), "v");
    let begun = Instant::now();
    // The listener's own pause is over several times.
    while begun.elapsed() < Duration::from_millis(350) {
        stage.until_met(
            Call::EpollControl,
            stage.faults.faults(Call::EpollControl) + 1,
        );
    }
    stage.faults.clear();
    for _ in 0..3 {
        asked(&mut Peer::client(stage.address), "v");
    }
}

#[test]
fn a_wait_without_memory_is_retried() {
    let (stage, _) = stage("v");
    let mut client = Peer::client(stage.address);
    stage.fail(Call::EpollWait, None, Errno::NOMEM, 10);
    asks_on(&mut client, "v");
    assert_eq!(stage.faults.faults(Call::EpollWait), 10);
}

#[test]
fn a_client_whose_connection_breaks_affects_no_other() {
    for errno in [Errno::TIMEDOUT, Errno::CONNRESET] {
        for call in [Call::Read, Call::Send] {
            let (stage, _) = stage("v");
            let (mut lost, mut other) = (Peer::client(stage.address), Peer::client(stage.address));
            asked(&mut lost, "v");
            asked(&mut other, "v");
            stage.fail(call, Some(lost.stream.local_addr().unwrap()), errno, 1);
            lost.ask(&request());
            assert!(lost.ended(), "{call:?} {errno}");
            asks_on(&mut other, "v");
        }
    }
}

#[test]
fn a_read_on_a_broken_server_connection_is_retried_elsewhere() {
    for errno in [Errno::TIMEDOUT, Errno::CONNRESET, Errno::HOSTUNREACH] {
        for call in [Call::Read, Call::Send] {
            let (first, second) = (Listener::new(), Listener::new());
            let stage = Stage::new(&[("s-1", &first), ("s-2", &second)]);
            let breaks = first.address;
            serve(first, "v");
            serve(second, "v");
            let mut client = Peer::client(stage.address);
            asks_on(&mut client, "v");
            stage.fail(call, Some(breaks), errno, 3);
            asks_on(&mut client, "v");
        }
    }
}

#[test]
fn discovery_is_called_again_when_its_connection_breaks() {
    for errno in [Errno::TIMEDOUT, Errno::CONNRESET, Errno::NETDOWN] {
        let (mut stage, _) = stage("v");
        stage.fail(Call::Read, Some(stage.discovery.address), errno, 1);
        // Nothing has changed; or the head of the answer is what can't be read.
        _ = stage.watch.stream.write(b"1\r\n\n\r\n");
        let mut again = stage.discovery.accept();
        assert!(
            again
                .watch()
                .starts_with("GET /catalog/members?watch=1&after=4"),
            "{errno}"
        );
        asks_on(&mut Peer::client(stage.address), "v");
    }
}

#[test]
fn discovery_is_called_again_when_it_could_not_be_dialled() {
    for (call, errno) in [
        (Call::Socket, Errno::MFILE),
        (Call::Connect, Errno::NETUNREACH),
    ] {
        let (stage, server) = stage("v");
        let mut client = Peer::client(stage.address);
        asked(&mut client, "v");
        // No dial of the server is due: it has a connection that is free.
        assert_ne!(server, stage.discovery.address);
        stage.fail(
            call,
            Some(stage.discovery.address).filter(|_| call == Call::Connect),
            errno,
            2,
        );
        let Stage {
            watch,
            discovery,
            faults,
            ..
        } = &stage;
        watch.stream.shutdown(std::net::Shutdown::Both).unwrap();
        discovery.accept().watch();
        assert_eq!(faults.faults(call), 2, "{errno}");
        asks_on(&mut client, "v");
    }
}

#[test]
fn a_shutdown_that_fails_ends_the_connection_in_time() {
    let (stage, _) = stage("v");
    stage.fail(Call::Shutdown, None, Errno::NOTCONN, ALWAYS);
    let mut wrong = Peer::connect(stage.address);
    wrong.write(b"GET / HTTP/1.1\r\n\r\n");
    assert!(wrong.ended());
    asks_on(&mut Peer::client(stage.address), "v");
}

#[test]
fn a_dial_called_ready_before_it_is_established_continues() {
    let backlog = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    rustix::net::bind(&backlog, &"127.0.0.1:0".parse::<SocketAddr>().unwrap()).unwrap();
    rustix::net::listen(&backlog, 0).unwrap();
    let silent = listener::local_address(&backlog).unwrap();
    // Its backlog is full once a connection does not come up any more.
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

fn say(socket: &str, word: &str) -> String {
    let mut stream = UnixStream::connect(socket).unwrap();
    stream.write_all(format!("{word}\n").as_bytes()).unwrap();
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
    let stage = Stage::under_at_own_address(
        &[("s-1", &server)],
        &format!(
            "balancer b {{\n interval 100ms\n fall 2\n timeout 50ms\n}}\ncontrol {{\n socket {socket}\n}}\n"
        ),
    );
    serve(server, "v");
    say(socket, "drain");
    let begun = Instant::now();
    while TcpStream::connect(stage.address).is_ok() {
        assert!(begun.elapsed() < PATIENCE, "the listener stays");
    }
    stage.fail(Call::Bind, None, Errno::ADDRINUSE, 2);
    stage.fail(Call::EpollControl, None, Errno::NOMEM, 3);
    assert!(say(socket, "undrain").starts_with("phase serving\n"));
    let client = loop {
        assert!(begun.elapsed() < PATIENCE, "nobody listens");
        if let Ok(client) = TcpStream::connect(stage.address) {
            break client;
        }
        thread::yield_now();
    };
    assert_eq!(stage.faults.faults(Call::Bind), 2);
    drop(client);
    asks_on(&mut Peer::client(stage.address), "v");
}

#[test]
fn an_operator_is_answered_though_memory_is_short() {
    let socket = std::env::temp_dir().join(format!("leverproxy-{}-short", std::process::id()));
    let socket = socket.to_str().unwrap();
    let stage = Stage::under(&[], &format!("control {{\n socket {socket}\n}}\n"));
    let begun = Instant::now();
    stage.fail(Call::Accept, None, Errno::MFILE, 20);
    assert!(say(socket, "status").starts_with("phase serving\n"));
    assert_eq!(stage.faults.faults(Call::Accept), 20);
    assert!(begun.elapsed() >= 10 * RETRY_PAUSE, "{:?}", begun.elapsed());
    for (call, errno) in [
        (Call::Read, Errno::NOMEM),
        (Call::Send, Errno::NOBUFS),
        (Call::EpollControl, Errno::NOMEM),
    ] {
        stage.fail(call, None, errno, 2);
        assert!(
            say(socket, "status").starts_with("phase serving\n"),
            "{call:?}"
        );
        // The retry of a watch may find the word before it is asked for again.
        assert!(stage.faults.faults(call) >= 1, "{call:?}");
        stage.faults.clear();
    }
}
