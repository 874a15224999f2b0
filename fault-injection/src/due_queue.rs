//! A queue of entries ordered by due time.

use std::collections::BTreeMap;

const MICROSECONDS_PER_MS: f64 = 1000.0;

/// A priority queue by due time. Entries due in the same microsecond keep their insertion order.
pub(crate) struct DueQueue<T> {
    entries: BTreeMap<(u64, u64), T>,
    last_sequence: u64,
}

impl<T> Default for DueQueue<T> {
    fn default() -> Self {
        DueQueue {
            entries: BTreeMap::new(),
            last_sequence: 0,
        }
    }
}

impl<T> DueQueue<T> {
    pub(crate) fn insert(&mut self, due_ms: f64, entry: T) {
        self.last_sequence += 1;
        let due_us = (due_ms * MICROSECONDS_PER_MS) as u64;
        self.entries.insert((due_us, self.last_sequence), entry);
    }

    /// Removes the first entry if it is due.
    pub(crate) fn pop_due(&mut self, now_ms: f64) -> Option<T> {
        let first = self.entries.first_entry()?;
        let (due_us, _) = *first.key();
        if due_us as f64 <= now_ms * MICROSECONDS_PER_MS {
            Some(first.remove())
        } else {
            None
        }
    }

    pub(crate) fn next_due_ms(&self) -> Option<f64> {
        let ((due_us, _), _) = self.entries.first_key_value()?;
        Some(*due_us as f64 / MICROSECONDS_PER_MS)
    }
}
