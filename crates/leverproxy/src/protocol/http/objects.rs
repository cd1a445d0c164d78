//! Where the JSON objects of a body begin and end. Each byte is looked at once, in whatever pieces the body comes; what an
//! object holds is read when it is whole.

use super::{Fault, Part};

/// Largest object of a body.
pub(super) const OBJECT_LIMIT: usize = 4 << 20;

#[derive(Debug, Default)]
enum Place {
    #[default]
    Outside,
    /// In that many objects and arrays.
    Inside(usize),
    Text(usize),
    /// Behind a backslash in a text.
    Escaped(usize),
}

#[derive(Debug, Default)]
pub struct Objects {
    place: Place,
    /// What there is of the object that has begun.
    object: Vec<u8>,
}

impl Objects {
    /// Takes the next bytes in. Objects that came whole before a fault are among the parts.
    pub fn take(&mut self, bytes: &[u8], parts: &mut Vec<Part>) -> Result<(), Fault> {
        let mut alive = !bytes.is_empty();
        for &byte in bytes {
            let Some(place) = next(&self.place, byte)? else {
                continue;
            };
            alive = false;
            self.object.push(byte);
            self.place = place;
            if matches!(self.place, Place::Outside) {
                let object = String::from_utf8(std::mem::take(&mut self.object));
                parts.push(Part::Object(
                    object.map_err(|e| Fault::NotJson(e.to_string()))?,
                ));
            }
            if self.object.len() > OBJECT_LIMIT {
                return Err(Fault::TooLong);
            }
        }
        if alive {
            parts.push(Part::Alive);
        }
        Ok(())
    }

    /// An object has begun that is not whole.
    pub fn begun(&self) -> bool {
        !self.object.is_empty()
    }
}

/// Where the byte leads to; none: it is white space between objects.
fn next(place: &Place, byte: u8) -> Result<Option<Place>, Fault> {
    Ok(Some(match (place, byte) {
        (Place::Outside, b' ' | b'\t' | b'\r' | b'\n') => return Ok(None),
        (Place::Outside, b'{' | b'[') => Place::Inside(1),
        (Place::Outside, _) => return Err(unexpected(byte, "between objects")),
        (Place::Inside(depth), b'"') => Place::Text(*depth),
        (Place::Inside(depth), b'{' | b'[') => Place::Inside(depth + 1),
        (Place::Inside(1), b'}' | b']') => Place::Outside,
        (Place::Inside(depth), b'}' | b']') => Place::Inside(depth - 1),
        (Place::Inside(depth), _) => Place::Inside(*depth),
        (Place::Text(_) | Place::Escaped(_), 0..b' ') => return Err(unexpected(byte, "in a text")),
        (Place::Text(depth), b'"') => Place::Inside(*depth),
        (Place::Text(depth), b'\\') => Place::Escaped(*depth),
        (Place::Text(depth) | Place::Escaped(depth), _) => Place::Text(*depth),
    }))
}

fn unexpected(byte: u8, place: &str) -> Fault {
    Fault::NotJson(format!("{:?} {place}", char::from(byte)))
}
