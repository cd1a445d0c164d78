//! The program `leverproxy`, implemented by the library's module `cli`.

use std::process::ExitCode;

fn main() -> ExitCode {
    leverproxy::cli::main()
}
