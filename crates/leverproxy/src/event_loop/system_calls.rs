//! The system calls of the event loop, and the classification of the errors that Linux documents for them.
//!
//! Every call on connections and on epoll is made in this module. Errors are classified in one function,
//! [`errors::classify`], and callers act on the class. Tests inject errors and short transfers with [`faults::Faults`].

pub mod errors;
pub mod faults;

use errors::Call;
use faults::{inject_error, limit_transfer, perform_with_faults};
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

/// Pause after which a call that failed because the machine lacks a resource is retried.
pub const RETRY_PAUSE: Duration = Duration::from_millis(5);

const NON_BLOCKING: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);

/// The address family of a TCP address.
pub fn family(address: &SocketAddr) -> AddressFamily {
    if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    }
}

/// Creates a non-blocking stream socket.
pub fn socket(family: AddressFamily) -> Result<OwnedFd, Errno> {
    inject_error(Call::Socket, || None)?;
    net::socket_with(family, SocketType::STREAM, NON_BLOCKING, None)
}

/// Binds a socket to an address.
pub fn bind(fd: &OwnedFd, address: &impl SocketAddrArg) -> Result<(), Errno> {
    inject_error(Call::Bind, || None)?;
    net::bind(fd, address)
}

/// Listens on a bound socket.
pub fn listen(fd: &OwnedFd, backlog: i32) -> Result<(), Errno> {
    inject_error(Call::Listen, || None)?;
    net::listen(fd, backlog)
}

/// Accepts a connection; returns its descriptor and the peer's address.
pub fn accept(listener: &OwnedFd) -> Result<(OwnedFd, Option<SocketAddrAny>), Errno> {
    inject_error(Call::Accept, || local(listener))?;
    net::acceptfrom_with(listener, NON_BLOCKING)
}

/// Starts a connection.
pub fn connect(fd: &OwnedFd, address: &SocketAddr) -> Result<(), Errno> {
    perform_with_faults(
        Call::Connect,
        || Some(*address),
        || net::connect(fd, address),
    )
}

/// The result of a connect. The outer error is an error of the `getsockopt` call itself.
pub fn socket_error(fd: &OwnedFd) -> Result<Result<(), Errno>, Errno> {
    if let Err(errno) = inject_error(Call::SocketError, || peer(fd)) {
        return Ok(Err(errno));
    }
    sockopt::socket_error(fd)
}

/// Whether the descriptor is writable, which includes a broken connection.
pub fn is_writable(fd: &OwnedFd) -> bool {
    let mut polled = [PollFd::new(fd, PollFlags::OUT)];
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut polled, Some(&at_once)).is_ok_and(|ready| ready > 0)
}

/// Reads into `buffer`; returns the number of bytes, which is 0 at the end of the input.
pub fn read(fd: &OwnedFd, buffer: &mut [u8]) -> Result<usize, Errno> {
    let most = limit_transfer(Call::Read, buffer.len(), || peer(fd))?;
    rustix::io::read(fd, &mut buffer[..most])
}

/// Sends as many bytes as the socket accepts; returns their number.
pub fn send(fd: &OwnedFd, bytes: &[u8]) -> Result<usize, Errno> {
    let most = limit_transfer(Call::Send, bytes.len(), || peer(fd))?;
    net::send(fd, &bytes[..most], SendFlags::NOSIGNAL)
}

/// Shuts down the sending side of a connection.
pub fn shutdown_output(fd: &OwnedFd) -> Result<(), Errno> {
    inject_error(Call::Shutdown, || peer(fd))?;
    net::shutdown(fd, net::Shutdown::Write)
}

/// Starts watching a descriptor.
pub fn epoll_add(
    epoll: &OwnedFd,
    fd: impl AsFd,
    data: u64,
    flags: epoll::EventFlags,
) -> Result<(), Errno> {
    inject_error(Call::EpollControl, || peer(&fd))?;
    epoll::add(epoll, fd, epoll::EventData::new_u64(data), flags)
}

/// Changes the events that a watched descriptor is watched for.
pub fn epoll_change(
    epoll: &OwnedFd,
    fd: impl AsFd,
    data: u64,
    flags: epoll::EventFlags,
) -> Result<(), Errno> {
    inject_error(Call::EpollControl, || peer(&fd))?;
    epoll::modify(epoll, fd, epoll::EventData::new_u64(data), flags)
}

/// Stops watching a descriptor. The call needs no memory, and fails only for a descriptor that is not watched.
pub fn epoll_remove(epoll: &OwnedFd, fd: impl AsFd) -> Result<(), Errno> {
    epoll::delete(epoll, fd)
}

/// Waits for events, for at most `timeout`.
pub fn epoll_wait<'a>(
    epoll: &OwnedFd,
    events: &'a mut [MaybeUninit<epoll::Event>],
    timeout: Option<&Timespec>,
) -> Result<&'a mut [epoll::Event], Errno> {
    inject_error(Call::EpollWait, || None)?;
    epoll::wait(epoll, events, timeout).map(|(ready, _)| ready)
}

fn peer(fd: impl AsFd) -> Option<SocketAddr> {
    SocketAddr::try_from(net::getpeername(fd).ok()??).ok()
}

fn local(fd: impl AsFd) -> Option<SocketAddr> {
    SocketAddr::try_from(net::getsockname(fd).ok()?).ok()
}
