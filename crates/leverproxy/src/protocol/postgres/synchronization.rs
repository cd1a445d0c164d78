//! Synchronization of a connection to a record server after a response: an empty query, whose response cannot be mistaken
//! for a response to a request.
//!
//! Responses carry no identifier, and a server may send more than one response to a query. As a server handles the queries
//! of a connection in order, all bytes that it sent for earlier queries arrive before the response to the empty query.

use super::{parse_message, put, Malformed, FRAME_SLACK};

/// The message of an empty query.
pub fn synchronization_query() -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', |body| body.push(0));
    out
}

/// Parses the response to an empty query as its bytes arrive.
#[derive(Debug, Default)]
pub struct SynchronizationReader {
    /// Whether EmptyQueryResponse has arrived.
    is_answered: bool,
}

impl SynchronizationReader {
    /// Parses the complete messages at the start of `bytes`; returns the number of bytes used, and whether the response
    /// is complete.
    ///
    /// # Errors
    /// The bytes belong to an earlier query, or the server does not answer empty queries.
    pub fn parse(&mut self, bytes: &[u8]) -> Result<(usize, bool), Malformed> {
        let mut used = 0;
        while let Some(message) = parse_message(&bytes[used..], FRAME_SLACK)? {
            used += message.raw.len();
            match (message.tag, message.body) {
                // Notices and changes of parameters may be sent at any time.
                (b'N' | b'A' | b'S', _) => {}
                (b'I', []) if !self.is_answered => self.is_answered = true,
                (b'Z', [b'I' | b'T' | b'E']) if self.is_answered => return Ok((used, true)),
                (tag, _) => {
                    let tag = char::from(tag);
                    return Err(Malformed(format!(
                        "message {tag:?} does not belong to the response to an empty query"
                    )));
                }
            }
        }
        Ok((used, false))
    }
}
