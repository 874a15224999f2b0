//! The time, and what is due when: each due time holds a closure that is handed the proxy.

use std::collections::BTreeMap;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix milliseconds that only advance.
pub struct Clock {
    from: Instant,
    unix: f64,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |d| d.as_secs_f64() * 1000.0);
        Clock {
            from: Instant::now(),
            unix,
        }
    }

    pub fn now(&self) -> f64 {
        self.unix + self.from.elapsed().as_secs_f64() * 1000.0
    }
}

pub type TimerCallback<P> = Box<dyn FnOnce(&mut P)>;
/// Microseconds and a running number: unlike floating-point times these have an order.
pub type TimerKey = (u64, u64);

pub struct Timers<P> {
    due: BTreeMap<TimerKey, TimerCallback<P>>,
    next: u64,
}

impl<P> Default for Timers<P> {
    fn default() -> Self {
        Timers::new()
    }
}

impl<P> Timers<P> {
    pub fn new() -> Self {
        Timers {
            due: BTreeMap::new(),
            next: 0,
        }
    }

    pub fn set(&mut self, at: f64, due: impl FnOnce(&mut P) + 'static) -> TimerKey {
        self.next += 1;
        let key = ((at.max(0.0) * 1000.0) as u64, self.next);
        self.due.insert(key, Box::new(due));
        key
    }

    pub fn unset(&mut self, key: Option<TimerKey>) {
        if let Some(key) = key {
            self.due.remove(&key);
        }
    }

    pub fn take_due(&mut self, now: f64) -> Option<TimerCallback<P>> {
        let first = self.due.first_entry()?;
        (first.key().0 as f64 <= now * 1000.0).then(|| first.remove())
    }

    pub fn first(&self) -> Option<f64> {
        self.due
            .first_key_value()
            .map(|(key, _)| key.0 as f64 / 1000.0)
    }
}
