//! Frames that violate the wire format. The stream cannot be read any further after one.

use platform_settings::SettingsError;
use thiserror::Error;

/// A malformed frame: the fault and its position.
#[derive(Debug, Error)]
#[error("malformed frame at byte {offset} (record code {code}): {fault}")]
pub struct MalformedFrame {
    /// Offset in bytes after the batch header.
    pub offset: usize,
    /// Code of the record being read; 0 outside of records.
    pub code: u8,
    /// Reason why the frame is malformed.
    pub fault: FrameFault,
}

/// Reason why a frame is malformed.
#[derive(Debug, Error)]
pub enum FrameFault {
    /// The frame ends inside a record.
    #[error("record is truncated: {wanted} bytes wanted, {left} left")]
    Truncated {
        /// Bytes that the record requires next.
        wanted: usize,
        /// Bytes left in the frame.
        left: usize,
    },
    /// A server state that the wire format does not define.
    #[error("unknown server state {0}: expected 0 (removed), 1 (ready) or 2 (draining)")]
    UnknownServerState(u8),
    /// A kind of endpoint update that the wire format does not define.
    #[error("unknown kind of endpoint update {0}: expected 0 to 3")]
    UnknownUpdateKind(u8),
    /// An outcome of an attempt that the wire format does not define.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// A record code that the wire format does not define.
    #[error("unknown record code {0}: expected 1 to 11")]
    UnknownRecord(u8),
    /// A page announces more entries than the frame can hold.
    #[error("page of {0} list entries would overrun the frame")]
    PageOverrun(usize),
    /// An endpoint update refers to a page that has not been sent.
    #[error("endpoint update refers to a page that was never sent")]
    UnknownPage,
    /// The settings of a new instance cannot be used.
    #[error("invalid settings: {0}")]
    Settings(#[from] SettingsError),
    /// The batch is longer than its records.
    #[error("unexpected bytes after the last record")]
    TrailingBytes,
}
