//! Whether stands within their quota fill the room, as one proxy sees it: then nothing is lent.

use std::time::Duration;

/// What is judged at once.
const WINDOW: Duration = Duration::from_millis(250);
/// Fewer may be one client's bad luck.
const LEAST: u32 = 2;
/// More than one in so many that are refused is no accident of one server.
const ONE_IN: u32 = 100;
/// It lasts so long after the last such window: a lender's traffic comes in waves, and each would meet loans else.
pub const SHORT_LASTS: Duration = Duration::from_secs(2);

/// Counts requests within quota, and those of them refused before anything was tried for them.
#[derive(Clone, Debug, Default)]
pub struct Shortage {
    began: Duration,
    ended: u32,
    refused: u32,
    until: Duration,
}

impl Shortage {
    pub fn ended(&mut self, now: Duration, refused: bool) {
        if now.saturating_sub(self.began) >= WINDOW {
            (self.began, self.ended, self.refused) = (now, 0, 0);
        }
        self.ended += 1;
        self.refused += u32::from(refused);
        if self.refused >= LEAST && self.refused * ONE_IN > self.ended {
            self.until = now + SHORT_LASTS;
        }
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

    #[test]
    fn one_refusal_is_no_shortage_and_two_in_a_window_are() {
        let mut shortage = Shortage::default();
        for at in 0..20 {
            // One in each window.
            shortage.ended(ms(at * 260), true);
            assert!(!shortage.is_short(ms(at * 260)));
        }
        shortage.ended(ms(6_000), true);
        shortage.ended(ms(6_100), true);
        assert!(
            shortage.is_short(ms(6_100)) && shortage.is_short(ms(8_099)) && !shortage.is_short(ms(8_100))
        );
    }

    #[test]
    fn a_hundredth_of_many_is_borne() {
        let mut shortage = Shortage::default();
        for at in 0..2_000 {
            shortage.ended(ms(10), at % 150 == 149);
        }
        assert!(!shortage.is_short(ms(10)));
        (0..30).for_each(|_| shortage.ended(ms(11), true));
        assert!(shortage.is_short(ms(11)));
    }
}
