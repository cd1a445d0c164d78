//! What a statement says of itself in its comment: `/* id=..,c=..,t=..,d=..,cluster=..,after=..,r=1 */`.

use crate::request::{truncate_for_display, Command, Request};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

/// What a query asks of the proxy.
#[derive(Debug)]
pub enum Query {
    /// Nothing but blanks and semicolons.
    Empty,
    /// A setting of the session, which does nothing here; the tag of its answer.
    Setting(&'static str),
    Request(Request),
}

pub fn parse(text: &str, read_at: Instant) -> Result<Query, String> {
    let bare = text.trim_matches(|c: char| c.is_ascii_whitespace() || c == ';');
    if bare.is_empty() {
        return Ok(Query::Empty);
    }
    let verb = bare
        .split(|c: char| !c.is_ascii_alphabetic())
        .next()
        .unwrap_or_default();
    for tag in ["SET", "RESET", "DISCARD"] {
        if verb.eq_ignore_ascii_case(tag) {
            return Ok(Query::Setting(tag));
        }
    }
    let (start, comment) =
        comment(text).ok_or("the statement bears no comment with its id and class")?;
    let mut class = None;
    let mut tenant = None;
    let mut group = None;
    let mut wait = None;
    let mut after = None;
    let mut repeated = false;
    let mut id = None;
    let mut at = start;
    for pair in comment.split(',') {
        let lead = pair.len() - pair.trim_start().len();
        let Some((name, value)) = pair.trim().split_once('=') else {
            return Err(format!(
                "{:?} in the comment is no name=value",
                truncate_for_display(pair)
            ));
        };
        let number = || {
            value.parse::<u64>().map_err(|_| {
                format!(
                    "{}={} is not a whole number",
                    truncate_for_display(name),
                    truncate_for_display(value)
                )
            })
        };
        match name {
            "id" => id = Some(value).filter(|value| !value.is_empty()),
            "c" => class = Some(value.to_owned()),
            "t" => tenant = Some(value.to_owned()),
            "cluster" => {
                let number = number()?;
                group = Some(u32::try_from(number).map_err(|_| {
                    format!("cluster={} is out of range", truncate_for_display(value))
                })?);
            }
            "d" => {
                let start = at + lead + name.len() + 1;
                wait = Some((Duration::from_millis(number()?), start..start + value.len()));
            }
            "after" => {
                after = Some(number()?)
                    .filter(|&ms| ms > 0)
                    .map(Duration::from_millis)
            }
            "r" => repeated = value == "1",
            _ => {}
        }
        at += pair.len() + 1;
    }
    let missing = |name| format!("the comment does not tell {name}");
    let (wait, place) = wait.ok_or_else(|| missing("d"))?;
    Ok(Query::Request(Request {
        id: id.ok_or_else(|| missing("id"))?.into(),
        class: class.ok_or_else(|| missing("c"))?,
        tenant,
        group: group.ok_or_else(|| missing("cluster"))?,
        session: quoted(&text[..start]).map(session),
        timeout: wait,
        min_commit_time: after,
        is_client_retry: repeated,
        command: Command {
            before_wait: text.as_bytes()[..place.start].to_vec(),
            after_wait: text.as_bytes()[place.end..].to_vec(),
        },
        client: IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        read_at,
    }))
}

/// The last comment outside of quotes, and where its text starts. Data inside quotes is never taken for one.
fn comment(text: &str) -> Option<(usize, &str)> {
    let bytes = text.as_bytes();
    let (mut at, mut found, mut quoted) = (0, None, false);
    while at < bytes.len() {
        match bytes[at] {
            b'\'' => quoted = !quoted,
            b'/' if !quoted && bytes.get(at + 1) == Some(&b'*') => {
                let start = at + 2;
                let length = text[start..].find("*/")?;
                found = Some((start, &text[start..start + length]));
                at = start + length + 1;
            }
            _ => {}
        }
        at += 1;
    }
    found
}

/// The first quoted text: the key in the statements that clients send.
fn quoted(text: &str) -> Option<&str> {
    text.split('\'').nth(1)
}

/// A number for a session's key: the key itself where it is one in hexadecimal digits, else its FNV-1a hash.
fn session(key: &str) -> u64 {
    u64::from_str_radix(key, 16).unwrap_or_else(|_| {
        let step = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        key.bytes().fold(0xcbf2_9ce4_8422_2325, step)
    })
}
