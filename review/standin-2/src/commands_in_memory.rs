//! Some clients send many writes of the largest value at once. The platform kills a proxy over its memory limit.

use crate::client::{read, write, Answer, Client};
use crate::discovery::{Discovery, Entry};
use crate::platform::{Machine, Settings};
use crate::server::{CutOff, Log, Reply, Server};
use crate::{wire, Stage, Verdict};
use std::io::{self, Write};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const BAD_CLIENTS: usize = 60;
/// Commands that each of them sends at once.
const COMMANDS: usize = 100;
const MEMORY_MB: usize = 192;

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let log = Log::default();
    let mut entries = Vec::new();
    for (name, is_primary) in [("s-1", true), ("s-2", false), ("s-3", false)] {
        let server = Server {
            name,
            is_primary,
            lag_ms: 10,
            log: Arc::clone(&log),
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
    let discovery = Discovery::start(entries, stage.record.clone())?;
    let settings = Settings {
        memory_mb: MEMORY_MB,
        ..Settings::default()
    };
    let (at, known) = (discovery.address, discovery.known());
    let mut machine = Machine::new(&stage.root, settings, at, known, &stage.record)?;
    let mut proxy = machine.start()?;
    proxy.wait_ready(Duration::from_secs(30))?;
    let listen = machine.listen;

    let mut usual = Client::connect(listen)?;
    for number in 0..20 {
        let text = read(
            "feed",
            &format!("u{number}"),
            "trip-history",
            "ratna-park",
            750,
            0,
        );
        let answer = usual.ask(&text);
        stage.record.line(format!(
            "usual client gets for u{number}: {}",
            answer.text()
        ));
    }
    stage
        .record
        .line(format!("the proxy uses {:.1} MiB", proxy.resident_mb()));
    let record = stage.record.clone();
    thread::spawn(move || {
        for number in 20.. {
            let text = read(
                "feed",
                &format!("u{number}"),
                "trip-history",
                "ratna-park",
                750,
                0,
            );
            let answer = usual.ask(&text);
            record.line(format!(
                "usual client gets for u{number}: {}",
                answer.text()
            ));
            if matches!(answer, Answer::Nothing(_)) {
                return;
            }
            sleep(Duration::from_millis(50));
        }
    });
    if stage.trouble {
        let value = "9f".repeat(64 << 10);
        for client in 0..BAD_CLIENTS {
            let mut bad = Client::connect(listen)?;
            let value = value.clone();
            let mut output = bad.reader.stream.try_clone()?;
            // It reads whatever is sent to it.
            thread::spawn(move || while bad.reader.message().is_ok() {});
            thread::spawn(move || {
                for number in 0..COMMANDS {
                    let text = write(
                        "b0",
                        &value,
                        &format!("b{client}x{number}"),
                        "confirm-ride",
                        "koteshwor",
                        3_000,
                        0,
                    );
                    if output.write_all(&wire::query(&text)).is_err() {
                        return;
                    }
                }
            });
        }
        stage.record.line(format!(
            "{BAD_CLIENTS} clients send {COMMANDS} writes each, of 64 KiB values"
        ));
    }
    let mut peak = 0.0_f64;
    let mut verdict = Verdict {
        broken: 0,
        checked: 0,
    };
    let end = Instant::now() + Duration::from_secs(8);
    while Instant::now() < end {
        let used = proxy.resident_mb();
        peak = peak.max(used);
        verdict.checked += 1;
        if let Some(status) = proxy.exited() {
            stage.record.line(format!("the proxy has ended: {status}"));
            verdict.broken += 1;
            break;
        }
        if used > MEMORY_MB as f64 {
            stage.record.line(format!(
                "platform: {used:.1} MiB are over the limit of {MEMORY_MB}: the proxy is KILLED"
            ));
            proxy.kill();
            verdict.broken += 1;
            sleep(Duration::from_millis(200));
            break;
        }
        sleep(Duration::from_millis(10));
    }
    stage
        .record
        .line(format!("most memory seen: {peak:.1} MiB"));
    Ok(verdict)
}
