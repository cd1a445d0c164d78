//! `leverproxy config explain`: which routes one request is checked against, and its outcome.

use super::{print, read_valid, text_argument, ConfigCommandError};
use clap::ArgMatches;
use configuration::calendar::Moment;
use configuration::explain;
use configuration::route::Request;
use std::net::IpAddr;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

pub(super) fn explain_request(matches: &ArgMatches) -> Result<ExitCode, ConfigCommandError> {
    let reading = read_valid(text_argument(matches, "file"), None)?;
    let request = parse_request(text_argument(matches, "request"), reading.model.offset)?;
    print(&explain::text(&reading.model, &reading.sources, &request));
    Ok(ExitCode::SUCCESS)
}

/// Parses a request in the form `KEY=VALUE,..`. Defaults: empty class, tenant and statement, group 0, client 127.0.0.1 and
/// the current time. `offset`: the offset of local time, in seconds east of UTC.
fn parse_request(text: &str, offset: i32) -> Result<Request<'_>, ConfigCommandError> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut request = Request {
        class: "",
        tenant: "",
        group: 0,
        statement: b"",
        client: IpAddr::from([127, 0, 0, 1]),
        at: Moment::from_unix(now),
    };
    let mut rest = text;
    while !rest.is_empty() {
        let (pair, behind) = match rest.strip_prefix("statement=") {
            // A statement may contain commas, so it extends to the end of the text.
            Some(_) => (rest, ""),
            None => rest.split_once(',').unwrap_or((rest, "")),
        };
        set_field(&mut request, pair, offset)?;
        rest = behind;
    }
    Ok(request)
}

fn set_field<'a>(
    request: &mut Request<'a>,
    pair: &'a str,
    offset: i32,
) -> Result<(), ConfigCommandError> {
    let (key, value) = pair
        .split_once('=')
        .ok_or_else(|| ConfigCommandError::NoKeyValue(pair.to_owned()))?;
    let unreadable = || ConfigCommandError::RequestValue {
        key: key.to_owned(),
        value: value.to_owned(),
    };
    match key.trim() {
        "class" => request.class = value,
        "tenant" => request.tenant = value,
        "group" => request.group = value.parse().map_err(|_| unreadable())?,
        "network" => request.client = value.parse().map_err(|_| unreadable())?,
        "at" => request.at = Moment::parse(value, offset).ok_or_else(unreadable)?,
        "statement" => request.statement = value.as_bytes(),
        _ => return Err(ConfigCommandError::RequestKey(key.to_owned())),
    }
    Ok(())
}
