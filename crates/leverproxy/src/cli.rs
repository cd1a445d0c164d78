//! The command line.

pub mod config;

use crate::config::{Config, ConfigError};
use crate::proxy::Proxy;
use clap::{Arg, ArgAction, ArgMatches, Command};
use clap_complete::Shell;
use std::process::ExitCode;

/// Exit code for a wrong command line or configuration.
const MISUSE: u8 = 2;

const ABOUT: &str =
    "A proxy before replicated record servers that routes each request by mountshift's decisions";

const ENVIRONMENT: &str = "\
Environment:
  LB_CONFIG     the platform's JSON file
  LB_OPERATORS  the operators' file, unless --operators names it
  LB_NAME, LB_LISTEN, LB_DISCOVERY
                override what the files say (after SIGHUP the platform's file counts over LB_DISCOVERY)
  RUST_LOG      what is logged; counts over the level of the operators' file

Exit codes:
  0  done, or nothing to say against a file
  1  the proxy failed while it served; files differ; a file is not in its canonical form
  2  the command line or the configuration is faulty";

fn operators() -> Arg {
    Arg::new("operators")
        .long("operators")
        .value_name("FILE")
        .help("The operators' file, in place of LB_OPERATORS")
}

pub fn command() -> Command {
    let serve = Command::new("serve")
        .about("Serve until SIGTERM; SIGUSR1 prints the counters, SIGHUP rereads both files")
        .arg(operators());
    let check = Command::new("check")
        .about("Read the configuration as serve would, and say whether it is sound")
        .arg(operators());
    let completions = Command::new("completions")
        .about("Print completions for a shell")
        .arg(Arg::new("shell").required(true).value_parser(clap::value_parser!(Shell)));
    Command::new("leverproxy")
        .about(ABOUT)
        .after_help(ENVIRONMENT)
        .subcommand_required(true)
        .arg_required_else_help(false)
        .subcommand(serve)
        .subcommand(check)
        .subcommand(config::command())
        .subcommand(completions)
        .subcommand(Command::new("version").about("Print the version"))
        .arg(
            Arg::new("version")
                .short('V')
                .long("version")
                .action(ArgAction::SetTrue)
                .exclusive(true)
                .help("Print the version"),
        )
}

pub fn main() -> ExitCode {
    crate::logging::start();
    let arguments: Vec<std::ffi::OsString> = std::env::args_os().collect();
    // A program of few words asked for its version need not be told that it has sub-commands.
    if arguments.len() == 2 && (arguments[1] == "-V" || arguments[1] == "--version") {
        return version();
    }
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            _ = error.print();
            return if error.use_stderr() { ExitCode::from(MISUSE) } else { ExitCode::SUCCESS };
        }
    };
    match matches.subcommand() {
        Some(("serve", with)) => serve(variables(with)),
        Some(("check", with)) => check(variables(with)),
        Some(("config", with)) => config::run(with),
        Some(("completions", with)) => {
            if let Some(shell) = with.get_one::<Shell>("shell") {
                clap_complete::generate(*shell, &mut command(), "leverproxy", &mut std::io::stdout());
            }
            ExitCode::SUCCESS
        }
        _ => version(),
    }
}

fn version() -> ExitCode {
    println!("leverproxy {}", env!("CARGO_PKG_VERSION"));
    ExitCode::SUCCESS
}

/// The environment, with what the command line says over it.
fn variables(with: &ArgMatches) -> impl Fn(&str) -> Option<String> + Clone + Send + 'static {
    let operators = with.get_one::<String>("operators").cloned();
    move |name| match name {
        "LB_OPERATORS" if operators.is_some() => operators.clone(),
        _ => std::env::var(name).ok(),
    }
}

fn misuse(error: &ConfigError) -> ExitCode {
    eprintln!("leverproxy: configuration: {}: {}", error.key, error.problem);
    error.faults.iter().for_each(|fault| eprintln!("  {fault}"));
    ExitCode::from(MISUSE)
}

fn check(variable: impl Fn(&str) -> Option<String>) -> ExitCode {
    match crate::config::from_env(variable) {
        Ok(Config { name, known, rules, .. }) => {
            let routes = match rules.rulings.len() {
                0 => String::new(),
                n => format!(", {n} routes"),
            };
            println!("{name}: sound; {} record servers known{routes}", known.endpoints.len());
            ExitCode::SUCCESS
        }
        Err(error) => misuse(&error),
    }
}

fn serve(variable: impl Fn(&str) -> Option<String> + Clone + Send + 'static) -> ExitCode {
    // Read on a thread that ends: what reading needed for a while is then there for reloads, and not lost to the
    // serving thread's memory.
    let read = {
        let variable = variable.clone();
        std::thread::spawn(move || crate::config::from_env(variable)).join()
    };
    let config = match read {
        Ok(Ok(config)) => config,
        Ok(Err(error)) => return misuse(&error),
        Err(_) => return ExitCode::FAILURE,
    };
    let served = Proxy::start(config).and_then(|(mut proxy, control)| {
        proxy.reread_with(move || crate::config::reread(&variable))?;
        control.heed_signals()?;
        let served = proxy.run();
        proxy.report();
        served
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("leverproxy: {error}");
            ExitCode::FAILURE
        }
    }
}
