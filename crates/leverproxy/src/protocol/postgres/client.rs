//! The side that record servers see: queries written, their answers read and understood.

use super::{
    error_field, message, put, sqlstate, text, Malformed, ANSWER_LIMIT, FRAME_SLACK, VALUE_LIMIT,
};
use crate::request::{ExchangeOutcome, Question};
use routing::{ResponseMetadata, Time};
use std::time::Duration;

/// Bytes of an answer that may wait unread: the largest that is relayed in one piece, and what follows it.
pub const INPUT_LIMIT: usize = VALUE_LIMIT + FRAME_SLACK + (8 << 10);

pub fn startup() -> Vec<u8> {
    super::server::startup_packet("app", "shop")
}

/// The query for a question whose answer is waited for so long. A command passes as it came, but for that time.
pub fn question(question: &Question, wait: Duration) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', |body| {
        match question {
            Question::Command(command) => {
                body.extend_from_slice(&command.before_wait);
                body.extend_from_slice(wait.as_millis().max(1).to_string().as_bytes());
                body.extend_from_slice(&command.after_wait);
            }
            Question::Load => body.extend_from_slice(b"SHOW load"),
        }
        body.push(0);
    });
    out
}

/// How far an answer has come. Anything out of this order is spoilt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// The welcome to a new connection, which ends as an answer does.
    Greeting,
    Greeted,
    #[default]
    Asked,
    Described,
    /// A row too large to be kept: so many bytes of it are still to come.
    Passing(usize),
    Row,
    /// CommandComplete, or an error.
    Over,
}

/// Reads one answer, up to ReadyForQuery, as its bytes come, and takes nothing on trust: what is relayed is one
/// column, one row, in order, with lengths that fit. Guards against servers that answer noise, lines without end
/// or lengths that are not true, which a client must not get for its value.
#[derive(Debug, Default)]
pub struct AnswerReader {
    /// The messages that a client gets to see.
    relayed: Vec<u8>,
    stage: Stage,
    /// The answer is passed on as it comes.
    passes: bool,
    code: Option<String>,
    note: ResponseMetadata,
}

/// Longest message of a kind; none of other kinds is expected.
fn longest(tag: u8, stage: Stage) -> Option<usize> {
    Some(match tag {
        b'D' => ANSWER_LIMIT,
        b'T' | b'S' => 1 << 10,
        b'E' | b'N' | b'A' => FRAME_SLACK,
        b'C' => 64,
        b'Z' => 5,
        b'R' | b'K' | b'v' if matches!(stage, Stage::Greeting | Stage::Greeted) => 1 << 10,
        _ => return None,
    })
}

impl AnswerReader {
    /// Reads the welcome to a new connection.
    pub fn greeting() -> AnswerReader {
        AnswerReader {
            stage: Stage::Greeting,
            ..AnswerReader::default()
        }
    }

    /// Takes whole messages off the front of `bytes`; how many bytes they took, and whether the answer ended.
    pub fn take(&mut self, bytes: &[u8]) -> Result<(usize, bool), Malformed> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            if let Stage::Passing(left) = self.stage {
                let n = rest.len().min(left);
                self.relayed.extend_from_slice(&rest[..n]);
                at += n;
                self.stage = if n == left {
                    Stage::Row
                } else {
                    Stage::Passing(left - n)
                };
                if n < left {
                    return Ok((at, false));
                }
                continue;
            }
            let Some(&tag) = rest.first() else {
                return Ok((at, false));
            };
            let spoilt = |what: &str| Malformed(format!("message {:?} {what}", char::from(tag)));
            let longest = longest(tag, self.stage).ok_or_else(|| spoilt("is not expected"))?;
            if tag == b'D' && rest.len() >= 11 {
                // Told by its head: a row that does not add up need not be waited for.
                let length = |at: usize| {
                    rest[at..at + 4]
                        .iter()
                        .fold(0, |n: usize, &b| n << 8 | usize::from(b))
                };
                if rest[5..7] != [0, 1] || length(7) + 10 != length(1) {
                    return Err(spoilt("is no row of one value"));
                }
                if length(1) > ANSWER_LIMIT {
                    return Err(spoilt("has a length that is no value's"));
                }
                if length(7) > VALUE_LIMIT {
                    if self.stage != Stage::Described {
                        return Err(spoilt("is out of place"));
                    }
                    self.passes = true;
                    self.stage = Stage::Passing(length(1) + 1);
                    continue;
                }
            }
            let Some(message) = message(rest, longest)? else {
                return Ok((at, false));
            };
            at += message.raw.len();
            self.stage = match (tag, self.stage) {
                (b'T', Stage::Asked) if one_column(message.body) => Stage::Described,
                (b'D', Stage::Described) if message.body.len() >= 6 => Stage::Row,
                (b'C', Stage::Row) if matches!(text(message.body), Some((_, []))) => Stage::Over,
                (b'E', stage) if stage != Stage::Over => {
                    let code = error_field(message.body, b'C').filter(|code| code.len() == 5);
                    self.code = Some(code.ok_or_else(|| spoilt("bears no code"))?.to_owned());
                    Stage::Over
                }
                (b'R', Stage::Greeting) if message.body == [0; 4] => Stage::Greeted,
                (b'Z', Stage::Over | Stage::Greeted)
                    if matches!(message.body, [b'I' | b'T' | b'E']) =>
                {
                    return Ok((at, true));
                }
                (b'S', stage) => {
                    self.parameter(message.body);
                    stage
                }
                (b'N' | b'A' | b'K' | b'v', stage) => stage,
                _ => return Err(spoilt("is out of place or makes no sense")),
            };
            if matches!(tag, b'T' | b'D' | b'C') {
                self.relayed.extend_from_slice(message.raw);
            }
        }
    }

    fn parameter(&mut self, body: &[u8]) {
        let pair = text(body).and_then(|(name, rest)| Some((name, text(rest)?.0)));
        match pair {
            Some(("role", "primary")) => self.note.primary = Some(true),
            Some(("role", "replica")) => self.note.primary = Some(false),
            Some(("applied_ms", value)) => {
                let position = value
                    .parse()
                    .ok()
                    .filter(|&ms: &u64| ms > 0)
                    .map(Duration::from_millis);
                self.note.position = position.map(Time);
            }
            _ => {}
        }
    }

    /// The answer passes on in pieces; the one that has come, which is empty at times.
    pub fn piece(&mut self) -> Option<Vec<u8>> {
        // What follows the row goes with its end.
        let row = matches!(self.stage, Stage::Passing(_) | Stage::Row);
        self.passes.then(|| {
            if row {
                std::mem::take(&mut self.relayed)
            } else {
                Vec::new()
            }
        })
    }

    /// What came says how it ended, with or without ReadyForQuery: a fatal error needs none.
    pub fn conclusive(&self) -> bool {
        self.code.is_some()
    }

    /// Whatever was asked was turned away unseen.
    pub fn turned_away(&self) -> bool {
        self.code.as_deref() == Some(sqlstate::TOO_MANY_CONNECTIONS)
    }

    /// Of an answer that ended as it should.
    pub fn verdict(self, question: &Question) -> (ExchangeOutcome, ResponseMetadata) {
        let verdict = match (self.code.as_deref(), question) {
            (Some(sqlstate::READ_ONLY_SQL_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD), _) => {
                ExchangeOutcome::Misdirected
            }
            (Some(_), _) if self.turned_away() => ExchangeOutcome::Rejected,
            (Some(_), _) => ExchangeOutcome::Failed,
            (None, Question::Command(_)) => ExchangeOutcome::Served(self.relayed),
            (None, Question::Load) => ExchangeOutcome::Reported(
                first_value(&self.relayed)
                    .and_then(load_fields)
                    .unwrap_or_default(),
            ),
        };
        (verdict, self.note)
    }
}

/// The body of a RowDescription of one column: its name and 18 bytes on it.
fn one_column(body: &[u8]) -> bool {
    matches!(body, [0, 1, column @ ..] if text(column).is_some_and(|(_, rest)| rest.len() == 18))
}

/// The first column of the first row in the messages of an answer.
fn first_value(relayed: &[u8]) -> Option<&str> {
    let mut rest = relayed;
    loop {
        let message = message(rest, ANSWER_LIMIT).ok()??;
        if message.tag == b'D' {
            let (length, value) = message.body.get(2..)?.split_first_chunk::<4>()?;
            let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
            return std::str::from_utf8(value.get(..length)?).ok();
        }
        rest = &rest[message.raw.len()..];
    }
}

/// The fields of a load report: `inflight=7,util=0.61`; none if any can't be read: it is no report then.
fn load_fields(text: &str) -> Option<Vec<(String, f64)>> {
    let field = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        let value = value
            .trim()
            .parse()
            .ok()
            .filter(|value: &f64| value.is_finite() && *value >= 0.0)?;
        Some((name.trim().to_owned(), value))
    };
    text.split(',').map(field).collect()
}
