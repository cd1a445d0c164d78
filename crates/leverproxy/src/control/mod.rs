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
struct CommandFlags {
    stop: Arc<AtomicBool>,
    report: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

/// Tells a proxy to stop, to report or to reread its configuration, from any thread.
#[derive(Debug)]
pub struct Control {
    flags: Arc<CommandFlags>,
    wake: UnixStream,
}

impl Control {
    /// Answer what has been taken, then end.
    pub fn stop(&self) {
        self.send(&self.flags.stop);
    }

    /// Print the counters.
    pub fn report(&self) {
        self.send(&self.flags.report);
    }

    /// Read the configuration again (see `Proxy::reread_with`).
    pub fn reload(&self) {
        self.send(&self.flags.reload);
    }

    fn send(&self, flag: &AtomicBool) {
        flag.store(true, Ordering::SeqCst);
        // A full socket wakes the loop as well as one more byte would.
        _ = (&self.wake).write(&[1]);
    }

    /// SIGTERM and SIGINT stop the proxy, SIGUSR1 makes it report, SIGHUP reread its configuration.
    pub fn install_signal_handlers(&self) -> io::Result<()> {
        let CommandFlags {
            stop,
            report,
            reload,
        } = &*self.flags;
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
pub struct CommandReceiver {
    flags: Arc<CommandFlags>,
    wake: UnixStream,
    /// Wakes the loop, from another thread of the proxy's own.
    waker: UnixStream,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlCommand {
    Stop,
    Report,
    Reload,
}

pub fn channel() -> io::Result<(Control, CommandReceiver)> {
    let (near, far) = UnixStream::pair()?;
    near.set_nonblocking(true)?;
    far.set_nonblocking(true)?;
    let flags = Arc::new(CommandFlags::default());
    let waker = far.try_clone()?;
    Ok((
        Control {
            flags: Arc::clone(&flags),
            wake: far,
        },
        CommandReceiver {
            flags,
            wake: near,
            waker,
        },
    ))
}

impl CommandReceiver {
    /// What wakes the loop when a byte is written to it.
    pub fn waker(&self) -> io::Result<UnixStream> {
        self.waker.try_clone()
    }

    pub fn take_commands(&mut self) -> Vec<ControlCommand> {
        let mut bytes = [0; 64];
        while matches!(self.wake.read(&mut bytes), Ok(n) if n > 0) {}
        let mut commands = Vec::new();
        let CommandFlags {
            stop,
            report,
            reload,
        } = &*self.flags;
        for (flag, command) in [
            (stop, ControlCommand::Stop),
            (report, ControlCommand::Report),
            (reload, ControlCommand::Reload),
        ] {
            if flag.swap(false, Ordering::SeqCst) {
                commands.push(command);
            }
        }
        commands
    }
}

impl AsFd for CommandReceiver {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.wake.as_fd()
    }
}
