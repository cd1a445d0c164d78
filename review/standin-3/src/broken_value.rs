//! A record server's connection breaks in the middle of a large value. The requests that the same client had sent behind
//! the read of that value have been read, and need their final answers too.

use crate::client::{read, write, Answer, Client};
use crate::discovery::Discovery;
use crate::proxy::{free_address, Folder, Place, Proxy};
use crate::record::Record;
use crate::server::{Group, Kind};
use crate::settings::{object, Settings};
use crate::Verdict;
use std::thread;
use std::time::Duration;

const ROUNDS: usize = 6;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let kind = Kind {
        read_ms: 30,
        write_ms: 300,
        value: 200,
        tells_position: true,
        rejects: true,
        large: 1 << 20,
        reset_after: trouble.then_some(300_000),
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
    let proxy = Proxy::start(&place, 0);
    if !proxy.wait_ready() {
        return Verdict::CannotRun("the proxy is not ready".into());
    }
    let Ok(mut usual) = Client::connect(proxy.listen) else {
        return Verdict::CannotRun("no connection".into());
    };
    let patience = Duration::from_secs(5);
    let mut warm = 0;
    for n in 0..20 {
        let answer = usual.ask(&write("a0", &format!("warm{n}"), "order", 3000), patience);
        record.note(format!("client: warm{n}: {}", answer.brief()));
        warm += usize::from(matches!(answer, Answer::Served(_)));
        if warm == 3 {
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    if warm < 3 {
        return Verdict::CannotRun("the proxy serves no writes".into());
    }
    let mut lost = Vec::new();
    let mut unsent = 0;
    for round in 0..ROUNDS {
        let Ok(mut client) = Client::connect(proxy.listen) else {
            return Verdict::CannotRun("no connection".into());
        };
        let ids = [
            format!("value{round}"),
            format!("order{round}"),
            format!("near{round}"),
        ];
        let value = read(&format!("large{round}"), &ids[0], "any", 750, "");
        let order = write(&format!("b{round}"), &ids[1], "order", 3000);
        let near = read(&format!("c{round}"), &ids[2], "near", 500, "");
        // In each second round the answer to the write is due before the value: nothing of the value can have been
        // passed on when its connection breaks.
        let is_behind_write = round % 2 == 1;
        let (ids, statements) = if is_behind_write {
            let [value_id, order_id, near_id] = ids;
            ([order_id, value_id, near_id], [order, value, near])
        } else {
            (ids, [value, order, near])
        };
        for (id, statement) in ids.iter().zip(&statements) {
            record.note(format!("client: sends {id}"));
            if client.send(statement).is_err() {
                return Verdict::CannotRun("a request can't be sent".into());
            }
        }
        for id in &ids {
            // The longest time of a request, and half a second more.
            let answer = client.answer(Duration::from_millis(3500));
            record.note(format!("client: {id}: {}", answer.brief()));
            let is_final = matches!(answer, Answer::Served(_) | Answer::Error(_));
            let is_value = id.starts_with("value");
            if !is_value && !is_final {
                lost.push(id.clone());
                unsent += usize::from(!group.has_got(id));
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    record.note(format!(
        "{} of {} requests beside a value got no answer: {}; {unsent} of them did not reach a record server",
        lost.len(),
        2 * ROUNDS,
        lost.join(" ")
    ));
    // A request that reached a record server has been read by the proxy.
    lost.retain(|id| group.has_got(id));
    if lost.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "{} requests that the proxy had read and forwarded were never answered: {}",
            lost.len(),
            lost.join(" ")
        ))
    }
}
