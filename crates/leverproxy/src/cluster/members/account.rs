//! The account that each proxy publishes of itself: its build, and whether it serves.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The kind of fact of an account.
pub(super) const ACCOUNT_KIND: u8 = 1;
/// An account is published again when half of this is over.
pub(super) const ACCOUNT_TTL: Duration = Duration::from_secs(60);
/// The first byte of an account.
const ACCOUNT_VERSION: u8 = 1;

/// What a proxy publishes of itself. Serialised by position (postcard).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Account {
    pub build: String,
    /// `false` once it was told to end.
    pub serving: bool,
}

/// `None` if it can't be serialised.
pub(super) fn encode_account(account: &Account) -> Option<Vec<u8>> {
    postcard::to_extend(account, vec![ACCOUNT_VERSION]).ok()
}

/// `None` if it is of another version, or torn.
pub(super) fn decode_account(body: &[u8]) -> Option<Account> {
    match body.split_first() {
        Some((&ACCOUNT_VERSION, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}
