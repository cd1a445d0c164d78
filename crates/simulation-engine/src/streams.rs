//! Random numbers by name.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A stream of random numbers, of its own name.
pub type Stream = ChaCha8Rng;

/// The streams of one run. Streams of different names are independent, and each gives the same numbers whatever the
/// others were asked for: two policies on one seed see the same arrivals and the same troubles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Streams {
    seed: u64,
}

impl Streams {
    /// The streams of a run with this seed.
    pub fn new(seed: u64) -> Streams {
        Streams { seed }
    }

    /// `number` tells apart streams of one name: servers, proxies, clients.
    pub fn stream(&self, name: &str, number: u64) -> Stream {
        // A hash that is the same on every machine and in every version.
        let mut hasher = SipHasher13::new_with_keys(0, 0);
        hasher.write(name.as_bytes());
        hasher.write_u64(number);
        let mut stream = ChaCha8Rng::seed_from_u64(self.seed);
        stream.set_stream(hasher.finish());
        stream
    }

    /// A seed that goes by a number alone, where a stream for each would cost too much.
    pub fn seed_of(&self, number: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.seed, 0);
        hasher.write_u64(number);
        hasher.finish()
    }

    /// A seed for something that brings its own generator.
    pub fn seed(&self, name: &str, number: u64) -> u64 {
        rand::Rng::random(&mut self.stream(name, number))
    }
}
