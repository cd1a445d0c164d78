//! Deterministic subsetting: which members of a group each proxy uses, without any communication. All that is needed is known to
//! every proxy: its own number and the endpoint list. No clock, no I/O, no state: the same arguments give the same result anywhere.
//!
//! **Subsets.** A proxy that sees a group once a second learns nothing of five members, and something of three. All proxies put the
//! members of a group on the same ring (in the order of a hash, since ids come in the order of starts). A proxy's number gives it a
//! point on the ring, and it prefers the members from there on (deterministic aperture). The points are those of van der Corput's
//! sequence in base 2: the first `n` of them are spread evenly for every `n`. So a fleet that grows or shrinks at its end moves no
//! other proxy's subset, and no proxy has to know how large the fleet is; proxies that assume another size do no harm.
//!
//! **Bounds**, each with its property test (`tests/subsets.rs`), for any ids and any group:
//! - Of the first `n` proxies, those that have a member among their first `d` of `m` are `n d / m`, give or take
//!   `2 + log2(n)`. Sketch: a member is preferred from an arc of `d / m` of the ring; an arc is the difference of
//!   two intervals that begin at 0, and the discrepancy of the sequence in each is at most `1 + log2(n) / 3`
//!   (Béjian and Faure), so in an arc `2 + 2 log2(n) / 3`.
//! - One member more or less changes at most one of the first `d` for another, beside the new one's or the
//!   lost one's own place. Sketch: a point `x` falls at place `floor(x m)`, which moves by at most one
//!   while the members behind the new one move by one.
//! - All members stay in the order: the subset comes first, and every other member can still be reached.
#![forbid(unsafe_code)]

use fnv::FnvHasher;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;
use std::hash::Hasher;

/// Sorts the members of a group by the preference of proxy `number` (from 0). `key` gives the number that all proxies know a
/// member by.
pub fn order_by_preference<T: Copy>(
    number: u32,
    group: u32,
    members: &mut [T],
    key: impl Fn(T) -> u32,
) {
    let position = |member: &T| {
        let key = key(*member);
        (mix(u64::from(group) << 32 | u64::from(key)), key)
    };
    members.sort_by_key(position);
    let first = (u64::from(number.reverse_bits()) * members.len() as u64) >> 32;
    members.rotate_left(first as usize);
}

/// The size of a proxy's subset: half of the members. A proxy hears of each twice as often as with all of them, and when one fails
/// there is still another.
pub fn subset_size(members: usize) -> usize {
    members.div_ceil(2)
}

/// The number that all proxies know a server by, from its name (FNV-1a of 64 bits, mixed).
pub fn hash_name(name: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    mix(hasher.finish()) as u32
}

/// A pseudorandom number: the first of SplitMix64 from that seed.
fn mix(seed: u64) -> u64 {
    SplitMix64::seed_from_u64(seed).next_u64()
}
