//! HAProxy's agent check: a balancer connects, may send a text, and reads one line of words.
//!
//! Source: HAProxy's configuration manual, `agent-check`, `agent-send`. Words are separated by blanks, tabs or commas;
//! `#` begins a reason. `up`, `down`, `failed` and `stopped` set the operational state; `ready`, `drain` and `maint`
//! set the administrative state. Neither resets the other, so a proxy that serves always sends `ready`: otherwise a
//! balancer that once received `drain` would not send requests again.

use crate::{State, Status};

/// Maximum length of the text that a balancer sends, in bytes.
pub const TEXT_LIMIT: usize = 256;

/// Scope of an agent check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The whole proxy.
    Proxy,
    /// One group of record servers, by its number.
    Group(u32),
}

/// Parses the text of an agent check; none if its newline has not been received yet. Any text other than `group N`
/// requests the health of the whole proxy.
pub fn parse_request(input: &[u8]) -> Option<Scope> {
    let end = input.iter().position(|b| *b == b'\n')?;
    let text = std::str::from_utf8(&input[..end])
        .unwrap_or_default()
        .trim();
    let group = text
        .strip_prefix("group")
        .map(str::trim)
        .and_then(|n| n.parse().ok());
    Some(group.map_or(Scope::Proxy, Scope::Group))
}

/// The response line for a status.
pub fn response_line(status: &Status) -> String {
    // The reason must not contain a line break or begin a second comment.
    let reason: String = status
        .reason
        .chars()
        .map(|c| if c.is_control() || c == '#' { ' ' } else { c })
        .take(120)
        .collect();
    let max_clients = status
        .max_clients
        .map(|limit| format!(" maxconn:{limit}"))
        .unwrap_or_default();
    let words = match status.state {
        State::Ready => format!("ready up {}%{max_clients}", status.weight),
        // A proxy that serves never sends a weight of 0, which would have the effect of a drain.
        State::Degraded(_) | State::Overloaded => {
            format!("ready up {}%{max_clients}", status.weight.max(1))
        }
        State::Starting => "maint".to_owned(),
        State::Draining => "drain".to_owned(),
        State::Stopping => "drain".to_owned(),
    };
    match reason.trim() {
        "" => format!("{words}\n"),
        reason => format!("{words} # {reason}\n"),
    }
}

/// A response line as a balancer parses it: the other side of the protocol, for simulated balancers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The operational state, if the response sets one.
    pub operational: Option<Operational>,
    /// The administrative state, if the response sets one.
    pub administrative: Option<Administrative>,
    /// Weight, in percent of the weight in the balancer's configuration.
    pub weight: Option<u32>,
    /// Maximum number of connections that the balancer may open.
    pub maxconn: Option<u32>,
}

/// Operational state: whether the server works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operational {
    /// `up`
    Up,
    /// `down`, `failed` or `stopped`
    Down,
}

/// Administrative state: whether the server is to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Administrative {
    /// `ready`
    Ready,
    /// `drain`: no new sessions.
    Drain,
    /// `maint`: out of service.
    Maint,
}

/// Parses a response line as a balancer does: unknown words are ignored, and the last word of each kind counts.
pub fn parse_response(line: &str) -> Response {
    let mut words = Response::default();
    let text = line.lines().next().unwrap_or_default();
    let text = text.split('#').next().unwrap_or_default();
    for word in text.split([' ', '\t', ',']).filter(|w| !w.is_empty()) {
        match word.to_ascii_lowercase().as_str() {
            "up" => words.operational = Some(Operational::Up),
            "down" | "fail" | "failed" | "stopped" => words.operational = Some(Operational::Down),
            "ready" => words.administrative = Some(Administrative::Ready),
            "drain" => words.administrative = Some(Administrative::Drain),
            "maint" => words.administrative = Some(Administrative::Maint),
            other => {
                if let Some(number) = other.strip_suffix('%') {
                    words.weight = number.parse().ok().or(words.weight);
                } else if let Some(number) = other.strip_prefix("maxconn:") {
                    words.maxconn = number.parse().ok().or(words.maxconn);
                }
            }
        }
    }
    words
}
