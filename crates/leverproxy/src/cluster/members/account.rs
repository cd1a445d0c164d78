//! The account that each proxy publishes of itself: its build, and whether it serves.

use super::Members;
use membership::Event;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

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

/// `None` if it is of another version, or torn.
pub(super) fn decode_account(body: &[u8]) -> Option<Account> {
    match body.split_first() {
        Some((&ACCOUNT_VERSION, rest)) => postcard::from_bytes(rest).ok(),
        _ => None,
    }
}

impl Members {
    pub(super) fn publish_account(&mut self, now: Instant) {
        let account = Account {
            build: env!("CARGO_PKG_VERSION").into(),
            serving: self.serving,
        };
        let Ok(body) = postcard::to_extend(&account, vec![ACCOUNT_VERSION]) else {
            return;
        };
        self.account_published = Some(now);
        self.handle(
            Event::Publish {
                kind: ACCOUNT_KIND,
                key: Vec::new(),
                body,
                ttl: ACCOUNT_TTL,
            },
            now,
        );
    }

    /// The last account of each other member, by name.
    pub(super) fn accounts(&self, now: Instant) -> BTreeMap<String, Account> {
        self.facts(ACCOUNT_KIND, now)
            .into_iter()
            .filter_map(|fact| Some((fact.source, decode_account(&fact.body)?)))
            .collect()
    }
}
