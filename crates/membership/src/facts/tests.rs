//! Tests of the fact store.

use super::*;
use std::time::Duration;

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn wire_fact(source: u32, start: u64, key: u8, sequence: u64, age_ms: u32) -> WireFact {
    WireFact {
        source,
        incarnation: start,
        kind: 1,
        key: vec![key],
        sequence,
        age_ms,
        ttl_ms: 30_000,
        body: vec![7; 100],
    }
}

#[test]
fn later_incarnations_and_sequences_win_and_ages_only_grow() {
    let mut store = FactStore::new(1, 10, FactLimits::default());
    assert!(matches!(
        store.receive(secs(100), wire_fact(2, 5, 1, 4, 0)),
        ReceiveOutcome::New(_)
    ));
    for (start, sequence, new) in [
        (5, 3, false),
        (5, 4, false),
        (5, 5, true),
        (4, 9, false),
        (6, 1, true),
    ] {
        let outcome = store.receive(secs(100), wire_fact(2, start, 1, sequence, 0));
        assert_eq!(
            matches!(outcome, ReceiveOutcome::New(_)),
            new,
            "{start} {sequence}"
        );
    }
    store.receive(secs(100), wire_fact(2, 6, 1, 1, 9000));
    store.receive(secs(100), wire_fact(2, 6, 1, 1, 2000));
    let id = FactId {
        source: 2,
        kind: 1,
        key: vec![1],
    };
    assert_eq!(store.live_fact(secs(101), &id, "b").unwrap().age, secs(10));
    assert!(
        store.live_fact(secs(120), &id, "b").is_some()
            && store.live_fact(secs(121), &id, "b").is_none()
    );
    // An expired fact is remembered without its body, so that an older version does not come back. It is removed after
    // the maximum TTL.
    store.expire(secs(121));
    assert!(
        store.bytes() < 100
            && store.receive(secs(122), wire_fact(2, 6, 1, 0, 0)) == ReceiveOutcome::Known
    );
    store.expire(secs(692));
    assert_eq!((store.len(), store.bytes()), (0, 0));
}

#[test]
fn the_store_is_bounded_and_expired_facts_give_way() {
    let limits = FactLimits {
        facts_per_source: 3,
        bytes: 900,
        max_ttl: secs(600),
    };
    let mut store = FactStore::new(1, 10, limits);
    let keys = |store: &mut FactStore, now, keys: std::ops::Range<u8>| {
        let outcomes = keys.map(|key| store.receive(now, wire_fact(2, 5, key, u64::from(key), 0)));
        outcomes
            .filter(|outcome| matches!(outcome, ReceiveOutcome::New(_)))
            .count()
    };
    assert_eq!(keys(&mut store, secs(100), 0..5), 3);
    assert_eq!(keys(&mut store, secs(131), 5..7), 2);
    assert!((0..5).any(
        |source| store.receive(secs(131), wire_fact(10 + source, 5, 0, 1, 0))
            == ReceiveOutcome::CapacityExceeded
    ));
    assert!(store.bytes() <= 900);
}

#[test]
fn a_source_replaces_facts_forged_in_its_name() {
    let mut store = FactStore::new(1, 10, FactLimits::default());
    let own_id = store
        .publish(secs(100), 1, vec![1], vec![8], secs(60))
        .unwrap();
    assert_eq!(
        store.receive(secs(101), wire_fact(1, 10, 1, 50, 0)),
        ReceiveOutcome::Forged
    );
    let republished = store.wire_fact(secs(101), &own_id).unwrap();
    assert_eq!((republished.sequence, republished.body), (51, vec![8]));
    assert_eq!(
        store.receive(secs(101), wire_fact(1, 10, 2, 60, 0)),
        ReceiveOutcome::Forged
    );
    let withdrawn = store
        .wire_fact(
            secs(101),
            &FactId {
                source: 1,
                kind: 1,
                key: vec![2],
            },
        )
        .unwrap();
    assert!(withdrawn.sequence > 60 && withdrawn.ttl_ms == 0);
    assert_eq!(
        store.receive(secs(101), wire_fact(1, 11, 1, 1, 0)),
        ReceiveOutcome::LaterIncarnation(11)
    );
    assert!(matches!(
        store.receive(secs(101), wire_fact(1, 9, 3, 70, 0)),
        ReceiveOutcome::New(_)
    ));
}

#[test]
fn two_stores_agree_after_exchanges_of_bounded_messages() {
    let limits = FactLimits {
        facts_per_source: 256,
        ..FactLimits::default()
    };
    let mut stores = [FactStore::new(1, 10, limits), FactStore::new(2, 10, limits)];
    for number in 0..600_u32 {
        let fact = WireFact {
            body: Vec::new(),
            key: number.to_be_bytes().to_vec(),
            ..wire_fact(9, 5, 0, 1, 0)
        };
        let source = 10 + number % 150 * u32::from(number < 400);
        stores[number as usize % 2].receive(secs(1), WireFact { source, ..fact });
    }
    let mut messages = 0;
    for turn in 0..8 {
        let mut queue = vec![(1 - turn % 2, stores[turn % 2].next_digest())];
        while let Some((to, message)) = queue.pop() {
            messages += 1;
            assert!(postcard::to_stdvec(&message).unwrap().len() < 1200);
            let replies = match message {
                AntiEntropyMessage::Facts(facts) => {
                    facts
                        .into_iter()
                        .for_each(|fact| drop(stores[to].receive(secs(1), fact)));
                    continue;
                }
                AntiEntropyMessage::Digest { sources, .. } => {
                    let differing = stores[to].differing_sources(sources);
                    differing
                        .into_iter()
                        .flat_map(|theirs| stores[to].version_messages(theirs.source, false))
                        .collect()
                }
                AntiEntropyMessage::Versions {
                    is_reply: reply,
                    source,
                    range: their_range,
                    versions,
                } => stores[to].reply_to_versions(secs(1), reply, source, their_range, &versions),
            };
            queue.extend(replies.into_iter().map(|message| (1 - to, message)));
        }
    }
    assert!(
        stores[0].sources == stores[1].sources && stores[0].len() == 600,
        "{}",
        stores[0].len()
    );
    assert!(messages < 2000, "{messages}");
}
