//! The side that clients see: their startup and queries read, the proxy's answers written.

use super::{
    message, put, put_error, put_ready, put_text, put_untagged, sqlstate, text, Malformed,
    QUERY_LIMIT, STARTUP_LIMIT,
};
use crate::request::Answer;

const VERSION_3: u32 = 3 << 16;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// Bytes of a client that may wait unread: a whole query and what follows it.
pub const INPUT_LIMIT: usize = QUERY_LIMIT + (16 << 10);

/// What a client's first bytes ask for.
#[derive(Debug, PartialEq, Eq)]
pub enum Startup {
    /// A session; the answer that welcomes it.
    Session(Vec<u8>),
    /// Encryption, which is not offered here.
    Encryption,
    /// The end of what another session has asked for.
    Cancel(CancelKey),
}

/// What a client has to name to cancel a request of a session: its process and its secret, as the welcome told them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    pub process: u32,
    pub secret: u32,
}

impl CancelKey {
    /// Of a server whose requests can't be cancelled.
    pub const NONE: CancelKey = CancelKey {
        process: 0,
        secret: 0,
    };

    fn to_bytes(self) -> [u8; 8] {
        (u64::from(self.process) << 32 | u64::from(self.secret)).to_be_bytes()
    }

    fn read(bytes: &[u8]) -> Result<CancelKey, Malformed> {
        let bytes: [u8; 8] = bytes
            .try_into()
            .map_err(|_| Malformed("a cancel request names no process and secret".into()))?;
        let both = u64::from_be_bytes(bytes);
        Ok(CancelKey {
            process: (both >> 32) as u32,
            secret: both as u32,
        })
    }
}

/// Reads the untagged first packet, which a session is welcomed for with this key; how many bytes it took.
pub fn startup(bytes: &[u8], key: CancelKey) -> Result<Option<(Startup, usize)>, Malformed> {
    let Some((head, _)) = bytes.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if !(8..=STARTUP_LIMIT).contains(&length) {
        return Err(Malformed(format!("startup packet has length {length}")));
    }
    let Some(packet) = bytes.get(4..length) else {
        return Ok(None);
    };
    let Some((code, options)) = packet.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let startup = match u32::from_be_bytes(*code) {
        SSL_REQUEST | GSS_REQUEST => Startup::Encryption,
        CANCEL_REQUEST => Startup::Cancel(CancelKey::read(options)?),
        version if version >> 16 == 3 => Startup::Session(welcome(version, options, key)?),
        other => {
            return Err(Malformed(format!(
                "protocol {}.{} is not spoken",
                other >> 16,
                other & 0xffff
            )))
        }
    };
    Ok(Some((startup, length)))
}

fn welcome(version: u32, mut options: &[u8], key: CancelKey) -> Result<Vec<u8>, Malformed> {
    let mut out = Vec::new();
    let mut user = false;
    while !matches!(options, [] | [0]) {
        let pair = text(options).and_then(|(name, rest)| Some((name, text(rest)?)));
        let Some((name, (_, rest))) = pair else {
            return Err(Malformed("startup options are cut off".into()));
        };
        user |= name == "user";
        options = rest;
    }
    if !user {
        return Err(Malformed("startup names no user".into()));
    }
    if version != VERSION_3 {
        // A newer minor version: this is the newest one spoken here.
        put(&mut out, b'v', |body| body.extend([0; 8]));
    }
    put(&mut out, b'R', |body| body.extend([0; 4]));
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        put(&mut out, b'S', |body| {
            put_text(body, name);
            put_text(body, value);
        });
    }
    put(&mut out, b'K', |body| body.extend(key.to_bytes()));
    put_ready(&mut out);
    Ok(out)
}

/// A client's message after its startup.
#[derive(Debug, PartialEq, Eq)]
pub enum Asked<'a> {
    Query(&'a str),
    Terminate,
    /// The end of a series of messages of the extended protocol.
    Sync,
    /// A message that is not spoken here.
    Unsupported(u8),
}

pub fn asked(bytes: &[u8]) -> Result<Option<(Asked<'_>, usize)>, Malformed> {
    let Some(message) = message(bytes, QUERY_LIMIT)? else {
        return Ok(None);
    };
    let asked = match message.tag {
        b'Q' => match text(message.body) {
            Some((query, [])) => Asked::Query(query),
            _ => return Err(Malformed("a query is no text ended by a zero".into())),
        },
        b'X' => Asked::Terminate,
        b'S' => Asked::Sync,
        other => Asked::Unsupported(other),
    };
    Ok(Some((asked, message.raw.len())))
}

/// The bytes of a final answer, ReadyForQuery with it.
pub fn answer(answer: Answer) -> Vec<u8> {
    let mut out = Vec::new();
    match answer {
        Answer::Served(bytes) => out = bytes,
        Answer::Refused(retry_after) => {
            let millis = retry_after.map(|d| d.as_millis().to_string());
            let text = "no record server can take this now";
            put_error(
                &mut out,
                "ERROR",
                sqlstate::TOO_MANY_CONNECTIONS,
                text,
                millis.as_deref(),
            );
        }
        Answer::Failed => {
            let text = "no answer came; whether the statement ran is not known";
            put_error(
                &mut out,
                "ERROR",
                sqlstate::TRANSACTION_RESOLUTION_UNKNOWN,
                text,
                None,
            );
        }
        Answer::Cancelled => {
            let text = "cancelled by the client; whether the statement ran is not known";
            put_error(&mut out, "ERROR", sqlstate::QUERY_CANCELED, text, None);
        }
        Answer::Rejected(why) => put_error(&mut out, "ERROR", sqlstate::SYNTAX_ERROR, &why, None),
    }
    put_ready(&mut out);
    out
}

pub fn empty_query() -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'I', |_| {});
    put_ready(&mut out);
    out
}

pub fn done(tag: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'C', |body| put_text(body, tag));
    put_ready(&mut out);
    out
}

pub fn unsupported(tag: u8) -> Vec<u8> {
    let mut out = Vec::new();
    let text = format!(
        "message {:?} is not supported: send simple queries",
        char::from(tag)
    );
    put_error(
        &mut out,
        "ERROR",
        sqlstate::FEATURE_NOT_SUPPORTED,
        &text,
        None,
    );
    out
}

pub fn ready() -> Vec<u8> {
    let mut out = Vec::new();
    put_ready(&mut out);
    out
}

/// The last word to a client whose bytes make no sense.
pub fn fatal(why: &Malformed) -> Vec<u8> {
    let mut out = Vec::new();
    put_error(
        &mut out,
        "FATAL",
        sqlstate::PROTOCOL_VIOLATION,
        &why.0,
        None,
    );
    out
}

/// The last word to a client whose unfinished command there is no memory for.
pub fn no_memory() -> Vec<u8> {
    let mut out = Vec::new();
    let text = "too many bytes of unfinished commands are waiting";
    put_error(&mut out, "FATAL", sqlstate::OUT_OF_MEMORY, text, None);
    out
}

/// The last word to a client for whom there is no place.
pub fn too_many() -> Vec<u8> {
    let mut out = Vec::new();
    put_error(
        &mut out,
        "FATAL",
        sqlstate::TOO_MANY_CONNECTIONS,
        "too many clients are connected",
        None,
    );
    out
}

/// What a client sends on a connection of its own to cancel a request.
pub fn cancel_packet(key: CancelKey) -> Vec<u8> {
    let mut out = Vec::new();
    put_untagged(&mut out, |body| {
        body.extend(CANCEL_REQUEST.to_be_bytes());
        body.extend(key.to_bytes());
    });
    out
}

/// A client's startup packet, as record servers get it too.
pub fn startup_packet(user: &str, database: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_untagged(&mut out, |body| {
        body.extend(VERSION_3.to_be_bytes());
        for text in ["user", user, "database", database] {
            put_text(body, text);
        }
        body.push(0);
    });
    out
}
