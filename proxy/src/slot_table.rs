//! Bounded tables of connections. Keys are small, and used again once what they stood for is taken out.

use slab::Slab;
use std::ops::{Index, IndexMut};

/// Names an entry of a table. It is small, and used again once the entry is taken out.
pub type SlotKey = usize;

pub struct SlotTable<T> {
    slots: Slab<T>,
    most: usize,
}

impl<T> SlotTable<T> {
    pub fn new(most: usize) -> Self {
        SlotTable {
            slots: Slab::new(),
            most,
        }
    }

    /// So many from now on; those beyond stay until they are taken out.
    pub fn resize(&mut self, most: usize) {
        self.most = most;
    }

    pub fn over(&self) -> bool {
        self.slots.len() > self.most
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    pub fn full(&self) -> bool {
        self.slots.len() >= self.most
    }

    /// The key that the next one will have.
    pub fn next_key(&self) -> usize {
        self.slots.vacant_key()
    }

    pub fn insert(&mut self, one: T) -> usize {
        self.slots.insert(one)
    }

    pub fn get(&self, key: usize) -> Option<&T> {
        self.slots.get(key)
    }

    pub fn get_mut(&mut self, key: usize) -> Option<&mut T> {
        self.slots.get_mut(key)
    }

    pub fn take(&mut self, key: usize) -> Option<T> {
        self.slots.try_remove(key)
    }

    /// Keys of those that something holds for.
    pub fn keys(&self, holds: impl Fn(&T) -> bool) -> Vec<usize> {
        self.slots
            .iter()
            .filter(|(_, one)| holds(one))
            .map(|(key, _)| key)
            .collect()
    }

    /// Whoever has the least rank, of those that have one.
    pub fn least(&self, rank: impl Fn(&T) -> Option<f64>) -> Option<usize> {
        let ranked = self
            .slots
            .iter()
            .filter_map(|(key, one)| Some((key, rank(one)?)));
        ranked
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(key, _)| key)
    }
}

impl<T> Index<usize> for SlotTable<T> {
    type Output = T;

    fn index(&self, key: usize) -> &T {
        &self.slots[key]
    }
}

impl<T> IndexMut<usize> for SlotTable<T> {
    fn index_mut(&mut self, key: usize) -> &mut T {
        &mut self.slots[key]
    }
}
