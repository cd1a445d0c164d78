//! Descriptors that are reported as ready after a pause, since the system lacked memory to watch them or to transfer
//! bytes.

use super::token::Token;
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

/// The tokens of the descriptors to retry. A token that is added several times is kept once.
#[derive(Default)]
pub(super) struct Retries {
    /// Tokens with the times at which they are due, in the order of these times.
    queue: VecDeque<(Instant, Token)>,
    tokens: BTreeSet<Token>,
}

impl Retries {
    pub(super) fn add(&mut self, at: Instant, token: Token) {
        if self.tokens.insert(token) {
            self.queue.push_back((at, token));
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(super) fn next(&self) -> Option<Instant> {
        self.queue.front().map(|(at, _)| *at)
    }

    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Token> {
        let (_, token) = self.queue.pop_front_if(|(at, _)| *at <= now)?;
        self.tokens.remove(&token);
        Some(token)
    }
}
