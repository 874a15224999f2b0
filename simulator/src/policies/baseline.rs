//! Every policy but the decision module: simple choices, and policies that break a rule on purpose.

use super::{EndpointTruth, PolicyKind};
use crate::random::RandomStream;
use crate::script::{DeduplicationScope, Idempotency, RequestClass, Script};
use crankmux::dispatcher::{FinalResponse, NewAttempt, NextSteps};
use crankmux::types::{
    AttemptOutcome, AttemptResult, ClassId, EndpointId, EndpointState, EndpointUpdate, NewRequest,
    RequestId,
};
use std::collections::BTreeMap;

/// The policy that loses requests loses every one of so many.
const LOST_REQUEST_INTERVAL: u64 = 50;
/// Retries of a request with a key are sent only within this part of its deduplication window.
const SAFE_WINDOW_FRACTION: f64 = 0.9;
/// The longest Retry-After that a baseline names.
const MAX_RETRY_AFTER_MS: f64 = 100.0;
/// Round robin starts at a place below this, by the seed.
const ROUND_ROBIN_STARTS: usize = 1000;

/// A policy that keeps nothing but its requests and its own attempts in flight.
pub struct BaselinePolicy {
    kind: PolicyKind,
    classes: Vec<RequestClass>,
    max_attempts: usize,
    cancellation_allowed: bool,
    retry_after_ms: f64,
    random: RandomStream,
    /// By index; removed where nothing is known.
    endpoints: Vec<EndpointUpdate>,
    /// Attempts in flight by endpoint.
    in_flight: Vec<u32>,
    round_robin_turn: usize,
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
            round_robin_turn: seed as usize % ROUND_ROBIN_STARTS,
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
        let is_lost = self.requests_received.is_multiple_of(LOST_REQUEST_INTERVAL);
        if self.kind == PolicyKind::LosesRequests && is_lost {
            return NextSteps::default();
        }
        let request = OpenRequest {
            class: arrival.class,
            deadline: now + arrival.ttl_ms,
            attempts: Vec::new(),
        };
        self.requests.insert(arrival.request, request);
        self.send_or_give_up(now, arrival.request, truth)
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
        let goes_on_regardless = self.kind == PolicyKind::IgnoresDepartures
            && result.outcome != AttemptOutcome::Succeeded;
        if result.request_closed && !goes_on_regardless {
            return self.close(result.request);
        }
        self.send_or_give_up(now, result.request, truth)
    }

    pub(super) fn client_left(&mut self, request: RequestId) -> NextSteps {
        if self.kind == PolicyKind::IgnoresDepartures {
            return NextSteps::default();
        }
        self.close(request)
    }

    /// Forgets a request, and cancels what is in flight of it.
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

    fn send_or_give_up(
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
            return self.give_up(request_id);
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

    /// Endpoints that an attempt may go to: those without an earlier attempt of the request, where there are any.
    fn candidates(&self, now: f64, request: &OpenRequest) -> Vec<EndpointId> {
        if request.attempts.len() >= self.max_attempts || request.deadline - now <= 0.0 {
            return Vec::new();
        }
        let allowed: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|endpoint| self.may_send(now, request, endpoint))
            .map(|endpoint| endpoint.endpoint)
            .collect();
        let untried: Vec<EndpointId> = allowed
            .iter()
            .copied()
            .filter(|endpoint| !request.was_sent_to(*endpoint))
            .collect();
        if untried.is_empty() {
            allowed
        } else {
            untried
        }
    }

    /// Whether an endpoint is ready and an attempt there cannot cause a second effect.
    fn may_send(&self, now: f64, request: &OpenRequest, endpoint: &EndpointUpdate) -> bool {
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
                        && elapsed_ms < SAFE_WINDOW_FRACTION * class.deduplication_window_ms
                }),
            Idempotency::NotIdempotent => !request.may_have_executed(),
        }
    }

    /// Whether two endpoints drop repeats of each other's requests.
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

    /// Rejects a request where its client may retry it without a second effect, and fails it otherwise.
    fn give_up(&mut self, request_id: RequestId) -> NextSteps {
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
        // Drawn for every kind, so that all use their stream alike.
        let random = self.random_of(candidates);
        match self.kind {
            PolicyKind::RoundRobin => {
                self.round_robin_turn += 1;
                Some(candidates[self.round_robin_turn % candidates.len()])
            }
            PolicyKind::LeastOutstanding => self.least_outstanding(candidates),
            PolicyKind::TwoChoices => {
                let other = self.random_of(candidates);
                let other_is_better =
                    self.in_flight[other.index()] < self.in_flight[random.index()];
                Some(if other_is_better { other } else { random })
            }
            PolicyKind::Omniscient => fastest(candidates, latency_limit_ms, truth),
            PolicyKind::FloodsNewest => self.newest(candidates),
            _ => Some(random),
        }
    }

    fn random_of(&mut self, candidates: &[EndpointId]) -> EndpointId {
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
        Some(self.random_of(&tied))
    }

    fn newest(&self, candidates: &[EndpointId]) -> Option<EndpointId> {
        let started_at = |endpoint: EndpointId| self.endpoints[endpoint.index()].started_at_ms;
        candidates.iter().copied().max_by(|one, other| {
            let by_start = started_at(*one).total_cmp(&started_at(*other));
            by_start.then(other.cmp(one))
        })
    }
}

/// The endpoint with the lowest expected latency. None where that is over the limit: what cannot be answered in time
/// is rejected, so that the rest can be.
fn fastest(
    candidates: &[EndpointId],
    latency_limit_ms: f64,
    truth: &dyn Fn(EndpointId) -> EndpointTruth,
) -> Option<EndpointId> {
    let expected = candidates
        .iter()
        .filter_map(|endpoint| Some((truth(*endpoint).expected_latency_ms?, *endpoint)));
    let (latency_ms, endpoint) = expected.min_by(|one, other| one.0.total_cmp(&other.0))?;
    (latency_ms < latency_limit_ms).then_some(endpoint)
}
