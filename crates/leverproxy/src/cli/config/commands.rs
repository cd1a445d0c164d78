//! The subcommands of `leverproxy config`, as clap definitions.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command};

/// `leverproxy config` with its subcommands.
pub(in crate::cli) fn command() -> Command {
    Command::new("config")
        .about("Check, format, compare and explain operators' files")
        .subcommand_required(true)
        .subcommands([check(), fmt(), diff(), show(), explain(), directives()])
}

fn check() -> Command {
    Command::new("check")
        .about("Report all faults of an operators' file")
        .arg(file_argument("file"))
        .arg(platform_option())
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(PossibleValuesParser::new(["text", "json"]))
                .default_value("text"),
        )
}

fn fmt() -> Command {
    Command::new("fmt")
        .about("Rewrite files in their canonical form")
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
                .help("Only list the files that are not in canonical form; change nothing"),
        )
}

fn diff() -> Command {
    Command::new("diff")
        .about("Print how the proxy's behaviour differs between the old and the new file")
        .arg(file_argument("old"))
        .arg(file_argument("new"))
        .arg(platform_option())
}

fn show() -> Command {
    Command::new("show")
        .about("Print every value in force, with its origin")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Path of the operators' file; overrides LB_OPERATORS"),
        )
        .arg(
            Arg::new("effective")
                .long("effective")
                .action(ArgAction::SetTrue)
                .help("Include values from the platform's file and the environment, as serve uses them"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Print the routes that a request is checked against, and the outcome")
        .arg(file_argument("file"))
        .arg(Arg::new("request").long("request").value_name("KEY=VALUE,..").required(true).help(
            "The request; its keys are class, tenant, group, network (the client's address), at (local time) and statement, which must be last",
        ))
}

fn directives() -> Command {
    Command::new("directives").about("Print the table of all directives, in Markdown")
}

fn file_argument(name: &'static str) -> Arg {
    Arg::new(name).value_name("FILE").required(true)
}

fn platform_option() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("JSON")
        .help("The platform's file whose bounds to check against; the default is LB_CONFIG, if set")
}
