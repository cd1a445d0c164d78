//! What an elder of the first version handed over and said, as it was on the socket.

use super::*;
use crate::discovery::wire::EndpointStatus;
use std::io::Write;

const ESTATE: &str = r#"{"version":1,"listing":{"index":42,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:5432","zone":"z1","type":"record","group":2,"status":"Ready","since_ms":1800000000000},{"name":"s-2","address":null,"zone":"z1","type":"record","group":null,"status":"Gone","since_ms":1800000000000},{"name":"s-3","address":"127.0.0.1:5432","zone":"z1","type":"record","group":2,"status":"Terminating","since_ms":1800000000000}]},"hands":[{"name":"s-1","out":{"secs":1800000000,"nanos":500000000},"before":[{"secs":5,"nanos":0},{"secs":6,"nanos":0}]}],"clients":3,"upstream":4}"#;
const SAID: &str = r#"{"Out":"s-1"}
{"In":"s-1"}
"Serving""#;

/// What an heir makes of a message from its elder. No descriptor comes with it: that is what it looks for last.
fn received(message: &str) -> String {
    let (mut elder, heir) = UnixStream::pair().unwrap();
    elder.write_all(format!("{message}\n").as_bytes()).unwrap();
    receive(&heir).unwrap_err().to_string()
}

#[test]
fn an_estate_of_the_first_version_is_read_for_good() {
    let estate: Estate = serde_json::from_str(ESTATE).unwrap();
    assert_eq!((estate.version, estate.clients, estate.upstream), (1, 3, 4));
    assert_eq!((estate.listing.index, estate.listing.snapshot), (42, true));
    let servers: Vec<_> = estate
        .listing
        .endpoints
        .iter()
        .map(|e| (e.name.as_str(), e.status, e.address.is_some()))
        .collect();
    let told = [
        ("s-1", EndpointStatus::Ready, true),
        ("s-2", EndpointStatus::Gone, false),
        ("s-3", EndpointStatus::Terminating, true),
    ];
    assert_eq!(servers, told);
    let first = &estate.listing.endpoints[0];
    assert_eq!(
        (first.zone.as_str(), first.kind.as_str(), first.group),
        ("z1", "record", Some(2))
    );
    assert_eq!(
        (first.started_ms, first.address),
        (1_800_000_000_000, Some(([127, 0, 0, 1], 5_432).into()))
    );
    let second = Duration::from_secs;
    let (out, before) = (
        Some(Duration::from_millis(1_800_000_000_500)),
        Some((second(5), second(6))),
    );
    assert_eq!(
        estate.hands,
        [ManualExclusion {
            name: "s-1".into(),
            excluded_since: out,
            previous: before
        }]
    );
    assert_eq!(received(ESTATE), "no listener came with its message");
}

#[test]
fn words_of_the_first_version_are_read_for_good() {
    let said: Vec<Said> = SAID
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(
        said,
        [
            Said::Out("s-1".into()),
            Said::In("s-1".into()),
            Said::Serving
        ]
    );
}

/// Added within the first version: a build that does not know it goes on without it.
#[test]
fn a_word_that_came_later_is_read_for_good() {
    let said: Said = serde_json::from_str("\"ServingElsewhere\"").unwrap();
    assert_eq!(said, Said::ServingElsewhere);
}

/// A later version is refused by its number, even where all the rest is as it was; so is one that leaves out what this build
/// needs. More than it knows, in the same version, is no reason to refuse.
#[test]
fn an_estate_of_a_later_version_is_refused() {
    assert_eq!(
        received(&ESTATE.replace("\"version\":1", "\"version\":2")),
        "its message has version 2, and this process takes 1"
    );
    assert!(received("{\"version\":2}").contains("missing field"));
    assert_eq!(
        received(&ESTATE.replace("\"hands\"", "\"more\":[1],\"hands\"")),
        "no listener came with its message"
    );
}
