//! Connections of clients: accepts connections, reads requests, and writes responses in the order of the requests.
//!
//! | module | concern |
//! | --- | --- |
//! | `state` | the `Downstream` type, its settings and counters |
//! | `event` | events of the clients for the pipeline |
//! | `accept` | accepting, the limit of clients, and which client is evicted at the limit |
//! | `read` | reading bytes of a client and decoding requests |
//! | `write` | writing responses and chunks of responses to a client |
//! | `close` | rejecting clients, and closing connections while the process drains |
//! | `memory` | which clients are read while requests and answers occupy much memory |
//! | `idle` | closing clients that exceed a timeout, and idle clients |
//! | `connection_end` | state machine: how one connection ends |
//! | `client` | one client's connection |
//! | `decode` | decoding the next message of a client |
//! | `cancel_keys` | keys that cancel another session's request |

mod accept;
mod cancel_keys;
mod client;
mod close;
mod connection_end;
mod decode;
mod event;
mod idle;
mod memory;
mod read;
mod state;
mod write;

pub use event::Event;
pub use state::Downstream;
