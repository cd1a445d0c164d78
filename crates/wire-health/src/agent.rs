//! The agent check of HAProxy: a balancer connects, may send a text, and reads one line of words.
//!
//! Source: HAProxy's configuration manual, `agent-check`, `agent-send`. Words are separated by blanks, tabs or commas;
//! `#` begins a reason. `up`, `down`, `failed` and `stopped` set the operational state, `ready`, `drain` and `maint`
//! the administrative one, and neither undoes the other: so a proxy that serves always says `ready`, or a balancer
//! that once read `drain` would keep it out.

use crate::{State, Status};

/// Text that a balancer may send; more is no agent check.
pub const TEXT_LIMIT: usize = 256;

/// What a balancer asks about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The whole proxy.
    Proxy,
    /// One group of record servers, by its number.
    Group(u32),
}

/// The text up to its newline, if that is there yet; what it asks.
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

/// The line that tells a status.
pub fn response_line(status: &Status) -> String {
    // One line, whatever the reason holds, and no second comment.
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
        // Of a proxy that serves no weight of 0 is told: it would be a drain by another name.
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

/// What a balancer understands of a line; the other side of the protocol, for stand-ins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The operational state, if the line sets one.
    pub operational: Option<Operational>,
    /// The administrative state, if the line sets one.
    pub administrative: Option<Administrative>,
    /// Percent of the weight that the balancer's own file states.
    pub weight: Option<u32>,
    /// The most connections that the balancer may open.
    pub maxconn: Option<u32>,
}

/// Whether the server works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operational {
    /// `up`
    Up,
    /// `down`, `failed` or `stopped`
    Down,
}

/// Whether operators want the server used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Administrative {
    /// `ready`
    Ready,
    /// `drain`: no new sessions.
    Drain,
    /// `maint`: out of service.
    Maint,
}

/// Reads a line as a balancer does: words that it does not know are passed over, of each kind the last counts.
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
