//! Attempts, retries and hedged requests, up to the final response.

use super::deduplication::{must_refuse_repeats, update_send_deadlines};
use super::{Balancer, Timer};
use crate::state::{Attempt, AttemptKey, AttemptTiming, PendingAttempt, Request};
use crate::types::{Actions, AttemptOutcome, AttemptResult, EndpointId, RequestId};
use crate::types::{DeduplicationScope, Idempotency};

const RATE_TIME_CONSTANT_MS: f64 = 1000.0;
const PROBED_RATE_TIME_CONSTANT_MS: f64 = 10_000.0; // with load probes, for proxies of little traffic
const MAX_HEDGING_PROXIES: f64 = 3.0; // per endpoint; with more, each has only an attempt or two of its limit
const RETRY_AFTER: f64 = 0.25; // as a fraction of the mean latency; most work in flight has ended by then

impl Balancer {
    /// Starts the next attempt or ends the request. Requests don't queue, as this would prolong an overload.
    pub(super) fn continue_request(&mut self, actions: &mut dyn Actions, id: RequestId) {
        self.solve();
        if !self.try_attempt(actions, id) {
            self.reject_or_fail(actions, id);
        }
    }

    fn try_attempt(&mut self, actions: &mut dyn Actions, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let is_exhausted = request.bound_to_attempt || request.attempts.len() as f64 >= request.max_attempts;
        if is_exhausted || !self.admits(id) {
            return false;
        }
        let candidates = self.candidates(id);
        if candidates.is_empty() {
            return false;
        }
        let candidates = self.restrict_candidates(id, candidates);
        let endpoint = self.choose_endpoint(&candidates);
        self.start_attempt(actions, id, endpoint);
        true
    }

    fn start_attempt(&mut self, actions: &mut dyn Actions, id: RequestId, endpoint_id: EndpointId) {
        // The rate counts attempts, not requests, as rejected requests add no load to endpoints.
        let by_probes = self.settings.load_by_probes;
        let time_constant_ms = if by_probes { PROBED_RATE_TIME_CONSTANT_MS } else { RATE_TIME_CONSTANT_MS };
        self.attempt_rate.record(self.now_ms, time_constant_ms);
        let request = self.requests.get_mut(&id).expect("the request is open");
        let endpoint = self.endpoints.get_mut(&endpoint_id).expect("candidates are known endpoints");
        let class_latency_ms = self.classes[request.class.index()].mean_latency_ms;
        // Costs are in requests of mean cost; a cheap request still counts as one.
        endpoint.slow_start_budget.take((class_latency_ms / self.mean_latency_ms).max(1.0));
        let queued_latency_ms = endpoint.expected_latency_ms * class_latency_ms / self.mean_latency_ms;
        let observed_latency_ms = class_latency_ms * endpoint.statistics.relative_latency.unwrap_or(1.0);
        let tail_latency_ms = queued_latency_ms.max(observed_latency_ms) * self.tail_multiple;
        let latency_objective_ms = request.settings.latency_objective_ms;
        let sent_at_ms = self.now_ms;
        let timing = AttemptTiming { sent_at_ms, class_latency_ms, latency_objective_ms, tail_latency_ms };
        let key = request.add_attempt(id, endpoint_id, endpoint.location(), timing);
        endpoint.add_attempt(key, timing);
        self.pending_attempts
            .insert(key, PendingAttempt { endpoint: endpoint_id, class: request.class, timing });
        let timeout_ms = request.deadline_ms - self.now_ms;
        update_send_deadlines(actions, id, request);
        actions.start_attempt(id, endpoint_id, timeout_ms);
        // An overdue attempt is hedged; the delay grows with utilization, to limit the additional load.
        let retryable = request.settings.idempotency != Idempotency::NotIdempotent;
        let few_proxies = self.proxies_per_endpoint * self.process_share < MAX_HEDGING_PROXIES;
        if self.settings.hedging && retryable && few_proxies && tail_latency_ms < timeout_ms {
            let at_ms = self.now_ms + tail_latency_ms * (1.0 + self.utilization());
            self.set_timer(actions, at_ms, Timer::Hedge { key, sent_at_ms });
        }
    }

    /// Hedges an attempt if it is the latest one and still in flight.
    pub(super) fn hedge(&mut self, actions: &mut dyn Actions, (id, number): AttemptKey, sent_at_ms: f64) {
        let is_awaited = |attempt: &Attempt| attempt.in_flight && attempt.timing.sent_at_ms == sent_at_ms;
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts.len() == number + 1 && is_awaited(&request.attempts[number]) {
            self.try_attempt(actions, id);
        }
    }

    /// Handles the result of an attempt.
    pub fn attempt_ended(&mut self, actions: &mut dyn Actions, now_ms: f64, result: &AttemptResult) {
        self.now_ms = now_ms;
        let key = (result.request, result.attempt);
        let Some(pending) = self.pending_attempts.remove(&key) else { return };
        self.learn(&pending, result);
        if let Some(endpoint) = self.endpoints.get_mut(&pending.endpoint) {
            endpoint.remove_in_flight(&key);
            if self.settings.load_by_probes {
                // An ended attempt was already included in the report.
                endpoint.sent_since_report = endpoint.own_in_flight();
            }
        }
        self.update_report(pending.endpoint, result.load);
        let Some(request) = self.requests.get_mut(&result.request) else { return };
        request.end_attempt(result.attempt, result.outcome);
        if result.request_closed || result.outcome == AttemptOutcome::Succeeded {
            self.close(actions, result.request);
        } else if request.has_attempt_in_flight() {
            update_send_deadlines(actions, result.request, request);
        } else {
            self.continue_request(actions, result.request);
        }
    }

    /// Ends a request without success: rejects it if a retry by the client is safe, else fails it.
    pub(super) fn reject_or_fail(&mut self, actions: &mut dyn Actions, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (idempotency, scope) = (request.settings.idempotency, request.settings.deduplication_scope);
        let global_key = idempotency == Idempotency::IdempotentWithKey && scope == DeduplicationScope::Global;
        if idempotency == Idempotency::Idempotent || global_key || !request.may_have_executed() {
            actions.reject(id, (RETRY_AFTER * self.mean_latency_ms).min(self.settings.max_retry_after_ms));
        } else {
            actions.fail(id);
        }
        self.close(actions, id);
    }

    /// Closes a request that needs no response any more, as when its client has disconnected.
    pub fn client_left(&mut self, actions: &mut dyn Actions, now_ms: f64, request: RequestId) {
        self.now_ms = now_ms;
        self.close(actions, request);
    }

    /// Removes a request and cancels its attempts in flight.
    fn close(&mut self, actions: &mut dyn Actions, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        if must_refuse_repeats(&request) {
            actions.refuse_repeats(id);
        }
        let in_flight = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight);
        for (number, _) in in_flight.filter(|_| self.settings.cancellation) {
            actions.cancel(id, number);
        }
    }

    /// Ends a request at its abandonment time, unless a body is being streamed.
    pub(super) fn abandon_request(&mut self, actions: &mut dyn Actions, id: RequestId, at_ms: f64) {
        let is_due = |request: &Request| request.abandon_at_ms == at_ms && !request.bound_to_attempt;
        if self.requests.get(&id).is_some_and(is_due) {
            self.reject_or_fail(actions, id);
        }
    }
}
