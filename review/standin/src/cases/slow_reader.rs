//! A client on a poor link reads a large value slowly, without a pause.

use crate::client::Client;
use crate::discovery::{Discovery, Entry, Handling};
use crate::proxy::{free_port, Folder, Proxy, Start};
use crate::server::{Reply, Server};
use crate::{site, sys, Play, Verdict};
use std::io::{self, Read};
use std::thread;
use std::time::{Duration, Instant};

const VALUE: usize = 4 << 20;
/// Bytes that the client reads every tenth of a second.
const SLOW: usize = 10_000;

pub fn play(play: &Play) -> io::Result<Verdict> {
    let record = &play.record;
    let folder = Folder::new("slow-reader")?;
    let discovery = Discovery::start(record, |_| Handling::After(Duration::ZERO))?;
    for (number, name) in ["s-a1", "s-b2", "s-c3", "s-d4"].into_iter().enumerate() {
        let plan = |_: &str| Reply {
            value: VALUE,
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
    let mut client = Client::connect(listen)?;
    sys::set_receive_buffer(&client.stream, 32 << 10);
    client.send(&site::read("trip-history", "big", "k1", 750, 0))?;
    client
        .stream
        .set_read_timeout(Some(Duration::from_secs(20)))?;
    let sent = Instant::now();
    let mut bytes = vec![0; if play.trouble { SLOW } else { 64 * SLOW }];
    let mut total = 0;
    while total <= VALUE {
        match client.stream.read(&mut bytes) {
            Ok(n) if n > 0 => total += n,
            ended => {
                record.line(format!(
                    "BROKEN: the connection ends after {total} bytes and {:?}: {ended:?}",
                    sent.elapsed()
                ));
                return Ok(Verdict::Broken);
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(format!("the value is whole after {:?}", sent.elapsed()));
    Ok(Verdict::Held)
}
