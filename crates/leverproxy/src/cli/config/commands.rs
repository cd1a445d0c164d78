//! The subcommands of `leverproxy config`, as clap takes them.

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
        )
}

fn diff() -> Command {
    Command::new("diff")
        .about("Say what behaves otherwise under the new file")
        .arg(file_argument("old"))
        .arg(file_argument("new"))
        .arg(platform_option())
}

fn show() -> Command {
    Command::new("show")
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
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Print the routes that a request is held against, and what becomes of it")
        .arg(file_argument("file"))
        .arg(Arg::new("request").long("request").value_name("KEY=VALUE,..").required(true).help(
            "class, tenant, group, network (the client's address), at (local time) and, last, statement",
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
        .help("The platform's file to hold it against; LB_CONFIG, if that is set")
}
