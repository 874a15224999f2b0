//! Ids of ended requests that must not be executed again.

use super::RequestIdHash;
use std::collections::{HashSet, VecDeque};

/// How long an id is refused, in milliseconds: longer than any client waits before it repeats a request.
const RETENTION_MS: f64 = 600_000.0;
/// Limit on the ids, the oldest of which go first: a minute of three hundred requests a second, in about one megabyte.
const MAX_IDS: usize = 16_384;

/// The latest ids, in the order in which they were refused.
#[derive(Default)]
pub(super) struct RefusedIds {
    ids: HashSet<RequestIdHash>,
    /// Each id with the time until which it is refused.
    queue: VecDeque<(RequestIdHash, f64)>,
}

impl RefusedIds {
    pub(super) fn contains(&self, id: RequestIdHash) -> bool {
        self.ids.contains(&id)
    }

    /// Adds an id, and removes those that are too old or too many.
    pub(super) fn insert(&mut self, id: RequestIdHash, now_ms: f64) {
        if self.ids.insert(id) {
            self.queue.push_back((id, now_ms + RETENTION_MS));
        }
        while self.has_expired(now_ms) {
            if let Some((oldest, _)) = self.queue.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }

    fn has_expired(&self, now_ms: f64) -> bool {
        let is_past = |(_, until_ms): &(RequestIdHash, f64)| *until_ms <= now_ms;
        self.queue.len() > MAX_IDS || self.queue.front().is_some_and(is_past)
    }

    /// All ids, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = RequestIdHash> + '_ {
        self.queue.iter().map(|(id, _)| *id)
    }
}
