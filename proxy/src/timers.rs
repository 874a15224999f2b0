//! The clock, and timers: each holds a callback that is handed the proxy once it is due.

use std::collections::BTreeMap;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds that only advances, whatever is done to the system's clock.
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
    /// A clock that starts with the system's time.
    pub fn new() -> Self {
        // A system that believes to be before 1970 has no time to go by; times only need to advance then.
        let started_unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |since_epoch| since_epoch.as_secs_f64() * 1000.0);
        Clock {
            started: Instant::now(),
            started_unix_ms,
        }
    }

    /// The time, in Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }
}

/// What is done when a timer is due.
pub type TimerCallback<P> = Box<dyn FnOnce(&mut P)>;

/// Names a timer. Timers are due in the order of their times, and those of one time in the order in which they
/// were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    /// Whole microseconds: unlike floating-point times these have a total order.
    due_us: u64,
    sequence: u64,
}

/// All timers of a proxy `P`.
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
    /// No timers.
    pub fn new() -> Self {
        Timers {
            callbacks: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Sets a timer that is due at a time, in Unix milliseconds.
    pub fn set(&mut self, at_ms: f64, callback: impl FnOnce(&mut P) + 'static) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey {
            due_us: (at_ms.max(0.0) * 1000.0) as u64,
            sequence: self.last_sequence,
        };
        self.callbacks.insert(key, Box::new(callback));
        key
    }

    /// Cancels a timer, if there is one and it has not been due yet.
    pub fn cancel(&mut self, key: Option<TimerKey>) {
        if let Some(key) = key {
            self.callbacks.remove(&key);
        }
    }

    /// Takes the first timer that is due by `now_ms`.
    pub fn take_due(&mut self, now_ms: f64) -> Option<TimerCallback<P>> {
        let first = self.callbacks.first_entry()?;
        let is_due = first.key().due_us as f64 <= now_ms * 1000.0;
        is_due.then(|| first.remove())
    }

    /// When the first timer is due, in Unix milliseconds.
    pub fn next_due_ms(&self) -> Option<f64> {
        self.callbacks
            .first_key_value()
            .map(|(key, _)| key.due_us as f64 / 1000.0)
    }
}
