//! The proxy as a server for clients: parses their startup packets and queries, and writes the responses.

use super::{
    parse_message, parse_text, put, put_error, put_ready_for_query, put_text, put_untagged,
    sqlstate, Malformed, QUERY_LIMIT, STARTUP_LIMIT,
};
use crate::request::Answer;

/// Number of bytes of a message's tag and length.
const MESSAGE_HEAD: usize = 5;
const VERSION_3: u32 = 3 << 16;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// The parameters that are sent to a client at the start of its session.
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Maximum number of bytes of a client that wait to be parsed: a whole query and the bytes after it.
pub const INPUT_LIMIT: usize = QUERY_LIMIT + (16 << 10);

/// The request in a client's first packet.
#[derive(Debug, PartialEq, Eq)]
pub enum Startup {
    /// A new session, with the response that starts it.
    Session(Vec<u8>),
    /// Encryption, which is not supported.
    Encryption,
    /// The cancellation of another session's request.
    Cancel(CancelKey),
}

/// The key that a client sends to cancel a request of a session: the process number and the secret that were sent at
/// the session's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// The session's process number.
    pub process: u32,
    /// The session's secret.
    pub secret: u32,
}

impl CancelKey {
    /// The key of a server whose requests cannot be cancelled.
    pub const NONE: CancelKey = CancelKey {
        process: 0,
        secret: 0,
    };

    fn to_bytes(self) -> [u8; 8] {
        (u64::from(self.process) << 32 | u64::from(self.secret)).to_be_bytes()
    }

    fn parse(bytes: &[u8]) -> Result<CancelKey, Malformed> {
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

/// Parses the first packet; returns it with its length, or `None` if it is incomplete. `key`: the cancel key for a new
/// session.
pub fn parse_startup(bytes: &[u8], key: CancelKey) -> Result<Option<(Startup, usize)>, Malformed> {
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
        CANCEL_REQUEST => Startup::Cancel(CancelKey::parse(options)?),
        version if version >> 16 == 3 => Startup::Session(session_start(version, options, key)?),
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

fn session_start(version: u32, options: &[u8], key: CancelKey) -> Result<Vec<u8>, Malformed> {
    check_options(options)?;
    let mut out = Vec::new();
    if version != VERSION_3 {
        // NegotiateProtocolVersion: the newest supported minor version is 0.
        put(&mut out, b'v', |body| body.extend([0; 8]));
    }
    put(&mut out, b'R', |body| body.extend([0; 4]));
    for (name, value) in PARAMETERS {
        put(&mut out, b'S', |body| {
            put_text(body, name);
            put_text(body, value);
        });
    }
    put(&mut out, b'K', |body| body.extend(key.to_bytes()));
    put_ready_for_query(&mut out);
    Ok(out)
}

/// Checks that the options are complete and name a user.
fn check_options(mut options: &[u8]) -> Result<(), Malformed> {
    let mut user = false;
    while !matches!(options, [] | [0]) {
        let pair = parse_text(options).and_then(|(name, rest)| Some((name, parse_text(rest)?)));
        let Some((name, (_, rest))) = pair else {
            return Err(Malformed("startup options are cut off".into()));
        };
        user |= name == "user";
        options = rest;
    }
    if !user {
        return Err(Malformed("startup names no user".into()));
    }
    Ok(())
}

/// A client's message after its startup.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientMessage<'a> {
    /// A simple query.
    Query(&'a str),
    /// The end of the session.
    Terminate,
    /// Sync, which ends a series of messages of the extended protocol.
    Sync,
    /// A message that is not supported, with its tag.
    Unsupported(u8),
}

/// Parses the first message of `bytes`; returns it with its length, or `None` if it is incomplete.
pub fn parse_client_message(bytes: &[u8]) -> Result<Option<(ClientMessage<'_>, usize)>, Malformed> {
    let Some(message) = parse_message(bytes, QUERY_LIMIT)? else {
        return Ok(None);
    };
    let parsed = match message.tag {
        b'Q' => match parse_text(message.body) {
            Some((query, [])) => ClientMessage::Query(query),
            _ => return Err(Malformed("a query is no text ended by a zero".into())),
        },
        b'X' => ClientMessage::Terminate,
        b'S' => ClientMessage::Sync,
        other => ClientMessage::Unsupported(other),
    };
    Ok(Some((parsed, message.raw.len())))
}

/// Number of bytes of the first message of `bytes`, as far as it can be told from its beginning. A message that is too
/// long counts as one of the maximum length.
pub fn message_length(bytes: &[u8], is_started: bool) -> usize {
    match *bytes {
        [_, a, b, c, d, ..] if is_started => {
            (1 + u32::from_be_bytes([a, b, c, d]) as usize).min(1 + QUERY_LIMIT)
        }
        _ if is_started => MESSAGE_HEAD,
        _ => STARTUP_LIMIT,
    }
}

/// The bytes of a final response, with ReadyForQuery.
pub fn response(answer: Answer) -> Vec<u8> {
    let mut out = Vec::new();
    match answer {
        Answer::Served(bytes) => out = bytes,
        Answer::Rejected(retry_after) => {
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
        Answer::Invalid(why) => put_error(&mut out, "ERROR", sqlstate::SYNTAX_ERROR, &why, None),
    }
    put_ready_for_query(&mut out);
    out
}

/// The response to an empty query.
pub fn empty_query() -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'I', |_| {});
    put_ready_for_query(&mut out);
    out
}

/// The response to a completed statement with this command tag.
pub fn command_complete(tag: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'C', |body| put_text(body, tag));
    put_ready_for_query(&mut out);
    out
}

/// The response to a message that is not supported.
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

/// ReadyForQuery alone.
pub fn ready_for_query() -> Vec<u8> {
    let mut out = Vec::new();
    put_ready_for_query(&mut out);
    out
}

/// The last message to a client that has sent malformed bytes.
pub fn protocol_violation(why: &Malformed) -> Vec<u8> {
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

/// The last message to a client whose incomplete command would exceed the memory limit.
pub fn out_of_memory() -> Vec<u8> {
    let mut out = Vec::new();
    let text = "too many bytes of unfinished commands are waiting";
    put_error(&mut out, "FATAL", sqlstate::OUT_OF_MEMORY, text, None);
    out
}

/// The last message to a client above the limit of connections.
pub fn too_many_connections() -> Vec<u8> {
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

/// The packet that a client sends on a new connection to cancel a request.
pub fn cancel_packet(key: CancelKey) -> Vec<u8> {
    let mut out = Vec::new();
    put_untagged(&mut out, |body| {
        body.extend(CANCEL_REQUEST.to_be_bytes());
        body.extend(key.to_bytes());
    });
    out
}

/// A client's startup packet.
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
