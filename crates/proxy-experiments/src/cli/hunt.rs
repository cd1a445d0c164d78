//! The search for days on which a policy falls furthest behind another.

use super::{book, threads, word, End, Result};
use crate::hunt::{hunt as search, Found, Hunt};
use clap::ArgMatches;
use std::path::PathBuf;

pub fn hunt(with: &ArgMatches) -> Result<End> {
    let book = book(with)?;
    let scenario = book.varied(word(with, "scenario"), &[])?;
    let policy = |name: &str| {
        book.policy(name)
            .ok_or_else(|| format!("there is no policy {name}"))
    };
    let number = |name: &str| with.get_one::<u64>(name).copied().unwrap_or(1);
    let set = Hunt {
        scenario,
        policy: policy(word(with, "policy"))?.policy,
        against: policy(word(with, "against"))?.policy,
        days: number("days"),
        seed: number("seed"),
        threads: threads(with),
    };
    let Some(Found { worst, small, text }) = search(&set, &|line| eprintln!("{line}")) else {
        say!("no day was found on which it falls behind");
        return Ok(End::Done);
    };
    say!("worst: {worst}\nmade small: {small}\n\n{text}");
    if let Some(path) = with.get_one::<PathBuf>("write") {
        std::fs::write(path, &text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(End::Found)
}
