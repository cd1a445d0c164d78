//! Complete, cut and malformed endpoint lists from discovery: which objects are applied, and when the next call is made.

mod common;
use common::{
    read_statement, serve_request, Listener, Peer, Program, Reply, TempFile, TestProxy,
    TEST_TIMEOUT,
};
use discovery_schedule::{
    DIAL_TIMEOUT, MAX_RETRY_DELAY, OBJECT_TIMEOUT, SILENCE_TIMEOUT, WATCH_RECONNECT_DELAY,
};
use leverproxy::discovery::{DiscoveryClient, WatchEvent};
use leverproxy::event_loop::reactor::Reactor;
use leverproxy::event_loop::token::Token;
use leverproxy::protocol::http::{Part, ResponseParser};
use rustix::net::sockopt;
use std::io::{BufRead, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Framing of an HTTP body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    Length,
    NoLength,
}

const FRAMINGS: [Framing; 3] = [Framing::Chunked, Framing::Length, Framing::NoLength];

impl Framing {
    /// Start of a response with `body`, whose framing announces `missing` more bytes.
    fn answer(self, body: &str, missing: usize) -> String {
        let length = body.len() + missing;
        match self {
            Framing::Chunked => {
                format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}")
            }
            Framing::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
            Framing::NoLength => format!("HTTP/1.1 200 OK\r\n\r\n{body}"),
        }
    }
}

/// An endpoint list as JSON on one line.
fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

fn indented(text: &str) -> String {
    text.replace(',', ",\n    ")
        .replace('{', "{\n  ")
        .replace('}', "\n}")
}

/// Closes the connection with a reset.
fn reset(peer: Peer) -> Option<Peer> {
    sockopt::set_socket_linger(&peer.stream, Some(Duration::ZERO)).unwrap();
    None
}

/// Accepts the next watch call; returns the index after which it requests changes.
fn accept_call(discovery: &Listener) -> (Peer, u64) {
    let mut peer = discovery.accept();
    let head = peer.head();
    let line = head.lines().next().unwrap();
    let index = line
        .strip_prefix("GET /catalog/members?watch=1&after=")
        .unwrap()
        .strip_suffix(" HTTP/1.1")
        .unwrap();
    (peer, index.parse().unwrap())
}

/// Closes the watch of a proxy; returns the connection of the next call, which must continue after `index`.
fn restart_watch(test_proxy: &mut TestProxy, index: u64) -> Peer {
    test_proxy.watch.stream.shutdown(Shutdown::Both).unwrap();
    let (next, after) = accept_call(&test_proxy.discovery);
    assert_eq!(after, index);
    next
}

/// A complete list is applied in every framing and layout, and the next call continues from its index.
#[test]
fn a_complete_list_is_applied_in_any_form() {
    for framing in FRAMINGS {
        for form in [str::to_owned, indented] {
            let server = Listener::new();
            let mut test_proxy = TestProxy::new(&[]);
            let mut peer = restart_watch(&mut test_proxy, 41);
            let whole = form(&list(57, true, &[server.endpoint_entry("s-1", "Ready")]));
            peer.write(framing.answer(&whole, 0).as_bytes());
            let mut client = Peer::client(test_proxy.address);
            serve_request(&mut client, &server, 1, "listed");
            test_proxy.watch = peer;
            restart_watch(&mut test_proxy, 57);
        }
    }
}

/// The connection is reset in the middle of a list. The incomplete list must not be applied, but the complete objects
/// before it are, even if the last one is a drain.
#[test]
fn of_a_response_cut_by_a_reset_only_complete_objects_count() {
    for framing in FRAMINGS {
        let (first, second) = (Listener::new(), Listener::new());
        let mut test_proxy = TestProxy::new(&[("s-1", &first), ("s-2", &second)]);
        let mut peer = restart_watch(&mut test_proxy, 41);
        // Cut after a complete entry. Applied as a snapshot, this list would remove the first record server.
        let half = list(58, true, &[second.endpoint_entry("s-2", "Ready")]);
        peer.write(
            framing
                .answer(half.strip_suffix("]}").unwrap(), 2)
                .as_bytes(),
        );
        reset(peer);
        let (mut peer, after) = accept_call(&test_proxy.discovery);
        assert_eq!(after, 41, "{framing:?}: half a list must not be applied");
        let drain = list(59, false, &[second.endpoint_entry("s-2", "Terminating")]);
        peer.write(
            framing
                .answer(&format!("{drain}\n{half:.40}"), 100)
                .as_bytes(),
        );
        reset(peer);
        let (_peer, after) = accept_call(&test_proxy.discovery);
        assert_eq!(after, 59, "{framing:?}: complete objects must be applied");
        let mut client = Peer::client(test_proxy.address);
        let mut upstream = serve_request(&mut client, &first, 1, "first");
        for id in 2..8 {
            client.ask(&read_statement(id, "any", 19000));
            upstream.query();
            upstream.answer("first", &[]);
            assert_eq!(client.reply().value.as_deref(), Some("first"));
        }
        assert!(
            second.try_accept().is_none(),
            "{framing:?}: the drained server must get no requests"
        );
    }
}

/// A list is applied as soon as it is complete, even if the start of the next one or malformed bytes follow it.
#[test]
fn a_list_is_applied_whatever_follows_it() {
    let server = Listener::new();
    let listed: Vec<String> = (0..100)
        .map(|n| server.endpoint_entry(&format!("s-{n}"), "Ready"))
        .collect();
    let whole = list(57, true, &listed);
    let (begin, end) = whole.split_at(whole.len() - 5);
    let (mut reader, mut parts) = (ResponseParser::default(), Vec::new());
    for text in [Framing::NoLength.answer(begin, 0), format!("{end}\n{{\"in")] {
        assert_eq!(parts, []);
        assert_eq!(reader.parse(text.as_bytes(), &mut parts), Ok(text.len()));
    }
    assert_eq!(
        parts,
        [Part::Object(whole)],
        "the list must be parsed before the next one is complete"
    );
    let mut test_proxy = TestProxy::new(&[]);
    let mut peer = restart_watch(&mut test_proxy, 41);
    let drain = list(58, false, &[server.endpoint_entry("s-1", "Terminating")]);
    peer.write(
        Framing::Length
            .answer(&format!("{drain}<html>"), 0)
            .as_bytes(),
    );
    let (mut peer, after) = accept_call(&test_proxy.discovery);
    assert_eq!(after, 58, "the list before invalid JSON must be applied");
    let drain = list(59, false, &[server.endpoint_entry("s-2", "Terminating")]);
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{drain}xx\r\n",
        drain.len()
    );
    peer.write(text.as_bytes());
    let (mut peer, after) = accept_call(&test_proxy.discovery);
    assert_eq!(
        after, 59,
        "the list before a malformed chunk must be applied"
    );
    let text = format!("{}{{\"index\":\"soon\"}}", list(60, false, &[]));
    peer.write(Framing::NoLength.answer(&text, 0).as_bytes());
    assert_eq!(
        accept_call(&test_proxy.discovery).1,
        60,
        "the list before an invalid list must be applied"
    );
}

/// A call that discovery rejects is repeated, and the last known list stays in use.
#[test]
fn a_rejected_call_is_made_again() {
    let server = Listener::new();
    let mut test_proxy = TestProxy::new(&[("s-1", &server)]);
    let mut peer = restart_watch(&mut test_proxy, 41);
    for answer in [
        "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy",
        "HTTP/1.1 503 Busy\r\n\r\n",
        "SSH-2.0\r\n",
    ] {
        peer.write(answer.as_bytes());
        let (next, after) = accept_call(&test_proxy.discovery);
        assert_eq!(after, 41);
        peer = next;
    }
    let mut client = Peer::client(test_proxy.address);
    serve_request(&mut client, &server, 1, "known");
}

/// The discovery client without a proxy, on a clock that the test sets.
struct StandaloneClient {
    reactor: Reactor,
    discovery: DiscoveryClient,
    now: Instant,
    listener: Listener,
}

impl StandaloneClient {
    fn new(pushed: bool) -> StandaloneClient {
        let (reactor, listener, now) = (Reactor::new().unwrap(), Listener::new(), Instant::now());
        let mut discovery = DiscoveryClient::new(listener.address, SILENCE_TIMEOUT, pushed, now);
        discovery.poll(1, now, &reactor);
        StandaloneClient {
            reactor,
            discovery,
            now,
            listener,
        }
    }

    /// Waits for the next event and passes it to the client.
    fn dispatch_events(&mut self) {
        let mut ready = Vec::new();
        self.reactor
            .wait(Some(Instant::now() + TEST_TIMEOUT), &mut ready)
            .unwrap();
        assert!(!ready.is_empty(), "no event arrived");
        for event in &ready {
            let Token::Discovery(key) = event.token else {
                panic!("{event:?}")
            };
            self.discovery.ready(key, self.now, &self.reactor);
        }
    }

    /// Waits for the next event that the client reports.
    fn next_event(&mut self) -> WatchEvent {
        loop {
            if let Some(next_event) = self.discovery.pop_event() {
                return next_event;
            }
            self.dispatch_events();
        }
    }

    /// Accepts the connection and reads the call.
    fn accept_call(&mut self) -> Peer {
        let mut peer = self.listener.accept();
        self.dispatch_events();
        peer.head();
        peer
    }

    /// Advances the clock to the next timer and fires it; returns the time until then.
    fn fire_next_timer(&mut self) -> Duration {
        // A timer that is set stays set, so `next_timer` returns each one once.
        let due = self.discovery.next_timer().unwrap();
        let after = due.saturating_duration_since(self.now);
        self.now = due;
        self.discovery.handle_timer(1, self.now, &self.reactor);
        after
    }
}

/// A call or watch on which nothing arrives any more, at any point of the response, is reported as lost, and the next call is
/// made at once.
#[test]
fn silence_ends_a_call() {
    for response_start in [
        "",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"index\":3",
        "HTTP/1.1 200 OK\r\n\r\n{}",
    ] {
        let mut client = StandaloneClient::new(false);
        let mut peer = client.accept_call();
        peer.write(response_start.as_bytes());
        if response_start.ends_with("{}") {
            assert!(matches!(client.next_event(), WatchEvent::List(_)));
        }
        assert!(client.fire_next_timer() <= SILENCE_TIMEOUT);
        assert!(
            matches!(client.next_event(), WatchEvent::Lost),
            "{response_start:?}"
        );
        assert!(peer.ended());
        client.accept_call();
    }
}

/// A call whose dial hangs, or whose response arrives byte by byte without a complete object, is abandoned, and the next call
/// is made at once.
#[test]
fn a_call_without_a_complete_object_is_abandoned() {
    let mut client = StandaloneClient::new(false);
    assert_eq!(client.fire_next_timer(), DIAL_TIMEOUT);
    assert!(matches!(client.next_event(), WatchEvent::Lost));
    let _abandoned = client.listener.accept();
    let mut peer = client.accept_call();
    peer.write(b"HTTP/1.1 200 OK\r\n\r\n{");
    let started_at = client.now;
    for _ in 0..100 {
        peer.write(b" ");
        client.dispatch_events();
        client.now += Duration::from_millis(50);
    }
    assert_eq!(
        client.fire_next_timer() + (client.now - started_at),
        OBJECT_TIMEOUT
    );
    assert!(matches!(client.next_event(), WatchEvent::Lost));
    client.accept_call();
}

/// Where the list is polled, a failure is reported to the module that schedules the calls. If that module schedules none, the
/// next call is made after the maximum retry delay.
#[test]
fn the_next_call_after_a_failure_is_made_in_time() {
    // The connection stays open after a non-empty response, and is reset without one.
    for end in [
        "",
        "HTTP/1.1 503 Busy\r\n\r\n",
        "SSH-2.0\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{ \n",
    ] {
        for (pushed, again) in [(false, MAX_RETRY_DELAY), (true, WATCH_RECONNECT_DELAY)] {
            let mut client = StandaloneClient::new(pushed);
            let mut peer = client.accept_call();
            peer.write(end.as_bytes());
            let _open = if end.is_empty() {
                reset(peer)
            } else {
                Some(peer)
            };
            assert!(matches!(client.next_event(), WatchEvent::Lost));
            let call_failed = client.discovery.pop_event();
            assert_eq!(
                matches!(call_failed, Some(WatchEvent::CallFailed)),
                !pushed,
                "{call_failed:?}"
            );
            assert_eq!(client.fire_next_timer(), again);
            client.accept_call();
        }
    }
}

/// A poll that was requested before discovery's address changed must not close the watch that is open at the new address.
#[test]
fn a_poll_while_a_call_is_open_changes_nothing() {
    let mut client = StandaloneClient::new(false);
    reset(client.accept_call());
    assert!(matches!(client.next_event(), WatchEvent::Lost));
    assert!(matches!(client.next_event(), WatchEvent::CallFailed));
    client.listener = Listener::new();
    client
        .discovery
        .set_address(client.listener.address, 1, client.now, &client.reactor);
    let mut peer = client.accept_call();
    client.discovery.poll(1, client.now, &client.reactor);
    peer.write(Framing::Chunked.answer(&list(2, true, &[]), 0).as_bytes());
    let WatchEvent::List(listing) = client.next_event() else {
        panic!("the poll closed the watch at the new address")
    };
    assert_eq!(listing.index, 2);
}

/// Under a real descriptor limit, silent clients hold all connections that clients may have. Discovery (with two watches),
/// record servers and operators still get their descriptors, whether the configured socket limit equals the real one or
/// exceeds it.
#[test]
fn many_silent_clients_take_no_descriptor_that_others_need() {
    for stated in ["limits {\n sockets 128\n}", ""] {
        let (server, elsewhere) = (Listener::new(), Listener::new());
        let mut program =
            Program::with_operators_file("export LB_ADMIN=127.0.0.1:0; ulimit -n 128;", stated);
        let line = program.wait_for_log_line("admin: answering calls on ");
        let admin = line.rsplit(' ').next().unwrap().parse().unwrap();
        program
            .watch
            .send_list(57, &[server.endpoint_entry("s-1", "Ready")]);
        let mut client = Peer::client(program.address);
        let upstream = serve_request(&mut client, &server, 1, "before");
        let crowd: Vec<Peer> = (0..200).map(|_| Peer::connect(program.address)).collect();
        // Once this client is answered, the proxy has accepted the silent clients before it.
        let mut last = Peer::client(program.address);
        last.ask("");
        assert_eq!(last.reply(), Reply::default());
        program.reload(&format!(r#""discovery":"{}","#, elsewhere.address));
        for _ in 0..3 {
            let (peer, after) = accept_call(&elsewhere);
            assert_eq!(after, 57);
            assert_eq!(common::get(admin, "/api/telemetry").0, 200);
            reset(peer);
        }
        upstream.close_and_wait();
        serve_request(&mut client, &server, 2, "new connection");
        drop(crowd);
    }
}

/// A proxy in a process of its own, with given addresses of discovery and of a record server.
struct ProxyProcess {
    child: Child,
    /// Lines of the log. Another thread reads them, so that waiting for a line has a timeout.
    log: Receiver<String>,
    _file: TempFile,
}

impl ProxyProcess {
    fn new(discovery: SocketAddr, server: SocketAddr, pushed: bool) -> ProxyProcess {
        let mode = if pushed { "pushed" } else { "on_request" };
        let settings = common::SETTINGS.replace("\"on_request\"", &format!("\"{mode}\""));
        let settings = settings.replace("\"Balancers\": 1", "\"Balancers\": 300");
        let entry = format!(
            r#"{{"name":"s-1","address":"{server}","zone":"a","type":"m","group":3,"status":"Ready","since_ms":0}}"#
        );
        let known = list(41, true, &[entry]);
        let file = TempFile::new(&format!(r#"{{"known":{known},"settings":{settings}}}"#));
        let mut child = Command::new(env!("CARGO_BIN_EXE_leverproxy"))
            .arg("serve")
            .env("LB_CONFIG", &file.0)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env("LB_DISCOVERY", discovery.to_string())
            .env_remove("LB_OPERATORS")
            .env_remove("RUST_LOG")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (send, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| send.send(line))
        });
        ProxyProcess {
            child,
            log,
            _file: file,
        }
    }

    fn address(&mut self) -> SocketAddr {
        let line = loop {
            let line = self
                .log
                .recv_timeout(TEST_TIMEOUT)
                .expect("the proxy does not serve");
            if line.contains("serving on ") {
                break line;
            }
        };
        line.rsplit(' ').next().unwrap().parse().unwrap()
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Many proxies that start at the same time become ready at once, with pushed and with polled lists, while record servers
/// refuse connections and discovery refuses connections, sends nothing, or does not complete the dial.
#[test]
fn proxies_that_start_together_become_ready_whatever_discovery_does() {
    let closed_port = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let silent = Listener::new();
    // One connection fills the backlog, so further dials hang.
    let full_backlog = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::net::listen(&full_backlog, 0).unwrap();
    let full_backlog_address = full_backlog.local_addr().unwrap();
    let _filled = TcpStream::connect(full_backlog_address).unwrap();
    let started_at = Instant::now();
    let mut started: Vec<ProxyProcess> = (0..24)
        .map(|n| {
            ProxyProcess::new(
                [closed_port, silent.address, full_backlog_address][n % 3],
                closed_port,
                n % 2 == 0,
            )
        })
        .collect();
    for (n, one) in started.iter_mut().enumerate() {
        let address = one.address();
        let mut client = Peer::client(address);
        client.ask("");
        assert_eq!(client.message().unwrap().0, b'I', "EmptyQueryResponse");
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "number {n} after {:?}",
            started_at.elapsed()
        );
    }
}
