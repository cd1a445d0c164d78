//! Random numbers from the router's seed: two runs with the same seed and events make the same decisions.

#[cfg(test)]
mod tests;

use crate::state::Router;

impl Router {
    /// The next number of the router's pseudo-random sequence, from 0 to 1.
    pub(crate) fn random_unit(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(1);
        unit_hash(self.random_state)
    }
}

/// A pseudo-random number from 0 to 1 that is a function of `seed` (the finaliser of SplitMix64).
pub(crate) fn unit_hash(seed: u64) -> f64 {
    let z = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
