//! Keys that cancel another session's request.

use crate::protocol::postgres::server::CancelKey;
use std::hash::{BuildHasher, RandomState};

/// Generates cancel keys. Each key is a keyed hash of a counter, so that it cannot be guessed from other keys.
#[derive(Default)]
pub(super) struct CancelKeys {
    secret: RandomState,
    made: u64,
}

impl CancelKeys {
    /// Returns a key that no other session has had.
    pub(super) fn next(&mut self) -> CancelKey {
        self.made += 1;
        let hash = self.secret.hash_one(self.made);
        CancelKey {
            process: (hash >> 32) as u32,
            secret: hash as u32,
        }
    }
}
