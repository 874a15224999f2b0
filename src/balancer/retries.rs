//! Attempts, retries and hedged requests, up to the one final answer.

use super::{Balancer, Timer};
use crate::state::{Attempt, AttemptKey, AttemptTiming, PendingAttempt, Request};
use crate::types::{Actions, AttemptOutcome, AttemptResult, EndpointId, RequestId};
use crate::types::{DeduplicationScope, Idempotency};

const ATTEMPT_RATE_OVER_MS: f64 = 1000.0;
const QUIET_ATTEMPT_RATE_OVER_MS: f64 = 10_000.0; // tells a quiet proxy's part, where load is probed
const MAX_HEDGING_PROXIES: f64 = 3.0; // hedges of more would take each one's attempt or two of a limit
const RETRY_AFTER_PART: f64 = 0.25; // of the mean latency, after which most of the work in flight is done

impl Balancer {
    /// The next attempt, or the final answer: to wait would feed a crowd.
    pub(super) fn proceed(&mut self, out: &mut dyn Actions, id: RequestId) {
        self.solve();
        if !self.try_attempt(out, id) {
            self.give_up(out, id);
        }
    }

    fn try_attempt(&mut self, out: &mut dyn Actions, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let is_last = request.bound_to_attempt || request.attempts.len() as f64 >= request.max_attempts;
        if is_last || !self.admits(id) {
            return false;
        }
        let candidates = self.candidates(id);
        if candidates.is_empty() {
            return false;
        }
        let candidates = self.narrow(id, candidates);
        let endpoint = self.draw(&candidates);
        self.start_attempt(out, id, endpoint);
        true
    }

    fn start_attempt(&mut self, out: &mut dyn Actions, id: RequestId, endpoint_id: EndpointId) {
        // Attempts are counted, not requests: crowds of retries that are rejected reach no endpoint.
        let by_probes = self.settings.load_by_probes;
        let rate_over_ms = if by_probes { QUIET_ATTEMPT_RATE_OVER_MS } else { ATTEMPT_RATE_OVER_MS };
        self.attempt_rate.record(self.now_ms, rate_over_ms);
        let request = self.requests.get_mut(&id).expect("the caller holds it");
        let endpoint = self.endpoints.get_mut(&endpoint_id).expect("it was drawn from those known");
        let class_latency_ms = self.classes[request.class.index()].mean_latency_ms;
        // A heavy request costs what it is of an ordinary one; a light one still is a call.
        endpoint.slow_start_budget.take((class_latency_ms / self.mean_latency_ms).max(1.0));
        let queued_ms = endpoint.expected_latency_ms * class_latency_ms / self.mean_latency_ms;
        let alone_ms = class_latency_ms * endpoint.statistics.relative_latency.unwrap_or(1.0);
        let tail_latency_ms = queued_ms.max(alone_ms) * self.tail_multiple;
        let latency_objective_ms = request.settings.latency_objective_ms;
        let sent_at_ms = self.now_ms;
        let timing = AttemptTiming { sent_at_ms, class_latency_ms, latency_objective_ms, tail_latency_ms };
        let key = request.add_attempt(id, endpoint_id, timing);
        endpoint.add_attempt(key, timing);
        self.pending_attempts
            .insert(key, PendingAttempt { endpoint: endpoint_id, class: request.class, timing });
        let timeout_ms = request.deadline_ms - self.now_ms;
        out.start_attempt(id, endpoint_id, timeout_ms);
        // A silent endpoint would hold a request for good: a hedged one follows, later the fuller all are.
        let repeatable = request.settings.idempotency != Idempotency::NotIdempotent;
        let few_proxies = self.proxies_per_endpoint * self.process_share < MAX_HEDGING_PROXIES;
        if self.settings.hedging && repeatable && few_proxies && tail_latency_ms < timeout_ms {
            let at_ms = self.now_ms + tail_latency_ms * (1.0 + self.utilization());
            self.set_timer(out, at_ms, Timer::Hedge { key, sent_at_ms });
        }
    }

    /// Hedges an attempt that is still the only one in flight.
    pub(super) fn hedge(&mut self, out: &mut dyn Actions, (id, number): AttemptKey, sent_at_ms: f64) {
        let is_awaited = |attempt: &Attempt| attempt.in_flight && attempt.timing.sent_at_ms == sent_at_ms;
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts.len() == number + 1 && is_awaited(&request.attempts[number]) {
            self.try_attempt(out, id);
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, out: &mut dyn Actions, now_ms: f64, result: &AttemptResult) {
        self.now_ms = now_ms;
        let key = (result.request, result.attempt);
        let Some(pending) = self.pending_attempts.remove(&key) else { return };
        self.learn(&pending, result);
        if let Some(endpoint) = self.endpoints.get_mut(&pending.endpoint) {
            endpoint.remove_in_flight(&key);
            if self.settings.load_by_probes {
                // What a young report lacks is what is in flight; what has ended was in it.
                endpoint.sent_since_report = endpoint.own_in_flight();
            }
        }
        self.update_report(pending.endpoint, result.load);
        let Some(request) = self.requests.get_mut(&result.request) else { return };
        request.end_attempt(result.attempt, result.outcome);
        if result.request_closed || result.outcome == AttemptOutcome::Succeeded {
            self.close(out, result.request);
        } else if !request.has_attempt_in_flight() {
            self.proceed(out, result.request);
        }
    }

    /// The one final answer where no success will come: a rejection where the client may safely try again.
    pub(super) fn give_up(&mut self, out: &mut dyn Actions, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (idempotency, scope) = (request.settings.idempotency, request.settings.deduplication_scope);
        let global_key = idempotency == Idempotency::IdempotentWithKey && scope == DeduplicationScope::Global;
        if idempotency == Idempotency::Idempotent || global_key || !request.may_have_executed() {
            out.reject(id, (RETRY_AFTER_PART * self.mean_latency_ms).min(self.settings.max_retry_after_ms));
        } else {
            out.fail(id);
        }
        self.close(out, id);
    }

    /// The client has gone, or its request is closed by other means: nothing more is owed.
    pub fn client_left(&mut self, out: &mut dyn Actions, now_ms: f64, request: RequestId) {
        self.now_ms = now_ms;
        self.close(out, request);
    }

    /// Ends a request whose final answer is given, and cancels what is still in flight for it.
    fn close(&mut self, out: &mut dyn Actions, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let in_flight = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight);
        for (number, _) in in_flight.filter(|_| self.settings.cancellation) {
            out.cancel(id, number);
        }
    }

    /// Ends a request whose answer is worth nothing any more, unless a body is on its way.
    pub(super) fn abandon_request(&mut self, out: &mut dyn Actions, id: RequestId, at_ms: f64) {
        let is_due = |request: &Request| request.abandon_at_ms == at_ms && !request.bound_to_attempt;
        if self.requests.get(&id).is_some_and(is_due) {
            self.give_up(out, id);
        }
    }
}
