//! Decodes the next message of a client: PROXY protocol header, startup message, then commands.

use super::client::Client;
use crate::event_loop::slab::Key;
use crate::protocol::postgres::server::{self, CancelKey, ClientMessage, Startup};
use crate::protocol::postgres::statement::{self, Query};
use crate::protocol::postgres::Malformed;
use crate::request::{Request, ResponseSlot};
use std::time::Instant;
use wire_health::proxy::{self, Source};

/// The result of decoding one message.
#[allow(
    clippy::large_enum_variant,
    reason = "lives for one call, and the large variant is the usual one"
)]
pub(super) enum Step {
    /// The next message has not arrived in full.
    Incomplete,
    /// The message is handled; no further step is needed.
    Done,
    /// The client ends its session.
    Terminate,
    /// The connection was made to cancel another session's request.
    Cancel(CancelKey),
    Request(ResponseSlot, Request),
    /// A statement that is not a request, with the reason.
    Rejected(String),
}

/// Decodes the next message.
///
/// # Errors
/// The bytes are not a message of the protocol.
pub(super) fn decode_next(client: &mut Client, key: Key, now: Instant) -> Result<Step, Malformed> {
    if client.awaits_proxy_header {
        decode_proxy_header(client)
    } else if client.is_started {
        decode_command(client, key, now)
    } else {
        decode_startup(client)
    }
}

/// Takes the client's address from the PROXY protocol header of the balancer in front of the proxy.
fn decode_proxy_header(client: &mut Client) -> Result<Step, Malformed> {
    let found =
        proxy::parse(client.stream.input.unused()).map_err(|fault| Malformed(fault.to_string()))?;
    let Some((from, used)) = found else {
        return Ok(Step::Incomplete);
    };
    client.stream.input.consume(used);
    client.awaits_proxy_header = false;
    if let Source::Client(address) = from {
        client.peer = address.ip();
    }
    Ok(Step::Done)
}

fn decode_startup(client: &mut Client) -> Result<Step, Malformed> {
    let input = client.stream.input.unused();
    let Some((startup, used)) = server::parse_startup(input, client.cancel_key)? else {
        return Ok(Step::Incomplete);
    };
    client.stream.input.consume(used);
    match startup {
        Startup::Session(greeting) => {
            client.is_started = true;
            client.push_response(greeting);
        }
        Startup::Encryption => client.push_response(b"N".to_vec()),
        Startup::Cancel(cancel_key) => return Ok(Step::Cancel(cancel_key)),
    }
    Ok(Step::Done)
}

fn decode_command(client: &mut Client, key: Key, now: Instant) -> Result<Step, Malformed> {
    let Some((command, used)) = server::parse_client_message(client.stream.input.unused())? else {
        return Ok(Step::Incomplete);
    };
    let mut skips_until_sync = client.skips_until_sync;
    let decoded = match command {
        ClientMessage::Terminate => return Ok(Step::Terminate),
        ClientMessage::Sync => {
            skips_until_sync = false;
            Decoded::Answer(server::ready_for_query())
        }
        ClientMessage::Unsupported(_) | ClientMessage::Query(_) if skips_until_sync => {
            Decoded::Ignored
        }
        ClientMessage::Unsupported(tag) => {
            skips_until_sync = true;
            Decoded::Answer(server::unsupported(tag))
        }
        ClientMessage::Query(text) => decode_query(text, now),
    };
    client.skips_until_sync = skips_until_sync;
    client.stream.input.consume(used);
    match decoded {
        Decoded::Ignored => {}
        Decoded::Answer(answer) => client.push_response(answer),
        Decoded::Rejected(reason) => return Ok(Step::Rejected(reason)),
        Decoded::Request(mut request) => {
            request.client = client.peer;
            let number = client.push_waiting(request.command.byte_count());
            let slot = ResponseSlot {
                client: key,
                number,
            };
            return Ok(Step::Request(slot, request));
        }
    }
    Ok(Step::Done)
}

#[allow(
    clippy::large_enum_variant,
    reason = "lives for one call, and the large variant is the usual one"
)]
enum Decoded {
    Ignored,
    Answer(Vec<u8>),
    Request(Request),
    Rejected(String),
}

fn decode_query(text: &str, now: Instant) -> Decoded {
    match statement::parse(text, now) {
        Ok(Query::Empty) => Decoded::Answer(server::empty_query()),
        Ok(Query::Setting(tag)) => Decoded::Answer(server::command_complete(tag)),
        Ok(Query::Request(request)) => Decoded::Request(request),
        Err(error) => Decoded::Rejected(error.to_string()),
    }
}
