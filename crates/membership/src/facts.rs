//! What each proxy says, held by all: last writer wins by the source's own start and count, ages travel, clocks
//! are never compared.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::roster::{hash_bytes, mixed};

pub const KEY_BYTES: usize = 32;
pub const BODY_BYTES: usize = 512;
/// No source counts so far in earnest: an invented count beyond it would leave the source no answer.
const LAST_SEQUENCE: u64 = 1 << 60;
/// What an entry costs beside its key and body, in the bound of bytes.
const ENTRY_BYTES: usize = 96;
/// Sources in one summary, versions in one detail: so that neither is longer than a datagram.
const SUMMARY: usize = 100;
const DETAIL: usize = 36;
const NO_PART: Part = Part {
    from: 0,
    to: u64::MAX,
};

/// A fact of another proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    pub source: String,
    pub start: u64,
    pub kind: u8,
    pub key: Vec<u8>,
    pub sequence: u64,
    pub body: Vec<u8>,
    pub age: Duration,
    pub lasts: Duration,
}

/// Bounds of what is held.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub facts_per_source: usize,
    pub bytes: usize,
    /// The longest that a fact may last; what has lapsed is remembered until then.
    pub lasts_max: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            facts_per_source: 64,
            bytes: 8 << 20,
            lasts_max: Duration::from_secs(600),
        }
    }
}

/// Why an own fact was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TellError {
    #[error("a fact's key has {0} bytes, at most {KEY_BYTES} fit")]
    Key(usize),
    #[error("a fact's body has {0} bytes, at most {BODY_BYTES} fit")]
    Body(usize),
    #[error(
        "a fact would last {0:?}, at most {1:?} are allowed: say it again before it lapses instead"
    )]
    Lasts(Duration, Duration),
    #[error("no room for another fact: let some lapse, or raise the bound of facts a source or of bytes")]
    Full,
}

/// A fact on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Said {
    pub source: u32,
    pub start: u64,
    pub kind: u8,
    pub key: Vec<u8>,
    pub sequence: u64,
    pub age_ms: u32,
    pub lasts_ms: u32,
    pub body: Vec<u8>,
}

/// From a number to a number, both within.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part {
    pub from: u64,
    pub to: u64,
}

/// What two proxies tell each other to hold the same facts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// Each source within the part, with the hash of all its versions.
    Summary {
        part: Part,
        sources: Vec<(u32, u32)>,
    },
    /// Each fact of a source within the part, by the hash of its key: start and sequence.
    Detail {
        answer: bool,
        source: u32,
        part: Part,
        versions: Vec<(u64, u64, u64)>,
    },
    Facts(Vec<Said>),
}

pub(crate) type Name = (u32, u8, Vec<u8>);

#[derive(Clone, Debug)]
struct Held {
    start: u64,
    sequence: u64,
    body: Vec<u8>,
    lasts: Duration,
    /// When it is forgotten: when it was said, and `lasts_max`. So it is known when it was said without a time
    /// before this process began.
    gone: Duration,
}

/// What came of a fact that was heard.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    New(Name),
    Known,
    /// It speaks for this process, and this process never said it.
    Invented,
    /// It was said by a process of this name that started later than this one.
    Later(u64),
    Full,
}

pub(crate) struct Store {
    me: u32,
    start: u64,
    limits: Limits,
    sequence: u64,
    held: BTreeMap<Name, Held>,
    /// For each source: how many facts, and the hash of their versions.
    sources: BTreeMap<u32, (usize, u32)>,
    bytes: usize,
    window: u64,
}

fn key_hash(kind: u8, key: &[u8]) -> u64 {
    hash_bytes(u64::from(kind), key)
}

fn version_hash(name: &Name, held: &Held) -> u32 {
    mixed(key_hash(name.1, &name.2) ^ mixed(held.start ^ mixed(held.sequence))) as u32
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

impl Store {
    pub fn new(me: u32, start: u64, limits: Limits) -> Self {
        Self {
            me,
            start,
            limits,
            sequence: 0,
            held: BTreeMap::new(),
            sources: BTreeMap::new(),
            bytes: 0,
            window: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn age(&self, now: Duration, held: &Held) -> Duration {
        self.limits
            .lasts_max
            .saturating_sub(held.gone.saturating_sub(now))
    }

    fn remove(&mut self, name: &Name) {
        if let Some(held) = self.held.remove(name) {
            self.bytes -= ENTRY_BYTES + name.2.len() + held.body.len();
            if let Some(source) = self.sources.get_mut(&name.0) {
                source.0 -= 1;
                source.1 ^= version_hash(name, &held);
                if source.0 == 0 {
                    self.sources.remove(&name.0);
                }
            }
        }
    }

    /// Puts a fact in the place of the one of that name, if there is room: marks of what has lapsed give way first.
    fn put(&mut self, now: Duration, name: &Name, held: Held) -> bool {
        let size = ENTRY_BYTES + name.2.len() + held.body.len();
        self.remove(name);
        if self
            .sources
            .get(&name.0)
            .is_some_and(|source| source.0 >= self.limits.facts_per_source)
        {
            let lapsed = self
                .of(name.0)
                .filter(|(_, held)| self.age(now, held) >= held.lasts)
                .min_by_key(|(_, held)| held.gone)
                .map(|(name, _)| name.clone());
            match lapsed {
                Some(lapsed) => self.remove(&lapsed),
                None => return false,
            }
        }
        if self.bytes + size > self.limits.bytes {
            return false;
        }
        self.bytes += size;
        let source = self.sources.entry(name.0).or_default();
        source.0 += 1;
        source.1 ^= version_hash(name, &held);
        self.held.insert(name.clone(), held);
        true
    }

    fn of(&self, source: u32) -> impl Iterator<Item = (&Name, &Held)> {
        self.held
            .range((source, 0, Vec::new())..)
            .take_while(move |(name, _)| name.0 == source)
    }

    pub fn tell(
        &mut self,
        now: Duration,
        kind: u8,
        key: Vec<u8>,
        body: Vec<u8>,
        lasts: Duration,
    ) -> Result<Name, TellError> {
        if key.len() > KEY_BYTES {
            return Err(TellError::Key(key.len()));
        }
        if body.len() > BODY_BYTES {
            return Err(TellError::Body(body.len()));
        }
        if lasts > self.limits.lasts_max {
            return Err(TellError::Lasts(lasts, self.limits.lasts_max));
        }
        self.sequence += 1;
        let name = (self.me, kind, key);
        let gone = now + self.limits.lasts_max;
        let held = Held {
            start: self.start,
            sequence: self.sequence,
            body,
            lasts,
            gone,
        };
        if self.put(now, &name, held) {
            Ok(name)
        } else {
            Err(TellError::Full)
        }
    }

    pub fn hear(&mut self, now: Duration, said: Said) -> Taken {
        let age = Duration::from_millis(said.age_ms.into());
        let lasts = Duration::from_millis(said.lasts_ms.into());
        if age >= self.limits.lasts_max
            || lasts > self.limits.lasts_max
            || said.sequence > LAST_SEQUENCE
        {
            return Taken::Known;
        }
        let name = (said.source, said.kind, said.key);
        let version = (said.start, said.sequence);
        let gone = now + self.limits.lasts_max - age;
        if said.source == self.me && said.start >= self.start {
            return self.about_me(now, name, version);
        }
        if let Some(held) = self.held.get_mut(&name) {
            if (held.start, held.sequence) >= version {
                if (held.start, held.sequence) == version {
                    held.gone = held.gone.min(gone);
                }
                return Taken::Known;
            }
        }
        let lapsed = age >= lasts;
        let body = if lapsed { Vec::new() } else { said.body };
        let held = Held {
            start: said.start,
            sequence: said.sequence,
            body,
            lasts,
            gone,
        };
        match self.put(now, &name, held) {
            true if lapsed => Taken::Known,
            true => Taken::New(name),
            false => Taken::Full,
        }
    }

    /// Another tells what this process is to have said. What it never said it takes back, under a greater count.
    fn about_me(&mut self, now: Duration, name: Name, version: (u64, u64)) -> Taken {
        let invented = version > (self.start, self.sequence);
        if version.0 > self.start {
            return Taken::Later(version.0);
        }
        if self
            .held
            .get(&name)
            .is_some_and(|held| (held.start, held.sequence) >= version)
        {
            return Taken::Known;
        }
        self.sequence = self.sequence.max(version.1) + 1;
        let (body, lasts, gone) = match self.held.get(&name) {
            Some(held) => (held.body.clone(), held.lasts, held.gone),
            None => (Vec::new(), Duration::ZERO, now + self.limits.lasts_max),
        };
        let held = Held {
            start: self.start,
            sequence: self.sequence,
            body,
            lasts,
            gone,
        };
        self.put(now, &name, held);
        if invented {
            Taken::Invented
        } else {
            Taken::Known
        }
    }

    /// All that this process said it has said under a later start; gives what that was.
    pub fn renew(&mut self, now: Duration, start: u64) -> Vec<Name> {
        let said = self
            .of(self.me)
            .filter(|(_, held)| held.start == self.start);
        let said: Vec<(Name, Held)> = said
            .map(|(name, held)| (name.clone(), held.clone()))
            .collect();
        self.start = start;
        for (name, held) in &said {
            self.sequence += 1;
            // In the place of what is as long.
            self.put(
                now,
                name,
                Held {
                    start,
                    sequence: self.sequence,
                    ..held.clone()
                },
            );
        }
        said.into_iter().map(|(name, _)| name).collect()
    }

    /// Forgets what is long gone, and the bodies of what has lapsed.
    pub fn tidy(&mut self, now: Duration) {
        let max = self.limits.lasts_max;
        let mut freed = 0;
        let mut gone = Vec::new();
        for (name, held) in &mut self.held {
            if held.gone <= now {
                gone.push(name.clone());
            } else if !held.body.is_empty() && max.saturating_sub(held.gone - now) >= held.lasts {
                freed += held.body.len();
                held.body = Vec::new();
            }
        }
        self.bytes -= freed;
        for name in gone {
            self.remove(&name);
        }
    }

    pub fn holds(&self, name: &Name) -> bool {
        self.held.contains_key(name)
    }

    pub fn get(&self, now: Duration, name: &Name) -> Option<Said> {
        self.held.get(name).map(|held| self.said(now, name, held))
    }

    fn said(&self, now: Duration, name: &Name, held: &Held) -> Said {
        Said {
            source: name.0,
            start: held.start,
            kind: name.1,
            key: name.2.clone(),
            sequence: held.sequence,
            age_ms: millis(self.age(now, held)),
            lasts_ms: millis(held.lasts),
            body: held.body.clone(),
        }
    }

    /// A held fact as others see it, unless it has lapsed.
    pub fn fact(&self, now: Duration, name: &Name, source: &str) -> Option<Fact> {
        let held = self.held.get(name)?;
        let age = self.age(now, held);
        (age < held.lasts).then(|| Fact {
            source: source.to_owned(),
            start: held.start,
            kind: name.1,
            key: name.2.clone(),
            sequence: held.sequence,
            body: held.body.clone(),
            age,
            lasts: held.lasts,
        })
    }

    /// Whether it was said by an earlier process of that name.
    pub fn is_former(&self, name: &Name) -> bool {
        self.held
            .get(name)
            .is_some_and(|held| held.start < self.start)
    }

    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.held.keys()
    }

    /// The next summary; the window moves on with each.
    pub fn summary(&mut self) -> Frame {
        let (frame, next) = self.summary_from(self.window);
        self.window = next.unwrap_or(0);
        frame
    }

    /// All summaries, of all sources.
    pub fn summaries(&self) -> Vec<Frame> {
        let (mut frames, mut from) = (Vec::new(), Some(0));
        while let Some(first) = from {
            let (frame, next) = self.summary_from(first);
            frames.push(frame);
            from = next;
        }
        frames
    }

    /// A summary from that source on, and where the next begins.
    fn summary_from(&self, from: u64) -> (Frame, Option<u64>) {
        let first = u32::try_from(from).unwrap_or(0);
        let mut rest = self
            .sources
            .range(first..)
            .map(|(source, (_, hash))| (*source, *hash));
        let sources: Vec<(u32, u32)> = rest.by_ref().take(SUMMARY).collect();
        let to = match (rest.next(), sources.last()) {
            (Some(_), Some((last, _))) => u64::from(*last),
            _ => u64::MAX,
        };
        (
            Frame::Summary {
                part: Part { from, to },
                sources,
            },
            (to != u64::MAX).then(|| to + 1),
        )
    }

    /// The hash of what is held of a source.
    pub fn hash(&self, source: u32) -> Option<u32> {
        self.sources.get(&source).map(|(_, hash)| *hash)
    }

    /// What of a summary is not held here as its sender has it. What it lacks wholly it finds in a summary from here.
    pub fn differing(&self, sources: Vec<(u32, u32)>) -> Vec<(u32, u32)> {
        sources
            .into_iter()
            .filter(|(source, hash)| self.hash(*source) != Some(*hash))
            .collect()
    }

    fn versions(&self, source: u32) -> BTreeMap<u64, (&Name, &Held)> {
        self.of(source)
            .map(|(name, held)| (key_hash(name.1, &name.2), (name, held)))
            .collect()
    }

    /// What is held of a source: who hears it answers with what is newer there.
    pub fn details(&self, source: u32, answer: bool) -> Vec<Frame> {
        let versions: Vec<(u64, u64, u64)> = self
            .versions(source)
            .into_iter()
            .map(|(hash, (_, held))| (hash, held.start, held.sequence))
            .collect();
        if versions.is_empty() {
            return vec![Frame::Detail {
                answer,
                source,
                part: NO_PART,
                versions,
            }];
        }
        let pieces = versions.chunks(DETAIL).count();
        let mut from = 0;
        let mut frames = Vec::new();
        for (at, piece) in versions.chunks(DETAIL).enumerate() {
            let to = if at + 1 == pieces {
                u64::MAX
            } else {
                piece[piece.len() - 1].0
            };
            let part = Part { from, to };
            frames.push(Frame::Detail {
                answer,
                source,
                part,
                versions: piece.to_vec(),
            });
            from = to.saturating_add(1);
        }
        frames
    }

    /// What the sender of a detail lacks; and, if it has what is lacking here, a detail in answer.
    pub fn lacking(
        &self,
        now: Duration,
        answer: bool,
        source: u32,
        part: Part,
        theirs: &[(u64, u64, u64)],
    ) -> Vec<Frame> {
        let mine = self.versions(source);
        let theirs: BTreeMap<u64, (u64, u64)> = theirs
            .iter()
            .map(|(hash, start, sequence)| (*hash, (*start, *sequence)))
            .collect();
        let mut facts = Vec::new();
        for (hash, (name, held)) in &mine {
            let within = part.from <= *hash && *hash <= part.to;
            if within
                && theirs
                    .get(hash)
                    .is_none_or(|version| *version < (held.start, held.sequence))
            {
                facts.push(self.said(now, name, held));
            }
        }
        let mut frames: Vec<Frame> = facts
            .into_iter()
            .map(|said| Frame::Facts(vec![said]))
            .collect();
        let newer = |(hash, version): (&u64, &(u64, u64))| {
            mine.get(hash)
                .is_none_or(|(_, held)| (held.start, held.sequence) < *version)
        };
        if !answer && theirs.iter().any(newer) {
            frames.extend(self.details(source, true));
        }
        frames
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn at(secs: u64) -> Duration {
        Duration::from_secs(secs)
    }

    fn said(source: u32, start: u64, key: u8, sequence: u64, age_ms: u32) -> Said {
        Said {
            source,
            start,
            kind: 1,
            key: vec![key],
            sequence,
            age_ms,
            lasts_ms: 30_000,
            body: vec![7; 100],
        }
    }

    #[test]
    fn later_starts_and_sequences_win_and_ages_only_grow() {
        let mut store = Store::new(1, 10, Limits::default());
        assert!(matches!(
            store.hear(at(100), said(2, 5, 1, 4, 0)),
            Taken::New(_)
        ));
        for (start, sequence, new) in [
            (5, 3, false),
            (5, 4, false),
            (5, 5, true),
            (4, 9, false),
            (6, 1, true),
        ] {
            let taken = store.hear(at(100), said(2, start, 1, sequence, 0));
            assert_eq!(matches!(taken, Taken::New(_)), new, "{start} {sequence}");
        }
        store.hear(at(100), said(2, 6, 1, 1, 9000));
        store.hear(at(100), said(2, 6, 1, 1, 2000));
        let name = (2, 1, vec![1]);
        assert_eq!(store.fact(at(101), &name, "b").unwrap().age, at(10));
        assert!(
            store.fact(at(120), &name, "b").is_some() && store.fact(at(121), &name, "b").is_none()
        );
        // It is remembered without its body, so that an older one does not come back; at last it is forgotten.
        store.tidy(at(121));
        assert!(store.bytes() < 100 && store.hear(at(122), said(2, 6, 1, 0, 0)) == Taken::Known);
        store.tidy(at(692));
        assert_eq!((store.len(), store.bytes()), (0, 0));
    }

    #[test]
    fn what_is_held_is_bounded_and_lapsed_marks_give_way() {
        let limits = Limits {
            facts_per_source: 3,
            bytes: 900,
            lasts_max: at(600),
        };
        let mut store = Store::new(1, 10, limits);
        let keys = |store: &mut Store, now, keys: std::ops::Range<u8>| {
            let taken = keys.map(|key| store.hear(now, said(2, 5, key, u64::from(key), 0)));
            taken.filter(|taken| matches!(taken, Taken::New(_))).count()
        };
        assert_eq!(keys(&mut store, at(100), 0..5), 3);
        assert_eq!(keys(&mut store, at(131), 5..7), 2);
        assert!(
            (0..5).any(|source| store.hear(at(131), said(10 + source, 5, 0, 1, 0)) == Taken::Full)
        );
        assert!(store.bytes() <= 900);
    }

    #[test]
    fn a_source_takes_back_what_it_never_said() {
        let mut store = Store::new(1, 10, Limits::default());
        let mine = store.tell(at(100), 1, vec![1], vec![8], at(60)).unwrap();
        assert_eq!(store.hear(at(101), said(1, 10, 1, 50, 0)), Taken::Invented);
        let anew = store.get(at(101), &mine).unwrap();
        assert_eq!((anew.sequence, anew.body), (51, vec![8]));
        assert_eq!(store.hear(at(101), said(1, 10, 2, 60, 0)), Taken::Invented);
        let back = store.get(at(101), &(1, 1, vec![2])).unwrap();
        assert!(back.sequence > 60 && back.lasts_ms == 0);
        assert_eq!(store.hear(at(101), said(1, 11, 1, 1, 0)), Taken::Later(11));
        assert!(matches!(
            store.hear(at(101), said(1, 9, 3, 70, 0)),
            Taken::New(_)
        ));
    }

    #[test]
    fn two_stores_agree_after_some_exchanges_of_bounded_frames() {
        let limits = Limits {
            facts_per_source: 256,
            ..Limits::default()
        };
        let mut stores = [Store::new(1, 10, limits), Store::new(2, 10, limits)];
        for fact in 0..600_u32 {
            let said = Said {
                body: Vec::new(),
                key: fact.to_be_bytes().to_vec(),
                ..said(9, 5, 0, 1, 0)
            };
            let source = 10 + fact % 150 * u32::from(fact < 400);
            stores[fact as usize % 2].hear(at(1), Said { source, ..said });
        }
        let mut frames = 0;
        for turn in 0..8 {
            let mut waiting = vec![(1 - turn % 2, stores[turn % 2].summary())];
            while let Some((to, frame)) = waiting.pop() {
                frames += 1;
                assert!(postcard::to_stdvec(&frame).unwrap().len() < 1200);
                let answers = match frame {
                    Frame::Facts(facts) => {
                        facts
                            .into_iter()
                            .for_each(|said| drop(stores[to].hear(at(1), said)));
                        continue;
                    }
                    Frame::Summary { sources, .. } => {
                        let differing = stores[to].differing(sources);
                        differing
                            .into_iter()
                            .flat_map(|(of, _)| stores[to].details(of, false))
                            .collect()
                    }
                    Frame::Detail {
                        answer,
                        source,
                        part,
                        versions,
                    } => stores[to].lacking(at(1), answer, source, part, &versions),
                };
                waiting.extend(answers.into_iter().map(|frame| (1 - to, frame)));
            }
        }
        assert!(
            stores[0].sources == stores[1].sources && stores[0].len() == 600,
            "{}",
            stores[0].len()
        );
        assert!(frames < 2000, "{frames}");
    }
}
