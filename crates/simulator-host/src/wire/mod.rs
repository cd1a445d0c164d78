//! Wire format of the simulator's frames: big-endian, without padding.
//!
//! A batch is a header ([`batch_header`]) followed by records ([`Reader`], [`Record`]); so is a reply ([`Reply`]). Only
//! this module knows the layouts and the codes.

mod fault;
mod reader;
mod record;
mod reply;

pub use fault::{FrameFault, MalformedFrame};
pub use reader::Reader;
pub use record::{AttemptEndedRecord, ProbeEndedRecord, Record, UpdateKind};
pub use reply::Reply;

use routing::Time;

/// Length of a batch header in bytes.
pub const BATCH_HEADER_LEN: usize = 16;

/// Header of a batch, which precedes its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// Time of all events of the batch.
    pub clock: Time,
    /// Length of the records in bytes.
    pub bytes: u32,
    /// Number of records.
    pub records: u32,
}

/// Decodes a batch header. Every header is valid.
pub fn batch_header(raw: [u8; BATCH_HEADER_LEN]) -> BatchHeader {
    let [a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p] = raw;
    BatchHeader {
        clock: Time::from_micros(u64::from_be_bytes([a, b, c, d, e, f, g, h])),
        bytes: u32::from_be_bytes([i, j, k, l]),
        records: u32::from_be_bytes([m, n, o, p]),
    }
}
