//! Keys of an arena in the order of their names.

/// Finds keys by name. The names stay in the arena, so that an entry costs
/// the four bytes of its key; every task that follows the fold holds an index.
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
    /// The index of all `keys`.
    pub(crate) fn new<'a, F>(mut keys: Vec<K>, name_of: F) -> Self
    where
        F: Fn(K) -> &'a str,
    {
        keys.sort_by(|left, right| name_of(*left).cmp(name_of(*right)));
        Self { keys }
    }

    /// The key of a name, or the place where it belongs.
    pub(crate) fn find<'a, F>(&self, name: &str, name_of: F) -> Result<K, NamePlace>
    where
        F: Fn(K) -> &'a str,
    {
        match self.keys.binary_search_by(|key| name_of(*key).cmp(name)) {
            Ok(place) => Ok(self.keys[place]),
            Err(place) => Err(NamePlace(place)),
        }
    }

    /// Adds a key at the place that [`NameIndex::find`] gave for its name.
    pub(crate) fn insert(&mut self, place: NamePlace, key: K) {
        self.keys.insert(place.0, key);
    }

    /// Removes the key of a name that the arena still has.
    pub(crate) fn remove<'a, F>(&mut self, name: &str, name_of: F)
    where
        F: Fn(K) -> &'a str,
    {
        if let Ok(place) = self.keys.binary_search_by(|key| name_of(*key).cmp(name)) {
            self.keys.remove(place);
        }
    }
}

/// Where a name that is not in the index belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NamePlace(usize);
