//! Keys that cancel another session's request.

use crate::protocol::postgres::server::CancelKey;
use std::hash::{BuildHasher, RandomState};

/// Makes cancel keys. A key can't be guessed from others: it is a keyed hash of a counter.
#[derive(Default)]
pub(super) struct CancelKeys {
    secret: RandomState,
    made: u64,
}

impl CancelKeys {
    /// A key that no session had before.
    pub(super) fn next(&mut self) -> CancelKey {
        self.made += 1;
        let hash = self.secret.hash_one(self.made);
        CancelKey {
            process: (hash >> 32) as u32,
            secret: hash as u32,
        }
    }
}
