//! The program in a process of its own.

use super::{Listener, Peer, TempFile, SETTINGS};
use rustix::process::{kill_process, waitpid, Pid, Signal, WaitOptions};
use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Operators' directives that tolerate a late event loop: tests share the machine.
const RELAXED_LAG_DIRECTIVES: &str = "availability {\n lag 1s\n}\n";

/// The program in a process of its own, started as the platform does, with a scripted discovery.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    pub watch: Peer,
    file: PathBuf,
    /// The operators' file.
    pub operators: TempFile,
    log: Lines<BufReader<ChildStderr>>,
}

impl Program {
    /// `shell_prefix` is put before the command that starts the program in a shell.
    pub fn start(shell_prefix: &str) -> Program {
        Program::with_operators_file(shell_prefix, "")
    }

    /// With an operators' file.
    pub fn with_operators_file(shell_prefix: &str, operators: &str) -> Program {
        let operators = TempFile::new(&format!("{operators}\n{RELAXED_LAG_DIRECTIVES}"));
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let discovery = Listener::new();
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let file =
            std::env::temp_dir().join(format!("leverproxy-{}-{number}.json", std::process::id()));
        configure(&file, "");
        let mut child = Command::new("/bin/sh")
            .args([
                "-c",
                &format!(
                    "{shell_prefix} exec {} serve",
                    env!("CARGO_BIN_EXE_leverproxy")
                ),
            ])
            .env("LB_CONFIG", &file)
            .env("LB_OPERATORS", &operators.0)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env("LB_DISCOVERY", discovery.address.to_string())
            .env_remove("RUST_LOG")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        // The signal handlers are installed before the event loop first calls discovery.
        let mut watch = discovery.accept();
        watch.accept_watch();
        let mut program = Program {
            child,
            address: discovery.address,
            watch,
            file,
            operators,
            log,
        };
        let line = program.wait_for_log_line("serving on ");
        program.address = line.rsplit(' ').next().unwrap().parse().unwrap();
        program
    }

    /// Replaces the configuration, with `keys` before the settings, and sends SIGHUP.
    pub fn reload(&self, keys: &str) {
        configure(&self.file, keys);
        self.signal(Signal::HUP);
    }

    /// Replaces the configuration by `text` and sends SIGHUP.
    pub fn reload_text(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal(Signal::HUP);
    }

    /// Replaces the operators' file and sends SIGHUP.
    pub fn reload_operators_file(&self, operators: &str) {
        self.operators
            .write(&format!("{operators}\n{RELAXED_LAG_DIRECTIVES}"));
        self.signal(Signal::HUP);
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Sends SIGSTOP and returns once the program has stopped: all events until SIGCONT arrive as one batch.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        let stopped = waitpid(Some(Pid::from_child(&self.child)), WaitOptions::UNTRACED).unwrap();
        assert!(stopped.is_some_and(|(_, status)| status.stopped()));
    }

    /// Remaining lines of the log until the program ends.
    pub fn remaining_log(&mut self) -> Vec<String> {
        self.log.by_ref().map(Result::unwrap).collect()
    }

    /// Waits for the next line of the log that contains `text`.
    pub fn wait_for_log_line(&mut self, text: &str) -> String {
        self.log
            .by_ref()
            .map(Result::unwrap)
            .find(|line| line.contains(text))
            .expect(text)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.file);
    }
}

fn configure(file: &Path, keys: &str) {
    std::fs::write(file, format!(r#"{{{keys}"settings":{SETTINGS}}}"#)).unwrap();
}
