//! Slow start: how many attempts an endpoint gets while it is warming up.

use super::Balancer;

const BUDGET_IN_USE: f64 = 0.7; // of all proxies' budgets: the rest is for chance
const UNKNOWN_ENDPOINT: f64 = 0.8; // one never seen warm may be weaker than the mean of those that are
const SAVED_WINDOWS: f64 = 0.3; // with the income of a window this is just within a window's budget

impl Balancer {
    /// An endpoint that warms up must not be overloaded: each proxy spends its part of a window's budget,
    /// and none ahead. Hundreds of proxies that each save up an attempt would spend them together.
    pub(super) fn refill_slow_start_budgets(&mut self) {
        let (now_ms, slow_start) = (self.now_ms, self.settings.slow_start);
        for id in &self.subset {
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            if now_ms >= endpoint.warm_at_ms {
                continue;
            }
            let age_ms = now_ms - endpoint.latest_start_ms;
            let warmed_up = (age_ms / slow_start.duration_ms.max(1.0)).clamp(0.0, 1.0);
            let able = slow_start.initial_share + (1.0 - slow_start.initial_share) * warmed_up;
            // What it bore before a restart it will bear again.
            let once_bore = endpoint.statistics.peak_throughput;
            let warm_throughput = once_bore.max(UNKNOWN_ENDPOINT * self.warm_throughput);
            let budget = self.slow_start_share * BUDGET_IN_USE * slow_start.overload_multiple;
            let rate = budget * able * warm_throughput;
            let capacity = SAVED_WINDOWS * slow_start.window_ms * rate;
            endpoint.slow_start_budget.refill(now_ms, rate, capacity, &mut self.rng);
        }
    }
}
