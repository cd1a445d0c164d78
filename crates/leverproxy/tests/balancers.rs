//! Load balancers in front of the proxy: health checks of every protocol, drains, and PROXY protocol headers.

mod common;
use common::{read_statement, Listener, Peer, Program, TestProxy, TEST_TIMEOUT};
use leverproxy::protocol::postgres::server;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Instant;
use wire_health::agent::{self, Administrative, Operational};
use wire_health::proxy;

const HEALTH_LISTENERS: &str = "health agent {\n protocol agent\n address 127.0.0.1:0\n}\nhealth web {\n address 127.0.0.1:0\n statuses drain-is-404\n}\n";

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Reads until the end of the connection.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

fn agent_check(address: SocketAddr) -> String {
    read_to_end(connect(address))
}

fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = connect(address);
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n").as_bytes())
        .unwrap();
    read_to_end(stream)
}

fn status(address: SocketAddr, path: &str) -> u16 {
    get(address, path)
        .split(' ')
        .nth(1)
        .unwrap()
        .parse()
        .unwrap()
}

/// Polls until `holds` returns true; fails after a timeout with `what`.
fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TEST_TIMEOUT, "{what}");
        std::thread::yield_now();
    }
}

#[test]
fn checks_of_each_protocol_are_answered() {
    let server = Listener::new();
    let test_proxy = TestProxy::with_operators_file(&[("s-1", &server)], HEALTH_LISTENERS);
    let [agent, web] = test_proxy.health[..] else {
        panic!("{:?}", test_proxy.health)
    };
    assert_eq!(agent_check(agent), "ready up 100%\n");
    for (path, code) in [
        ("/livez", 200),
        ("/readyz", 200),
        ("/startupz", 200),
        ("/readyz/group/3", 200),
        ("/no", 404),
    ] {
        assert_eq!(status(web, path), code, "{path}");
    }
    // Several checks on one connection, one of them sent in two parts.
    let mut stream = connect(web);
    stream
        .write_all(b"HEAD /readyz HTTP/1.1\r\n\r\nGET /livez HTTP/1.1\r\nConnection: cl")
        .unwrap();
    stream.write_all(b"ose\r\n\r\n").unwrap();
    let text = read_to_end(stream);
    assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2, "{text}");
    assert!(text.ends_with("alive\n"));
    assert!(get(web, "/readyz?format=json").contains(r#""state":"ready""#));
    let mut stream = connect(web);
    stream.write_all(b"no http at all\r\n\r\n").unwrap();
    assert!(read_to_end(stream).starts_with("HTTP/1.1 400"));
}

#[test]
fn an_agent_check_reads_a_text_where_configured() {
    let test_proxy = TestProxy::with_operators_file(
        &[],
        "health a {\n protocol agent\n address 127.0.0.1:0\n expects-text yes\n}\n",
    );
    let mut stream = connect(test_proxy.health[0]);
    stream.write_all(b"group").unwrap();
    stream.write_all(b" 3\n").unwrap();
    assert_eq!(read_to_end(stream), "ready up 100%\n");
}

#[test]
fn an_agent_check_reports_the_client_limit_where_configured() {
    let test_proxy = TestProxy::with_operators_file(
        &[],
        "health a {\n protocol agent\n address 127.0.0.1:0\n maxconn yes\n}\nlimits {\n sockets 141\n}\n",
    );
    // 141 sockets minus 32, minus nine for this listener and ten in reserve, leave 90. Clients get 60% of them.
    wait_until("the limit is known", || {
        agent_check(test_proxy.health[0]) == "ready up 100% maxconn:54\n"
    });
}

/// A group of servers accepts requests and answers none. The readiness check of that group fails within a second, while the
/// proxy stays ready for the other groups.
#[test]
fn a_hung_group_is_reported_and_others_stay_ready() {
    let server = Listener::new();
    let test_proxy = TestProxy::with_operators_file(&[("s-1", &server)], HEALTH_LISTENERS);
    let [agent, web] = test_proxy.health[..] else {
        panic!()
    };
    // Twenty requests that get no response.
    let mut clients: Vec<Peer> = (0..20).map(|_| Peer::client(test_proxy.address)).collect();
    for (id, client) in (1..).zip(&mut clients) {
        client.ask(&read_statement(id, "any", 19_000));
    }
    // The servers complete the startup and then send nothing.
    let mut peers = Vec::new();
    wait_until("the group is hung", || {
        while let Some(mut peer) = server.try_accept() {
            peer.startup();
            peers.push(peer);
        }
        status(web, "/readyz/group/3") == 503
    });
    assert_eq!(
        status(web, "/readyz"),
        200,
        "the proxy must stay ready for other groups"
    );
    let reply = agent::parse_response(&agent_check(agent));
    assert_eq!(
        (reply.administrative, reply.operational),
        (Some(Administrative::Ready), Some(Operational::Up))
    );
    assert!(reply.weight >= Some(50), "{reply:?}");
}

#[test]
fn a_proxy_without_discovery_stays_ready() {
    let server = Listener::new();
    let test_proxy = TestProxy::with_operators_file(&[("s-1", &server)], HEALTH_LISTENERS);
    let TestProxy {
        watch,
        discovery,
        health,
        ..
    } = &test_proxy;
    watch.stream.shutdown(std::net::Shutdown::Both).unwrap();
    let again = discovery.accept();
    drop(again);
    assert_eq!(status(health[1], "/readyz"), 200);
    assert_eq!(agent_check(health[0]), "ready up 100%\n");
}

/// Balancers open more connections than the health-check listener allows, and send half a check on each. They are
/// disconnected after the timeout, and other checks and clients are served meanwhile.
#[test]
fn slow_checks_are_disconnected_and_block_nobody() {
    let test_proxy = TestProxy::with_operators_file(
        &[],
        "health web {\n address 127.0.0.1:0\n connections 4\n patience 300ms\n}\nhealth agent {\n protocol agent\n address 127.0.0.1:0\n}\n",
    );
    let mut slow: Vec<TcpStream> = (0..12).map(|_| connect(test_proxy.health[0])).collect();
    for stream in &mut slow {
        _ = stream.write_all(b"GET /rea");
    }
    assert_eq!(agent_check(test_proxy.health[1]), "ready up 100%\n");
    Peer::client(test_proxy.address);
    // The slow checks are disconnected without a response, and a check that had to wait is answered.
    assert_eq!(status(test_proxy.health[0], "/livez"), 200);
    assert!(slow
        .into_iter()
        .all(|mut s| s.read(&mut [0; 16]).map_or(true, |n| n == 0)));
    // Connections that are idle between checks are closed in favour of new ones.
    let kept: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut stream = connect(test_proxy.health[0]);
            stream.write_all(b"GET /livez HTTP/1.1\r\n\r\n").unwrap();
            assert!(stream.read(&mut [0; 512]).unwrap() > 0);
            stream
        })
        .collect();
    assert_eq!(status(test_proxy.health[0], "/livez"), 200);
    drop(kept);
}

#[test]
fn five_hundred_checks_are_answered_while_a_client_is_served() {
    let server = Listener::new();
    let test_proxy = TestProxy::with_operators_file(&[("s-1", &server)], HEALTH_LISTENERS);
    let (agent, web) = (test_proxy.health[0], test_proxy.health[1]);
    let checks = std::thread::spawn(move || {
        (0..250)
            .all(|_| agent_check(agent).starts_with("ready up") && status(web, "/readyz") == 200)
    });
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19_000));
    let mut upstream = server.accept_session();
    for id in 2..100 {
        upstream.query();
        upstream.answer("x", &[]);
        assert_eq!(client.reply().value.as_deref(), Some("x"));
        client.ask(&read_statement(id, "any", 19_000));
    }
    assert!(checks.join().unwrap());
}

/// Clients use up all file descriptors, and more clients wait at the listener. Checks are still answered, since their
/// descriptors are reserved.
#[test]
fn checks_are_answered_when_no_descriptor_is_left() {
    let port = {
        let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        free.local_addr().unwrap()
    };
    let operators = format!("health a {{\n protocol agent\n address {port}\n connections 2\n}}\n");
    let mut program = Program::with_operators_file("ulimit -n 32;", &operators);
    let crowd: Vec<Peer> = (0..60).map(|_| Peer::connect(program.address)).collect();
    program.wait_for_log_line("no file descriptor left");
    for _ in 0..10 {
        let line = agent_check(port);
        assert!(line.starts_with("ready up"), "{line}");
    }
    drop(crowd);
    program.signal(Signal::TERM);
    assert!(program.child.wait().unwrap().success());
}

fn run_command(socket: &str, command: &str) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_leverproxy"))
        .args([command, "--socket", socket])
        .env_remove("RUST_LOG")
        .output()
        .unwrap();
    (
        output.status.success(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

/// An operator drains the proxy. Checks fail at once, and the proxy keeps its listener open until every balancer must have
/// seen a failed check. Undrain puts the proxy back into service.
#[test]
fn an_operator_drains_and_undrains() {
    let socket = std::env::temp_dir().join(format!("leverproxy-{}-control", std::process::id()));
    let socket = socket.to_str().unwrap();
    let test_proxy = TestProxy::with_operators_file(
        &[],
        &format!("{HEALTH_LISTENERS}balancer b {{\n interval 100ms\n fall 2\n timeout 50ms\n}}\ncontrol {{\n socket {socket}\n}}\n"),
    );
    use std::os::unix::fs::PermissionsExt;
    assert_eq!(
        std::fs::metadata(socket).unwrap().permissions().mode() & 0o777,
        0o600
    );
    let (done, text) = run_command(socket, "status");
    assert!(
        done && text.starts_with("phase serving\nstate ready\nweight 100\n"),
        "{text}"
    );
    let mut client = Peer::client(test_proxy.address);
    let (done, text) = run_command(socket, "drain");
    assert!(
        done && text.contains("state draining\nweight 0\n"),
        "{text}"
    );
    assert!(agent_check(test_proxy.health[0]).starts_with("drain"));
    assert_eq!(status(test_proxy.health[1], "/readyz"), 404);
    assert_eq!(status(test_proxy.health[1], "/livez"), 200);
    wait_until("the listener closes", || {
        TcpStream::connect(test_proxy.address).is_err()
    });
    assert!(run_command(socket, "status")
        .1
        .starts_with("phase drained\n"));
    // A client without an open request is disconnected.
    assert!(client.ended());
    let (done, text) = run_command(socket, "undrain");
    assert!(done && text.starts_with("phase serving\n"), "{text}");
    assert_eq!(
        agent::parse_response(&agent_check(test_proxy.health[0])).administrative,
        Some(Administrative::Ready)
    );
    Peer::client(test_proxy.address);
    assert!(!run_command(socket, "drain").1.contains("phase drained"));
    test_proxy.control.stop();
}

/// A second proxy with the control socket of a running one does not start. A socket file that a killed process has left
/// behind is replaced.
#[test]
fn a_control_socket_belongs_to_one_proxy() {
    let path = std::env::temp_dir().join(format!("leverproxy-{}-single", std::process::id()));
    let text = format!("control {{\n socket {}\n}}\n", path.display());
    let mut first = TestProxy::with_operators_file(&[], &text);
    let taken = std::panic::catch_unwind(|| TestProxy::with_operators_file(&[], &text));
    assert!(taken.is_err());
    assert!(run_command(path.to_str().unwrap(), "status").0);
    first.control.stop();
    first.end();
    // Leaves a socket file behind, as a killed process does.
    drop(std::os::unix::net::UnixListener::bind(&path).unwrap());
    let second = TestProxy::with_operators_file(&[], &text);
    assert!(run_command(path.to_str().unwrap(), "status").0);
    drop(second);
}

/// With announce-end, a proxy that is stopped first fails its health checks, and serves new clients until the balancers have
/// seen that.
#[test]
fn an_announced_end_serves_until_the_balancers_have_seen_it() {
    let mut test_proxy = TestProxy::with_operators_file(
        &[],
        &format!("{HEALTH_LISTENERS}balancer b {{\n interval 200ms\n fall 2\n timeout 100ms\n}}\ndrain {{\n announce-end yes\n}}\n"),
    );
    test_proxy.control.stop();
    wait_until("the agent says drain", || {
        agent_check(test_proxy.health[0]).starts_with("drain")
    });
    let mut late = Peer::client(test_proxy.address);
    late.ask(" ; ");
    late.reply();
    test_proxy.end();
    assert!(late.ended());
}

/// Balancers check a PostgreSQL server by a connection alone, a request for encryption, or a startup message without a query.
/// These checks do not count as clients, and are not logged as malformed input.
#[test]
fn postgresql_checks_are_not_clients() {
    let mut program = Program::with_operators_file("", "balancer b {\n network 127.0.0.0/8\n}\n");
    drop(connect(program.address));
    let code = |number: u32| [8_u32.to_be_bytes(), number.to_be_bytes()].concat();
    // SSLRequest and GSSENCRequest are declined with `N`, and the startup message follows.
    for number in [80_877_103, 80_877_104] {
        let mut stream = connect(program.address);
        stream.write_all(&code(number)).unwrap();
        let mut response = [0];
        stream.read_exact(&mut response).unwrap();
        assert_eq!(response, *b"N");
        stream
            .write_all(&server::startup_packet("check", "check"))
            .unwrap();
        assert!(stream.read(&mut [0; 512]).unwrap() > 0);
    }
    // The connection of a CancelRequest is closed without a response.
    let mut stream = connect(program.address);
    stream
        .write_all(
            &[
                &16_u32.to_be_bytes()[..],
                &80_877_102_u32.to_be_bytes(),
                &[0; 8],
            ]
            .concat(),
        )
        .unwrap();
    assert_eq!(stream.read(&mut [0; 16]).unwrap(), 0);
    drop(stream);
    // No client was rejected, and the log has no line about any of the checks.
    program.signal(Signal::TERM);
    let log = program.remaining_log();
    assert!(
        log.iter().any(|line| line.contains("clients rejected 0;")),
        "{log:?}"
    );
    assert!(!log.iter().any(|line| line.contains("front:")), "{log:?}");
}

/// A check from a balancer's network is accepted even when the proxy is at its limit of clients.
#[test]
fn a_check_is_accepted_at_the_limit_of_clients() {
    let server = Listener::new();
    // The limit is one client, which has a request in flight.
    let test_proxy = TestProxy::with_client_limit(
        &[("s-1", &server)],
        "balancer b {\n network 127.0.0.0/8\n}\n",
        1,
    );
    let mut client = Peer::client(test_proxy.address);
    client.ask(&read_statement(1, "any", 19_000));
    let mut upstream = server.accept_session();
    upstream.query();
    for _ in 0..5 {
        let mut check = connect(test_proxy.address);
        check
            .write_all(&server::startup_packet("check", "check"))
            .unwrap();
        assert!(check.read(&mut [0; 512]).unwrap() > 0, "greeted");
    }
    upstream.answer("x", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("x"));
}

/// Routes match the client address in the balancer's PROXY protocol header. The header is required from the configured
/// networks, and only from them.
#[test]
fn a_proxy_header_names_the_client() {
    let operators = "listener l {\n address 127.0.0.1:0\n proxy-from 127.0.0.0/8\n}\nroute far {\n network 192.0.2.0/24\n refuse 1234ms\n}\nroute rest {\n refuse 1678ms\n}\n";
    let test_proxy = TestProxy::with_operators_file(&[], operators);
    let named = |text: &str| -> SocketAddr { text.parse().unwrap() };
    let retry_after_behind = |header: Vec<u8>| {
        let mut peer = Peer::connect(test_proxy.address);
        // Sends the header in two parts, the second together with the startup message.
        peer.write(&header[..5]);
        peer.write(&[&header[5..], &server::startup_packet("app", "shop")].concat());
        peer.reply();
        peer.ask(&read_statement(1, "any", 19_000));
        peer.reply().detail
    };
    let server = named("127.0.0.1:1");
    assert_eq!(
        retry_after_behind(proxy::header(named("192.0.2.7:9"), server, 1)).as_deref(),
        Some("1234")
    );
    assert_eq!(
        retry_after_behind(b"PROXY TCP4 192.0.2.8 127.0.0.1 9 1\r\n".to_vec()).as_deref(),
        Some("1234")
    );
    assert_eq!(
        retry_after_behind(proxy::header(named("192.0.2.7:9"), server, 0)).as_deref(),
        Some("1678"),
        "LOCAL"
    );
    let mut without = Peer::connect(test_proxy.address);
    without.write(&server::startup_packet("app", "shop"));
    assert!(
        without.reply().code.is_some(),
        "a connection without the required PROXY header must be rejected"
    );
    let mut bad = proxy::header(named("192.0.2.7:9"), server, 1);
    bad[17] ^= 1;
    let mut peer = Peer::connect(test_proxy.address);
    peer.write(&bad);
    assert!(peer.reply().code.is_some());
}

/// Checks are answered from the running configuration while a large one is reloaded.
#[test]
fn checks_are_answered_during_a_reload() {
    let port = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let health = format!("health a {{\n protocol agent\n address {port}\n}}\n");
    let mut program = Program::with_operators_file("", &health);
    let mut routes = health.clone();
    for n in 0..20_000 {
        routes.push_str(&format!(
            "route r{n} {{\n network 10.{}.{}.0/24\n tries 2\n}}\n",
            n / 250,
            n % 250
        ));
    }
    program.reload_operators_file(&routes);
    for _ in 0..50 {
        assert_eq!(agent_check(port), "ready up 100%\n");
    }
    program.wait_for_log_line("the configuration is reread");
    assert_eq!(agent_check(port), "ready up 100%\n");
    program.signal(Signal::TERM);
    wait_until("the program ends", || {
        program.child.try_wait().unwrap().is_some()
    });
}

/// Built with the feature `grpc`, the program speaks HTTP/2 on a gRPC health listener. Built without it, the program reports
/// an error and does not start.
#[test]
fn grpc_checks_are_answered_by_a_program_that_is_built_for_them() {
    let operators = "health g {\n protocol grpc\n address 127.0.0.1:0\n}\n";
    if cfg!(feature = "grpc") {
        let test_proxy = TestProxy::with_operators_file(&[], operators);
        let mut stream = connect(test_proxy.health[0]);
        stream
            .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0")
            .unwrap();
        let mut head = [0; 9];
        stream.read_exact(&mut head).unwrap();
        assert_eq!(head[3], 4, "the first frame must be SETTINGS: {head:?}");
    } else {
        assert!(
            std::panic::catch_unwind(|| TestProxy::with_operators_file(&[], operators)).is_err()
        );
    }
}
