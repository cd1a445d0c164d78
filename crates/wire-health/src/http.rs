//! Health over HTTP/1.1 and 1.0: `/livez`, `/readyz`, `/startupz`, `/readyz/group/N`.
//!
//! Sources: RFC 9110 and 9112; the names of Kubernetes' health endpoints; HAProxy's `http-check
//! disable-on-404` and `X-Haproxy-Server-State` (`http-check send-state`); Envoy's health checking headers.

use crate::orca::{self, Format};
use crate::{State, Status};
use serde_json::json;

/// Maximum size of a request's head, in bytes; a check needs far less.
pub const HEAD_LIMIT: usize = 4 << 10;
/// Maximum number of a request's headers.
const MAX_HEADERS: usize = 32;

/// The request's method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// GET
    Get,
    /// HEAD
    Head,
    /// Any other method; rejected.
    Other,
}

/// The endpoint of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// `/livez`: the process works.
    Live,
    /// `/readyz`: the proxy takes requests.
    Ready,
    /// `/startupz`: the proxy has started.
    Started,
    /// `/readyz/group/N`: the proxy takes requests for group N.
    Group(u32),
    /// Any other path.
    Unknown,
}

/// Mapping of states to HTTP statuses, for balancers that distinguish only a few.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Statuses {
    /// 200 or 503.
    #[default]
    Plain,
    /// 404 stands for a drain (`disable-on-404`).
    DrainIs404,
    /// 429 stands for overload.
    OverloadIs429,
}

/// A parsed health check.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    /// The method.
    pub method: Method,
    /// The endpoint.
    pub target: Target,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Whether details in JSON are requested.
    pub detail: bool,
    /// The requested format of the load report; none: no report.
    pub load: Option<Format>,
    /// The balancer's view of this server, if the request has one.
    pub server_state: Option<ServerState>,
}

/// HAProxy's view of a server: `UP 2/3; name=bck/srv2; node=lb1; weight=1/2; scur=13/22; qcur=0`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerState {
    /// The state with its progress, for example `UP 2/3`.
    pub state: String,
    /// The balancer's name.
    pub node: Option<String>,
    /// The weights of the server and of its whole backend.
    pub weight: Option<(u32, u32)>,
    /// The numbers of sessions on the server and on its whole backend.
    pub sessions: Option<(u32, u32)>,
    /// The number of requests queued for the server.
    pub queued: Option<u32>,
}

/// Parses the value of `X-Haproxy-Server-State`; none if it is invalid.
pub fn server_state(value: &str) -> Option<ServerState> {
    let mut parts = value.split(';').map(str::trim);
    let state = parts
        .next()
        .filter(|s| !s.is_empty() && s.len() <= 64)?
        .to_owned();
    let mut parsed = ServerState {
        state,
        node: None,
        weight: None,
        sessions: None,
        queued: None,
    };
    let pair = |text: &str| {
        let (a, b) = text.split_once('/')?;
        Some((a.parse().ok()?, b.parse().ok()?))
    };
    for part in parts {
        match part.split_once('=') {
            Some(("node", node)) if node.len() <= 64 => parsed.node = Some(node.to_owned()),
            Some(("weight", weight)) => parsed.weight = pair(weight),
            Some(("scur", sessions)) => parsed.sessions = pair(sessions),
            Some(("qcur", queued)) => parsed.queued = queued.parse().ok(),
            _ => {}
        }
    }
    Some(parsed)
}

/// Reason why a request is not a health check. Retrying does not help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request is not HTTP.
    Malformed,
    /// The head is longer than [`HEAD_LIMIT`], or has too many headers.
    TooLong,
    /// The request has a body.
    Body,
}

/// Parses a check. Returns it with the number of its bytes, or none if its head is incomplete.
pub fn parse(input: &[u8]) -> Result<Option<(Check, usize)>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let used = match request.parse(input) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if input.len() >= HEAD_LIMIT => return Err(Fault::TooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Fault::TooLong),
        Err(_) => return Err(Fault::Malformed),
    };
    if used > HEAD_LIMIT {
        return Err(Fault::TooLong);
    }
    let (path, query) = request
        .path
        .map_or(("", ""), |p| p.split_once('?').unwrap_or((p, "")));
    let method = match request.method {
        Some("GET") => Method::Get,
        Some("HEAD") => Method::Head,
        _ => Method::Other,
    };
    let target = match path {
        "/livez" => Target::Live,
        "/readyz" | "/healthz" | "/" => Target::Ready,
        "/startupz" => Target::Started,
        _ => path
            .strip_prefix("/readyz/group/")
            .and_then(|n| n.parse().ok())
            .map_or(Target::Unknown, Target::Group),
    };
    let mut check = Check {
        method,
        target,
        keep_alive: request.version == Some(1),
        detail: query
            .split('&')
            .any(|pair| pair == "verbose" || pair == "format=json"),
        load: None,
        server_state: None,
    };
    for header in request.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or_default().trim();
        match header.name.to_ascii_lowercase().as_str() {
            "connection" => {
                for word in value.split(',').map(str::trim) {
                    if word.eq_ignore_ascii_case("close") {
                        check.keep_alive = false;
                    } else if word.eq_ignore_ascii_case("keep-alive") && request.version == Some(0)
                    {
                        check.keep_alive = true;
                    }
                }
            }
            "accept" => check.detail |= value.to_ascii_lowercase().contains("application/json"),
            // A body would be parsed as the next request.
            "content-length" if value != "0" => return Err(Fault::Body),
            "transfer-encoding" => return Err(Fault::Body),
            "x-haproxy-server-state" => check.server_state = server_state(value),
            orca::FORMAT_HEADER => check.load = orca::format(value),
            _ => {}
        }
    }
    Ok(Some((check, used)))
}

/// The response to a request that is not a check; the connection is closed after it.
pub fn fault_response(fault: Fault) -> Vec<u8> {
    let status = match fault {
        Fault::Malformed => "400 Bad Request",
        Fault::TooLong => "431 Request Header Fields Too Large",
        Fault::Body => "413 Content Too Large",
    };
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").into_bytes()
}

/// The response to a check, with the status that `statuses` prescribes.
pub fn response(check: &Check, status: &Status, statuses: Statuses) -> Vec<u8> {
    let state = status.state;
    let group = match check.target {
        Target::Group(group) => status.groups.iter().find(|g| g.group == group),
        _ => None,
    };
    let (code, word) = match check.target {
        Target::Unknown => ("404 Not Found", "no such check"),
        // A process that responds is alive.
        Target::Live => ("200 OK", "alive"),
        Target::Started if state == State::Starting => ("503 Service Unavailable", state.name()),
        Target::Started => ("200 OK", "started"),
        Target::Group(_) if !state.serves() => (unready_code(state, statuses), state.name()),
        Target::Group(_) => match group {
            Some(group) if !group.serves => ("503 Service Unavailable", group.condition),
            Some(group) => ("200 OK", group.condition),
            // A group without requests so far counts as serving.
            None => ("200 OK", "not asked for yet"),
        },
        Target::Ready if state == State::Overloaded && statuses == Statuses::OverloadIs429 => {
            ("429 Too Many Requests", state.name())
        }
        // Overload and shared faults are reported by weights and headers; balancers that distinguish only healthy and
        // unhealthy get healthy.
        Target::Ready if state.serves() => ("200 OK", state.name()),
        Target::Ready => (unready_code(state, statuses), state.name()),
    };
    if check.method == Method::Other {
        return respond(
            "405 Method Not Allowed",
            &["Allow: GET, HEAD".to_owned()],
            "",
            check,
        );
    }
    let mut headers = vec!["Cache-Control: no-store".to_owned()];
    if !code.starts_with("200") && check.target != Target::Unknown || state == State::Overloaded {
        // Whole seconds, rounded up, since an earlier retry would be rejected again.
        headers.push(format!(
            "Retry-After: {}",
            status.retry_after.as_millis().div_ceil(1_000).max(1)
        ));
    }
    if matches!(state, State::Degraded(_) | State::Overloaded) {
        headers.push("x-envoy-degraded: true".to_owned());
    }
    if matches!(state, State::Draining | State::Stopping) {
        headers.push("x-envoy-immediate-health-check-fail: true".to_owned());
    }
    if let Some(format) = check.load {
        let (name, value) = orca::header(&status.load, format);
        headers.push(format!("{name}: {value}"));
    }
    let body = if check.detail {
        headers.push("Content-Type: application/json".to_owned());
        let groups: Vec<_> = status
            .groups
            .iter()
            .map(|g| json!({"group": g.group, "condition": g.condition, "serves": g.serves}))
            .collect();
        let links: serde_json::Map<_, _> = status
            .links
            .iter()
            .map(|(site, link)| (site.clone(), json!(link)))
            .collect();
        let unserved_percent = if let State::Degraded(percent) = state {
            percent
        } else {
            0
        };
        let detail = json!({
            "state": state.name(),
            "weight": status.weight,
            "unserved_percent": unserved_percent,
            "reason": status.reason,
            "room": status.max_clients,
            "load": {
                "cpu": status.load.cpu,
                "memory": status.load.memory,
                "open": status.load.open,
                "descriptors": status.load.descriptors,
            },
            "groups": groups,
            "links": links,
        });
        format!("{detail}\n")
    } else {
        headers.push("Content-Type: text/plain".to_owned());
        format!("{word}\n")
    };
    respond(code, &headers, &body, check)
}

fn unready_code(state: State, statuses: Statuses) -> &'static str {
    match (state, statuses) {
        (State::Draining | State::Stopping, Statuses::DrainIs404) => "404 Not Found",
        _ => "503 Service Unavailable",
    }
}

fn respond(code: &str, headers: &[String], body: &str, check: &Check) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {code}\r\nContent-Length: {}\r\n", body.len());
    for header in headers {
        out.push_str(header);
        out.push_str("\r\n");
    }
    out.push_str(if check.keep_alive {
        "Connection: keep-alive\r\n\r\n"
    } else {
        "Connection: close\r\n\r\n"
    });
    if check.method != Method::Head {
        out.push_str(body);
    }
    out.into_bytes()
}
