//! Which endpoints may get the next attempt of a request, and the draw among them.

use super::Balancer;
use crate::settings::ClassSettings;
use crate::state::{Attempt, Endpoint, Request};
use crate::types::{DeduplicationScope, EndpointId, Idempotency, RequestId};
use crate::weighted_choice::{choose_weighted, Candidate};

const DEDUPLICATION_WINDOW_IN_USE: f64 = 0.9; // a repeat must land inside the window: the rest is for the way

impl Balancer {
    /// The endpoints that may get a request's next attempt, with their shares.
    pub(super) fn candidates(&mut self, id: RequestId) -> Vec<Candidate> {
        self.refill_slow_start_budgets();
        let request = &self.requests[&id];
        let eligible = |id: &EndpointId| {
            let endpoint = self.endpoints.get(id).filter(|endpoint| self.is_eligible(request, endpoint))?;
            Some(Candidate { endpoint: *id, weight: self.weight(endpoint) })
        };
        let mut all: Vec<Candidate> = self.subset.iter().filter_map(eligible).collect();
        let is_placed = request.settings.zones.is_some() || request.settings.machine_classes.is_some();
        if all.is_empty() && (is_placed || must_stay_in_scope(request)) {
            // None of its places, or of those that know its key, is in the subset: others may take it.
            all = self.endpoints.keys().filter_map(eligible).collect();
        }
        let is_tried = |candidate: &Candidate| request.has_tried(candidate.endpoint);
        let (tried, fresh): (Vec<_>, Vec<_>) = all.into_iter().partition(is_tried);
        // The same endpoint again only where no other may do it, and never beside an attempt in flight.
        if fresh.is_empty() && !request.has_attempt_in_flight() {
            return tried;
        }
        fresh
    }

    /// Its share; less where its limit is under one attempt from each proxy: chance then takes a part.
    fn weight(&self, endpoint: &Endpoint) -> f64 {
        let limit_part = (endpoint.statistics.concurrency_limit / self.proxies_per_endpoint).min(1.0);
        endpoint.share * if self.settings.load_by_probes { 1.0 } else { limit_part }
    }

    fn is_eligible(&self, request: &Request, endpoint: &Endpoint) -> bool {
        // New settings open nothing to a request that came under others and close at once. A repeat that must
        // stay in its scope may find all of it full: let in once, it goes over the limit.
        endpoint.is_usable()
            && may_run_on(&request.settings, endpoint)
            && may_run_on(&self.classes[request.class.index()].settings, endpoint)
            && self.may_repeat_on(request, endpoint)
            && (must_stay_in_scope(request) || self.has_capacity(endpoint))
            && (self.now_ms >= endpoint.warm_at_ms || endpoint.slow_start_budget.has_token())
            && self.answers_in_time(request, endpoint)
    }

    /// Whether all attempts that may have run allow another at this endpoint.
    fn may_repeat_on(&self, request: &Request, endpoint: &Endpoint) -> bool {
        let drops_repeat = |earlier: &Attempt| self.drops_repeat(&request.settings, earlier, endpoint);
        match request.settings.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => request.possibly_executed().all(drops_repeat),
            Idempotency::NotIdempotent => !request.may_have_executed(),
        }
    }

    /// Whether an endpoint drops the repeat of an earlier attempt by its idempotency key.
    fn drops_repeat(&self, settings: &ClassSettings, earlier: &Attempt, endpoint: &Endpoint) -> bool {
        let window_ms = settings.deduplication_window_ms * DEDUPLICATION_WINDOW_IN_USE;
        let first = self.endpoints.get(&earlier.endpoint);
        let is_in_scope = match settings.deduplication_scope {
            DeduplicationScope::Global => true,
            DeduplicationScope::Zone => first.is_some_and(|first| first.zone == endpoint.zone),
            DeduplicationScope::Pod => first.is_some_and(|first| first.pod == endpoint.pod),
        };
        is_in_scope && self.now_ms - earlier.timing.sent_at_ms < window_ms
    }

    /// Late answers cost an endpoint's work for little. One thought slow would never be seen to recover, so
    /// first attempts look, or its reports tell.
    fn answers_in_time(&self, request: &Request, endpoint: &Endpoint) -> bool {
        let by_probes = self.settings.load_by_probes;
        let objective_ms = if by_probes { request.settings.latency_objective_ms } else { f64::MAX };
        let left_ms = (request.deadline_ms.min(request.abandon_at_ms) - self.now_ms).min(objective_ms);
        let class_latency_ms = self.classes[request.class.index()].mean_latency_ms;
        let expected_ms = endpoint.expected_latency_ms * class_latency_ms / self.mean_latency_ms;
        let looks = !by_probes && request.attempts.is_empty() && endpoint.in_flight.is_empty();
        left_ms > 0.0 && (expected_ms < left_ms || looks)
    }

    /// Draws by weight among those at or under their share of own attempts in flight: chance would heap
    /// attempts on one endpoint while cores of another stand idle.
    pub(super) fn draw(&mut self, candidates: &[Candidate]) -> EndpointId {
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

/// The one place that says where a request class may run.
fn may_run_on(class: &ClassSettings, endpoint: &Endpoint) -> bool {
    let zone_fits = class.zones.as_ref().is_none_or(|zones| zones.contains(&endpoint.zone));
    let machines = class.machine_classes.as_ref();
    zone_fits && machines.is_none_or(|machines| machines.contains(&endpoint.machine_class))
}

/// Whether only the endpoints that know the request by its idempotency key may get its next attempt.
fn must_stay_in_scope(request: &Request) -> bool {
    let has_ended = request.possibly_executed().any(|attempt| !attempt.in_flight);
    request.settings.idempotency == Idempotency::IdempotentWithKey && has_ended
}
