//! Hot restart: a new process takes over from the old one over a Unix socket in `$TMPDIR`.
//!
//! The new process connects and receives the clients' listener, the endpoint list and the manual exclusions
//! ([`handover`]). While both run, the connection stays open and each forwards operators' exclusions to the other
//! ([`links`]).

pub mod handover;
pub mod links;

#[cfg(test)]
mod recorded;
