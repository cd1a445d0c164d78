//! One proxy in two processes: what an elder leaves to its heir, at every step of an upgrade.

mod common;
use common::{get, message, post, read, served, until, Listener, Peer, Scratch, Stage};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

fn stage(place: &Path, servers: &[(&str, &Listener)]) -> (Stage, SocketAddr) {
    let stage = Stage::with(servers, |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
        config.takeover = Some(place.to_owned());
        config.control = Some(place.with_extension("control"));
    });
    let admin = stage.admin.unwrap();
    (stage, admin)
}

/// Whether one of them takes operators' words.
fn hears(place: &Path) -> bool {
    let Ok(mut socket) = UnixStream::connect(place.with_extension("control")) else {
        return false;
    };
    let mut text = String::new();
    let told = socket
        .write_all(b"status\n")
        .and_then(|()| socket.read_to_string(&mut text));
    told.is_ok() && text.starts_with("phase serving\n")
}

fn place() -> Scratch {
    let scratch = Scratch::new("");
    std::fs::remove_file(&scratch.0).unwrap();
    scratch
}

#[test]
fn the_heir_serves_from_the_same_queue_and_the_elder_ends_what_it_has() {
    let (place, server) = (place(), Listener::new());
    let (mut elder, elder_admin) = stage(&place.0, &[("s-1", &server), ("s-2", &server)]);
    assert_eq!(post(elder_admin, "exclude", "s-2"), 200);
    let mut old = Peer::client(elder.address);
    old.ask(&read(1, "any", 19000));
    let mut at_elder = server.welcome();
    at_elder.query();
    // The heir knows nothing by itself but what the elder leaves it.
    let (heir, heir_admin) = stage(&place.0, &[]);
    assert_eq!(heir.address, elder.address);
    assert_eq!(get(heir_admin, "/api/ready").0, 200);
    until(heir_admin, "lb_record_servers_known 2");
    until(heir_admin, "lb_record_servers_excluded 1");
    // What operators say to either holds for both.
    assert_eq!(post(heir_admin, "include", "s-2"), 200);
    until(elder_admin, "lb_record_servers_excluded 0");
    assert_eq!(post(elder_admin, "exclude", "s-2"), 200);
    until(heir_admin, "lb_record_servers_excluded 1");
    // Between the heir's yes and the elder's end, and after it.
    let mut between = Peer::client(elder.address);
    elder.control.stop();
    at_elder.answer("late", &[]);
    assert_eq!(old.reply().value.as_deref(), Some("late"));
    assert!(old.ended(), "nothing is owed on it");
    elder.end();
    assert!(
        hears(&place.0),
        "the elder leaves the control socket to its heir"
    );
    let mut after = Peer::client(heir.address);
    let mut at_heir = served(&mut after, &server, 2, "new");
    between.ask(&read(3, "any", 19000));
    at_heir.query();
    at_heir.answer("value", &[]);
    assert_eq!(between.reply().value.as_deref(), Some("value"));
}

/// Half of a request has come to the elder when the heir takes over: the other half finds it there.
#[test]
fn a_request_half_read_at_the_elder_is_served_by_it() {
    let (place, server) = (place(), Listener::new());
    let (mut elder, elder_admin) = stage(&place.0, &[("s-1", &server)]);
    let mut client = Peer::client(elder.address);
    drop(served(&mut client, &server, 1, "one"));
    let request = message(&read(2, "any", 19000));
    client.write(&request[..40]);
    let (_heir, heir_admin) = stage(&place.0, &[]);
    assert_eq!(post(heir_admin, "exclude", "s-1"), 200);
    until(elder_admin, "lb_record_servers_excluded 1");
    assert_eq!(post(heir_admin, "include", "s-1"), 200);
    until(elder_admin, "lb_record_servers_excluded 0");
    elder.control.stop();
    client.write(&request[40..]);
    let mut upstream = server.welcome();
    upstream.query();
    upstream.answer("whole", &[]);
    assert_eq!(client.reply().value.as_deref(), Some("whole"));
    assert!(client.ended());
    drop(client);
    elder.end();
}

/// An heir that listens elsewhere takes nobody off the elder's queue: the elder goes on accepting, up to its end.
#[test]
fn an_heir_at_another_address_leaves_the_elder_accepting() {
    let (place, server) = (place(), Listener::new());
    let (mut elder, elder_admin) = stage(&place.0, &[("s-1", &server)]);
    let elsewhere = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let heir = Stage::with(&[], |config| {
        config.admin = Some("127.0.0.1:0".parse().unwrap());
        config.takeover = Some(place.0.clone());
        config.listen = elsewhere;
    });
    assert_eq!(heir.address, elsewhere);
    // What it says next shows that the elder has heard that it serves.
    assert_eq!(post(heir.admin.unwrap(), "exclude", "s-1"), 200);
    until(elder_admin, "lb_record_servers_excluded 1");
    assert_eq!(post(heir.admin.unwrap(), "include", "s-1"), 200);
    until(elder_admin, "lb_record_servers_excluded 0");
    let mut former = Peer::client(elder.address);
    drop(served(&mut former, &server, 1, "former"));
    drop(served(&mut Peer::client(heir.address), &server, 2, "new"));
    elder.control.stop();
    let mut late = Peer::client(elder.address);
    drop(served(&mut late, &server, 3, "late"));
    assert!(former.ended() && late.ended());
    drop((former, late));
    elder.end();
}

#[test]
fn an_heir_that_dies_leaves_the_elder_serving() {
    let (place, server) = (place(), Listener::new());
    let (elder, elder_admin) = stage(&place.0, &[("s-1", &server)]);
    let (mut heir, _) = stage(&place.0, &[]);
    heir.control.stop();
    heir.end();
    let mut client = Peer::client(elder.address);
    drop(served(&mut client, &server, 1, "value"));
    // Its place among operators is the elder's again, as soon as that has heard.
    let end = Instant::now() + Duration::from_secs(10);
    while !hears(&place.0) {
        assert!(Instant::now() < end, "nobody takes operators' words");
        thread::yield_now();
    }
    // The next one finds the elder as the first did.
    assert_eq!(get(elder_admin, "/api/ready").0, 200);
    let (second, admin) = stage(&place.0, &[]);
    assert_eq!(get(admin, "/api/ready").0, 200);
    assert_eq!(second.address, elder.address);
}

#[test]
fn what_can_not_be_trusted_is_left_alone() {
    for message in [
        &b"{\"version\":1,\"listing\":"[..],
        b"{\"version\":99}\n",
        b"",
    ] {
        let place = place();
        let listener = UnixListener::bind(&place.0).unwrap();
        let spoilt =
            thread::spawn(move || listener.accept().unwrap().0.write_all(message).unwrap());
        let (mut stage, admin) = stage(&place.0, &[]);
        spoilt.join().unwrap();
        // Something was there before; what it knew has to come from discovery first.
        assert_eq!(get(admin, "/api/ready").0, 503);
        stage.watch.tell(42, &[]);
        while get(admin, "/api/ready").0 != 200 {
            thread::yield_now();
        }
    }
    // A file that is left over from nobody.
    let place = Scratch::new("not a socket");
    let (_stage, admin) = stage(&place.0, &[]);
    assert_eq!(get(admin, "/api/ready").0, 200);
}
