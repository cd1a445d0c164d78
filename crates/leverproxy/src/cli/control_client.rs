//! The subcommands that send a command to a serving proxy's control socket and print its reply.

use super::USAGE_ERROR;
use clap::ArgMatches;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use std::time::Duration;

/// A serving proxy replies within this, or something is wrong with it.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Replies to failed commands begin with this.
const ERROR_PREFIX: &str = "error";

/// `sites`, of one site or of all.
pub(super) fn sites(matches: &ArgMatches) -> ExitCode {
    let name = matches
        .get_one::<String>("name")
        .map_or(String::new(), |name| format!(" {name}"));
    send(&format!("sites{name}"), matches)
}

/// `rollout`. A file is named by its hash, which is the same on all hosts.
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
                "leverproxy: propose and resume need a HASH or a FILE, the other words need none"
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
        eprintln!("leverproxy: no control socket is named (--socket or LB_CONTROL)");
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

/// One command and its whole reply: the proxy closes the connection behind it.
fn exchange(path: &str, command: &str) -> io::Result<String> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    Ok(reply)
}
