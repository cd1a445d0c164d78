//! Scripted discovery, record servers and clients that run against a real proxy, all on loopback.
#![allow(dead_code)]

mod program;
// Not every test starts the program.
#[allow(unused_imports)]
pub use program::Program;

use leverproxy::config::{self, Config};
use leverproxy::control::Control;
use leverproxy::event_loop::system_calls::faults::Faults;
use leverproxy::protocol::postgres::{self, server};
use leverproxy::proxy::Proxy;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Longest wait of a test for any single event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

pub const SETTINGS: &str = r#"{"Balancers": 1, "Zones": ["a"], "HostTypes": ["m"],
 "Classes": [{"Name": "any", "Effect": "safe", "Deadline": 20000000, "GoalTime": 10000000, "LateValue": 0.5},
             {"Name": "book", "Effect": "unsafe", "Deadline": 20000000, "GoalTime": 10000000, "LateValue": 0.5}],
 "FamilyInfo": {"Behind": "reject", "NeedsByClass": ["loose", "update"], "StalenessBound": [0, 0],
                "TokenMode": "client"},
 "LoadReport": {"Fields": ["x0", "x1", "backlog"], "How": "on_probe"},
 "PolicyLimits": {"DialTimeout": 9000000, "Keepalive": 30000000, "MaxRetryAfter": 2000000, "Probing": true,
                  "RetryAfter": true, "SecondCopies": true, "TryLimit": 8},
 "Realms": [{"Name": "acme", "QuotaPerS": 100.0}], "RegistryMode": "on_request",
 "Rules": {"StopSendingWithin": 500000, "StartCapacity": 0.15, "OverloadFactor": 2.0}}"#;

/// A loopback address that no other test listens on. A port of 127.0.0.1 that a proxy has released may be given at once to the
/// listener of another test, and a test that waits for its proxy to listen again would connect to that listener.
pub fn unshared_loopback_address() -> SocketAddr {
    static NUMBER: AtomicU8 = AtomicU8::new(1);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let second = 64 + (high ^ NUMBER.fetch_add(1, Ordering::Relaxed)) % 128;
    SocketAddr::from(([127, second, middle, low], 0))
}

/// A listening peer. A separate thread accepts the connections, so that a test can wait for one with a timeout.
pub struct Listener {
    pub address: SocketAddr,
    accepted: Receiver<TcpStream>,
}

impl Listener {
    pub fn new() -> Listener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (send, accepted) = channel();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if send.send(stream).is_err() {
                    break;
                }
            }
        });
        Listener { address, accepted }
    }

    pub fn accept(&self) -> Peer {
        Peer::new(
            self.accepted
                .recv_timeout(TEST_TIMEOUT)
                .expect("a connection"),
        )
    }

    pub fn try_accept(&self) -> Option<Peer> {
        self.accepted.try_recv().ok().map(Peer::new)
    }

    /// True if no connection arrives within `span`.
    pub fn no_connection_within(&self, span: Duration) -> bool {
        matches!(
            self.accepted.recv_timeout(span),
            Err(RecvTimeoutError::Timeout)
        )
    }

    /// Accepts a connection from the proxy and completes the startup as a record server does.
    pub fn accept_session(&self) -> Peer {
        let mut peer = self.accept();
        peer.startup();
        peer
    }

    /// Entry of the endpoint list for this server.
    pub fn endpoint_entry(&self, name: &str, status: &str) -> String {
        format!(
            r#"{{"name":"{name}","address":"{}","zone":"a","type":"m","group":3,"status":"{status}","since_ms":0}}"#,
            self.address
        )
    }
}

/// Body of the message of an empty query.
pub const EMPTY_QUERY: &[u8] = b"\0";

/// A connection of the proxy, seen from its other end.
pub struct Peer {
    pub stream: TcpStream,
    input: Vec<u8>,
}

/// Response to one query: the value, or the fields of the error.
#[derive(Debug, Default, PartialEq)]
pub struct Reply {
    pub value: Option<String>,
    pub code: Option<String>,
    pub detail: Option<String>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer {
            stream,
            input: Vec::new(),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.input.extend_from_slice(&bytes[..n]);
                Ok(())
            }
        }
    }

    /// Tag and body of the next message.
    pub fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        loop {
            if let Some(message) = postgres::parse_message(&self.input, 8 << 20).unwrap() {
                let (tag, body, used) = (message.tag, message.body.to_vec(), message.raw.len());
                self.input.drain(..used);
                return Ok((tag, body));
            }
            self.read_more()?;
        }
    }

    /// Reads the head of an HTTP message, up to and including the blank line.
    pub fn head(&mut self) -> String {
        loop {
            if let Some(end) = self.input.windows(4).position(|w| w == b"\r\n\r\n") {
                return String::from_utf8(self.input.drain(..end + 4).collect()).unwrap();
            }
            self.read_more().unwrap();
        }
    }

    /// Reads until the connection ends: true if the other side has ended it, false after a read timeout.
    pub fn ended(&mut self) -> bool {
        loop {
            match self.read_more() {
                Ok(()) => {}
                Err(e) => {
                    return !matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    )
                }
            }
        }
    }

    /// Closes this side for writing and waits until the other side ends the connection.
    pub fn close_and_wait(mut self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
        assert!(self.ended());
    }

    /// Waits until the other side's kernel has acknowledged all sent bytes and the FIN, if any, whether or not the
    /// application has read them.
    pub fn wait_until_acknowledged(&self) {
        let started_at = std::time::Instant::now();
        let (local, peer) = (
            self.stream.local_addr().unwrap(),
            self.stream.peer_addr().unwrap(),
        );
        while !acknowledged(local, peer) {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "{peer} has not acknowledged all bytes"
            );
            thread::yield_now();
        }
    }

    // ---- As a record server ----

    pub fn startup(&mut self) {
        let key = server::CancelKey::NONE;
        while server::parse_startup(&self.input, key).unwrap().is_none() {
            self.read_more().unwrap();
        }
        let Some((server::Startup::Session(welcome), used)) =
            server::parse_startup(&self.input, key).unwrap()
        else {
            panic!("the startup packet does not open a session");
        };
        self.input.drain(..used);
        self.write(&welcome);
    }

    /// Reads the next query other than the empty ones, which are answered.
    pub fn query(&mut self) -> String {
        loop {
            let (tag, body) = self.message().expect("a query");
            assert_eq!(tag, b'Q');
            if body != EMPTY_QUERY {
                return String::from_utf8(body[..body.len() - 1].to_vec()).unwrap();
            }
            self.write_empty_query_response();
        }
    }

    /// Sends a response, and answers the empty query with which the proxy makes sure that nothing follows it.
    pub fn answer(&mut self, value: &str, parameters: &[(&str, &str)]) {
        self.write_answer(value, parameters);
        self.synchronize();
    }

    /// Sends a response and returns at once, for a proxy that is stopped and so sends no empty query.
    pub fn write_answer(&mut self, value: &str, parameters: &[(&str, &str)]) {
        self.write(&answer(value, parameters));
    }

    /// Answers the empty query behind a response, unless the proxy ends the connection instead.
    pub fn synchronize(&mut self) {
        if let Ok(message) = self.message() {
            assert_eq!(message, (b'Q', EMPTY_QUERY.to_vec()));
            self.write_empty_query_response();
        }
    }

    /// Answers an empty query. The proxy may have ended the connection meanwhile.
    pub fn write_empty_query_response(&mut self) {
        _ = self.stream.write_all(&server::empty_query());
    }

    pub fn error(&mut self, code: &str) {
        assert!(self.try_error(code));
        self.synchronize();
    }

    /// Sends an error response; false if the other side has ended the connection.
    pub fn try_error(&mut self, code: &str) -> bool {
        let mut out = Vec::new();
        postgres::put_error(&mut out, "ERROR", code, "scripted", None);
        postgres::put_ready_for_query(&mut out);
        self.stream.write_all(&out).is_ok()
    }

    /// Answers the probe for the load report as the primary.
    pub fn report_primary(&mut self) {
        assert_eq!(self.query(), "SHOW load");
        self.answer("x0=1.0,x1=1,backlog=0", &[]);
    }

    // ---- As discovery ----

    /// Answers a watch call with the head of a chunked response; returns the request line of the call.
    pub fn accept_watch(&mut self) -> String {
        let call = self.head();
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        call.lines().next().unwrap().to_owned()
    }

    pub fn send_list(&mut self, index: u64, entries: &[String]) {
        let line = format!(
            r#"{{"index":{index},"snapshot":false,"endpoints":[{}]}}"#,
            entries.join(",")
        );
        self.write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
    }

    // ---- As a client ----

    pub fn connect(address: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(address).unwrap())
    }

    /// Connects a client and completes its startup.
    pub fn client(address: SocketAddr) -> Peer {
        let mut peer = Peer::connect(address);
        peer.write(&server::startup_packet("app", "shop"));
        assert_eq!(peer.reply(), Reply::default());
        peer
    }

    pub fn ask(&mut self, query: &str) {
        self.write(&message(query));
    }

    /// Reads up to ReadyForQuery, or up to the end of the connection after a fatal error.
    pub fn reply(&mut self) -> Reply {
        let mut reply = Reply::default();
        loop {
            match self.message() {
                Ok((b'Z', _)) => return reply,
                Ok((b'D', body)) => {
                    reply.value = Some(String::from_utf8(body[6..].to_vec()).unwrap())
                }
                Ok((b'E', body)) => {
                    reply.code = postgres::error_field(&body, b'C').map(str::to_owned);
                    reply.detail = postgres::error_field(&body, b'D').map(str::to_owned);
                }
                Ok(_) => {}
                Err(e) => {
                    assert!(
                        reply.code.is_some(),
                        "the connection ended without a response: {e}"
                    );
                    return reply;
                }
            }
        }
    }
}

/// Whether the kernel's connection table shows no unacknowledged bytes from `local` to `peer`.
fn acknowledged(local: SocketAddr, peer: SocketAddr) -> bool {
    const ESTABLISHED: &str = "01";
    const FIN_WAIT_2: &str = "05";
    const SEND_QUEUE_EMPTY: &str = "00000000";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = |address: &str| u16::from_str_radix(address.rsplit(':').next().unwrap(), 16).ok();
    table.lines().skip(1).any(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let ours = port(columns[1]) == Some(local.port()) && port(columns[2]) == Some(peer.port());
        let sent = columns[4].starts_with(SEND_QUEUE_EMPTY);
        ours && sent && matches!(columns[3], ESTABLISHED | FIN_WAIT_2)
    })
}

/// A query message as a client sends it.
pub fn message(query: &str) -> Vec<u8> {
    let mut out = Vec::new();
    postgres::put(&mut out, b'Q', |body| postgres::put_text(body, query));
    out
}

/// A response with one value, as a record server sends it.
pub fn answer(value: &str, parameters: &[(&str, &str)]) -> Vec<u8> {
    let mut out = Vec::new();
    postgres::put(&mut out, b'T', |body| {
        body.extend([0, 1]);
        postgres::put_text(body, "doc");
        body.extend([0; 18]);
    });
    postgres::put(&mut out, b'D', |body| {
        body.extend([0, 1]);
        body.extend((value.len() as u32).to_be_bytes());
        body.extend(value.as_bytes());
    });
    postgres::put(&mut out, b'C', |body| postgres::put_text(body, "SELECT 1"));
    for (name, value) in parameters {
        postgres::put(&mut out, b'S', |body| {
            postgres::put_text(body, name);
            postgres::put_text(body, value);
        });
    }
    postgres::put_ready_for_query(&mut out);
    out
}

/// Sends an HTTP call; returns the status and the body of its response.
pub fn call(admin: SocketAddr, bytes: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let (head, text) = answer.split_once("\r\n\r\n").unwrap();
    (
        head.split(' ').nth(1).unwrap().parse().unwrap(),
        text.to_owned(),
    )
}

pub fn get(admin: SocketAddr, path: &str) -> (u16, String) {
    call(admin, &format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
}

pub fn post(admin: SocketAddr, command: &str, target: &str) -> u16 {
    let body = format!(r#"{{"target":"{target}"}}"#);
    let length = body.len();
    call(
        admin,
        &format!(
            "POST /api/{command} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"
        ),
    )
    .0
}

/// Serves one request over a new connection to the record server; returns that connection.
pub fn serve_request(client: &mut Peer, server: &Listener, id: u32, value: &str) -> Peer {
    client.ask(&read_statement(id, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    upstream.answer(value, &[]);
    assert_eq!(client.reply().value.as_deref(), Some(value));
    upstream
}

/// Polls the metrics until `line` is among them. The event that changes the metric has been sent, and may still be in transit.
pub fn wait_for_metric(admin: SocketAddr, line: &str) {
    let started_at = std::time::Instant::now();
    while !get(admin, "/api/telemetry").1.lines().any(|l| l == line) {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "{line} is not among the metrics"
        );
        thread::yield_now();
    }
}

pub fn read_statement(id: u32, class: &str, wait_ms: u32) -> String {
    format!(
        "SELECT doc FROM items WHERE id = '7f3a' /* id={id:016x},c={class},t=acme,d={wait_ms},cluster=3 */"
    )
}

/// A proxy in a thread of this process, with the watch that it has opened on a scripted discovery.
pub struct TestProxy {
    pub address: SocketAddr,
    /// Addresses of the health-check listeners, in the order of the operators' file.
    pub health: Vec<SocketAddr>,
    /// Address of the admin API, if it is configured.
    pub admin: Option<SocketAddr>,
    pub control: Control,
    pub discovery: Listener,
    pub watch: Peer,
    /// Faults injected into the system calls of the event loop; none at first.
    pub faults: Arc<Faults>,
    running: Option<JoinHandle<io::Result<()>>>,
}

impl TestProxy {
    /// Starts a proxy whose configuration lists `servers` as ready.
    pub fn new(servers: &[(&str, &Listener)]) -> TestProxy {
        TestProxy::with_config(servers, |_| {})
    }

    /// Adjusts the configuration before the start.
    pub fn with_config(
        servers: &[(&str, &Listener)],
        adjust: impl FnOnce(&mut Config),
    ) -> TestProxy {
        TestProxy::start_with(servers, None, adjust)
    }

    /// With an operators' file.
    pub fn with_operators_file(servers: &[(&str, &Listener)], operators: &str) -> TestProxy {
        let file = TempFile::new(operators);
        TestProxy::start_with(servers, Some(&file.0), |_| {})
    }

    /// With an operators' file, listening on an [`unshared_loopback_address`].
    pub fn with_operators_file_at_unshared_address(
        servers: &[(&str, &Listener)],
        operators: &str,
    ) -> TestProxy {
        let file = TempFile::new(operators);
        TestProxy::start_with(servers, Some(&file.0), |config| {
            config.listen = unshared_loopback_address();
        })
    }

    /// With an operators' file and a limit of client connections.
    pub fn with_client_limit(
        servers: &[(&str, &Listener)],
        operators: &str,
        clients: usize,
    ) -> TestProxy {
        let file = TempFile::new(operators);
        TestProxy::start_with(servers, Some(&file.0), |config| {
            config.limits.clients = clients
        })
    }

    fn start_with(
        servers: &[(&str, &Listener)],
        operators: Option<&Path>,
        adjust: impl FnOnce(&mut Config),
    ) -> TestProxy {
        let discovery = Listener::new();
        let known: Vec<String> = servers
            .iter()
            .map(|(name, s)| s.endpoint_entry(name, "Ready"))
            .collect();
        let text = format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
                "known":{{"index":41,"snapshot":true,"endpoints":[{}]}},"settings":{SETTINGS}}}"#,
            discovery.address,
            known.join(",")
        );
        let operators = operators.map(|path| path.display().to_string());
        let variable = |name: &str| operators.clone().filter(|_| name == "LB_OPERATORS");
        let mut config = config::parse(text.as_bytes(), variable).unwrap();
        // A machine that is busy with other tests delays the event loop, which the proxy would report. No test checks that
        // here.
        config.availability.lag = (TEST_TIMEOUT, 2 * TEST_TIMEOUT);
        adjust(&mut config);
        let (mut proxy, control) = Proxy::start(config).unwrap();
        let address = proxy.local_address().unwrap();
        let (health, admin) = (proxy.health_addresses(), proxy.admin_address());
        let faults = Arc::<Faults>::default();
        let installed = faults.clone();
        let running = Some(thread::spawn(move || {
            installed.install();
            proxy.run()
        }));
        let mut watch = discovery.accept();
        assert_eq!(
            watch.accept_watch(),
            "GET /catalog/members?watch=1&after=41 HTTP/1.1"
        );
        TestProxy {
            address,
            health,
            admin,
            control,
            discovery,
            watch,
            faults,
            running,
        }
    }

    /// Waits until the proxy has ended without an error.
    pub fn end(&mut self) {
        self.running.take().unwrap().join().unwrap().unwrap();
    }
}

impl Drop for TestProxy {
    fn drop(&mut self) {
        self.control.stop();
    }
}

/// A temporary file, removed on drop.
pub struct TempFile(pub PathBuf);

impl TempFile {
    pub fn new(text: &str) -> TempFile {
        static CREATED: AtomicU32 = AtomicU32::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("leverproxy-{}-{number}.conf", std::process::id()));
        let file = TempFile(path);
        file.write(text);
        file
    }

    pub fn write(&self, text: &str) {
        std::fs::write(&self.0, text).unwrap();
    }

    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        _ = std::fs::remove_file(&self.0);
    }
}
