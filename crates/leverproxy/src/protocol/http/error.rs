//! Limits of responses, and the errors in them.

use std::string::FromUtf8Error;
use thiserror::Error;

/// Maximum length of the head of a response, in bytes.
pub(super) const HEAD_LIMIT: usize = 16 << 10;
/// Maximum number of header lines.
pub(super) const MAX_HEADERS: usize = 64;
/// Maximum length of an object in a body, in bytes.
pub(super) const OBJECT_LIMIT: usize = 4 << 20;

/// An error in discovery's HTTP response.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The bytes are not an HTTP response.
    #[error("the response is not HTTP ({0}): check that discovery listens at this address")]
    NotHttp(httparse::Error),
    /// The head is too long.
    #[error("the response head exceeds {HEAD_LIMIT} bytes or {MAX_HEADERS} header lines")]
    HeadTooLong,
    /// The status is not 200.
    #[error("discovery rejected the call with status {0} instead of 200")]
    Status(u16),
    /// The transfer encoding is not supported.
    #[error("transfer encoding {0:?} is not supported: use chunked or none")]
    Encoding(String),
    /// The content length is not a number.
    #[error("content length {0:?} is not a number of bytes")]
    Length(String),
    /// The chunks are malformed.
    #[error("the chunked transfer encoding of the body is malformed")]
    Chunk,
    /// An object is longer than the limit of 4 MiB.
    #[error("an object of the endpoint list is longer than {OBJECT_LIMIT} bytes")]
    ObjectTooLong,
    /// The body is not a sequence of JSON objects.
    #[error("the body is not JSON: {0}")]
    NotJson(#[from] NotJson),
    /// The response ends in the middle of an object.
    #[error("the response ends in the middle of an object")]
    Truncated,
}

/// The reason why a body is not a sequence of JSON objects.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum NotJson {
    /// A byte that is not allowed at its position.
    #[error("unexpected {:?} {place}", char::from(*.byte))]
    Unexpected {
        /// The byte.
        byte: u8,
        /// The position of the byte.
        place: &'static str,
    },
    /// An object that is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] FromUtf8Error),
}
