//! The least value at which an aim is missed.

use super::{book, made_up, number, play_cells, seed_range, store, threads, word, End, Result};
use crate::file::Grid;
use clap::ArgMatches;

/// Values tried at the most.
const STEPS: usize = 40;

/// Between a value that meets the aim and one that misses it, the one where that turns. Goodput need not fall evenly,
/// so what is found is a turn, not the only one there may be.
pub fn bisect(with: &ArgMatches) -> Result<End> {
    let book = book(with)?;
    let (aim, within) = (number(with, "aim"), number(with, "within"));
    let key = word(with, "key");
    let (section, directive) = key
        .split_once('.')
        .ok_or_else(|| format!("{key:?} is no key"))?;
    let seeds = seed_range(word(with, "seeds"))?;
    let store = store(with)?;
    let policy = word(with, "policy").to_owned();
    let goodput = |value: f64| -> Result<f64> {
        let key = (section.to_owned(), directive.to_owned());
        let grid = Grid {
            name: "bisect".into(),
            key,
            values: vec![value.to_string()],
        };
        let scenarios = vec![word(with, "scenario").to_owned()];
        let cells = made_up(
            &book,
            scenarios,
            std::slice::from_ref(&policy),
            vec![grid],
            seeds.clone(),
        )?;
        let outcomes = play_cells(&cells, store.as_ref(), threads(with))?;
        let found: Vec<f64> = outcomes.iter().flatten().map(|o| o.goodput).collect();
        let mean = found.iter().sum::<f64>() / found.len().max(1) as f64;
        say!("{key}={value}: goodput {mean:.4}", key = word(with, "key"));
        Ok(mean)
    };
    let (mut good, mut bad) = (number(with, "from"), number(with, "to"));
    if goodput(good)? < aim {
        return Err(format!("the aim of {aim} is missed at {good} already"));
    }
    if goodput(bad)? >= aim {
        return Err(format!("the aim of {aim} is still met at {bad}"));
    }
    let whole = matches!(
        (section, directive),
        ("load", "proxies") | ("fleet", "groups" | "members")
    );
    for _ in 0..STEPS {
        let mut middle = (good + bad) / 2.0;
        if whole {
            middle = middle.round();
        } else {
            // Digits beyond these are noise.
            middle = (middle * 1e3).round() / 1e3;
        }
        if (bad - good).abs() <= within * good.abs().max(1e-9) || middle == good || middle == bad {
            break;
        }
        if goodput(middle)? >= aim {
            good = middle;
        } else {
            bad = middle;
        }
    }
    say!("{policy} meets {aim} at {key} {good}, and misses it at {bad}");
    Ok(End::Done)
}
