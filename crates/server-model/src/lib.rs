//! The model of the systems that leverproxy stands before: no clock, no sockets, events in and actions out.
//!
//! [`site::Site`] is all record servers: machines ([`server`]) with cores, slots, a waiting room, efficiency lost when
//! crowded, cold starts and collapse; [`law`] says how much work a request is; [`group`]s of a primary and its replicas
//! have a log that is shipped and applied by one thread, elections and splits. [`network`] is the way to them,
//! [`catalog`] the list of them, [`clients`] those who ask, [`platform`] what proxies may do. Whoever drives them (virtual time, or real sockets) brings
//! the time and carries actions from one to the other.

pub mod account;
pub mod catalog;
pub mod clients;
pub mod group;
pub mod law;
pub mod network;
pub mod platform;
pub mod server;
pub mod site;

pub use simulation_engine::Micros;
