//! Admission: how requests come in, the quotas of tenants, and which requests are shed under overload.

use super::{Balancer, Timer};
use crate::state::Request;
use crate::types::{Actions, Idempotency, NewRequest, RequestId};
use std::sync::Arc;

const SAVED_QUOTA_MS: f64 = 2000.0; // unused quota can be saved up for so long, as requests come unevenly,
pub(super) const MIN_SAVED_REQUESTS: f64 = 3.0; // and so many requests at least, for a small part of a quota
const OPEN_TO_ALL: f64 = 0.6; // utilization up to which requests of no priority are let in
const KEPT_FOR_PRIORITY: f64 = 0.4;
const SHEDDING_EXPONENT: i32 = -4; // a lower one lets endpoints jam, a higher one makes their load swing

impl Balancer {
    /// A request has come in; it will get exactly one final answer.
    pub fn request_arrived(&mut self, out: &mut dyn Actions, now_ms: f64, arrival: &NewRequest) {
        self.now_ms = now_ms;
        let (id, request) = (arrival.request, self.new_request(arrival));
        let abandon_at_ms = request.abandon_at_ms;
        self.requests.insert(id, request);
        self.solve();
        if abandon_at_ms < f64::MAX {
            self.set_timer(out, abandon_at_ms, Timer::Abandon { request: id, at_ms: abandon_at_ms });
        }
        if !self.probe_candidates(out, id) {
            self.proceed(out, id);
        }
    }

    fn new_request(&mut self, arrival: &NewRequest) -> Request {
        let priority = self.priority(arrival);
        let settings = Arc::clone(&self.classes[arrival.class.index()].settings);
        // Responses that slow clients read keep others from theirs. Where a late one is worth nothing and a
        // repeat is harmless, the request ends at its latency objective and its place is free.
        let may_end = settings.late_weight <= 0.0 && settings.idempotency == Idempotency::Idempotent;
        let ends_early = self.settings.few_buffered_responses && may_end;
        let objective_at_ms = self.now_ms + settings.latency_objective_ms;
        Request {
            class: arrival.class,
            // Where clocks differ a request with time left may look expired. Its sender keeps the real end.
            deadline_ms: self.now_ms + arrival.ttl_ms + self.settings.deadline_margin_ms,
            abandon_at_ms: if ends_early { objective_at_ms } else { f64::MAX },
            priority,
            affinity_key: arrival.key.filter(|_| self.settings.key_affinity),
            settings,
            max_attempts: self.settings.max_attempts,
            ..Request::default()
        }
    }

    /// A request's priority from 0 to 1: the weight of its class over the highest, less what is over a quota.
    pub(super) fn priority(&mut self, arrival: &NewRequest) -> f64 {
        let weights = self.classes.iter().map(|class| class.settings.priority_weight);
        let highest = weights.fold(f64::MIN_POSITIVE, f64::max);
        let priority = self.classes[arrival.class.index()].settings.priority_weight / highest;
        let tenant = arrival.tenant.and_then(|tenant| self.tenants.get_mut(tenant.index()));
        let Some(tenant) = tenant else { return priority };
        let rate = self.process_share * tenant.quota_per_ms / self.proxy_count;
        let capacity = (tenant.quota_per_ms * SAVED_QUOTA_MS / self.proxy_count).max(MIN_SAVED_REQUESTS);
        tenant.bucket.refill(self.now_ms, rate, capacity);
        // A client's retry belongs to its first request and is not counted again.
        let price = if arrival.client_retry { 0.0 } else { 1.0 };
        let weight = if tenant.bucket.try_take(price) { 1.0 } else { self.settings.over_quota_weight };
        priority * weight
    }

    /// Whether a request may have an attempt. Under overload the last of the capacity is kept for those of
    /// high priority; one that may have run is let in, as that work would be lost.
    pub(super) fn admits(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let open = OPEN_TO_ALL + KEPT_FOR_PRIORITY * request.priority.sqrt();
        let overload = self.admission_utilization() / open;
        if overload <= 1.0 || request.may_have_executed() {
            return true;
        }
        // Reports may be old. Were all requests shed, the fleet would empty, then jam: chance lets some in.
        self.settings.load_by_probes && self.rng.0.rand_float() < overload.powi(SHEDDING_EXPONENT)
    }
}
