//! Hosts the decision module on the simulator's protocol: decodes batches, plays one router an instance, encodes
//! replies.
#![forbid(unsafe_code)]

pub mod host;
mod instance;
pub mod wire;
