//! Index of the keys of an arena, sorted by the names of their entries.

/// Finds keys by name. The index refers to the names in the arena instead of
/// copying them, so that an entry takes only the four bytes of its key: every
/// task with a replica of the control state has an index of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NameIndex<K> {
    keys: Vec<K>,
}

impl<K> Default for NameIndex<K> {
    fn default() -> Self {
        Self { keys: Vec::new() }
    }
}

impl<K> NameIndex<K>
where
    K: Copy,
{
    /// Creates the index of `keys`.
    pub(crate) fn new<'a, F>(mut keys: Vec<K>, name_of: F) -> Self
    where
        F: Fn(K) -> &'a str,
    {
        keys.sort_by(|left, right| name_of(*left).cmp(name_of(*right)));
        Self { keys }
    }

    /// Returns the key of a name, or the position at which to insert it.
    pub(crate) fn find<'a, F>(&self, name: &str, name_of: F) -> Result<K, NamePosition>
    where
        F: Fn(K) -> &'a str,
    {
        match self.keys.binary_search_by(|key| name_of(*key).cmp(name)) {
            Ok(position) => Ok(self.keys[position]),
            Err(position) => Err(NamePosition(position)),
        }
    }

    /// Adds a key at the position that [`NameIndex::find`] returned.
    pub(crate) fn insert(&mut self, position: NamePosition, key: K) {
        self.keys.insert(position.0, key);
    }

    /// Removes the key of a name. The arena must still have the entry.
    pub(crate) fn remove<'a, F>(&mut self, name: &str, name_of: F)
    where
        F: Fn(K) -> &'a str,
    {
        if let Ok(position) = self.keys.binary_search_by(|key| name_of(*key).cmp(name)) {
            self.keys.remove(position);
        }
    }
}

/// Position of a name that is not in the index yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NamePosition(usize);
