//! What endpoints hold: the queues of the paper, from reports and from own attempts.

use super::Balancer;
use crate::state::Endpoint;

const MAX_REPORT_AGE_MS: f64 = 5000.0; // much older than any usual refresh
const SATURATED_UTILIZATION: f64 = 1.15; // of cores, with an endless queue; above 1, as readings are noisy

impl Endpoint {
    /// What it holds for all proxies together, by its own report and what this proxy has sent since.
    pub(super) fn reported_load(&self, now_ms: f64) -> Option<f64> {
        if now_ms - self.reported_at_ms >= MAX_REPORT_AGE_MS {
            return None;
        }
        // An empty queue does not tell how much is executing: as much as a queue of that use of cores would.
        let used = self.report.cpu_utilization.map(|used| used.min(1.0));
        let executing = used.map_or(0.0, |used| used / (SATURATED_UTILIZATION - used));
        let queued = self.report.queued.or(used.map(|_| 0.0)).map(|queued| queued + executing);
        let reported = self.report.in_flight.or(queued)?;
        Some(reported + self.sent_since_report.min(self.own_in_flight()))
    }
}

impl Balancer {
    /// As reported, else by own attempts as if all proxies acted alike: too few to tell where load is probed.
    pub(super) fn known_load(&self, endpoint: &Endpoint) -> Option<f64> {
        let extrapolated = endpoint.own_in_flight() * self.proxies_per_endpoint;
        endpoint.reported_load(self.now_ms).or((!self.settings.load_by_probes).then_some(extrapolated))
    }

    /// Whether an endpoint's limit leaves room for an attempt, or none is in flight there.
    pub(super) fn has_capacity(&self, endpoint: &Endpoint) -> bool {
        let extrapolated = endpoint.own_in_flight() * self.proxies_per_endpoint;
        let reported = endpoint.reported_load(self.now_ms).unwrap_or(extrapolated);
        let load = self.bounded_by_sample(endpoint.in_flight.len(), extrapolated, reported);
        endpoint.in_flight.is_empty() || load < endpoint.statistics.concurrency_limit
    }

    /// Own attempts are a sample of those of all proxies that share an endpoint, and a few look like a crowd
    /// by chance. Within one standard error of that sample the reports decide.
    fn bounded_by_sample(&self, own: usize, extrapolated: f64, reported: f64) -> f64 {
        // Where responses are buffered for slow readers, own attempts in flight have left their endpoints.
        let exact = self.settings.load_by_probes && !self.settings.few_buffered_responses;
        let sampled = ((1.0 - 1.0 / self.proxies_per_endpoint) / own.max(1) as f64).sqrt();
        let error = if exact { 0.0 } else { sampled };
        reported.clamp(extrapolated * (1.0 - error), extrapolated)
    }

    /// How full the subset is, by reports where load is probed, else by own attempts.
    pub(super) fn utilization(&self) -> f64 {
        if self.settings.load_by_probes {
            return self.subset_utilization(|endpoint| endpoint.reported_load(self.now_ms));
        }
        self.subset_utilization(|endpoint| Some(endpoint.own_in_flight() * self.proxies_per_endpoint))
    }

    /// How full the subset is, as admission counts it.
    pub(super) fn utilization_against_limits(&self) -> f64 {
        let own = self.subset.iter().map(|id| self.endpoints[id].in_flight.len()).sum();
        let reported = self.subset_utilization(|endpoint| self.known_load(endpoint));
        self.bounded_by_sample(own, self.utilization(), reported)
    }

    /// What the subset holds, by this figure of each endpoint, over all limits.
    fn subset_utilization(&self, load: impl Fn(&Endpoint) -> Option<f64>) -> f64 {
        let subset = self.subset.iter().map(|id| &self.endpoints[id]);
        let known = subset.filter_map(|one| Some((load(one)?, one.statistics.concurrency_limit)));
        let add = |(loads, limits), (load, limit)| (loads + load, limits + limit);
        let (loads, limits) = known.fold((0.0, 0.0), add);
        loads / f64::max(limits, 1.0)
    }
}
