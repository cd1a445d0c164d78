//! The anti-replay window: which sequence numbers of one incarnation of a sender were received.

/// Size of the window in sequence numbers.
const WINDOW_BITS: u64 = 1_024;
const WINDOW_WORDS: usize = (WINDOW_BITS / 64) as usize;

/// A bit for each of the last `WINDOW_BITS` sequence numbers, at the number's remainder modulo `WINDOW_BITS`.
#[derive(Debug)]
pub struct ReplayWindow {
    pub incarnation: u64,
    /// The greatest sequence number that was received.
    greatest: u64,
    bits: [u64; WINDOW_WORDS],
}

impl ReplayWindow {
    /// Creates a window that begins with the first received datagram of an incarnation.
    pub fn new(incarnation: u64, sequence: u64) -> ReplayWindow {
        let mut window = ReplayWindow {
            incarnation,
            greatest: sequence,
            bits: [0; WINDOW_WORDS],
        };
        window.mark(sequence);
        window
    }

    /// Records a sequence number; returns whether it is received for the first time. A number before the window counts as
    /// received.
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
    let index = sequence % WINDOW_BITS;
    ((index / 64) as usize, 1 << (index % 64))
}
