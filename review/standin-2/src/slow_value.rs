//! A record server writes a large value slowly, in pieces.

use crate::client::{read, Answer, Client};
use crate::discovery::{Discovery, Entry};
use crate::platform::{Machine, Settings};
use crate::server::{CutOff, Log, Reply, Server};
use crate::{wire, Stage, Verdict};
use std::io;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const VALUE_BYTES: usize = 1 << 20;
const REQUESTS: usize = 10;

/// The pieces of an answer with a large value. The first ends behind RowDescription; the value follows in pieces of 64
/// KiB.
fn pieces(pause: Duration) -> Vec<(Duration, Vec<u8>)> {
    let mut rest = wire::row(&vec![0x5a; VALUE_BYTES]);
    rest.extend(wire::complete("SELECT 1"));
    rest.extend(wire::parameter("role", "replica"));
    rest.extend(wire::ready());
    let mut pieces = vec![(Duration::from_millis(50), wire::description())];
    pieces.extend(rest.chunks(64 << 10).map(|chunk| (pause, chunk.to_vec())));
    pieces
}

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let pause = Duration::from_millis(if stage.trouble { 60 } else { 0 });
    let (log, cut_off) = (Log::default(), CutOff::default());
    let mut entries = Vec::new();
    for (name, is_primary) in [("s-1", true), ("s-2", false), ("s-3", false)] {
        let server = Server {
            name,
            is_primary,
            lag_ms: 10,
            log: Arc::clone(&log),
            record: stage.record.clone(),
            cut_off: Arc::clone(&cut_off),
            behaviour: Arc::new(move |_| Reply::Pieces(pieces(pause))),
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
    for number in 0..REQUESTS {
        let mut client = Client::connect(machine.listen)?;
        let text = read(
            "5a",
            &format!("v{number}"),
            "trip-history",
            "ratna-park",
            750,
            0,
        );
        stage.record.line(format!("client sends v{number}"));
        let answer = client.ask(&text);
        stage
            .record
            .line(format!("client gets for v{number}: {}", answer.text()));
        verdict.checked += 1;
        let is_whole = matches!(answer, Answer::Served(value) if value.len() == VALUE_BYTES);
        // A server notices at its next piece that it was cut off.
        sleep(Duration::from_millis(150));
        let cut_off = cut_off.lock().unwrap_or_else(|e| e.into_inner());
        let was_cut_off = cut_off.iter().any(|id| *id == format!("v{number}"));
        verdict.broken += usize::from(!is_whole && was_cut_off);
    }
    Ok(verdict)
}
