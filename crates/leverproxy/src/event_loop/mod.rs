//! The event loop's parts: epoll with stale-proof keys and timers, buffered connections, and system calls.

pub mod connection;
pub mod reactor;
pub mod system_calls;
