//! What many proxies choose alike or apart, without a word between them, from what all know: a proxy's number
//! and the list. No clock, no I/O, no state of its own: the same arguments give the same answer anywhere.
//!
//! **Subsets.** A proxy that sees a group once a second learns nothing of five members, and something of
//! three. All know the members of a group in one order, a ring (by a hash, since ids come in the order of
//! starts). A proxy's number gives it a point on the ring; it meets the members from there on
//! (deterministic aperture). The points are those of van der Corput's sequence, base 2: the first `n` of them
//! lie about evenly for every `n`. So a fleet that grows or shrinks at its end moves nobody, and no proxy has
//! to know how large the fleet is; proxies that hold another size, or an old one, do no harm by it.
//!
//! **Bounds**, each with its property test (`tests/subsets.rs`), for any ids and any group:
//! - Of the first `n` proxies, those that have a member among their first `d` of `m` are `n d / m`, give or take
//!   `2 + log2(n)`. Sketch: a member is met from an arc of `d / m` of the ring; an arc is the difference of
//!   two intervals that begin at 0, and the discrepancy of the sequence in each is at most `1 + log2(n) / 3`
//!   (Béjian and Faure), so in an arc `2 + 2 log2(n) / 3`.
//! - One member more or less changes at most one of the first `d` for another, beside the new one's or the
//!   lost one's own place. Sketch: a point `x` falls at place `floor(x m)`, which moves by at most one
//!   while the members behind the new one move by one.
//! - All members stay in the order: what it begins with is met first, and nothing is out of reach.
#![forbid(unsafe_code)]

use fnv::FnvHasher;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::SplitMix64;
use std::hash::Hasher;

/// Puts the members of a group into the order in which proxy `number` (from 0) meets them. `key` names a
/// member by a number that all proxies know it by.
pub fn order<T: Copy>(number: u32, group: u32, members: &mut [T], key: impl Fn(T) -> u32) {
    let name = |member: &T| {
        let key = key(*member);
        (mixed(u64::from(group) << 32 | u64::from(key)), key)
    };
    members.sort_by_key(name);
    let first = (u64::from(number.reverse_bits()) * members.len() as u64) >> 32;
    members.rotate_left(first as usize);
}

/// How many of its members a proxy meets before the others: half. One in four seconds is heard of twice as often
/// then, and what is left when one fails still is another's.
pub fn reach(members: usize) -> usize {
    members.div_ceil(2)
}

/// The number that all proxies know a server of that name by (FNV-1a of 64 bits, mixed).
pub fn key(name: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    mixed(hasher.finish()) as u32
}

/// A number that looks random: the first of SplitMix64 from that seed.
fn mixed(seed: u64) -> u64 {
    SplitMix64::seed_from_u64(seed).next_u64()
}
