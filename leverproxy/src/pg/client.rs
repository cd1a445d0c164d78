//! The side that record servers see: queries written, their answers read and understood.

use super::{error_field, message, put, sqlstate, text, Malformed, ANSWER_LIMIT};
use crate::request::{Question, Verdict};
use mountshift::{Note, Time};
use std::time::Duration;

pub const INPUT_LIMIT: usize = ANSWER_LIMIT + (8 << 10);

pub fn startup() -> Vec<u8> {
    super::server::startup_packet("app", "shop")
}

/// The query for a question. A command passes as it came, but for the time that its answer is waited for.
pub fn question(question: &Question) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', |body| {
        match question {
            Question::Command(command, wait) => {
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

/// Reads one answer, up to ReadyForQuery, as its bytes come.
#[derive(Debug, Default)]
pub struct AnswerReader {
    /// The messages that a client gets to see.
    relayed: Vec<u8>,
    complete: bool,
    code: Option<String>,
    note: Note,
}

impl AnswerReader {
    /// Takes whole messages off the front of `bytes`; how many bytes they took, and whether the answer ended.
    pub fn take(&mut self, bytes: &[u8]) -> Result<(usize, bool), Malformed> {
        let mut at = 0;
        while let Some(message) = message(&bytes[at..], ANSWER_LIMIT)? {
            at += message.raw.len();
            match message.tag {
                b'Z' => return Ok((at, true)),
                b'T' | b'D' | b'C' => {
                    if self.relayed.len() + message.raw.len() > ANSWER_LIMIT {
                        return Err(Malformed("an answer is too long".into()));
                    }
                    self.relayed.extend_from_slice(message.raw);
                    self.complete |= message.tag == b'C';
                }
                b'E' => self.code = Some(error_field(message.body, b'C').unwrap_or_default().to_owned()),
                b'S' => self.parameter(message.body),
                b'R' if message.body.get(..4) != Some(&[0; 4]) => {
                    return Err(Malformed("a record server asks for a password".into()))
                }
                // Notices, keys and whatever else there may be.
                _ => {}
            }
        }
        Ok((at, false))
    }

    fn parameter(&mut self, body: &[u8]) {
        let pair = text(body).and_then(|(name, rest)| Some((name, text(rest)?.0)));
        match pair {
            Some(("role", "primary")) => self.note.primary = Some(true),
            Some(("role", "replica")) => self.note.primary = Some(false),
            Some(("applied_ms", value)) => {
                let position = value.parse().ok().filter(|&ms: &u64| ms > 0).map(Duration::from_millis);
                self.note.position = position.map(Time);
            }
            _ => {}
        }
    }

    /// What came says how it ended, with or without ReadyForQuery: a fatal error needs none.
    pub fn conclusive(&self) -> bool {
        self.code.is_some()
    }

    /// Whatever was asked was turned away unseen.
    pub fn turned_away(&self) -> bool {
        self.code.as_deref() == Some(sqlstate::TOO_MANY_CONNECTIONS)
    }

    pub fn verdict(self, question: &Question) -> (Verdict, Note) {
        let verdict = match (self.code.as_deref(), question) {
            (Some(sqlstate::READ_ONLY_SQL_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD), _) => Verdict::Miss,
            (Some(_), _) if self.turned_away() => Verdict::Full,
            (None, Question::Command(..)) if self.complete => Verdict::Served(self.relayed),
            (None, Question::Load) => match first_value(&self.relayed) {
                Some(text) => Verdict::Reported(load_fields(text)),
                None => Verdict::Failed,
            },
            _ => Verdict::Failed,
        };
        (verdict, self.note)
    }
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

/// The fields of a load report: `inflight=7,util=0.61`.
fn load_fields(text: &str) -> Vec<(String, f64)> {
    let field = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        Some((name.trim().to_owned(), value.trim().parse().ok()?))
    };
    text.split(',').filter_map(field).collect()
}
