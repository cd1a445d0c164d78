//! The fact store: facts by source, kind and key, with limits and expiry.

use std::collections::BTreeMap;
use std::time::Duration;

use super::fact::{Fact, FactLimits, PublishError, BODY_BYTES, KEY_BYTES};
use super::message::WireFact;
use crate::roster::{hash_bytes, mix};

/// A greater sequence is forged: it would leave the source no greater sequence to replace the fact with.
const MAX_SEQUENCE: u64 = 1 << 60;
/// Overhead of an entry in the limit of bytes, in addition to its key and body.
const ENTRY_BYTES: usize = 96;

/// Identity of a fact: a later version replaces an earlier one with the same identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FactId {
    pub source: u32,
    pub kind: u8,
    pub key: Vec<u8>,
}

#[derive(Clone, Debug)]
pub(super) struct StoredFact {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) body: Vec<u8>,
    pub(super) ttl: Duration,
    /// Publication time plus `max_ttl`. The publication time itself may lie before the origin of this process's clock.
    pub(super) forget_at: Duration,
}

/// Result of receiving a fact.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReceiveOutcome {
    /// The fact is new here and valid.
    New(FactId),
    /// The fact changes nothing that has to be sent to other members.
    Known,
    /// The fact names this process as its source, but this process never published it.
    Forged,
    /// The source of the fact is a later incarnation of this process's name.
    LaterIncarnation(u64),
    /// The fact exceeds a limit of the store.
    CapacityExceeded,
}

/// Summary of the facts that are held of one source.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct SourceSummary {
    /// Number of facts.
    facts: usize,
    /// Hash of the versions of the facts; independent of their order.
    pub(super) hash: u32,
}

/// The facts of all members.
pub(crate) struct FactStore {
    own_id: u32,
    incarnation: u64,
    limits: FactLimits,
    sequence: u64,
    facts: BTreeMap<FactId, StoredFact>,
    /// Derived from `facts`, by source.
    pub(super) sources: BTreeMap<u32, SourceSummary>,
    bytes: usize,
    pub(super) next_digest_source: u64,
}

pub(super) fn key_hash(kind: u8, key: &[u8]) -> u64 {
    hash_bytes(u64::from(kind), key)
}

fn version_hash(id: &FactId, stored: &StoredFact) -> u32 {
    mix(key_hash(id.kind, &id.key) ^ mix(stored.incarnation ^ mix(stored.sequence))) as u32
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

impl FactStore {
    pub fn new(own_id: u32, incarnation: u64, limits: FactLimits) -> Self {
        Self {
            own_id,
            incarnation,
            limits,
            sequence: 0,
            facts: BTreeMap::new(),
            sources: BTreeMap::new(),
            bytes: 0,
            next_digest_source: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.facts.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn age(&self, now: Duration, stored: &StoredFact) -> Duration {
        self.limits
            .max_ttl
            .saturating_sub(stored.forget_at.saturating_sub(now))
    }

    fn remove(&mut self, id: &FactId) {
        if let Some(stored) = self.facts.remove(id) {
            self.bytes -= ENTRY_BYTES + id.key.len() + stored.body.len();
            if let Some(source) = self.sources.get_mut(&id.source) {
                source.facts -= 1;
                source.hash ^= version_hash(id, &stored);
                if source.facts == 0 {
                    self.sources.remove(&id.source);
                }
            }
        }
    }

    /// Replaces the fact with this id, if there is room. If the source has reached its limit, its oldest expired fact is
    /// evicted first.
    fn insert(&mut self, now: Duration, id: &FactId, stored: StoredFact) -> bool {
        let size = ENTRY_BYTES + id.key.len() + stored.body.len();
        self.remove(id);
        if self
            .sources
            .get(&id.source)
            .is_some_and(|source| source.facts >= self.limits.facts_per_source)
        {
            let expired = self
                .facts_of(id.source)
                .filter(|(_, stored)| self.age(now, stored) >= stored.ttl)
                .min_by_key(|(_, stored)| stored.forget_at)
                .map(|(id, _)| id.clone());
            match expired {
                Some(expired) => self.remove(&expired),
                None => return false,
            }
        }
        if self.bytes + size > self.limits.bytes {
            return false;
        }
        self.bytes += size;
        let source = self.sources.entry(id.source).or_default();
        source.facts += 1;
        source.hash ^= version_hash(id, &stored);
        self.facts.insert(id.clone(), stored);
        true
    }

    pub(super) fn facts_of(&self, source: u32) -> impl Iterator<Item = (&FactId, &StoredFact)> {
        self.facts
            .range(
                FactId {
                    source,
                    kind: 0,
                    key: Vec::new(),
                }..,
            )
            .take_while(move |(id, _)| id.source == source)
    }

    /// Publishes a fact of this process.
    pub fn publish(
        &mut self,
        now: Duration,
        kind: u8,
        key: Vec<u8>,
        body: Vec<u8>,
        ttl: Duration,
    ) -> Result<FactId, PublishError> {
        if key.len() > KEY_BYTES {
            return Err(PublishError::KeyTooLong(key.len()));
        }
        if body.len() > BODY_BYTES {
            return Err(PublishError::BodyTooLong(body.len()));
        }
        if ttl > self.limits.max_ttl {
            return Err(PublishError::TtlTooLong(ttl, self.limits.max_ttl));
        }
        self.sequence += 1;
        let id = FactId {
            source: self.own_id,
            kind,
            key,
        };
        let forget_at = now + self.limits.max_ttl;
        let stored = StoredFact {
            incarnation: self.incarnation,
            sequence: self.sequence,
            body,
            ttl,
            forget_at,
        };
        if self.insert(now, &id, stored) {
            Ok(id)
        } else {
            Err(PublishError::CapacityExceeded)
        }
    }

    /// Receives a fact from another member, which need not be the fact's source.
    pub fn receive(&mut self, now: Duration, fact: WireFact) -> ReceiveOutcome {
        let age = Duration::from_millis(fact.age_ms.into());
        let ttl = Duration::from_millis(fact.ttl_ms.into());
        if age >= self.limits.max_ttl || ttl > self.limits.max_ttl || fact.sequence > MAX_SEQUENCE {
            return ReceiveOutcome::Known;
        }
        let id = FactId {
            source: fact.source,
            kind: fact.kind,
            key: fact.key,
        };
        let version = (fact.incarnation, fact.sequence);
        let forget_at = now + self.limits.max_ttl - age;
        if fact.source == self.own_id && fact.incarnation >= self.incarnation {
            return self.receive_own(now, id, version);
        }
        if let Some(stored) = self.facts.get_mut(&id) {
            if (stored.incarnation, stored.sequence) >= version {
                if (stored.incarnation, stored.sequence) == version {
                    stored.forget_at = stored.forget_at.min(forget_at);
                }
                return ReceiveOutcome::Known;
            }
        }
        let expired = age >= ttl;
        let body = if expired { Vec::new() } else { fact.body };
        let stored = StoredFact {
            incarnation: fact.incarnation,
            sequence: fact.sequence,
            body,
            ttl,
            forget_at,
        };
        match self.insert(now, &id, stored) {
            true if expired => ReceiveOutcome::Known,
            true => ReceiveOutcome::New(id),
            false => ReceiveOutcome::CapacityExceeded,
        }
    }

    /// Receives a fact that names this process as its source. If this process never published it, it is replaced at all
    /// members by the current content, under a greater sequence.
    fn receive_own(&mut self, now: Duration, id: FactId, version: (u64, u64)) -> ReceiveOutcome {
        let forged = version > (self.incarnation, self.sequence);
        if version.0 > self.incarnation {
            return ReceiveOutcome::LaterIncarnation(version.0);
        }
        if self
            .facts
            .get(&id)
            .is_some_and(|stored| (stored.incarnation, stored.sequence) >= version)
        {
            return ReceiveOutcome::Known;
        }
        self.sequence = self.sequence.max(version.1) + 1;
        let (body, ttl, forget_at) = match self.facts.get(&id) {
            Some(stored) => (stored.body.clone(), stored.ttl, stored.forget_at),
            None => (Vec::new(), Duration::ZERO, now + self.limits.max_ttl),
        };
        let stored = StoredFact {
            incarnation: self.incarnation,
            sequence: self.sequence,
            body,
            ttl,
            forget_at,
        };
        self.insert(now, &id, stored);
        if forged {
            ReceiveOutcome::Forged
        } else {
            ReceiveOutcome::Known
        }
    }

    /// Publishes all facts of this process again under a later incarnation, and returns their ids.
    pub fn renew_incarnation(&mut self, now: Duration, incarnation: u64) -> Vec<FactId> {
        let own: Vec<(FactId, StoredFact)> = self
            .facts_of(self.own_id)
            .filter(|(_, stored)| stored.incarnation == self.incarnation)
            .map(|(id, stored)| (id.clone(), stored.clone()))
            .collect();
        self.incarnation = incarnation;
        for (id, stored) in &own {
            self.sequence += 1;
            let renewed = StoredFact {
                incarnation,
                sequence: self.sequence,
                ..stored.clone()
            };
            // Never rejected: the replacement has the same size.
            self.insert(now, id, renewed);
        }
        own.into_iter().map(|(id, _)| id).collect()
    }

    /// Drops the bodies of expired facts, and removes facts that no member can hold any longer.
    pub fn expire(&mut self, now: Duration) {
        let max = self.limits.max_ttl;
        let mut freed = 0;
        let mut forget_at = Vec::new();
        for (id, stored) in &mut self.facts {
            if stored.forget_at <= now {
                forget_at.push(id.clone());
            } else if !stored.body.is_empty()
                && max.saturating_sub(stored.forget_at - now) >= stored.ttl
            {
                freed += stored.body.len();
                stored.body = Vec::new();
            }
        }
        self.bytes -= freed;
        for id in forget_at {
            self.remove(&id);
        }
    }

    pub fn contains(&self, id: &FactId) -> bool {
        self.facts.contains_key(id)
    }

    pub fn wire_fact(&self, now: Duration, id: &FactId) -> Option<WireFact> {
        self.facts
            .get(id)
            .map(|stored| self.to_wire(now, id, stored))
    }

    pub(super) fn to_wire(&self, now: Duration, id: &FactId, stored: &StoredFact) -> WireFact {
        WireFact {
            source: id.source,
            incarnation: stored.incarnation,
            kind: id.kind,
            key: id.key.clone(),
            sequence: stored.sequence,
            age_ms: millis(self.age(now, stored)),
            ttl_ms: millis(stored.ttl),
            body: stored.body.clone(),
        }
    }

    /// The fact in the form for the host, unless it has expired.
    pub fn live_fact(&self, now: Duration, id: &FactId, source: &str) -> Option<Fact> {
        let stored = self.facts.get(id)?;
        let age = self.age(now, stored);
        (age < stored.ttl).then(|| Fact {
            source: source.to_owned(),
            incarnation: stored.incarnation,
            kind: id.kind,
            key: id.key.clone(),
            sequence: stored.sequence,
            body: stored.body.clone(),
            age,
            ttl: stored.ttl,
        })
    }

    /// Whether the fact was published by an earlier incarnation of this process.
    pub fn is_of_earlier_incarnation(&self, id: &FactId) -> bool {
        self.facts
            .get(id)
            .is_some_and(|stored| stored.incarnation < self.incarnation)
    }

    pub fn ids(&self) -> impl Iterator<Item = &FactId> {
        self.facts.keys()
    }
}
