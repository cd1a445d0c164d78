//! Deterministic subsetting: each proxy selects the members of a group that it prefers, without communication between
//! proxies. The inputs are known to every proxy: its own number and the endpoint list. The crate has no clock, no I/O and
//! no state: the same arguments give the same result everywhere.
//!
//! **Subsets.** A proxy that sends to a group once a second learns nothing about its members if it uses five, and
//! something if it uses three. All proxies place the members of a group on the same ring, in the order of a hash, because
//! ids follow the order of starts. The number of a proxy gives it a point on the ring, and it prefers the members from
//! that point on (deterministic aperture). The points are those of van der Corput's sequence in base 2, of which the
//! first `n` are spread evenly for every `n`. So a fleet that grows or shrinks at its end changes no other proxy's
//! subset, and no proxy has to know the size of the fleet; proxies that assume another size do no harm.
//!
//! **Bounds**, for any ids and any group, each with a property test (`tests/subsets.rs`):
//! - Of the first `n` proxies, the number that have a given member among their first `d` of `m` members is `n d / m`,
//!   plus or minus `2 + log2(n)`. Sketch: the proxies that prefer a member have their points in an arc of `d / m` of the
//!   ring; an arc is the difference of two intervals that begin at 0, and the discrepancy of the sequence in each is at
//!   most `1 + log2(n) / 3` (Béjian and Faure), so in an arc it is at most `2 + 2 log2(n) / 3`.
//! - An added or removed member changes at most one of the first `d` members of a proxy, in addition to its own place.
//!   Sketch: a point `x` falls at place `floor(x m)`, which moves by at most one while the members behind the new one
//!   move by one.
//! - The order contains all members: the subset comes first, and every other member can still be reached.
#![forbid(unsafe_code)]

use fnv::FnvHasher;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;
use std::hash::Hasher;

/// Sorts the members of a group by the preference of proxy `proxy_number` (from 0). `id_of` gives the id by which all
/// proxies know a member.
pub fn order_by_preference<T: Copy>(
    proxy_number: u32,
    group: u32,
    members: &mut [T],
    id_of: impl Fn(T) -> u32,
) {
    let position = |member: &T| {
        let id = id_of(*member);
        (mix(u64::from(group) << 32 | u64::from(id)), id)
    };
    members.sort_by_key(position);
    let first = (u64::from(proxy_number.reverse_bits()) * members.len() as u64) >> 32;
    members.rotate_left(first as usize);
}

/// The size of a proxy's subset: half of the members, rounded up. A proxy gets twice as many samples of each as with all
/// members, and when one fails another remains.
pub fn subset_size(members: usize) -> usize {
    members.div_ceil(2)
}

/// The id by which all proxies know a server: a hash of its name (FNV-1a of 64 bits, mixed).
pub fn hash_name(name: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    mix(hasher.finish()) as u32
}

/// The first output of SplitMix64 for a seed: a hash that is the same on every host.
fn mix(seed: u64) -> u64 {
    SplitMix64::seed_from_u64(seed).next_u64()
}
