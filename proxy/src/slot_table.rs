//! Bounded tables of connections.

use slab::Slab;
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// Names an entry of a table. Keys are small, so that they serve as event tokens, and are used again once the
/// entry is removed.
pub trait SlotKey: Copy {
    /// The key of a slot.
    fn from_slot(slot: usize) -> Self;

    /// The slot of this key.
    fn slot(self) -> usize;
}

/// Defines a key for the entries of one table, so that none is taken for a key of another. Its own methods are
/// those of [`SlotKey`] again, as functions of a trait cannot be `const`, which tokens are.
macro_rules! slot_key {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(usize);

        impl $name {
            /// The key of a slot.
            pub const fn new(slot: usize) -> Self {
                $name(slot)
            }

            /// Its slot.
            pub const fn index(self) -> usize {
                self.0
            }
        }

        impl SlotKey for $name {
            fn from_slot(slot: usize) -> Self {
                $name::new(slot)
            }

            fn slot(self) -> usize {
                self.index()
            }
        }
    };
}

slot_key! {
    /// Names a client's connection.
    DownstreamKey
}

slot_key! {
    /// Names a connection to an endpoint.
    UpstreamKey
}

/// A table with a capacity that may change while it is in use.
pub struct SlotTable<K, T> {
    entries: Slab<T>,
    keys: PhantomData<K>,
    capacity: usize,
}

impl<K: SlotKey, T> SlotTable<K, T> {
    /// An empty table.
    pub fn new(capacity: usize) -> Self {
        SlotTable {
            entries: Slab::new(),
            keys: PhantomData,
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

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// All entries, in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().map(|(_, entry)| entry)
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
    pub fn vacant_key(&self) -> K {
        K::from_slot(self.entries.vacant_key())
    }

    /// Adds an entry, also beyond the capacity: whoever adds one has asked [`Self::is_full`].
    pub fn insert(&mut self, entry: T) -> K {
        K::from_slot(self.entries.insert(entry))
    }

    /// The entry of a key.
    pub fn get(&self, key: K) -> Option<&T> {
        self.entries.get(key.slot())
    }

    /// The entry of a key.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.entries.get_mut(key.slot())
    }

    /// Removes an entry; its key is free for another.
    pub fn remove(&mut self, key: K) -> Option<T> {
        self.entries.try_remove(key.slot())
    }

    /// The keys of all entries that match, in their order.
    pub fn keys_where(&self, matches: impl Fn(&T) -> bool) -> Vec<K> {
        self.entries
            .iter()
            .filter(|(_, entry)| matches(entry))
            .map(|(key, _)| K::from_slot(key))
            .collect()
    }

    /// The key of the first entry with the lowest rank, among those with a rank.
    pub fn min_key_by(&self, rank: impl Fn(&T) -> Option<f64>) -> Option<K> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| Some((key, rank(entry)?)))
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(key, _)| K::from_slot(key))
    }
}

impl<K: SlotKey, T> Index<K> for SlotTable<K, T> {
    type Output = T;

    fn index(&self, key: K) -> &T {
        &self.entries[key.slot()]
    }
}

impl<K: SlotKey, T> IndexMut<K> for SlotTable<K, T> {
    fn index_mut(&mut self, key: K) -> &mut T {
        &mut self.entries[key.slot()]
    }
}
