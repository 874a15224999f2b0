//! Applies updates of the endpoint list, and requests the list when it may be stale.

use super::{Balancer, Timer};
use crate::state::Endpoint;
use crate::types::{Actions, EndpointId, EndpointState, EndpointUpdate};

pub(super) const INITIAL_CONCURRENCY_LIMIT: f64 = 5.0; // for all proxies together; neither starves nor floods
const MIN_NOTIFICATION_MS: f64 = 50.0;
const MAX_NOTIFICATION_MS: f64 = 1200.0;
const MIN_BACKOFF_MS: f64 = 50.0;

impl Balancer {
    /// Applies the full endpoint list or changes to it. A cached list may be stale and is requested again.
    pub fn update_endpoints(
        &mut self,
        actions: &mut dyn Actions,
        now_ms: f64,
        updates: &[EndpointUpdate],
        full: bool,
        cached: bool,
    ) {
        self.now_ms = now_ms;
        // Endpoints missing from the full list were removed.
        let is_missing = |id: &EndpointId| !updates.iter().any(|update| update.endpoint == *id);
        for (_, endpoint) in self.endpoints.iter_mut().filter(|(id, _)| full && is_missing(id)) {
            endpoint.state = EndpointState::Removed;
        }
        for update in updates {
            self.update_endpoint(update);
        }
        self.purge_removed_endpoints();
        self.invalidate_solution();
        if cached {
            return self.request_endpoint_list(actions);
        }
        self.list_backoff_ms = 0.0;
    }

    fn update_endpoint(&mut self, update: &EndpointUpdate) {
        let (id, listed_start_ms) = (update.endpoint, update.started_at_ms);
        let known = self.endpoints.remove(&id);
        let mut endpoint = known.unwrap_or_else(|| self.new_endpoint(update.stable_hash, listed_start_ms));
        // With clock skew, a restart may be listed with an earlier start time than the last one.
        let starts_earlier = listed_start_ms > 0.0 && listed_start_ms < endpoint.started_at_ms;
        let has_clock_skew = self.settings.start_time_error_ms > 0.0;
        if listed_start_ms > endpoint.started_at_ms || (has_clock_skew && starts_earlier) {
            // The record and any load report in flight are of the process before the restart.
            self.pending_probes.remove(&id);
            endpoint.replace_process(self.new_endpoint(update.stable_hash, listed_start_ms));
        }
        endpoint.apply_update(update);
        self.endpoints.insert(id, endpoint);
    }

    fn new_endpoint(&self, stable_hash: u64, started_at_ms: f64) -> Endpoint {
        let skew_ms = self.settings.start_time_error_ms;
        let mut endpoint = Endpoint::new(stable_hash, INITIAL_CONCURRENCY_LIMIT, self.now_ms);
        endpoint.started_at_ms = started_at_ms;
        // With clock skew, the endpoint may have started later than listed.
        let latest_ms = (started_at_ms + skew_ms).min(self.now_ms);
        endpoint.latest_start_ms = if skew_ms > 0.0 { latest_ms } else { started_at_ms };
        // An endpoint without a start time counts as warm.
        if started_at_ms > 0.0 {
            endpoint.warm_at_ms = endpoint.latest_start_ms + self.settings.slow_start.duration_ms;
        }
        endpoint
    }

    /// Disables an endpoint on behalf of an operator. It stays disabled after a restart or a new listing.
    pub fn disable_endpoint(&mut self, now_ms: f64, endpoint: EndpointId) {
        self.now_ms = now_ms;
        self.invalidate_solution();
        let unlisted = self.new_endpoint(0, 0.0);
        self.endpoints.entry(endpoint).or_insert(unlisted).disabled = true;
    }

    /// Enables a disabled endpoint, in slow start as the list may report a restart late or not at all.
    pub fn enable_endpoint(&mut self, now_ms: f64, endpoint: EndpointId) {
        self.now_ms = now_ms;
        self.invalidate_solution();
        let fresh = self.new_endpoint(0, now_ms);
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint).filter(|endpoint| endpoint.disabled) {
            endpoint.replace_process(fresh);
            endpoint.disabled = false;
        }
    }

    /// Requests the endpoint list: opens a watch if settings require one, else polls the full list once.
    pub(super) fn request_endpoint_list(&self, actions: &mut dyn Actions) {
        if self.settings.watch_endpoints {
            actions.watch_endpoints();
        } else {
            actions.poll_endpoints();
        }
    }

    /// Schedules a new request for the list after a call or a watch failed, as changes may have been missed.
    pub fn discovery_failed(&mut self, actions: &mut dyn Actions, now_ms: f64) {
        let max_ms = self.settings.notified_within_ms().clamp(MIN_NOTIFICATION_MS, MAX_NOTIFICATION_MS) / 4.0;
        self.list_backoff_ms = (self.list_backoff_ms * 2.0).clamp(MIN_BACKOFF_MS.min(max_ms), max_ms);
        // Jitter keeps proxies that failed at the same time from retrying at the same time.
        let at_ms = now_ms + self.list_backoff_ms * (0.5 + self.rng.0.rand_float());
        self.set_timer(actions, at_ms, Timer::EndpointList);
    }
}
