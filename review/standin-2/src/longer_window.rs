//! The connection of a write with a key ends long after its commit, and after the time for which its group drops a repeat.

use crate::client::Client;
use crate::discovery::{Discovery, Entry};
use crate::platform::{Machine, Settings, SHORT_WINDOW_MS};
use crate::server::{CutOff, Log, Reply, Server};
use crate::{Stage, Verdict};
use std::io;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const WRITES: usize = 8;
/// Writes of one stand are handled as another class of writes with a key.
const OPERATORS: &str = "route partners {\n    class confirm-ride\n    tenant koteshwor\n    as-class partner-ride\n}\n";

pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let log = Log::default();
    let ended: Arc<Mutex<Vec<String>>> = Arc::default();
    let trouble = stage.trouble;
    let mut entries = Vec::new();
    for (name, is_primary) in [("s-1", true), ("s-2", false), ("s-3", false)] {
        let ended = Arc::clone(&ended);
        let server = Server {
            name,
            is_primary,
            lag_ms: 10,
            log: Arc::clone(&log),
            record: stage.record.clone(),
            cut_off: CutOff::default(),
            behaviour: Arc::new(move |request| {
                let work = Duration::from_millis(if request.is_write { 130 } else { 40 });
                let mut ended = ended.lock().unwrap_or_else(|e| e.into_inner());
                if !trouble || !request.is_write || ended.contains(&request.id) {
                    return Reply::Usual(work);
                }
                ended.push(request.id.clone());
                Reply::EndAfterCommit(work, Duration::from_millis(SHORT_WINDOW_MS + 100))
            }),
        };
        entries.push(Entry::ready(name, server.start()?));
    }
    let discovery = Discovery::start(entries, stage.record.clone())?;
    let settings = Settings {
        keyed: true,
        operators: Some(OPERATORS),
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
    for number in 0..WRITES {
        let repeat_key = format!("5c0f6e1a2b3d{number:04x}");
        let text = format!("INSERT INTO items (id, doc) VALUES ('{number:016x}', '\\x9f03') RETURNING doc /* id=w{number},c=confirm-ride,t=koteshwor,d=3000,k={repeat_key},cluster=0 */");
        let mut client = Client::connect(machine.listen)?;
        stage
            .record
            .line(format!("client sends w{number} with k={repeat_key}"));
        let answer = client.ask(&text);
        stage
            .record
            .line(format!("client gets for w{number}: {}", answer.text()));
        sleep(Duration::from_millis(200));
        let log = log.lock().unwrap_or_else(|e| e.into_inner());
        let commits = log
            .iter()
            .filter(|c| c.repeat_key.as_deref() == Some(&repeat_key))
            .count();
        drop(log);
        let verdict_text = if commits > 1 { "RUN TWICE" } else { "once" };
        stage.record.line(format!(
            "check w{number}: committed {commits} times: {verdict_text}"
        ));
        verdict.checked += 1;
        verdict.broken += usize::from(commits > 1);
    }
    Ok(verdict)
}
