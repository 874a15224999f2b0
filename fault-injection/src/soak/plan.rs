//! What happens in a run of a seed. The same seed gives the same plan.

use crate::proxy_process::DescriptorLimits;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::ops::Range;

/// How long clients send requests.
pub(super) const LOAD_MS: f64 = 12_000.0;
/// When reloads come in series, an outage of discovery begins, proxies are told to end, and one is upgraded.
const RELOADS_MS: Range<f64> = 800.0..1500.0;
const OUTAGE_MS: Range<f64> = 1500.0..3000.0;
const SHUTDOWNS_MS: Range<f64> = 3000.0..4500.0;
const UPGRADE_MS: Range<f64> = 8500.0..9000.0;
/// When an endpoint that is to be disabled during the upgrade is disabled, and enabled again. The proxies that were
/// restarted are ready by then.
const BEFORE_UPGRADE_MS: f64 = 8200.0;
const AFTER_UPGRADE_MS: f64 = 11_200.0;
/// How long discovery is out.
const OUTAGE_LENGTH_MS: Range<f64> = 500.0..2500.0;
/// Between two signals of a series.
const SIGNAL_INTERVAL_MS: Range<f64> = 2.0..80.0;
/// Between two calls of an operator.
const CALL_INTERVAL_MS: Range<f64> = 600.0..900.0;
/// How long after its first SIGTERM a proxy may get another signal.
const SIGNALS_AROUND_SHUTDOWN_MS: Range<f64> = -20.0..300.0;
/// How long a drained endpoint takes to come back.
const DRAIN_MS: f64 = 3000.0;
/// Requests a second at each proxy.
const RATE: Range<f64> = 60.0..250.0;
const MOST_RELOADS: usize = 8;
const PROXIES: Range<usize> = 2..4;
const ENDPOINTS: usize = 6;
const IDLE_CLIENTS_FRACTION: f64 = 0.4;
const CLUSTER_FRACTION: f64 = 0.3;
const DRAIN_FRACTION: f64 = 0.7;

const USUAL_DESCRIPTORS: DescriptorLimits = DescriptorLimits {
    configured: 512,
    system: 1024,
};
/// Limits of runs with idle clients, and how many of those are at each proxy.
const IDLE_CLIENT_RUNS: [(DescriptorLimits, usize); 3] = [
    (
        DescriptorLimits {
            configured: 128,
            system: 64,
        },
        150,
    ),
    (
        DescriptorLimits {
            configured: 128,
            system: 64,
        },
        300,
    ),
    (
        DescriptorLimits {
            configured: 128,
            system: 128,
        },
        300,
    ),
];

/// What a proxy finds in its configuration file as it reads it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReloadedFile {
    Valid,
    /// Its second half is missing.
    CutShort,
    /// Valid, with another address of discovery.
    DiscoveryMoved,
}

/// How discovery fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiscoveryOutage {
    /// It accepts polls and answers none.
    Silent,
    /// Its connections are closed, and new ones at once.
    Closed,
}

/// Something that is done in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SoakAction {
    /// SIGHUP, with this file in place.
    Reload {
        proxy: usize,
        file: ReloadedFile,
    },
    /// SIGUSR1.
    LogCounters {
        proxy: usize,
    },
    /// The first SIGTERM; SIGKILL comes at the earliest that is allowed, and then a new start.
    Restart {
        proxy: usize,
    },
    /// A further SIGTERM.
    TerminateAgain {
        proxy: usize,
    },
    /// A newer process is started beside it, and takes over.
    Upgrade {
        proxy: usize,
    },
    DiscoveryFails {
        outage: DiscoveryOutage,
    },
    DiscoveryRecovers,
    Drain {
        endpoint: usize,
    },
    RestartEndpoint {
        endpoint: usize,
    },
    /// An operator's call.
    Disable {
        proxy: usize,
        endpoint: usize,
    },
    /// An operator's call.
    Enable {
        proxy: usize,
        endpoint: usize,
    },
}

/// An action with its time, in milliseconds from the first request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PlannedAction {
    pub(super) at_ms: f64,
    pub(super) action: SoakAction,
}

/// The plan of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// The number of proxies.
    pub proxies: usize,
    /// Whether they form a cluster.
    pub cluster: bool,
    /// How many descriptors each proxy may hold.
    pub descriptors: DescriptorLimits,
    /// Requests a second at each proxy.
    pub rate: f64,
    /// How many idle clients are at each proxy, beside those that send requests.
    pub idle_clients: usize,
    pub(super) actions: Vec<PlannedAction>,
}

impl SoakPlan {
    /// The plan of a seed.
    pub fn of_seed(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let proxies = random.random_range(PROXIES);
        let has_idle_clients = random.random::<f64>() < IDLE_CLIENTS_FRACTION;
        let cluster = random.random::<f64>() < CLUSTER_FRACTION;
        let rate = random.random_range(RATE);
        let (descriptors, idle_clients) = if has_idle_clients {
            IDLE_CLIENT_RUNS[random.random_range(0..IDLE_CLIENT_RUNS.len())]
        } else {
            (USUAL_DESCRIPTORS, 0)
        };
        let mut planner = Planner {
            random,
            proxies,
            actions: Vec::new(),
        };
        planner.plan();
        let mut actions = planner.actions;
        actions.sort_by(|one, other| one.at_ms.total_cmp(&other.at_ms));
        SoakPlan {
            proxies,
            cluster,
            descriptors,
            rate,
            idle_clients,
            actions,
        }
    }
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let DescriptorLimits { configured, system } = self.descriptors;
        write!(
            formatter,
            "proxies {}, cluster {}, rate {:.0}, idle clients {}, descriptors {configured} and {system}",
            self.proxies, self.cluster, self.rate, self.idle_clients
        )
    }
}

/// Draws the actions of a plan.
struct Planner {
    random: ChaCha8Rng,
    proxies: usize,
    actions: Vec<PlannedAction>,
}

impl Planner {
    fn plan(&mut self) {
        self.plan_reloads();
        self.plan_outage();
        let restarted = self.plan_restarts();
        let upgraded = self.random.random_range(0..self.proxies);
        let upgrade_at_ms = self.time_in(UPGRADE_MS);
        self.add(upgrade_at_ms, SoakAction::Upgrade { proxy: upgraded });
        self.plan_calls(&restarted);
    }

    fn add(&mut self, at_ms: f64, action: SoakAction) {
        self.actions.push(PlannedAction { at_ms, action });
    }

    fn time_in(&mut self, range: Range<f64>) -> f64 {
        self.random.random_range(range)
    }

    fn reloaded_file(&mut self) -> ReloadedFile {
        match self.random.random_range(0..4) {
            0 => ReloadedFile::CutShort,
            1 => ReloadedFile::DiscoveryMoved,
            _ => ReloadedFile::Valid,
        }
    }

    /// A series of reloads at one proxy, and SIGUSR1 among them.
    fn plan_reloads(&mut self) {
        let proxy = self.random.random_range(0..self.proxies);
        let mut at_ms = self.time_in(RELOADS_MS);
        for _ in 0..self.random.random_range(3..=MOST_RELOADS) {
            let file = self.reloaded_file();
            self.add(at_ms, SoakAction::Reload { proxy, file });
            at_ms += self.time_in(SIGNAL_INTERVAL_MS);
        }
        self.add(at_ms, SoakAction::LogCounters { proxy });
        let file = ReloadedFile::Valid;
        self.add(at_ms, SoakAction::Reload { proxy, file });
    }

    /// Discovery is out for a while, and an endpoint may begin to drain meanwhile.
    fn plan_outage(&mut self) {
        let begins_at_ms = self.time_in(OUTAGE_MS);
        let ends_at_ms = begins_at_ms + self.time_in(OUTAGE_LENGTH_MS);
        let outage = if self.random.random::<f64>() < 0.5 {
            DiscoveryOutage::Silent
        } else {
            DiscoveryOutage::Closed
        };
        self.add(begins_at_ms, SoakAction::DiscoveryFails { outage });
        self.add(ends_at_ms, SoakAction::DiscoveryRecovers);
        if self.random.random::<f64>() < DRAIN_FRACTION {
            let endpoint = self.random.random_range(0..ENDPOINTS);
            let drains_at_ms = self.time_in(begins_at_ms..ends_at_ms);
            self.add(drains_at_ms, SoakAction::Drain { endpoint });
            let restart = SoakAction::RestartEndpoint { endpoint };
            self.add(drains_at_ms + DRAIN_MS, restart);
        }
    }

    /// Some proxies, but not all, are told to end, mostly at one moment. Returns which, and when.
    fn plan_restarts(&mut self) -> Vec<(usize, f64)> {
        let count = self.random.random_range(1..self.proxies);
        let first = self.random.random_range(0..self.proxies);
        let at_ms = self.time_in(SHUTDOWNS_MS);
        let mut restarted = Vec::new();
        for offset in 0..count {
            let proxy = (first + offset) % self.proxies;
            self.add(at_ms, SoakAction::Restart { proxy });
            restarted.push((proxy, at_ms));
            for _ in 0..self.random.random_range(0..4) {
                let signal_at_ms = at_ms + self.time_in(SIGNALS_AROUND_SHUTDOWN_MS);
                let signal = self.signal_around_shutdown(proxy, signal_at_ms > at_ms);
                self.add(signal_at_ms, signal);
            }
        }
        restarted
    }

    fn signal_around_shutdown(&mut self, proxy: usize, is_shutting_down: bool) -> SoakAction {
        match self.random.random_range(0..3) {
            0 => SoakAction::LogCounters { proxy },
            1 if is_shutting_down => SoakAction::TerminateAgain { proxy },
            _ => SoakAction::Reload {
                proxy,
                file: self.reloaded_file(),
            },
        }
    }

    /// An operator disables and enables endpoints, at a proxy that is neither ending nor starting. In the end all
    /// are enabled.
    fn plan_calls(&mut self, restarted: &[(usize, f64)]) {
        const DOWN_MS: Range<f64> = -300.0..3500.0;
        for proxy in 0..self.proxies {
            let endpoint = self.random.random_range(0..ENDPOINTS);
            let mut at_ms = self.time_in(CALL_INTERVAL_MS);
            let mut is_disabled = false;
            while at_ms < UPGRADE_MS.start - CALL_INTERVAL_MS.end || is_disabled {
                let is_down = restarted.iter().any(|(down, since_ms)| {
                    *down == proxy && DOWN_MS.contains(&(at_ms - since_ms))
                });
                if !is_down {
                    let call = if is_disabled {
                        SoakAction::Enable { proxy, endpoint }
                    } else {
                        SoakAction::Disable { proxy, endpoint }
                    };
                    self.add(at_ms, call);
                    is_disabled = !is_disabled;
                }
                at_ms += self.time_in(CALL_INTERVAL_MS);
            }
            if self.random.random::<f64>() < 0.5 {
                // One that is disabled stays so over an upgrade.
                self.add(BEFORE_UPGRADE_MS, SoakAction::Disable { proxy, endpoint });
                self.add(AFTER_UPGRADE_MS, SoakAction::Enable { proxy, endpoint });
            }
        }
    }
}
