//! Version 3 of PostgreSQL's wire protocol: codec only. `server` is the side that clients see, `client` the
//! side that record servers see, `statement` reads what a query says of itself.

pub mod client;
pub mod server;
pub mod statement;

use std::fmt;

/// Largest value that clients write, and that is relayed in one piece, and what may stand around it in a message.
const VALUE_LIMIT: usize = 64 << 10;
const FRAME_SLACK: usize = 4 << 10;
/// A value in hexadecimal digits inside a statement.
pub const QUERY_LIMIT: usize = 2 * VALUE_LIMIT + FRAME_SLACK;
/// Record servers give values of up to 4 MiB. Far beyond that a length is a lie.
const ANSWER_LIMIT: usize = (4 << 20) + FRAME_SLACK;
const STARTUP_LIMIT: usize = 10_000;

/// SQLSTATE codes, by the names of PostgreSQL's own table.
pub mod sqlstate {
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    pub const TRANSACTION_RESOLUTION_UNKNOWN: &str = "08007";
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    pub const SYNTAX_ERROR: &str = "42601";
    pub const QUERY_CANCELED: &str = "57014";
    pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    pub const OUT_OF_MEMORY: &str = "53200";
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
}

/// Bytes that no sound peer sends.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A message with a tag, at the start of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Message<'a> {
    pub tag: u8,
    pub body: &'a [u8],
    /// The message as it stands, tag and length too.
    pub raw: &'a [u8],
}

/// The first message of `bytes`, once it is there in full. A length over `limit` is refused as soon as it is
/// read, so that no peer makes a buffer grow beyond it.
pub fn message(bytes: &[u8], limit: usize) -> Result<Option<Message<'_>>, Malformed> {
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

fn put_untagged(out: &mut Vec<u8>, fill: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0; 4]);
    fill(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

pub fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|&b| b != 0));
    out.push(0);
}

/// A text ended by a zero, and what follows it.
pub fn text(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let end = bytes.iter().position(|&b| b == 0)?;
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

/// A field of an ErrorResponse's body.
pub fn error_field(mut body: &[u8], wanted: u8) -> Option<&str> {
    while let Some((&field, rest)) = body.split_first().filter(|(&field, _)| field != 0) {
        let (value, after) = text(rest)?;
        if field == wanted {
            return Some(value);
        }
        body = after;
    }
    None
}

pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', |body| body.push(b'I'));
}
