//! Entries ordered by the time at which they are due.

use std::collections::BTreeMap;

const MICROSECONDS_PER_MS: f64 = 1000.0;

/// A queue by due time. Entries due in the same microsecond come out in the order in which they went in.
pub(crate) struct DueQueue<T> {
    entries: BTreeMap<(u64, u64), T>,
    inserted: u64,
}

impl<T> Default for DueQueue<T> {
    fn default() -> Self {
        DueQueue {
            entries: BTreeMap::new(),
            inserted: 0,
        }
    }
}

impl<T> DueQueue<T> {
    pub(crate) fn insert(&mut self, due_ms: f64, entry: T) {
        self.inserted += 1;
        let due_us = (due_ms * MICROSECONDS_PER_MS) as u64;
        self.entries.insert((due_us, self.inserted), entry);
    }

    /// Takes out the first entry that is due, if one is.
    pub(crate) fn pop_due(&mut self, now_ms: f64) -> Option<T> {
        let first = self.entries.first_entry()?;
        let (due_us, _) = *first.key();
        if due_us as f64 <= now_ms * MICROSECONDS_PER_MS {
            Some(first.remove())
        } else {
            None
        }
    }

    /// When the first entry is due.
    pub(crate) fn next_due_ms(&self) -> Option<f64> {
        let ((due_us, _), _) = self.entries.first_key_value()?;
        Some(*due_us as f64 / MICROSECONDS_PER_MS)
    }
}
