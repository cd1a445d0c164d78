//! The few system calls that the standard library does not offer.

use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;

#[repr(C)]
struct Linger {
    onoff: i32,
    linger: i32,
}

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn shutdown(fd: i32, how: i32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    #[link_name = "setsockopt"]
    #[allow(clashing_extern_declarations)]
    fn setsockopt_int(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: plain system call without pointers.
    unsafe { kill(pid as i32, signal) };
}

/// Closes a connection with a reset, as the kernel does for a process that dies with data in transit.
pub fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger {
        onoff: 1,
        linger: 0,
    };
    // SAFETY: the pointer is valid for the call, and the length is that of the value.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            &linger,
            std::mem::size_of::<Linger>() as u32,
        )
    };
}

/// Ends a listener whose thread waits in accept: new connections are refused.
pub fn stop_listening(listener: &TcpListener) {
    const SHUT_RDWR: i32 = 2;
    // SAFETY: plain system call without pointers.
    unsafe { shutdown(listener.as_raw_fd(), SHUT_RDWR) };
}

/// Limits the bytes that the kernel holds for a reader.
pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    unsafe { setsockopt_int(stream.as_raw_fd(), 1, 8, &bytes, 4) };
}

/// Has the calling process killed when the one that started it ends.
pub fn end_with_parent() {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: plain system call without pointers.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
}
