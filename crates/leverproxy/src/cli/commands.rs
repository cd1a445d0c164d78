//! The program's subcommands and options, as clap takes them.

use clap::{Arg, ArgAction, Command};
use clap_complete::Shell;

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

/// What the rollout subcommand can ask of the fleet.
const ROLLOUT_ACTIONS: [&str; 5] = ["halt", "return", "status", "resume", "propose"];

/// The whole command line.
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
        .about("Serve until SIGTERM; SIGUSR1 prints the counters, SIGHUP rereads both files")
        .arg(operators_option())
}

fn check() -> Command {
    Command::new("check")
        .about("Read the configuration as serve would, and say whether it is sound")
        .arg(operators_option())
}

fn drain() -> Command {
    Command::new("drain")
        .about("Take a serving proxy out of service: tell the balancers, wait for them, stop listening")
        .arg(socket_option())
}

fn undrain() -> Command {
    Command::new("undrain")
        .about("Bring a drained proxy back")
        .arg(socket_option())
}

fn status() -> Command {
    Command::new("status")
        .about("Print how a serving proxy fares")
        .arg(socket_option())
}

fn sites() -> Command {
    Command::new("sites")
        .about("Print what a serving proxy knows of each site, where its load would go and what would be refused")
        .arg(Arg::new("name").value_name("SITE").help("Only this one"))
        .arg(socket_option())
}

fn rollout() -> Command {
    let action = Arg::new("word")
        .required(true)
        .value_parser(ROLLOUT_ACTIONS)
        .help("What is to be done");
    let version = Arg::new("version")
        .value_name("HASH|FILE")
        .help("For propose and resume: which");
    Command::new("rollout")
        .about(
            "Bring a new operators' file to the fleet in stages, see how it fares, halt it or take it back",
        )
        .args([action, version])
        .arg(socket_option())
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print completions for a shell")
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
        .help("The operators' file, in place of LB_OPERATORS")
}

fn socket_option() -> Arg {
    Arg::new("socket")
        .long("socket")
        .value_name("PATH")
        .help("The proxy's control socket, in place of LB_CONTROL")
}
