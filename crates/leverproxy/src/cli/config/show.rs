//! `leverproxy config show`: prints every value with its origin.

use super::{print, read_valid, ConfigCommandError};
use clap::ArgMatches;
use configuration::model::{entries, Entry, Origin};
use configuration::source::Sources;
use std::process::ExitCode;

/// Maximum width, in characters, to which settings are padded; longer settings do not move the column of origins.
const MAX_ALIGNED_WIDTH: usize = 60;

pub(super) fn show_values(matches: &ArgMatches) -> Result<ExitCode, ConfigCommandError> {
    let path = matches.get_one::<String>("file").cloned();
    let variable = |name: &str| match name {
        "LB_OPERATORS" if path.is_some() => path.clone(),
        _ => std::env::var(name).ok(),
    };
    let (entries, sources) = if matches.get_flag("effective") {
        crate::config::effective(variable)?
    } else {
        let path = variable("LB_OPERATORS").ok_or(ConfigCommandError::NoOperatorsFile)?;
        let reading = read_valid(&path, None)?;
        (entries(&reading.sections), reading.sources)
    };
    print_aligned(&entries, &sources);
    Ok(ExitCode::SUCCESS)
}

fn print_aligned(entries: &[Entry], sources: &Sources) {
    let settings: Vec<String> = entries
        .iter()
        .map(|e| format!("{}: {} {}", e.section, e.directive, e.value))
        .collect();
    let width = settings
        .iter()
        .map(|setting| setting.chars().count())
        .filter(|w| *w <= MAX_ALIGNED_WIDTH)
        .max()
        .unwrap_or(0);
    for (setting, entry) in settings.iter().zip(entries) {
        let origin = describe_origin(&entry.origin, sources);
        print(&format!("{setting:width$}  # {origin}\n"));
    }
}

fn describe_origin(origin: &Origin, sources: &Sources) -> String {
    match origin {
        Origin::Default => "default".into(),
        Origin::File(span) => sources.place(*span).to_string(),
        Origin::Platform(key) => format!("platform: {key}"),
        Origin::Environment(name) => format!("environment: {name}"),
    }
}
