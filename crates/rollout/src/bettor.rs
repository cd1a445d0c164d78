//! Testing by betting: a wealth that grows with the evidence against a null hypothesis.
//!
//! A bettor stakes a fraction of its wealth on each window. Under the null hypothesis its wealth is a supermartingale that
//! starts at 1. By Ville's inequality, the probability that it ever reaches 1/p is at most p, regardless of how often it is
//! read and when the test stops.

/// Fractions of the wealth to stake, each used by a bettor of its own; the reported wealth is the mean of all bettors.
const STAKES: [f64; 3] = [0.25, 0.5, 0.95];

/// The natural logarithm of the wealth for each stake.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bettor([f64; STAKES.len()]);

impl Bettor {
    /// Places one bet. `gain` is in [-1, 1] and has a mean of at most 0 under the null hypothesis.
    pub(crate) fn bet(&mut self, gain: f64) {
        for (log, stake) in self.0.iter_mut().zip(STAKES) {
            *log += (stake * gain.clamp(-1.0, 1.0)).ln_1p();
        }
    }

    pub(crate) fn wealth(&self) -> f64 {
        self.0.iter().map(|log| log.exp()).sum::<f64>() / STAKES.len() as f64
    }
}
