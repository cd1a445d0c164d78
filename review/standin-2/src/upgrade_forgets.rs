//! Sessions write through the old process of an upgrade, and read through the new one.

use crate::client::{read, write, Client};
use crate::discovery::Discovery;
use crate::platform::{Machine, Settings};
use crate::record::unix_ms;
use crate::server::Log;
use crate::sessions::{group, is_stale};
use crate::{Stage, Verdict};
use std::io;
use std::thread::{self, sleep};
use std::time::Duration;

const SESSIONS: usize = 12;
/// The last sessions, which read what they have written less than a second before.
const READS: usize = 5;

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
    let mut old = machine.start()?;
    old.wait_ready(Duration::from_secs(30))?;
    let listen = machine.listen;

    // A client whose connection stays with the old process.
    let mut first = Client::connect(listen)?;
    for number in 0..4 {
        let text = read(
            "feed",
            &format!("warm{number}"),
            "trip-history",
            "ratna-park",
            750,
            0,
        );
        let answer = first.ask(&text);
        stage
            .record
            .line(format!("client gets for warm{number}: {}", answer.text()));
    }
    for number in 0..SESSIONS {
        let key = format!("{number:016x}");
        let text = write(
            &key,
            &format!("{:04x}", 0xbe00 + number),
            &format!("w{number}"),
            "confirm-ride",
            "ratna-park",
            3_000,
            0,
        );
        let answer = first.ask(&text);
        stage
            .record
            .line(format!("client gets for w{number}: {}", answer.text()));
    }
    let new = if stage.trouble {
        let mut new = machine.start()?;
        new.wait_ready(Duration::from_secs(6))?;
        old.signal("TERM")?;
        Some(new)
    } else {
        None
    };
    // What an answer tells counts as known 100 ms after it was written.
    sleep(Duration::from_millis(120));
    let mut readers = Vec::new();
    for number in SESSIONS - READS..SESSIONS {
        let key = format!("{number:016x}");
        let record = stage.record.clone();
        readers.push(thread::spawn(move || -> io::Result<_> {
            let mut reader = Client::connect(listen)?;
            let sent_ms = unix_ms();
            let answer = reader.ask(&read(
                &key,
                &format!("r{number}"),
                "my-booking",
                "ratna-park",
                1_200,
                0,
            ));
            record.line(format!("client gets for r{number}: {}", answer.text()));
            Ok((key, sent_ms, answer))
        }));
    }
    let mut verdict = Verdict {
        broken: 0,
        checked: 0,
    };
    for reader in readers {
        let (key, sent_ms, answer) = reader.join().map_err(|_| io::Error::other("a client"))??;
        if let Some(stale) = is_stale(stage, &log, &key, sent_ms, &answer) {
            verdict.checked += 1;
            verdict.broken += usize::from(stale);
        }
    }
    // Only while both processes run they are held to be one proxy.
    if let Some(status) = old.exited() {
        let text = format!("the old process has ended before the last answer: {status}");
        return Err(io::Error::other(text));
    }
    stage.record.line("the old process still runs");
    drop((new, old));
    Ok(verdict)
}
