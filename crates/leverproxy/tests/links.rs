//! A zone whose listed servers are all unreachable is reported as a cut link, and as up again once a server responds.

mod common;
use common::{read_statement, Listener, Peer, TestProxy, TEST_TIMEOUT};
use rustix::net::{self, AddressFamily, SocketType};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// A server whose accept backlog is full, so that further dials get no response.
struct Unreachable {
    listener: TcpListener,
    address: SocketAddr,
    _backlog: Vec<TcpStream>,
}

impl Unreachable {
    fn new() -> Unreachable {
        let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        net::bind(&socket, &"127.0.0.1:0".parse::<SocketAddr>().unwrap()).unwrap();
        net::listen(&socket, 0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            backlog.push(stream);
        }
        Unreachable {
            listener,
            address,
            _backlog: backlog,
        }
    }

    fn endpoint_entry(&self, name: &str) -> String {
        format!(
            r#"{{"name":"{name}","address":"{}","zone":"far","type":"m","group":3,"status":"Ready","since_ms":0}}"#,
            self.address
        )
    }

    /// Accepts connections from now on, and sends nothing on them.
    fn accept_connections(self) {
        thread::spawn(move || {
            let mut held = Vec::new();
            while let Ok((stream, _)) = self.listener.accept() {
                held.push(stream);
            }
        });
    }
}

fn readiness_report(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
        .write_all(b"GET /readyz?format=json HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn an_unreachable_zone_is_reported_cut_until_it_responds() {
    let near = Listener::new();
    let mut test_proxy = TestProxy::with_operators_file(
        &[("s-1", &near)],
        "health web {\n address 127.0.0.1:0\n}\navailability {\n silence 50ms\n list-late 500ms\n}\n",
    );
    // The near server answers probes and reads.
    thread::spawn(move || loop {
        let mut peer: Peer = near.accept();
        thread::spawn(move || {
            peer.startup();
            while let Ok((_, body)) = peer.message() {
                let probe = body.starts_with(b"SHOW");
                peer.answer(if probe { "x0=1.0,x1=1,backlog=0" } else { "v" }, &[]);
            }
        });
    });
    let far = [Unreachable::new(), Unreachable::new()];
    test_proxy.watch.send_list(
        42,
        &[far[0].endpoint_entry("s-2"), far[1].endpoint_entry("s-3")],
    );
    let web = test_proxy.health[0];
    let start = Instant::now();
    while !readiness_report(web).contains("a place without a name") {
        assert!(start.elapsed() < TEST_TIMEOUT, "the list must be applied");
    }
    let mut clients: Vec<Peer> = (0..40).map(|_| Peer::client(test_proxy.address)).collect();
    let mut id = 0;
    let mut step = |test_proxy: &mut TestProxy, wanted: &str| {
        let start = Instant::now();
        loop {
            // The number of commands stays within the pipelining limit of each client.
            if id < 600 {
                for client in &mut clients {
                    id += 1;
                    client.ask(&read_statement(id, "any", 19_000));
                }
            }
            // A keepalive from discovery, which reports no change.
            test_proxy.watch.write(b"1\r\n\n\r\n");
            let text = readiness_report(web);
            if text.contains(wanted) {
                return text;
            }
            assert!(start.elapsed() < 2 * TEST_TIMEOUT, "{wanted}: {text}");
            thread::yield_now();
        }
    };
    let text = step(&mut test_proxy, r#""a place without a name":"cut""#);
    assert!(
        text.starts_with("HTTP/1.1 200 OK"),
        "the proxy must stay ready: {text}"
    );
    assert!(text.contains(r#""a":"up""#), "{text}");
    assert!(
        text.contains(r#""reason":"the link to a place without a name is cut""#),
        "{text}"
    );
    far.into_iter().for_each(Unreachable::accept_connections);
    step(&mut test_proxy, r#""a place without a name":"up""#);
}
