//! Hot restart: the handover from an old process to a new one, at every step of an upgrade.

mod common;
use common::{
    get, message, post, read_statement, serve_request, wait_for_metric, Listener, Peer, TempFile,
    TestProxy,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

fn test_proxy(restart_socket: &Path, servers: &[(&str, &Listener)]) -> (TestProxy, SocketAddr) {
    let test_proxy = TestProxy::with_config(servers, |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
        config.hot_restart_socket = Some(restart_socket.to_owned());
        config.control_socket = Some(restart_socket.with_extension("control"));
    });
    let admin = test_proxy.admin.unwrap();
    (test_proxy, admin)
}

/// Whether either process answers on the control socket.
fn answers_operators(restart_socket: &Path) -> bool {
    let Ok(mut socket) = UnixStream::connect(restart_socket.with_extension("control")) else {
        return false;
    };
    let mut text = String::new();
    let answered = socket
        .write_all(b"status\n")
        .and_then(|()| socket.read_to_string(&mut text));
    answered.is_ok() && text.starts_with("phase serving\n")
}

fn restart_socket() -> TempFile {
    let scratch = TempFile::new("");
    std::fs::remove_file(&scratch.0).unwrap();
    scratch
}

/// The new process receives endpoints, manual exclusions and the listener from the old one. An operator's change at either
/// process reaches the other. The old process answers its open requests and ends, and no client is lost in between.
#[test]
fn the_new_process_serves_from_the_same_queue_and_the_old_one_ends() {
    let (restart_socket, server) = (restart_socket(), Listener::new());
    let (mut old_process, old_admin) =
        test_proxy(&restart_socket.0, &[("s-1", &server), ("s-2", &server)]);
    assert_eq!(post(old_admin, "exclude", "s-2"), 200);
    let mut client = Peer::client(old_process.address);
    client.ask(&read_statement(1, "any", 19000));
    let mut at_old = server.accept_session();
    at_old.query();
    // The new process has no endpoint list of its own.
    let (new_process, new_admin) = test_proxy(&restart_socket.0, &[]);
    assert_eq!(new_process.address, old_process.address);
    assert_eq!(get(new_admin, "/api/ready").0, 200);
    wait_for_metric(new_admin, "lb_record_servers_known 2");
    wait_for_metric(new_admin, "lb_record_servers_excluded 1");
    // An operator's change at either process takes effect at both.
    assert_eq!(post(new_admin, "include", "s-2"), 200);
    wait_for_metric(old_admin, "lb_record_servers_excluded 0");
    assert_eq!(post(old_admin, "exclude", "s-2"), 200);
    wait_for_metric(new_admin, "lb_record_servers_excluded 1");
    // One client connects between the new process's start and the old one's end, and one after that.
    let mut between = Peer::client(old_process.address);
    old_process.control.stop();
    at_old.answer("late", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("late"));
    assert!(
        client.ended(),
        "a connection without an open request must be closed"
    );
    old_process.end();
    assert!(
        answers_operators(&restart_socket.0),
        "the new process must answer on the control socket"
    );
    let mut after = Peer::client(new_process.address);
    let mut at_new = serve_request(&mut after, &server, 2, "new");
    between.ask(&read_statement(3, "any", 19000));
    at_new.query();
    at_new.answer("value", &[]);
    assert_eq!(between.reply().value.as_deref(), Some("value"));
}

/// Half of a request has arrived at the old process when the new one takes over. The old process reads the other half and
/// answers the request.
#[test]
fn a_request_half_read_at_the_old_process_is_served_by_it() {
    let (restart_socket, server) = (restart_socket(), Listener::new());
    let (mut old_process, old_admin) = test_proxy(&restart_socket.0, &[("s-1", &server)]);
    let mut client = Peer::client(old_process.address);
    drop(serve_request(&mut client, &server, 1, "one"));
    let request = message(&read_statement(2, "any", 19000));
    client.write(&request[..40]);
    let (_new, new_admin) = test_proxy(&restart_socket.0, &[]);
    assert_eq!(post(new_admin, "exclude", "s-1"), 200);
    wait_for_metric(old_admin, "lb_record_servers_excluded 1");
    assert_eq!(post(new_admin, "include", "s-1"), 200);
    wait_for_metric(old_admin, "lb_record_servers_excluded 0");
    old_process.control.stop();
    client.write(&request[40..]);
    let mut upstream = server.accept_session();
    upstream.query();
    upstream.answer("whole", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("whole"));
    assert!(client.ended());
    drop(client);
    old_process.end();
}

/// The new process listens at another address, so it accepts no connections from the old one's queue. The old process keeps
/// accepting until it ends.
#[test]
fn a_new_process_at_another_address_leaves_the_old_one_accepting() {
    let (restart_socket, server) = (restart_socket(), Listener::new());
    let (mut old_process, old_admin) = test_proxy(&restart_socket.0, &[("s-1", &server)]);
    let elsewhere = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let new_process = TestProxy::with_config(&[], |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
        config.hot_restart_socket = Some(restart_socket.0.clone());
        config.listen = elsewhere;
    });
    assert_eq!(new_process.address, elsewhere);
    // The exclusion reaches the old process after the notice that the new process serves.
    assert_eq!(post(new_process.admin.unwrap(), "exclude", "s-1"), 200);
    wait_for_metric(old_admin, "lb_record_servers_excluded 1");
    assert_eq!(post(new_process.admin.unwrap(), "include", "s-1"), 200);
    wait_for_metric(old_admin, "lb_record_servers_excluded 0");
    let mut former = Peer::client(old_process.address);
    drop(serve_request(&mut former, &server, 1, "former"));
    drop(serve_request(
        &mut Peer::client(new_process.address),
        &server,
        2,
        "new",
    ));
    old_process.control.stop();
    let mut late = Peer::client(old_process.address);
    drop(serve_request(&mut late, &server, 3, "late"));
    assert!(former.ended() && late.ended());
    drop((former, late));
    old_process.end();
}

/// The new process takes over and then fails. The old one keeps serving, gets the control socket back, and hands over to the
/// next new process.
#[test]
fn a_new_process_that_dies_leaves_the_old_one_serving() {
    let (restart_socket, server) = (restart_socket(), Listener::new());
    let (old_process, old_admin) = test_proxy(&restart_socket.0, &[("s-1", &server)]);
    let (mut new_process, _) = test_proxy(&restart_socket.0, &[]);
    new_process.control.stop();
    new_process.end();
    let mut client = Peer::client(old_process.address);
    drop(serve_request(&mut client, &server, 1, "value"));
    // The old process takes the control socket back once it has noticed the end of the new one.
    let end = Instant::now() + Duration::from_secs(10);
    while !answers_operators(&restart_socket.0) {
        assert!(
            Instant::now() < end,
            "no process answers on the control socket"
        );
        thread::yield_now();
    }
    // A further new process takes over from the old one as the first did.
    assert_eq!(get(old_admin, "/api/ready").0, 200);
    let (second, admin) = test_proxy(&restart_socket.0, &[]);
    assert_eq!(get(admin, "/api/ready").0, 200);
    assert_eq!(second.address, old_process.address);
}

/// The old process sends an invalid handover. The new one starts without it, and is not ready before discovery has sent a
/// list. A regular file in place of the old process's socket means that there is no old process.
#[test]
fn an_invalid_handover_is_ignored() {
    for message in [
        &b"{\"version\":1,\"listing\":"[..],
        b"{\"version\":99}\n",
        b"",
    ] {
        let restart_socket = restart_socket();
        let listener = UnixListener::bind(&restart_socket.0).unwrap();
        let malformed =
            thread::spawn(move || listener.accept().unwrap().0.write_all(message).unwrap());
        let (mut test_proxy, admin) = test_proxy(&restart_socket.0, &[]);
        malformed.join().unwrap();
        // There was an old process, so its list has to be replaced by one from discovery first.
        assert_eq!(get(admin, "/api/ready").0, 503);
        test_proxy.watch.send_list(42, &[]);
        while get(admin, "/api/ready").0 != 200 {
            thread::yield_now();
        }
    }
    // A regular file that does not belong to an old process.
    let restart_socket = TempFile::new("not a socket");
    let (_test_proxy, admin) = test_proxy(&restart_socket.0, &[]);
    assert_eq!(get(admin, "/api/ready").0, 200);
}
