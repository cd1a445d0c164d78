//! What may be wrong with a response.

use std::string::FromUtf8Error;
use thiserror::Error;

/// The longest head of a response, in bytes.
pub(super) const HEAD_LIMIT: usize = 16 << 10;
/// The most header lines.
pub(super) const MAX_HEADERS: usize = 64;
/// The largest object of a body, in bytes.
pub(super) const OBJECT_LIMIT: usize = 4 << 20;

/// What is wrong with a response, and where to look.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The bytes are no HTTP response.
    #[error("this is no HTTP answer ({0}): is it discovery that listens there?")]
    NotHttp(httparse::Error),
    /// The head is too long.
    #[error("the head of the answer is longer than {HEAD_LIMIT} bytes or {MAX_HEADERS} lines")]
    HeadTooLong,
    /// The status is not 200.
    #[error("status {0}: discovery turns the call away")]
    Status(u16),
    /// The transfer encoding is not supported.
    #[error("transfer encoding {0:?} is not known: chunked or none is read")]
    Encoding(String),
    /// The content length is no number.
    #[error("{0:?} is no content length")]
    Length(String),
    /// The chunks are malformed.
    #[error("the body is cut into chunks wrongly")]
    Chunk,
    /// An object is too long.
    #[error("an object of the list is longer than {OBJECT_LIMIT} bytes")]
    ObjectTooLong,
    /// The body is no sequence of JSON objects.
    #[error("the body is no JSON: {0}")]
    NotJson(#[from] NotJson),
    /// The response ends in the middle of an object.
    #[error("the answer ends in the middle of an object")]
    Truncated,
}

/// Why a body is no sequence of JSON objects.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum NotJson {
    /// A byte that cannot be there.
    #[error("{:?} {place}", char::from(*.byte))]
    Unexpected {
        /// The byte.
        byte: u8,
        /// Where it is.
        place: &'static str,
    },
    /// An object that is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] FromUtf8Error),
}
