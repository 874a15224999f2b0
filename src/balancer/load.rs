//! Estimates the load of endpoints from their reports and from this proxy's attempts in flight.

use super::Balancer;
use crate::state::Endpoint;

const MAX_REPORT_AGE_MS: f64 = 5000.0; // much longer than the usual refresh interval
const SATURATED_UTILIZATION: f64 = 1.15; // CPU use at an infinite queue; above 1 to allow for noise

impl Endpoint {
    /// Requests at the endpoint from all proxies: the last report and what this proxy has sent since.
    pub(super) fn reported_load(&self, now_ms: f64) -> Option<f64> {
        if now_ms - self.reported_at_ms >= MAX_REPORT_AGE_MS {
            return None;
        }
        // The queue length excludes executing requests; their number is estimated from the CPU utilization.
        let used = self.report.cpu_utilization.map(|used| used.min(1.0));
        let executing = used.map_or(0.0, |used| used / (SATURATED_UTILIZATION - used));
        let queued = self.report.queued.or(used.map(|_| 0.0)).map(|queued| queued + executing);
        let reported = self.report.in_flight.or(queued)?;
        Some(reported + self.sent_since_report.min(self.own_in_flight()))
    }
}

impl Balancer {
    /// The reported load, or an extrapolation from this proxy's attempts, which are too few with load probes.
    pub(super) fn estimated_load(&self, endpoint: &Endpoint) -> Option<f64> {
        let extrapolated = endpoint.own_in_flight() * self.proxies_per_endpoint;
        endpoint.reported_load(self.now_ms).or((!self.settings.load_by_probes).then_some(extrapolated))
    }

    /// Whether an endpoint is below its limit or has no attempt of this proxy in flight.
    pub(super) fn has_capacity(&self, endpoint: &Endpoint) -> bool {
        let extrapolated = endpoint.own_in_flight() * self.proxies_per_endpoint;
        let reported = endpoint.reported_load(self.now_ms).unwrap_or(extrapolated);
        let load = self.clamp_to_local_estimate(endpoint.in_flight.len(), extrapolated, reported);
        endpoint.in_flight.is_empty() || load < endpoint.statistics.concurrency_limit
    }

    /// Clamps the reported load to between the extrapolated load less one standard error and the extrapolated
    /// load, as an extrapolation from few attempts is noisy.
    fn clamp_to_local_estimate(&self, own: usize, extrapolated: f64, reported: f64) -> f64 {
        // While responses are buffered for slow readers, attempts in flight may have left their endpoints.
        let is_exact = self.settings.load_by_probes && !self.settings.limited_response_buffers;
        let sampled = ((1.0 - 1.0 / self.proxies_per_endpoint) / own.max(1) as f64).sqrt();
        let error = if is_exact { 0.0 } else { sampled };
        reported.clamp(extrapolated * (1.0 - error), extrapolated)
    }

    /// Utilization of the subset's limits: by reports with load probes, else by this proxy's attempts.
    pub(super) fn utilization(&self) -> f64 {
        if self.settings.load_by_probes {
            return self.subset_utilization(|endpoint| endpoint.reported_load(self.now_ms));
        }
        self.subset_utilization(|endpoint| Some(endpoint.own_in_flight() * self.proxies_per_endpoint))
    }

    /// Utilization of the subset's limits as used for admission, within the error of the local estimate.
    pub(super) fn admission_utilization(&self) -> f64 {
        let own = self.subset.iter().map(|id| self.endpoints[id].in_flight.len()).sum();
        let reported = self.subset_utilization(|endpoint| self.estimated_load(endpoint));
        self.clamp_to_local_estimate(own, self.utilization(), reported)
    }

    /// The sum of the known loads in the subset over the sum of their limits.
    fn subset_utilization(&self, load: impl Fn(&Endpoint) -> Option<f64>) -> f64 {
        let subset = self.subset.iter().map(|id| &self.endpoints[id]);
        let known = subset.filter_map(|one| Some((load(one)?, one.statistics.concurrency_limit)));
        let add = |(loads, limits), (load, limit)| (loads + load, limits + limit);
        let (loads, limits) = known.fold((0.0, 0.0), add);
        loads / f64::max(limits, 1.0)
    }
}
