//! Sealing and opening through the public interface: rejections and their reasons, damaged and forged datagrams, and
//! bytes of version 1 that every later build has to read.

use datagram_auth::{KeyError, Keys, OpenError, Opener, SealError, Sealer, MEMBERSHIP_KIND};
use hmac::{Hmac, Mac};
use proptest::prelude::*;
use std::collections::HashSet;
use std::sync::LazyLock;

const OLD_KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const NEW_KEY: &str = "ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1eff";

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

fn datagram_from(name: &str, incarnation: u64, keys_text: &str) -> Vec<u8> {
    seal(
        &mut Sealer::new(name, incarnation, keys(keys_text)),
        b"hello",
    )
}

/// A datagram with changed bytes under a valid signature.
fn forged(datagram: &[u8], change: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = datagram[..datagram.len() - 16].to_vec();
    change(&mut bytes);
    let mut mac = Hmac::<sha2::Sha256>::new_from_slice(&hex::decode(OLD_KEY).unwrap()).unwrap();
    mac.update(&bytes);
    bytes.extend(&mac.finalize().into_bytes()[..16]);
    bytes
}

/// A datagram recorded from the first build of version 1.
#[test]
fn datagrams_of_version_1_are_read() {
    let golden = hex::decode(include_str!("version-1.hex").trim()).unwrap();
    let mut opener = opener(OLD_KEY);
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
        hex::encode(datagram_from("n1", 1_700_000_000, OLD_KEY)),
        hex::encode(&golden)
    );
}

#[test]
fn each_rejection_has_its_reason() {
    let good = datagram_from("n1", 5, OLD_KEY);
    let at_least = |version| forged(&good, |bytes| (bytes[4], bytes[5]) = (version, version));
    let cases = [
        (vec![0; 1_401], "too-long"),
        (b"GET / HTTP/1.1\r\nHost: n0\r\n\r\n".to_vec(), "not-ours"),
        (at_least(2), "newer"),
        (at_least(0), "malformed"),
        (datagram_from("n1", 5, NEW_KEY), "unknown-key"),
        (vec![], "malformed"),
        (good[..good.len() - 1].to_vec(), "bad-mac"),
        (forged(&good, |bytes| bytes.truncate(15)), "malformed"),
        (forged(&good, |bytes| bytes.push(0)), "malformed"),
        (datagram_from("n0", 5, OLD_KEY), "own-name"),
        (datagram_from("n3", 5, OLD_KEY), "unknown-sender"),
        (datagram_from("n2", 4, OLD_KEY), "stale"),
        (datagram_from("n2", 5, OLD_KEY), "replayed"),
    ];
    let mut opener = opener(OLD_KEY);
    opener.open(&datagram_from("n2", 5, OLD_KEY)).unwrap();
    for (datagram, label) in &cases {
        let error = opener.open(datagram).unwrap_err();
        assert_eq!(error.label(), *label, "{error}");
        assert!(
            error.to_string().contains(": "),
            "the message has no advice after a colon: {error}"
        );
    }
    // None of the rejected datagrams has used up the sequence number of the valid one.
    opener.open(&good).unwrap();
    let seen: HashSet<&str> = cases.iter().map(|(_, label)| *label).collect();
    assert_eq!(seen, HashSet::from(OpenError::LABELS));
}

#[test]
fn fields_of_a_later_version_are_skipped_but_signed() {
    let later = forged(&datagram_from("n1", 5, OLD_KEY), |bytes| {
        bytes[4] = 9;
        bytes.extend(b"more");
    });
    let mut damaged = later.clone();
    let at = damaged.len() - 17;
    damaged[at] ^= 1;
    let mut opener = opener(OLD_KEY);
    assert_eq!(opener.open(&damaged), Err(OpenError::InvalidMac));
    assert_eq!(opener.open(&later).unwrap().payload, b"hello");
}

#[test]
fn keys_rotate_without_losing_datagrams() {
    // Key files during a rotation, as steps 0 to 3. Two members are never more than one step apart.
    let (old, both, rotated, new) = (
        OLD_KEY,
        format!("{OLD_KEY}\n{NEW_KEY}"),
        format!("{NEW_KEY}\n{OLD_KEY}"),
        NEW_KEY,
    );
    let steps = [old, &both, &rotated, new];
    for (receiver, sender, accepted) in [
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
        let result = opener(steps[receiver])
            .open(&datagram_from("n1", 5, steps[sender]))
            .map(|_| ());
        assert_eq!(
            result.is_ok(),
            accepted,
            "a receiver in step {receiver} opens a datagram of a sender in step {sender}"
        );
        assert!(accepted || matches!(result, Err(OpenError::UnknownKey(_))));
    }
    let (mut sealer, mut opener) = (Sealer::new("n1", 5, keys(OLD_KEY)), opener(OLD_KEY));
    let first = seal(&mut sealer, b"");
    opener.open(&first).unwrap();
    sealer.set_keys(keys(&rotated));
    opener.set_keys(keys(&rotated));
    opener.open(&seal(&mut sealer, b"")).unwrap();
    assert_eq!(
        opener.open(&first),
        Err(OpenError::Replayed),
        "replay windows are kept when the keys change"
    );
}

#[test]
fn a_roster_change_keeps_the_windows_of_its_members() {
    let mut opener = opener(OLD_KEY);
    let first = datagram_from("n1", 5, OLD_KEY);
    opener.open(&first).unwrap();
    opener.set_members(["n1", "n1", "n7"].map(String::from));
    assert_eq!(opener.open(&first), Err(OpenError::Replayed));
    assert!(opener.open(&datagram_from("n7", 1, OLD_KEY)).is_ok());
    assert_eq!(
        opener
            .open(&datagram_from("n2", 1, OLD_KEY))
            .unwrap_err()
            .label(),
        "unknown-sender"
    );
}

#[test]
fn a_later_incarnation_makes_the_former_stale() {
    let mut opener = opener(OLD_KEY);
    let mut former = Sealer::new("n1", 5, keys(OLD_KEY));
    let delayed = seal(&mut former, b"");
    opener.open(&seal(&mut former, b"")).unwrap();
    opener.open(&datagram_from("n1", 6, OLD_KEY)).unwrap();
    assert_eq!(
        opener.open(&delayed),
        Err(OpenError::StaleIncarnation {
            incarnation: 5,
            known: 6
        })
    );
}

#[test]
fn key_files_are_validated_and_keys_are_never_printed() {
    let bad = "x".repeat(64);
    let cases = [
        ("# none\n\n".to_owned(), KeyError::NoKey),
        (
            format!("# ours\n{}", &OLD_KEY[1..]),
            KeyError::WrongLength { line: 2, found: 63 },
        ),
        (format!("\n\n{bad}"), KeyError::NotHex { line: 3 }),
        (
            format!("{OLD_KEY}\n{OLD_KEY}"),
            KeyError::DuplicateKey { line: 2 },
        ),
        (
            format!("{OLD_KEY}\n{NEW_KEY}\n\n{bad}"),
            KeyError::TooManyKeys { line: 4 },
        ),
    ];
    for (text, error) in cases {
        assert_eq!(Keys::parse(&text).unwrap_err(), error);
    }
    let parsed = keys(&format!(
        "# the fleet's\r\n{} # new\r\n\n  {OLD_KEY}\n",
        NEW_KEY.to_uppercase()
    ));
    let printed = format!(
        "{parsed:?} {:?} {:?}",
        Sealer::new("n1", 1, parsed.clone()),
        opener(OLD_KEY)
    );
    assert_eq!(parsed.ids().len(), 2);
    assert!(parsed.ids().iter().all(|id| printed.contains(id)));
    assert!(
        !printed.contains(&OLD_KEY[..8])
            && !printed.contains(&NEW_KEY[..8])
            && !printed.contains("ipad"),
        "{printed}"
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
        let mut sealer = Sealer::new(name, 1, keys(OLD_KEY));
        assert_eq!(
            sealer.seal(MEMBERSHIP_KIND, 1, &vec![0; length], &mut out),
            Err(error)
        );
        assert!(out.is_empty());
    }
}

/// The oldest sequence number within the window is accepted, and the one before it is not.
#[test]
fn the_replay_window_holds_1024() {
    let mut opener = opener(OLD_KEY);
    for (at, accepted) in [
        (0, true),
        (1_023, true),
        (1, true),
        (0, false),
        (1_024, true),
        (1, false),
        (2_500, true),
    ] {
        assert_eq!(opener.open(&DATAGRAMS[at]).is_ok(), accepted, "number {at}");
    }
    assert_eq!(
        (
            opener.open(&DATAGRAMS[1_476]).is_ok(),
            opener.open(&DATAGRAMS[1_477]).is_ok()
        ),
        (false, true)
    );
}

/// The first datagrams of one incarnation.
static DATAGRAMS: LazyLock<Vec<Vec<u8>>> = LazyLock::new(|| {
    let mut sealer = Sealer::new("n1", 5, keys(OLD_KEY));
    (0..3_000).map(|_| seal(&mut sealer, b"")).collect()
});

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_sealed_is_opened_once(
        name in "[^\\pC]{1,16}", incarnation: u64, kind: u8, roster: u64,
        payload in proptest::collection::vec(any::<u8>(), 0..=1_200),
    ) {
        let mut out = Vec::new();
        Sealer::new(&name, incarnation, keys(OLD_KEY)).seal(kind, roster, &payload, &mut out).unwrap();
        prop_assert!(out.len() <= 1_400);
        let mut opener = Opener::new("another one altogether", keys(OLD_KEY), [name.clone()]);
        let opened = opener.open(&out).unwrap();
        prop_assert_eq!((opened.from, opened.incarnation, opened.kind), (name.as_str(), incarnation, kind));
        prop_assert_eq!((opened.roster_version, opened.payload), (roster, payload.as_slice()));
        prop_assert_eq!(opener.open(&out), Err(OpenError::Replayed));
    }

    /// Flips every bit of each datagram in turn. The replay window must not change.
    #[test]
    fn a_flipped_bit_is_refused(payload in proptest::collection::vec(any::<u8>(), 0..20)) {
        let good = seal(&mut Sealer::new("n1", 5, keys(OLD_KEY)), &payload);
        let mut opener = opener(OLD_KEY);
        for bit in 0..8 * good.len() {
            let mut bad = good.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            prop_assert!(opener.open(&bad).is_err(), "bit {}", bit);
        }
        prop_assert!(opener.open(&good).is_ok());
    }

    /// Compares the window with a set of all received numbers: in any order, with repetitions and gaps, a number is
    /// accepted once if it is less than 1,024 behind the greatest, and otherwise rejected.
    #[test]
    fn the_window_takes_each_number_once(picks in proptest::collection::vec(0_usize..3_000, 1..400), near in 0_usize..2_000) {
        let all = &*DATAGRAMS;
        let mut opener = opener(OLD_KEY);
        let (mut seen, mut greatest) = (HashSet::new(), 0);
        // The second half stays in a narrow range, so that most numbers are within the window.
        let half = picks.len() / 2;
        for (turn, pick) in picks.into_iter().enumerate() {
            let at = if turn < half { pick } else { near + pick % 1_000 };
            let expected = (at + 1_024 > greatest || seen.is_empty()) && seen.insert(at);
            prop_assert_eq!(opener.open(&all[at]).is_ok(), expected, "number {} after {}", at, greatest);
            greatest = greatest.max(at);
        }
    }
}
