//! Words from outside to a running proxy: from an embedding program by [`Control`], or by signals.

pub mod admin;
pub mod control_socket;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[derive(Debug, Default)]
struct Wishes {
    stop: Arc<AtomicBool>,
    report: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

/// Tells a proxy to stop, to report or to reread its configuration, from any thread.
#[derive(Debug)]
pub struct Control {
    wishes: Arc<Wishes>,
    wake: UnixStream,
}

impl Control {
    /// Answer what has been taken, then end.
    pub fn stop(&self) {
        self.wish(&self.wishes.stop);
    }

    /// Print the counters.
    pub fn report(&self) {
        self.wish(&self.wishes.report);
    }

    /// Read the configuration again (see `Proxy::reread_with`).
    pub fn reload(&self) {
        self.wish(&self.wishes.reload);
    }

    fn wish(&self, flag: &AtomicBool) {
        flag.store(true, Ordering::SeqCst);
        // A full socket wakes the loop as well as one more byte would.
        _ = (&self.wake).write(&[1]);
    }

    /// SIGTERM and SIGINT stop the proxy, SIGUSR1 makes it report, SIGHUP reread its configuration.
    pub fn heed_signals(&self) -> io::Result<()> {
        let Wishes {
            stop,
            report,
            reload,
        } = &*self.wishes;
        for (signal, flag) in [
            (SIGTERM, stop),
            (SIGINT, stop),
            (SIGUSR1, report),
            (SIGHUP, reload),
        ] {
            // The flag first: it is set when the byte wakes the loop.
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, self.wake.try_clone()?)?;
        }
        Ok(())
    }
}

/// The proxy's end.
#[derive(Debug)]
pub struct Listener {
    wishes: Arc<Wishes>,
    wake: UnixStream,
    /// Wakes the loop, from another thread of the proxy's own.
    waker: UnixStream,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    Stop,
    Report,
    Reload,
}

pub fn pair() -> io::Result<(Control, Listener)> {
    let (near, far) = UnixStream::pair()?;
    near.set_nonblocking(true)?;
    far.set_nonblocking(true)?;
    let wishes = Arc::new(Wishes::default());
    let waker = far.try_clone()?;
    Ok((
        Control {
            wishes: Arc::clone(&wishes),
            wake: far,
        },
        Listener {
            wishes,
            wake: near,
            waker,
        },
    ))
}

impl Listener {
    /// What wakes the loop when a byte is written to it.
    pub fn waker(&self) -> io::Result<UnixStream> {
        self.waker.try_clone()
    }

    pub fn take(&mut self) -> Vec<Wish> {
        let mut bytes = [0; 64];
        while matches!(self.wake.read(&mut bytes), Ok(n) if n > 0) {}
        let mut wishes = Vec::new();
        let Wishes {
            stop,
            report,
            reload,
        } = &*self.wishes;
        for (flag, wish) in [
            (stop, Wish::Stop),
            (report, Wish::Report),
            (reload, Wish::Reload),
        ] {
            if flag.swap(false, Ordering::SeqCst) {
                wishes.push(wish);
            }
        }
        wishes
    }
}

impl AsFd for Listener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.wake.as_fd()
    }
}
