//! Commands from signals and from an embedding program. A command is a flag and a byte that wakes the event loop, so that a
//! signal handler can send it; a command that is sent twice before the loop wakes runs once.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A command to a running proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlCommand {
    /// Answer the requests received so far, then end.
    Stop,
    /// Print the counters.
    Report,
    /// Read the configuration again.
    Reload,
}

/// Commands that were sent but not yet received.
#[derive(Debug, Default)]
struct PendingCommands {
    stop: Arc<AtomicBool>,
    report: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

/// Sends commands to a proxy, from any thread.
#[derive(Debug)]
pub struct Control {
    pending: Arc<PendingCommands>,
    wake: UnixStream,
}

impl Control {
    /// Stops the proxy after it has answered the requests received so far.
    pub fn stop(&self) {
        self.send(&self.pending.stop);
    }

    /// Makes the proxy print its counters.
    pub fn report(&self) {
        self.send(&self.pending.report);
    }

    /// Makes the proxy read its configuration again (see `Proxy::set_configuration_source`).
    pub fn reload(&self) {
        self.send(&self.pending.reload);
    }

    fn send(&self, flag: &AtomicBool) {
        flag.store(true, Ordering::SeqCst);
        // If the socket is full, the loop wakes up without this byte.
        _ = (&self.wake).write(&[1]);
    }

    /// Installs signal handlers: SIGTERM and SIGINT stop the proxy, SIGUSR1 prints its counters, SIGHUP rereads its
    /// configuration.
    ///
    /// # Errors
    /// A signal handler cannot be installed.
    pub fn install_signal_handlers(&self) -> io::Result<()> {
        let PendingCommands {
            stop,
            report,
            reload,
        } = &*self.pending;
        for (signal, flag) in [
            (SIGTERM, stop),
            (SIGINT, stop),
            (SIGUSR1, report),
            (SIGHUP, reload),
        ] {
            // Handlers run in the order of registration: the flag is set before the byte wakes the loop.
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, self.wake.try_clone()?)?;
        }
        Ok(())
    }
}

/// The proxy's end of the command channel. Its descriptor is readable while commands are pending.
#[derive(Debug)]
pub struct CommandReceiver {
    pending: Arc<PendingCommands>,
    woken: UnixStream,
    /// Wakes the event loop from other threads of the proxy.
    waker: UnixStream,
}

/// Creates a command channel.
///
/// # Errors
/// No descriptors are left for its sockets.
pub fn channel() -> io::Result<(Control, CommandReceiver)> {
    let (woken, wake) = UnixStream::pair()?;
    woken.set_nonblocking(true)?;
    wake.set_nonblocking(true)?;
    let pending = Arc::new(PendingCommands::default());
    let waker = wake.try_clone()?;
    let control = Control {
        pending: Arc::clone(&pending),
        wake,
    };
    let receiver = CommandReceiver {
        pending,
        woken,
        waker,
    };
    Ok((control, receiver))
}

impl CommandReceiver {
    /// Returns a socket that wakes the event loop when a byte is written to it.
    ///
    /// # Errors
    /// No descriptor is left for the socket.
    pub fn waker(&self) -> io::Result<UnixStream> {
        self.waker.try_clone()
    }

    /// Takes the commands sent since the last call; each command appears at most once.
    pub fn take_commands(&mut self) -> Vec<ControlCommand> {
        let mut bytes = [0; 64];
        while matches!(self.woken.read(&mut bytes), Ok(n) if n > 0) {}
        let PendingCommands {
            stop,
            report,
            reload,
        } = &*self.pending;
        let mut commands = Vec::new();
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
        self.woken.as_fd()
    }
}
