//! Frames that break the wire's rules. The stream can't be followed after one.

use platform_settings::SettingsError;
use thiserror::Error;

/// What is wrong with a frame, and where.
#[derive(Debug, Error)]
#[error("malformed frame at byte {offset} (record code {code}): {fault}")]
pub struct MalformedFrame {
    /// Byte after the batch header.
    pub offset: usize,
    /// Code of the record being read; 0 outside of records.
    pub code: u8,
    /// What is wrong.
    pub fault: FrameFault,
}

/// What is wrong with a frame.
#[derive(Debug, Error)]
pub enum FrameFault {
    /// The frame ends inside a record.
    #[error("{wanted} bytes wanted, {left} left")]
    Truncated {
        /// Bytes that the record needs next.
        wanted: usize,
        /// Bytes that the frame still has.
        left: usize,
    },
    /// A server state that the wire does not define.
    #[error("unknown server condition {0}")]
    UnknownServerState(u8),
    /// A kind of endpoint update that the wire does not define.
    #[error("unknown kind of list {0}")]
    UnknownListKind(u8),
    /// An outcome of an attempt that the wire does not define.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// A record that the wire does not define.
    #[error("unknown record code {0}")]
    UnknownRecord(u8),
    /// A page announces more entries than the frame can hold.
    #[error("{0} list entries overrun the frame")]
    PageOverrun(usize),
    /// An endpoint update names a page that has not been sent.
    #[error("a list that was never sent")]
    UnknownPage,
    /// The settings of a new instance can't be used.
    #[error("settings are not sound: {0}")]
    Settings(#[from] SettingsError),
    /// The batch is longer than its records.
    #[error("bytes after the last record")]
    TrailingBytes,
}
