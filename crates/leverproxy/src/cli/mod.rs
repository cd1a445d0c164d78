//! The command line: parses the arguments and runs the subcommand.

mod commands;
mod config;
mod control_client;
mod serve;
mod start_clock;

pub use commands::command;

use clap::ArgMatches;
use clap_complete::Shell;
use std::ffi::OsString;
use std::process::ExitCode;

/// Exit code for an invalid command line or configuration.
const USAGE_ERROR: u8 = 2;

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    crate::observability::logging::init();
    let arguments: Vec<OsString> = std::env::args_os().collect();
    // Handled before clap, which would print its help because the subcommand is missing.
    if arguments.len() == 2 && (arguments[1] == "-V" || arguments[1] == "--version") {
        return version();
    }
    match command().try_get_matches_from(arguments) {
        Ok(matches) => run(&matches),
        Err(error) => {
            _ = error.print();
            if error.use_stderr() {
                ExitCode::from(USAGE_ERROR)
            } else {
                ExitCode::SUCCESS
            }
        }
    }
}

fn run(matches: &ArgMatches) -> ExitCode {
    match matches.subcommand() {
        Some(("serve", with)) => serve::serve(with),
        Some(("check", with)) => serve::check(with),
        Some(("config", with)) => config::run(with),
        Some((command @ ("drain" | "undrain" | "status"), with)) => {
            control_client::send(command, with)
        }
        Some(("sites", with)) => control_client::sites(with),
        Some(("rollout", with)) => control_client::rollout(with),
        Some(("completions", with)) => completions(with),
        _ => version(),
    }
}

fn completions(matches: &ArgMatches) -> ExitCode {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "leverproxy", &mut std::io::stdout());
    }
    ExitCode::SUCCESS
}

fn version() -> ExitCode {
    println!("leverproxy {}", env!("CARGO_PKG_VERSION"));
    ExitCode::SUCCESS
}
