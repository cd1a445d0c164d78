//! The command line.

use crate::config::{self, Config, ConfigError};
use crate::proxy::Proxy;
use pico_args::Arguments;
use std::process::ExitCode;

const USAGE: &str = "\
usage: leverproxy COMMAND

  serve     serve until SIGTERM; SIGUSR1 prints the counters, SIGHUP rereads LB_CONFIG
  check     read the configuration and say whether it is sound
  version   print the version
  help      print this

serve and check take the configuration from the file that LB_CONFIG names; LB_NAME, LB_LISTEN and LB_DISCOVERY
override what it says (after SIGHUP the file's word on discovery counts). RUST_LOG sets the log level (info unless set).";

/// Exit code for a wrong command line or configuration.
const MISUSE: u8 = 2;

pub fn main() -> ExitCode {
    crate::logging::start();
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let command = arguments.subcommand();
    let rest = arguments.finish();
    let command = match command {
        Ok(Some(command)) if rest.is_empty() => command,
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(MISUSE);
        }
    };
    match command.as_str() {
        "serve" => serve(),
        "check" => match configuration() {
            Ok(config) => {
                println!("{}: sound; {} record servers known", config.name, config.known.endpoints.len());
                ExitCode::SUCCESS
            }
            Err(error) => misuse(&error),
        },
        "version" => {
            println!("leverproxy {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        "help" => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        other => {
            eprintln!("leverproxy: no command {other:?}\n\n{USAGE}");
            ExitCode::from(MISUSE)
        }
    }
}

fn configuration() -> Result<Config, ConfigError> {
    config::from_env(|name| std::env::var(name).ok())
}

fn misuse(error: &ConfigError) -> ExitCode {
    eprintln!("leverproxy: {error}");
    ExitCode::from(MISUSE)
}

fn serve() -> ExitCode {
    let config = match configuration() {
        Ok(config) => config,
        Err(error) => return misuse(&error),
    };
    let served = Proxy::start(config).and_then(|(mut proxy, control)| {
        proxy.reread_with(|| config::reread(|name| std::env::var(name).ok()));
        control.heed_signals()?;
        let served = proxy.run();
        proxy.report();
        served
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("leverproxy: {error}");
            ExitCode::FAILURE
        }
    }
}
