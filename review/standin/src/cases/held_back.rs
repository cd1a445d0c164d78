//! Two large values that a client asks for at once on one connection.

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
    let folder = Folder::new("held-back")?;
    let discovery = Discovery::start(record, |_| Handling::After(Duration::ZERO))?;
    let mut servers = Vec::new();
    for (number, name) in ["s-a1", "s-b2", "s-c3", "s-d4"].into_iter().enumerate() {
        // A large value is written in pieces.
        let plan = |text: &str| Reply {
            value: if text.contains("trip-history") {
                VALUE
            } else {
                200
            },
            piece: (32 << 10, Duration::from_millis(4)),
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
    thread::sleep(Duration::from_millis(500));

    let mut broken = false;
    for round in 0..10 {
        let ids: Vec<String> = (0..2).map(|n| format!("r{round:03}x{n}")).collect();
        let statements: Vec<String> = ids
            .iter()
            .map(|id| site::read("trip-history", id, id, 750, 0))
            .collect();
        let mut client = Client::connect(listen)?;
        let sent = Instant::now();
        record.line(format!(
            "client asks for {}{}",
            ids.join(" and "),
            if play.trouble {
                " at once"
            } else {
                ", one after the other"
            }
        ));
        if play.trouble {
            client.send_all(&statements)?;
        }
        for (id, statement) in ids.iter().zip(&statements) {
            if !play.trouble {
                client.send(statement)?;
            }
            let answer = client.answer(Duration::from_secs(8));
            let after = sent.elapsed().as_millis();
            match &answer {
                Ok(Answer::Served(value)) if *value == value_for(id, VALUE) => {
                    record.line(format!("client has {id} whole after {after} ms"));
                }
                Ok(Answer::Refused(code) | Answer::Failed(code)) => {
                    record.line(format!("client has {id}: error {code} after {after} ms"));
                }
                other => {
                    let kind = other.as_ref().err().map(ToString::to_string);
                    record.line(format!(
                        "BROKEN: {id} has no whole answer after {after} ms: {kind:?}, {} bytes of it have come",
                        client.pending()
                    ));
                    broken = true;
                    break;
                }
            }
        }
        if broken {
            break;
        }
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
