//! Connection tables of bounded size.

use slab::Slab;
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// Identifies an entry of a table. Keys are small integers, so that they can be mapped to poll tokens, and are reused
/// after their entry is removed.
pub trait SlotKey: Copy {
    /// Returns the key of a slot.
    fn from_slot(slot: usize) -> Self;

    /// Returns the slot of this key.
    fn slot(self) -> usize;
}

/// Defines a distinct key type for the entries of one table. Its inherent methods duplicate those of [`SlotKey`],
/// because trait functions cannot be `const`.
macro_rules! slot_key {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(usize);

        impl $name {
            /// Returns the key of a slot.
            pub const fn new(slot: usize) -> Self {
                $name(slot)
            }

            /// Returns the slot of this key.
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
    /// Identifies a client connection.
    DownstreamKey
}

slot_key! {
    /// Identifies a connection to an endpoint.
    UpstreamKey
}

/// A table whose capacity can change at run time.
pub struct SlotTable<K, T> {
    entries: Slab<T>,
    keys: PhantomData<K>,
    capacity: usize,
}

impl<K: SlotKey, T> SlotTable<K, T> {
    /// Creates an empty table.
    pub fn new(capacity: usize) -> Self {
        SlotTable {
            entries: Slab::new(),
            keys: PhantomData,
            capacity,
        }
    }

    /// Changes the capacity. Entries beyond it stay until they are removed.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Whether the table has more entries than its capacity.
    pub fn is_over_capacity(&self) -> bool {
        self.entries.len() > self.capacity
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// All entries in order of key.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().map(|(_, entry)| entry)
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the table has reached its capacity.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.capacity
    }

    /// Returns the key that the next inserted entry gets.
    pub fn vacant_key(&self) -> K {
        K::from_slot(self.entries.vacant_key())
    }

    /// Inserts an entry and returns its key. Does not enforce the capacity; callers check [`Self::is_full`] first.
    pub fn insert(&mut self, entry: T) -> K {
        K::from_slot(self.entries.insert(entry))
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: K) -> Option<&T> {
        self.entries.get(key.slot())
    }

    /// Returns the entry of a key for modification.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.entries.get_mut(key.slot())
    }

    /// Removes an entry; its key may be reused.
    pub fn remove(&mut self, key: K) -> Option<T> {
        self.entries.try_remove(key.slot())
    }

    /// Returns the keys of all entries that match, in order.
    pub fn keys_where(&self, matches: impl Fn(&T) -> bool) -> Vec<K> {
        self.entries
            .iter()
            .filter(|(_, entry)| matches(entry))
            .map(|(key, _)| K::from_slot(key))
            .collect()
    }

    /// Returns the key of the entry with the lowest rank, or the first of several. Entries without a rank are skipped.
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
