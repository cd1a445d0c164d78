//! `proxy-experiments`: experiments on virtual time.

fn main() -> std::process::ExitCode {
    proxy_experiments::cli::main()
}
