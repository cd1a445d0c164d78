//! Finds the boundaries of the JSON objects in a body. Each byte is examined once, however the body is split on
//! arrival; the content of an object is parsed by the caller once the object is complete.

use super::error::{HttpError, NotJson, OBJECT_LIMIT};
use super::Part;

/// The position in the JSON text; the numbers are the nesting depth of objects and arrays.
#[derive(Debug, Default)]
enum Position {
    #[default]
    Outside,
    Inside(usize),
    InString(usize),
    /// After a backslash in a string.
    Escaped(usize),
}

/// Splits a body into objects.
#[derive(Debug, Default)]
pub(super) struct ObjectSplitter {
    position: Position,
    /// The bytes that have arrived of the incomplete object.
    object: Vec<u8>,
}

impl ObjectSplitter {
    /// Splits the next bytes. Objects that were complete before an error are appended too.
    pub(super) fn split(&mut self, bytes: &[u8], parts: &mut Vec<Part>) -> Result<(), HttpError> {
        let mut only_space = !bytes.is_empty();
        for &byte in bytes {
            let Some(position) = next(&self.position, byte)? else {
                continue;
            };
            only_space = false;
            self.object.push(byte);
            self.position = position;
            if matches!(self.position, Position::Outside) {
                let object = String::from_utf8(std::mem::take(&mut self.object));
                parts.push(Part::Object(object.map_err(NotJson::from)?));
            }
            if self.object.len() > OBJECT_LIMIT {
                return Err(HttpError::ObjectTooLong);
            }
        }
        if only_space {
            parts.push(Part::Keepalive);
        }
        Ok(())
    }

    /// Whether there is an incomplete object.
    pub(super) fn has_incomplete(&self) -> bool {
        !self.object.is_empty()
    }
}

/// The position after a byte; `None` for white space between objects.
fn next(position: &Position, byte: u8) -> Result<Option<Position>, NotJson> {
    use Position::{Escaped, InString, Inside, Outside};
    let unexpected = |place| Err(NotJson::Unexpected { byte, place });
    Ok(Some(match (position, byte) {
        (Outside, b' ' | b'\t' | b'\r' | b'\n') => return Ok(None),
        (Outside, b'{' | b'[') => Inside(1),
        (Outside, _) => return unexpected("between objects"),
        (Inside(depth), b'"') => InString(*depth),
        (Inside(depth), b'{' | b'[') => Inside(depth + 1),
        (Inside(1), b'}' | b']') => Outside,
        (Inside(depth), b'}' | b']') => Inside(depth - 1),
        (Inside(depth), _) => Inside(*depth),
        (InString(_) | Escaped(_), 0..b' ') => return unexpected("in a string"),
        (InString(depth), b'"') => Inside(*depth),
        (InString(depth), b'\\') => Escaped(*depth),
        (InString(depth) | Escaped(depth), _) => InString(*depth),
    }))
}
