//! Whether stands within their quota fill the room, as one proxy sees it: then nothing is lent.

use std::time::Duration;

/// What is judged at once.
const WINDOW: Duration = Duration::from_millis(500);
/// It lasts so long after the last such window: a lender's traffic comes in waves, and each would meet loans else.
pub const SHORT_LASTS: Duration = Duration::from_secs(2);
/// One that comes back within so many times as long as it lasted lasts twice as long, up to this: where loans themselves
/// take the room they would start and stop all the time.
const SOON: u32 = 4;
const LASTS_MOST: Duration = Duration::from_secs(16);

/// Counts requests within quota, and those of them refused before anything was tried for them.
#[derive(Clone, Debug)]
pub struct Shortage {
    /// So many refused in a window, and more than this part of those that ended: fewer may be one client's bad luck, or one
    /// server's.
    least: u32,
    part: f64,
    began: Duration,
    ended: u32,
    refused: u32,
    until: Duration,
    lasts: Duration,
}

impl Default for Shortage {
    fn default() -> Shortage {
        Shortage::new(3, 0.05)
    }
}

impl Shortage {
    pub fn new(least: u32, part: f64) -> Shortage {
        let (began, until) = (Duration::ZERO, Duration::ZERO);
        Shortage {
            least,
            part,
            began,
            ended: 0,
            refused: 0,
            until,
            lasts: SHORT_LASTS,
        }
    }

    pub fn ended(&mut self, now: Duration, refused: bool) {
        if now.saturating_sub(self.began) >= WINDOW {
            (self.began, self.ended, self.refused) = (now, 0, 0);
        }
        self.ended += 1;
        self.refused += u32::from(refused);
        if self.refused < self.least || f64::from(self.refused) <= self.part * f64::from(self.ended)
        {
            return;
        }
        if !self.is_short(now) {
            let soon = !self.until.is_zero() && now < self.until + self.lasts * SOON;
            self.lasts = if soon {
                (self.lasts * 2).min(LASTS_MOST)
            } else {
                SHORT_LASTS
            };
        }
        self.until = now + self.lasts;
    }

    pub fn is_short(&self, now: Duration) -> bool {
        now < self.until
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn refuse(shortage: &mut Shortage, at: u64) {
        (0..3).for_each(|_| shortage.ended(ms(at), true));
    }

    #[test]
    fn one_refusal_is_no_shortage_and_three_in_a_window_are() {
        let mut shortage = Shortage::default();
        for at in 0..20 {
            shortage.ended(ms(at * 510), true);
            assert!(!shortage.is_short(ms(at * 510)), "one in each window");
        }
        refuse(&mut shortage, 20_000);
        assert!(shortage.is_short(ms(21_999)) && !shortage.is_short(ms(22_000)));
    }

    #[test]
    fn a_small_part_of_many_is_borne() {
        let mut shortage = Shortage::default();
        for at in 0..2_000 {
            shortage.ended(ms(10), at % 25 == 24);
        }
        assert!(!shortage.is_short(ms(10)));
        (0..30).for_each(|_| shortage.ended(ms(11), true));
        assert!(shortage.is_short(ms(11)));
    }

    #[test]
    fn one_that_comes_back_lasts_longer_and_a_late_one_does_not() {
        let mut shortage = Shortage::default();
        refuse(&mut shortage, 1_000);
        refuse(&mut shortage, 4_000);
        assert!(
            shortage.is_short(ms(7_999)) && !shortage.is_short(ms(8_000)),
            "four seconds"
        );
        refuse(&mut shortage, 10_000);
        assert!(shortage.is_short(ms(17_999)), "eight");
        refuse(&mut shortage, 60_000);
        assert!(
            shortage.is_short(ms(61_999)) && !shortage.is_short(ms(62_000)),
            "two again"
        );
    }
}
