//! A client leaves while its write runs; the proxy gets the write's answer; then the session reads.

use crate::client::{read, write, Answer, Client};
use crate::discovery::{Discovery, Entry};
use crate::platform::{Machine, Settings};
use crate::record::unix_ms;
use crate::server::{CutOff, Log, Reply, Server};
use crate::{Stage, Verdict};
use std::io;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const SESSIONS: usize = 20;
const LAG_MS: u64 = 800;

/// A group of a primary and two replicas that lag.
pub fn group(stage: &Stage, log: &Log) -> io::Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for (name, is_primary) in [("s-1", true), ("s-2", false), ("s-3", false)] {
        let server = Server {
            name,
            is_primary,
            lag_ms: LAG_MS,
            log: Arc::clone(log),
            record: stage.record.clone(),
            cut_off: CutOff::default(),
            behaviour: Arc::new(|request| {
                Reply::Usual(Duration::from_millis(if request.is_write {
                    130
                } else {
                    40
                }))
            }),
        };
        entries.push(Entry::ready(name, server.start()?));
    }
    Ok(entries)
}

/// Whether the answer to a session's read lacks the session's write, whose answer the proxy had 100 ms before the read
/// was sent. `None` if the read was not served or the write was not known.
pub fn is_stale(
    stage: &Stage,
    log: &Log,
    key: &str,
    sent_ms: u64,
    answer: &Answer,
) -> Option<bool> {
    let log = log.lock().unwrap_or_else(|e| e.into_inner());
    let commit = log.iter().rev().find(|commit| commit.key == key)?;
    let answered_ms = commit.answered_ms.filter(|at| at + 100 <= sent_ms)?;
    let Answer::Served(value) = answer else {
        return None;
    };
    let stale = *value != commit.value;
    stage.record.line(format!(
        "check {key}: the proxy got the write's answer {} ms before the read was sent: {}",
        sent_ms - answered_ms,
        if stale { "STALE" } else { "fresh" }
    ));
    Some(stale)
}

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let log = Log::default();
    let entries = group(stage, &log)?;
    let discovery = Discovery::start(entries, stage.record.clone())?;
    let settings = Settings {
        tokens: "router",
        behind: "off",
        ..Settings::default()
    };
    let (at, known) = (discovery.address, discovery.known());
    let mut machine = Machine::new(&stage.root, settings, at, known, &stage.record)?;
    let mut proxy = machine.start()?;
    proxy.wait_ready(Duration::from_secs(30))?;

    let mut verdict = Verdict {
        broken: 0,
        checked: 0,
    };
    for number in 0..SESSIONS {
        let key = format!("{number:016x}");
        let mut writer = Client::connect(machine.listen)?;
        let text = write(
            &key,
            &format!("{:04x}", 0xbe00 + number),
            &format!("w{number}"),
            "confirm-ride",
            "ratna-park",
            3_000,
            0,
        );
        writer.send(&text)?;
        stage.record.line(format!("client sends write w{number}"));
        if stage.trouble {
            sleep(Duration::from_millis(60));
            drop(writer);
            stage
                .record
                .line(format!("client of w{number} closes its connection"));
            sleep(Duration::from_millis(340));
        } else {
            let answer = writer.answer();
            stage
                .record
                .line(format!("client gets for w{number}: {}", answer.text()));
            sleep(Duration::from_millis(260));
        }
        let mut reader = Client::connect(machine.listen)?;
        let sent_ms = unix_ms();
        let answer = reader.ask(&read(
            &key,
            &format!("r{number}"),
            "my-booking",
            "ratna-park",
            1_200,
            0,
        ));
        stage
            .record
            .line(format!("client gets for r{number}: {}", answer.text()));
        if let Some(stale) = is_stale(stage, &log, &key, sent_ms, &answer) {
            verdict.checked += 1;
            verdict.broken += usize::from(stale);
        }
    }
    Ok(verdict)
}
