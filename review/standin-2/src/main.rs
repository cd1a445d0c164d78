//! Plays one case of the second review: `standin-2 CASE FOLDER`, from the repository's root.
//!
//! Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod client;
mod commands_in_memory;
mod discovery;
mod long_ids;
mod longer_window;
mod platform;
mod record;
mod server;
mod sessions;
mod slow_value;
mod upgrade_forgets;
mod wire;

use record::Record;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// What a case needs to run.
pub struct Stage {
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// How often the rule was broken, and out of how many checks.
pub struct Verdict {
    pub broken: usize,
    pub checked: usize,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin-2 CASE FOLDER");
        exit(2);
    };
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            exit(2);
        }
    };
    // The limit of a case, with time to spare.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        eprintln!("the case did not end in time");
        platform::kill_all();
        exit(2);
    });
    let stage = Stage {
        root: std::env::current_dir().unwrap_or_default(),
        record: record.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.line(format!(
        "case {case}, with the disruption: {}",
        stage.trouble
    ));
    let play = || match case.as_str() {
        "upgrade-forgets" => upgrade_forgets::play(&stage),
        "commands-in-memory" => commands_in_memory::play(&stage),
        "long-ids" => long_ids::play(&stage),
        "longer-window" => longer_window::play(&stage),
        "slow-value" => slow_value::play(&stage),
        _ => Err(std::io::Error::other("no such case")),
    };
    let played = catch_unwind(AssertUnwindSafe(play));
    let played = played.unwrap_or_else(|_| Err(std::io::Error::other("the stand-ins failed")));
    let (text, code) = match played {
        Ok(Verdict { checked: 0, .. }) => ("nothing was checked".to_owned(), 2),
        Ok(Verdict { broken: 0, checked }) => (format!("the rule held in {checked} checks"), 0),
        Ok(Verdict { broken, checked }) => (
            format!("the rule was BROKEN in {broken} of {checked} checks"),
            1,
        ),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    exit(code);
}
