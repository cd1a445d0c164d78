//! Sealing and opening from outside: what is rejected and why, damaged and forged datagrams, and bytes of version 1 that every
//! later build has to read.

use datagram_auth::{KeyError, Keys, OpenError, Opener, SealError, Sealer, MEMBERSHIP_KIND};
use hmac::{Hmac, Mac};
use proptest::prelude::*;
use std::collections::HashSet;
use std::sync::LazyLock;

const OLD: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const NEW: &str = "ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1eff";

fn keys(text: &str) -> Keys {
    Keys::parse(text).unwrap()
}

fn opener(keys_text: &str) -> Opener {
    Opener::new("n0", keys(keys_text), ["n0", "n1", "n2"].map(String::from))
}

fn seal(sealer: &mut Sealer, payload: &[u8]) -> Vec<u8> {
    let mut out = vec![7; 3];
    sealer.seal(MEMBERSHIP_KIND, 3, payload, &mut out).unwrap();
    out
}

fn from(name: &str, start: u64, keys_text: &str) -> Vec<u8> {
    seal(&mut Sealer::new(name, start, keys(keys_text)), b"hello")
}

/// A datagram with other bytes under a good signature.
fn forged(datagram: &[u8], change: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = datagram[..datagram.len() - 16].to_vec();
    change(&mut bytes);
    let mut mac = Hmac::<sha2::Sha256>::new_from_slice(&hex::decode(OLD).unwrap()).unwrap();
    mac.update(&bytes);
    bytes.extend(&mac.finalize().into_bytes()[..16]);
    bytes
}

/// As the first build of version 1 sent it.
#[test]
fn datagrams_of_version_1_are_read() {
    let golden = hex::decode(include_str!("version-1.hex").trim()).unwrap();
    let mut opener = opener(OLD);
    let opened = opener.open(&golden).unwrap();
    assert_eq!(
        (
            opened.from,
            opened.incarnation,
            opened.kind,
            opened.roster_version
        ),
        ("n1", 1_700_000_000, 1, 3)
    );
    assert_eq!(opened.payload, b"hello");
    assert_eq!(
        hex::encode(from("n1", 1_700_000_000, OLD)),
        hex::encode(&golden)
    );
}

#[test]
fn each_rejection_has_its_reason() {
    let good = from("n1", 5, OLD);
    let at_least = |version| forged(&good, |bytes| (bytes[4], bytes[5]) = (version, version));
    let cases = [
        (vec![0; 1_401], "too-long"),
        (b"GET / HTTP/1.1\r\nHost: n0\r\n\r\n".to_vec(), "not-ours"),
        (at_least(2), "newer"),
        (at_least(0), "malformed"),
        (from("n1", 5, NEW), "unknown-key"),
        (vec![], "malformed"),
        (good[..good.len() - 1].to_vec(), "bad-mac"),
        (forged(&good, |bytes| bytes.truncate(15)), "malformed"),
        (forged(&good, |bytes| bytes.push(0)), "malformed"),
        (from("n0", 5, OLD), "own-name"),
        (from("n3", 5, OLD), "unknown-sender"),
        (from("n2", 4, OLD), "stale"),
        (from("n2", 5, OLD), "replayed"),
    ];
    let mut opener = opener(OLD);
    opener.open(&from("n2", 5, OLD)).unwrap();
    for (datagram, kind) in &cases {
        let refused = opener.open(datagram).unwrap_err();
        assert_eq!(refused.label(), *kind, "{refused}");
        assert!(
            refused.to_string().contains(": "),
            "says what can be done: {refused}"
        );
    }
    // Nothing of that has taken the place of a good one.
    opener.open(&good).unwrap();
    let seen: HashSet<&str> = cases.iter().map(|(_, kind)| *kind).collect();
    assert_eq!(seen, HashSet::from(OpenError::LABELS));
}

#[test]
fn fields_of_a_later_version_are_skipped_but_signed() {
    let later = forged(&from("n1", 5, OLD), |bytes| {
        bytes[4] = 9;
        bytes.extend(b"more");
    });
    let mut damaged = later.clone();
    let at = damaged.len() - 17;
    damaged[at] ^= 1;
    let mut opener = opener(OLD);
    assert_eq!(opener.open(&damaged), Err(OpenError::InvalidMac));
    assert_eq!(opener.open(&later).unwrap().payload, b"hello");
}

#[test]
fn keys_rotate_without_losing_datagrams() {
    // New first, then old; as each side has it. No member is behind by more than one step.
    let (old, both, turned, new) = (OLD, format!("{OLD}\n{NEW}"), format!("{NEW}\n{OLD}"), NEW);
    let steps = [old, &both, &turned, new];
    for (mine, theirs, heard) in [
        (0, 0, true),
        (0, 1, true),
        (1, 0, true),
        (1, 2, true),
        (2, 1, true),
    ]
    .into_iter()
    .chain([
        (2, 3, true),
        (3, 2, true),
        (0, 2, false),
        (0, 3, false),
        (3, 1, false),
        (3, 0, false),
    ]) {
        let result = opener(steps[mine])
            .open(&from("n1", 5, steps[theirs]))
            .map(|_| ());
        assert_eq!(result.is_ok(), heard, "{mine} hears {theirs}");
        assert!(heard || matches!(result, Err(OpenError::UnknownKey(_))));
    }
    let (mut sealer, mut opener) = (Sealer::new("n1", 5, keys(OLD)), opener(OLD));
    let first = seal(&mut sealer, b"");
    opener.open(&first).unwrap();
    sealer.set_keys(keys(&turned));
    opener.set_keys(keys(&turned));
    opener.open(&seal(&mut sealer, b"")).unwrap();
    assert_eq!(
        opener.open(&first),
        Err(OpenError::Replayed),
        "windows outlive the key"
    );
}

#[test]
fn a_roster_change_keeps_the_windows_of_its_members() {
    let mut opener = opener(OLD);
    let first = from("n1", 5, OLD);
    opener.open(&first).unwrap();
    opener.set_members(["n1", "n1", "n7"].map(String::from));
    assert_eq!(opener.open(&first), Err(OpenError::Replayed));
    assert!(opener.open(&from("n7", 1, OLD)).is_ok());
    assert_eq!(
        opener.open(&from("n2", 1, OLD)).unwrap_err().label(),
        "unknown-sender"
    );
}

#[test]
fn a_later_incarnation_makes_the_former_stale() {
    let mut opener = opener(OLD);
    let mut former = Sealer::new("n1", 5, keys(OLD));
    let late = seal(&mut former, b"");
    opener.open(&seal(&mut former, b"")).unwrap();
    opener.open(&from("n1", 6, OLD)).unwrap();
    assert_eq!(
        opener.open(&late),
        Err(OpenError::StaleIncarnation {
            incarnation: 5,
            known: 6
        })
    );
}

#[test]
fn key_files() {
    let bad = "x".repeat(64);
    let cases = [
        ("# none\n\n".to_owned(), KeyError::NoKey),
        (
            format!("# ours\n{}", &OLD[1..]),
            KeyError::WrongLength { line: 2, found: 63 },
        ),
        (format!("\n\n{bad}"), KeyError::NotHex { line: 3 }),
        (format!("{OLD}\n{OLD}"), KeyError::DuplicateKey { line: 2 }),
        (
            format!("{OLD}\n{NEW}\n\n{bad}"),
            KeyError::TooManyKeys { line: 4 },
        ),
    ];
    for (text, error) in cases {
        assert_eq!(Keys::parse(&text).unwrap_err(), error);
    }
    let read = keys(&format!(
        "# the fleet's\r\n{} # new\r\n\n  {OLD}\n",
        NEW.to_uppercase()
    ));
    let shown = format!(
        "{read:?} {:?} {:?}",
        Sealer::new("n1", 1, read.clone()),
        opener(OLD)
    );
    assert_eq!(read.ids().len(), 2);
    assert!(read.ids().iter().all(|id| shown.contains(id)));
    assert!(
        !shown.contains(&OLD[..8]) && !shown.contains(&NEW[..8]) && !shown.contains("ipad"),
        "{shown}"
    );
}

#[test]
fn what_exceeds_a_limit_is_not_sealed() {
    let mut out = Vec::new();
    for (name, length, error) in [
        ("n".repeat(65), 0, SealError::InvalidName(65)),
        (String::new(), 0, SealError::InvalidName(0)),
        ("n".to_owned(), 1_201, SealError::PayloadTooLong(1_201)),
    ] {
        let mut sealer = Sealer::new(name, 1, keys(OLD));
        assert_eq!(
            sealer.seal(MEMBERSHIP_KIND, 1, &vec![0; length], &mut out),
            Err(error)
        );
        assert!(out.is_empty());
    }
}

/// The oldest that the window holds, and the one before it.
#[test]
fn the_replay_window_holds_1024() {
    let mut opener = opener(OLD);
    for (at, taken) in [
        (0, true),
        (1_023, true),
        (1, true),
        (0, false),
        (1_024, true),
        (1, false),
        (2_500, true),
    ] {
        assert_eq!(opener.open(&MANY[at]).is_ok(), taken, "number {at}");
    }
    assert_eq!(
        (
            opener.open(&MANY[1_476]).is_ok(),
            opener.open(&MANY[1_477]).is_ok()
        ),
        (false, true)
    );
}

/// One start's first datagrams.
static MANY: LazyLock<Vec<Vec<u8>>> = LazyLock::new(|| {
    let mut sealer = Sealer::new("n1", 5, keys(OLD));
    (0..3_000).map(|_| seal(&mut sealer, b"")).collect()
});

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_sealed_is_opened_once(
        name in "[^\\pC]{1,16}", start: u64, kind: u8, roster: u64,
        payload in proptest::collection::vec(any::<u8>(), 0..=1_200),
    ) {
        let mut out = Vec::new();
        Sealer::new(&name, start, keys(OLD)).seal(kind, roster, &payload, &mut out).unwrap();
        prop_assert!(out.len() <= 1_400);
        let mut opener = Opener::new("another one altogether", keys(OLD), [name.clone()]);
        let opened = opener.open(&out).unwrap();
        prop_assert_eq!((opened.from, opened.incarnation, opened.kind), (name.as_str(), start, kind));
        prop_assert_eq!((opened.roster_version, opened.payload), (roster, payload.as_slice()));
        prop_assert_eq!(opener.open(&out), Err(OpenError::Replayed));
    }

    /// Of each datagram every bit; the window is as it was.
    #[test]
    fn a_flipped_bit_is_refused(payload in proptest::collection::vec(any::<u8>(), 0..20)) {
        let good = seal(&mut Sealer::new("n1", 5, keys(OLD)), &payload);
        let mut opener = opener(OLD);
        for bit in 0..8 * good.len() {
            let mut bad = good.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            prop_assert!(opener.open(&bad).is_err(), "bit {}", bit);
        }
        prop_assert!(opener.open(&good).is_ok());
    }

    /// Against a set of all numbers that came: in any order, with repeats and gaps, each that is less than 1,024 behind
    /// the greatest is taken in once, and nothing else.
    #[test]
    fn the_window_takes_each_number_once(picks in proptest::collection::vec(0_usize..3_000, 1..400), near in 0_usize..2_000) {
        let all = &*MANY;
        let mut opener = opener(OLD);
        let (mut seen, mut top) = (HashSet::new(), 0);
        // The second half stays near one place, where most are within the window.
        let half = picks.len() / 2;
        for (turn, pick) in picks.into_iter().enumerate() {
            let at = if turn < half { pick } else { near + pick % 1_000 };
            let fresh = (at + 1_024 > top || seen.is_empty()) && seen.insert(at);
            prop_assert_eq!(opener.open(&all[at]).is_ok(), fresh, "number {} after {}", at, top);
            top = top.max(at);
        }
    }
}
