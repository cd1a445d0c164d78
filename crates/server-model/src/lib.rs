//! Model of the systems around leverproxy. It uses no clock and no sockets: events go in, actions come out.
//!
//! - [`site::Site`]: all record servers of a deployment.
//! - [`server`]: one machine with cores, slots, a queue, contention, cold starts and collapse under overload.
//! - [`law`]: distributions of the work per request.
//! - [`group`]: a primary and its replicas, with log shipping, single-threaded apply, elections and partitions.
//! - [`network`]: delays, losses and partitions between proxies and servers.
//! - [`catalog`]: the discovery service.
//! - [`clients`]: the load on the proxies.
//! - [`platform`]: the limits that the platform sets for proxies.
//!
//! The driver (a simulation on virtual time, or an emulator with real sockets) supplies the time and passes actions
//! between these parts.

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
