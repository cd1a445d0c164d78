//! The clients' side: accepts connections, reads requests from them, and writes answers in the order of the requests.
//!
//! | module | concern |
//! | --- | --- |
//! | `state` | the `Downstream` type, its settings and counters |
//! | `event` | what the pipeline is notified of |
//! | `accept` | accepting, the limit of clients, and who gives way at the limit |
//! | `read` | bytes of a client to requests |
//! | `write` | answers and chunks of answers to a client |
//! | `close` | rejected clients, and closing while the process drains |
//! | `idle` | closing clients that have run out of time |
//! | `connection_end` | state machine: how one connection ends |
//! | `client` | one client's connection |
//! | `decode` | the next message of a client |
//! | `cancel_keys` | keys that cancel another session's request |

mod accept;
mod cancel_keys;
mod client;
mod close;
mod connection_end;
mod decode;
mod event;
mod idle;
mod read;
mod state;
mod write;

pub use event::Event;
pub use state::Downstream;
