//! Stand-ins and tests of the review: `review-standin-3 CASE RECORD` plays a case from the repository's root and writes
//! the record. `TROUBLE=0` plays it without the disruption.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod broken_value;
mod client;
mod copied_id;
mod discovery;
mod proxy;
mod record;
mod role_in_large;
mod server;
mod settings;
mod wire;

use record::Record;
use std::panic;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Longest time of a run.
const LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
    CannotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-standin-3 CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.note(format!("case {case}, trouble: {trouble}"));
    let verdict = play(case.clone(), trouble, record.clone());
    proxy::end_all();
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(how) => (1, format!("the rule was broken: {how}")),
        Verdict::CannotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    record.note(&text);
    println!("{case}: {text}");
    if std::fs::write(path, record.text()).is_err() {
        exit(2);
    }
    exit(code);
}

/// Plays a case on a thread of its own. The processes that it started end with it.
fn play(case: String, trouble: bool, record: Record) -> Verdict {
    let run = thread::spawn(move || match case.as_str() {
        "broken-value" => broken_value::run(trouble, &record),
        "role-in-large" => role_in_large::run(trouble, &record),
        "copied-id" => copied_id::run(trouble, &record),
        other => Verdict::CannotRun(format!("there is no case {other}")),
    });
    let started = std::time::Instant::now();
    while !run.is_finished() {
        if started.elapsed() > LIMIT {
            return Verdict::CannotRun("it took too long".into());
        }
        thread::sleep(Duration::from_millis(20));
    }
    run.join()
        .unwrap_or_else(|fault: Box<dyn std::any::Any + Send>| {
            _ = panic::take_hook();
            let text = fault.downcast_ref::<String>().cloned().unwrap_or_default();
            Verdict::CannotRun(format!("the test failed: {text}"))
        })
}
