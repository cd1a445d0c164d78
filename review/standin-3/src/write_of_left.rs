//! Where the proxy keeps the sessions' writes (`TokenMode` is `router`): a client leaves while its write is out, the write
//! is served, and the session's next reads have to see it.

use crate::client::{read, write, Answer, Client};
use crate::discovery::Discovery;
use crate::proxy::{free_address, Folder, Place, Proxy};
use crate::record::{unix_ms, Record};
use crate::server::{Applies, Group, Kind};
use crate::settings::{object, Settings};
use crate::Verdict;
use std::thread;
use std::time::Duration;

const SESSIONS: usize = 12;
const READS: usize = 4;
/// How far the replicas are behind, since they apply the log more slowly for a while.
const BEHIND: u64 = 3_000;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let kind = Kind {
        read_ms: 30,
        write_ms: 200,
        value: 200,
        rejects: false,
        large: 200,
        reset_after: None,
    };
    let group = Group::start(4, kind, record.clone());
    for number in 1..4 {
        group.set_applies(number, Applies::Behind(BEHIND));
    }
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
            behind: "off",
            tokens: "router",
        }),
    };
    let proxy = Proxy::start(&place, 0);
    if !proxy.wait_ready() {
        return Verdict::CannotRun("the proxy is not ready".into());
    }
    let Ok(mut usual) = Client::connect(proxy.listen) else {
        return Verdict::CannotRun("no connection".into());
    };
    let patience = Duration::from_secs(4);
    let mut stale = Vec::new();
    let (mut kept, mut served) = (0, 0);
    for n in 0..10 {
        let answer = usual.ask(&write("a0", &format!("warm{n}"), "order", 3000), patience);
        record.note(format!("client: warm{n}: {}", answer.brief()));
        if matches!(answer, Answer::Served(_)) {
            break;
        }
    }
    for session in 0..SESSIONS {
        let key = format!("5e5510{session:02}");
        let Ok(mut writer) = Client::connect(proxy.listen) else {
            return Verdict::CannotRun("no connection".into());
        };
        let id = format!("write{session}");
        record.note(format!("client: sends {id} of session {key}"));
        if writer.send(&write(&key, &id, "order", 3000)).is_err() {
            return Verdict::CannotRun("a request can't be sent".into());
        }
        if trouble {
            thread::sleep(Duration::from_millis(100));
            record.note(format!("client: closes the connection of {id}"));
            writer.leave();
        } else {
            let answer = writer.answer(patience);
            record.note(format!("client: {id}: {}", answer.brief()));
        }
        thread::sleep(Duration::from_millis(400));
        // The number of the session's write, if the proxy has had its answer for 100 ms.
        let before = unix_ms() - 100;
        let Some(version) = group.answered_write(&key, before) else {
            record.note(format!("{id}: the proxy did not wait for its answer"));
            continue;
        };
        kept += 1;
        for n in 0..READS {
            let id = format!("read{session}-{n}");
            record.note(format!("client: sends {id} of session {key}"));
            let answer = usual.ask(&read(&key, &id, "own", 1200, ""), patience);
            record.note(format!("client: {id}: {}", answer.brief()));
            let Answer::Served(value) = &answer else {
                continue;
            };
            served += 1;
            let text = String::from_utf8_lossy(value).into_owned();
            let got: u64 = text
                .split("version ")
                .nth(1)
                .and_then(|rest| rest.split(' ').next())
                .and_then(|number| number.parse().ok())
                .unwrap_or(0);
            if got < version {
                record.note(format!(
                    "{id}: the session has written version {version}, and reads version {got}"
                ));
                stale.push(id);
            }
        }
    }
    record.note(format!(
        "{kept} of {SESSIONS} writes were answered to the proxy; {served} reads served, {} of them stale",
        stale.len()
    ));
    if !stale.is_empty() {
        Verdict::Broken(format!(
            "{} of {served} reads did not see their session's write, whose answer the proxy had: {}",
            stale.len(),
            stale.join(" ")
        ))
    } else if served == 0 && kept > 0 {
        Verdict::CannotRun("no read was served".into())
    } else {
        Verdict::Held
    }
}
