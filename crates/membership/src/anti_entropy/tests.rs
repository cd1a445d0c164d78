use super::*;
use rand_10::rngs::StdRng;
use rand_10::SeedableRng;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Asks each beat for four seconds, of a fleet in which `answers` says what comes of an ask.
fn play(
    claims: u32,
    back: usize,
    mut answers: impl FnMut(&mut AntiEntropy, u32, u32),
) -> Vec<usize> {
    let (mut pull, mut rng) = (AntiEntropy::new(ms(400)), StdRng::seed_from_u64(1));
    (0..back).for_each(|_| pull.member_rejoined(1000));
    pull.receive_digest(1, (0..claims).map(|source| (source, 7)).collect(), &mut rng);
    let beat = |beat: u64| {
        let asks = pull.next_requests(ms(100 * beat), |_| None, &mut rng);
        assert!(
            pull.pending
                .values()
                .filter(|want| want.requested_at.is_some())
                .count()
                <= MAX_PULLS_IN_FLIGHT
        );
        asks.iter()
            .for_each(|(to, source)| answers(&mut pull, *to, *source));
        asks.len()
    };
    (0..40).map(beat).collect()
}

#[test]
fn requests_are_rate_limited_and_end_without_a_reply() {
    // In the calm four of a hundred; a peer that stops, or never held what it claimed, is asked three times.
    let calm = play(100, 0, |_, _, _| {});
    assert_eq!((calm[0], calm.iter().sum::<usize>()), (4, 12));
    let haste = play(100, 24, |_, _, _| {});
    assert!(
        haste[0] == PULLS_PER_HEARTBEAT && haste.iter().sum::<usize>() == 300,
        "{haste:?}"
    );
    // What comes ends the want, unless it filled the answer.
    let answered = play(100, 24, |pull, to, source| {
        pull.record_received(to, source, 500)
    });
    assert_eq!(answered.iter().sum::<usize>(), 100);
    let mut left = 3;
    let long = play(1, 0, |pull, to, source| {
        left -= 1;
        pull.record_received(to, source, if left > 0 { 4000 } else { 100 });
    });
    assert_eq!(long.iter().sum::<usize>(), 3);
    // What another sends is no answer.
    assert_eq!(
        play(1, 0, |pull, _, source| pull.record_received(9, source, 500))
            .iter()
            .sum::<usize>(),
        3
    );
}

#[test]
fn a_silent_member_is_replaced_by_the_next_whose_digest_differs() {
    let (mut pull, mut rng) = (AntiEntropy::new(ms(400)), StdRng::seed_from_u64(1));
    pull.receive_digest(1, vec![(5, 7)], &mut rng);
    assert_eq!(pull.next_requests(ms(0), |_| None, &mut rng), [(1, 5)]);
    pull.receive_digest(2, vec![(5, 7)], &mut rng);
    assert!(pull.next_requests(ms(300), |_| None, &mut rng).is_empty());
    assert_eq!(pull.next_requests(ms(400), |_| None, &mut rng), [(1, 5)]);
    pull.pending.get_mut(&5).unwrap().requested_at = None;
    pull.receive_digest(2, vec![(5, 8)], &mut rng);
    assert_eq!(pull.next_requests(ms(500), |_| None, &mut rng), [(2, 5)]);
    assert!(
        pull.next_requests(ms(600), |_| Some(8), &mut rng)
            .is_empty()
            && pull.pending.is_empty()
    );
}
