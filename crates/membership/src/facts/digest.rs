//! Digests and version lists of the fact store, by which two members find out which facts each lacks.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{AntiEntropyMessage, FactVersion, HashRange, SourceHash};
use super::store::{key_hash, FactId, FactStore, StoredFact};

/// Maximum number of sources in one digest, so that it fits into a datagram.
const DIGEST_SOURCES: usize = 100;
/// Maximum number of versions in one message, so that it fits into a datagram.
const VERSIONS_PER_MESSAGE: usize = 36;
const FULL_RANGE: HashRange = HashRange {
    first: 0,
    last: u64::MAX,
};

impl FactStore {
    /// The next digest; it continues with the sources after those of the previous digest.
    pub fn next_digest(&mut self) -> AntiEntropyMessage {
        let (digest, next) = self.digest_from(self.next_digest_source);
        self.next_digest_source = next.unwrap_or(0);
        digest
    }

    /// Digests of all sources.
    pub fn all_digests(&self) -> Vec<AntiEntropyMessage> {
        let (mut messages, mut from) = (Vec::new(), Some(0));
        while let Some(first) = from {
            let (digest, next) = self.digest_from(first);
            messages.push(digest);
            from = next;
        }
        messages
    }

    /// A digest of the sources from `from` on, and the first source of the next digest, if sources remain.
    fn digest_from(&self, from: u64) -> (AntiEntropyMessage, Option<u64>) {
        let first = u32::try_from(from).unwrap_or(0);
        let mut rest = self
            .sources
            .range(first..)
            .map(|(source, summary)| SourceHash {
                source: *source,
                hash: summary.hash,
            });
        let sources: Vec<SourceHash> = rest.by_ref().take(DIGEST_SOURCES).collect();
        let to = match (rest.next(), sources.last()) {
            (Some(_), Some(last)) => u64::from(last.source),
            _ => u64::MAX,
        };
        (
            AntiEntropyMessage::Digest {
                range: HashRange {
                    first: from,
                    last: to,
                },
                sources,
            },
            (to != u64::MAX).then(|| to + 1),
        )
    }

    /// Hash of the versions that are held of a source.
    pub fn source_hash(&self, source: u32) -> Option<u32> {
        self.sources.get(&source).map(|summary| summary.hash)
    }

    /// Sources of a digest whose versions differ from those held here. Sources that the sender lacks entirely are not
    /// included: the sender finds them in a digest from this process.
    pub fn differing_sources(&self, sources: Vec<SourceHash>) -> Vec<SourceHash> {
        sources
            .into_iter()
            .filter(|theirs| self.source_hash(theirs.source) != Some(theirs.hash))
            .collect()
    }

    fn facts_by_key_hash(&self, source: u32) -> BTreeMap<u64, (&FactId, &StoredFact)> {
        self.facts_of(source)
            .map(|(id, stored)| (key_hash(id.kind, &id.key), (id, stored)))
            .collect()
    }

    /// The versions that are held of a source. The receiver replies with facts of which it holds newer versions.
    pub fn version_messages(&self, source: u32, is_reply: bool) -> Vec<AntiEntropyMessage> {
        let versions: Vec<FactVersion> = self
            .facts_by_key_hash(source)
            .into_iter()
            .map(|(key_hash, (_, stored))| FactVersion {
                key_hash,
                incarnation: stored.incarnation,
                sequence: stored.sequence,
            })
            .collect();
        if versions.is_empty() {
            return vec![AntiEntropyMessage::Versions {
                is_reply,
                source,
                range: FULL_RANGE,
                versions,
            }];
        }
        let chunk_count = versions.chunks(VERSIONS_PER_MESSAGE).count();
        let mut from = 0;
        let mut messages = Vec::new();
        for (index, chunk) in versions.chunks(VERSIONS_PER_MESSAGE).enumerate() {
            let to = if index + 1 == chunk_count {
                u64::MAX
            } else {
                chunk[chunk.len() - 1].key_hash
            };
            let range = HashRange {
                first: from,
                last: to,
            };
            messages.push(AntiEntropyMessage::Versions {
                is_reply,
                source,
                range,
                versions: chunk.to_vec(),
            });
            from = to.saturating_add(1);
        }
        messages
    }

    /// Facts that the sender of `theirs` lacks. If the sender holds newer versions of some, and its message is not a
    /// reply, the result also contains the versions held here.
    pub fn reply_to_versions(
        &self,
        now: Duration,
        is_reply: bool,
        source: u32,
        range: HashRange,
        theirs: &[FactVersion],
    ) -> Vec<AntiEntropyMessage> {
        let own = self.facts_by_key_hash(source);
        let theirs: BTreeMap<u64, (u64, u64)> = theirs
            .iter()
            .map(|version| (version.key_hash, (version.incarnation, version.sequence)))
            .collect();
        let mut facts = Vec::new();
        for (hash, (id, stored)) in &own {
            let within = range.first <= *hash && *hash <= range.last;
            if within
                && theirs
                    .get(hash)
                    .is_none_or(|version| *version < (stored.incarnation, stored.sequence))
            {
                facts.push(self.to_wire(now, id, stored));
            }
        }
        let mut messages: Vec<AntiEntropyMessage> = facts
            .into_iter()
            .map(|fact| AntiEntropyMessage::Facts(vec![fact]))
            .collect();
        let newer = |(hash, version): (&u64, &(u64, u64))| {
            own.get(hash)
                .is_none_or(|(_, stored)| (stored.incarnation, stored.sequence) < *version)
        };
        if !is_reply && theirs.iter().any(newer) {
            messages.extend(self.version_messages(source, true));
        }
        messages
    }
}
