//! Models the endpoints for the split, and applies its solutions.

use super::split::split;
use super::Balancer;
use crate::moving_average::mean;
use crate::state::{Endpoint, QueueModel};
use crate::types::{EndpointId, LoadReport, RequestId};
use crate::weighted_choice::{weighted_candidates, Candidate};

const SOLVE_INTERVAL_MS: f64 = 100.0;
const MAX_ELAPSED_MS: f64 = 1000.0;
const MIN_HORIZON_MS: f64 = 50.0; // as in the paper
const MAX_HORIZON_MS: f64 = 5000.0; // older reports are ignored
const MAX_SHARE_FACTOR: f64 = 1.5; // relative to the endpoint's fraction of the total service rate
const MIN_TRAFFIC_INTENSITY: f64 = 1.0 / 3.0;
const MIN_MEAN_QUEUE: f64 = 0.3;
const OVERLOAD_SLOWDOWN: f64 = 3.0; // relative to the endpoint's best latency
const OVERLOAD_SHARE_FACTOR: f64 = 0.05;
const MIN_HEALTH_FACTOR: f64 = 0.02; // of its share; shows when a failing endpoint recovers
const MAX_PROBE_AGE_MS: f64 = 500.0;
const KEY_MISS_COST: f64 = 0.5; // of the mean latency; the work that an endpoint with the key's state saves
pub(super) const RENDEZVOUS_CANDIDATES: usize = 2;

impl Balancer {
    /// Solves the split over the subset, unless the last solution is recent.
    pub(super) fn solve(&mut self) {
        if self.now_ms - self.solved_at_ms < SOLVE_INTERVAL_MS {
            return;
        }
        self.refresh_subset();
        let elapsed_ms = (self.now_ms - self.solved_at_ms).clamp(0.0, MAX_ELAPSED_MS);
        self.update_warm_throughput(elapsed_ms);
        self.decay_stale_statistics(elapsed_ms);
        self.solved_at_ms = self.now_ms;
        self.update_means();
        let subset = self.subset.clone();
        let mut models = self.queue_models(&subset, MAX_SHARE_FACTOR);
        let service_rate: f64 = models.iter().map(|model| model.service_rate).sum();
        models.iter_mut().for_each(|model| model.max_share *= model.service_rate / service_rate);
        self.update_traffic_intensity(service_rate);
        let shares = split(&models, self.traffic_intensity * service_rate);
        for ((id, share), model) in subset.iter().zip(&shares).zip(&models) {
            let endpoint = self.endpoints.get_mut(id).expect("the subset has known endpoints");
            endpoint.share = *share;
            endpoint.expected_latency_ms = (1.0 + model.queue) / model.service_rate;
        }
    }

    /// Updates the means that stand in for endpoints without measurements.
    fn update_means(&mut self) {
        let subset = self.subset.iter().map(|id| &self.endpoints[id]);
        let latencies = subset.clone().filter_map(|endpoint| endpoint.statistics.relative_latency);
        let speed = mean(latencies.map(|latency| 1.0 / latency));
        self.mean_queue = mean(subset.filter_map(|endpoint| self.estimated_load(endpoint)));
        self.mean_relative_latency = if speed > 0.0 { 1.0 / speed } else { 1.0 };
    }

    /// Updates the arrival rate from all proxies relative to the total service rate of the subset.
    fn update_traffic_intensity(&mut self, service_rate: f64) {
        let mut traffic_intensity = self.attempt_rate.per_ms * self.proxies_per_endpoint / service_rate;
        if self.settings.load_by_probes {
            // Proxies may differ in traffic. Queue lengths give the total arrival rate (Little's law).
            let latency_ms = (self.mean_latency_ms * self.mean_relative_latency).max(1.0);
            let arrival_rate = self.mean_queue.max(MIN_MEAN_QUEUE) * self.subset.len() as f64 / latency_ms;
            self.proxies_per_endpoint = (arrival_rate / self.attempt_rate.per_ms.max(1e-6)).max(1.0);
            traffic_intensity = self.mean_queue / (1.0 + self.mean_queue);
        }
        self.traffic_intensity = traffic_intensity.max(MIN_TRAFFIC_INTENSITY);
    }

    fn queue_models(&self, endpoints: &[EndpointId], max_share: f64) -> Vec<QueueModel> {
        // The price is a fraction of a request's value, which is taken to be its latency objective.
        let crossing_cost_ms = self.settings.cross_zone_price * self.settings.mean_objective_ms();
        let endpoints = endpoints.iter().map(|id| &self.endpoints[id]);
        endpoints.map(|endpoint| self.queue_model(endpoint, crossing_cost_ms, max_share)).collect()
    }

    fn queue_model(&self, endpoint: &Endpoint, crossing_cost_ms: f64, max_share: f64) -> QueueModel {
        let statistics = &endpoint.statistics;
        let relative_latency = statistics.relative_latency.unwrap_or(self.mean_relative_latency);
        let latency_ms = (relative_latency * self.mean_latency_ms).max(1.0);
        let locality_cost_ms = if endpoint.zone == self.settings.local_zone { 0.0 } else { crossing_cost_ms };
        // A failure costs about the latency of one more request.
        let failure_cost_ms = latency_ms * statistics.error_rate / (1.0 - statistics.error_rate).max(0.1);
        let has_report = endpoint.report != LoadReport::default();
        let age_ms = if has_report { self.now_ms - endpoint.reported_at_ms } else { 0.0 };
        // An endpoint that fails fast looks idle and would attract more requests.
        let health_factor = (1.0 - statistics.error_rate).max(MIN_HEALTH_FACTOR);
        // An overloaded endpoint recovers only when it is nearly idle, so it gets a small share.
        let overload_latency = OVERLOAD_SLOWDOWN * statistics.best_relative_latency;
        let is_slow = statistics.relative_latency.is_some_and(|latency| latency > overload_latency);
        let overloaded = self.settings.load_by_probes && is_slow;
        QueueModel {
            queue: self.estimated_load(endpoint).unwrap_or(self.mean_queue),
            service_rate: (1.0 + self.mean_queue) / latency_ms,
            horizon_ms: age_ms.clamp(MIN_HORIZON_MS, MAX_HORIZON_MS),
            cost_ms: locality_cost_ms + failure_cost_ms,
            locality_cost_ms,
            max_share: max_share * health_factor * if overloaded { OVERLOAD_SHARE_FACTOR } else { 1.0 },
        }
    }

    /// Restricts candidates to probed endpoints with a recent load report, or to those preferred by the key,
    /// weighted by their shares among these. Returns the candidates unchanged if there are none.
    pub(super) fn restrict_candidates(&self, id: RequestId, candidates: Vec<Candidate>) -> Vec<Candidate> {
        let request = &self.requests[&id];
        let offered = candidates.iter().map(|candidate| candidate.endpoint);
        let targets: Vec<EndpointId> = if self.settings.load_by_probes {
            let has_responded = |endpoint: &EndpointId| {
                let age_ms = self.now_ms - self.endpoints[endpoint].reported_at_ms;
                request.probed.contains(endpoint) && age_ms < MAX_PROBE_AGE_MS
            };
            offered.filter(has_responded).collect()
        } else {
            self.rendezvous_top(request.affinity_key, offered)
        };
        if targets.is_empty() {
            return candidates;
        }
        let mut models = self.queue_models(&targets, 1.0);
        if let Some(owner) = self.rendezvous_top(request.affinity_key, self.subset.iter().copied()).first() {
            let miss_cost_ms = KEY_MISS_COST * self.mean_latency_ms;
            for (model, _) in models.iter_mut().zip(&targets).filter(|(_, endpoint)| *endpoint != owner) {
                model.cost_ms += miss_cost_ms;
                model.locality_cost_ms += miss_cost_ms;
            }
        }
        // Only a fraction of the arrivals has this key; the others reach these endpoints in any case.
        let key_count = if request.affinity_key.is_some() { self.subset.len() as f64 } else { 1.0 };
        let service_rate: f64 = models.iter().map(|model| model.service_rate).sum();
        let shares = split(&models, self.traffic_intensity * service_rate / key_count);
        weighted_candidates(targets, shares)
    }
}
