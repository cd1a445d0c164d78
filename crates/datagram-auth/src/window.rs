//! Which datagrams of one start of a sender have come.

const WIDTH: u64 = 1_024;
const WORDS: usize = (WIDTH / 64) as usize;

/// What has come of the last `WIDTH` numbers, a bit for each at its remainder.
#[derive(Debug)]
pub struct Window {
    pub start: u64,
    /// The greatest number that came.
    top: u64,
    bits: [u64; WORDS],
}

impl Window {
    pub fn new(start: u64, sequence: u64) -> Window {
        let mut window = Window {
            start,
            top: sequence,
            bits: [0; WORDS],
        };
        window.mark(sequence);
        window
    }

    /// Whether the number comes for the first time; one from before the window counts as seen.
    pub fn take(&mut self, sequence: u64) -> bool {
        if sequence > self.top {
            if sequence - self.top >= WIDTH {
                self.bits = [0; WORDS];
            } else {
                (self.top + 1..=sequence).for_each(|passed| {
                    let (word, bit) = place(passed);
                    self.bits[word] &= !bit;
                });
            }
            self.top = sequence;
        } else {
            let (word, bit) = place(sequence);
            if self.top - sequence >= WIDTH || self.bits[word] & bit != 0 {
                return false;
            }
        }
        self.mark(sequence);
        true
    }

    fn mark(&mut self, sequence: u64) {
        let (word, bit) = place(sequence);
        self.bits[word] |= bit;
    }
}

fn place(sequence: u64) -> (usize, u64) {
    let at = sequence % WIDTH;
    ((at / 64) as usize, 1 << (at % 64))
}
