//! Codec of version 3 of PostgreSQL's wire protocol: `server` is the proxy's side towards clients, `client` its side
//! towards record servers, `statement` parses the metadata in the comment of a query, and `synchronization` confirms that
//! a connection to a record server has no more bytes of earlier responses.

pub mod client;
pub mod server;
pub mod statement;
pub mod synchronization;

use thiserror::Error;

/// Maximum length of a value that clients write and of a value that is relayed as a whole, in bytes.
const VALUE_LIMIT: usize = 64 << 10;
/// Maximum number of bytes of a message in addition to its value.
const FRAME_SLACK: usize = 4 << 10;
/// Maximum length of an answer that is relayed as a whole, in bytes.
pub const WHOLE_ANSWER_LIMIT: usize = VALUE_LIMIT + FRAME_SLACK;
/// Maximum length of a query, in bytes: a value in hexadecimal digits inside a statement.
pub const QUERY_LIMIT: usize = 2 * VALUE_LIMIT + FRAME_SLACK;
/// Maximum length of a message of a record server, in bytes. Values have up to 4 MiB; a greater length is malformed.
const RESPONSE_LIMIT: usize = (4 << 20) + FRAME_SLACK;
/// Maximum length of a startup packet, in bytes.
const STARTUP_LIMIT: usize = 10_000;

/// SQLSTATE codes, under the names in PostgreSQL's documentation.
pub mod sqlstate {
    /// The peer has sent something malformed.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// It is not known whether the statement was executed.
    pub const TRANSACTION_RESOLUTION_UNKNOWN: &str = "08007";
    /// The message or statement is not supported.
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    /// The statement is not a request.
    pub const SYNTAX_ERROR: &str = "42601";
    /// The client has cancelled the statement.
    pub const QUERY_CANCELED: &str = "57014";
    /// The server is a replica and accepts no writes.
    pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
    /// The server's data is older than the statement allows.
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    /// There is not enough memory for the statement.
    pub const OUT_OF_MEMORY: &str = "53200";
    /// The server currently accepts no more connections or statements.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
}

/// Bytes that violate the protocol, with a description of the violation.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct Malformed(pub String);

/// A message with a tag, at the start of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The kind of message.
    pub tag: u8,
    /// The bytes after the length.
    pub body: &'a [u8],
    /// The whole message, including tag and length.
    pub raw: &'a [u8],
}

/// Parses the first message of `bytes`; `None` if it is incomplete. A length above `limit` is an error as soon as the
/// length has arrived, so that a peer cannot make a buffer grow beyond the limit.
pub fn parse_message(bytes: &[u8], limit: usize) -> Result<Option<Message<'_>>, Malformed> {
    let [tag, a, b, c, d, ..] = *bytes else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length < 4 || length > limit {
        return Err(Malformed(format!(
            "message {:?} has length {length}",
            char::from(tag)
        )));
    }
    Ok(bytes.get(..1 + length).map(|raw| Message {
        tag,
        body: &raw[5..],
        raw,
    }))
}

/// Appends a message whose body `fill` writes.
pub fn put(out: &mut Vec<u8>, tag: u8, fill: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    put_untagged(out, fill);
}

/// Appends a packet without a tag, whose body `fill` writes.
fn put_untagged(out: &mut Vec<u8>, fill: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0; 4]);
    fill(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a text and a zero byte.
pub fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|&b| b != 0));
    out.push(0);
}

/// Parses a text terminated by a zero byte; returns it with the bytes after it.
pub fn parse_text(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let end = memchr::memchr(0, bytes)?;
    Some((std::str::from_utf8(&bytes[..end]).ok()?, &bytes[end + 1..]))
}

/// Appends an ErrorResponse.
pub fn put_error(out: &mut Vec<u8>, severity: &str, code: &str, text: &str, detail: Option<&str>) {
    put(out, b'E', |body| {
        let fields = [
            (b'S', Some(severity)),
            (b'V', Some(severity)),
            (b'C', Some(code)),
            (b'M', Some(text)),
        ];
        for (field, value) in fields.into_iter().chain([(b'D', detail)]) {
            if let Some(value) = value {
                body.push(field);
                put_text(body, value);
            }
        }
        body.push(0);
    });
}

/// The value of a field in the body of an ErrorResponse; `None` if the field is missing.
pub fn error_field(mut body: &[u8], wanted: u8) -> Option<&str> {
    while let Some((&field, rest)) = body.split_first().filter(|(&field, _)| field != 0) {
        let (value, after) = parse_text(rest)?;
        if field == wanted {
            return Some(value);
        }
        body = after;
    }
    None
}

/// Appends ReadyForQuery.
pub fn put_ready_for_query(out: &mut Vec<u8>) {
    put(out, b'Z', |body| body.push(b'I'));
}
