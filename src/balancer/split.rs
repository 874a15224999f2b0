//! The MCMS split: computes the shares that minimize the expected latency and cost of a request.

use crate::state::QueueModel;

const BISECTION_STEPS: usize = 60; // enough for any level to converge to rounding error

impl QueueModel {
    /// The largest share whose marginal cost is at most this level.
    fn share_at_cost(&self, arrival_rate: f64, marginal_cost: f64) -> f64 {
        let arrivals = (arrival_rate * self.horizon_ms).max(f64::MIN_POSITIVE);
        let cost_margin = marginal_cost - self.cost_ms - 1.0 / self.service_rate;
        if cost_margin < 0.0 {
            return 0.0;
        }
        let backlog = self.queue - self.service_rate * self.horizon_ms;
        // Beyond the free capacity, the marginal cost grows with twice the arrivals of the share.
        let congested_share = (cost_margin * self.service_rate - backlog) / (2.0 * arrivals);
        congested_share.max(-backlog / arrivals).clamp(0.0, self.max_share)
    }

    /// Requests per millisecond that it can serve within the horizon in addition to its queue.
    fn free_rate(&self) -> f64 {
        let has_horizon = self.horizon_ms > 0.0;
        let free = if has_horizon { self.service_rate - self.queue / self.horizon_ms } else { 0.0 };
        free.max(0.0)
    }

    /// The marginal cost at the maximum share.
    fn max_marginal_cost(&self, arrival_rate: f64) -> f64 {
        let arrivals = 2.0 * self.max_share * arrival_rate * self.horizon_ms;
        self.cost_ms + (1.0 + self.queue + arrivals) / self.service_rate
    }
}

/// Returns the shares that minimize the expected latency and cost of a request if all proxies use them: those
/// of equal marginal cost, found by bisection. Where this leaves a choice, shares follow free capacity.
pub fn split(models: &[QueueModel], arrival_rate: f64) -> Vec<f64> {
    let max_sum: f64 = models.iter().map(|model| model.max_share).sum();
    if max_sum <= 1.0 {
        return models.iter().map(|model| model.max_share / max_sum.max(f64::MIN_POSITIVE)).collect();
    }
    // If all arrivals within the horizon fit the free capacity, the marginal costs are constant.
    let free: f64 = models.iter().map(QueueModel::free_rate).sum();
    let usable = models.iter().filter(|model| model.free_rate() > 0.0);
    let usable: f64 = usable.map(|model| model.max_share).sum();
    // Shares by free capacity would needlessly cross zones, so locality costs must be equal.
    let equal_locality = models.iter().all(|model| model.locality_cost_ms == models[0].locality_cost_ms);
    if free > arrival_rate && usable > 1.0 && equal_locality {
        let rates = models.iter().map(QueueModel::free_rate).filter(|rate| *rate > 0.0);
        let high = 1.0 / rates.fold(f64::MAX, f64::min);
        return bisect(models, high, |model, level| (level * model.free_rate()).min(model.max_share));
    }
    let max_costs = models.iter().map(|model| model.max_marginal_cost(arrival_rate));
    let high = max_costs.fold(0.0, f64::max) + 1.0;
    bisect(models, high, |model, level| model.share_at_cost(arrival_rate, level))
}

/// Finds the level at which the shares sum to 1.
fn bisect(models: &[QueueModel], mut high: f64, share: impl Fn(&QueueModel, f64) -> f64) -> Vec<f64> {
    let shares_at = |level: f64| models.iter().map(|model| share(model, level)).collect::<Vec<f64>>();
    let mut low = 0.0;
    for _ in 0..BISECTION_STEPS {
        let middle = 0.5 * (low + high);
        if shares_at(middle).iter().sum::<f64>() >= 1.0 {
            high = middle;
        } else {
            low = middle;
        }
    }
    // Shares of constant marginal cost jump between the two levels and are interpolated.
    let (below, above) = (shares_at(low), shares_at(high));
    let (sum_below, sum_above) = (below.iter().sum::<f64>(), above.iter().sum::<f64>());
    let fraction = if sum_above > sum_below { (1.0 - sum_below) / (sum_above - sum_below) } else { 0.0 };
    below.iter().zip(&above).map(|(below, above)| below + (above - below) * fraction).collect()
}
