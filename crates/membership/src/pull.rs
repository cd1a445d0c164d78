//! What others claim to hold and is not held here: asked for at a pace, of one at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_10::seq::{IteratorRandom, SliceRandom};
use rand_10::Rng;

/// Sources asked for of one summary in any case: facts are under way all the time, so some always differ.
const CALM: usize = 4;
/// How many more each member that comes back is worth.
const BACK: usize = 4;
/// Asks in one beat, and without an answer at a time.
const ASKS: usize = 16;
const UNDER_WAY: usize = 32;
/// Asks for one source, of which nothing is held, that bring nothing.
const TRIES: u8 = 3;
/// An answer of so many bytes has filled its datagrams: there may be more.
const FULL: usize = 3_000;

#[derive(Debug)]
struct Want {
    /// Who claimed it, and the hash of what it holds.
    from: u32,
    hash: u32,
    asked: Option<Duration>,
    tries: u8,
    /// Bytes that came of it, from that one, since it was asked.
    got: usize,
}

#[derive(Debug)]
pub(crate) struct Pull {
    wants: BTreeMap<u32, Want>,
    /// Sources that may be wanted beyond the calm.
    haste: usize,
    /// How long an answer is waited for.
    patience: Duration,
}

impl Pull {
    pub fn new(patience: Duration) -> Self {
        Self {
            wants: BTreeMap::new(),
            haste: 0,
            patience,
        }
    }

    /// A member came back to a roster of so many.
    pub fn back(&mut self, members: usize) {
        self.haste = (self.haste + BACK).min(BACK * members);
    }

    /// Another holds something else of these sources.
    pub fn claimed(&mut self, from: u32, differing: Vec<(u32, u32)>, rng: &mut impl Rng) {
        let mut new = Vec::new();
        for (source, hash) in differing {
            match self.wants.get_mut(&source) {
                // It is being asked for.
                Some(want) if want.asked.is_some() => {}
                Some(want) => (want.from, want.hash) = (from, hash),
                None => new.push((source, hash)),
            }
        }
        let (some, _) = new.partial_shuffle(rng, CALM + self.haste);
        self.haste -= some.len().saturating_sub(CALM);
        for (source, hash) in some {
            self.wants.insert(
                *source,
                Want {
                    from,
                    hash: *hash,
                    asked: None,
                    tries: 0,
                    got: 0,
                },
            );
        }
    }

    /// A fact of a source came, of so many bytes.
    pub fn got(&mut self, from: u32, source: u32, bytes: usize) {
        if let Some(want) = self.wants.get_mut(&source).filter(|want| want.from == from) {
            want.got += bytes;
        }
    }

    /// Who is to be asked now, for what. `held` gives the hash of what is held of a source.
    pub fn asks(
        &mut self,
        now: Duration,
        held: impl Fn(u32) -> Option<u32>,
        rng: &mut impl Rng,
    ) -> Vec<(u32, u32)> {
        let patience = self.patience;
        self.wants.retain(|source, want| {
            let over = want.asked.is_some_and(|asked| now >= asked + patience);
            // Of what is held in part the next summary tells: mostly it is this one that holds the later version.
            let known = held(*source);
            let done = over && (want.got > 0 || known.is_some()) && want.got < FULL;
            if done || known == Some(want.hash) {
                return false;
            }
            if over {
                (want.asked, want.tries) = (None, if want.got == 0 { want.tries } else { 0 });
            }
            want.asked.is_some() || want.tries < TRIES
        });
        let free = UNDER_WAY.saturating_sub(
            self.wants
                .values()
                .filter(|want| want.asked.is_some())
                .count(),
        );
        let waiting = self
            .wants
            .iter_mut()
            .filter(|(_, want)| want.asked.is_none());
        let ask = |(source, want): (&u32, &mut Want)| {
            (want.asked, want.got) = (Some(now), 0);
            want.tries += 1;
            (want.from, *source)
        };
        waiting
            .sample(rng, free.min(ASKS))
            .into_iter()
            .map(ask)
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_10::rngs::StdRng;
    use rand_10::SeedableRng;

    const fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    /// Asks each beat for four seconds, of a fleet in which `answers` says what comes of an ask.
    fn play(claims: u32, back: usize, mut answers: impl FnMut(&mut Pull, u32, u32)) -> Vec<usize> {
        let (mut pull, mut rng) = (Pull::new(ms(400)), StdRng::seed_from_u64(1));
        (0..back).for_each(|_| pull.back(1000));
        pull.claimed(1, (0..claims).map(|source| (source, 7)).collect(), &mut rng);
        let beat = |beat: u64| {
            let asks = pull.asks(ms(100 * beat), |_| None, &mut rng);
            assert!(
                pull.wants
                    .values()
                    .filter(|want| want.asked.is_some())
                    .count()
                    <= UNDER_WAY
            );
            asks.iter()
                .for_each(|(to, source)| answers(&mut pull, *to, *source));
            asks.len()
        };
        (0..40).map(beat).collect()
    }

    #[test]
    fn asks_are_paced_and_those_without_an_answer_end() {
        // In the calm four of a hundred; a peer that stops, or never held what it claimed, is asked three times.
        let calm = play(100, 0, |_, _, _| {});
        assert_eq!((calm[0], calm.iter().sum::<usize>()), (4, 12));
        let haste = play(100, 24, |_, _, _| {});
        assert!(
            haste[0] == ASKS && haste.iter().sum::<usize>() == 300,
            "{haste:?}"
        );
        // What comes ends the want, unless it filled the answer.
        let answered = play(100, 24, |pull, to, source| pull.got(to, source, 500));
        assert_eq!(answered.iter().sum::<usize>(), 100);
        let mut left = 3;
        let long = play(1, 0, |pull, to, source| {
            left -= 1;
            pull.got(to, source, if left > 0 { 4000 } else { 100 });
        });
        assert_eq!(long.iter().sum::<usize>(), 3);
        // What another sends is no answer.
        assert_eq!(
            play(1, 0, |pull, _, source| pull.got(9, source, 500))
                .iter()
                .sum::<usize>(),
            3
        );
    }

    #[test]
    fn one_that_is_silent_is_left_for_the_next_that_claims() {
        let (mut pull, mut rng) = (Pull::new(ms(400)), StdRng::seed_from_u64(1));
        pull.claimed(1, vec![(5, 7)], &mut rng);
        assert_eq!(pull.asks(ms(0), |_| None, &mut rng), [(1, 5)]);
        pull.claimed(2, vec![(5, 7)], &mut rng);
        assert!(pull.asks(ms(300), |_| None, &mut rng).is_empty());
        assert_eq!(pull.asks(ms(400), |_| None, &mut rng), [(1, 5)]);
        pull.wants.get_mut(&5).unwrap().asked = None;
        pull.claimed(2, vec![(5, 8)], &mut rng);
        assert_eq!(pull.asks(ms(500), |_| None, &mut rng), [(2, 5)]);
        assert!(pull.asks(ms(600), |_| Some(8), &mut rng).is_empty() && pull.wants.is_empty());
    }
}
