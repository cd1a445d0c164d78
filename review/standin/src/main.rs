//! Stand-ins and the course of the review's cases. `review-standin CASE RECORD` plays one case from the repository's
//! root; it exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod client;
mod discovery;
mod link;
mod proxy;
mod record;
mod server;
mod site;
mod sys;
mod wire;

use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Longest run of a case.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

/// Where and how a case is played.
pub struct Play {
    /// The repository's root.
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD");
        exit(2);
    };
    let Ok(record) = Record::create(record) else {
        eprintln!("{record} can't be written");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let play = Play {
        root: std::env::current_dir().unwrap_or_default(),
        record: record.clone(),
        trouble,
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        proxy::end_all();
        exit(2);
    });
    record.line(format!("case {case}, trouble: {trouble}"));
    let result = cases::play(case, &play);
    proxy::end_all();
    let code = match result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(error) => {
            record.line(format!("the case couldn't run: {error}"));
            eprintln!("the case couldn't run: {error}");
            2
        }
    };
    record.line(format!("exit code {code}"));
    println!("case {case}, trouble: {trouble}: exit code {code}");
    exit(code);
}
