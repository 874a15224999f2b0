//! Selects the endpoints that may get the next attempt of a request, and chooses one of them.

use super::Balancer;
use crate::settings::ClassSettings;
use crate::state::{Attempt, Endpoint, Request};
use crate::types::{EndpointId, Idempotency, RequestId};
use crate::weighted_choice::{choose_weighted, Candidate};

impl Balancer {
    /// The endpoints that may get a request's next attempt, with their weights.
    pub(super) fn candidates(&mut self, id: RequestId) -> Vec<Candidate> {
        self.refill_slow_start_budgets();
        let request = &self.requests[&id];
        let eligible = |id: &EndpointId| {
            let endpoint = self.endpoints.get(id).filter(|endpoint| self.is_eligible(request, endpoint))?;
            Some(Candidate { endpoint: *id, weight: self.weight(endpoint) })
        };
        let mut all: Vec<Candidate> = self.subset.iter().filter_map(eligible).collect();
        let has_placement = request.settings.zones.is_some() || request.settings.machine_classes.is_some();
        if all.is_empty() && (has_placement || must_stay_in_scope(request)) {
            // The subset has no endpoint that satisfies the placement or deduplication scope.
            all = self.endpoints.keys().filter_map(eligible).collect();
        }
        let is_tried = |candidate: &Candidate| request.has_tried(candidate.endpoint);
        let (tried, untried): (Vec<_>, Vec<_>) = all.into_iter().partition(is_tried);
        // An endpoint is tried again only if there is no other, and never while an attempt is in flight.
        if untried.is_empty() && !request.has_attempt_in_flight() {
            return tried;
        }
        untried
    }

    /// The endpoint's share, reduced if its limit is below one attempt per proxy.
    fn weight(&self, endpoint: &Endpoint) -> f64 {
        let limit_factor = (endpoint.statistics.concurrency_limit / self.proxies_per_endpoint).min(1.0);
        endpoint.share * if self.settings.load_by_probes { 1.0 } else { limit_factor }
    }

    fn is_eligible(&self, request: &Request, endpoint: &Endpoint) -> bool {
        // Placement must satisfy the settings of the request's arrival and the current ones. A retry bound to
        // its deduplication scope may exceed the limit, as it can't go elsewhere.
        endpoint.is_usable()
            && may_run_on(&request.settings, endpoint)
            && may_run_on(&self.classes[request.class.index()].settings, endpoint)
            && self.may_retry_on(request, endpoint)
            && (must_stay_in_scope(request) || self.has_capacity(endpoint))
            && (self.now_ms >= endpoint.warm_at_ms || endpoint.slow_start_budget.has_token())
            && self.meets_deadline(request, endpoint)
    }

    /// Whether another attempt at this endpoint is safe after those that may have executed.
    fn may_retry_on(&self, request: &Request, endpoint: &Endpoint) -> bool {
        let deduplicates = |earlier: &Attempt| self.deduplicates(&request.settings, earlier, endpoint);
        match request.settings.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => request.possibly_executed().all(deduplicates),
            Idempotency::NotIdempotent => !request.may_have_executed(),
        }
    }

    /// Whether a timely response is expected. First attempts also explore idle endpoints that look too slow,
    /// as their recovery would go unnoticed otherwise; load probes make this unnecessary.
    fn meets_deadline(&self, request: &Request, endpoint: &Endpoint) -> bool {
        let by_probes = self.settings.load_by_probes;
        let objective_ms = if by_probes { request.settings.latency_objective_ms } else { f64::MAX };
        let left_ms = (request.deadline_ms.min(request.abandon_at_ms) - self.now_ms).min(objective_ms);
        let class_latency_ms = self.classes[request.class.index()].mean_latency_ms;
        let expected_ms = endpoint.expected_latency_ms * class_latency_ms / self.mean_latency_ms;
        let explores = !by_probes && request.attempts.is_empty() && endpoint.in_flight.is_empty();
        left_ms > 0.0 && (expected_ms < left_ms || explores)
    }

    /// Chooses by weight among the endpoints at or below their share of this proxy's attempts in flight. A
    /// plain random choice would queue attempts at one endpoint while another is idle.
    pub(super) fn choose_endpoint(&mut self, candidates: &[Candidate]) -> EndpointId {
        if self.settings.load_by_probes {
            return choose_weighted(&mut self.rng, candidates);
        }
        let in_flight = |candidate: &Candidate| self.endpoints[&candidate.endpoint].own_in_flight();
        let add = |(all, weights), one: &Candidate| (all + in_flight(one), weights + one.weight);
        let (all, weights) = candidates.iter().fold((0.0, 0.0), add);
        let is_under_share = |one: &&Candidate| in_flight(one) * weights <= all * one.weight;
        let under_share: Vec<Candidate> = candidates.iter().filter(is_under_share).copied().collect();
        choose_weighted(&mut self.rng, if under_share.is_empty() { candidates } else { &under_share })
    }
}

/// Whether a class may run on an endpoint. The only place that decides this.
fn may_run_on(class: &ClassSettings, endpoint: &Endpoint) -> bool {
    let zone_fits = class.zones.as_ref().is_none_or(|zones| zones.contains(&endpoint.zone));
    let machines = class.machine_classes.as_ref();
    zone_fits && machines.is_none_or(|machines| machines.contains(&endpoint.machine_class))
}

/// Whether the next attempt is restricted to the endpoints that deduplicate its idempotency key.
fn must_stay_in_scope(request: &Request) -> bool {
    let has_ended = request.possibly_executed().any(|attempt| !attempt.in_flight);
    request.settings.idempotency == Idempotency::IdempotentWithKey && has_ended
}
