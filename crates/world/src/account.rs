//! One tenant's account over the whole fleet: how many of its requests count in full.

use crate::Micros;

/// Parts of a request in which the account is kept: so many a microsecond are a millionth of a request a second, so
/// that nothing is rounded from one draw to the next.
const WHOLE: u128 = 1_000_000_000_000;

/// A bucket of one second's depth that fills at the quota's rate, drawn on in the order of arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// What comes in a microsecond; none: all counts.
    rate: Option<u128>,
    left: u128,
    since: Micros,
}

impl Account {
    /// Of so many requests a second; 0: all of them.
    pub fn new(per_s: f64) -> Account {
        let rate = (per_s > 0.0).then_some((per_s * 1e6).round() as u128);
        let mut account = Account { rate, left: 0, since: 0 };
        account.left = account.depth();
        account
    }

    /// At least one request, or a quota below one a second would never count any.
    fn depth(&self) -> u128 {
        self.rate.map_or(0, |rate| (rate * 1_000_000).max(WHOLE))
    }

    /// A request comes: whether it is within the quota. If so, it is drawn.
    pub fn draw(&mut self, now: Micros) -> bool {
        let Some(rate) = self.rate else { return true };
        let came = rate * u128::from(now.saturating_sub(self.since));
        self.since = self.since.max(now);
        self.left = (self.left + came).min(self.depth());
        let within = self.left >= WHOLE;
        if within {
            self.left -= WHOLE;
        }
        within
    }
}
