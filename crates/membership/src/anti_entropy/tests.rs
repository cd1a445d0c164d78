//! Tests of the pull schedule.

use super::*;
use rand_10::rngs::StdRng;
use rand_10::SeedableRng;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Number of requests in each of forty heartbeats (four seconds) after a digest of `sources` sources and `rejoins` rejoins;
/// `reply` simulates the replies.
fn requests_per_heartbeat(
    sources: u32,
    rejoins: usize,
    mut reply: impl FnMut(&mut AntiEntropy, u32, u32),
) -> Vec<usize> {
    let (mut anti_entropy, mut rng) = (AntiEntropy::new(ms(400)), StdRng::seed_from_u64(1));
    (0..rejoins).for_each(|_| anti_entropy.member_rejoined(1000));
    anti_entropy.receive_digest(
        1,
        (0..sources)
            .map(|source| SourceHash { source, hash: 7 })
            .collect(),
        &mut rng,
    );
    let heartbeat = |number: u64| {
        let requests = anti_entropy.next_requests(ms(100 * number), |_| None, &mut rng);
        assert!(
            anti_entropy
                .pending
                .values()
                .filter(|pending| pending.requested_at.is_some())
                .count()
                <= MAX_PULLS_IN_FLIGHT
        );
        requests
            .iter()
            .for_each(|request| reply(&mut anti_entropy, request.to, request.source));
        requests.len()
    };
    (0..40).map(heartbeat).collect()
}

#[test]
fn requests_are_rate_limited_and_end_without_a_reply() {
    // Without rejoins four of a hundred sources are pulled; a source whose sender does not reply is requested three
    // times.
    let without_rejoins = requests_per_heartbeat(100, 0, |_, _, _| {});
    assert_eq!(
        (without_rejoins[0], without_rejoins.iter().sum::<usize>()),
        (4, 12)
    );
    let after_rejoins = requests_per_heartbeat(100, 24, |_, _, _| {});
    assert!(
        after_rejoins[0] == PULLS_PER_HEARTBEAT && after_rejoins.iter().sum::<usize>() == 300,
        "{after_rejoins:?}"
    );
    // A reply ends the pull, unless it filled its datagrams.
    let answered = requests_per_heartbeat(100, 24, |anti_entropy, to, source| {
        anti_entropy.record_received(to, source, 500)
    });
    assert_eq!(answered.iter().sum::<usize>(), 100);
    let mut remaining = 3;
    let long_reply = requests_per_heartbeat(1, 0, |anti_entropy, to, source| {
        remaining -= 1;
        anti_entropy.record_received(to, source, if remaining > 0 { 4000 } else { 100 });
    });
    assert_eq!(long_reply.iter().sum::<usize>(), 3);
    // Facts that another member sends do not count as a reply.
    assert_eq!(
        requests_per_heartbeat(1, 0, |anti_entropy, _, source| anti_entropy
            .record_received(9, source, 500))
        .iter()
        .sum::<usize>(),
        3
    );
}

#[test]
fn a_silent_member_is_replaced_by_the_next_whose_digest_differs() {
    let (mut anti_entropy, mut rng) = (AntiEntropy::new(ms(400)), StdRng::seed_from_u64(1));
    anti_entropy.receive_digest(1, vec![SourceHash { source: 5, hash: 7 }], &mut rng);
    assert_eq!(
        anti_entropy.next_requests(ms(0), |_| None, &mut rng),
        [PullRequest { to: 1, source: 5 }]
    );
    anti_entropy.receive_digest(2, vec![SourceHash { source: 5, hash: 7 }], &mut rng);
    assert!(anti_entropy
        .next_requests(ms(300), |_| None, &mut rng)
        .is_empty());
    assert_eq!(
        anti_entropy.next_requests(ms(400), |_| None, &mut rng),
        [PullRequest { to: 1, source: 5 }]
    );
    anti_entropy.pending.get_mut(&5).unwrap().requested_at = None;
    anti_entropy.receive_digest(2, vec![SourceHash { source: 5, hash: 8 }], &mut rng);
    assert_eq!(
        anti_entropy.next_requests(ms(500), |_| None, &mut rng),
        [PullRequest { to: 2, source: 5 }]
    );
    assert!(
        anti_entropy
            .next_requests(ms(600), |_| Some(8), &mut rng)
            .is_empty()
            && anti_entropy.pending.is_empty()
    );
}
