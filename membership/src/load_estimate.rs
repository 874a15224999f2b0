//! Estimate of the number of proxies from the endpoints' load reports.

use crate::cluster_size::CONFIRMATION_PERIOD_MS;

/// Time constant of the exponential smoothing, shorter than the confirmation period of a smaller cluster.
const SMOOTHING_MS: f64 = 5000.0;
const _: () = assert!(SMOOTHING_MS < CONFIRMATION_PERIOD_MS);
/// The minimum number of reports for an estimate.
const MIN_REPORTS: f64 = 40.0;
/// The minimum mean of own requests in flight per report; the estimate divides by it, and below this it is noise.
const MIN_MEAN_OWN_IN_FLIGHT: f64 = 0.1;
/// The weight of one calibration in its moving average.
const CALIBRATION_WEIGHT: f64 = 0.05;

/// Estimates the number of proxies as the ratio of the requests that endpoints report in flight to the requests that
/// this proxy has in flight there, assuming that all proxies send similar load.
///
/// Both are sampled when a response arrives: responses are more frequent from lightly loaded endpoints, and sampling
/// only one of the two by the clock biases the ratio: twelve proxies looked like four. With few proxies, which avoid
/// endpoints where they already have requests in flight, the estimate is up to twice too high.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadBasedEstimate {
    reported_sum: f64,
    own_sum: f64,
    reports: f64,
    /// By how much reports include the request just answered, from 0 to 1.
    answered_request_bias: f64,
    updated_at_ms: f64,
}

impl LoadBasedEstimate {
    /// Records the requests in flight that an endpoint reported with a response, and this proxy's own at that endpoint,
    /// without the request that was answered.
    pub fn record(&mut self, now_ms: f64, reported: f64, own: f64) {
        let kept = decay(now_ms - self.updated_at_ms);
        self.reported_sum = self.reported_sum * kept + reported;
        self.own_sum = self.own_sum * kept + own;
        self.reports = self.reports * kept + 1.0;
        self.updated_at_ms = now_ms;
    }

    /// Learns whether reports include the answered request. Called only while all members of the cluster are live.
    pub fn calibrate(&mut self, live: usize) {
        if self.reports >= MIN_REPORTS {
            let excess = (self.reported_sum - live as f64 * self.own_sum) / self.reports;
            self.answered_request_bias +=
                CALIBRATION_WEIGHT * (excess.clamp(0.0, 1.0) - self.answered_request_bias);
        }
    }

    /// The estimated number of proxies; none if there are too few reports or own requests.
    pub fn estimate(&self, now_ms: f64) -> Option<f64> {
        let reports = self.reports * decay(now_ms - self.updated_at_ms);
        let reported = (self.reported_sum - self.answered_request_bias * self.reports).max(0.0);
        let enough =
            reports >= MIN_REPORTS && self.own_sum >= MIN_MEAN_OWN_IN_FLIGHT * self.reports;
        enough.then(|| reported / self.own_sum)
    }
}

/// The factor by which a sum decays over a time.
fn decay(elapsed_ms: f64) -> f64 {
    (-elapsed_ms.max(0.0) / SMOOTHING_MS).exp()
}
