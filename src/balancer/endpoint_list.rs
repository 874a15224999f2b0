//! Following the endpoint list: starts, restarts, drains and removals, and when to ask for it again.

use super::{Balancer, Timer};
use crate::state::Endpoint;
use crate::types::{Actions, EndpointId, EndpointState, EndpointUpdate};

pub(super) const INITIAL_CONCURRENCY_LIMIT: f64 = 5.0; // for all proxies together
const MIN_NOTIFIED_MS: f64 = 50.0;
const MAX_NOTIFIED_MS: f64 = 1200.0;
const MIN_BACKOFF_MS: f64 = 50.0;

impl Balancer {
    /// The endpoint list has been read: all of it, or what changed. A cached list may be stale.
    pub fn update_endpoints(
        &mut self,
        out: &mut dyn Actions,
        now_ms: f64,
        updates: &[EndpointUpdate],
        whole: bool,
        cached: bool,
    ) {
        self.now_ms = now_ms;
        // An endpoint that is missing from the whole list was removed unseen: it must get nothing more.
        let is_missing = |id: &EndpointId| !updates.iter().any(|update| update.endpoint == *id);
        for (_, endpoint) in self.endpoints.iter_mut().filter(|(id, _)| whole && is_missing(id)) {
            endpoint.state = EndpointState::Removed;
        }
        for update in updates {
            self.update_endpoint(update);
        }
        self.forget_removed();
        self.invalidate_solution();
        if cached {
            return self.ask_for_endpoints(out);
        }
        self.list_backoff_ms = 0.0;
    }

    fn update_endpoint(&mut self, update: &EndpointUpdate) {
        let (id, listed_ms) = (update.endpoint, update.started_at_ms);
        let known = self.endpoints.remove(&id);
        let mut endpoint = known.unwrap_or_else(|| self.started_endpoint(update.stable_hash, listed_ms));
        // Where clocks differ a new start may be listed as before the last one: any other than that is new.
        let is_earlier = listed_ms > 0.0 && listed_ms < endpoint.started_at_ms;
        let clocks_differ = self.settings.start_time_error_ms > 0.0;
        if listed_ms > endpoint.started_at_ms || (clocks_differ && is_earlier) {
            // A restarted process is warming up, whatever its old record or a report still on its way says.
            self.probes.remove(&id);
            endpoint.replace_process(self.started_endpoint(update.stable_hash, listed_ms));
        }
        endpoint.apply_update(update);
        self.endpoints.insert(id, endpoint);
    }

    fn started_endpoint(&self, stable_hash: u64, started_at_ms: f64) -> Endpoint {
        let error_ms = self.settings.start_time_error_ms;
        let mut endpoint = Endpoint::new(stable_hash, INITIAL_CONCURRENCY_LIMIT, self.now_ms);
        endpoint.started_at_ms = started_at_ms;
        // Where clocks differ an endpoint that is warming up may be listed as warm: it started before that.
        let latest_ms = (started_at_ms + error_ms).min(self.now_ms);
        endpoint.latest_start_ms = if error_ms > 0.0 { latest_ms } else { started_at_ms };
        // No start time, or one long past, is a warm endpoint's.
        if started_at_ms > 0.0 {
            endpoint.warm_at_ms = endpoint.latest_start_ms + self.settings.slow_start.duration_ms;
        }
        endpoint
    }

    /// An operator takes an endpoint out. It may be restarted meanwhile and listed anew: it stays out.
    pub fn disable_endpoint(&mut self, now_ms: f64, endpoint: EndpointId) {
        self.now_ms = now_ms;
        self.invalidate_solution();
        let unlisted = self.started_endpoint(0, 0.0);
        self.endpoints.entry(endpoint).or_insert(unlisted).disabled = true;
    }

    /// An operator brings an endpoint back, as started now: the list may tell late, or never, that it has.
    pub fn enable_endpoint(&mut self, now_ms: f64, endpoint: EndpointId) {
        self.now_ms = now_ms;
        self.invalidate_solution();
        let fresh = self.started_endpoint(0, now_ms);
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint).filter(|endpoint| endpoint.disabled) {
            endpoint.replace_process(fresh);
            endpoint.disabled = false;
        }
    }

    /// A cached list may be stale. Where changes come unasked, the whole list is asked for once.
    pub(super) fn ask_for_endpoints(&self, out: &mut dyn Actions) {
        if self.settings.watch_endpoints {
            out.watch_endpoints();
        } else {
            out.poll_endpoints();
        }
    }

    /// A call to the list failed or a watch broke off: ask again, soon, as changes may have been missed.
    pub fn discovery_failed(&mut self, out: &mut dyn Actions, now_ms: f64) {
        let longest_ms = self.settings.notified_within_ms().clamp(MIN_NOTIFIED_MS, MAX_NOTIFIED_MS) / 4.0;
        self.list_backoff_ms = (self.list_backoff_ms * 2.0).clamp(MIN_BACKOFF_MS.min(longest_ms), longest_ms);
        // Proxies that failed together should not call together.
        let at_ms = now_ms + self.list_backoff_ms * (0.5 + self.rng.0.rand_float());
        self.set_timer(out, at_ms, Timer::EndpointList);
    }
}
