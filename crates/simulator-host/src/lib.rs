//! Hosts the decision module for the simulator: decodes batches, runs one router per instance, encodes replies.
#![forbid(unsafe_code)]

pub mod host;
mod instance;
pub mod wire;
