//! How many proxies the load reports of endpoints tell of.

use crate::cluster_size::CONFIRM_AFTER_MS;

/// Time constant over which reports are smoothed: shorter than what confirms a smaller cluster.
const SMOOTHING_MS: f64 = 5000.0;
const _: () = assert!(SMOOTHING_MS < CONFIRM_AFTER_MS);
/// Fewer reports than these say nothing.
const MIN_REPORTS: f64 = 40.0;
/// The least mean of own requests in flight at a report: with next to none, a few reports would say anything.
const MIN_OWN_PER_REPORT: f64 = 0.1;
/// The weight of one calibration in the moving average.
const CALIBRATION_WEIGHT: f64 = 0.05;

/// Compares what endpoints report as in flight with what this proxy has in flight there: how many proxies like this
/// one there would be.
///
/// Both are of the moment of an answer: endpoints are answered from, as sent to, while they hold less than in the
/// mean. (Own requests in flight sampled by the clock beside that made twelve proxies look like four.) Few proxies,
/// which avoid endpoints where they have requests in flight, look like up to twice as many. Sums decay over seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadBasedEstimate {
    reported_sum: f64,
    own_sum: f64,
    reports: f64,
    /// Whether endpoints count a request that they have just answered: between 0 and 1.
    counts_answered: f64,
    updated_at_ms: f64,
}

impl LoadBasedEstimate {
    /// An endpoint reports so many requests in flight, with an answer, while this proxy has so many others there.
    pub fn record(&mut self, now_ms: f64, reported: f64, own: f64) {
        let kept = decay(now_ms - self.updated_at_ms);
        self.reported_sum = self.reported_sum * kept + reported;
        self.own_sum = self.own_sum * kept + own;
        self.reports = self.reports * kept + 1.0;
        self.updated_at_ms = now_ms;
    }

    /// While the whole cluster of so many is known to live: learns whether reports count the answered request.
    pub fn calibrate(&mut self, live: usize) {
        if self.reports >= MIN_REPORTS {
            let excess = (self.reported_sum - live as f64 * self.own_sum) / self.reports;
            self.counts_answered +=
                CALIBRATION_WEIGHT * (excess.clamp(0.0, 1.0) - self.counts_answered);
        }
    }

    /// How many proxies like this one endpoints tell of; none where they tell too little.
    pub fn estimate(&self, now_ms: f64) -> Option<f64> {
        let reports = self.reports * decay(now_ms - self.updated_at_ms);
        let reported = (self.reported_sum - self.counts_answered * self.reports).max(0.0);
        let enough = reports >= MIN_REPORTS && self.own_sum >= MIN_OWN_PER_REPORT * self.reports;
        enough.then(|| reported / self.own_sum)
    }
}

/// What remains of a sum after so long.
fn decay(elapsed_ms: f64) -> f64 {
    (-elapsed_ms.max(0.0) / SMOOTHING_MS).exp()
}
