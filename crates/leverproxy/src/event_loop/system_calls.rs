//! The system calls of the event loop, and what each error that Linux documents for them means.
//!
//! Every call on its connections and on epoll is made here. The errors of a call are classified once, in [`classify`];
//! its callers act on the class. Tests put errors and short transfers in place of the system's answers with
//! [`faults::Faults`].

pub mod faults;

use faults::{injected, limited, worked};
use rustix::event::{epoll, poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::net::addr::SocketAddrArg;
use rustix::net::{
    self, sockopt, AddressFamily, SendFlags, SocketAddrAny, SocketFlags, SocketType,
};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// A call that failed for want of a resource of the machine is made again after this.
pub const RETRY_PAUSE: Duration = Duration::from_millis(5);

const NON_BLOCKING: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);

/// A kind of system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Socket,
    Bind,
    Listen,
    Accept,
    Connect,
    /// getsockopt with SO_ERROR: what came of a connect.
    SocketError,
    Read,
    Send,
    Shutdown,
    /// epoll_ctl that adds or changes.
    EpollControl,
    EpollWait,
    /// Steps of a file's replacement: see [`crate::persistence::state_file::save`].
    FileCreate,
    FileWrite,
    FileSync,
    FileRename,
    FolderSync,
}

/// What a failed call means for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call may be made again at once.
    RetryNow,
    /// The descriptor is not ready; epoll tells when it is.
    NotReady,
    /// The machine lacks memory, buffers, descriptors or ports: again after a pause. epoll may not tell when.
    RetryLater,
    /// The connection is over, or none came about.
    Broken,
    /// The call can't succeed as it is made: a fault of the settings or of the program.
    Fatal,
}

/// The class of an error that this call gave.
pub fn classify(call: Call, errno: Errno) -> Failure {
    match (call, errno) {
        // A connect that is interrupted goes on in the background.
        (Call::Connect, Errno::INTR | Errno::INPROGRESS | Errno::ALREADY) => Failure::NotReady,
        (_, Errno::INTR) => Failure::RetryNow,
        (_, Errno::NOBUFS | Errno::NOMEM | Errno::MFILE | Errno::NFILE) => Failure::RetryLater,
        // The user's limit of watched descriptors.
        (Call::EpollControl, Errno::NOSPC) => Failure::RetryLater,
        // No local port is free.
        (Call::Connect, Errno::AGAIN | Errno::ADDRNOTAVAIL | Errno::ADDRINUSE) => {
            Failure::RetryLater
        }
        (Call::SocketError, Errno::ADDRNOTAVAIL) => Failure::RetryLater,
        (_, Errno::AGAIN) => Failure::NotReady,
        (Call::Accept, errno) => classify_accept(errno),
        (Call::Socket | Call::Bind | Call::Listen | Call::EpollControl | Call::EpollWait, _) => {
            Failure::Fatal
        }
        (Call::Connect | Call::SocketError | Call::Read | Call::Send | Call::Shutdown, _) => {
            Failure::Broken
        }
        // Whatever a disk refuses now it may take after a pause.
        (
            Call::FileCreate
            | Call::FileWrite
            | Call::FileSync
            | Call::FileRename
            | Call::FolderSync,
            _,
        ) => Failure::RetryLater,
    }
}

/// Linux passes errors of the connection that would have been accepted as errors of the call: they say nothing about
/// the listener or those who wait behind.
fn classify_accept(errno: Errno) -> Failure {
    match errno {
        Errno::CONNABORTED
        | Errno::PERM
        | Errno::PROTO
        | Errno::NOPROTOOPT
        | Errno::NETDOWN
        | Errno::NETUNREACH
        | Errno::HOSTDOWN
        | Errno::HOSTUNREACH
        | Errno::NONET
        | Errno::OPNOTSUPP
        | Errno::TIMEDOUT
        | Errno::CONNRESET => Failure::RetryNow,
        // A listener that fails for good must neither end the process nor keep it busy.
        _ => Failure::RetryLater,
    }
}

/// The process or the machine has no descriptor left: closing one helps.
pub fn lacks_descriptors(errno: Errno) -> bool {
    matches!(errno, Errno::MFILE | Errno::NFILE)
}

pub fn socket(family: AddressFamily) -> Result<OwnedFd, Errno> {
    injected(Call::Socket, || None)?;
    net::socket_with(family, SocketType::STREAM, NON_BLOCKING, None)
}

pub fn bind(fd: &OwnedFd, address: &impl SocketAddrArg) -> Result<(), Errno> {
    injected(Call::Bind, || None)?;
    net::bind(fd, address)
}

pub fn listen(fd: &OwnedFd, backlog: i32) -> Result<(), Errno> {
    injected(Call::Listen, || None)?;
    net::listen(fd, backlog)
}

pub fn accept(listener: &OwnedFd) -> Result<(OwnedFd, Option<SocketAddrAny>), Errno> {
    injected(Call::Accept, || local(listener))?;
    net::acceptfrom_with(listener, NON_BLOCKING)
}

pub fn connect(fd: &OwnedFd, address: &SocketAddr) -> Result<(), Errno> {
    worked(
        Call::Connect,
        || Some(*address),
        || net::connect(fd, address),
    )
}

/// What came of a connect; the outer error is the call's own.
pub fn socket_error(fd: &OwnedFd) -> Result<Result<(), Errno>, Errno> {
    if let Err(errno) = injected(Call::SocketError, || peer(fd)) {
        return Ok(Err(errno));
    }
    sockopt::socket_error(fd)
}

/// Whether the descriptor can be written to or is broken.
pub fn is_writable(fd: &OwnedFd) -> bool {
    let mut asked = [PollFd::new(fd, PollFlags::OUT)];
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut asked, Some(&at_once)).is_ok_and(|ready| ready > 0)
}

pub fn read(fd: &OwnedFd, buffer: &mut [u8]) -> Result<usize, Errno> {
    let most = limited(Call::Read, buffer.len(), || peer(fd))?;
    rustix::io::read(fd, &mut buffer[..most])
}

pub fn send(fd: &OwnedFd, bytes: &[u8]) -> Result<usize, Errno> {
    let most = limited(Call::Send, bytes.len(), || peer(fd))?;
    net::send(fd, &bytes[..most], SendFlags::NOSIGNAL)
}

/// Nothing more will be sent.
pub fn shutdown_output(fd: &OwnedFd) -> Result<(), Errno> {
    injected(Call::Shutdown, || peer(fd))?;
    net::shutdown(fd, net::Shutdown::Write)
}

pub fn epoll_add(
    epoll: &OwnedFd,
    fd: impl AsFd,
    data: u64,
    flags: epoll::EventFlags,
) -> Result<(), Errno> {
    injected(Call::EpollControl, || peer(&fd))?;
    epoll::add(epoll, fd, epoll::EventData::new_u64(data), flags)
}

pub fn epoll_change(
    epoll: &OwnedFd,
    fd: impl AsFd,
    data: u64,
    flags: epoll::EventFlags,
) -> Result<(), Errno> {
    injected(Call::EpollControl, || peer(&fd))?;
    epoll::modify(epoll, fd, epoll::EventData::new_u64(data), flags)
}

/// Needs no memory; it fails for a descriptor that is not watched alone.
pub fn epoll_remove(epoll: &OwnedFd, fd: impl AsFd) -> Result<(), Errno> {
    epoll::delete(epoll, fd)
}

pub fn epoll_wait<'a>(
    epoll: &OwnedFd,
    events: &'a mut [MaybeUninit<epoll::Event>],
    timeout: Option<&Timespec>,
) -> Result<&'a mut [epoll::Event], Errno> {
    injected(Call::EpollWait, || None)?;
    epoll::wait(epoll, events, timeout).map(|(ready, _)| ready)
}

fn peer(fd: impl AsFd) -> Option<SocketAddr> {
    SocketAddr::try_from(net::getpeername(fd).ok()??).ok()
}

fn local(fd: impl AsFd) -> Option<SocketAddr> {
    SocketAddr::try_from(net::getsockname(fd).ok()?).ok()
}
