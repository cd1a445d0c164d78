//! A client sends a read and a write at once; the record server of the read ends in the middle of its large value.

use crate::client::{read, write, Answer, Client};
use crate::discovery::{Discovery, Entry};
use crate::platform::{Machine, Settings};
use crate::server::{CutOff, Log, Reply, Server};
use crate::{wire, Stage, Verdict};
use std::io;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const VALUE_BYTES: usize = 1 << 20;
const WRITTEN_BYTES: usize = 300 << 10;
const ROUNDS: usize = 5;

fn answer(breaks: bool) -> Reply {
    let mut bytes = wire::description();
    bytes.extend(wire::row(&vec![0x5a; VALUE_BYTES]));
    if breaks {
        bytes.truncate(WRITTEN_BYTES);
        return Reply::End(bytes, Duration::from_millis(400));
    }
    bytes.extend(wire::complete("SELECT 1"));
    bytes.extend(wire::ready());
    Reply::Pieces(vec![(Duration::from_millis(50), bytes)])
}

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let log = Log::default();
    let mut entries = Vec::new();
    let breaks = stage.trouble;
    for (name, is_primary) in [("s-1", true), ("s-2", false), ("s-3", false)] {
        let server = Server {
            name,
            is_primary,
            lag_ms: 10,
            log: Arc::clone(&log),
            record: stage.record.clone(),
            cut_off: CutOff::default(),
            behaviour: Arc::new(move |request| {
                if request.is_write {
                    Reply::Usual(Duration::from_millis(130))
                } else {
                    answer(breaks)
                }
            }),
        };
        entries.push(Entry::ready(name, server.start()?));
    }
    let discovery = Discovery::start(entries, stage.record.clone())?;
    let (at, known) = (discovery.address, discovery.known());
    let mut machine = Machine::new(&stage.root, Settings::default(), at, known, &stage.record)?;
    let mut proxy = machine.start()?;
    proxy.wait_ready(Duration::from_secs(30))?;

    let mut verdict = Verdict {
        broken: 0,
        checked: 0,
    };
    for number in 0..ROUNDS {
        let mut client = Client::connect(machine.listen)?;
        client.wait_at_most(Duration::from_secs(5));
        client.send(&read(
            "5a",
            &format!("v{number}"),
            "trip-history",
            "ratna-park",
            750,
            0,
        ))?;
        client.send(&write(
            "b0",
            "9f03",
            &format!("w{number}"),
            "confirm-ride",
            "ratna-park",
            3_000,
            0,
        ))?;
        stage
            .record
            .line(format!("client sends v{number} and w{number}"));
        let value = client.answer();
        stage
            .record
            .line(format!("client gets for v{number}: {}", value.text()));
        let answer = client.answer();
        stage
            .record
            .line(format!("client gets for w{number}: {}", answer.text()));
        verdict.checked += 1;
        verdict.broken += usize::from(matches!(answer, Answer::Nothing(_)));
        sleep(Duration::from_millis(300));
    }
    Ok(verdict)
}
