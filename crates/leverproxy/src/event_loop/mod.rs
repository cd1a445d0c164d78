//! The event loop's parts. One thread waits for all descriptors and timers, and handles each event to its end.
//!
//! | module | concern |
//! | --- | --- |
//! | `reactor` | epoll: which descriptors are watched, and which are ready |
//! | `token` | whose descriptor an event is for |
//! | `retries` | descriptors that are called ready after a pause |
//! | `timers` | due times |
//! | `slab` | connections under keys that go stale |
//! | `stream`, `buffer` | connections with buffers on both sides |
//! | `listener` | listening and accepting |
//! | `system_calls` | the system calls, and what each of their errors means |

pub mod buffer;
pub mod listener;
pub mod reactor;
mod retries;
pub mod slab;
pub mod stream;
pub mod system_calls;
pub mod timers;
pub mod token;
