//! Where log lines go: standard error, but never at the price of waiting for whoever reads it.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::os::fd::AsFd;

/// A pipe that is ready takes this much without waiting.
const AT_ONCE: usize = 4_096;

/// Writes what its descriptor takes at once and drops the rest: the one thread serves clients, and a log that
/// nobody reads must not stop it.
#[derive(Debug)]
pub struct NeverWaits<W>(pub W);

impl<W: Write + AsFd> Write for NeverWaits<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.chunks(AT_ONCE) {
            let mut watched = [PollFd::new(&self.0, PollFlags::OUT)];
            let ready = poll(&mut watched, Some(&Timespec::default()));
            if !matches!(ready, Ok(n) if n > 0) || self.0.write_all(part).is_err() {
                break;
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

pub fn start() {
    let level = env_logger::Env::default().default_filter_or("info");
    let target = env_logger::Target::Pipe(Box::new(NeverWaits(io::stderr())));
    env_logger::Builder::from_env(level).target(target).init();
}

/// A text for whoever asked for it, at any log level.
pub fn say(text: &str) {
    _ = NeverWaits(io::stderr()).write_all(format!("{text}\n").as_bytes());
}
