//! Connections that are closed by either side while bytes are in transit, in every order of the two events.
//!
//! Where the event loop must get two events in one batch, the program is stopped (SIGSTOP) meanwhile: both wait in its
//! sockets until it continues.

mod common;
use common::{
    message, read_statement, serve_request, unshared_loopback_address, Listener, Peer, Program,
    Reply, TempFile, TestProxy, SETTINGS, TEST_TIMEOUT,
};
use leverproxy::config::Config;
use leverproxy::protocol::postgres::server::startup_packet;
use rustix::process::{kill_process, waitpid, Pid, Signal, WaitOptions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// Stops the program with SIGSTOP; its event loop gets no events until SIGCONT.
fn pause(program: &Program) {
    program.signal(Signal::STOP);
    let (_, status) = waitpid(Some(Pid::from_child(&program.child)), WaitOptions::UNTRACED)
        .unwrap()
        .unwrap();
    assert!(status.stopped(), "{status:?}");
}

fn resume(program: &Program) {
    program.signal(Signal::CONT);
}

/// Starts a program with one record server in its endpoint list.
fn program(operators: &str, server: &Listener) -> Program {
    let mut program = Program::with_operators_file("", operators);
    program
        .watch
        .send_list(57, &[server.endpoint_entry("s-1", "Ready")]);
    program
}

/// Sends SIGTERM, and pauses the program once it has logged that.
fn pause_after_stop_signal(program: &mut Program) {
    program.signal(Signal::TERM);
    program.wait_for_log_line("told to stop");
    pause(program);
}

/// Longer than the program accepts new clients after SIGTERM.
const BEYOND_ACCEPT_PERIOD: Duration = Duration::from_millis(500);

/// The proxy is stopping, without clients, and its period for new connections is over. A connection still waits in the
/// listener's queue. Closing the listener would reset that connection, so it is accepted and its request served first.
#[test]
fn a_client_at_the_listener_as_it_closes_is_served() {
    let server = Listener::new();
    let mut program = program("", &server);
    pause_after_stop_signal(&mut program);
    let mut client = Peer::connect(program.address);
    client.write(&startup_packet("app", "shop"));
    client.ask(&read_statement(1, "any", 2000));
    thread::sleep(BEYOND_ACCEPT_PERIOD);
    resume(&program);
    assert_eq!(client.reply(), Reply::default(), "the greeting");
    serve_next_request(&mut client, &server, "late");
    assert!(client.ended());
    assert!(program.child.wait().unwrap().success());
}

fn serve_next_request(client: &mut Peer, server: &Listener, value: &str) {
    let mut upstream = server.accept_session();
    upstream.query();
    upstream.answer(value, &[]);
    assert_eq!(client.reply().value.as_deref(), Some(value));
}

/// A connection that has waited in the listener's queue since before SIGTERM is accepted and served.
#[test]
fn a_client_at_the_listener_when_told_to_stop_is_served() {
    let server = Listener::new();
    let mut program = program("", &server);
    pause(&program);
    let mut client = Peer::connect(program.address);
    client.write(&startup_packet("app", "shop"));
    client.ask(&read_statement(1, "any", 2000));
    program.signal(Signal::TERM);
    resume(&program);
    assert_eq!(client.reply(), Reply::default(), "the greeting");
    serve_next_request(&mut client, &server, "early");
    assert!(client.ended());
    assert!(program.child.wait().unwrap().success());
}

/// Clients wait for the greeting before they send a request. A client that is greeted just as the proxy closes its listener
/// has time to send its first request, and is served.
#[test]
fn a_client_greeted_as_the_listener_closes_may_still_send_its_request() {
    let server = Listener::new();
    let mut program = program("", &server);
    pause_after_stop_signal(&mut program);
    let mut client = Peer::connect(program.address);
    client.write(&startup_packet("app", "shop"));
    thread::sleep(BEYOND_ACCEPT_PERIOD);
    resume(&program);
    assert_eq!(client.reply(), Reply::default(), "the greeting");
    client.ask(&read_statement(1, "any", 2000));
    serve_next_request(&mut client, &server, "first");
    assert!(client.ended());
    assert!(program.child.wait().unwrap().success());
}

/// A client without a request is connected when the proxy stops. Its connection is closed after a short time, without an
/// error, and the proxy ends.
#[test]
fn a_client_that_sends_no_request_does_not_delay_the_end() {
    let mut test_proxy = TestProxy::with_config(&[], |config| {
        (config.accept_after_stop, config.shutdown_timeout) = (Duration::ZERO, 9 * TEST_TIMEOUT)
    });
    let mut client = Peer::client(test_proxy.address);
    test_proxy.control.stop();
    assert!(
        client.message().is_err(),
        "the connection must end without a message"
    );
    drop(client);
    test_proxy.end();
}

/// The proxy is at its limit of clients, and connections wait in the listener's queue when it stops. Closing the listener
/// would reset them. Each gets an error instead, after which a client can try another proxy.
#[test]
fn a_client_over_the_limit_as_the_listener_closes_gets_an_error() {
    let server = Listener::new();
    let mut test_proxy = TestProxy::with_config(&[("s-1", &server)], |config| {
        (config.accept_after_stop, config.shutdown_timeout) = (Duration::ZERO, 3 * TEST_TIMEOUT);
        config.limits.clients = 1;
    });
    let mut busy = Peer::client(test_proxy.address);
    busy.ask(&read_statement(1, "any", 19000));
    let mut upstream = server.accept_session();
    upstream.query();
    let mut waiting: Vec<Peer> = (0..3).map(|_| Peer::connect(test_proxy.address)).collect();
    for client in &mut waiting {
        client.write(&startup_packet("app", "shop"));
    }
    test_proxy.control.stop();
    for mut client in waiting {
        assert_eq!(client.reply().code.as_deref(), Some("53300"));
        assert!(client.ended());
    }
    upstream.answer("one", &[]);
    assert_eq!(busy.reply().value.as_deref(), Some("one"));
    assert!(busy.ended());
    drop(busy);
    test_proxy.end();
}

/// Binds an address whose listener has been closed. A child process that another test starts holds a copy of that listener
/// from its fork to its exec, and bind fails with EADDRINUSE until then.
fn bind_released(address: SocketAddr) -> TcpListener {
    let started_at = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) => assert!(started_at.elapsed() < TEST_TIMEOUT, "{address}: {error}"),
        }
        thread::yield_now();
    }
}

/// A drain is cancelled while another process has taken the proxy's address. The proxy retries until it can listen.
#[test]
fn listening_again_is_retried_until_the_address_is_free() {
    let socket_file = TempFile::new("");
    std::fs::remove_file(&socket_file.0).unwrap();
    let test_proxy = TestProxy::with_config(&[], |config| {
        config.control_socket = Some(socket_file.0.clone());
        config.listen = unshared_loopback_address();
    });
    let send_command = |command: &str| {
        let mut socket = UnixStream::connect(&socket_file.0).unwrap();
        socket.write_all(format!("{command}\n").as_bytes()).unwrap();
        let mut response = String::new();
        socket.read_to_string(&mut response).unwrap();
        response
    };
    assert!(send_command("drain").starts_with("phase drained"));
    let other = bind_released(test_proxy.address);
    assert!(send_command("undrain").starts_with("phase serving"));
    drop(other);
    let started_at = Instant::now();
    while TcpStream::connect(test_proxy.address).is_err() {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the proxy does not listen again"
        );
        thread::yield_now();
    }
    Peer::client(test_proxy.address);
}

/// A client's connection pool reads from a connection only at its next use, so an idle client may never notice that the
/// proxy closes it. A client that has been idle for longer than the linger timeout does not delay the end.
#[test]
fn an_idle_client_that_never_reads_does_not_delay_the_end() {
    const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
    let server = Listener::new();
    let mut test_proxy = test_proxy(&server, |config| {
        config.client_limits.linger = LINGER_TIMEOUT
    });
    let idle = idle_client(&test_proxy, &server);
    thread::sleep(LINGER_TIMEOUT);
    let stopped_at = Instant::now();
    test_proxy.control.stop();
    test_proxy.end();
    assert!(stopped_at.elapsed() < LINGER_TIMEOUT);
    drop(idle);
}

/// Without clients the proxy ends as soon as its listener is closed.
#[test]
fn a_stop_without_clients_ends_at_once() {
    let mut test_proxy = test_proxy(&Listener::new(), |_| {});
    let stopped_at = Instant::now();
    test_proxy.control.stop();
    test_proxy.end();
    assert!(stopped_at.elapsed() < TEST_TIMEOUT);
}

/// A draining proxy writes the last open response of a connection while the client's next request waits unread in the socket.
/// Closing after the response would lose that request, so it is read and answered first.
#[test]
fn a_request_behind_the_last_answer_is_served() {
    let server = Listener::new();
    let mut program = program("", &server);
    // In this order, the program has handled `client` by the time that it closes `idle`.
    let mut client = Peer::client(program.address);
    let mut idle = Peer::client(program.address);
    client.ask(&read_statement(1, "any", 3000));
    let mut upstream = server.accept_session();
    upstream.query();
    program.signal(Signal::TERM);
    assert!(idle.ended(), "the listener is closed");
    pause(&program);
    // In this order, the program handles the response first.
    upstream.write_answer("one", &[]);
    client.ask("");
    resume(&program);
    assert_eq!(client.reply().value.as_deref(), Some("one"));
    assert_eq!(client.reply(), Reply::default(), "the empty one");
    assert!(client.ended());
    drop((idle, client));
    assert!(program.child.wait().unwrap().success());
}

/// Among many clients, one that has been idle for long sends a request just as the proxy is about to close its connection.
/// The request is served.
#[test]
fn a_request_on_an_idle_connection_is_served_among_many_clients() {
    let server = Listener::new();
    let program = program(
        "limits {\n sockets 64\n crowded 1%\n client-idle 2s\n}\n",
        &server,
    );
    let mut client = Peer::client(program.address);
    let mut upstream = serve_request(&mut client, &server, 1, "one");
    pause(&program);
    thread::sleep(Duration::from_millis(2_100));
    client.ask(&read_statement(2, "any", 2000));
    resume(&program);
    upstream.query();
    upstream.answer("two", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("two"));
}

/// The proxy is at its limit, and would close the longest idle client in favour of a new one. That client sends a request at
/// the same moment: it stays connected, and the next longest idle client is closed.
#[test]
fn an_idle_client_that_sends_a_request_does_not_give_way() {
    let server = Listener::new();
    let program = program(
        "limits {\n sockets 64\n clients 10%\n crowded 90%\n packed 90%\n}\n",
        &server,
    );
    let mut clients: Vec<Peer> = (0..3).map(|_| Peer::client(program.address)).collect();
    let mut upstream = serve_request(&mut clients[0], &server, 1, "one");
    for (id, client) in (2..).zip(&mut clients[1..]) {
        client.ask(&read_statement(id, "any", 2000));
        upstream.query();
        upstream.answer("each", &[]);
        assert_eq!(client.reply().value.as_deref(), Some("each"));
    }
    // At the limit, the proxy stops accepting for 100 ms.
    thread::sleep(Duration::from_millis(200));
    pause(&program);
    // In this order, the program handles the new client first.
    let mut newcomer = Peer::connect(program.address);
    newcomer.write(&startup_packet("app", "shop"));
    clients[0].ask(&read_statement(4, "any", 2000));
    resume(&program);
    upstream.query();
    upstream.answer("four", &[]);
    assert_eq!(clients[0].reply().value.as_deref(), Some("four"));
    assert_eq!(newcomer.reply(), Reply::default(), "the greeting");
    assert!(
        clients[1].ended(),
        "the next longest idle client must be closed"
    );
}

/// A client's first request arrives after its time limit, but before the proxy has handled the timeout. It is served.
#[test]
fn a_first_request_at_the_last_moment_is_served() {
    let server = Listener::new();
    let program = program("limits {\n client-patience 1s\n}\n", &server);
    let mut client = Peer::client(program.address);
    pause(&program);
    thread::sleep(Duration::from_millis(1_100));
    client.ask(&read_statement(1, "any", 2000));
    resume(&program);
    serve_next_request(&mut client, &server, "in time");
}

/// A proxy that closes its listener as soon as it is stopped, and has a long timeout for open requests.
fn test_proxy(server: &Listener, adjust: impl FnOnce(&mut Config)) -> TestProxy {
    // Listed under three names, because a newly listed server gets few requests at first.
    TestProxy::with_config(
        &[("s-1", server), ("s-2", server), ("s-3", server)],
        |config| {
            (config.accept_after_stop, config.shutdown_timeout) =
                (Duration::ZERO, 3 * TEST_TIMEOUT);
            adjust(config);
        },
    )
}

/// Stops the proxy, and waits until it has closed the idle client, which it does together with its listener.
fn stop(test_proxy: &TestProxy, idle: &mut Peer) {
    test_proxy.control.stop();
    assert!(idle.ended());
}

/// A client that is idle after one request. Its connection is closed together with the listener.
fn idle_client(test_proxy: &TestProxy, server: &Listener) -> Peer {
    let mut client = Peer::client(test_proxy.address);
    drop(serve_request(&mut client, server, 99, "idle"));
    client
}

/// A client has sent several commands before the listener closes. All are answered in their order before the connection is
/// closed.
#[test]
fn pipelined_commands_are_answered_in_order_before_the_end() {
    let server = Listener::new();
    let mut test_proxy = test_proxy(&server, |_| {});
    let mut idle = idle_client(&test_proxy, &server);
    let mut client = Peer::client(test_proxy.address);
    for id in 1..4 {
        client.ask(&read_statement(id, "any", 19000));
    }
    client.ask("");
    let mut upstreams: Vec<(String, Peer)> = (0..3)
        .map(|_| {
            let mut upstream = server.accept_session();
            (upstream.query(), upstream)
        })
        .collect();
    stop(&test_proxy, &mut idle);
    // The servers answer in reverse order.
    upstreams.sort_by(|a, b| b.0.cmp(&a.0));
    for (query, upstream) in &mut upstreams {
        let id = query.split("id=").nth(1).unwrap()[..16].to_owned();
        upstream.answer(&id, &[]);
    }
    for id in 1..4 {
        assert_eq!(client.reply().value, Some(format!("{id:016x}")));
    }
    assert_eq!(client.reply(), Reply::default(), "the empty one");
    assert!(client.ended());
    test_proxy.end();
}

/// A client has sent more commands than the pipelining limit, so some wait unread when the listener closes. They are answered
/// as well.
#[test]
fn commands_over_the_pipelining_limit_are_answered_before_the_end() {
    let server = Listener::new();
    let mut test_proxy = test_proxy(&server, |config| config.client_limits.max_pipelined = 1);
    let mut idle = idle_client(&test_proxy, &server);
    let mut client = Peer::client(test_proxy.address);
    for id in 1..4 {
        client.ask(&read_statement(id, "any", 19000));
    }
    let mut upstream = server.accept_session();
    upstream.query();
    stop(&test_proxy, &mut idle);
    for value in ["one", "two", "three"] {
        upstream.answer(value, &[]);
        assert_eq!(client.reply().value.as_deref(), Some(value));
        if value != "three" {
            upstream.query();
        }
    }
    assert!(client.ended());
    test_proxy.end();
}

/// Half of a request has arrived when the listener closes. The other half arrives later, and the request is served.
#[test]
fn a_request_that_is_half_read_at_the_stop_is_served() {
    let server = Listener::new();
    let mut test_proxy = test_proxy(&server, |config| {
        config.client_limits.first_request = TEST_TIMEOUT
    });
    // This client is handled before `idle` when the listener closes.
    let mut client = Peer::client(test_proxy.address);
    // After this request, the client is not granted the time for a first request.
    drop(serve_request(&mut client, &server, 1, "one"));
    let mut idle = idle_client(&test_proxy, &server);
    let request = message(&read_statement(2, "any", 19000));
    client.write(&request[..40]);
    // Once another client is greeted, the program has read all earlier bytes.
    drop(Peer::client(test_proxy.address));
    stop(&test_proxy, &mut idle);
    client.write(&request[40..]);
    serve_next_request(&mut client, &server, "whole");
    assert!(client.ended());
    test_proxy.end();
}

/// A client reads so slowly that its socket buffer cannot hold all responses. The proxy ends only after it has written all of
/// them.
#[test]
fn a_slow_reader_gets_all_of_its_answers() {
    // More than the sockets' buffers hold.
    const ANSWERS: u32 = 100;
    let value = "v".repeat(60 << 10);
    let server = Listener::new();
    let mut test_proxy = test_proxy(&server, |config| {
        (
            config.client_limits.max_pipelined,
            config.client_limits.max_unsent_bytes,
        ) = (1, 64 << 20)
    });
    let mut idle = Peer::client(test_proxy.address);
    let mut client = Peer::client(test_proxy.address);
    let commands: Vec<u8> = (1..=ANSWERS)
        .flat_map(|id| message(&read_statement(id, "any", 19000)))
        .collect();
    client.write(&commands);
    let (notify, answered) = channel();
    let given = value.clone();
    thread::spawn(move || loop {
        let (mut upstream, notify, given) =
            (server.accept_session(), notify.clone(), given.clone());
        thread::spawn(move || {
            while upstream.message().is_ok() {
                upstream.answer(&given, &[]);
                _ = notify.send(());
            }
        });
    });
    answered.iter().take(ANSWERS as usize).for_each(drop);
    stop(&test_proxy, &mut idle);
    for _ in 0..ANSWERS {
        assert!(client.reply().value.as_ref() == Some(&value));
    }
    assert!(client.ended());
    drop(idle);
    test_proxy.end();
}

/// A client sends a request just as the proxy closes its connection. The request is not read, so the client can conclude that
/// it did not run. The connection is not reset, since a reset could destroy the previous response in transit.
#[test]
fn a_request_that_crosses_the_end_of_its_connection_is_left_unread() {
    let server = Listener::new();
    let mut test_proxy = test_proxy(&server, |config| config.client_limits.linger = TEST_TIMEOUT);
    let mut idle = idle_client(&test_proxy, &server);
    stop(&test_proxy, &mut idle);
    idle.ask(&read_statement(1, "any", 19000));
    assert_eq!(
        idle.stream.read(&mut [0; 1]).unwrap(),
        0,
        "the connection must stay closed"
    );
    assert!(
        idle.stream.take_error().unwrap().is_none(),
        "the connection must not be reset"
    );
    assert!(
        server.try_accept().is_none(),
        "the request must not reach a server"
    );
    drop(idle);
    test_proxy.end();
}

/// A reload after SIGTERM does not change the settings of the shutdown that is under way.
#[test]
fn a_reload_after_the_stop_does_not_change_the_stop() {
    let server = Listener::new();
    let mut program = program("", &server);
    let mut client = Peer::client(program.address);
    client.ask(&read_statement(1, "any", 3000));
    let mut upstream = server.accept_session();
    upstream.query();
    program.signal(Signal::TERM);
    program.wait_for_log_line("told to stop");
    program.reload_operators_file("drain {\n linger 5min\n}\n");
    program.wait_for_log_line("the configuration is reread");
    upstream.answer("one", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("one"));
    assert!(
        client.ended(),
        "the program must end by the settings in effect at SIGTERM"
    );
    drop(client);
    assert!(program.child.wait().unwrap().success());
}

/// SIGHUP arrives while the program reads its configuration for the first time. The default action of that signal ends a
/// process, so the handlers have to be installed before.
#[test]
fn a_reload_during_the_start_does_not_end_the_program() {
    let discovery = Listener::new();
    let config_fifo = TempFile::new("");
    std::fs::remove_file(&config_fifo.0).unwrap();
    assert!(Command::new("mkfifo")
        .arg(&config_fifo.0)
        .status()
        .unwrap()
        .success());
    let mut child = Command::new(env!("CARGO_BIN_EXE_leverproxy"))
        .arg("serve")
        .env("LB_CONFIG", &config_fifo.0)
        .env("LB_LISTEN", "127.0.0.1:0")
        .env("LB_DISCOVERY", discovery.address.to_string())
        .env_remove("LB_OPERATORS")
        .spawn()
        .unwrap();
    // Opening the FIFO blocks until the program opens it for reading.
    let mut file = std::fs::File::create(&config_fifo.0).unwrap();
    let pid = Pid::from_child(&child);
    kill_process(pid, Signal::HUP).unwrap();
    file.write_all(format!(r#"{{"settings":{SETTINGS}}}"#).as_bytes())
        .unwrap();
    drop(file);
    discovery.accept().accept_watch();
    kill_process(pid, Signal::TERM).unwrap();
    assert!(child.wait().unwrap().success());
}

/// Clients send malformed messages, which end their own connections alone, and statements that are not requests. Each is
/// counted, and the log has at most one line a second about them.
#[test]
fn malformed_input_is_counted_and_its_log_is_rate_limited() {
    const EACH: usize = 20;
    let server = Listener::new();
    let mut program = program("", &server);
    let mut bystander = Peer::client(program.address);
    let mut client = Peer::client(program.address);
    client.write(&message("SELECT 1").repeat(EACH));
    for _ in 0..EACH {
        assert_eq!(client.reply().code.as_deref(), Some("42601"));
    }
    let broken = [&[b'Q', 0x7f, 0xff, 0xff, 0xff][..], &[0xff; 64]].concat();
    let mut clients: Vec<Peer> = (0..EACH).map(|_| Peer::client(program.address)).collect();
    clients.iter_mut().for_each(|client| client.write(&broken));
    for client in &mut clients {
        assert_eq!(client.reply().code.as_deref(), Some("08P01"));
        assert!(client.ended());
    }
    drop(serve_request(&mut bystander, &server, 1, "as ever"));
    drop((bystander, client, clients));
    program.signal(Signal::TERM);
    let log = program.remaining_log();
    let warnings = log
        .iter()
        .filter(|line| line.contains("not understood:"))
        .count();
    assert!((1..EACH).contains(&warnings), "{log:#?}");
    for figure in ["statements not understood 20", "clients rejected 20;"] {
        assert!(log.iter().any(|line| line.contains(figure)), "{log:#?}");
    }
}
