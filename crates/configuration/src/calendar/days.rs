//! Sets of days of the calendar.

/// Number of days in the calendar, which begins on 1 January 1970.
pub(super) const DAYS: usize = 47_482;
/// Number of 64-bit words of a set.
const WORDS: usize = DAYS.div_ceil(64);

/// A set of days, as a bit for each day of the calendar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Days(Box<[u64]>);

impl Days {
    pub fn empty() -> Days {
        Days(vec![0; WORDS].into_boxed_slice())
    }

    pub fn add(&mut self, day: usize) {
        if day < DAYS {
            self.0[day / 64] |= 1 << (day % 64);
        }
    }

    pub fn contains(&self, day: u32) -> bool {
        self.0
            .get(day as usize / 64)
            .is_some_and(|word| word >> (day % 64) & 1 == 1)
    }

    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// The set moved by a number of days, fewer than 64: to later days if `by` is positive, else to earlier ones.
    pub fn shifted(&self, by: i64) -> Days {
        let bits = by.unsigned_abs() as u32;
        if bits == 0 {
            return self.clone();
        }
        let mut out = Days::empty();
        for at in 0..WORDS {
            out.0[at] = if by > 0 {
                let below = if at > 0 {
                    self.0[at - 1] >> (64 - bits)
                } else {
                    0
                };
                self.0[at] << bits | below
            } else {
                let above = self.0.get(at + 1).map_or(0, |word| word << (64 - bits));
                self.0[at] >> bits | above
            };
        }
        // Clears the bits after the end of the calendar.
        out.0[WORDS - 1] &= (1 << (DAYS % 64)) - 1;
        out
    }
}
