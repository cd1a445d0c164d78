use std::process::ExitCode;

fn main() -> ExitCode {
    leverproxy::cli::main()
}
