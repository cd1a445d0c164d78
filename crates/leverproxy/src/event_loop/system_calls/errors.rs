//! Classification of the errors of the system calls.

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
    /// `epoll_ctl` with `EPOLL_CTL_ADD` or `EPOLL_CTL_MOD`.
    EpollControl,
    /// `epoll_wait`.
    EpollWait,
    /// Replacing a file, step 1: creating the new file. See `persistence::state_file`.
    FileCreate,
    /// Replacing a file, step 2: writing the new file.
    FileWrite,
    /// Replacing a file, step 3: syncing the new file.
    FileSync,
    /// Replacing a file, step 4: renaming the new file.
    FileRename,
    /// Replacing a file, step 5: syncing the directory.
    DirectorySync,
}

/// The class of a failed call, which determines how the caller proceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call may be repeated at once.
    RetryNow,
    /// The descriptor is not ready; epoll reports when it is.
    NotReady,
    /// The machine lacks memory, buffers, descriptors or ports. The call has to be retried after a pause, since epoll
    /// may not report when it can succeed.
    RetryLater,
    /// The connection has ended or was not established.
    Broken,
    /// The call cannot succeed with its arguments: an error in the settings or in the program.
    Fatal,
}

/// The class of an error of this call.
pub fn classify(call: Call, errno: Errno) -> Failure {
    match (call, errno) {
        // An interrupted connect continues in the background.
        (Call::Connect, Errno::INTR | Errno::INPROGRESS | Errno::ALREADY) => Failure::NotReady,
        (_, Errno::INTR) => Failure::RetryNow,
        (_, Errno::NOBUFS | Errno::NOMEM | Errno::MFILE | Errno::NFILE) => Failure::RetryLater,
        // The limit of watched descriptors of the user is reached.
        (Call::EpollControl, Errno::NOSPC) => Failure::RetryLater,
        // No local port is available.
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
        // An operation that fails on a disk now may succeed after a pause.
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

/// The class of an error of `accept`. Linux reports errors of the connection to be accepted as errors of the call; they
/// do not concern the listener or the other connections in its backlog.
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

/// Whether the process or the machine has no file descriptor left, so that closing a descriptor resolves the error.
pub fn lacks_descriptors(errno: Errno) -> bool {
    matches!(errno, Errno::MFILE | Errno::NFILE)
}
