//! Facts that each member publishes and all members hold. The version with the greatest incarnation and sequence of its
//! source wins (last writer wins). Facts carry their ages, so clocks of different hosts are never compared.

mod digest;
mod fact;
mod message;
mod store;
#[cfg(test)]
mod tests;

pub use fact::{Fact, FactLimits, PublishError, BODY_BYTES, KEY_BYTES};
pub(crate) use message::{AntiEntropyMessage, FactVersion, HashRange, SourceHash, WireFact};
pub(crate) use store::{FactId, FactStore, ReceiveOutcome};
