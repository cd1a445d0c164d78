//! An upgrade while discovery is slow to answer new calls. A record server begins to drain just after the new process has
//! said yes; the old process's watch tells the proxy. What discovery tells counts as told 2 s after the yes.

use crate::client::{read, write, Answer, Client};
use crate::discovery::Discovery;
use crate::proxy::{free_address, Folder, Place, Proxy};
use crate::record::{unix_ms, Record};
use crate::server::{Group, Kind};
use crate::settings::{object, Settings};
use crate::Verdict;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long discovery takes for the new process's call.
const WAIT: u64 = 2_900;
/// From the yes: until the news counts as told, the grace of drains with its 50 ms, and the time for which a proxy may be
/// held up.
const LAST_SEND: u64 = 2_000 + 500 + 50 + 150;
const DRAINING: usize = 3;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let kind = Kind {
        read_ms: 30,
        write_ms: 60,
        value: 200,
        rejects: true,
        large: 200,
        reset_after: None,
    };
    let group = Group::start(4, kind, record.clone());
    let discovery = Discovery::start(record.clone());
    for (number, address) in group.addresses.iter().enumerate() {
        discovery.set(&Group::name(number), *address, "Ready");
    }
    let place = Place {
        name: "n0".into(),
        listen: free_address(),
        folder: folder.path().to_owned(),
        discovery: discovery.address,
        known: discovery.list(),
        settings: object(&Settings {
            balancers: 3,
            me: 0,
            behind: "reject",
            tokens: "client",
        }),
    };
    let old = Proxy::start(&place, 0);
    if !old.wait_ready() {
        return Verdict::CannotRun("the proxy is not ready".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let (stop, served) = (stop.clone(), served.clone());
            let listen = old.listen;
            thread::spawn(move || {
                let mut n = 0;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let Ok(mut client) = Client::connect(listen) else {
                        thread::sleep(Duration::from_millis(10));
                        continue;
                    };
                    let statement = read(
                        &format!("a{number}"),
                        &format!("c{number}-{n}"),
                        "any",
                        750,
                        "",
                    );
                    let answer = client.ask(&statement, Duration::from_secs(2));
                    served.fetch_add(
                        usize::from(matches!(answer, Answer::Served(_))),
                        Ordering::SeqCst,
                    );
                    client.leave();
                }
            })
        })
        .collect();
    if let Ok(mut client) = Client::connect(old.listen) {
        let answer = client.ask(&write("w", "warm", "order", 3000), Duration::from_secs(4));
        record.note(format!("client: warm: {}", answer.brief()));
    }
    thread::sleep(Duration::from_secs(3));
    if trouble {
        discovery.set_wait(WAIT);
    }
    record.note("platform: starts the new process");
    let new = Proxy::start(&place, 1);
    let began = Instant::now();
    let mut is_ready = false;
    while !is_ready && began.elapsed() < Duration::from_secs(6) {
        is_ready = new.call("GET", "/api/ready", "");
        thread::sleep(Duration::from_millis(2));
    }
    let yes = unix_ms();
    record.note(format!("platform: the new process says yes: {is_ready}"));
    let name = Group::name(DRAINING);
    discovery.set(&name, group.addresses[DRAINING], "Terminating");
    // Long enough for the old process to be told.
    thread::sleep(Duration::from_millis(50));
    record.note("platform: SIGTERM to the old process");
    old.terminate();
    thread::sleep(Duration::from_millis(3_400));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        _ = client.join();
    }
    let all = group.got_after(DRAINING, yes);
    let late: Vec<u64> = all
        .iter()
        .filter(|at| **at > yes + LAST_SEND)
        .map(|at| *at - yes)
        .collect();
    record.note(format!(
        "{} requests served; after the yes {name} got {} requests, the last {:?} ms after it; later than {LAST_SEND} ms: {}",
        served.load(Ordering::SeqCst),
        all.len(),
        all.iter().max().map(|at| at - yes),
        late.len()
    ));
    if !is_ready {
        Verdict::CannotRun("the new process is not ready".into())
    } else if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "{name} got {} requests later than {LAST_SEND} ms after the yes, the last after {} ms",
            late.len(),
            late.iter().max().unwrap_or(&0)
        ))
    }
}
