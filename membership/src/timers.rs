//! The timers of SWIM, and the detection of pauses of this process.

use crate::swim::{SwimTimer, PROBE_INTERVAL_MS};
use std::collections::BTreeMap;

/// A timer that fires so late says that this process was paused: it is over a probe's time, in which answers waited.
const PAUSE_THRESHOLD_MS: f64 = 1.5 * PROBE_INTERVAL_MS;
const MICROSECONDS_PER_MS: f64 = 1000.0;

/// The order of timers: by time, and those of one time as they were set.
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

/// The timers that are set, by time.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BTreeMap<TimerKey, SwimTimer>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer.
    pub(crate) fn schedule(&mut self, now_ms: f64, after_ms: f64, timer: SwimTimer) {
        self.last_sequence += 1;
        let key = TimerKey {
            at_us: ((now_ms + after_ms).max(0.0) * MICROSECONDS_PER_MS) as u64,
            sequence: self.last_sequence,
        };
        self.timers.insert(key, timer);
    }

    /// When the first timer fires.
    pub(crate) fn first_at_ms(&self) -> Option<f64> {
        self.timers.first_key_value().map(|(key, _)| key.at_ms())
    }

    /// Takes a timer that is due.
    pub(crate) fn pop_due(&mut self, now_ms: f64) -> Option<SwimTimer> {
        let first = self.timers.first_entry()?;
        let due = first.key().at_us as f64 <= now_ms * MICROSECONDS_PER_MS;
        due.then(|| first.remove())
    }

    /// Postpones all timers by the length of a pause of this process, and returns it in milliseconds, if there was
    /// one. Otherwise a process that wakes to timers of long ago would declare others failed whose answers wait
    /// unread; its time stood still.
    pub(crate) fn postpone_by_pause(&mut self, now_ms: f64) -> Option<f64> {
        let late_ms = now_ms - self.first_at_ms()?;
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
