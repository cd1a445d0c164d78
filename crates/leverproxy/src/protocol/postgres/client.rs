//! The proxy as a client of record servers: writes queries, and parses and checks their responses.

use super::{
    error_field, parse_message, parse_text, put, sqlstate, Malformed, Message, FRAME_SLACK,
    RESPONSE_LIMIT, VALUE_LIMIT,
};
use crate::request::{ExchangeOutcome, UpstreamQuery};
use routing::{ResponseMetadata, Time};
use std::time::Duration;

/// Maximum number of response bytes that wait to be parsed: the largest message that is relayed as a whole, and the
/// messages after it.
pub const INPUT_LIMIT: usize = VALUE_LIMIT + FRAME_SLACK + (8 << 10);

const USER: &str = "app";
const DATABASE: &str = "shop";
/// Number of bytes of a DataRow before its first value: tag, length, number of columns, length of the value.
const ROW_HEADER: usize = 11;
/// Number of bytes that a RowDescription has for a column in addition to its name.
const COLUMN_FIELDS: usize = 18;
/// Number of bytes of a query message besides its text: tag, length, terminating zero.
const QUERY_FRAME: usize = 6;
/// Maximum number of digits of the time left.
const MAX_TIME_DIGITS: usize = 40;
/// Maximum length of the messages of the handshake and of the session's state, in bytes.
const SHORT_MESSAGE: usize = 1 << 10;

/// The startup packet of a connection to a record server.
pub fn startup() -> Vec<u8> {
    super::server::startup_packet(USER, DATABASE)
}

/// The query message for `query`. A command is relayed unchanged, except that it states the time left until its
/// client's deadline.
pub fn query(query: &UpstreamQuery, time_left: Duration) -> Vec<u8> {
    let mut out = Vec::with_capacity(query_capacity(query));
    put(&mut out, b'Q', |body| {
        match query {
            UpstreamQuery::Command(command) => {
                body.extend_from_slice(&command.before_time_left);
                body.extend_from_slice(time_left.as_millis().max(1).to_string().as_bytes());
                body.extend_from_slice(&command.after_time_left);
            }
            UpstreamQuery::Load => body.extend_from_slice(b"SHOW load"),
        }
        body.push(0);
    });
    out
}

/// Number of bytes that suffice for the query message of `query`.
fn query_capacity(query: &UpstreamQuery) -> usize {
    match query {
        UpstreamQuery::Command(command) => command.byte_count() + MAX_TIME_DIGITS + QUERY_FRAME,
        UpstreamQuery::Load => FRAME_SLACK,
    }
}

/// The stage of a response. Messages in any other order are malformed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// The greeting on a new connection, which ends with ReadyForQuery like a response.
    Greeting,
    Authenticated,
    /// The query has been sent.
    #[default]
    Queried,
    /// RowDescription has arrived.
    Described,
    /// A row that is too large to be buffered, with the number of its bytes that are still to come.
    StreamingRow(usize),
    /// The row has arrived.
    Row,
    /// CommandComplete or an error has arrived.
    Finished,
}

/// The result of a parsing step, with the number of bytes that it used.
enum Step {
    /// More of the bytes may be parsed.
    Continue(usize),
    /// More bytes have to arrive.
    Wait(usize),
    /// The response is complete.
    Complete(usize),
}

/// Parses one response, up to ReadyForQuery, as its bytes arrive. Only a response of one column and one row, in order
/// and with consistent lengths, is relayed. So a client does not receive as its value the output of a server that sends
/// noise, endless lines or wrong lengths.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// The messages to relay to the client.
    relayed: Vec<u8>,
    stage: Stage,
    /// Whether the response is forwarded in chunks.
    streaming: bool,
    error_code: Option<String>,
    metadata: ResponseMetadata,
}

/// Maximum length of messages with this tag, in bytes; `None` if the tag is not expected.
fn max_message_length(tag: u8, stage: Stage) -> Option<usize> {
    Some(match tag {
        b'D' => RESPONSE_LIMIT,
        b'T' | b'S' => SHORT_MESSAGE,
        b'E' | b'N' | b'A' => FRAME_SLACK,
        b'C' => 64,
        b'Z' => 5,
        b'R' | b'K' | b'v' if matches!(stage, Stage::Greeting | Stage::Authenticated) => {
            SHORT_MESSAGE
        }
        _ => return None,
    })
}

fn malformed(tag: u8, problem: &str) -> Malformed {
    Malformed(format!("message {:?} {problem}", char::from(tag)))
}

impl ResponseReader {
    /// A reader for the greeting on a new connection.
    pub fn greeting() -> ResponseReader {
        ResponseReader {
            stage: Stage::Greeting,
            ..ResponseReader::default()
        }
    }

    /// Parses the complete messages at the start of `bytes`; returns the number of bytes used, and whether the response
    /// is complete.
    pub fn parse(&mut self, bytes: &[u8]) -> Result<(usize, bool), Malformed> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            let step = match self.stage {
                Stage::StreamingRow(left) => self.stream_row(rest, left),
                _ => self.parse_next(rest)?,
            };
            match step {
                Step::Continue(used) => at += used,
                Step::Wait(used) => return Ok((at + used, false)),
                Step::Complete(used) => return Ok((at + used, true)),
            }
        }
    }

    fn stream_row(&mut self, rest: &[u8], left: usize) -> Step {
        let used = rest.len().min(left);
        self.relayed.extend_from_slice(&rest[..used]);
        if used < left {
            self.stage = Stage::StreamingRow(left - used);
            return Step::Wait(used);
        }
        self.stage = Stage::Row;
        Step::Continue(used)
    }

    fn parse_next(&mut self, rest: &[u8]) -> Result<Step, Malformed> {
        let Some(&tag) = rest.first() else {
            return Ok(Step::Wait(0));
        };
        let max_length =
            max_message_length(tag, self.stage).ok_or_else(|| malformed(tag, "is not expected"))?;
        if tag == b'D' && rest.len() >= ROW_HEADER && self.begin_large_row(rest)? {
            return Ok(Step::Continue(0));
        }
        let Some(message) = parse_message(rest, max_length)? else {
            return Ok(Step::Wait(0));
        };
        let used = message.raw.len();
        let ready = tag == b'Z' && matches!(self.stage, Stage::Finished | Stage::Authenticated);
        if ready && matches!(message.body, [b'I' | b'T' | b'E']) {
            return Ok(Step::Complete(used));
        }
        self.stage = self.next_stage(&message)?;
        if matches!(tag, b'T' | b'D' | b'C') {
            self.relayed.extend_from_slice(message.raw);
        }
        Ok(Step::Continue(used))
    }

    /// Checks the header of a row, so that a malformed row is rejected before it has arrived in full. Returns whether
    /// the row is forwarded in chunks.
    fn begin_large_row(&mut self, rest: &[u8]) -> Result<bool, Malformed> {
        let number = |at: usize| {
            let bytes = &rest[at..at + 4];
            bytes.iter().fold(0, |n: usize, &b| n << 8 | usize::from(b))
        };
        let (message_length, columns, value_length) = (number(1), &rest[5..7], number(7));
        if columns != [0, 1] || value_length + 10 != message_length {
            return Err(malformed(b'D', "is not a row of one value"));
        }
        if message_length > RESPONSE_LIMIT {
            return Err(malformed(b'D', "has a length above the limit of values"));
        }
        if value_length <= VALUE_LIMIT {
            return Ok(false);
        }
        if self.stage != Stage::Described {
            return Err(malformed(b'D', "is out of place"));
        }
        self.streaming = true;
        self.stage = Stage::StreamingRow(message_length + 1);
        Ok(true)
    }

    /// The stage after a message; an error if the message is out of order.
    fn next_stage(&mut self, message: &Message<'_>) -> Result<Stage, Malformed> {
        let (tag, body) = (message.tag, message.body);
        Ok(match (tag, self.stage) {
            (b'T', Stage::Queried) if has_one_column(body) => Stage::Described,
            (b'D', Stage::Described) if body.len() >= 6 => Stage::Row,
            (b'C', Stage::Row) if matches!(parse_text(body), Some((_, []))) => Stage::Finished,
            (b'E', stage) if stage != Stage::Finished => {
                let code = error_field(body, b'C').filter(|code| code.len() == 5);
                let code =
                    code.ok_or_else(|| malformed(tag, "has no SQLSTATE code of 5 characters"))?;
                self.error_code = Some(code.to_owned());
                Stage::Finished
            }
            (b'R', Stage::Greeting) if body == [0; 4] => Stage::Authenticated,
            (b'S', stage) => {
                self.read_parameter(body);
                stage
            }
            (b'N' | b'A' | b'K' | b'v', stage) => stage,
            _ => return Err(malformed(tag, "is out of place or malformed")),
        })
    }

    fn read_parameter(&mut self, body: &[u8]) {
        let pair = parse_text(body).and_then(|(name, rest)| Some((name, parse_text(rest)?.0)));
        match pair {
            Some(("role", "primary")) => self.metadata.primary = Some(true),
            Some(("role", "replica")) => self.metadata.primary = Some(false),
            Some(("applied_ms", value)) => self.metadata.position = parse_position(value),
            _ => {}
        }
    }

    /// Takes the bytes that have arrived of a response that is forwarded in chunks; they may be empty. Returns `None`
    /// for other responses.
    pub fn take_chunk(&mut self) -> Option<Vec<u8>> {
        // The messages after the row are forwarded with the end of the response.
        let in_row = matches!(self.stage, Stage::StreamingRow(_) | Stage::Row);
        self.streaming.then(|| {
            if in_row {
                std::mem::take(&mut self.relayed)
            } else {
                Vec::new()
            }
        })
    }

    /// Number of bytes that are still to come of a row that is forwarded in chunks.
    pub fn row_bytes_left(&self) -> usize {
        match self.stage {
            Stage::StreamingRow(left) => left,
            _ => 0,
        }
    }

    /// Number of bytes that wait to be relayed.
    pub fn relayed_bytes(&self) -> usize {
        self.relayed.len()
    }

    /// Whether an error message has arrived, which ends the response even without ReadyForQuery.
    pub fn has_error(&self) -> bool {
        self.error_code.is_some()
    }

    /// Whether the server has rejected the query or the connection without processing it, because it is at its limit.
    pub fn is_rejected(&self) -> bool {
        self.error_code.as_deref() == Some(sqlstate::TOO_MANY_CONNECTIONS)
    }

    /// The outcome and the metadata of a response that is complete or has an error.
    pub fn outcome(self, query: &UpstreamQuery) -> (ExchangeOutcome, ResponseMetadata) {
        let outcome = match (self.error_code.as_deref(), query) {
            (Some(sqlstate::READ_ONLY_SQL_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD), _) => {
                ExchangeOutcome::Misdirected
            }
            (Some(_), _) if self.is_rejected() => ExchangeOutcome::Rejected,
            (Some(_), _) => ExchangeOutcome::Failed,
            (None, UpstreamQuery::Command(_)) => ExchangeOutcome::Served(self.relayed),
            (None, UpstreamQuery::Load) => ExchangeOutcome::Reported(
                first_value(&self.relayed)
                    .and_then(load_fields)
                    .unwrap_or_default(),
            ),
        };
        (outcome, self.metadata)
    }
}

/// Parses a position in Unix milliseconds; `None` if it is 0 or not a number.
fn parse_position(value: &str) -> Option<Time> {
    let ms = value.parse().ok().filter(|&ms: &u64| ms > 0)?;
    Some(Time(Duration::from_millis(ms)))
}

/// Whether the body of a RowDescription has one column: its name and [`COLUMN_FIELDS`] bytes.
fn has_one_column(body: &[u8]) -> bool {
    let [0, 1, column @ ..] = body else {
        return false;
    };
    parse_text(column).is_some_and(|(_, rest)| rest.len() == COLUMN_FIELDS)
}

/// The value of the first column in the first row of a response; `None` without a valid row.
fn first_value(relayed: &[u8]) -> Option<&str> {
    let mut rest = relayed;
    loop {
        let message = parse_message(rest, RESPONSE_LIMIT).ok()??;
        if message.tag == b'D' {
            let (length, value) = message.body.get(2..)?.split_first_chunk::<4>()?;
            let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
            return std::str::from_utf8(value.get(..length)?).ok();
        }
        rest = &rest[message.raw.len()..];
    }
}

/// The fields of a load report, such as `inflight=7,util=0.61`; `None` if one of them is malformed.
fn load_fields(text: &str) -> Option<Vec<(String, f64)>> {
    let field = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        let valid = value.is_finite() && value >= 0.0;
        valid.then(|| (name.trim().to_owned(), value))
    };
    text.split(',').map(field).collect()
}
