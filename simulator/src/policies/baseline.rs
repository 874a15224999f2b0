//! Baseline policies: simple load balancing algorithms, an oracle, and policies that break an invariant on purpose.

use super::{EndpointTruth, PolicyKind};
use crate::random::RandomStream;
use crate::script::{DeduplicationScope, Idempotency, RequestClass, Script};
use crankmux::dispatcher::{FinalResponse, NewAttempt, NextSteps};
use crankmux::types::{
    AttemptOutcome, AttemptResult, ClassId, EndpointId, EndpointState, EndpointUpdate, NewRequest,
    RequestId,
};
use std::collections::BTreeMap;

/// [`PolicyKind::LosesRequests`] drops one request in this many.
const LOST_REQUEST_INTERVAL: u64 = 50;
/// A request with an idempotency key is retried only within this fraction of its deduplication window.
const DEDUPLICATION_WINDOW_FRACTION: f64 = 0.9;
/// Upper bound of the Retry-After that a baseline policy sends.
const MAX_RETRY_AFTER_MS: f64 = 100.0;
/// The initial round-robin position is the seed modulo this, so that proxies do not advance in step.
const ROUND_ROBIN_START_MODULUS: usize = 1000;

/// A policy whose only state is its open requests and its own in-flight attempts.
pub struct BaselinePolicy {
    kind: PolicyKind,
    classes: Vec<RequestClass>,
    max_attempts: usize,
    cancellation_allowed: bool,
    retry_after_ms: f64,
    random: RandomStream,
    /// Indexed by endpoint; unknown endpoints have the state `Removed`.
    endpoints: Vec<EndpointUpdate>,
    /// In-flight attempts per endpoint.
    in_flight: Vec<u32>,
    round_robin_position: usize,
    requests: BTreeMap<RequestId, OpenRequest>,
    requests_received: u64,
}

struct OpenRequest {
    class: ClassId,
    deadline: f64,
    attempts: Vec<SentAttempt>,
}

#[derive(Clone, Copy)]
struct SentAttempt {
    endpoint: EndpointId,
    started_at: f64,
    may_have_executed: bool,
    in_flight: bool,
}

impl OpenRequest {
    fn may_have_executed(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.may_have_executed)
    }

    fn was_sent_to(&self, endpoint: EndpointId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint)
    }
}

impl BaselinePolicy {
    pub(super) fn new(kind: PolicyKind, script: &Script, seed: u64) -> Self {
        BaselinePolicy {
            kind,
            classes: script.request_classes.clone(),
            max_attempts: script.limits.max_attempts,
            cancellation_allowed: script.limits.cancellation_allowed,
            retry_after_ms: script.limits.max_retry_after_ms.min(MAX_RETRY_AFTER_MS),
            random: RandomStream::named(seed, "plain chooser"),
            endpoints: Vec::new(),
            in_flight: Vec::new(),
            round_robin_position: seed as usize % ROUND_ROBIN_START_MODULUS,
            requests: BTreeMap::new(),
            requests_received: 0,
        }
    }

    pub(super) fn update_endpoints(&mut self, updates: &[EndpointUpdate], full_list: bool) {
        let ignores_drains = self.kind == PolicyKind::IgnoresDrains;
        if full_list && !ignores_drains {
            for endpoint in &mut self.endpoints {
                endpoint.state = EndpointState::Removed;
            }
        }
        for update in updates {
            let index = update.endpoint.index();
            if self.endpoints.len() <= index {
                self.endpoints.resize(index + 1, EndpointUpdate::default());
                self.in_flight.resize(index + 1, 0);
            }
            if !ignores_drains || update.state == EndpointState::Ready {
                self.endpoints[index] = *update;
            }
        }
    }

    pub(super) fn request_arrived(
        &mut self,
        now: f64,
        arrival: &NewRequest,
        truth: &dyn Fn(EndpointId) -> EndpointTruth,
    ) -> NextSteps {
        self.requests_received += 1;
        let drop_request = self.requests_received.is_multiple_of(LOST_REQUEST_INTERVAL);
        if self.kind == PolicyKind::LosesRequests && drop_request {
            return NextSteps::default();
        }
        let request = OpenRequest {
            class: arrival.class,
            deadline: now + arrival.ttl_ms,
            attempts: Vec::new(),
        };
        self.requests.insert(arrival.request, request);
        self.send_or_reject(now, arrival.request, truth)
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: f64,
        result: &AttemptResult,
        truth: &dyn Fn(EndpointId) -> EndpointTruth,
    ) -> NextSteps {
        let Some(request) = self.requests.get_mut(&result.request) else {
            return NextSteps::default();
        };
        let Some(attempt) = request.attempts.get_mut(result.attempt) else {
            return NextSteps::default();
        };
        attempt.may_have_executed = !result.outcome.never_executed();
        attempt.in_flight = false;
        let in_flight = &mut self.in_flight[attempt.endpoint.index()];
        *in_flight = in_flight.saturating_sub(1);
        let ignores_closed_request = self.kind == PolicyKind::IgnoresDisconnects
            && result.outcome != AttemptOutcome::Succeeded;
        if result.request_closed && !ignores_closed_request {
            return self.close(result.request);
        }
        self.send_or_reject(now, result.request, truth)
    }

    pub(super) fn client_left(&mut self, request: RequestId) -> NextSteps {
        if self.kind == PolicyKind::IgnoresDisconnects {
            return NextSteps::default();
        }
        self.close(request)
    }

    /// Removes a request and cancels its in-flight attempts.
    fn close(&mut self, request: RequestId) -> NextSteps {
        let mut steps = NextSteps::default();
        let Some(request) = self.requests.remove(&request) else {
            return steps;
        };
        let attempts = request.attempts.iter().enumerate();
        for (number, attempt) in attempts.filter(|(_, attempt)| attempt.in_flight) {
            let in_flight = &mut self.in_flight[attempt.endpoint.index()];
            *in_flight = in_flight.saturating_sub(1);
            if self.cancellation_allowed {
                steps.cancel.push(number);
            }
        }
        steps
    }

    fn send_or_reject(
        &mut self,
        now: f64,
        request_id: RequestId,
        truth: &dyn Fn(EndpointId) -> EndpointTruth,
    ) -> NextSteps {
        let request = &self.requests[&request_id];
        let remaining_ms = request.deadline - now;
        let objective_ms = self.classes[request.class.index()].latency_objective_ms;
        let candidates = self.candidates(now, request);
        let latency_limit_ms = remaining_ms.min(objective_ms);
        let Some(endpoint) = self.choose(&candidates, latency_limit_ms, truth) else {
            return self.reject_or_fail(request_id);
        };
        self.in_flight[endpoint.index()] += 1;
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.attempts.push(SentAttempt {
                endpoint,
                started_at: now,
                may_have_executed: true,
                in_flight: true,
            });
        }
        NextSteps {
            attempts: vec![NewAttempt {
                endpoint,
                timeout_ms: remaining_ms,
            }],
            ..NextSteps::default()
        }
    }

    /// Eligible endpoints for the next attempt. Endpoints that the request has not tried yet take precedence.
    fn candidates(&self, now: f64, request: &OpenRequest) -> Vec<EndpointId> {
        if request.attempts.len() >= self.max_attempts || request.deadline - now <= 0.0 {
            return Vec::new();
        }
        let eligible: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|endpoint| self.is_eligible(now, request, endpoint))
            .map(|endpoint| endpoint.endpoint)
            .collect();
        let untried: Vec<EndpointId> = eligible
            .iter()
            .copied()
            .filter(|endpoint| !request.was_sent_to(*endpoint))
            .collect();
        if untried.is_empty() {
            eligible
        } else {
            untried
        }
    }

    /// Whether an endpoint is ready and an attempt there cannot execute the request a second time.
    fn is_eligible(&self, now: f64, request: &OpenRequest, endpoint: &EndpointUpdate) -> bool {
        if endpoint.state != EndpointState::Ready {
            return false;
        }
        if self.kind == PolicyKind::RetriesUnsafely {
            return true;
        }
        let class = &self.classes[request.class.index()];
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => request
                .attempts
                .iter()
                .filter(|attempt| attempt.may_have_executed)
                .all(|attempt| {
                    let elapsed_ms = now - attempt.started_at;
                    self.share_deduplication(class, attempt.endpoint, endpoint)
                        && elapsed_ms
                            < DEDUPLICATION_WINDOW_FRACTION * class.deduplication_window_ms
                }),
            Idempotency::NotIdempotent => !request.may_have_executed(),
        }
    }

    /// Whether two endpoints deduplicate each other's requests.
    fn share_deduplication(
        &self,
        class: &RequestClass,
        earlier: EndpointId,
        endpoint: &EndpointUpdate,
    ) -> bool {
        match class.deduplication_scope {
            DeduplicationScope::Fleet => true,
            DeduplicationScope::Zone => self.endpoints[earlier.index()].zone == endpoint.zone,
            DeduplicationScope::Pod => self.endpoints[earlier.index()].pod == endpoint.pod,
        }
    }

    /// Rejects a request that its client can retry without a duplicate execution, and fails any other.
    fn reject_or_fail(&mut self, request_id: RequestId) -> NextSteps {
        let request = &self.requests[&request_id];
        let class = &self.classes[request.class.index()];
        let may_have_executed = request.may_have_executed();
        let safe_to_retry = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => {
                !may_have_executed || class.deduplication_scope == DeduplicationScope::Fleet
            }
            Idempotency::NotIdempotent => !may_have_executed,
        };
        let final_response = if safe_to_retry {
            FinalResponse::Rejected {
                retry_after_ms: self.retry_after_ms,
            }
        } else {
            FinalResponse::Failed
        };
        NextSteps {
            final_response: Some(final_response),
            ..self.close(request_id)
        }
    }

    fn choose(
        &mut self,
        candidates: &[EndpointId],
        latency_limit_ms: f64,
        truth: &dyn Fn(EndpointId) -> EndpointTruth,
    ) -> Option<EndpointId> {
        if candidates.is_empty() {
            return None;
        }
        // Drawn for every policy, so that all of them consume the random stream equally.
        let random = self.random_candidate(candidates);
        match self.kind {
            PolicyKind::RoundRobin => {
                self.round_robin_position += 1;
                Some(candidates[self.round_robin_position % candidates.len()])
            }
            PolicyKind::LeastOutstanding => self.least_outstanding(candidates),
            PolicyKind::TwoChoices => {
                let other = self.random_candidate(candidates);
                let other_is_better =
                    self.in_flight[other.index()] < self.in_flight[random.index()];
                Some(if other_is_better { other } else { random })
            }
            PolicyKind::Oracle => fastest(candidates, latency_limit_ms, truth),
            PolicyKind::FloodsNewest => self.newest(candidates),
            _ => Some(random),
        }
    }

    fn random_candidate(&mut self, candidates: &[EndpointId]) -> EndpointId {
        candidates[self.random.index_below(candidates.len())]
    }

    fn least_outstanding(&mut self, candidates: &[EndpointId]) -> Option<EndpointId> {
        let in_flight = candidates
            .iter()
            .map(|endpoint| self.in_flight[endpoint.index()]);
        let least = in_flight.min()?;
        let tied: Vec<EndpointId> = candidates
            .iter()
            .copied()
            .filter(|endpoint| self.in_flight[endpoint.index()] == least)
            .collect();
        Some(self.random_candidate(&tied))
    }

    fn newest(&self, candidates: &[EndpointId]) -> Option<EndpointId> {
        let started_at = |endpoint: EndpointId| self.endpoints[endpoint.index()].started_at_ms;
        candidates.iter().copied().max_by(|left, right| {
            let by_start = started_at(*left).total_cmp(&started_at(*right));
            by_start.then(right.cmp(left))
        })
    }
}

/// The endpoint with the lowest expected latency, or `None` if that exceeds the limit: requests that would be late are
/// rejected to leave capacity for the others.
fn fastest(
    candidates: &[EndpointId],
    latency_limit_ms: f64,
    truth: &dyn Fn(EndpointId) -> EndpointTruth,
) -> Option<EndpointId> {
    let expected = candidates
        .iter()
        .filter_map(|endpoint| Some((truth(*endpoint).expected_latency_ms?, *endpoint)));
    let (latency_ms, endpoint) = expected.min_by(|left, right| left.0.total_cmp(&right.0))?;
    (latency_ms < latency_limit_ms).then_some(endpoint)
}
