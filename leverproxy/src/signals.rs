//! Signals as bytes on a socket that the reactor can wait on.

use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Stop,
    /// Print the counters.
    Report,
}

pub struct Signals {
    wake: UnixStream,
    stop: Arc<AtomicBool>,
    report: Arc<AtomicBool>,
}

impl Signals {
    pub fn register() -> io::Result<Signals> {
        let (wake, write) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        let (stop, report) = (Arc::default(), Arc::default());
        for (signal, flag) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGUSR1, &report)] {
            // The flag first: it is set when the byte wakes the loop.
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, write.try_clone()?)?;
        }
        Ok(Signals { wake, stop, report })
    }

    pub fn take(&mut self) -> Vec<Signal> {
        let mut bytes = [0; 64];
        while matches!(self.wake.read(&mut bytes), Ok(n) if n > 0) {}
        let mut signals = Vec::new();
        for (flag, signal) in [(&self.stop, Signal::Stop), (&self.report, Signal::Report)] {
            if flag.swap(false, Ordering::SeqCst) {
                signals.push(signal);
            }
        }
        signals
    }
}

impl AsFd for Signals {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.wake.as_fd()
    }
}
