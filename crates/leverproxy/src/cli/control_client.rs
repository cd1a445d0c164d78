//! The subcommands that send a command to a serving proxy's control socket and print its reply.

use super::USAGE_ERROR;
use clap::ArgMatches;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use std::time::Duration;

/// Time limit for a proxy's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Prefix of replies to failed commands.
const ERROR_PREFIX: &str = "error";

/// Runs `sites`, for the named site or for all.
pub(super) fn sites(matches: &ArgMatches) -> ExitCode {
    let name = matches
        .get_one::<String>("name")
        .map_or(String::new(), |name| format!(" {name}"));
    send(&format!("sites{name}"), matches)
}

/// Runs `rollout`. A file is sent as its hash, which is the same on all hosts.
pub(super) fn rollout(matches: &ArgMatches) -> ExitCode {
    let action = matches.get_one::<String>("word").map_or("", String::as_str);
    let needs_version = matches!(action, "propose" | "resume");
    let version = match matches.get_one::<String>("version") {
        Some(text) if needs_version => match crate::cluster::rollout::resolve_version(text) {
            Ok(hash) => format!(" {hash}"),
            Err(problem) => {
                eprintln!("leverproxy: {problem}");
                return ExitCode::from(USAGE_ERROR);
            }
        },
        None if !needs_version => String::new(),
        _ => {
            eprintln!(
                "leverproxy: rollout: propose and resume require a HASH or a FILE; the other actions accept neither"
            );
            return ExitCode::from(USAGE_ERROR);
        }
    };
    send(&format!("rollout {action}{version}"), matches)
}

/// Sends a command to the proxy that `--socket` or `LB_CONTROL` names, and prints its reply.
pub(super) fn send(command: &str, matches: &ArgMatches) -> ExitCode {
    let stated = matches.get_one::<String>("socket").cloned();
    let Some(path) = stated.or_else(|| std::env::var("LB_CONTROL").ok()) else {
        eprintln!("leverproxy: no control socket is given; use --socket PATH or set LB_CONTROL");
        return ExitCode::from(USAGE_ERROR);
    };
    match exchange(&path, command) {
        Ok(reply) => {
            print!("{reply}");
            if reply.starts_with(ERROR_PREFIX) {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            }
        }
        Err(error) => {
            eprintln!("leverproxy: {path}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Sends one command and reads the whole reply, which ends when the proxy closes the connection.
fn exchange(path: &str, command: &str) -> io::Result<String> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    Ok(reply)
}
