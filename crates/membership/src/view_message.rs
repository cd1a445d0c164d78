//! Messages by which two members compare which processes are down.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::process_id::ProcessId;
use crate::roster::hash_bytes;

/// Serialised by position: the order of variants and fields is the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ViewMessage {
    /// Hash of all processes that are down in the sender's view.
    Hash(u64),
    /// Processes that are down in the sender's view; in a reply only those that the receiver lacks.
    Down { is_reply: bool, ids: Vec<ProcessId> },
}

impl ViewMessage {
    pub fn hash(downs: &BTreeSet<ProcessId>) -> Self {
        let bytes = |id: &ProcessId| postcard::to_stdvec(id).unwrap_or_default();
        Self::Hash(
            downs
                .iter()
                .fold(0, |hash, id| hash_bytes(hash, &bytes(id))),
        )
    }
}
