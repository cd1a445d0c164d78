//! The command line.

/// A line on standard output. Whoever reads may stop reading: that is no fault of ours.
macro_rules! say {
    ($($part:tt)*) => { crate::cli::say(format!($($part)*)) };
}

mod bisect;
mod gate;
mod hunt;
mod plan;
mod show;
mod trial;

use crate::file::{self, ExperimentFile};
use crate::policy::NAMES;
use crate::run::{cells, run, Progress};
use crate::store::{Cell, Store};
use crate::summary::{rows, Row};
use crate::tally::Outcomes;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;

fn say(text: impl std::fmt::Display) {
    use std::io::Write;
    _ = writeln!(std::io::stdout(), "{text}");
}

/// What a command comes to: done, done with a finding (for scripts), or a message.
pub enum End {
    /// Done, and nothing was found.
    Done,
    /// Done with a finding: the exit code is not 0.
    Found,
}

type Result<T> = std::result::Result<T, String>;

fn file_argument() -> Arg {
    Arg::new("file")
        .long("file")
        .short('f')
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("A file of experiments; the suite that the program brings along, if none is named")
}

fn common(command: Command) -> Command {
    command
        .arg(file_argument())
        .arg(
            Arg::new("threads")
                .long("threads")
                .value_name("N")
                .value_parser(value_parser!(usize))
                .help("Runs at once; one for each core, if not stated"),
        )
        .arg(
            Arg::new("results")
                .long("results")
                .short('r')
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Where runs are kept; what is there is not run again"),
        )
}

fn seeds(default: &'static str) -> Arg {
    Arg::new("seeds")
        .long("seeds")
        .value_name("FROM-TO")
        .default_value(default)
        .help("The seeds")
}

/// The commands of the program.
pub fn command() -> Command {
    let text = |name: &'static str, help: &'static str| Arg::new(name).value_name(name).help(help);
    let option = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    Command::new("proxy-experiments")
        .about("Experiments on virtual time: policies before the model of record servers")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("list").about("Print scenarios, policies and experiments").arg(file_argument()),
        )
        .subcommand(Command::new("check").about("Check a file of experiments").arg(file_argument()))
        .subcommand(Command::new("directives").about("Print the table of directives, in Markdown"))
        .subcommand(
            common(Command::new("run"))
                .about("Run an experiment, and compare its policies")
                .arg(text("experiment", "One experiment; all, if none is named").num_args(0..)),
        )
        .subcommand(
            common(Command::new("compare"))
                .about("Compare two policies on scenarios, by pairs of seeds")
                .arg(text("old", "A policy").required(true))
                .arg(text("new", "Another").required(true))
                .arg(option("scenarios", "NAMES", "Divided by commas; all, if not stated"))
                .arg(seeds("1-8")),
        )
        .subcommand(
            common(Command::new("sweep"))
                .about("Vary one value")
                .arg(option("scenario", "NAME", "The day").required(true))
                .arg(option("policies", "NAMES", "Divided by commas").default_value("module"))
                .arg(
                    option("key", "KEY", "Section and directive, as load.rate, or tuning.room_late")
                        .required(true),
                )
                .arg(option("values", "VALUES", "Divided by commas").required(true))
                .arg(seeds("1-4")),
        )
        .subcommand(
            common(Command::new("bisect"))
                .about("Find the least value at which an aim is missed")
                .arg(option("scenario", "NAME", "The day").required(true))
                .arg(option("policy", "NAME", "Who decides").default_value("module"))
                .arg(option("key", "KEY", "What grows, as load.rate").default_value("load.rate"))
                .arg(
                    option("from", "VALUE", "A value at which the aim is met")
                        .required(true)
                        .value_parser(value_parser!(f64)),
                )
                .arg(
                    option("to", "VALUE", "One at which it is missed")
                        .required(true)
                        .value_parser(value_parser!(f64)),
                )
                .arg(
                    option("aim", "GOODPUT", "The least goodput")
                        .default_value("0.95")
                        .value_parser(value_parser!(f64)),
                )
                .arg(
                    option("within", "PART", "How exactly")
                        .default_value("0.02")
                        .value_parser(value_parser!(f64)),
                )
                .arg(seeds("1-4")),
        )
        .subcommand(
            common(Command::new("hunt"))
                .about("Look for days on which a policy falls furthest behind another, and make them small")
                .arg(option("scenario", "NAME", "The day to begin from").required(true))
                .arg(option("policy", "NAME", "Who is tried").default_value("module"))
                .arg(option("against", "NAME", "Who shows what can be had").default_value("oracle"))
                .arg(
                    option("days", "N", "Days that are drawn")
                        .default_value("100")
                        .value_parser(value_parser!(u64)),
                )
                .arg(option("seed", "N", "Of the search").default_value("1").value_parser(value_parser!(u64)))
                .arg(
                    option("write", "FILE", "Where the day that was found is written")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("plan")
                .about("Find the fewest servers that keep an aim through the loss of a building or a quarter of them")
                .arg(file_argument())
                .arg(
                    Arg::new("threads")
                        .long("threads")
                        .value_name("N")
                        .value_parser(value_parser!(usize))
                        .help("Runs at once; one for each core, if not stated"),
                )
                .arg(option("scenario", "NAME", "Who asks, and what servers are like").required(true))
                .arg(option("policy", "NAME", "Who decides").default_value("module"))
                .arg(
                    option("aim", "GOODPUT", "The least goodput from a loss on")
                        .default_value("0.9")
                        .value_parser(value_parser!(f64)),
                )
                .arg(
                    option("load", "PART", "Of a server's cores, what the first guess lets work take")
                        .default_value("0.8")
                        .value_parser(value_parser!(f64)),
                )
                .arg(seeds("1-2")),
        )
        .subcommand(
            Command::new("report")
                .about("Write the charts and one page of HTML for all experiments of a folder of results")
                .arg(
                    Arg::new("folder")
                        .value_name("FOLDER")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("What --results named"),
                ),
        )
        .subcommand(
            Command::new("replay")
                .about("Play one run and tell all of it")
                .arg(file_argument())
                .arg(text("scenario", "The day").required(true))
                .arg(text("policy", "Who decides").default_value("module"))
                .arg(
                    Arg::new("seed")
                        .value_name("seed")
                        .default_value("1")
                        .value_parser(value_parser!(u64))
                        .help("The seed"),
                ),
        )
        .subcommand(
            Command::new("trial")
                .about("Play one scenario on real sockets, with processes of the proxy itself")
                .arg(text("file", "A file of experiments; the suite that the program brings along, if none is named")
                    .value_parser(value_parser!(PathBuf)))
                .arg(option("scenario", "NAME", "The day; needless where the file has one"))
                .arg(option("seed", "N", "The seed").default_value("1").value_parser(value_parser!(u64)))
                .arg(
                    option("program", "PATH", "The proxy; of several builds each process takes the next in turn")
                        .action(ArgAction::Append)
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(
                    option("logs", "FOLDER", "Where the proxies' logs go, with a line for each answer")
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(
                    Arg::new("beside")
                        .long("beside")
                        .action(ArgAction::SetTrue)
                        .help("Play the same on virtual time, and show both"),
                ),
        )
        .subcommand(
            Command::new("demo")
                .about("Start three proxies and what they serve, and show what troubles do to them")
                .arg(option("for", "TIME", "Ends by itself after this, 20s if not stated")),
        )
        .subcommand(
            common(Command::new("gate"))
                .about("Hold an experiment against a stored baseline")
                .arg(text("experiment", "The experiment").default_value("gate"))
                .arg(
                    option("baseline", "FILE", "The stored baseline")
                        .required(true)
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(
                    option("allow", "PART", "A fall of the score that is no failure")
                        .default_value("0.01")
                        .value_parser(value_parser!(f64)),
                )
                .arg(
                    Arg::new("update")
                        .long("update")
                        .action(ArgAction::SetTrue)
                        .help("Store what was measured as the baseline"),
                ),
        )
}

/// Runs the command that the arguments name.
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let ended = match matches.subcommand() {
        Some(("list", with)) => list(with),
        Some(("check", with)) => book(with).map(|_| End::Done),
        Some(("directives", _)) => {
            say(configuration::schema::markdown_of(crate::table::TABLE, false).trim_end());
            Ok(End::Done)
        }
        Some(("run", with)) => run_experiments(with),
        Some(("compare", with)) => compare(with),
        Some(("sweep", with)) => sweep(with),
        Some(("bisect", with)) => bisect::bisect(with),
        Some(("hunt", with)) => hunt::hunt(with),
        Some(("replay", with)) => replay(with),
        Some(("trial", with)) => trial::trial(with),
        Some(("demo", with)) => trial::demo(with),
        Some(("plan", with)) => plan::plan(with),
        Some(("report", with)) => report(with),
        Some(("gate", with)) => gate::gate(with),
        _ => Err("see proxy-experiments --help".into()),
    };
    match ended {
        Ok(End::Done) => ExitCode::SUCCESS,
        Ok(End::Found) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("{}", message.trim_end());
            ExitCode::from(2)
        }
    }
}

/// Files of the system.
struct Disk;

impl configuration::load::Loader for Disk {
    fn read(&self, path: &Path) -> std::result::Result<Vec<u8>, String> {
        std::fs::read(path).map_err(|e| e.to_string())
    }

    fn identity(&self, path: &Path) -> std::result::Result<PathBuf, String> {
        path.canonicalize().map_err(|e| e.to_string())
    }

    fn names(&self, folder: &Path) -> std::result::Result<Vec<String>, String> {
        let folder = if folder.as_os_str().is_empty() {
            Path::new(".")
        } else {
            folder
        };
        let entries = std::fs::read_dir(folder).map_err(|e| e.to_string())?;
        Ok(entries
            .flatten()
            .map(|entry| entry.file_name().to_string_lossy().into_owned())
            .collect())
    }
}

fn book(with: &ArgMatches) -> Result<ExperimentFile> {
    match with.get_one::<PathBuf>("file") {
        Some(path) => file::read(path, &Disk),
        None => file::suite(),
    }
}

fn threads(with: &ArgMatches) -> usize {
    let cores = || std::thread::available_parallelism().map_or(1, usize::from);
    with.get_one::<usize>("threads")
        .copied()
        .unwrap_or_else(cores)
        .max(1)
}

fn store(with: &ArgMatches) -> Result<Option<Store>> {
    let folder = with.get_one::<PathBuf>("results");
    let opened = folder.map(|f| Store::open(f).map_err(|e| format!("{}: {e}", f.display())));
    opened.transpose()
}

fn word<'a>(with: &'a ArgMatches, name: &str) -> &'a str {
    with.get_one::<String>(name).map_or("", String::as_str)
}

fn words(with: &ArgMatches, name: &str) -> Vec<String> {
    word(with, name)
        .split(',')
        .filter(|w| !w.is_empty())
        .map(|w| w.trim().to_owned())
        .collect()
}

fn number(with: &ArgMatches, name: &str) -> f64 {
    with.get_one::<f64>(name).copied().unwrap_or(0.0)
}

/// `4` or `1-8`.
fn seed_range(text: &str) -> Result<Vec<u64>> {
    let fault = || format!("{text:?} are no seeds like 1-8");
    let (from, to) = text.split_once('-').unwrap_or((text, text));
    let (from, to): (u64, u64) = (
        from.parse().map_err(|_| fault())?,
        to.parse().map_err(|_| fault())?,
    );
    if from > to || to - from >= 100_000 {
        return Err(fault());
    }
    Ok((from..=to).collect())
}

fn list(with: &ArgMatches) -> Result<End> {
    let book = book(with)?;
    for scenario in &book.scenarios {
        let (all, writes) = scenario.loads();
        say!(
            "scenario {}: {} (load {all:.2}, primaries {writes:.2})",
            scenario.name,
            scenario.about
        );
    }
    for player in &book.players {
        say!("policy {}", player.name);
    }
    NAMES.iter().for_each(|(name, _)| say!("policy {name}"));
    for e in &book.experiments {
        say!(
            "experiment {}: {} scenarios, {} policies",
            e.name,
            e.scenarios.len(),
            e.players.len()
        );
    }
    Ok(End::Done)
}

/// Runs cells with a bar on standard error; an error if they were not all reached.
fn play_cells(
    cells: &[Cell],
    store: Option<&Store>,
    threads: usize,
) -> Result<Vec<Option<Outcomes>>> {
    let style = ProgressStyle::with_template("{bar:32} {pos} of {len} runs, {eta} left").ok();
    let bar = ProgressBar::new(cells.len() as u64);
    if let Some(style) = style {
        bar.set_style(style);
    }
    let show = |progress: Progress| bar.set_position(progress.done as u64);
    let outcomes =
        run(cells, store, threads, &AtomicBool::new(false), &show).map_err(|e| e.to_string());
    bar.finish_and_clear();
    outcomes
}

fn run_experiments(with: &ArgMatches) -> Result<End> {
    let book = book(with)?;
    let named: Vec<&String> = with
        .get_many::<String>("experiment")
        .unwrap_or_default()
        .collect();
    for name in &named {
        if !book.experiments.iter().any(|e| e.name == **name) {
            return Err(format!(
                "there is no experiment {name}; see proxy-experiments list"
            ));
        }
    }
    let store = store(with)?;
    let mut broken = false;
    for experiment in &book.experiments {
        if !named.is_empty() && !named.iter().any(|n| **n == experiment.name) {
            continue;
        }
        let cells = cells(&book, experiment)?;
        let outcomes = play_cells(&cells, store.as_ref(), threads(with))?;
        let rows = rows(&cells, &outcomes, &experiment.against);
        say!("\n{}\n", experiment.name);
        show::rows(&rows, &experiment.against);
        broken |= module_broke(&rows);
        if let Some(store) = &store {
            show::write(
                store,
                &experiment.name,
                &experiment.against,
                &cells,
                &outcomes,
                &rows,
            )
            .map_err(|e| e.to_string())?;
        }
    }
    Ok(if broken { End::Found } else { End::Done })
}

/// Baselines may push servers over; the module may not.
fn module_broke(rows: &[Row]) -> bool {
    rows.iter()
        .any(|row| row.policy == "module" && row.rules_broken() > 0)
}

/// Cells of an experiment that no file states.
fn made_up(
    book: &ExperimentFile,
    scenarios: Vec<String>,
    policies: &[String],
    grids: Vec<file::Grid>,
    seeds: Vec<u64>,
) -> Result<Vec<Cell>> {
    let player = |name: &String| {
        book.policy(name)
            .ok_or_else(|| format!("there is no policy {name}"))
    };
    let players = policies.iter().map(player).collect::<Result<Vec<_>>>()?;
    let against = policies.first().cloned().unwrap_or_default();
    let experiment = file::Experiment {
        name: "made-up".into(),
        scenarios,
        players,
        grids,
        seeds,
        against,
    };
    cells(book, &experiment)
}

fn compare(with: &ArgMatches) -> Result<End> {
    let book = book(with)?;
    let mut scenarios = words(with, "scenarios");
    if scenarios.is_empty() {
        scenarios = book.scenarios.iter().map(|s| s.name.clone()).collect();
    }
    let policies = [word(with, "old").to_owned(), word(with, "new").to_owned()];
    let cells = made_up(
        &book,
        scenarios,
        &policies,
        Vec::new(),
        seed_range(word(with, "seeds"))?,
    )?;
    let store = store(with)?;
    let outcomes = play_cells(&cells, store.as_ref(), threads(with))?;
    show::rows(&rows(&cells, &outcomes, &policies[0]), &policies[0]);
    Ok(End::Done)
}

fn sweep(with: &ArgMatches) -> Result<End> {
    let book = book(with)?;
    let key = word(with, "key");
    let (section, directive) = key
        .split_once('.')
        .ok_or_else(|| format!("{key:?} is no key"))?;
    let key = (section.to_owned(), directive.to_owned());
    let grid = file::Grid {
        name: "sweep".into(),
        key,
        values: words(with, "values"),
    };
    let policies = words(with, "policies");
    let scenarios = vec![word(with, "scenario").to_owned()];
    let cells = made_up(
        &book,
        scenarios,
        &policies,
        vec![grid],
        seed_range(word(with, "seeds"))?,
    )?;
    let store = store(with)?;
    let outcomes = play_cells(&cells, store.as_ref(), threads(with))?;
    let against = policies.first().cloned().unwrap_or_default();
    let rows = rows(&cells, &outcomes, &against);
    show::rows(&rows, &against);
    Ok(End::Done)
}

fn report(with: &ArgMatches) -> Result<End> {
    let folder = with
        .get_one::<PathBuf>("folder")
        .cloned()
        .unwrap_or_default();
    let page = crate::report::write(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    say(page.display());
    Ok(End::Done)
}

fn replay(with: &ArgMatches) -> Result<End> {
    let book = book(with)?;
    let scenario = book.varied(word(with, "scenario"), &[])?;
    let name = word(with, "policy");
    let player = book
        .policy(name)
        .ok_or_else(|| format!("there is no policy {name}"))?;
    let seed = with.get_one::<u64>("seed").copied().unwrap_or(1);
    let outcomes = crate::play::play(&scenario, &player.policy, seed);
    show::one(&scenario, &outcomes);
    Ok(End::Done)
}
