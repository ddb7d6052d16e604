//! Arenas: tables with small `Copy` keys.

use std::marker::PhantomData;

/// A key into an [`Arena`].
pub trait ArenaKey: Copy {
    /// Returns the key of the entry at `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the index of the entry.
    fn index(self) -> usize;
}

/// A table of entries that are identified by keys of type `K`. A removed entry
/// leaves a free key, which only [`Arena::insert_at`] reuses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arena<K, V> {
    entries: Vec<Option<V>>,
    key: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self { entries: Vec::new(), key: PhantomData }
    }
}

impl<K, V> Arena<K, V>
where
    K: ArenaKey,
{
    /// Adds an entry under a key that was never used.
    pub fn insert(&mut self, value: V) -> K {
        let key = self.next_key();
        self.entries.push(Some(value));
        key
    }

    /// The key that the next [`Arena::insert`] returns.
    pub fn next_key(&self) -> K {
        K::from_index(self.entries.len())
    }

    /// Adds an entry under a given key and returns the entry it replaces.
    pub fn insert_at(&mut self, key: K, value: V) -> Option<V> {
        while self.entries.len() <= key.index() {
            self.entries.push(None);
        }
        self.entries[key.index()].replace(value)
    }

    /// Adds a key without an entry.
    pub fn push_free(&mut self) {
        self.entries.push(None);
    }

    /// Removes an entry, which leaves its key free.
    pub fn remove(&mut self, key: K) -> Option<V> {
        self.entries.get_mut(key.index())?.take()
    }

    /// The entry of a key, if there is one.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(key.index())?.as_ref()
    }

    /// The entry of a key, if there is one, as a mutable reference.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.entries.get_mut(key.index())?.as_mut()
    }

    /// All entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| Some((K::from_index(index), entry.as_ref()?)))
    }

    /// All entries in the order of their keys, as mutable references.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.entries
            .iter_mut()
            .enumerate()
            .filter_map(|(index, entry)| Some((K::from_index(index), entry.as_mut()?)))
    }

    /// All keys, used and free, with their entries.
    pub fn slots(&self) -> impl Iterator<Item = Option<&V>> {
        self.entries.iter().map(Option::as_ref)
    }

    /// Number of keys, used and free.
    pub fn slot_count(&self) -> usize {
        self.entries.len()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.iter().flatten().count()
    }

    /// True if there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
