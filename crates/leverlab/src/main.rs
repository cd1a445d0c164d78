//! `leverlab`: experiments on virtual time.

use clap::{value_parser, Arg, ArgMatches, Command};
use leverlab::compare::{paired, runs};
use leverlab::policy::{Name, NAMES};
use leverlab::scenario::{all, Scenario};
use std::process::ExitCode;
use std::time::Instant;

fn command() -> Command {
    let seeds = Arg::new("seeds")
        .long("seeds")
        .value_name("N")
        .default_value("8")
        .value_parser(value_parser!(u64).range(1..=100_000));
    let scenario = Arg::new("scenario").value_name("SCENARIO").help("One scenario; all, if none is named");
    Command::new("leverlab")
        .about("Experiments on virtual time: policies before the model of record servers")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Print the scenarios and the policies"))
        .subcommand(
            Command::new("run")
                .about("Run every policy on a scenario, and compare the module with each")
                .arg(scenario)
                .arg(seeds),
        )
}

fn main() -> ExitCode {
    match command().get_matches().subcommand() {
        Some(("list", _)) => {
            all().iter().for_each(|s| println!("scenario {}: {}", s.name, s.about));
            NAMES.iter().for_each(|(name, _)| println!("policy {name}"));
            ExitCode::SUCCESS
        }
        Some(("run", with)) => run(with),
        _ => ExitCode::from(2),
    }
}

fn run(with: &ArgMatches) -> ExitCode {
    let named = with.get_one::<String>("scenario");
    let chosen: Vec<Scenario> = all().into_iter().filter(|s| named.is_none_or(|n| n == s.name)).collect();
    if chosen.is_empty() {
        eprintln!("leverlab: there is no such scenario; see leverlab list");
        return ExitCode::from(2);
    }
    let seeds: Vec<u64> = (1..=with.get_one::<u64>("seeds").copied().unwrap_or(8)).collect();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    for scenario in &chosen {
        println!("\n{}: {} ({} seeds)\n", scenario.name, scenario.about, seeds.len());
        println!("| policy | goodput | module less this, 95% | verdict | attempts a request | probes a request | rules broken |");
        println!("| --- | --- | --- | --- | --- | --- | --- |");
        let module: Vec<f64> =
            runs(scenario, Name::Module, &seeds, threads).iter().map(|o| o.goodput).collect();
        for (name, policy) in NAMES {
            let start = Instant::now();
            let outcomes = runs(scenario, policy, &seeds, threads);
            let goodput: Vec<f64> = outcomes.iter().map(|o| o.goodput).collect();
            let asked = outcomes.iter().map(|o| o.asked).sum::<u64>().max(1) as f64;
            let total =
                |of: fn(&leverlab::fleet::Outcomes) -> u64| outcomes.iter().map(of).sum::<u64>() as f64;
            let broken: u64 = outcomes.iter().flat_map(|o| o.broken.values()).sum();
            let (difference, verdict) = match paired(&goodput, &module).filter(|_| policy != Name::Module) {
                Some(d) => {
                    (format!("{:+.4} [{:+.4}, {:+.4}]", d.mean, d.low, d.high), format!("{:?}", d.verdict()))
                }
                None => ("-".into(), "-".into()),
            };
            println!(
                "| {name} | {:.4} | {difference} | {verdict} | {:.2} | {:.3} | {broken} |",
                goodput.iter().sum::<f64>() / goodput.len().max(1) as f64,
                total(|o| o.attempts) / asked,
                total(|o| o.probes) / asked,
            );
            eprintln!("{name}: {:.0} requests a second of wall time", asked / start.elapsed().as_secs_f64());
        }
    }
    ExitCode::SUCCESS
}
