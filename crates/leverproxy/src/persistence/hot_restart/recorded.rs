//! The handover state and messages of the first version, as recorded on the socket: later builds must read them.

use super::handover::{receive, HandoverState};
use super::links::PeerMessage;
use crate::discovery::wire::EndpointStatus;
use maintenance::ManualExclusion;
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::time::Duration;

const STATE: &str = r#"{"version":1,"listing":{"index":42,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:5432","zone":"z1","type":"record","group":2,"status":"Ready","since_ms":1800000000000},{"name":"s-2","address":null,"zone":"z1","type":"record","group":null,"status":"Gone","since_ms":1800000000000},{"name":"s-3","address":"127.0.0.1:5432","zone":"z1","type":"record","group":2,"status":"Terminating","since_ms":1800000000000}]},"hands":[{"name":"s-1","out":{"secs":1800000000,"nanos":500000000},"before":[{"secs":5,"nanos":0},{"secs":6,"nanos":0}]}],"clients":3,"upstream":4}"#;
const MESSAGES: &str = r#"{"Out":"s-1"}
{"In":"s-1"}
"Serving""#;

/// The error of a new process for a message from the old one. The message is sent without a descriptor, whose absence is
/// checked last.
fn receive_error(message: &str) -> String {
    let (mut old, new) = UnixStream::pair().unwrap();
    old.write_all(format!("{message}\n").as_bytes()).unwrap();
    receive(&new).unwrap_err().to_string()
}

#[test]
fn a_handover_state_of_the_first_version_stays_readable() {
    let state: HandoverState = serde_json::from_str(STATE).unwrap();
    assert_eq!(
        (
            state.version,
            state.client_connections,
            state.server_connections
        ),
        (1, 3, 4)
    );
    assert_eq!(
        (state.endpoint_list.index, state.endpoint_list.snapshot),
        (42, true)
    );
    let servers: Vec<_> = state
        .endpoint_list
        .endpoints
        .iter()
        .map(|e| (e.name.as_str(), e.status, e.address.is_some()))
        .collect();
    let expected = [
        ("s-1", EndpointStatus::Ready, true),
        ("s-2", EndpointStatus::Gone, false),
        ("s-3", EndpointStatus::Terminating, true),
    ];
    assert_eq!(servers, expected);
    let first = &state.endpoint_list.endpoints[0];
    assert_eq!(
        (first.zone.as_str(), first.kind.as_str(), first.group),
        ("z1", "record", Some(2))
    );
    assert_eq!(
        (first.started_ms, first.address),
        (1_800_000_000_000, Some(([127, 0, 0, 1], 5_432).into()))
    );
    let second = Duration::from_secs;
    let (excluded_since, previous) = (
        Some(Duration::from_millis(1_800_000_000_500)),
        Some((second(5), second(6))),
    );
    assert_eq!(
        state.exclusions,
        [ManualExclusion {
            name: "s-1".into(),
            excluded_since,
            previous
        }]
    );
    assert_eq!(
        receive_error(STATE),
        "the handover message came without the clients' listener"
    );
}

#[test]
fn messages_of_the_first_version_stay_readable() {
    let messages: Vec<PeerMessage> = MESSAGES
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(
        messages,
        [
            PeerMessage::Excluded("s-1".into()),
            PeerMessage::Included("s-1".into()),
            PeerMessage::Serving
        ]
    );
}

/// `ServingElsewhere` was added within the first version: builds that do not support it skip it.
#[test]
fn a_message_added_later_stays_readable() {
    let message: PeerMessage = serde_json::from_str("\"ServingElsewhere\"").unwrap();
    assert_eq!(message, PeerMessage::ServingElsewhere);
}

/// A later version is rejected by its number, even if the rest is unchanged. A message that lacks a required field is rejected
/// too; unknown fields in the same version are ignored.
#[test]
fn a_handover_state_of_a_later_version_is_rejected() {
    assert_eq!(
        receive_error(&STATE.replace("\"version\":1", "\"version\":2")),
        "the handover message has version 2, and this process accepts only 1"
    );
    assert!(receive_error("{\"version\":2}").contains("missing field"));
    assert_eq!(
        receive_error(&STATE.replace("\"hands\"", "\"more\":[1],\"hands\"")),
        "the handover message came without the clients' listener"
    );
}

/// A new process of an earlier build reads the state that this build hands over: names and order in the JSON must stay.
#[test]
fn the_first_version_is_written_as_it_was() {
    let state: HandoverState = serde_json::from_str(STATE).unwrap();
    assert_eq!(serde_json::to_string(&state).unwrap(), STATE);
    for line in MESSAGES.lines().chain(["\"ServingElsewhere\""]) {
        let message: PeerMessage = serde_json::from_str(line).unwrap();
        assert_eq!(serde_json::to_string(&message).unwrap(), line);
    }
}
