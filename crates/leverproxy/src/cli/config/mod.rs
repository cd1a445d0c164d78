//! `leverproxy config`: checks, formats, compares and explains an operators' file before a proxy uses it.

mod commands;
mod error;
mod explain;
mod format;
mod show;

pub(super) use commands::command;
use error::ConfigCommandError;

use super::USAGE_ERROR;
use crate::config::operators_file::{self, classes};
use clap::ArgMatches;
use configuration::diagnostic::{json, render};
use configuration::platform::Platform;
use configuration::{diff, schema, Reading};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

/// Exit code for files that differ or are not in their canonical form.
const DIFFERS: u8 = 1;

/// Runs the given subcommand.
pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    let result = match matches.subcommand() {
        Some(("check", with)) => check_file(with),
        Some(("fmt", with)) => format::format_files(with),
        Some(("diff", with)) => compare_files(with),
        Some(("show", with)) => show::show_values(with),
        Some(("explain", with)) => explain::explain_request(with),
        _ => {
            print(&schema::markdown());
            Ok(ExitCode::SUCCESS)
        }
    };
    result.unwrap_or_else(|error| {
        eprintln!("leverproxy: {error}");
        ExitCode::from(USAGE_ERROR)
    })
}

fn check_file(matches: &ArgMatches) -> Result<ExitCode, ConfigCommandError> {
    let platform = read_platform(matches)?;
    let path = Path::new(text_argument(matches, "file"));
    let reading = operators_file::read(path, platform.as_ref(), true);
    if text_argument(matches, "format") == "json" {
        print(&json(&reading.sources, &reading.diagnostics));
        print("\n");
    } else {
        print(&render(&reading.sources, &reading.diagnostics));
        print(&summary(&reading));
    }
    Ok(if reading.is_valid() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(USAGE_ERROR)
    })
}

fn summary(reading: &Reading) -> String {
    let errors = reading.diagnostics.iter().filter(|d| d.is_error()).count();
    let warnings = reading.diagnostics.len() - errors;
    let files = reading.sources.files().count();
    let routes = reading.model.routes.len();
    match (errors, warnings) {
        (0, 0) => format!("valid: {files} file(s), {routes} route(s)\n"),
        (0, _) => {
            format!("valid, with {warnings} warning(s): {files} file(s), {routes} route(s)\n")
        }
        _ => format!("{errors} error(s), {warnings} warning(s)\n"),
    }
}

fn compare_files(matches: &ArgMatches) -> Result<ExitCode, ConfigCommandError> {
    let platform = read_platform(matches)?;
    let old = read_valid(text_argument(matches, "old"), platform.as_ref())?;
    let new = read_valid(text_argument(matches, "new"), platform.as_ref())?;
    let classes = platform.as_ref().map(classes);
    let difference = diff::diff(&old, &new, classes.as_deref());
    print(&difference.to_string());
    Ok(if difference.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(DIFFERS)
    })
}

/// Reads the platform's bounds from the file that `--platform` or `LB_CONFIG` names; none if neither is set.
fn read_platform(matches: &ArgMatches) -> Result<Option<Platform>, ConfigCommandError> {
    let named = matches.get_one::<String>("platform").cloned();
    let Some(path) = named.or_else(|| std::env::var("LB_CONFIG").ok()) else {
        return Ok(None);
    };
    match std::fs::read(&path) {
        Ok(bytes) => crate::config::platform(&bytes)
            .map(Some)
            .map_err(|source| ConfigCommandError::Platform { path, source }),
        Err(source) => Err(ConfigCommandError::Read { path, source }),
    }
}

/// Reads a file; errors in it fail the command.
fn read_valid(path: &str, platform: Option<&Platform>) -> Result<Reading, ConfigCommandError> {
    let reading = operators_file::read(Path::new(path), platform, false);
    if reading.is_valid() {
        return Ok(reading);
    }
    Err(ConfigCommandError::Invalid {
        path: path.to_owned(),
        report: render(&reading.sources, &reading.diagnostics),
    })
}

/// Writes to standard output. Errors are ignored: the reader may have closed its end.
fn print(text: &str) {
    _ = std::io::stdout().write_all(text.as_bytes());
}

/// The text of an argument; empty if it is not given.
fn text_argument<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}
