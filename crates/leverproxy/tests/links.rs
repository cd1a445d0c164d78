//! A building that nothing comes from: told as a cut link while the list holds its servers, and as up again on a word.

mod common;
use common::{read, Listener, Peer, Stage, PATIENCE};
use rustix::net::{self, AddressFamily, SocketType};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// A machine that connections don't come up to: its backlog is full, so it says nothing to further ones.
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

    fn listed(&self, name: &str) -> String {
        format!(
            r#"{{"name":"{name}","address":"{}","zone":"far","type":"m","group":3,"status":"Ready","since_ms":0}}"#,
            self.address
        )
    }

    /// Takes connections from now on, and says no more than that.
    fn recover(self) {
        thread::spawn(move || {
            let mut held = Vec::new();
            while let Ok((stream, _)) = self.listener.accept() {
                held.push(stream);
            }
        });
    }
}

fn detail(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
        .write_all(b"GET /readyz?format=json HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn a_cut_link_is_told_until_a_word_comes() {
    let near = Listener::new();
    let mut stage = Stage::under(
        &[("s-1", &near)],
        "health web {\n address 127.0.0.1:0\n}\navailability {\n silence 50ms\n list-late 500ms\n}\n",
    );
    // Whoever is asked here answers.
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
    stage
        .watch
        .tell(42, &[far[0].listed("s-2"), far[1].listed("s-3")]);
    let web = stage.health[0];
    let start = Instant::now();
    while !detail(web).contains("a place without a name") {
        assert!(start.elapsed() < PATIENCE, "the list is heard");
    }
    let mut clients: Vec<Peer> = (0..40).map(|_| Peer::client(stage.address)).collect();
    let mut id = 0;
    let mut step = |stage: &mut Stage, wanted: &str| {
        let start = Instant::now();
        loop {
            // No client has more commands open than the proxy takes.
            if id < 600 {
                for client in &mut clients {
                    id += 1;
                    client.ask(&read(id, "any", 19_000));
                }
            }
            // Nothing has changed, says discovery.
            stage.watch.write(b"1\r\n\n\r\n");
            let text = detail(web);
            if text.contains(wanted) {
                return text;
            }
            assert!(start.elapsed() < 2 * PATIENCE, "{wanted}: {text}");
            thread::yield_now();
        }
    };
    let text = step(&mut stage, r#""a place without a name":"cut""#);
    assert!(text.starts_with("HTTP/1.1 200 OK"), "it serves: {text}");
    assert!(text.contains(r#""a":"up""#), "{text}");
    assert!(
        text.contains(r#""reason":"the link to a place without a name is cut""#),
        "{text}"
    );
    far.into_iter().for_each(Unreachable::recover);
    step(&mut stage, r#""a place without a name":"up""#);
}
