//! A record server begins to drain while a killed proxy is down for seconds, and discovery is slow at its return.

use crate::client::Client;
use crate::discovery::{Discovery, Entry, Handling};
use crate::proxy::{free_port, Folder, Proxy, Start};
use crate::record::unix_ms;
use crate::server::{Reply, Server};
use crate::{site, Play, Verdict};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time that a call of the new process waits in discovery's queue.
const QUEUE: Duration = Duration::from_millis(1_800);
/// The grace of the settings, and what sockets add to each limit.
const GRACE_MS: u64 = 500 + 50;
/// What discovery has to tell counts as told so much later at the latest, whether or not it arrived.
const TOLD_MS: u64 = 6_000;
/// Time for which the proxy is down.
const DOWN: Duration = Duration::from_millis(5_800);

pub fn play(play: &Play) -> io::Result<Verdict> {
    let record = &play.record;
    let folder = Folder::new("late-restart")?;
    let trouble = play.trouble;
    let discovery = Discovery::start(record, move |call| match call {
        2 if trouble => Handling::After(QUEUE),
        _ => Handling::After(Duration::ZERO),
    })?;
    let mut servers = Vec::new();
    for (number, name) in ["s-a1", "s-b2", "s-c3", "s-d4"].into_iter().enumerate() {
        let server = Server::start(name, number == 0, record, |_| Reply::default())?;
        discovery.set(
            name,
            Entry {
                address: server.0.address,
                group: 0,
                status: "Ready",
                since_ms: 0,
            },
        );
        servers.push(server);
    }
    let listen = free_port()?;
    let settings = site::settings(3);
    let start = |label: &str, admin: SocketAddr, known: &str| {
        let config = site::config(
            "n0",
            listen,
            Some(admin),
            discovery.address,
            known,
            &settings,
        );
        Proxy::start(
            Start {
                root: &play.root,
                folder: &folder.0,
                tmp: &folder.0,
                label,
                listen,
                admin: Some(admin),
                config: &config,
            },
            record,
        )
    };
    let known = discovery.list();
    let mut old = start("old", free_port()?, &known)?;
    old.wait_ready(Duration::from_secs(10))?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4).map(|n| clients(n, listen, &stop)).collect();
    thread::sleep(Duration::from_secs(2));

    // The proxy is killed. While it is down, a record server begins to drain.
    old.kill();
    record.line("the proxy is killed");
    thread::sleep(Duration::from_millis(100));
    let leaving = &servers[2];
    discovery.set(
        "s-c3",
        Entry {
            address: leaving.0.address,
            group: 0,
            status: "Terminating",
            since_ms: 0,
        },
    );
    let made = unix_ms();
    thread::sleep(DOWN);
    // It is started again with the list that it last had.
    let mut new = start("new", free_port()?, &known)?;
    new.wait_ready(Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        _ = client.join();
    }
    if new.ended() {
        return Err(io::Error::other("the new process has ended"));
    }
    let received = leaving.0.received.lock().unwrap().clone();
    let late: Vec<_> = received
        .iter()
        .filter(|(at, _)| *at > made + TOLD_MS + GRACE_MS)
        .collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.line(format!(
            "BROKEN: s-c3 got {} statements too late: id={} came {} ms after the drain began, id={} {} ms after it",
            late.len(),
            first.1,
            first.0 - made,
            last.1,
            last.0 - made
        ));
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}

/// A client that reads again and again, and opens a new connection where its own is closed.
fn clients(number: usize, listen: SocketAddr, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        let mut client = None;
        let mut count = 0;
        while !stop.load(Ordering::SeqCst) {
            count += 1;
            let id = format!("c{number}x{count:05}");
            if client.is_none() {
                client = Client::connect(listen).ok();
            }
            let statement = site::read("trip-history", &id, &id, 750, 0);
            let answered = client.as_mut().is_some_and(|client| {
                client.send(&statement).is_ok() && client.answer(Duration::from_secs(2)).is_ok()
            });
            if !answered {
                client = None;
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}
