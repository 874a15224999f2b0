//! What load balancing assumes about the other proxies: how many share the endpoints, and how much of its slow-start
//! budget this proxy may use.

use crate::cluster_size::{ClusterObservation, ClusterSizeEstimate};
use crate::load_estimate::LoadBasedEstimate;
use crate::Membership;

/// How often time-dependent assumptions are refreshed, shorter than a probe interval.
const REFRESH_INTERVAL_MS: f64 = 100.0;
/// Smaller relative changes of the cluster size are ignored: limits hardly change, and recomputing them is costly.
const MIN_RELATIVE_CHANGE: f64 = 0.005;

/// What load balancing assumes at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClusterAssumption {
    /// The number of proxies that share the endpoints.
    pub cluster_size: f64,
    /// The fraction of an evenly divided slow-start budget that this proxy may use, at most 1.
    pub slow_start_share: f64,
}

/// Derives [`ClusterAssumption`] from membership and the endpoints' load reports.
pub struct ClusterAssumptions {
    size_estimate: ClusterSizeEstimate,
    load_estimate: LoadBasedEstimate,
    /// This proxy's attempts in flight, by endpoint index.
    in_flight: Vec<u32>,
    next_refresh_ms: f64,
    current: ClusterAssumption,
}

impl ClusterAssumptions {
    /// Starts with the configured number of proxies, and without a slow-start share.
    pub fn new(configured_size: f64, now_ms: f64) -> Self {
        ClusterAssumptions {
            size_estimate: ClusterSizeEstimate::new(configured_size, now_ms),
            load_estimate: LoadBasedEstimate::default(),
            in_flight: Vec::new(),
            next_refresh_ms: now_ms,
            current: ClusterAssumption {
                cluster_size: configured_size,
                slow_start_share: 0.0,
            },
        }
    }

    /// Changes the configured number of proxies.
    pub fn set_configured_size(&mut self, configured_size: f64) {
        self.size_estimate.set_configured(configured_size);
    }

    /// The current assumptions.
    pub fn current(&self) -> ClusterAssumption {
        self.current
    }

    /// The configured number of proxies.
    pub fn configured_size(&self) -> f64 {
        self.size_estimate.configured()
    }

    /// The number of proxies estimated from load reports; none without enough reports.
    pub fn load_based_size(&self, now_ms: f64) -> Option<f64> {
        self.load_estimate.estimate(now_ms)
    }

    /// When to call [`ClusterAssumptions::update`] next at the latest.
    pub fn next_refresh_ms(&self) -> f64 {
        self.next_refresh_ms
    }

    /// Counts an attempt that starts at an endpoint.
    pub fn attempt_started(&mut self, endpoint: usize) {
        *self.in_flight_at(endpoint) += 1;
    }

    /// Counts an attempt that has ended at an endpoint.
    pub fn attempt_ended(&mut self, endpoint: usize) {
        let in_flight = self.in_flight_at(endpoint);
        *in_flight = in_flight.saturating_sub(1);
    }

    fn in_flight_at(&mut self, endpoint: usize) -> &mut u32 {
        if self.in_flight.len() <= endpoint {
            self.in_flight.resize(endpoint + 1, 0);
        }
        &mut self.in_flight[endpoint]
    }

    /// Records the requests in flight that an endpoint reported with a response.
    pub fn load_reported(&mut self, now_ms: f64, endpoint: usize, reported: f64) {
        let own = self.in_flight.get(endpoint).copied().unwrap_or(0);
        self.load_estimate.record(now_ms, reported, f64::from(own));
    }

    /// Updates the assumptions from membership. Returns whether they changed. The caller must apply a change before it
    /// sends membership's datagrams: gossip sent before a lowered share takes effect would let another proxy claim
    /// budget that this one still uses.
    pub fn update(&mut self, now_ms: f64, membership: &mut Membership) -> bool {
        let counts = membership.counts();
        let live = counts.live + 1;
        if now_ms >= self.next_refresh_ms {
            self.next_refresh_ms = now_ms + REFRESH_INTERVAL_MS;
            if counts.failed == 0 {
                self.load_estimate.calibrate(live);
            }
        }
        let observation = ClusterObservation {
            live,
            failed: counts.failed,
            load_based: self.load_estimate.estimate(now_ms),
        };
        let cluster_size = self.size_estimate.update(now_ms, observation);
        let configured_size = self.size_estimate.configured();
        let share = membership.slow_start_share(configured_size);
        let slow_start_share = (share * configured_size).min(1.0);
        let relative_change = (cluster_size / self.current.cluster_size - 1.0).abs();
        let changed = slow_start_share != self.current.slow_start_share
            || relative_change > MIN_RELATIVE_CHANGE;
        if changed {
            self.current = ClusterAssumption {
                cluster_size,
                slow_start_share,
            };
        }
        changed
    }
}
