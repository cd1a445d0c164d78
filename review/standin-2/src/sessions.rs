//! A group of record servers as usual, and whether a session's read sees what the session has written.

use crate::client::Answer;
use crate::discovery::Entry;
use crate::server::{CutOff, Log, Reply, Server};
use crate::Stage;
use std::io;
use std::sync::Arc;
use std::time::Duration;

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
