//! What a proxy may assume of the others' requests at a moment, for load balancing: how many proxies send, and which
//! part of a configured proxy's slow-start budget is its own.

use crate::cluster_size::{ClusterObservation, ClusterSizeEstimate};
use crate::load_estimate::LoadBasedEstimate;
use crate::Membership;

/// How often to look at what time alone changes: well within a probe interval.
const REFRESH_INTERVAL_MS: f64 = 100.0;
/// A relative change of the cluster size under this is none: limits do not show it, and each new solution costs work.
const MIN_RELATIVE_CHANGE: f64 = 0.005;

/// What is assumed at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assumed {
    /// The number of proxies that share the endpoints.
    pub cluster_size: f64,
    /// The part of a configured proxy's slow-start budget that this proxy may use, at most 1.
    pub slow_start_share: f64,
}

/// Works out what to assume from membership and the load that endpoints report.
pub struct ClusterAssumptions {
    size: ClusterSizeEstimate,
    load_based: LoadBasedEstimate,
    /// Own attempts in flight, by endpoint.
    in_flight: Vec<u32>,
    next_refresh_ms: f64,
    current: Assumed,
}

impl ClusterAssumptions {
    /// Begins with the number of proxies by the settings, and no slow-start share before the others are known.
    pub fn new(configured_size: f64, now_ms: f64) -> Self {
        ClusterAssumptions {
            size: ClusterSizeEstimate::new(configured_size, now_ms),
            load_based: LoadBasedEstimate::default(),
            in_flight: Vec::new(),
            next_refresh_ms: now_ms,
            current: Assumed {
                cluster_size: configured_size,
                slow_start_share: 0.0,
            },
        }
    }

    /// New settings have another number of proxies.
    pub fn set_configured_size(&mut self, configured_size: f64) {
        self.size.set_configured(configured_size);
    }

    /// What was last assumed.
    pub fn current(&self) -> Assumed {
        self.current
    }

    /// The number of proxies by the settings.
    pub fn configured_size(&self) -> f64 {
        self.size.configured()
    }

    /// The number of proxies by the load that endpoints report, if they do.
    pub fn load_based_size(&self, now_ms: f64) -> Option<f64> {
        self.load_based.estimate(now_ms)
    }

    /// When to call [`ClusterAssumptions::update`] next, whatever happens.
    pub fn next_refresh_ms(&self) -> f64 {
        self.next_refresh_ms
    }

    /// An attempt starts at an endpoint.
    pub fn attempt_started(&mut self, endpoint: usize) {
        *self.in_flight_at(endpoint) += 1;
    }

    /// An attempt has ended at an endpoint.
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

    /// An endpoint has reported with an answer how many requests it has in flight.
    pub fn load_reported(&mut self, now_ms: f64, endpoint: usize, reported: f64) {
        let own = self.in_flight.get(endpoint).copied().unwrap_or(0);
        self.load_based.record(now_ms, reported, f64::from(own));
    }

    /// Takes in what membership knows now. Returns whether load balancing is to be told. The caller does so before it
    /// sends what membership wants sent: gossip that went out before a share is lowered would let another proxy take
    /// what this one still uses.
    pub fn update(&mut self, now_ms: f64, membership: &mut Membership) -> bool {
        let counts = membership.counts();
        let live = counts.live + 1;
        if now_ms >= self.next_refresh_ms {
            self.next_refresh_ms = now_ms + REFRESH_INTERVAL_MS;
            if counts.failed == 0 {
                self.load_based.calibrate(live);
            }
        }
        let observation = ClusterObservation {
            live,
            failed: counts.failed,
            load_based: self.load_based.estimate(now_ms),
        };
        let cluster_size = self.size.update(now_ms, observation);
        let configured_size = self.size.configured();
        let share = membership.slow_start_share(configured_size);
        let slow_start_share = (share * configured_size).min(1.0);
        let relative_change = (cluster_size / self.current.cluster_size - 1.0).abs();
        let changed = slow_start_share != self.current.slow_start_share
            || relative_change > MIN_RELATIVE_CHANGE;
        if changed {
            self.current = Assumed {
                cluster_size,
                slow_start_share,
            };
        }
        changed
    }
}
