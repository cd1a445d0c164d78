//! Trials on real processes, and the demonstration.

use super::{book, word, End, Result};
use crate::file::{self, ExperimentFile};
use crate::policy::{Name, Policy};
use crate::scenario::Scenario;
use crate::trial;
use clap::ArgMatches;
use comfy_table::{presets, Table};
use server_model::site::Status;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use testbed::history::Outcomes;
use testbed::{Setup, Testbed};

/// What the demonstration plays.
const DEMO: &str = include_str!("../../../../lab/demo.conf");

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN).set_header(head);
    table
}

fn chosen(book: &ExperimentFile, name: &str) -> Result<Scenario> {
    match (name, book.scenarios.as_slice()) {
        ("", [only]) => Ok(only.clone()),
        ("", all) => {
            let names: Vec<&str> = all.iter().map(|s| s.name.as_str()).collect();
            Err(format!(
                "--scenario is missing: there are {}",
                names.join(", ")
            ))
        }
        (name, _) => book.varied(name, &[]),
    }
}

pub fn trial(with: &ArgMatches) -> Result<End> {
    let book = book(with)?;
    let scenario = chosen(&book, word(with, "scenario"))?;
    let seed = with.get_one::<u64>("seed").copied().unwrap_or(1);
    let programs: Vec<PathBuf> = with
        .get_many::<PathBuf>("program")
        .unwrap_or_default()
        .cloned()
        .collect();
    let logs = with.get_one::<PathBuf>("logs").cloned();
    if let Some(folder) = &logs {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    let adjust = |setup: &mut Setup| {
        setup.logs = logs;
        if !programs.is_empty() {
            setup.programs = programs;
        }
    };
    let mut told = false;
    let out = trial::trial(&scenario, seed, adjust, |testbed, marks| {
        if !std::mem::replace(&mut told, true) {
            for (n, proxy) in testbed.proxies.iter().enumerate() {
                let number = proxy.process.as_ref().map_or(0, |p| p.number());
                eprintln!("proxy {n}: process {number}");
            }
        }
        marks
            .iter()
            .for_each(|mark| eprintln!("{:>6.1} s: {mark}", testbed.history.now() as f64 / 1e6));
    });
    let out = out.map_err(|fault| fault.to_string())?;
    summary(&scenario, &out);
    if with.get_flag("beside") {
        beside(&scenario, seed, &out);
    }
    verdict(&out)
}

fn millis(micros: u64) -> String {
    format!("{:.0}", micros as f64 / 1e3)
}

fn part(earned: f64, worth: f64) -> f64 {
    if worth > 0.0 {
        earned / worth
    } else {
        1.0
    }
}

fn summary(scenario: &Scenario, out: &Outcomes) {
    let mut rows = table(&[
        "class", "asked", "served", "refused", "failed", "left", "goodput", "p50 ms", "p99 ms",
    ]);
    for ((kind, book), took) in scenario
        .clients
        .classes
        .iter()
        .zip(&out.accounts)
        .zip(&out.latencies)
    {
        let counts = [
            book.requests,
            book.served,
            book.rejected,
            book.failed,
            book.abandoned,
        ]
        .map(|n| n.to_string());
        let mut row = vec![kind.name.clone()];
        row.extend(counts);
        row.push(format!("{:.3}", part(book.earned, book.priority_weight)));
        row.extend([0.5, 0.99].map(|q| millis(took.value_at_quantile(q))));
        rows.add_row(row);
    }
    say!("{rows}");
    let asked = out.accounts.iter().map(|b| b.requests).sum::<u64>().max(1) as f64;
    let (attempts, probes) = (out.attempts as f64 / asked, out.probes as f64 / asked);
    let dials = out.dials as f64 / asked;
    say!("attempts {attempts:.2}, probes {probes:.3} and dials {dials:.3} a request; {} tries died with a proxy, {} sent once more", out.gone, out.crossed);
    let (met, busiest) = out.spread();
    say!("a proxy met {met:.1} servers; the busiest server got {busiest:.2} times the mean");
}

/// The same day on virtual time.
fn beside(scenario: &Scenario, seed: u64, out: &Outcomes) {
    let lab = crate::play::play(scenario, &Policy::of(Name::Module), seed);
    let mut rows = table(&[
        "class",
        "goodput, rig",
        "goodput, virtual",
        "difference",
        "p99 ms, rig",
        "p99 ms, virtual",
    ]);
    for (at, kind) in scenario.clients.classes.iter().enumerate() {
        let book = &out.accounts[at];
        let (here, there) = (
            part(book.earned, book.priority_weight),
            lab.kinds[at].goodput().unwrap_or(1.0),
        );
        let far = lab.latencies[at]
            .open()
            .map_or(0, |h| h.value_at_quantile(0.99));
        let (name, near) = (kind.name.clone(), out.latencies[at].value_at_quantile(0.99));
        let figures = [here, there, here - there].map(|figure| format!("{figure:.3}"));
        rows.add_row(
            [
                vec![name],
                figures.to_vec(),
                vec![millis(near), millis(far)],
            ]
            .concat(),
        );
    }
    say!("{rows}");
}

fn verdict(out: &Outcomes) -> Result<End> {
    for (rule, times) in &out.broken {
        say!("rule broken: {rule:?}, {times} times");
    }
    for (rule, id, proxy, at) in &out.found {
        say!(
            "  {rule:?}: id={id:016x} at proxy {proxy}, {:.3} s",
            *at as f64 / 1e6
        );
    }
    match out.goodput() {
        Some(goodput) => say!(
            "goodput {goodput:.3}; the rig was {:.1} ms late (99th percentile)",
            out.late().as_secs_f64() * 1e3
        ),
        None => {
            let (late, most) = (out.late(), testbed::history::LATE);
            return Err(format!(
                "the rig was itself {late:?} late (99th percentile, {most:?} at most): it claims no goodput"
            ));
        }
    }
    Ok(if out.broken.is_empty() {
        End::Done
    } else {
        End::Found
    })
}

pub fn demo(with: &ArgMatches) -> Result<End> {
    let files = configuration::load::MemoryFiles::from([("demo.conf", DEMO)]);
    let mut scenario = chosen(&file::read(Path::new("demo.conf"), &files)?, "")?;
    let length = word(with, "for");
    if !length.is_empty() {
        let change = file::Change {
            section: "scenario".into(),
            directive: "length".into(),
            value: length.into(),
        };
        scenario = file::read(Path::new("demo.conf"), &files)?.varied(&scenario.name, &[change])?;
    }
    say!("{}", scenario.about);
    let live = std::io::stdout().is_terminal();
    let mut last = Vec::new();
    let mut news: Vec<String> = Vec::new();
    let out = trial::trial(
        &scenario,
        1,
        |_| {},
        |testbed, marks| {
            let at = testbed.history.now() as f64 / 1e6;
            for mark in marks {
                if !live {
                    say!("{at:>6.1} s: {mark}");
                }
                news.push(format!("{at:>6.1} s: {mark}"));
            }
            if live {
                // The screen anew, from its top.
                say!(
                    "\x1b[2J\x1b[H{at:.1} s\n{}",
                    screen(&scenario, testbed, &mut last)
                );
                news.iter()
                    .rev()
                    .take(6)
                    .rev()
                    .for_each(|line| say!("{line}"));
            }
        },
    );
    let out = out.map_err(|fault| fault.to_string())?;
    summary(&scenario, &out);
    verdict(&out)
}

/// Proxies, classes and servers as they are now; rates since the last look.
fn screen(scenario: &Scenario, testbed: &Testbed, last: &mut Vec<u64>) -> String {
    let books = testbed.history.accounts();
    let inner = testbed.history.lock();
    let mut now = Vec::new();
    let mut proxies = table(&[
        "proxy",
        "process",
        "sent on a second",
        "connections of clients",
    ]);
    for (n, proxy) in testbed.proxies.iter().enumerate() {
        let sent: u64 = inner
            .reached
            .iter()
            .filter(|((p, _), _)| *p == n)
            .map(|(_, n)| n)
            .sum();
        let since = sent - last.get(n).copied().unwrap_or(0);
        let state = if proxy.process.is_some() {
            "serves"
        } else {
            "killed"
        };
        now.push(sent);
        let connections = proxy.clients.connections().to_string();
        proxies.add_row([
            format!("n{n}"),
            state.into(),
            (since * 2).to_string(),
            connections,
        ]);
    }
    *last = now;
    let mut classes = table(&["class", "asked", "served", "refused", "failed", "goodput"]);
    for (kind, book) in scenario.clients.classes.iter().zip(&books) {
        let counts =
            [book.requests, book.served, book.rejected, book.failed].map(|n| n.to_string());
        let goodput = format!("{:.3}", part(book.earned, book.priority_weight));
        classes.add_row([vec![kind.name.clone()], counts.to_vec(), vec![goodput]].concat());
    }
    let mut servers = table(&["server", "group", "building", "state", "holds"]);
    for server in inner.site.servers() {
        let state = match (inner.site.status(server), inner.site.is_primary(server)) {
            (Status::Gone, _) => "dead",
            (Status::Draining, _) => "drains",
            (Status::Ready, _) if !inner.site.answers(server) => "hangs",
            (Status::Ready, true) => "primary",
            (Status::Ready, false) => "replica",
        };
        let (group, place) = (inner.site.group(server), inner.site.place(server));
        let cells = [
            server.to_string(),
            group.to_string(),
            place.to_string(),
            state.into(),
            inner.site.held(server).to_string(),
        ];
        servers.add_row(cells);
    }
    format!("{proxies}\n\n{classes}\n\n{servers}")
}
