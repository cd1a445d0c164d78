//! Facts that each member publishes and all hold: the last writer wins by the source's own incarnation and sequence. Ages
//! travel with a fact, so clocks of different hosts are never compared.

mod digest;
mod fact;
mod message;
mod store;
#[cfg(test)]
mod tests;

pub use fact::{Fact, FactLimits, PublishError, BODY_BYTES, KEY_BYTES};
pub(crate) use message::{AntiEntropyMessage, FactVersion, HashRange, SourceHash, WireFact};
pub(crate) use store::{FactId, FactStore, ReceiveOutcome};
