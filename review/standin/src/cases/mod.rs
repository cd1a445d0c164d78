//! The cases: those with a folder of their own (`copies`, `flood`, `held-back`), and further plays that the report names.

mod copies;
mod cut_off;
mod drain_in_upgrade;
mod exclude;
mod flood;
mod held_back;
mod late_restart;
mod left_writer;
mod slow_reader;

use crate::{Play, Verdict};
use std::io;

pub fn play(case: &str, play: &Play) -> io::Result<Verdict> {
    match case {
        "copies" => copies::play(play),
        "flood" => flood::play(play),
        "held-back" => held_back::play(play),
        "exclude" => exclude::play(play),
        "drain-in-upgrade" => drain_in_upgrade::play(play),
        "late-restart" => late_restart::play(play),
        "left-writer" => left_writer::play(play),
        "cut-off" => cut_off::play(play),
        "slow-reader" => slow_reader::play(play),
        _ => Err(io::Error::other("no such case")),
    }
}
