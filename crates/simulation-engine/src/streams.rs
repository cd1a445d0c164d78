//! Named streams of random numbers.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Generator of one named stream.
pub type Stream = ChaCha8Rng;

/// Streams of one run. Streams with different names are independent, and the numbers of a stream do not depend on the
/// use of the others: two policies with the same seed see the same arrivals and the same faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Streams {
    seed: u64,
}

impl Streams {
    /// Streams of a run with this seed.
    pub fn new(seed: u64) -> Streams {
        Streams { seed }
    }

    /// Stream of this name; `number` distinguishes streams with the same name, such as those of servers or proxies.
    pub fn stream(&self, name: &str, number: u64) -> Stream {
        // The hash must be the same on every machine and in every version.
        let mut hasher = SipHasher13::new_with_keys(0, 0);
        hasher.write(name.as_bytes());
        hasher.write_u64(number);
        let mut stream = ChaCha8Rng::seed_from_u64(self.seed);
        stream.set_stream(hasher.finish());
        stream
    }

    /// Seed derived from a number alone, for cases in which a stream per number would be too expensive.
    pub fn seed_of(&self, number: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.seed, 0);
        hasher.write_u64(number);
        hasher.finish()
    }

    /// Seed for a component that has its own generator.
    pub fn seed(&self, name: &str, number: u64) -> u64 {
        rand::Rng::random(&mut self.stream(name, number))
    }
}
