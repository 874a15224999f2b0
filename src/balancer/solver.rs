//! From what is known of endpoints to their shares: the inputs of the split, and its solutions.

use super::split::split;
use super::Balancer;
use crate::moving_average::mean;
use crate::state::{Endpoint, QueueModel};
use crate::types::{EndpointId, LoadReport, RequestId};
use crate::weighted_choice::{weighted_candidates, Candidate};

const SOLVE_EVERY_MS: f64 = 100.0;
const MAX_ELAPSED_MS: f64 = 1000.0;
const MIN_HORIZON_MS: f64 = 50.0; // the paper's
const MAX_HORIZON_MS: f64 = 5000.0; // an older report is none
const MAX_SHARE_FACTOR: f64 = 1.5; // times the endpoint's part of all service rates
const MIN_ARRIVAL_RATE: f64 = 1.0 / 3.0; // of all service rates
const MIN_MEAN_QUEUE: f64 = 0.3;
const JAMMED_LATENCY: f64 = 3.0; // times the endpoint's best
const JAMMED_SHARE: f64 = 0.05;
const MIN_HEALTHY_SHARE: f64 = 0.02; // so that a recovery is seen
const ASKED_REPORT_AGE_MS: f64 = 500.0;
const KEY_MISS_COST: f64 = 0.5; // of a request's time: about what an endpoint that knows its key is spared
pub(super) const RENDEZVOUS_CANDIDATES: usize = 2;

impl Balancer {
    /// Solves the split over the subset, unless that was done just now.
    pub(super) fn solve(&mut self) {
        if self.now_ms - self.solved_at_ms < SOLVE_EVERY_MS {
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
        self.update_arrival_rate(service_rate);
        let shares = split(&models, self.arrival_rate * service_rate);
        for ((id, share), model) in subset.iter().zip(&shares).zip(&models) {
            let endpoint = self.endpoints.get_mut(id).expect("the subset holds known endpoints");
            endpoint.share = *share;
            endpoint.expected_latency_ms = (1.0 + model.queue) / model.service_rate;
        }
    }

    /// What stands for endpoints that are not measured yet: the means of the others.
    fn update_means(&mut self) {
        let subset = self.subset.iter().map(|id| &self.endpoints[id]);
        let latencies = subset.clone().filter_map(|endpoint| endpoint.statistics.relative_latency);
        let speed = mean(latencies.map(|latency| 1.0 / latency));
        self.mean_queue = mean(subset.filter_map(|endpoint| self.estimated_load(endpoint)));
        self.mean_relative_latency = if speed > 0.0 { 1.0 / speed } else { 1.0 };
    }

    /// The arrivals at the subset from all proxies, as a part of its service rates.
    fn update_arrival_rate(&mut self, service_rate: f64) {
        let mut arrival_rate = self.attempt_rate.per_ms * self.proxies_per_endpoint / service_rate;
        if self.settings.load_by_probes {
            // Proxies carry unlike traffic. What endpoints hold tells all of it (Little's law).
            let latency_ms = (self.mean_latency_ms * self.mean_relative_latency).max(1.0);
            let traffic = self.mean_queue.max(MIN_MEAN_QUEUE) * self.subset.len() as f64 / latency_ms;
            self.proxies_per_endpoint = (traffic / self.attempt_rate.per_ms.max(1e-6)).max(1.0);
            arrival_rate = self.mean_queue / (1.0 + self.mean_queue);
        }
        self.arrival_rate = arrival_rate.max(MIN_ARRIVAL_RATE);
    }

    fn queue_models(&self, endpoints: &[EndpointId], max_share: f64) -> Vec<QueueModel> {
        // A crossing costs a part of what a request is worth: all of its time to the latency objective.
        let crossing_cost_ms = self.settings.cross_zone_price * self.settings.mean_objective_ms();
        let endpoints = endpoints.iter().map(|id| &self.endpoints[id]);
        endpoints.map(|endpoint| self.queue_model(endpoint, crossing_cost_ms, max_share)).collect()
    }

    fn queue_model(&self, endpoint: &Endpoint, crossing_cost_ms: f64, max_share: f64) -> QueueModel {
        let statistics = &endpoint.statistics;
        let relative_latency = statistics.relative_latency.unwrap_or(self.mean_relative_latency);
        let latency_ms = (relative_latency * self.mean_latency_ms).max(1.0);
        let locality_cost_ms = if endpoint.zone == self.settings.my_zone { 0.0 } else { crossing_cost_ms };
        // A failed request costs about one more request's time.
        let failure_cost_ms = latency_ms * statistics.error_rate / (1.0 - statistics.error_rate).max(0.1);
        let has_report = endpoint.report != LoadReport::default();
        let age_ms = if has_report { self.now_ms - endpoint.reported_at_ms } else { 0.0 };
        // One that fails fast answers first and would draw ever more.
        let healthy = (1.0 - statistics.error_rate).max(MIN_HEALTHY_SHARE);
        // A jammed endpoint stays slow until it was mostly idle, and gets little.
        let jammed_latency = JAMMED_LATENCY * statistics.best_relative_latency;
        let is_slow = statistics.relative_latency.is_some_and(|latency| latency > jammed_latency);
        let jammed = self.settings.load_by_probes && is_slow;
        QueueModel {
            queue: self.estimated_load(endpoint).unwrap_or(self.mean_queue),
            service_rate: (1.0 + self.mean_queue) / latency_ms,
            horizon_ms: age_ms.clamp(MIN_HORIZON_MS, MAX_HORIZON_MS),
            cost_ms: locality_cost_ms + failure_cost_ms,
            locality_cost_ms,
            max_share: max_share * healthy * if jammed { JAMMED_SHARE } else { 1.0 },
        }
    }

    /// Narrows candidates down to those that a request has asked for their load, or that its key belongs to,
    /// with their shares among these; leaves them as they are where there are none.
    pub(super) fn restrict_candidates(&self, id: RequestId, candidates: Vec<Candidate>) -> Vec<Candidate> {
        let request = &self.requests[&id];
        let offered = candidates.iter().map(|candidate| candidate.endpoint);
        let narrowed: Vec<EndpointId> = if self.settings.load_by_probes {
            let has_answered = |endpoint: &EndpointId| {
                let age_ms = self.now_ms - self.endpoints[endpoint].reported_at_ms;
                request.probed.contains(endpoint) && age_ms < ASKED_REPORT_AGE_MS
            };
            offered.filter(has_answered).collect()
        } else {
            self.rendezvous_candidates(request.affinity_key, offered)
        };
        if narrowed.is_empty() {
            return candidates;
        }
        let mut models = self.queue_models(&narrowed, 1.0);
        if let Some(home) =
            self.rendezvous_candidates(request.affinity_key, self.subset.iter().copied()).first()
        {
            let miss_cost_ms = KEY_MISS_COST * self.mean_latency_ms;
            for (model, _) in models.iter_mut().zip(&narrowed).filter(|(_, endpoint)| *endpoint != home) {
                model.cost_ms += miss_cost_ms;
                model.locality_cost_ms += miss_cost_ms;
            }
        }
        // One key of many: the requests of others come to these endpoints whatever becomes of this one's.
        let keys = if request.affinity_key.is_some() { self.subset.len() as f64 } else { 1.0 };
        let service_rate: f64 = models.iter().map(|model| model.service_rate).sum();
        let shares = split(&models, self.arrival_rate * service_rate / keys);
        weighted_candidates(narrowed, shares)
    }
}
