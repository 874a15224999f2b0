//! Exponential moving averages.

/// What is left of a value that decays with this time constant.
pub(crate) fn decay(elapsed_ms: f64, time_constant_ms: f64) -> f64 {
    (-elapsed_ms / time_constant_ms).exp()
}

/// Moves an average towards a sample that has this weight, from 0 to 1.
pub(crate) fn smooth(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// The rate of events, smoothed over a time constant.
#[derive(Clone, Copy, Default)]
pub(crate) struct EventRate {
    pub(crate) per_ms: f64,
    updated_at_ms: f64,
}

impl EventRate {
    /// Counts an event.
    pub(crate) fn record(&mut self, now_ms: f64, time_constant_ms: f64) {
        let left = self.per_ms * decay(now_ms - self.updated_at_ms, time_constant_ms);
        self.per_ms = left + 1.0 / time_constant_ms;
        self.updated_at_ms = now_ms;
    }
}

/// What is left of a value that fades to a baseline.
pub(crate) fn fade(value: f64, baseline: f64, remains: f64) -> f64 {
    baseline + (value - baseline) * remains
}

/// The mean of values; 0 where there are none.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    sum / f64::max(count, 1.0)
}

/// Moves a minimum: down to a lower sample at once, up towards a higher one that has this weight.
pub(crate) fn follow_minimum(minimum: &mut f64, sample: f64, weight: f64) {
    if sample < *minimum {
        *minimum = sample;
    } else {
        smooth(minimum, sample, weight);
    }
}

/// Moves an estimate of the value that nineteen of twenty samples stay under, by the parts of a step that
/// keep it there, within bounds.
pub(crate) fn follow_95th_percentile(estimate: &mut f64, above: bool, step: f64, bounds: (f64, f64)) {
    *estimate += if above { step * 0.95 } else { -step * 0.05 };
    *estimate = estimate.clamp(bounds.0, bounds.1);
}
