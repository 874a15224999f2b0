//! The clock, and timers with callbacks.

use std::collections::BTreeMap;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic Unix time in milliseconds, unaffected by changes of the system clock after its creation.
pub struct Clock {
    started: Instant,
    started_unix_ms: f64,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    /// Creates a clock that starts at the system time.
    pub fn new() -> Self {
        // A system clock set before 1970 starts at 0.
        let started_unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |since_epoch| since_epoch.as_secs_f64() * 1000.0);
        Clock {
            started: Instant::now(),
            started_unix_ms,
        }
    }

    /// The current time in Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }
}

/// The action of a timer.
pub type TimerCallback<P> = Box<dyn FnOnce(&mut P)>;

/// Identifies a timer. Timers fire in order of time, and those due at the same time in the order they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    /// Whole microseconds, which unlike floating-point numbers have a total order.
    due_us: u64,
    sequence: u64,
}

/// Pending timers whose callbacks receive a `P`.
pub struct Timers<P> {
    callbacks: BTreeMap<TimerKey, TimerCallback<P>>,
    last_sequence: u64,
}

impl<P> Default for Timers<P> {
    fn default() -> Self {
        Timers::new()
    }
}

impl<P> Timers<P> {
    /// Creates an empty set of timers.
    pub fn new() -> Self {
        Timers {
            callbacks: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Sets a timer for a time in Unix milliseconds.
    pub fn set(&mut self, at_ms: f64, callback: impl FnOnce(&mut P) + 'static) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey {
            due_us: (at_ms.max(0.0) * 1000.0) as u64,
            sequence: self.last_sequence,
        };
        self.callbacks.insert(key, Box::new(callback));
        key
    }

    /// Cancels a timer, if given and still pending.
    pub fn cancel(&mut self, key: Option<TimerKey>) {
        if let Some(key) = key {
            self.callbacks.remove(&key);
        }
    }

    /// Removes the first timer due by `now_ms` and returns its callback.
    pub fn take_due(&mut self, now_ms: f64) -> Option<TimerCallback<P>> {
        let first = self.callbacks.first_entry()?;
        let is_due = first.key().due_us as f64 <= now_ms * 1000.0;
        is_due.then(|| first.remove())
    }

    /// When the next timer is due, in Unix milliseconds.
    pub fn next_due_ms(&self) -> Option<f64> {
        self.callbacks
            .first_key_value()
            .map(|(key, _)| key.due_us as f64 / 1000.0)
    }
}
