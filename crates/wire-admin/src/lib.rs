//! Codec of operators' calls over HTTP/1.1 (RFC 9110 and 9112), one per connection, and of the metrics (version 0.0.4
//! of the Prometheus text format). The effect of a call is implemented elsewhere.
#![forbid(unsafe_code)]

use serde::Deserialize;
use std::fmt::{self, Write};

/// Maximum size of a call's head, in bytes.
pub const HEAD_LIMIT: usize = 8 << 10;
/// Maximum size of a call's body, in bytes.
pub const BODY_LIMIT: usize = 4 << 10;
const MAX_HEADERS: usize = 64;
/// Maximum length of the name of a record server, in bytes.
const NAME_LIMIT: usize = 256;

/// A call of an operator's tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Requests whether the proxy is ready to serve.
    Ready,
    /// Requests the metrics.
    Telemetry,
    /// Excludes the record server with the given name.
    Exclude(String),
    /// Includes the record server with the given name again.
    Include(String),
}

/// The HTTP status of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// 200
    Ok,
    /// 400
    BadRequest,
    /// 404
    NotFound,
    /// 405
    MethodNotAllowed,
    /// 411
    LengthRequired,
    /// 413
    ContentTooLarge,
    /// 431
    HeadTooLarge,
    /// 503
    Unavailable,
}

impl Status {
    fn reason_line(self) -> &'static str {
        match self {
            Status::Ok => "200 OK",
            Status::BadRequest => "400 Bad Request",
            Status::NotFound => "404 Not Found",
            Status::MethodNotAllowed => "405 Method Not Allowed",
            Status::LengthRequired => "411 Length Required",
            Status::ContentTooLarge => "413 Content Too Large",
            Status::HeadTooLarge => "431 Request Header Fields Too Large",
            Status::Unavailable => "503 Service Unavailable",
        }
    }
}

/// The answer to a call: a status with one plain line, or the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: Status,
    /// The body, including its last newline.
    pub text: String,
}

impl Answer {
    /// An answer of one line.
    pub fn line(status: Status, text: impl fmt::Display) -> Answer {
        Answer {
            status,
            text: format!("{text}\n"),
        }
    }

    /// The HTTP response. The connection is closed after it.
    pub fn bytes(&self) -> Vec<u8> {
        let (line, text) = (self.status.reason_line(), &self.text);
        let allow = if self.status == Status::MethodNotAllowed {
            "Allow: GET, POST\r\n"
        } else {
            ""
        };
        let length = text.len();
        format!(
            "HTTP/1.1 {line}\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\n{allow}\
             Content-Length: {length}\r\nConnection: close\r\n\r\n{text}"
        )
        .into_bytes()
    }
}

#[derive(Deserialize)]
struct Body {
    target: String,
}

/// Parses the call in `input`; none while it is incomplete. An error is the answer to an invalid call.
pub fn parse(input: &[u8]) -> Result<Option<Call>, Answer> {
    let reject = |status, text: &str| Err(Answer::line(status, text));
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let used = match request.parse(input) {
        Ok(httparse::Status::Complete(used)) if used <= HEAD_LIMIT => used,
        Ok(httparse::Status::Partial) if input.len() < HEAD_LIMIT => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return reject(Status::HeadTooLarge, "the head of the call is too long");
        }
        Err(_) => return reject(Status::BadRequest, "this is no call of HTTP/1.1"),
    };
    let path = request.path.unwrap_or_default();
    let (is_post, to_call): (bool, fn(String) -> Call) =
        match path.split('?').next().unwrap_or_default() {
            "/api/ready" => (false, |_| Call::Ready),
            "/api/telemetry" => (false, |_| Call::Telemetry),
            "/api/exclude" => (true, Call::Exclude),
            "/api/include" => (true, Call::Include),
            _ => {
                return reject(
                    Status::NotFound,
                    "no such path: there are ready, telemetry, exclude and include under /api/",
                )
            }
        };
    if request.method != Some(if is_post { "POST" } else { "GET" }) {
        return reject(
            Status::MethodNotAllowed,
            if is_post {
                "this wants POST"
            } else {
                "this wants GET"
            },
        );
    }
    let header = |name: &str| {
        let found = request
            .headers
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case(name));
        found
            .map(|h| std::str::from_utf8(h.value).unwrap_or("?").trim())
            .collect::<Vec<_>>()
    };
    if !header("transfer-encoding").is_empty() {
        return reject(Status::LengthRequired, "the body wants a Content-Length");
    }
    let length = match header("content-length")[..] {
        [] if is_post => return reject(Status::LengthRequired, "the body wants a Content-Length"),
        [] => 0,
        [text, ref others @ ..] if others.iter().all(|other| *other == text) => {
            match text.parse::<usize>() {
                Ok(length) if text.bytes().all(|b| b.is_ascii_digit()) => length,
                _ => return reject(Status::BadRequest, "the Content-Length is no number"),
            }
        }
        _ => return reject(Status::BadRequest, "two lengths are stated"),
    };
    if length > BODY_LIMIT {
        return reject(Status::ContentTooLarge, "the body is too long");
    }
    let rest = &input[used..];
    let Some((body, trailing)) = rest.split_at_checked(length) else {
        return Ok(None);
    };
    // Some callers send a line break after the body, which is not a second call.
    if !trailing.trim_ascii().is_empty() {
        return reject(Status::BadRequest, "one call to a connection");
    }
    if !is_post {
        return Ok(Some(to_call(String::new())));
    }
    match serde_json::from_slice::<Body>(body) {
        Ok(Body { target }) if target.is_empty() || target.len() > NAME_LIMIT => reject(
            Status::BadRequest,
            "the target is no name of a record server",
        ),
        Ok(Body { target }) => Ok(Some(to_call(target))),
        Err(error) => reject(
            Status::BadRequest,
            &format!("the body is not {{\"target\":\"ID\"}}: {error}"),
        ),
    }
}

/// Builder of the metrics' text: each metric with its help text, its kind and its values by labels.
#[derive(Debug, Default)]
pub struct Metrics {
    text: String,
}

impl Metrics {
    /// Adds a metric with a single value.
    pub fn add(&mut self, name: &str, help: &str, value: u64) {
        self.add_labelled(name, help, [(Vec::new(), value)]);
    }

    /// Adds a metric with a value for each set of labels. A name that ends in `_total` makes it a counter.
    pub fn add_labelled<'a>(
        &mut self,
        name: &str,
        help: &str,
        values: impl IntoIterator<Item = (Vec<(&'a str, &'a str)>, u64)>,
    ) {
        let kind = if name.ends_with("_total") {
            "counter"
        } else {
            "gauge"
        };
        _ = write!(self.text, "# HELP {name} {help}\n# TYPE {name} {kind}\n");
        for (labels, value) in values {
            self.text.push_str(name);
            for (at, (label, text)) in labels.iter().enumerate() {
                let open = if at == 0 { '{' } else { ',' };
                let text = text
                    .replace('\\', "\\\\")
                    .replace('"', "\\\"")
                    .replace('\n', "\\n");
                _ = write!(self.text, "{open}{label}=\"{text}\"");
            }
            let close = if labels.is_empty() { "" } else { "}" };
            _ = writeln!(self.text, "{close} {value}");
        }
    }

    /// The answer to [`Call::Telemetry`].
    pub fn answer(self) -> Answer {
        Answer {
            status: Status::Ok,
            text: self.text,
        }
    }
}
