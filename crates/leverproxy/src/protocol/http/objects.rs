//! Where the JSON objects of a body begin and end. Each byte is looked at once, in whatever pieces the body arrives; the
//! content of an object is parsed once it is complete.

use super::error::{HttpError, NotJson, OBJECT_LIMIT};
use super::Part;

/// The position in the JSON text; the numbers are the depth of nested objects and arrays.
#[derive(Debug, Default)]
enum Position {
    #[default]
    Outside,
    Inside(usize),
    InString(usize),
    /// Behind a backslash in a string.
    Escaped(usize),
}

/// Splits a body into objects.
#[derive(Debug, Default)]
pub(super) struct ObjectSplitter {
    position: Position,
    /// What has arrived of the object that has begun.
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

    /// Whether an object has begun that is not complete.
    pub(super) fn has_incomplete(&self) -> bool {
        !self.object.is_empty()
    }
}

/// The position after a byte; none for white space between objects.
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
        (InString(_) | Escaped(_), 0..b' ') => return unexpected("in a text"),
        (InString(depth), b'"') => Inside(*depth),
        (InString(depth), b'\\') => Escaped(*depth),
        (InString(depth) | Escaped(depth), _) => InString(*depth),
    }))
}
