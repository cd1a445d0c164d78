//! Sample frames of the wire format, decoded and answered.

use platform_settings as conf;
use routing::*;
use simulator_host::host::{run, Host};
use simulator_host::wire::{batch_header, Reader, Record, Reply, UpdateKind};
use std::time::Duration;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap())
        .collect()
}

const SETTINGS: &str = r#"{"Balancers": 3, "MyZone": 2, "NeverHeardOf": [1],
 "Classes": [{"Deadline": 2000000, "Effect": "safe", "GoalTime": 500000, "Group": "all", "Importance": 1.0},
             {"Deadline": 2000000, "Effect": "keyed", "GoalTime": 400000, "Group": "cell", "LateValue": 0.3,
              "Window": 1200000}],
 "FamilyInfo": {"Behind": "hold", "HoldsFor": 100000, "CountedFrom": 5000000, "NeedsByClass": ["recent", "update"],
                "StalenessBound": [200000, 0], "TokenMode": "client"},
 "LoadReport": {"Fields": ["x0", "x1", "backlog"]},
 "PolicyLimits": {"Probing": true, "TryLimit": 8, "RetryAfter": true, "MaxRetryAfter": 500000},
 "Rules": {"OverloadFactor": 2.5, "StartCapacity": 0.25, "StopSendingWithin": 250000, "TipAfter": 2000000,
           "WarmAfter": 16000000}}"#;

fn spawn(instance: u16) -> Vec<u8> {
    let mut raw = vec![1];
    raw.extend(instance.to_be_bytes());
    raw.extend(9u64.to_be_bytes());
    raw.extend((SETTINGS.len() as u32).to_be_bytes());
    raw.extend(SETTINGS.as_bytes());
    raw
}

const PAGE: &str = "0a 00000000 00000002 \
    03124a07 0000 0000 000b 3f800000 01 3f800000 0000000000000000 \
    2c9011f2 0001 0000 000b 00000000 01 3fc00000 00000000005d1420";

#[test]
fn header_of_a_batch() {
    let header = batch_header(
        hex("0000000000805c5a 0000003a 00000003")
            .try_into()
            .unwrap(),
    );
    assert_eq!(
        (header.clock, header.bytes, header.records),
        (Time::from_micros(0x80_5c5a), 0x3a, 3)
    );
}

#[test]
fn records_of_the_sample_batch() {
    let body =
        hex("06 0003 000a1bbb5d3a91c4 0000 0000 01 91f03b7c55d20a64 0003a980 43ce4000 41300000 00002ee0 \
         05 0003 0000004d 09 0005 0001b0ec0e6f2b19");
    assert_eq!(body.len(), 0x3a);
    let mut reader = Reader::new(&body);
    let Record::RequestArrived {
        instance: 3,
        arrival,
    } = reader.record().unwrap()
    else {
        panic!()
    };
    assert_eq!(arrival.id, RequestId(0x000a_1bbb_5d3a_91c4));
    assert_eq!(arrival.session, Some(SessionKey(0x91f0_3b7c_55d2_0a64)));
    assert_eq!(arrival.time_left, Duration::from_micros(240_000));
    assert_eq!(
        arrival.session_position,
        Some(SessionPosition::Ago(Duration::from_micros(412_500)))
    );
    assert_eq!(arrival.group, GroupId(11));
    assert!(!arrival.is_client_retry);
    assert_eq!(
        reader.record().unwrap(),
        Record::Timer {
            instance: 3,
            token: TimerToken(77)
        }
    );
    let left = Record::ClientLeft {
        instance: 5,
        id: RequestId(0x0001_b0ec_0e6f_2b19),
    };
    assert_eq!(reader.record().unwrap(), left);
    assert!(reader.is_at_end());
}

#[test]
fn a_page_and_its_update() {
    let body = hex(&format!("{PAGE} 02 0003 02 00000029 00000000"));
    let mut reader = Reader::new(&body);
    let Record::Page { number: 0, entries } = reader.record().unwrap() else {
        panic!()
    };
    assert_eq!(entries.len(), 2);
    assert!(entries[0].primary && !entries[1].primary);
    assert_eq!(
        (entries[0].server, entries[0].group),
        (ServerId(0x0312_4a07), GroupId(11))
    );
    assert_eq!(
        (entries[1].zone, entries[1].started),
        (ZoneId(1), Time::from_micros(0x5d_1420))
    );
    assert_eq!(
        reader.record().unwrap(),
        Record::EndpointUpdate {
            instance: 3,
            kind: UpdateKind::Cached,
            page: 0
        }
    );
}

#[test]
fn the_end_of_an_attempt() {
    let body = hex("08 0003 000a1bbb5d3a91c4 0000 03124a07 00c8 00004844 01 0000638e 00");
    let Record::AttemptEnded(ended) = Reader::new(&body).record().unwrap() else {
        panic!()
    };
    assert_eq!(
        (ended.outcome, ended.elapsed, ended.request_finished),
        (Outcome::Ok, Duration::from_micros(0x4844), true)
    );
    assert_eq!(ended.metadata, 0x638e);
}

#[test]
fn actions_of_the_sample_reply() {
    let mut reply = Reply::default();
    let id = RequestId(0x000a_1bbb_5d3a_91c4);
    let timeout = Duration::from_micros(0x13880);
    reply.push(
        3,
        &Action::Send {
            id,
            server: ServerId(0x0312_4a07),
            timeout,
            begin_within: timeout,
        },
    );
    reply.push(
        3,
        &Action::Timer {
            after: Duration::from_micros(500_000),
            token: TimerToken(77),
        },
    );
    let expected =
        "00000002 0000001e 41 0003 000a1bbb5d3a91c4 03124a07 00013880 45 0003 0007a120 0000004d";
    assert_eq!(reply.frame(), hex(expected));
    assert_eq!(
        reply.frame(),
        [0; 8],
        "an empty reply follows an empty batch"
    );
}

#[test]
fn settings_with_unknown_and_absent_keys() {
    let decoded = conf::decode(SETTINGS.as_bytes()).unwrap();
    let settings = decoded.settings;
    assert_eq!(
        settings.classes[0].consistency,
        Consistency::BoundedStaleness(Duration::from_micros(200_000))
    );
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::Group,
        window: Duration::from_micros(1_200_000),
    };
    assert_eq!(
        (
            settings.classes[1].consistency,
            settings.classes[1].idempotency
        ),
        (Consistency::Write, keyed)
    );
    assert_eq!(
        settings.staleness_check,
        StalenessCheck::Wait(Duration::from_micros(100_000))
    );
    assert!(
        settings.clients_carry_session_position
            && !settings.endpoints_are_polled
            && !settings.may_hedge
    );
    assert_eq!(
        decoded.report_fields,
        [
            conf::ReportField::Position,
            conf::ReportField::Primary,
            conf::ReportField::Queued
        ]
    );
    assert!(conf::decode(b"{}").unwrap().settings.classes.is_empty());
    assert!(conf::decode(b"not json").is_err());
}

#[test]
fn page_numbers_are_resolved_in_the_order_of_records() {
    let mut body = spawn(3);
    body.extend(hex(PAGE));
    body.extend(hex("02 0003 02 00000001 00000000"));
    // The same page number again, with another server: the update of instance 3 must not change.
    body.extend(hex(
        "0a 00000000 00000001 00000005 0000 0000 000b 00000000 01 3f800000 0000000000000000",
    ));
    let mut host = Host::default();
    body.extend(hex(WRITE));
    let reply = host
        .handle_batch(Time::from_micros(6_000_000), 5, &body)
        .unwrap();
    assert_eq!(sent_to(&reply), [0x0312_4a07]);
}

/// A write for the group of the listed servers.
const WRITE: &str =
    "06 0003 000a1bbb5d3a91c4 0000 0001 04 91f03b7c55d20a64 0003a980 00000000 41300000 00000000";

/// Servers that attempts are sent to, in a reply with only sends, probes and timers.
fn sent_to(reply: &[u8]) -> Vec<u32> {
    let mut offset = 8;
    let mut servers = Vec::new();
    while offset < reply.len() {
        match reply[offset] {
            65 => {
                servers.push(u32::from_be_bytes(
                    reply[offset + 11..offset + 15].try_into().unwrap(),
                ));
                offset += 19;
            }
            70 => offset += 7,
            69 => offset += 11,
            other => panic!("action {other}"),
        }
    }
    servers
}

#[test]
fn stop_and_spawn_in_one_batch_start_afresh() {
    let mut host = Host::default();
    let mut body = spawn(3);
    body.extend(hex(PAGE));
    body.extend(hex("02 0003 02 00000001 00000000"));
    body.extend(hex(WRITE));
    host.handle_batch(Time::from_micros(6_000_000), 4, &body)
        .unwrap();
    let mut body = hex("03 0003");
    body.extend(spawn(3));
    body.extend(hex("02 0003 02 00000002 00000000"));
    body.extend(hex(WRITE));
    let reply = host
        .handle_batch(Time::from_micros(6_001_000), 4, &body)
        .unwrap();
    assert_eq!(
        sent_to(&reply),
        [0x0312_4a07],
        "the old incarnation's attempt takes no capacity in the new one"
    );
}

#[test]
fn an_event_for_an_unknown_instance_is_skipped() {
    let reply = Host::default()
        .handle_batch(Time::from_micros(1), 1, &hex("05 0007 0000004d"))
        .unwrap();
    assert_eq!(reply, [0; 8]);
}

#[test]
fn malformed_frames_are_named() {
    let cases = [
        ("0c 0003", 12, "unknown record code 12"),
        ("05 0003 0000", 5, "4 bytes wanted"),
        ("0a 00000000 00ffffff", 10, "overrun"),
        ("01 0003 0000000000000001 00000001 7b", 1, "settings"),
        ("02 0003 02 00000001 00000009", 2, "never sent"),
        (
            "08 0003 000a1bbb5d3a91c4 0000 03124a07 00c9 00004844 01 00000000 00",
            8,
            "outcome 201",
        ),
    ];
    for (frame, code, message) in cases {
        let mut host = Host::default();
        let fault = host
            .handle_batch(Time::from_micros(1), 1, &hex(frame))
            .unwrap_err();
        assert_eq!(fault.code, code, "{frame}");
        assert!(fault.to_string().contains(message), "{fault}");
    }
    let trailing = Host::default()
        .handle_batch(Time::from_micros(1), 0, &[5])
        .unwrap_err();
    assert!(trailing.fault.to_string().contains("after the last record"));
}

#[test]
fn input_may_end_between_frames_only() {
    let empty = hex("0000000000805c5a 00000000 00000000");
    let mut out = Vec::new();
    run(&empty[..], &mut out).unwrap();
    assert_eq!(out, [0; 8]);
    assert!(run(&empty[..9], Vec::new()).is_err());
    assert!(run(
        &hex("0000000000805c5a 00000002 00000001 05")[..],
        Vec::new()
    )
    .is_err());
}
