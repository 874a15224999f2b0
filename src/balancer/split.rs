//! The split of the paper: shares that minimise the expected cost and time of a request, a pure function.

use crate::state::QueueModel;

const HALVINGS: usize = 60; // bring any level in use below rounding

impl QueueModel {
    /// The largest share whose marginal cost stays at or under a level.
    fn share_at(&self, arrival_rate: f64, marginal_cost: f64) -> f64 {
        let arrivals = (arrival_rate * self.horizon_ms).max(f64::MIN_POSITIVE);
        let above = marginal_cost - self.cost_ms - 1.0 / self.service_rate;
        if above < 0.0 {
            return 0.0;
        }
        let backlog = self.queue - self.service_rate * self.horizon_ms;
        // Past what is free now the marginal cost rises by twice the share's own weight.
        let rising = (above * self.service_rate - backlog) / (2.0 * arrivals);
        rising.max(-backlog / arrivals).clamp(0.0, self.max_share)
    }

    /// What it can take within the horizon beyond its queue, a millisecond.
    fn free_rate(&self) -> f64 {
        let drains = self.horizon_ms > 0.0;
        let free = if drains { self.service_rate - self.queue / self.horizon_ms } else { 0.0 };
        free.max(0.0)
    }

    /// The marginal cost of its largest share.
    fn steepest_cost(&self, arrival_rate: f64) -> f64 {
        let arrivals = 2.0 * self.max_share * arrival_rate * self.horizon_ms;
        self.cost_ms + (1.0 + self.queue + arrivals) / self.service_rate
    }
}

/// Shares that minimise the expected cost and time of a request when every proxy uses them: those with level
/// marginal costs, found by bisection on that level. Where the cost is flat or tied, free capacity decides.
pub fn split(models: &[QueueModel], arrival_rate: f64) -> Vec<f64> {
    let max_sum: f64 = models.iter().map(|model| model.max_share).sum();
    if max_sum <= 1.0 {
        return models.iter().map(|model| model.max_share / max_sum.max(f64::MIN_POSITIVE)).collect();
    }
    // Where all arrivals of the horizon fit into what is free, the cost is flat everywhere.
    let free: f64 = models.iter().map(QueueModel::free_rate).sum();
    let usable = models.iter().filter(|model| model.free_rate() > 0.0);
    let usable: f64 = usable.map(|model| model.max_share).sum();
    // Free capacity alone would send requests across zones past idle endpoints: there costs decide.
    let equally_far = models.iter().all(|model| model.locality_cost_ms == models[0].locality_cost_ms);
    if free > arrival_rate && usable > 1.0 && equally_far {
        let rates = models.iter().map(QueueModel::free_rate).filter(|rate| *rate > 0.0);
        let high = 1.0 / rates.fold(f64::MAX, f64::min);
        return bisect(models, high, |model, level| (level * model.free_rate()).min(model.max_share));
    }
    let steepest = models.iter().map(|model| model.steepest_cost(arrival_rate));
    let high = steepest.fold(0.0, f64::max) + 1.0;
    bisect(models, high, |model, level| model.share_at(arrival_rate, level))
}

/// Finds the level at which the shares sum to one.
fn bisect(models: &[QueueModel], mut high: f64, share: impl Fn(&QueueModel, f64) -> f64) -> Vec<f64> {
    let shares_at = |level: f64| models.iter().map(|model| share(model, level)).collect::<Vec<f64>>();
    let mut low = 0.0;
    for _ in 0..HALVINGS {
        let middle = 0.5 * (low + high);
        if shares_at(middle).iter().sum::<f64>() >= 1.0 {
            high = middle;
        } else {
            low = middle;
        }
    }
    // Between the two levels lie the flat stretches that are tied.
    let (under, over) = (shares_at(low), shares_at(high));
    let (sum_under, sum_over) = (under.iter().sum::<f64>(), over.iter().sum::<f64>());
    let part = if sum_over > sum_under { (1.0 - sum_under) / (sum_over - sum_under) } else { 0.0 };
    under.iter().zip(&over).map(|(under, over)| under + (over - under) * part).collect()
}
