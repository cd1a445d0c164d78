//! Encoding of usage rates.

use super::*;

/// Bytes as written by version 1, which later builds must still read and write.
#[test]
fn rates_of_version_1_are_read_for_good() {
    let recorded = [1, 2, 0xe8, 0x07, 0xc0, 0xc4, 0x07, 3, 0];
    assert_eq!(decode(&recorded), Some(vec![(1000, 123_456), (3, 0)]));
    assert_eq!(
        encode(&[(1000, 123_456), (3, 0)]).as_deref(),
        Some(&recorded[..])
    );
}

#[test]
fn rates_of_a_later_version_or_malformed_ones_are_ignored_and_counted() {
    for body in [&[2, 0][..], &[1, 2, 0xe8], &[]] {
        assert_eq!(decode(body), None);
        let fact = |kind| Fact {
            source: "n1".into(),
            incarnation: 1,
            kind,
            key: vec![0],
            sequence: 1,
            body: body.into(),
            age: Duration::ZERO,
            ttl: TTL,
        };
        assert!(is_malformed(&fact(MESSAGE_KIND)) && !is_malformed(&fact(MESSAGE_KIND + 1)));
    }
}
