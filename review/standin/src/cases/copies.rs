//! A record server of the other building writes some of its answers twice.

use crate::client::{Answer, Client};
use crate::discovery::{Discovery, Entry, Handling};
use crate::proxy::{free_port, Folder, Proxy, Start};
use crate::server::{value_for, Fate, Reply, Server};
use crate::{link, site, Play, Verdict};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// One way between the buildings: 0.42 to 0.78 ms.
const BETWEEN_BUILDINGS: Duration = Duration::from_micros(600);
/// Of the bad server's answers, one in this many is written twice.
const SHARE: usize = 10;
const VALUE: usize = 200;

pub fn play(play: &Play) -> io::Result<Verdict> {
    let record = &play.record;
    let folder = Folder::new("copies")?;
    let discovery = Discovery::start(record, |_| Handling::After(Duration::ZERO))?;
    let mut servers = Vec::new();
    // Two groups of four; one record server in eight is bad.
    for (number, name) in [
        "s-a1", "s-b2", "s-c3", "s-d4", "s-e5", "s-f6", "s-a7", "s-b8",
    ]
    .into_iter()
    .enumerate()
    {
        let bad = number == 2;
        let answers = AtomicUsize::new(0);
        let trouble = play.trouble;
        let plan = move |_: &str| {
            let twice =
                bad && trouble && answers.fetch_add(1, Ordering::SeqCst) % SHARE == SHARE - 1;
            Reply {
                value: VALUE,
                fate: if twice { Fate::Copy } else { Fate::Answer },
                ..Reply::default()
            }
        };
        let server = Server::start(name, number % 4 == 0, record, plan)?;
        let address = if number % 4 == 2 {
            link::open(server.0.address, BETWEEN_BUILDINGS)?
        } else {
            server.0.address
        };
        discovery.set(
            name,
            Entry {
                address,
                group: number as u32 / 4,
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
    let wrong = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..16)
        .map(|n| {
            let (stop, wrong, served, record) =
                (stop.clone(), wrong.clone(), served.clone(), record.clone());
            thread::spawn(move || client(n, listen, &stop, &wrong, &served, &record))
        })
        .collect();
    for _ in 0..300 {
        thread::sleep(Duration::from_millis(100));
        if wrong.lock().unwrap().len() >= 5 {
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        _ = client.join();
    }
    if proxy.ended() {
        return Err(io::Error::other("the proxy has ended"));
    }
    let wrong = wrong.lock().unwrap();
    record.line(format!(
        "{} requests served, {} of them with the value of another",
        served.load(Ordering::SeqCst),
        wrong.len()
    ));
    Ok(if wrong.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

fn client(
    number: usize,
    listen: SocketAddr,
    stop: &AtomicBool,
    wrong: &Mutex<Vec<String>>,
    served: &AtomicUsize,
    record: &crate::record::Record,
) {
    let mut client = None;
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("c{number:02}x{count:05}");
        if client.is_none() {
            client = Client::connect(listen).ok();
        }
        let statement = match count % 3 {
            0 => site::read("nearby-cabs", &id, &id, 500, 0),
            1 => site::read("my-booking", &id, &id, 1_200, 0),
            _ => site::read("trip-history", &id, &id, 750, 0),
        };
        let answer = client.as_mut().map(|client| {
            client.send(&statement)?;
            client.answer(Duration::from_secs(2))
        });
        match answer {
            Some(Ok(Answer::Served(value))) => {
                served.fetch_add(1, Ordering::SeqCst);
                if value != value_for(&id, VALUE) {
                    let got = String::from_utf8_lossy(&value[..value.len().min(20)]).into_owned();
                    record.line(format!(
                        "BROKEN: the client of id={id} is served a value that begins with {got}"
                    ));
                    wrong.lock().unwrap().push(id);
                }
            }
            Some(Ok(_)) => thread::sleep(Duration::from_millis(20)),
            _ => client = None,
        }
    }
}
