//! How many proxies share the endpoints. What others say makes a proxy stricter at once; it becomes freer only when
//! those gone can no longer send requests.

/// How long endpoints must report that nobody else sends before a proxy believes it: longer than any load report is
/// late, and than a request lives at most deployments.
pub(crate) const CONFIRM_AFTER_MS: f64 = 10_000.0;
/// Of what is over the proxies that live, the share by which the estimate falls in a second: by half in three.
const DECAY_PER_SECOND: f64 = 0.2;

/// What a proxy knows of the cluster at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClusterObservation {
    /// Members alive or suspected, this proxy among them.
    pub live: usize,
    /// Members declared failed, and not known to have left: they may be cut off from here, and send requests.
    pub failed: usize,
    /// How many proxies like this one would cause the load that endpoints report, where they do.
    pub load_based: Option<f64>,
}

/// The number of proxies that load balancing is to assume, for limits.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSizeEstimate {
    /// By the operators' settings.
    configured: f64,
    estimate: f64,
    /// Since when endpoints report hardly more load than that of those that live.
    confirmed_since_ms: Option<f64>,
    updated_at_ms: f64,
}

impl ClusterSizeEstimate {
    /// Begins with the number of the settings.
    pub fn new(configured: f64, now_ms: f64) -> Self {
        let configured = configured.max(1.0);
        ClusterSizeEstimate {
            configured,
            estimate: configured,
            confirmed_since_ms: None,
            updated_at_ms: now_ms,
        }
    }

    /// New settings have another number.
    pub fn set_configured(&mut self, configured: f64) {
        let configured = configured.max(1.0);
        self.estimate = self.estimate.max(configured);
        self.configured = configured;
    }

    /// Takes in what is known now, and returns the number to be assumed.
    pub fn update(&mut self, now_ms: f64, observation: ClusterObservation) -> f64 {
        let live = observation.live.max(1) as f64;
        let may_send = self.configured.max(live + observation.failed as f64);
        let elapsed_seconds = ((now_ms - self.updated_at_ms) / 1000.0).max(0.0);
        self.updated_at_ms = now_ms;
        let Some(load_based) = observation.load_based else {
            // Nothing is reported: what was believed stays, joins count.
            self.confirmed_since_ms = None;
            self.estimate = self.estimate.max(live);
            return self.estimate;
        };
        // Members may be cut off from here, and those beyond the partition send to the same endpoints. The estimate
        // stays as long as the reported load is nearer to theirs, in proportion, than to that of the living, and it
        // is never under what is reported. Reports are a sample, and stray by a third.
        let least = live.max(load_based.min(may_send));
        if load_based * load_based >= live * may_send && may_send > live {
            self.confirmed_since_ms = None;
            self.estimate = self.estimate.max(least);
            return self.estimate;
        }
        let since_ms = *self.confirmed_since_ms.get_or_insert(now_ms);
        self.estimate = if now_ms - since_ms >= CONFIRM_AFTER_MS {
            let excess = (self.estimate - least).max(0.0);
            least + excess * (1.0 - DECAY_PER_SECOND).powf(elapsed_seconds)
        } else {
            self.estimate.max(least)
        };
        self.estimate
    }

    /// The number of the settings.
    pub fn configured(&self) -> f64 {
        self.configured
    }
}
