//! Exponential moving averages.

/// The factor by which a value decays exponentially over the elapsed time.
pub(crate) fn decay_factor(elapsed_ms: f64, time_constant_ms: f64) -> f64 {
    (-elapsed_ms / time_constant_ms).exp()
}

/// Moves an average towards a sample of this weight, from 0 to 1.
pub(crate) fn smooth(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// An exponentially weighted rate of events.
#[derive(Clone, Copy, Default)]
pub(crate) struct EventRate {
    pub(crate) per_ms: f64,
    updated_at_ms: f64,
}

impl EventRate {
    pub(crate) fn record(&mut self, now_ms: f64, time_constant_ms: f64) {
        let decayed = self.per_ms * decay_factor(now_ms - self.updated_at_ms, time_constant_ms);
        self.per_ms = decayed + 1.0 / time_constant_ms;
        self.updated_at_ms = now_ms;
    }
}

/// Decays the difference of a value from a baseline by a factor.
pub(crate) fn decay_towards(value: f64, baseline: f64, factor: f64) -> f64 {
    baseline + (value - baseline) * factor
}

/// The mean of the values; 0 if there are none.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    sum / f64::max(count, 1.0)
}

/// Sets a minimum to a lower sample at once, and moves it towards a higher one by this weight.
pub(crate) fn update_minimum(minimum: &mut f64, sample: f64, weight: f64) {
    if sample < *minimum {
        *minimum = sample;
    } else {
        smooth(minimum, sample, weight);
    }
}

/// Updates a streaming estimate of the 95th percentile, and clamps it to the bounds. The estimate is stable
/// when 5 % of the samples lie above it, as a step up is 19 times a step down.
pub(crate) fn update_p95(estimate: &mut f64, above: bool, step: f64, bounds: (f64, f64)) {
    *estimate += if above { step * 0.95 } else { -step * 0.05 };
    *estimate = estimate.clamp(bounds.0, bounds.1);
}
