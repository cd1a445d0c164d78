//! `leverproxy config`: what an operator does with a file before it is served by.

use super::MISUSE;
use crate::config::operators_file::{self, classes};
use crate::config::ConfigError;
use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use configuration::calendar::Moment;
use configuration::diagnostic::{json, render};
use configuration::model::{entries, Origin};
use configuration::platform::Platform;
use configuration::route::Request;
use configuration::source::Sources;
use configuration::{diff, explain, format, schema, Reading};
use std::io::Write;
use std::net::IpAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Exit code for files that differ or are not in their canonical form.
const DIFFERS: u8 = 1;

fn file(name: &'static str) -> Arg {
    Arg::new(name).value_name("FILE").required(true)
}

fn platform_option() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("JSON")
        .help("The platform's file to hold it against; LB_CONFIG, if that is set")
}

pub fn command() -> Command {
    let check = Command::new("check")
        .about("Report all faults of an operators' file")
        .arg(file("file"))
        .arg(platform_option())
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(PossibleValuesParser::new(["text", "json"]))
                .default_value("text"),
        );
    let fmt = Command::new("fmt")
        .about("Bring files into their canonical form")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .num_args(1..),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only say which are not in it"),
        );
    let diff = Command::new("diff")
        .about("Say what behaves otherwise under the new file")
        .arg(file("old"))
        .arg(file("new"))
        .arg(platform_option());
    let show = Command::new("show")
        .about("Print every value that counts, with where it comes from")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("The operators' file, in place of LB_OPERATORS"),
        )
        .arg(
            Arg::new("effective")
                .long("effective")
                .action(ArgAction::SetTrue)
                .help("With the platform's values and the environment's, as serve would take them"),
        );
    let explain = Command::new("explain")
        .about("Print the routes that a request is held against, and what becomes of it")
        .arg(file("file"))
        .arg(Arg::new("request").long("request").value_name("KEY=VALUE,..").required(true).help(
            "class, tenant, group, network (the client's address), at (local time) and, last, statement",
        ));
    let directives =
        Command::new("directives").about("Print the table of all directives, in Markdown");
    Command::new("config")
        .about("Check, format, compare and explain operators' files")
        .subcommand_required(true)
        .subcommands([check, fmt, diff, show, explain, directives])
}

pub fn run(matches: &ArgMatches) -> ExitCode {
    let done = match matches.subcommand() {
        Some(("check", with)) => check(with),
        Some(("fmt", with)) => fmt(with),
        Some(("diff", with)) => difference(with),
        Some(("show", with)) => show(with),
        Some(("explain", with)) => explained(with),
        _ => {
            say(&schema::markdown());
            Ok(ExitCode::SUCCESS)
        }
    };
    done.unwrap_or_else(|problem| {
        eprintln!("leverproxy: {problem}");
        ExitCode::from(MISUSE)
    })
}

/// A reader that has gone is no fault of ours.
fn say(text: &str) {
    _ = std::io::stdout().write_all(text.as_bytes());
}

fn text<'a>(with: &'a ArgMatches, name: &str) -> &'a str {
    with.get_one::<String>(name).map_or("", String::as_str)
}

fn platform(with: &ArgMatches) -> Result<Option<Platform>, String> {
    let named = with.get_one::<String>("platform").cloned();
    let Some(path) = named.or_else(|| std::env::var("LB_CONFIG").ok()) else {
        return Ok(None);
    };
    let bytes = std::fs::read(&path).map_err(|e| format!("{path} cannot be read: {e}"))?;
    crate::config::platform(&bytes)
        .map(Some)
        .map_err(|error| format!("{path}: {error}"))
}

fn check(with: &ArgMatches) -> Result<ExitCode, String> {
    let platform = platform(with)?;
    let reading = operators_file::read(Path::new(text(with, "file")), platform.as_ref(), true);
    if text(with, "format") == "json" {
        say(&json(&reading.sources, &reading.diagnostics));
        say("\n");
    } else {
        say(&render(&reading.sources, &reading.diagnostics));
        let errors = reading.diagnostics.iter().filter(|d| d.is_error()).count();
        let warnings = reading.diagnostics.len() - errors;
        let files = reading.sources.files().count();
        let routes = reading.model.routes.len();
        say(&match (errors, warnings) {
            (0, 0) => format!("sound: {files} file(s), {routes} route(s)\n"),
            (0, _) => {
                format!("sound, with {warnings} warning(s): {files} file(s), {routes} route(s)\n")
            }
            _ => format!("{errors} error(s), {warnings} warning(s)\n"),
        });
    }
    Ok(if reading.is_valid() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(MISUSE)
    })
}

fn fmt(with: &ArgMatches) -> Result<ExitCode, String> {
    let mut differ = false;
    for path in with.get_many::<String>("files").into_iter().flatten() {
        let bytes = std::fs::read(path).map_err(|e| format!("{path} cannot be read: {e}"))?;
        let old = String::from_utf8(bytes).map_err(|_| format!("{path} is no UTF-8 text"))?;
        let new = format::format(&old).ok_or_else(|| {
            format!("{path} can't be read as a configuration and stays as it is; see leverproxy config check {path}")
        })?;
        if old == new {
            continue;
        }
        differ = true;
        if with.get_flag("check") {
            say(&format!("{path} is not in its canonical form\n"));
        } else {
            replace(Path::new(path), &new).map_err(|e| format!("{path} cannot be written: {e}"))?;
        }
    }
    Ok(if differ && with.get_flag("check") {
        ExitCode::from(DIFFERS)
    } else {
        ExitCode::SUCCESS
    })
}

/// Whoever reads the file meanwhile finds the old text or the new, never half of it.
fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let path = path.canonicalize()?;
    let name = path
        .file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let draft = path.with_file_name(format!(".{name}.{}", std::process::id()));
    let written = std::fs::File::create_new(&draft).and_then(|mut file| {
        file.write_all(text.as_bytes())?;
        file.set_permissions(std::fs::metadata(&path)?.permissions())?;
        file.sync_all()?;
        std::fs::rename(&draft, &path)
    });
    if written.is_err() {
        _ = std::fs::remove_file(&draft);
    }
    written
}

/// A file that is sound, or its faults.
fn sound(path: &str, platform: Option<&Platform>) -> Result<Reading, String> {
    let reading = operators_file::read(Path::new(path), platform, false);
    if reading.is_valid() {
        Ok(reading)
    } else {
        Err(format!(
            "{path} is faulty\n{}",
            render(&reading.sources, &reading.diagnostics)
        ))
    }
}

fn difference(with: &ArgMatches) -> Result<ExitCode, String> {
    let platform = platform(with)?;
    let (old, new) = (
        sound(text(with, "old"), platform.as_ref())?,
        sound(text(with, "new"), platform.as_ref())?,
    );
    let classes = platform.as_ref().map(classes);
    let found = diff::diff(&old, &new, classes.as_deref());
    say(&found.to_string());
    Ok(if found.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(DIFFERS)
    })
}

fn origin(origin: &Origin, sources: &Sources) -> String {
    match origin {
        Origin::Default => "default".into(),
        Origin::File(span) => sources.place(*span).to_string(),
        Origin::Platform(key) => format!("platform: {key}"),
        Origin::Environment(name) => format!("environment: {name}"),
    }
}

fn show(with: &ArgMatches) -> Result<ExitCode, String> {
    let path = with.get_one::<String>("file").cloned();
    let variable = |name: &str| match name {
        "LB_OPERATORS" if path.is_some() => path.clone(),
        _ => std::env::var(name).ok(),
    };
    let (entries, sources) = if with.get_flag("effective") {
        crate::config::effective(variable).map_err(|error: ConfigError| error.to_string())?
    } else {
        let path = variable("LB_OPERATORS").ok_or("no operators' file is named")?;
        let reading = sound(&path, None)?;
        (entries(&reading.sections), reading.sources)
    };
    let lines: Vec<(String, String)> = entries
        .iter()
        .map(|e| {
            (
                format!("{}: {} {}", e.section, e.directive, e.value),
                origin(&e.origin, &sources),
            )
        })
        .collect();
    let width = lines
        .iter()
        .map(|(what, _)| what.chars().count())
        .filter(|w| *w <= 60)
        .max()
        .unwrap_or(0);
    for (what, from) in lines {
        say(&format!("{what:width$}  # {from}\n"));
    }
    Ok(ExitCode::SUCCESS)
}

fn explained(with: &ArgMatches) -> Result<ExitCode, String> {
    let reading = sound(text(with, "file"), None)?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let (mut class, mut tenant, mut group, mut statement) = ("", "", 0, "");
    let mut client = IpAddr::from([127, 0, 0, 1]);
    let mut at = Moment::from_unix(now);
    let mut rest = text(with, "request");
    while !rest.is_empty() {
        let (pair, behind) = match rest.strip_prefix("statement=") {
            // A statement may hold commas: it is all that is left.
            Some(_) => (rest, ""),
            None => rest.split_once(',').unwrap_or((rest, "")),
        };
        let (key, value) = pair
            .split_once('=')
            .ok_or_else(|| format!("{pair:?} is no key=value"))?;
        let faulty = || format!("{key}={value} can't be read");
        match key.trim() {
            "class" => class = value,
            "tenant" => tenant = value,
            "group" => group = value.parse().map_err(|_| faulty())?,
            "network" => client = value.parse().map_err(|_| faulty())?,
            "at" => at = Moment::parse(value, reading.model.offset).ok_or_else(faulty)?,
            "statement" => statement = value,
            _ => {
                return Err(format!(
                    "{key:?} is not one of class, tenant, group, network, at, statement"
                ))
            }
        }
        rest = behind;
    }
    let request = Request {
        class,
        tenant,
        group,
        statement: statement.as_bytes(),
        client,
        at,
    };
    say(&explain::text(&reading.model, &reading.sources, &request));
    Ok(ExitCode::SUCCESS)
}
