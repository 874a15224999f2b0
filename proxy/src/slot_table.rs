//! Bounded tables of connections.

use slab::Slab;
use std::ops::{Index, IndexMut};

/// Names an entry of a table. Keys are small, so that they serve as event tokens, and are used again once the
/// entry is removed.
pub type SlotKey = usize;

/// A table with a capacity that may change while it is in use.
pub struct SlotTable<T> {
    entries: Slab<T>,
    capacity: usize,
}

impl<T> SlotTable<T> {
    /// An empty table.
    pub fn new(capacity: usize) -> Self {
        SlotTable {
            entries: Slab::new(),
            capacity,
        }
    }

    /// Changes the capacity; entries beyond it stay until they are removed.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Whether it has more entries than its capacity allows.
    pub fn is_over_capacity(&self) -> bool {
        self.entries.len() > self.capacity
    }

    /// Whether it has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether its capacity allows no other entry.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.capacity
    }

    /// The key that the next entry will have.
    pub fn vacant_key(&self) -> SlotKey {
        self.entries.vacant_key()
    }

    /// Adds an entry, also beyond the capacity: whoever adds one has asked [`Self::is_full`].
    pub fn insert(&mut self, entry: T) -> SlotKey {
        self.entries.insert(entry)
    }

    /// The entry of a key.
    pub fn get(&self, key: SlotKey) -> Option<&T> {
        self.entries.get(key)
    }

    /// The entry of a key.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut T> {
        self.entries.get_mut(key)
    }

    /// Removes an entry; its key is free for another.
    pub fn remove(&mut self, key: SlotKey) -> Option<T> {
        self.entries.try_remove(key)
    }

    /// The keys of all entries that match, in their order.
    pub fn keys_where(&self, matches: impl Fn(&T) -> bool) -> Vec<SlotKey> {
        self.entries
            .iter()
            .filter(|(_, entry)| matches(entry))
            .map(|(key, _)| key)
            .collect()
    }

    /// The key of the entry with the least rank, of those that have one; the first of equals.
    pub fn key_with_least(&self, rank: impl Fn(&T) -> Option<f64>) -> Option<SlotKey> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| Some((key, rank(entry)?)))
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(key, _)| key)
    }
}

impl<T> Index<SlotKey> for SlotTable<T> {
    type Output = T;

    fn index(&self, key: SlotKey) -> &T {
        &self.entries[key]
    }
}

impl<T> IndexMut<SlotKey> for SlotTable<T> {
    fn index_mut(&mut self, key: SlotKey) -> &mut T {
        &mut self.entries[key]
    }
}
