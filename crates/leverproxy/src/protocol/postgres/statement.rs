//! The metadata of a statement in its comment: `/* id=..,c=..,t=..,d=..,cluster=..,after=..,r=1 */`.

use crate::request::{truncate_for_display, Command, Request};
use std::net::{IpAddr, Ipv4Addr};
use std::ops::Range;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum number of fields of a comment. Requests have some ten; a statement has room for tens of thousands, which would
/// hold up other clients.
const MAX_FIELDS: usize = 256;

/// A parsed query of a client.
#[derive(Debug)]
pub enum Query {
    /// A query of white space and semicolons only.
    Empty,
    /// A setting of the session, which the proxy ignores, with the command tag of its response.
    Setting(&'static str),
    /// A request for a record server.
    Request(Request),
}

/// The reason why a statement is not a request. Values from the client are truncated for display.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum StatementError {
    /// There is no comment.
    #[error("the statement bears no comment with its id and class")]
    NoComment,
    /// The comment has more fields than any request needs.
    #[error("the comment has over {0} fields")]
    TooManyFields(usize),
    /// A part of the comment is not of the form `name=value`.
    #[error("{0:?} in the comment is no name=value")]
    NotAPair(String),
    /// A value is not a whole number.
    #[error("{name}={value} is not a whole number")]
    NotANumber {
        /// The field's name.
        name: String,
        /// The field's value.
        value: String,
    },
    /// The group's number is too large.
    #[error("cluster={0} is out of range")]
    GroupOutOfRange(String),
    /// A required field is missing or empty.
    #[error("the comment does not tell {0}")]
    Missing(&'static str),
}

/// Parses a query. `read_at`: the time at which it was read from the client.
pub fn parse(text: &str, read_at: Instant) -> Result<Query, StatementError> {
    let trimmed = text.trim_matches(|c: char| c.is_ascii_whitespace() || c == ';');
    if trimmed.is_empty() {
        return Ok(Query::Empty);
    }
    if let Some(tag) = session_setting(trimmed) {
        return Ok(Query::Setting(tag));
    }
    let (start, comment) = last_comment(text).ok_or(StatementError::NoComment)?;
    let fields = Fields::parse(comment, start)?;
    fields
        .into_request(text, start, read_at)
        .map(Query::Request)
}

/// The command tag of a statement that only changes settings of the session; `None` for other statements.
fn session_setting(statement: &str) -> Option<&'static str> {
    let verb = statement
        .split(|c: char| !c.is_ascii_alphabetic())
        .next()
        .unwrap_or_default();
    ["SET", "RESET", "DISCARD"]
        .into_iter()
        .find(|tag| verb.eq_ignore_ascii_case(tag))
}

/// The fields of the comment.
#[derive(Default)]
struct Fields<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    tenant: Option<&'a str>,
    group: Option<u32>,
    /// The client's timeout, and the range of its digits in the statement.
    wait: Option<(Duration, Range<usize>)>,
    after: Option<Duration>,
    repeated: bool,
}

impl<'a> Fields<'a> {
    /// `start`: the offset of the comment's text in the statement.
    fn parse(comment: &'a str, start: usize) -> Result<Fields<'a>, StatementError> {
        let mut fields = Fields::default();
        let mut at = start;
        for (index, pair) in comment.split(',').enumerate() {
            if index >= MAX_FIELDS {
                return Err(StatementError::TooManyFields(MAX_FIELDS));
            }
            let lead = pair.len() - pair.trim_start().len();
            let Some((name, value)) = pair.trim().split_once('=') else {
                return Err(StatementError::NotAPair(
                    truncate_for_display(pair).to_owned(),
                ));
            };
            fields.set(name, value, at + lead + name.len() + 1)?;
            at += pair.len() + 1;
        }
        Ok(fields)
    }

    /// `value_at`: the offset of the value in the statement.
    fn set(&mut self, name: &str, value: &'a str, value_at: usize) -> Result<(), StatementError> {
        match name {
            "id" => self.id = Some(value).filter(|value| !value.is_empty()),
            "c" => self.class = Some(value),
            "t" => self.tenant = Some(value),
            "cluster" => self.group = Some(group(number(name, value)?, value)?),
            "d" => {
                let wait = Duration::from_millis(number(name, value)?);
                self.wait = Some((wait, value_at..value_at + value.len()));
            }
            "after" => {
                let ms = Some(number(name, value)?).filter(|&ms| ms > 0);
                self.after = ms.map(Duration::from_millis);
            }
            "r" => self.repeated = value == "1",
            _ => {}
        }
        Ok(())
    }

    fn into_request(
        self,
        text: &str,
        comment_start: usize,
        read_at: Instant,
    ) -> Result<Request, StatementError> {
        let (wait, digits) = self.wait.ok_or(StatementError::Missing("d"))?;
        Ok(Request {
            id: self.id.ok_or(StatementError::Missing("id"))?.into(),
            class: self.class.ok_or(StatementError::Missing("c"))?.to_owned(),
            tenant: self.tenant.map(str::to_owned),
            group: self.group.ok_or(StatementError::Missing("cluster"))?,
            session: first_quoted(&text[..comment_start]).map(session_number),
            timeout: wait,
            min_commit_time: self.after,
            is_client_retry: self.repeated,
            command: Command {
                before_time_left: text.as_bytes()[..digits.start].to_vec(),
                after_time_left: text.as_bytes()[digits.end..].to_vec(),
            },
            client: IpAddr::V4(Ipv4Addr::UNSPECIFIED),
            read_at,
        })
    }
}

fn number(name: &str, value: &str) -> Result<u64, StatementError> {
    value.parse().map_err(|_| StatementError::NotANumber {
        name: truncate_for_display(name).to_owned(),
        value: truncate_for_display(value).to_owned(),
    })
}

fn group(number: u64, value: &str) -> Result<u32, StatementError> {
    u32::try_from(number)
        .map_err(|_| StatementError::GroupOutOfRange(truncate_for_display(value).to_owned()))
}

/// The offset and the text of the last comment outside of quotes. Data inside quotes is never treated as a comment.
fn last_comment(text: &str) -> Option<(usize, &str)> {
    let bytes = text.as_bytes();
    let (mut at, mut found, mut quoted) = (0, None, false);
    while let Some(offset) = memchr::memchr2(b'\'', b'/', &bytes[at..]) {
        at += offset;
        match bytes[at] {
            b'\'' => quoted = !quoted,
            b'/' if !quoted && bytes.get(at + 1) == Some(&b'*') => {
                let start = at + 2;
                let length = memchr::memmem::find(&bytes[start..], b"*/")?;
                found = Some((start, &text[start..start + length]));
                at = start + length + 1;
            }
            _ => {}
        }
        at += 1;
    }
    found
}

/// The first quoted text, which is the key in the clients' statements.
fn first_quoted(text: &str) -> Option<&str> {
    text.split('\'').nth(1)
}

/// The number of a session's key: the key itself if it is a hexadecimal number, otherwise its FNV-1a hash.
fn session_number(key: &str) -> u64 {
    u64::from_str_radix(key, 16).unwrap_or_else(|_| {
        let step = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        key.bytes().fold(0xcbf2_9ce4_8422_2325, step)
    })
}
