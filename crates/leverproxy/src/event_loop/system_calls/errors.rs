//! What the errors of each system call mean.

use rustix::io::Errno;

/// A kind of system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `socket`.
    Socket,
    /// `bind`.
    Bind,
    /// `listen`.
    Listen,
    /// `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `getsockopt` with `SO_ERROR`: the result of a connect.
    SocketError,
    /// `read`.
    Read,
    /// `send`.
    Send,
    /// `shutdown`.
    Shutdown,
    /// `epoll_ctl` that adds or changes.
    EpollControl,
    /// `epoll_wait`.
    EpollWait,
    /// The first step of a file's replacement: see `persistence::state_file`.
    FileCreate,
    /// Its second step.
    FileWrite,
    /// Its third step.
    FileSync,
    /// Its fourth step.
    FileRename,
    /// Its last step.
    DirectorySync,
}

/// What a failed call means for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call may be repeated at once.
    RetryNow,
    /// The descriptor is not ready; epoll reports when it is.
    NotReady,
    /// The machine lacks memory, buffers, descriptors or ports: to be retried after a pause. epoll may not report when.
    RetryLater,
    /// The connection has ended, or was not established.
    Broken,
    /// The call cannot succeed as it is made: a fault of the settings or of the program.
    Fatal,
}

/// The class of an error of this call.
pub fn classify(call: Call, errno: Errno) -> Failure {
    match (call, errno) {
        // An interrupted connect continues in the background.
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
        // What a disk refuses now it may accept after a pause.
        (
            Call::FileCreate
            | Call::FileWrite
            | Call::FileSync
            | Call::FileRename
            | Call::DirectorySync,
            _,
        ) => Failure::RetryLater,
    }
}

/// Linux reports errors of the connection that would have been accepted as errors of the call: they say nothing about the
/// listener or the other connections in its backlog.
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
        // A listener that fails permanently must neither end the process nor keep it busy.
        _ => Failure::RetryLater,
    }
}

/// Whether the process or the machine has no descriptor left; closing one helps.
pub fn lacks_descriptors(errno: Errno) -> bool {
    matches!(errno, Errno::MFILE | Errno::NFILE)
}
