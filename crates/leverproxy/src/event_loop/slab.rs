//! Storage of values under keys that become stale when the value is removed.

/// The key of a value in a [`Slab`]. The generation distinguishes the successive values at an index, so that an event
/// that was fetched before its connection closed never reaches the next connection at the same index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub(super) index: u32,
    pub(super) generation: u32,
}

/// Number of generations, after which they wrap: a token has 24 bits for them.
pub(super) const GENERATIONS: u32 = 1 << 24;

/// An arena of values.
#[derive(Debug)]
pub struct Slab<T> {
    entries: Vec<Entry<T>>,
    free: Vec<u32>,
}

#[derive(Debug)]
struct Entry<T> {
    generation: u32,
    value: Option<T>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab {
            entries: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Inserts a value; returns its key.
    pub fn insert(&mut self, value: T) -> Key {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(Entry {
                generation: 0,
                value: None,
            });
            self.entries.len() as u32 - 1
        });
        let entry = &mut self.entries[index as usize];
        entry.value = Some(value);
        Key {
            index,
            generation: entry.generation,
        }
    }

    /// Removes a value; `None` if the key is stale.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let entry = self
            .entries
            .get_mut(key.index as usize)
            .filter(|entry| entry.generation == key.generation)?;
        let value = entry.value.take()?;
        entry.generation = (entry.generation + 1) % GENERATIONS;
        self.free.push(key.index);
        Some(value)
    }

    /// The value of a key; `None` if the key is stale.
    pub fn get(&self, key: Key) -> Option<&T> {
        let entry = self.entries.get(key.index as usize)?;
        let current = entry.generation == key.generation;
        entry.value.as_ref().filter(|_| current)
    }

    /// The value of a key; `None` if the key is stale.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let entry = self.entries.get_mut(key.index as usize)?;
        let current = entry.generation == key.generation;
        entry.value.as_mut().filter(|_| current)
    }

    /// The number of values.
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All values with their keys, in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> + Clone {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| {
                let key = Key {
                    index: index as u32,
                    generation: entry.generation,
                };
                Some((key, entry.value.as_ref()?))
            })
    }

    /// All keys, so that values can be changed or removed while iterating.
    pub fn keys(&self) -> Vec<Key> {
        self.iter().map(|(key, _)| key).collect()
    }
}
