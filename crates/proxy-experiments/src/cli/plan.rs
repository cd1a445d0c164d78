//! The planner's command.

use super::{book, number, seed_range, threads, word, End, Result};
use crate::plan::{in_place, plan as make, Aims, NoPlan};
use clap::ArgMatches;

pub fn plan(with: &ArgMatches) -> Result<End> {
    let book = book(with)?;
    let scenario = book.varied(word(with, "scenario"), &[])?;
    let name = word(with, "policy");
    let player = book
        .policy(name)
        .ok_or_else(|| format!("there is no policy {name}"))?;
    let aims = Aims {
        goodput: number(with, "aim"),
        load: number(with, "load"),
        seeds: seed_range(word(with, "seeds"))?,
        policy: player.policy,
        most: 64,
    };
    let found = match make(&scenario, &aims, threads(with), &|line| eprintln!("{line}")) {
        Ok(plan) => plan,
        Err(NoPlan(why)) => {
            say!("no plan: {why}");
            return Ok(End::Found);
        }
    };
    let places = scenario.site.places.max(1);
    say!(
        "{}: {} servers for {:.0} requests a second (by work alone {}), after {} plans played\n",
        scenario.name,
        found.servers(),
        scenario.clients.requests_per_s,
        found.guess.iter().sum::<usize>(),
        found.played
    );
    let mut out = super::show::table(&["group", "servers", "by building", "with one fewer"]);
    for (group, size) in found.sizes.iter().enumerate() {
        let split: Vec<String> = (0..places)
            .map(|p| in_place(*size, p, places).to_string())
            .collect();
        let binding = match &found.binding[group] {
            Some((loss, goodput)) => format!("{goodput:.4} with {loss}"),
            None => "a group has two at least".into(),
        };
        out.add_row([
            group.to_string(),
            size.to_string(),
            split.join(" + "),
            binding,
        ]);
    }
    super::say(format!("{out}\n"));
    let mut out = super::show::table(&[
        "loss",
        "goodput after it",
        "worst group",
        "its goodput, whole run",
    ]);
    for judged in &found.judged {
        let least = judged.groups.iter().copied().fold(1.0, f64::min);
        let group = judged.groups.iter().position(|g| *g == least).unwrap_or(0);
        out.add_row([
            judged.loss.to_string(),
            format!("{:.4}", judged.goodput),
            group.to_string(),
            format!("{least:.4}"),
        ]);
    }
    super::say(out);
    Ok(End::Done)
}
