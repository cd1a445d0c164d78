//! The simulator's wire: decodes batches, hosts one router an instance, encodes replies.
#![forbid(unsafe_code)]

pub mod host;
pub mod wire;
