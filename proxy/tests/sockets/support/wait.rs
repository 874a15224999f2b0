//! Waiting, with a limit.

use std::thread;
use std::time::{Duration, Instant};

/// The longest that a test waits for a condition, or for bytes on a connection.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Waits until a condition holds, and panics with `what` after [`TEST_TIMEOUT`].
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TEST_TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sleeps for some milliseconds.
pub(crate) fn sleep_ms(duration_ms: u64) {
    thread::sleep(Duration::from_millis(duration_ms));
}
