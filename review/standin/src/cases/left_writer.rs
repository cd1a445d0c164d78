//! A client leaves while its write runs; its session then reads through the same proxy, which keeps sessions' writes.

use crate::client::Client;
use crate::discovery::{Discovery, Entry, Handling};
use crate::proxy::{free_port, Folder, Proxy, Start};
use crate::server::{Reply, Server};
use crate::{site, Play, Verdict};
use std::io;
use std::thread;
use std::time::Duration;

/// How far the replicas are behind: a replica that applies the log slowly.
const LAG_MS: u64 = 3_000;

pub fn play(play: &Play) -> io::Result<Verdict> {
    let record = &play.record;
    let folder = Folder::new("left-writer")?;
    let discovery = Discovery::start(record, |_| Handling::After(Duration::ZERO))?;
    let mut servers = Vec::new();
    for (number, name) in ["s-a1", "s-b2", "s-c3", "s-d4"].into_iter().enumerate() {
        let server = Server::start(name, number == 0, record, |_| Reply::default())?;
        server.set_lag(LAG_MS);
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
    let settings = site::settings(3)
        .replace("\"TokenMode\":\"client\"", "\"TokenMode\":\"router\"")
        .replace("\"Behind\":\"reject\"", "\"Behind\":\"off\"");
    let listen = free_port()?;
    let config = site::config(
        "n0",
        listen,
        None,
        discovery.address,
        &discovery.list(),
        &settings,
    );
    let mut proxy = Proxy::start(
        Start {
            root: &play.root,
            folder: &folder.0,
            tmp: &folder.0,
            label: "n0",
            listen,
            admin: None,
            config: &config,
        },
        record,
    )?;
    proxy.wait_ready(Duration::from_secs(10))?;
    // A first write shows the proxy which server is the primary.
    let mut first = Client::connect(listen)?;
    first.send(&site::write("confirm-ride", "w0", "other", 3_000, 0))?;
    first.answer(Duration::from_secs(4))?;

    let mut broken = false;
    for round in 0..5 {
        let key = format!("{round:016x}");
        let (write, read) = (format!("w{round}x"), format!("r{round}x"));
        let mut writer = Client::connect(listen)?;
        writer.send(&site::write("confirm-ride", &write, &key, 3_000, 0))?;
        record.line(format!("client sends {write}"));
        if play.trouble {
            // The write is at the record server, which takes 50 ms for it.
            thread::sleep(Duration::from_millis(20));
            drop(writer);
            record.line("its client leaves");
        } else {
            writer.answer(Duration::from_secs(4))?;
        }
        // By now the record server has answered the write on a connection that the proxy has kept.
        thread::sleep(Duration::from_millis(200));
        let mut reader = Client::connect(listen)?;
        reader.send(&site::read("my-booking", &read, &key, 1_200, 0))?;
        let answer = reader.answer(Duration::from_secs(2))?;
        let at = |id: &str| {
            let ran = |server: &&Server| server.0.run.lock().unwrap().iter().any(|run| run == id);
            servers.iter().position(|server| ran(&server))
        };
        record.line(format!(
            "{write} ran at {:?}, {read} was answered by {:?}: {}",
            at(&write),
            at(&read),
            matches!(answer, crate::client::Answer::Served(_))
        ));
        if at(&write) == Some(0) && at(&read).is_some_and(|server| server != 0) {
            record.line(format!(
                "BROKEN: {read} was answered by a replica that is {LAG_MS} ms behind, 0.2 s after its session's write"
            ));
            broken = true;
        }
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
