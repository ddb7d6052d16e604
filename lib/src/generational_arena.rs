//! Arenas whose keys are not reused: a key of a removed entry finds nothing,
//! also after its place was given to another entry.

use std::marker::PhantomData;

/// A key into a [`GenerationalArena`].
pub trait GenerationalKey: Copy {
    /// Returns the key of the entry that is the `generation`th at `index`.
    fn new(index: u32, generation: u32) -> Self;
    /// Returns the place of the entry.
    fn index(self) -> u32;
    /// Returns how many entries had the place before.
    fn generation(self) -> u32;
}

/// A table of entries that are identified by keys of type `K`. Places of
/// removed entries are reused under new keys.
#[derive(Clone, Debug)]
pub struct GenerationalArena<K, V> {
    slots: Vec<Slot<V>>,
    free: Vec<u32>,
    key: PhantomData<K>,
}

#[derive(Clone, Debug)]
struct Slot<V> {
    generation: u32,
    entry: Option<V>,
}

impl<K, V> Default for GenerationalArena<K, V> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new(), key: PhantomData }
    }
}

impl<K, V> GenerationalArena<K, V>
where
    K: GenerationalKey,
{
    /// Adds an entry under a key that was never used.
    pub fn insert(&mut self, value: V) -> K {
        if let Some(index) = self.free.pop()
            && let Some(slot) = self.slots.get_mut(index as usize)
        {
            slot.entry = Some(value);
            return K::new(index, slot.generation);
        }
        let index =
            u32::try_from(self.slots.len()).expect("an arena holds fewer than 2^32 entries");
        self.slots.push(Slot { generation: 0, entry: Some(value) });
        K::new(index, 0)
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let slot = self.slots.get_mut(key.index() as usize)?;
        if slot.generation != key.generation() {
            return None;
        }
        let removed = slot.entry.take()?;
        // A place whose generations are used up stays free.
        if let Some(next) = slot.generation.checked_add(1) {
            slot.generation = next;
            self.free.push(key.index());
        }
        Some(removed)
    }

    /// The entry of a key, if it was not removed.
    pub fn get(&self, key: K) -> Option<&V> {
        let slot = self.slots.get(key.index() as usize)?;
        slot.entry.as_ref().filter(|_| slot.generation == key.generation())
    }

    /// The entry of a key, if it was not removed, as a mutable reference.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        let slot = self.slots.get_mut(key.index() as usize)?;
        let is_present = slot.generation == key.generation();
        slot.entry.as_mut().filter(|_| is_present)
    }

    /// All entries in the order of their places.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        (0..).zip(&self.slots).filter_map(|(index, slot)| {
            Some((K::new(index, slot.generation), slot.entry.as_ref()?))
        })
    }

    /// All entries in the order of their places, as mutable references.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        (0..).zip(&mut self.slots).filter_map(|(index, slot)| {
            Some((K::new(index, slot.generation), slot.entry.as_mut()?))
        })
    }
}
