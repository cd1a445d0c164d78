//! The program's subcommands and options, as clap definitions.

use clap::{Arg, ArgAction, Command};
use clap_complete::Shell;

const ABOUT: &str = "A proxy in front of replicated record servers with cost-to-fresh routing";

const ENVIRONMENT: &str = "\
Environment:
  LB_CONFIG     path of the platform's JSON file
  LB_OPERATORS  path of the operators' file; --operators overrides it
  LB_CONTROL    path of the control socket, for drain, undrain, status, sites and rollout; --socket overrides it
  LB_NAME, LB_LISTEN, LB_DISCOVERY
                override the files (on a reload by SIGHUP, the platform's file overrides LB_DISCOVERY)
  RUST_LOG      log filter; overrides the level in the operators' file

Exit codes:
  0  success; the checked file has no errors
  1  the proxy failed while serving; files differ; a file is not in its canonical form
  2  the command line or the configuration is invalid";

/// Actions of the subcommand `rollout`.
const ROLLOUT_ACTIONS: [&str; 5] = ["halt", "return", "status", "resume", "propose"];

/// The definition of the command line.
pub fn command() -> Command {
    Command::new("leverproxy")
        .about(ABOUT)
        .after_help(ENVIRONMENT)
        .subcommand_required(true)
        .arg_required_else_help(false)
        .subcommands([serve(), check(), super::config::command()])
        .subcommands([drain(), undrain(), status(), sites(), rollout()])
        .subcommand(completions())
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

fn serve() -> Command {
    Command::new("serve")
        .about("Run the proxy until SIGTERM; SIGUSR1 prints its counters, SIGHUP rereads both configuration files")
        .arg(operators_option())
}

fn check() -> Command {
    Command::new("check")
        .about("Read the configuration as serve does, and report whether it is valid")
        .arg(operators_option())
}

fn drain() -> Command {
    Command::new("drain")
        .about("Take a running proxy out of service: announce it to the balancers, wait until they have noticed, stop listening")
        .arg(socket_option())
}

fn undrain() -> Command {
    Command::new("undrain")
        .about("Bring a drained proxy back into service")
        .arg(socket_option())
}

fn status() -> Command {
    Command::new("status")
        .about("Print the state of a running proxy")
        .arg(socket_option())
}

fn sites() -> Command {
    Command::new("sites")
        .about("Print the state of each site as a running proxy sees it, where its load would go if it were lost, and which share would be rejected")
        .arg(Arg::new("name").value_name("SITE").help("Print only this site"))
        .arg(socket_option())
}

fn rollout() -> Command {
    let action = Arg::new("word")
        .required(true)
        .value_parser(ROLLOUT_ACTIONS)
        .help("The action");
    let version = Arg::new("version").value_name("HASH|FILE").help(
        "The version, for propose and resume: its hash, or a file from which the hash is computed",
    );
    Command::new("rollout")
        .about(
            "Roll out a new operators' file to the fleet in stages; print the progress, halt the rollout or return to the old file",
        )
        .args([action, version])
        .arg(socket_option())
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print a completion script for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(clap::value_parser!(Shell)),
        )
}

fn operators_option() -> Arg {
    Arg::new("operators")
        .long("operators")
        .value_name("FILE")
        .help("Path of the operators' file; overrides LB_OPERATORS")
}

fn socket_option() -> Arg {
    Arg::new("socket")
        .long("socket")
        .value_name("PATH")
        .help("Path of the proxy's control socket; overrides LB_CONTROL")
}
