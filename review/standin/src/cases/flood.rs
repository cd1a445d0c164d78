//! Bad clients: one repeats the same first packet as soon as it is turned away, others connect and say nothing.

use crate::client::Client;
use crate::discovery::{Discovery, Entry, Handling};
use crate::proxy::{free_port, Folder, Proxy, Start};
use crate::record::Record;
use crate::server::{Reply, Server};
use crate::{site, Play, Verdict};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Bad clients that connect and say nothing.
const SILENT: usize = 400;
/// Time for which the bad clients are there.
const SPAN: Duration = Duration::from_secs(20);
/// A final answer counts up to half a second, and what sockets add to each limit, after the client's time.
const SLACK: Duration = Duration::from_millis(550);

pub fn play(play: &Play) -> io::Result<Verdict> {
    let record = &play.record;
    let folder = Folder::new("flood")?;
    let discovery = Discovery::start(record, |_| Handling::After(Duration::ZERO))?;
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
    let (listen, admin) = (free_port()?, free_port()?);
    let config = site::config(
        "n0",
        listen,
        Some(admin),
        discovery.address,
        &discovery.list(),
        &site::settings(3),
    );
    let mut proxy = Proxy::start(
        Start {
            root: &play.root,
            folder: &folder.0,
            tmp: &folder.0,
            label: "n0",
            listen,
            admin: Some(admin),
            config: &config,
        },
        record,
    )?;
    proxy.wait_ready(Duration::from_secs(10))?;
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let answered = Arc::new(AtomicUsize::new(0));
    let usual: Vec<_> = (0..4)
        .map(|n| {
            let (stop, lost, answered, record) =
                (stop.clone(), lost.clone(), answered.clone(), record.clone());
            thread::spawn(move || client(n, listen, &stop, &lost, &answered, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut silent = Vec::new();
    if play.trouble {
        record.line("a bad client connects, and repeats its first packet");
        repeat_first_packet(listen, &stop)?;
        thread::sleep(Duration::from_millis(200));
        record.line("bad clients connect that say nothing");
        for _ in 0..SILENT {
            if let Ok(stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(100)) {
                silent.push(stream);
            }
        }
        record.line(format!("{} are connected", silent.len()));
    }
    let begun = Instant::now();
    while begun.elapsed() < SPAN {
        thread::sleep(Duration::from_secs(1));
        let ready = proxy.call("GET", "/api/ready", "");
        record.line(format!(
            "answered {}, lost {}, second address: {:?}",
            answered.load(Ordering::SeqCst),
            lost.load(Ordering::SeqCst),
            ready.map_err(|error| error.to_string())
        ));
    }
    stop.store(true, Ordering::SeqCst);
    for client in usual {
        _ = client.join();
    }
    if proxy.ended() {
        record.line("BROKEN: the proxy has ended");
        return Ok(Verdict::Broken);
    }
    let lost = lost.load(Ordering::SeqCst);
    record.line(format!(
        "usual clients: {} requests answered, {lost} lost",
        answered.load(Ordering::SeqCst)
    ));
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends a request for encryption, is turned away, and sends the same again, at full speed; reads what it is sent.
fn repeat_first_packet(listen: SocketAddr, stop: &Arc<AtomicBool>) -> io::Result<()> {
    let mut stream = TcpStream::connect(listen)?;
    let mut reader = stream.try_clone()?;
    let own = Arc::clone(stop);
    thread::spawn(move || {
        let mut bytes = vec![0; 64 << 10];
        while matches!(reader.read(&mut bytes), Ok(n) if n > 0) {}
    });
    thread::spawn(move || {
        let packet = [0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f];
        let many = packet.repeat(4 << 10);
        while !own.load(Ordering::SeqCst) && stream.write_all(&many).is_ok() {}
    });
    Ok(())
}

/// A usual client: a new connection for each request, or its own again.
fn client(
    number: usize,
    listen: SocketAddr,
    stop: &AtomicBool,
    lost: &AtomicUsize,
    answered: &AtomicUsize,
    record: &Record,
) {
    let time = Duration::from_millis(750);
    let mut count = 0;
    let mut connection = None;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("c{number}x{count:05}");
        if connection.is_none() {
            connection = Client::connect(listen).ok();
        }
        let Some(client) = connection.as_mut() else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        if client
            .send(&site::read("trip-history", &id, &id, 750, 0))
            .is_err()
        {
            connection = None;
            continue;
        }
        match client.answer(time + SLACK) {
            Ok(_) => _ = answered.fetch_add(1, Ordering::SeqCst),
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
                ) =>
            {
                record.line(format!(
                    "BROKEN: id={id} has no answer {} ms after it was sent",
                    (time + SLACK).as_millis()
                ));
                lost.fetch_add(1, Ordering::SeqCst);
                connection = None;
            }
            // The proxy has closed the connection between two requests; the client sends again on a new one.
            Err(_) => connection = None,
        }
        thread::sleep(Duration::from_millis(20));
    }
}
