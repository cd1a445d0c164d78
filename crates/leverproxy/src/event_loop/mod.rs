//! Components of the event loop. One thread waits for all descriptors and timers, and handles each event to completion.
//!
//! | module | concern |
//! | --- | --- |
//! | `reactor` | epoll: which descriptors are watched, and which are ready |
//! | `token` | the owner of a descriptor that has an event |
//! | `retries` | descriptors that are reported as ready after a pause |
//! | `timers` | due times |
//! | `slab` | storage of connections under keys that become stale on removal |
//! | `stream`, `buffer` | connections with buffers on both sides |
//! | `memory` | accounting of the bytes that requests and answers occupy |
//! | `listener` | listening sockets and accepting connections |
//! | `system_calls` | the system calls and the classification of their errors |

pub mod buffer;
pub mod listener;
pub mod memory;
pub mod reactor;
mod retries;
pub mod slab;
pub mod stream;
pub mod system_calls;
pub mod timers;
pub mod token;
