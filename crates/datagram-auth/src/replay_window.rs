//! The anti-replay window: which datagrams of one incarnation of a sender have come.

/// Sequence numbers in the window.
const WINDOW_BITS: u64 = 1_024;
const WINDOW_WORDS: usize = (WINDOW_BITS / 64) as usize;

/// A bit for each of the last `WINDOW_BITS` sequence numbers, at its remainder.
#[derive(Debug)]
pub struct ReplayWindow {
    pub incarnation: u64,
    /// The greatest number that came.
    greatest: u64,
    bits: [u64; WINDOW_WORDS],
}

impl ReplayWindow {
    /// A window that begins with the first datagram of an incarnation.
    pub fn new(incarnation: u64, sequence: u64) -> ReplayWindow {
        let mut window = ReplayWindow {
            incarnation,
            greatest: sequence,
            bits: [0; WINDOW_WORDS],
        };
        window.mark(sequence);
        window
    }

    /// Whether the number comes for the first time. A number from before the window counts as seen.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.greatest {
            if sequence - self.greatest >= WINDOW_BITS {
                self.bits = [0; WINDOW_WORDS];
            } else {
                (self.greatest + 1..=sequence).for_each(|skipped| {
                    let (word, bit) = word_and_bit(skipped);
                    self.bits[word] &= !bit;
                });
            }
            self.greatest = sequence;
        } else {
            let (word, bit) = word_and_bit(sequence);
            if self.greatest - sequence >= WINDOW_BITS || self.bits[word] & bit != 0 {
                return false;
            }
        }
        self.mark(sequence);
        true
    }

    fn mark(&mut self, sequence: u64) {
        let (word, bit) = word_and_bit(sequence);
        self.bits[word] |= bit;
    }
}

fn word_and_bit(sequence: u64) -> (usize, u64) {
    let position = sequence % WINDOW_BITS;
    ((position / 64) as usize, 1 << (position % 64))
}
