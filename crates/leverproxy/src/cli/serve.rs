//! `leverproxy serve` and `leverproxy check`: both read the complete configuration; `serve` then runs the proxy.

use super::start_clock::StartClock;
use super::USAGE_ERROR;
use crate::config::{Config, ConfigError};
use crate::control::{self, CommandReceiver, Control};
use crate::proxy::Proxy;
use clap::ArgMatches;
use std::io;
use std::process::ExitCode;

/// Reads the configuration as `serve` does and prints a summary of it.
pub(super) fn check(matches: &ArgMatches) -> ExitCode {
    match crate::config::from_env(environment(matches)) {
        Ok(config) => {
            print_summary(&config);
            ExitCode::SUCCESS
        }
        Err(error) => report_invalid(&error),
    }
}

fn print_summary(config: &Config) {
    let routes = match config.rules.actions.len() {
        0 => String::new(),
        n => format!(", {n} routes"),
    };
    println!(
        "{}: configuration is valid; {} record servers known{routes}",
        config.name,
        config.known.endpoints.len()
    );
}

/// Serves until SIGTERM.
pub(super) fn serve(matches: &ArgMatches) -> ExitCode {
    let variable = environment(matches);
    // Before the configuration is read: a signal that arrives meanwhile must not kill the process.
    let (_control, commands) = match handle_signals() {
        Ok(channel) => channel,
        Err(error) => {
            eprintln!("leverproxy: signal handlers cannot be installed: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut start = StartClock::begin("reading the configuration");
    let config = match read_on_own_thread(variable.clone()) {
        Some(Ok(config)) => config,
        Some(Err(error)) => return report_invalid(&error),
        None => return ExitCode::FAILURE,
    };
    let required_keys = config.required_keys.clone();
    start.enter("taking over, listening and loading the endpoint list");
    let mut proxy = match Proxy::start_with_commands(config, commands) {
        Ok(proxy) => proxy,
        Err(error) => {
            // No request was served. The usual cause is a listen address that is in use or does not belong to this machine.
            eprintln!("leverproxy: {error}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    start.finish();
    let served = proxy
        .set_configuration_source(move |operators_file| {
            // A rollout's candidate replaces the operators' file.
            let with_candidate = |name: &str| match operators_file {
                Some(path) if name == "LB_OPERATORS" => Some(path.display().to_string()),
                _ => variable(name),
            };
            crate::config::reread(with_candidate, &required_keys)
        })
        .and_then(|()| proxy.run());
    proxy.report();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("leverproxy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn handle_signals() -> io::Result<(Control, CommandReceiver)> {
    let (control, commands) = control::channel()?;
    control.install_signal_handlers()?;
    Ok((control, commands))
}

/// Reads the configuration on a temporary thread, so that the allocator can reuse the memory needed for it in reloads and
/// does not keep it for the serving thread. None if the thread panicked.
fn read_on_own_thread(
    variable: impl Fn(&str) -> Option<String> + Send + 'static,
) -> Option<Result<Config, ConfigError>> {
    std::thread::spawn(move || crate::config::from_env(variable))
        .join()
        .ok()
}

/// Looks up environment variables; options of the command line override them.
fn environment(matches: &ArgMatches) -> impl Fn(&str) -> Option<String> + Clone + Send + 'static {
    let operators = matches.get_one::<String>("operators").cloned();
    move |name| match name {
        "LB_OPERATORS" if operators.is_some() => operators.clone(),
        _ => std::env::var(name).ok(),
    }
}

fn report_invalid(error: &ConfigError) -> ExitCode {
    eprintln!(
        "leverproxy: configuration: {}: {}",
        error.key, error.problem
    );
    error.faults.iter().for_each(|fault| eprintln!("  {fault}"));
    ExitCode::from(USAGE_ERROR)
}
