//! Work sent to endpoints that are still cold, within a sliding window.

use std::collections::VecDeque;

/// The work sent to each cold endpoint by all proxies, in requests of mean work.
pub(super) struct ColdStartLoad {
    window_ms: f64,
    /// By endpoint: when, and how much.
    sent: Vec<VecDeque<(f64, f64)>>,
}

impl ColdStartLoad {
    pub(super) fn new(window_ms: f64) -> Self {
        ColdStartLoad {
            window_ms,
            sent: Vec::new(),
        }
    }

    pub(super) fn window_ms(&self) -> f64 {
        self.window_ms
    }

    /// Adds work that is sent to an endpoint. Returns what was sent to it within the window.
    pub(super) fn add(&mut self, now: f64, endpoint: usize, work: f64) -> f64 {
        if self.sent.len() <= endpoint {
            self.sent.resize_with(endpoint + 1, VecDeque::new);
        }
        let window_ms = self.window_ms;
        let window = &mut self.sent[endpoint];
        window.push_back((now, work));
        while window.front().is_some_and(|(at, _)| now - at > window_ms) {
            window.pop_front();
        }
        window.iter().map(|(_, work)| work).sum()
    }

    /// Forgets what was sent to an endpoint that has died.
    pub(super) fn clear(&mut self, endpoint: usize) {
        self.sent[endpoint].clear();
    }
}
