//! A record server dies in the middle of a large value, while a write is open behind it on the client's connection.

use crate::client::{Answer, Client};
use crate::discovery::{Discovery, Entry, Handling};
use crate::proxy::{free_port, Folder, Proxy, Start};
use crate::server::{value_for, Reply, Server};
use crate::{site, Play, Verdict};
use std::io;
use std::thread;
use std::time::{Duration, Instant};

const VALUE: usize = 1 << 20;

pub fn play(play: &Play) -> io::Result<Verdict> {
    let record = &play.record;
    let folder = Folder::new("cut-off")?;
    let discovery = Discovery::start(record, |_| Handling::After(Duration::ZERO))?;
    let mut servers = Vec::new();
    for (number, name) in ["s-a1", "s-b2", "s-c3", "s-d4"].into_iter().enumerate() {
        // A large value is written in pieces, over about half a second.
        let plan = |text: &str| Reply {
            value: if text.contains("trip-history") {
                VALUE
            } else {
                200
            },
            piece: (32 << 10, Duration::from_millis(15)),
            ..Reply::default()
        };
        let server = Server::start(name, number == 0, record, plan)?;
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
    // A first write shows the proxy which server is the primary.
    let mut first = Client::connect(listen)?;
    first.send(&site::write("confirm-ride", "w0", "w0", 3_000, 0))?;
    record.line(format!(
        "client has w0: {:?}",
        first.answer(Duration::from_secs(4)).map(short)
    ));

    let mut client = Client::connect(listen)?;
    client.send_all(&[
        site::read("trip-history", "big", "k1", 750, 0),
        site::write("confirm-ride", "ride", "k1", 3_000, 0),
    ])?;
    let sent = Instant::now();
    record.line("client sends big and ride at once");
    // The record server that gives the large value dies once the write has run and been answered.
    let ran = |id: &str| {
        servers
            .iter()
            .any(|server| server.0.run.lock().unwrap().iter().any(|run| run == id))
    };
    while !(ran("big") && ran("ride")) {
        if sent.elapsed() > Duration::from_secs(3) {
            return Err(io::Error::other("the requests were not forwarded"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(100));
    if play.trouble {
        let giving = servers
            .iter()
            .find(|server| server.0.run.lock().unwrap().iter().any(|run| run == "big"));
        giving.expect("it has run").die();
    }
    let big = client.answer(Duration::from_secs(4));
    let cut = matches!(&big, Err(error) if error.kind() != io::ErrorKind::TimedOut && error.kind() != io::ErrorKind::WouldBlock);
    record.line(format!(
        "client has big: {:?}, {} bytes of it before",
        big.as_ref().map(|a| short(a.clone())),
        client.pending()
    ));
    if matches!(&big, Ok(Answer::Served(value)) if *value != value_for("big", VALUE)) {
        record.line("BROKEN: big has another value than the record server's");
        return Ok(Verdict::Broken);
    }
    if big.is_err() && !cut {
        record.line("BROKEN: big has neither an answer nor a cut connection");
        return Ok(Verdict::Broken);
    }
    // The write is owed its answer up to half a second after its time.
    let left = Duration::from_millis(3_500 + 50).saturating_sub(sent.elapsed());
    let ride = client.answer(left);
    record.line(format!(
        "client has ride after {} ms: {:?}",
        sent.elapsed().as_millis(),
        ride.as_ref().map(|a| short(a.clone()))
    ));
    if ride.is_err() {
        record.line("BROKEN: ride was forwarded and has run, and the connection was ended with no answer to it");
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}

fn short(answer: Answer) -> String {
    match answer {
        Answer::Served(value) => format!("served, {} bytes", value.len()),
        other => format!("{other:?}"),
    }
}
