//! Recorded datagrams of format version 1, which every build has to read. Datagrams of a later version are counted and
//! dropped.

use crate::facts::{AntiEntropyMessage, FactVersion, HashRange, SourceHash, WireFact};
use crate::process_id::ProcessId;
use crate::roster::hash_bytes;
use crate::swim::SWIM_KIND;
use crate::view_message::ViewMessage;
use crate::{member_id, Action, Config, Core, Event, Member, Roster, Status};
use foca::{Codec, Header, Message, PostcardCodec};
use std::time::Duration;

const START: u64 = 1_800_000_000_000;

/// The recorded datagram with the given name.
fn recorded(name: &str) -> Vec<u8> {
    let lines = include_str!("../tests/version-1.hex").lines();
    let hex = lines
        .filter_map(|line| line.split_once(' '))
        .find(|(of, _)| *of == name);
    hex::decode(
        hex.unwrap_or_else(|| panic!("no datagram is recorded under the name {name}"))
            .1,
    )
    .unwrap()
}

/// The recorded process of member `n0` to `n3`.
fn id(member: u32) -> ProcessId {
    let names = ["n0", "n1", "n2", "n3"];
    let start = START + u64::from(member);
    ProcessId {
        member: member_id(names[member as usize]),
        incarnation: start,
        rejoins: 0,
        roster_version: 3,
    }
}

/// The content of a packet of `foca`: source, destination, message, and member updates.
fn packet(
    name: &str,
) -> (
    ProcessId,
    ProcessId,
    Message<ProcessId>,
    Vec<(ProcessId, foca::State)>,
) {
    let bytes = recorded(name);
    let Some((&SWIM_KIND, mut rest)) = bytes.split_first() else {
        panic!("{name} is not a packet of foca")
    };
    let header: Header<ProcessId> = PostcardCodec.decode_header(&mut rest).unwrap();
    let mut members = Vec::new();
    if let Some((count, mut updates)) = rest.split_first_chunk() {
        for _ in 0..u16::from_be_bytes(*count) {
            let member: foca::Member<ProcessId> =
                PostcardCodec.decode_member(&mut updates).unwrap();
            members.push((*member.id(), member.state()));
        }
        assert_eq!(updates, &[] as &[u8], "{name}");
    }
    (header.src, header.dst, header.message, members)
}

#[test]
fn swim_packets_of_the_first_version_are_read() {
    use foca::State::{Alive, Suspect};
    let [n0, n1, n2, n3] = [0, 1, 2, 3].map(id);
    let unknown = ProcessId {
        incarnation: 0,
        roster_version: 0,
        ..n1
    };
    let all = vec![(n2, Alive), (n3, Alive), (n1, Alive)];
    let others = vec![(n0, Alive), (n2, Alive), (n3, Alive)];
    // n3 was declared down and rejoined.
    let rejoined = vec![(ProcessId { rejoins: 1, ..n3 }, Alive)];
    let recorded = [
        ("swim-Ping", (n0, n3, Message::Ping(1), all.clone())),
        ("swim-Ack", (n0, n3, Message::Ack(1), all.clone())),
        (
            "swim-PingReq",
            (
                n0,
                n3,
                Message::PingReq {
                    target: n2,
                    probe_number: 102,
                },
                vec![(n3, Suspect)],
            ),
        ),
        (
            "swim-IndirectPing",
            (
                n1,
                n0,
                Message::IndirectPing {
                    origin: n2,
                    probe_number: 1,
                },
                others,
            ),
        ),
        (
            "swim-IndirectAck",
            (
                n0,
                n1,
                Message::IndirectAck {
                    target: n2,
                    probe_number: 1,
                },
                all,
            ),
        ),
        (
            "swim-ForwardedAck",
            (
                n1,
                n0,
                Message::ForwardedAck {
                    origin: n2,
                    probe_number: 130,
                },
                rejoined,
            ),
        ),
        ("swim-Announce", (n0, unknown, Message::Announce, vec![])),
        ("swim-Feed", (n0, n3, Message::Feed, vec![(n1, Alive)])),
        (
            "swim-Gossip",
            (n0, n1, Message::Gossip, vec![(n1, Alive), (n3, Alive)]),
        ),
        ("swim-TurnUndead", (n0, n3, Message::TurnUndead, vec![])),
    ];
    for (name, expected) in recorded {
        assert_eq!(packet(name), expected, "{name}");
    }
}

fn anti_entropy_message(name: &str) -> AntiEntropyMessage {
    let bytes = recorded(name);
    assert_eq!(bytes[0], 2, "{name} is not a message about facts");
    postcard::from_bytes(&bytes[1..]).unwrap()
}

fn view_message(name: &str) -> ViewMessage {
    let bytes = recorded(name);
    assert_eq!(bytes[0], 3, "{name} is not a message about views");
    postcard::from_bytes(&bytes[1..]).unwrap()
}

#[test]
fn messages_of_the_first_version_are_read() {
    let (source, start) = (member_id("n0"), START);
    let full_range = HashRange {
        first: 0,
        last: u64::MAX,
    };
    let sources = vec![SourceHash {
        source,
        hash: 2_076_203_121,
    }];
    assert_eq!(
        anti_entropy_message("facts-summary"),
        AntiEntropyMessage::Digest {
            range: full_range,
            sources
        }
    );
    // The hash function of keys is part of the format.
    let versions = vec![FactVersion {
        key_hash: hash_bytes(1, &[9, 0]),
        incarnation: start,
        sequence: 1,
    }];
    assert_eq!(
        anti_entropy_message("facts-detail"),
        AntiEntropyMessage::Versions {
            is_reply: false,
            source,
            range: full_range,
            versions
        }
    );
    let fact = WireFact {
        source,
        incarnation: start,
        kind: 1,
        key: vec![9, 0],
        sequence: 1,
        age_ms: 100,
        ttl_ms: 60_000,
        body: b"body".to_vec(),
    };
    assert_eq!(
        anti_entropy_message("facts-facts"),
        AntiEntropyMessage::Facts(vec![fact])
    );
    assert_eq!(
        view_message("views-hash"),
        ViewMessage::hash(&[id(3)].into())
    );
    assert_eq!(
        view_message("views-down"),
        ViewMessage::Down {
            is_reply: false,
            ids: vec![id(3)]
        }
    );
}

fn core() -> Core {
    let members = (0..4).map(|at| Member {
        name: format!("n{at}"),
        address: ([127, 0, 0, 1], 7_000 + at).into(),
        region: String::new(),
    });
    let roster = Roster {
        version: 3,
        members: members.collect(),
    };
    Core::new(Config::new("n3", START + 3, roster), 1).unwrap()
}

/// Complete datagrams: their sender becomes alive, and its fact is stored.
#[test]
fn a_core_accepts_datagrams_of_the_first_version() {
    let (mut core, mut actions) = (core(), Vec::new());
    for name in [
        "swim-Feed",
        "swim-Ping",
        "facts-facts",
        "facts-summary",
        "facts-detail",
        "views-hash",
    ] {
        let bytes = recorded(name);
        core.handle(
            Duration::ZERO,
            Event::Datagram {
                from: "n0",
                incarnation: START,
                bytes: &bytes,
            },
            &mut actions,
        );
    }
    let view = core.view(Duration::ZERO);
    assert_eq!(
        (
            view.counters.malformed,
            view.counters.sender_mismatches,
            view.counters.errors
        ),
        (0, 0, 0)
    );
    let alive = |name: &str| {
        view.members
            .iter()
            .any(|m| m.name == name && m.status == Status::Alive)
    };
    assert!(alive("n0") && alive("n1"), "{:?}", view.members);
    let fact = core.facts(Duration::ZERO, 1).pop().unwrap();
    assert_eq!(
        (fact.source.as_str(), fact.sequence, fact.body.as_slice()),
        ("n0", 1, b"body".as_slice())
    );
}

/// Unknown kinds of datagrams and messages, and known kinds without content: each is counted, none is answered, and no
/// member becomes alive because of it.
#[test]
fn datagrams_of_a_later_version_are_counted_and_dropped() {
    let (mut core, mut actions) = (core(), Vec::new());
    let later_datagrams: [&[u8]; 7] = [&[4, 0], &[255], &[2, 3, 0], &[3, 2, 0], &[1], &[2], &[]];
    for bytes in later_datagrams {
        core.handle(
            Duration::ZERO,
            Event::Datagram {
                from: "n0",
                incarnation: START,
                bytes,
            },
            &mut actions,
        );
    }
    let view = core.view(Duration::ZERO);
    assert_eq!(view.counters.malformed, later_datagrams.len() as u64);
    assert!(view.members.iter().all(|m| m.status == Status::NeverHeard));
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. })),
        "{actions:?}"
    );
}
