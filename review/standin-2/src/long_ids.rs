//! One client sends requests with huge ids, and sends again as soon as it is turned away. The platform kills a proxy over
//! its memory limit.

use crate::client::{read, Answer, Client};
use crate::discovery::Discovery;
use crate::platform::{Machine, Settings};
use crate::server::Log;
use crate::sessions::group;
use crate::{Stage, Verdict};
use std::io;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const ID_BYTES: usize = 64 << 10;
const MEMORY_MB: usize = 192;

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let log = Log::default();
    let entries = group(stage, &log)?;
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
    let before = proxy.resident_mb();
    stage.record.line(format!("the proxy uses {before:.1} MiB"));

    let (mut usual, record) = (Client::connect(listen)?, stage.record.clone());
    thread::spawn(move || {
        for number in 0.. {
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
    sleep(Duration::from_secs(1));
    if stage.trouble {
        let (mut bad, record) = (Client::connect(listen)?, stage.record.clone());
        thread::spawn(move || {
            let rest = "x".repeat(ID_BYTES - 8);
            for number in 0.. {
                let id = format!("{number:08}{rest}");
                let answer = bad.ask(&read("feed", &id, "nearby-cabs", "koteshwor", 5, 0));
                if number % 100 == 0 || !matches!(answer, Answer::Refused(_)) {
                    record.line(format!(
                        "bad client gets for its request {number}: {}",
                        answer.text()
                    ));
                }
                if matches!(answer, Answer::Nothing(_)) {
                    return;
                }
            }
        });
        stage
            .record
            .line("one client sends ids of 64 KiB, one request after the other");
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
