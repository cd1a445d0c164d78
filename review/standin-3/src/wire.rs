//! Messages of version 3 of PostgreSQL's protocol, as far as the stand-ins need them.

use std::io::{self, Read};

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn startup() -> Vec<u8> {
    let body = b"user\0app\0database\0shop\0\0";
    let mut out = (body.len() as u32 + 8).to_be_bytes().to_vec();
    out.extend((3u32 << 16).to_be_bytes());
    out.extend(body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(
        b'E',
        format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes(),
    )
}

/// RowDescription, DataRow of one column, CommandComplete.
pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut head = vec![0, 1];
    head.extend(b"doc\0");
    head.extend([0; 6]);
    head.extend(17u32.to_be_bytes());
    head.extend((-1i16).to_be_bytes());
    head.extend((-1i32).to_be_bytes());
    head.extend(1u16.to_be_bytes());
    let mut body = vec![0, 1];
    body.extend((value.len() as u32).to_be_bytes());
    body.extend(value);
    let mut out = message(b'T', &head);
    out.extend(message(b'D', &body));
    out.extend(message(b'C', format!("{tag}\0").as_bytes()));
    out
}

pub fn read_message(from: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if length < 4 {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - 4];
    from.read_exact(&mut body)?;
    Ok((head[0], body))
}

pub fn read_startup(from: &mut impl Read) -> io::Result<()> {
    let mut head = [0; 4];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes(head) as usize;
    let mut rest = vec![0; length.saturating_sub(4)];
    from.read_exact(&mut rest)
}

/// A value of the comment of a statement.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.rsplit("/*").next()?.split("*/").next()?;
    comment.split(',').find_map(|pair| {
        let (key, value) = pair.trim().split_once('=')?;
        (key == name).then_some(value)
    })
}

/// The first quoted text of a statement: its key.
pub fn key(statement: &str) -> &str {
    statement.split('\'').nth(1).unwrap_or("")
}
