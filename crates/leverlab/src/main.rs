//! `leverlab`: experiments on virtual time.

fn main() -> std::process::ExitCode {
    leverlab::cli::main()
}
