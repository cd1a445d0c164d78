//! During an upgrade a bad client copies the id of another client's open request. The old and the new process are one
//! proxy, so the copy has to get an error or a close, and not an answer as though its request had run.

use crate::client::{read, write, Answer, Client};
use crate::discovery::Discovery;
use crate::proxy::{free_address, Folder, Place, Proxy};
use crate::record::Record;
use crate::server::{Group, Kind};
use crate::settings::{object, Settings};
use crate::Verdict;
use std::thread;
use std::time::{Duration, Instant};

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let kind = Kind {
        read_ms: 30,
        write_ms: 1_500,
        value: 200,
        tells_position: true,
        rejects: true,
        large: 200,
        reset_after: None,
    };
    let group = Group::start(3, kind, record.clone());
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
            balancers: 1,
            me: 0,
            behind: "reject",
            tokens: "client",
            pushed: false,
        }),
    };
    let old = Proxy::start(&place, 0);
    if !old.wait_ready() {
        return Verdict::CannotRun("the proxy is not ready".into());
    }
    let Ok(mut usual) = Client::connect(old.listen) else {
        return Verdict::CannotRun("no connection".into());
    };
    let patience = Duration::from_secs(4);
    let answer = usual.ask(&write("a0", "warm", "order", 3000), patience);
    record.note(format!("client: warm: {}", answer.brief()));
    if usual.send(&write("a1", "original", "order", 3000)).is_err() {
        return Verdict::CannotRun("a request can't be sent".into());
    }
    record.note("client: sends original");
    let mut new = None;
    if trouble {
        let next = Proxy::start(&place, 1);
        let began = Instant::now();
        while !next.call("GET", "/api/ready", "") {
            if began.elapsed() > Duration::from_secs(6) {
                return Verdict::CannotRun("the new process is not ready".into());
            }
            thread::sleep(Duration::from_millis(10));
        }
        record.note("platform: the new process says yes; SIGTERM to the old one");
        old.terminate();
        new = Some(next);
    }
    thread::sleep(Duration::from_millis(200));
    let Ok(mut bad) = Client::connect(old.listen) else {
        return Verdict::CannotRun("no connection".into());
    };
    record.note("bad client: sends a request with the id of the open one");
    let copy = bad.ask(&read("a2", "original", "any", 750, ""), patience);
    record.note(format!("bad client: {}", copy.brief()));
    let original = usual.answer(patience);
    record.note(format!("client: original: {}", original.brief()));
    drop(new);
    if let Answer::Served(_) = copy {
        Verdict::Broken("a request with the id of another client's open request was served".into())
    } else {
        Verdict::Held
    }
}
