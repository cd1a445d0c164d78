//! The model of the systems that leverproxy stands before: no clock, no sockets, events in and actions out.
//!
//! [`server::Server`] is a record server's machine: cores, slots, a waiting room, efficiency lost when crowded, a cold
//! start, collapse when it is overrun. [`law`] says how much work a request is. [`group::Group`] is a primary and its
//! replicas: a log shipped and applied by one thread, positions, elections. Whoever drives them (virtual time, or
//! later real sockets) brings the time and carries actions from one to the other.

pub mod group;
pub mod law;
pub mod server;

pub use engine::Micros;
