//! Work sent to cold endpoints within a sliding time window.

use std::collections::VecDeque;

/// Work sent to each cold endpoint by all proxies, in units of a request of mean work.
pub(super) struct ColdStartLoad {
    window_ms: f64,
    /// Time and amount of work, by endpoint.
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

    /// Records work sent to an endpoint. Returns the total sent to it within the window.
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

    /// Clears the records of an endpoint.
    pub(super) fn clear(&mut self, endpoint: usize) {
        self.sent[endpoint].clear();
    }
}
