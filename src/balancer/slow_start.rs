//! Slow start: limits the attempts that an endpoint gets while it is warming up.

use super::Balancer;

const BUDGET_FRACTION: f64 = 0.7; // the rest allows for random variation over all proxies
const UNKNOWN_CAPACITY_FACTOR: f64 = 0.8; // of the mean; an endpoint not yet seen warm may be slower
const BURST_WINDOWS: f64 = 0.3; // of budget; with the rate of one window this stays below the overload limit

impl Balancer {
    /// Adds to this proxy's part of the attempts that endpoints can take during slow start. Little unused
    /// budget accumulates, as hundreds of proxies could spend it at the same time.
    pub(super) fn refill_slow_start_budgets(&mut self) {
        let (now_ms, slow_start) = (self.now_ms, self.settings.slow_start);
        for id in &self.subset {
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            if now_ms >= endpoint.warm_at_ms {
                continue;
            }
            let age_ms = now_ms - endpoint.latest_start_ms;
            let progress = (age_ms / slow_start.duration_ms.max(1.0)).clamp(0.0, 1.0);
            let capacity_fraction = slow_start.initial_share + (1.0 - slow_start.initial_share) * progress;
            // After a restart, an endpoint is expected to reach its earlier peak throughput again.
            let peak_throughput = endpoint.statistics.peak_throughput;
            let warm_throughput = peak_throughput.max(UNKNOWN_CAPACITY_FACTOR * self.warm_throughput);
            let budget = self.slow_start_share * BUDGET_FRACTION * slow_start.overload_multiple;
            let rate = budget * capacity_fraction * warm_throughput;
            let capacity = BURST_WINDOWS * slow_start.window_ms * rate;
            endpoint.slow_start_budget.refill(now_ms, rate, capacity, &mut self.rng);
        }
    }
}
