//! Self-reports in encoding version 1, in a complete recorded datagram.

use super::*;

const INCARNATION: u64 = 1_800_000_000_001;
/// Datagram of `membership` with one fact: the self-report of `n1` with its build, serving.
const DATAGRAM: &str = "02020180b8d72181a0f1c2b13401000100e0d403080105302e312e3001";
/// Body of the fact in `DATAGRAM`.
const BODY: &str = "0105302e312e3001";
const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

pub(super) fn join_test_fleet(now: Instant) -> Members {
    let member = |at: u16| configuration::model::Member {
        name: format!("n{at}"),
        address: ([127, 0, 0, 1], 7_000 + at).into(),
        region: "east".into(),
    };
    let settings = MembersSettings {
        version: 3,
        listen: ([127, 0, 0, 1], 0).into(),
        key_file: "members.key".into(),
        period: Duration::from_millis(200),
        suspicion: Duration::from_millis(600),
        roster: vec![member(0), member(1)],
    };
    let reactor = Reactor::new().unwrap();
    Members::join(
        settings,
        Keys::parse(KEY).ok(),
        "n0",
        INCARNATION,
        1,
        now,
        &reactor,
    )
    .unwrap()
}

fn receive_datagram(members: &mut Members, bytes: &[u8], now: Instant) {
    members.handle(
        Event::Datagram {
            from: "n1",
            incarnation: INCARNATION,
            bytes,
        },
        now,
    );
}

#[test]
fn self_reports_of_version_1_are_read() {
    let now = Instant::now();
    let mut members = join_test_fleet(now);
    receive_datagram(&mut members, &hex::decode(DATAGRAM).unwrap(), now);
    let self_report = SelfReport {
        build: "0.1.0".into(),
        serving: true,
    };
    assert_eq!(
        members.self_reports(now),
        [("n1".to_owned(), self_report)].into()
    );
    assert_eq!(members.malformed_self_reports, 0);
}

/// A self-report of an unknown version is counted as malformed and dropped, although the datagram and the fact are valid.
#[test]
fn self_reports_of_a_later_version_are_counted_and_dropped() {
    let now = Instant::now();
    let mut members = join_test_fleet(now);
    let later = BODY.replacen("01", "02", 1);
    receive_datagram(
        &mut members,
        &hex::decode(DATAGRAM.replace(BODY, &later)).unwrap(),
        now,
    );
    assert_eq!(
        members.core.facts(Duration::ZERO, SELF_REPORT_KIND).len(),
        1
    );
    assert_eq!(members.self_reports(now), BTreeMap::new());
    assert_eq!(members.view(now).counters.malformed, 0);
    assert_eq!(
        (members.malformed_self_reports, members.malformed_rates),
        (1, 0)
    );
}
