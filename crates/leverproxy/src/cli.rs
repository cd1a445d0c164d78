//! The command line.

pub mod config;

use crate::config::{Config, ConfigError};
use crate::control;
use crate::proxy::Proxy;
use clap::{Arg, ArgAction, ArgMatches, Command};
use clap_complete::Shell;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;

/// Exit code for a wrong command line or configuration.
const MISUSE: u8 = 2;

const ABOUT: &str = "A proxy before replicated record servers with cost-to-fresh routing";

const ENVIRONMENT: &str = "\
Environment:
  LB_CONFIG     the platform's JSON file
  LB_OPERATORS  the operators' file, unless --operators names it
  LB_CONTROL    the control socket, for drain, undrain, status, sites and rollout
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
    let socket = || {
        Arg::new("socket")
            .long("socket")
            .value_name("PATH")
            .help("The proxy's control socket, in place of LB_CONTROL")
    };
    let drain = Command::new("drain")
        .about("Take a serving proxy out of service: tell the balancers, wait for them, stop listening")
        .arg(socket());
    let undrain = Command::new("undrain")
        .about("Bring a drained proxy back")
        .arg(socket());
    let status = Command::new("status")
        .about("Print how a serving proxy fares")
        .arg(socket());
    let sites = Command::new("sites")
        .about("Print what a serving proxy knows of each site, where its load would go and what would be refused")
        .arg(Arg::new("name").value_name("SITE").help("Only this one"))
        .arg(socket());
    let words = ["halt", "return", "status", "resume", "propose"];
    let rollout = Command::new("rollout")
        .about(
            "Bring a new operators' file to the fleet in stages, see how it fares, halt it or take it back",
        )
        .arg(Arg::new("word").required(true).value_parser(words).help("What is to be done"))
        .arg(Arg::new("version").value_name("HASH|FILE").help("For propose and resume: which"))
        .arg(socket());
    let completions = Command::new("completions")
        .about("Print completions for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(clap::value_parser!(Shell)),
        );
    Command::new("leverproxy")
        .about(ABOUT)
        .after_help(ENVIRONMENT)
        .subcommand_required(true)
        .arg_required_else_help(false)
        .subcommand(serve)
        .subcommand(check)
        .subcommand(config::command())
        .subcommands([drain, undrain, status, sites, rollout])
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
    crate::observability::logging::start();
    let arguments: Vec<std::ffi::OsString> = std::env::args_os().collect();
    // A program of few words asked for its version need not be told that it has sub-commands.
    if arguments.len() == 2 && (arguments[1] == "-V" || arguments[1] == "--version") {
        return version();
    }
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            _ = error.print();
            return if error.use_stderr() {
                ExitCode::from(MISUSE)
            } else {
                ExitCode::SUCCESS
            };
        }
    };
    match matches.subcommand() {
        Some(("serve", with)) => serve(variables(with)),
        Some(("check", with)) => check(variables(with)),
        Some(("config", with)) => config::run(with),
        Some((word @ ("drain" | "undrain" | "status"), with)) => tell(word, with),
        Some(("sites", with)) => {
            let name = with
                .get_one::<String>("name")
                .map_or(String::new(), |name| format!(" {name}"));
            tell(&format!("sites{name}"), with)
        }
        Some(("rollout", with)) => roll(with),
        Some(("completions", with)) => {
            if let Some(shell) = with.get_one::<Shell>("shell") {
                clap_complete::generate(
                    *shell,
                    &mut command(),
                    "leverproxy",
                    &mut std::io::stdout(),
                );
            }
            ExitCode::SUCCESS
        }
        _ => version(),
    }
}

/// A word for the fleet; a file is told by its hash, which is the same on all hosts.
fn roll(with: &ArgMatches) -> ExitCode {
    let word = with.get_one::<String>("word").map_or("", String::as_str);
    let needs = matches!(word, "propose" | "resume");
    let version = match with.get_one::<String>("version") {
        Some(text) if needs => match crate::cluster::rollout::version(text) {
            Ok(hash) => format!(" {hash}"),
            Err(problem) => {
                eprintln!("leverproxy: {problem}");
                return ExitCode::from(MISUSE);
            }
        },
        None if !needs => String::new(),
        _ => {
            eprintln!(
                "leverproxy: propose and resume need a HASH or a FILE, the other words need none"
            );
            return ExitCode::from(MISUSE);
        }
    };
    tell(&format!("rollout {word}{version}"), with)
}

/// A serving proxy answers within this, or something is wrong with it.
const ANSWER_TIME: std::time::Duration = std::time::Duration::from_secs(5);

/// Says a word to a serving proxy and prints its answer.
fn tell(word: &str, with: &ArgMatches) -> ExitCode {
    let stated = with.get_one::<String>("socket").cloned();
    let Some(path) = stated.or_else(|| std::env::var("LB_CONTROL").ok()) else {
        eprintln!("leverproxy: no control socket is named (--socket or LB_CONTROL)");
        return ExitCode::from(MISUSE);
    };
    let said = UnixStream::connect(&path).and_then(|mut stream| {
        stream.set_read_timeout(Some(ANSWER_TIME))?;
        stream.write_all(format!("{word}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    });
    match said {
        Ok(answer) => {
            print!("{answer}");
            if answer.starts_with("error") {
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
    eprintln!(
        "leverproxy: configuration: {}: {}",
        error.key, error.problem
    );
    error.faults.iter().for_each(|fault| eprintln!("  {fault}"));
    ExitCode::from(MISUSE)
}

fn check(variable: impl Fn(&str) -> Option<String>) -> ExitCode {
    match crate::config::from_env(variable) {
        Ok(Config {
            name, known, rules, ..
        }) => {
            let routes = match rules.actions.len() {
                0 => String::new(),
                n => format!(", {n} routes"),
            };
            println!(
                "{name}: sound; {} record servers known{routes}",
                known.endpoints.len()
            );
            ExitCode::SUCCESS
        }
        Err(error) => misuse(&error),
    }
}

fn serve(variable: impl Fn(&str) -> Option<String> + Clone + Send + 'static) -> ExitCode {
    // Signals first: one that comes while the configuration is read must not end the process.
    let channel = control::channel().and_then(|(control, commands)| {
        control.install_signal_handlers()?;
        Ok((control, commands))
    });
    let (_control, commands) = match channel {
        Ok(channel) => channel,
        Err(error) => {
            eprintln!("leverproxy: signals can't be heeded: {error}");
            return ExitCode::FAILURE;
        }
    };
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
    let whole = config.required_keys.clone();
    let mut proxy = match Proxy::start_with_commands(config, commands) {
        Ok(started) => started,
        Err(error) => {
            // An address that is taken or not of this machine, most of all: nothing has been served.
            eprintln!("leverproxy: {error}");
            return ExitCode::from(MISUSE);
        }
    };
    let served = proxy
        .reread_with(move |operators| {
            // A version of a rollout stands in the place of the operators' file.
            let with = |name: &str| match operators {
                Some(path) if name == "LB_OPERATORS" => Some(path.display().to_string()),
                _ => variable(name),
            };
            crate::config::reread(with, &whole)
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
