//! Estimate of how many proxies share the endpoints. It rises immediately, and falls only once load reports confirm
//! that the missing proxies no longer send requests.

/// How long load reports must show no other senders before the estimate falls: longer than the delay of load reports
/// and the lifetime of most requests.
pub(crate) const CONFIRMATION_PERIOD_MS: f64 = 10_000.0;
/// The fraction by which the excess of the estimate decays per second, with a half-life of about three seconds.
const DECAY_PER_SECOND: f64 = 0.2;

/// What a proxy knows about the cluster at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClusterObservation {
    /// Members alive or suspected, including this proxy.
    pub live: usize,
    /// Members declared failed, which may be partitioned from this proxy and still send requests.
    pub failed: usize,
    /// The number of proxies estimated from load reports; none without enough reports.
    pub load_based: Option<f64>,
}

/// The number of proxies that load balancing assumes for its limits.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSizeEstimate {
    /// The configured number of proxies.
    configured: f64,
    estimate: f64,
    /// Since when load reports are consistent with live members only.
    consistent_since_ms: Option<f64>,
    updated_at_ms: f64,
}

impl ClusterSizeEstimate {
    /// Starts with the configured number of proxies.
    pub fn new(configured: f64, now_ms: f64) -> Self {
        let configured = configured.max(1.0);
        ClusterSizeEstimate {
            configured,
            estimate: configured,
            consistent_since_ms: None,
            updated_at_ms: now_ms,
        }
    }

    /// Changes the configured number of proxies; a lower one does not lower the estimate immediately.
    pub fn set_configured(&mut self, configured: f64) {
        let configured = configured.max(1.0);
        self.estimate = self.estimate.max(configured);
        self.configured = configured;
    }

    /// Updates the estimate with an observation and returns it.
    pub fn update(&mut self, now_ms: f64, observation: ClusterObservation) -> f64 {
        let live = observation.live.max(1) as f64;
        let max_senders = self.configured.max(live + observation.failed as f64);
        let elapsed_seconds = ((now_ms - self.updated_at_ms) / 1000.0).max(0.0);
        self.updated_at_ms = now_ms;
        let Some(load_based) = observation.load_based else {
            // Without load reports the estimate only rises, with the number of live members.
            self.consistent_since_ms = None;
            self.estimate = self.estimate.max(live);
            return self.estimate;
        };
        // Members beyond a partition send to the same endpoints. The estimate does not fall while the reported load is
        // closer, on a logarithmic scale, to that of all possible senders than to that of the live members. It never
        // falls below the reported load, which is a sample with errors of up to a third.
        let lower_bound = live.max(load_based.min(max_senders));
        if load_based * load_based >= live * max_senders && max_senders > live {
            self.consistent_since_ms = None;
            self.estimate = self.estimate.max(lower_bound);
            return self.estimate;
        }
        let since_ms = *self.consistent_since_ms.get_or_insert(now_ms);
        self.estimate = if now_ms - since_ms >= CONFIRMATION_PERIOD_MS {
            let excess = (self.estimate - lower_bound).max(0.0);
            lower_bound + excess * (1.0 - DECAY_PER_SECOND).powf(elapsed_seconds)
        } else {
            self.estimate.max(lower_bound)
        };
        self.estimate
    }

    /// The configured number of proxies.
    pub fn configured(&self) -> f64 {
        self.configured
    }
}
