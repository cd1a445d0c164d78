//! Listening sockets, and the connections accepted from them.

use super::reactor::Reactor;
use super::stream::Stream;
use super::system_calls;
use super::system_calls::errors::{classify, lacks_descriptors, Call, Failure};
use super::token::Token;
use rustix::net::{self, sockopt, SocketAddrUnix};
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Maximum number of connections that can wait when a listener stops accepting; Linux queues one more than the backlog.
pub const MAX_WAITING: usize = BACKLOG as usize + 1;
/// Maximum number of connections that are accepted in one event. Peers that connect without a pause must not keep the event
/// loop from other events; epoll is level-triggered, so the remaining connections are reported again.
pub const MAX_ACCEPTS_PER_EVENT: usize = 64;
/// Maximum number of failed connections that one call skips; the backlog holds no more connections.
const MAX_FAILED_ACCEPTS: usize = BACKLOG as usize;
/// The permissions of a Unix socket: only its owner may connect.
const OWNER_ONLY: u32 = 0o600;

/// Listens on a TCP address. `shared`: another process of the same user may listen on the address as well.
pub fn listen_shared(address: SocketAddr, shared: bool) -> io::Result<OwnedFd> {
    let fd = system_calls::socket(system_calls::family(&address))?;
    if shared {
        sockopt::set_socket_reuseport(&fd, true)?;
    }
    // A restarted proxy binds its address while connections of the previous process linger. If the option cannot be
    // set, bind fails if the option was needed.
    _ = sockopt::set_socket_reuseaddr(&fd, true);
    system_calls::bind(&fd, &address)?;
    system_calls::listen(&fd, BACKLOG)?;
    Ok(fd)
}

/// Listens on a TCP address that is not shared with other processes.
pub fn listen(address: SocketAddr) -> io::Result<OwnedFd> {
    listen_shared(address, false)
}

/// Listens on a Unix socket to which only its owner may connect.
pub fn listen_unix(path: &Path) -> io::Result<OwnedFd> {
    let fd = system_calls::socket(net::AddressFamily::UNIX)?;
    system_calls::bind(&fd, &SocketAddrUnix::new(path)?)?;
    fs::set_permissions(path, fs::Permissions::from_mode(OWNER_ONLY))?;
    system_calls::listen(&fd, BACKLOG)?;
    Ok(fd)
}

/// Listens on a Unix socket in place of another process. The socket is replaced atomically, so that a client always
/// reaches one of the two processes.
pub fn listen_unix_replacing(path: &Path) -> io::Result<OwnedFd> {
    let own = PathBuf::from(format!("{}.{}", path.display(), std::process::id()));
    // An earlier process with the same id may have left the file.
    _ = fs::remove_file(&own);
    let listener = listen_unix(&own)?;
    fs::rename(&own, path)?;
    Ok(listener)
}

/// The local address of a socket.
pub fn local_address(fd: &OwnedFd) -> Option<SocketAddr> {
    SocketAddr::try_from(net::getsockname(fd).ok()?).ok()
}

/// The reason why no connection is accepted.
#[derive(Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// The backlog is empty.
    Empty,
    /// No file descriptor is left. The connection stays in the backlog until a descriptor is closed.
    NoDescriptors,
    /// The machine lacks another resource, or every connection fails: to be retried after a pause.
    RetryLater,
}

/// Accepts a connection; returns it with the peer's address, which is unspecified if it is unknown.
pub fn accept(listener: &OwnedFd) -> Result<(Stream, IpAddr), AcceptError> {
    for _ in 0..MAX_FAILED_ACCEPTS {
        let errno = match system_calls::accept(listener) {
            Ok((fd, peer)) => {
                // Without TCP_NODELAY a small response would wait for the acknowledgement of the previous one.
                _ = sockopt::set_tcp_nodelay(&fd, true);
                let peer = peer.and_then(|peer| SocketAddr::try_from(peer).ok());
                let peer = peer.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
                return Ok((Stream::new(fd), peer));
            }
            Err(errno) => errno,
        };
        match classify(Call::Accept, errno) {
            Failure::RetryNow => {}
            Failure::NotReady => return Err(AcceptError::Empty),
            _ if lacks_descriptors(errno) => return Err(AcceptError::NoDescriptors),
            _ => return Err(AcceptError::RetryLater),
        }
    }
    Err(AcceptError::RetryLater)
}

/// Accepts a connection from a listener whose owner does not implement a pause: the listener is not watched while no
/// connection can be accepted. A caller that stops before an error has to call [`continue_later`].
pub fn accept_or_pause(
    listener: &OwnedFd,
    token: Token,
    reactor: &Reactor,
) -> Result<(Stream, IpAddr), AcceptError> {
    let accepted = accept(listener);
    match accepted {
        Ok(_) => {}
        Err(AcceptError::Empty) => reactor.resume(listener, token),
        Err(AcceptError::NoDescriptors | AcceptError::RetryLater) => reactor.pause(listener, token),
    }
    accepted
}

/// Continues accepting after a pause, for a caller of [`accept_or_pause`] that has reached [`MAX_ACCEPTS_PER_EVENT`]. The
/// listener may be unwatched, since it is watched again only once no connection waits.
pub fn continue_later(token: Token, reactor: &Reactor) {
    reactor.retry_later(token);
}
