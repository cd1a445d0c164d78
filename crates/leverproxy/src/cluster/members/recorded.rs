//! What proxies said of themselves in the first version, in the whole datagram that it came in.

use super::*;

const START: u64 = 1_800_000_000_001;
/// Of `membership`: one fact of `n1`, which says its build and that it serves.
const DATAGRAM: &str = "02020180b8d72181a0f1c2b13401000100e0d403080105302e312e3001";
/// The body in it.
const BODY: &str = "0105302e312e3001";
const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

pub(super) fn joined(now: Instant) -> Members {
    let member = |at: u16| configuration::model::Member {
        name: format!("n{at}"),
        address: ([127, 0, 0, 1], 7_000 + at).into(),
        region: "east".into(),
    };
    let stated = Stated {
        version: 3,
        listen: ([127, 0, 0, 1], 0).into(),
        key_file: "members.key".into(),
        period: Duration::from_millis(200),
        suspicion: Duration::from_millis(600),
        roster: vec![member(0), member(1)],
    };
    let reactor = Reactor::new().unwrap();
    Members::join(stated, Keys::parse(KEY).ok(), "n0", START, 1, now, &reactor).unwrap()
}

fn hear(members: &mut Members, bytes: &[u8], now: Instant) {
    members.handle(
        Event::Datagram {
            from: "n1",
            incarnation: START,
            bytes,
        },
        now,
    );
}

#[test]
fn an_account_of_the_first_version_is_read_for_good() {
    let now = Instant::now();
    let mut members = joined(now);
    hear(&mut members, &hex::decode(DATAGRAM).unwrap(), now);
    let account = Account {
        build: "0.1.0".into(),
        serving: true,
    };
    assert_eq!(members.accounts(now), [("n1".to_owned(), account)].into());
    assert_eq!(members.accounts_unread, 0);
}

/// It is a fact that was not heard, and is counted: who says it is known, and not what it says.
#[test]
fn an_account_of_a_later_version_is_not_heard() {
    let now = Instant::now();
    let mut members = joined(now);
    let later = BODY.replacen("01", "02", 1);
    hear(
        &mut members,
        &hex::decode(DATAGRAM.replace(BODY, &later)).unwrap(),
        now,
    );
    assert_eq!(members.core.facts(Duration::ZERO, ACCOUNT).len(), 1);
    assert_eq!(members.accounts(now), BTreeMap::new());
    assert_eq!(members.view(now).counters.malformed, 0);
    assert_eq!((members.accounts_unread, members.rates_unread), (1, 0));
}
