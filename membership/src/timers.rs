//! SWIM timers, and detection of process pauses.

use crate::swim::{SwimTimer, PROBE_INTERVAL_MS};
use std::collections::BTreeMap;

/// A timer that is this late indicates a process pause: responses have waited unread for longer than a probe takes.
const PAUSE_THRESHOLD_MS: f64 = 1.5 * PROBE_INTERVAL_MS;
const MICROSECONDS_PER_MS: f64 = 1000.0;

/// Orders timers by time, and timers of the same time by insertion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    at_us: u64,
    sequence: u64,
}

impl TimerKey {
    fn at_ms(self) -> f64 {
        self.at_us as f64 / MICROSECONDS_PER_MS
    }
}

/// The pending timers in order of time.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BTreeMap<TimerKey, SwimTimer>,
    last_sequence: u64,
}

impl TimerQueue {
    pub(crate) fn schedule(&mut self, now_ms: f64, after_ms: f64, timer: SwimTimer) {
        self.last_sequence += 1;
        let key = TimerKey {
            at_us: ((now_ms + after_ms).max(0.0) * MICROSECONDS_PER_MS) as u64,
            sequence: self.last_sequence,
        };
        self.timers.insert(key, timer);
    }

    /// When the next timer is due.
    pub(crate) fn next_at_ms(&self) -> Option<f64> {
        self.timers.first_key_value().map(|(key, _)| key.at_ms())
    }

    /// Removes and returns the next timer if it is due.
    pub(crate) fn pop_due(&mut self, now_ms: f64) -> Option<SwimTimer> {
        let next = self.timers.first_entry()?;
        let due = next.key().at_us as f64 <= now_ms * MICROSECONDS_PER_MS;
        due.then(|| next.remove())
    }

    /// Detects a process pause, postpones all timers by its length, and returns it in milliseconds. Otherwise overdue
    /// timers would declare members failed whose responses are still in the socket buffer.
    pub(crate) fn postpone_by_pause(&mut self, now_ms: f64) -> Option<f64> {
        let late_ms = now_ms - self.next_at_ms()?;
        if late_ms <= PAUSE_THRESHOLD_MS {
            return None;
        }
        let late_us = (late_ms * MICROSECONDS_PER_MS) as u64;
        let postponed = |(key, timer): (TimerKey, SwimTimer)| {
            let key = TimerKey {
                at_us: key.at_us + late_us,
                ..key
            };
            (key, timer)
        };
        self.timers = std::mem::take(&mut self.timers)
            .into_iter()
            .map(postponed)
            .collect();
        Some(late_ms)
    }
}
