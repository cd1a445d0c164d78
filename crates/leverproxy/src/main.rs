//! The program: see the library's `cli` module.

use std::process::ExitCode;

fn main() -> ExitCode {
    leverproxy::cli::main()
}
