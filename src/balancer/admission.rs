//! Admission control: the arrival of requests, tenant quotas, and load shedding.

use super::{Balancer, Timer};
use crate::state::Request;
use crate::types::{Actions, Idempotency, NewRequest, RequestId};
use std::sync::Arc;

const QUOTA_BURST_MS: f64 = 2000.0; // unused quota accrues for this time, to allow for bursts
pub(super) const MIN_QUOTA_BURST: f64 = 3.0; // requests; the least burst of a small quota
const UNRESERVED_UTILIZATION: f64 = 0.6; // up to this utilization all requests are admitted
const PRIORITY_RESERVE: f64 = 0.4; // utilization reserved for requests of high priority
const SHEDDING_EXPONENT: i32 = -4; // a smaller magnitude allows overload, a larger one makes load oscillate

impl Balancer {
    /// Handles a new request, which will get exactly one final response.
    pub fn request_arrived(&mut self, actions: &mut dyn Actions, now_ms: f64, arrival: &NewRequest) {
        self.now_ms = now_ms;
        let (id, request) = (arrival.request, self.new_request(arrival));
        let abandon_at_ms = request.abandon_at_ms;
        self.requests.insert(id, request);
        self.solve();
        if abandon_at_ms < f64::MAX {
            self.set_timer(actions, abandon_at_ms, Timer::Abandon { request: id, at_ms: abandon_at_ms });
        }
        if !self.probe_candidates(actions, id) {
            self.continue_request(actions, id);
        }
    }

    fn new_request(&mut self, arrival: &NewRequest) -> Request {
        let priority = self.priority(arrival);
        let settings = Arc::clone(&self.classes[arrival.class.index()].settings);
        // With limited response buffers, slow readers block other requests. An idempotent request whose late
        // response has no value is abandoned at its latency objective, to free its buffer.
        let may_abandon = settings.late_weight <= 0.0 && settings.idempotency == Idempotency::Idempotent;
        let abandons_late = self.settings.limited_response_buffers && may_abandon;
        let objective_at_ms = self.now_ms + settings.latency_objective_ms;
        Request {
            class: arrival.class,
            // The margin covers clock skew; the client enforces the actual deadline.
            deadline_ms: self.now_ms + arrival.ttl_ms + self.settings.deadline_margin_ms,
            abandon_at_ms: if abandons_late { objective_at_ms } else { f64::MAX },
            priority,
            affinity_key: arrival.affinity_key.filter(|_| self.settings.key_affinity),
            settings,
            max_attempts: self.settings.max_attempts,
            ..Request::default()
        }
    }

    /// The priority from 0 to 1: the relative weight of the class, reduced if the tenant is over its quota.
    pub(super) fn priority(&mut self, arrival: &NewRequest) -> f64 {
        let weights = self.classes.iter().map(|class| class.settings.priority_weight);
        let highest = weights.fold(f64::MIN_POSITIVE, f64::max);
        let priority = self.classes[arrival.class.index()].settings.priority_weight / highest;
        let tenant = arrival.tenant.and_then(|tenant| self.tenants.get_mut(tenant.index()));
        let Some(tenant) = tenant else { return priority };
        let rate = self.process_share * tenant.quota_per_ms / self.proxy_count;
        let capacity = (tenant.quota_per_ms * QUOTA_BURST_MS / self.proxy_count).max(MIN_QUOTA_BURST);
        tenant.bucket.refill(self.now_ms, rate, capacity);
        // A client's retry was counted with its first request.
        let cost = if arrival.client_retry { 0.0 } else { 1.0 };
        let weight = if tenant.bucket.try_take(cost) { 1.0 } else { self.settings.over_quota_weight };
        priority * weight
    }

    /// Whether a request may start an attempt. Under overload, capacity is reserved for high priorities. A
    /// request that may have executed is admitted, as its work would be wasted otherwise.
    pub(super) fn admits(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let utilization_limit = UNRESERVED_UTILIZATION + PRIORITY_RESERVE * request.priority.sqrt();
        let overload = self.admission_utilization() / utilization_limit;
        if overload <= 1.0 || request.may_have_executed() {
            return true;
        }
        // Reports may be stale: shedding all requests would make the load oscillate, so some are admitted.
        self.settings.load_by_probes && self.rng.0.rand_float() < overload.powi(SHEDDING_EXPONENT)
    }
}
