//! Generates the plan of a soak run from its seed, deterministically.

use crate::proxy_process::DescriptorLimits;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::ops::Range;

/// The duration of the load.
pub(super) const LOAD_MS: f64 = 12_000.0;
/// When a series of reloads begins.
const RELOADS_MS: Range<f64> = 800.0..1500.0;
/// When an outage of discovery begins.
const OUTAGE_START_MS: Range<f64> = 1500.0..3000.0;
/// When proxies are restarted.
const RESTARTS_MS: Range<f64> = 3000.0..4500.0;
/// When a proxy is upgraded.
const UPGRADE_MS: Range<f64> = 8500.0..9000.0;
/// When an endpoint is disabled and enabled again around the upgrade. Restarted proxies are ready by then.
const DISABLE_BEFORE_UPGRADE_MS: f64 = 8200.0;
const ENABLE_AFTER_UPGRADE_MS: f64 = 11_200.0;
/// The duration of the outage of discovery.
const OUTAGE_DURATION_MS: Range<f64> = 500.0..2500.0;
/// The interval between two reloads of the series.
const RELOAD_INTERVAL_MS: Range<f64> = 2.0..80.0;
/// The interval between two admin calls to a proxy.
const CALL_INTERVAL_MS: Range<f64> = 600.0..900.0;
/// When further signals may be sent, relative to the first SIGTERM.
const SIGNAL_OFFSETS_MS: Range<f64> = -20.0..300.0;
/// The time from the drain of an endpoint to its restart.
const DRAIN_DURATION_MS: f64 = 3000.0;
/// Requests per second at each proxy.
const RATE: Range<f64> = 60.0..250.0;
const MAX_RELOADS: usize = 8;
const PROXY_COUNTS: Range<usize> = 2..4;
const ENDPOINT_COUNT: usize = 6;
const IDLE_CLIENTS_FRACTION: f64 = 0.4;
const CLUSTER_FRACTION: f64 = 0.3;
const DRAIN_FRACTION: f64 = 0.7;

const DEFAULT_DESCRIPTORS: DescriptorLimits = DescriptorLimits {
    configured: 512,
    system: 1024,
};
/// Combinations of descriptor limits and the number of idle clients per proxy, of which a run uses one.
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

/// The state of the configuration file at a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReloadedFile {
    Valid,
    /// Truncated in the middle.
    Truncated,
    /// Valid, with a different discovery address.
    DiscoveryMoved,
}

/// How discovery fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiscoveryOutage {
    /// It accepts polls but does not respond.
    Silent,
    /// It closes existing connections, and new ones immediately.
    Closed,
}

/// An action of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SoakAction {
    /// Writes the configuration file in this state, then sends SIGHUP.
    Reload {
        proxy: usize,
        file: ReloadedFile,
    },
    /// Sends SIGUSR1.
    LogCounters {
        proxy: usize,
    },
    /// Sends SIGTERM, then SIGKILL at the earliest permitted time, and restarts the proxy.
    Restart {
        proxy: usize,
    },
    /// Sends another SIGTERM during the shutdown.
    TerminateAgain {
        proxy: usize,
    },
    /// Starts a newer process, which takes over from the running one.
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
    /// Disables an endpoint through the admin API.
    Disable {
        proxy: usize,
        endpoint: usize,
    },
    /// Enables an endpoint through the admin API.
    Enable {
        proxy: usize,
        endpoint: usize,
    },
}

/// An action and its time, in milliseconds from the start of the load.
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
    /// The limits of open descriptors for each proxy.
    pub descriptors: DescriptorLimits,
    /// Requests per second at each proxy.
    pub rate: f64,
    /// The number of idle clients at each proxy, in addition to those that send requests.
    pub idle_clients: usize,
    pub(super) actions: Vec<PlannedAction>,
}

impl SoakPlan {
    /// Generates the plan of a seed.
    pub fn of_seed(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let proxies = random.random_range(PROXY_COUNTS);
        let has_idle_clients = random.random::<f64>() < IDLE_CLIENTS_FRACTION;
        let cluster = random.random::<f64>() < CLUSTER_FRACTION;
        let rate = random.random_range(RATE);
        let (descriptors, idle_clients) = if has_idle_clients {
            IDLE_CLIENT_RUNS[random.random_range(0..IDLE_CLIENT_RUNS.len())]
        } else {
            (DEFAULT_DESCRIPTORS, 0)
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

/// Generates the actions of a plan.
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
        let upgrade_at_ms = self.random_time(UPGRADE_MS);
        self.add(upgrade_at_ms, SoakAction::Upgrade { proxy: upgraded });
        self.plan_calls(&restarted);
    }

    fn add(&mut self, at_ms: f64, action: SoakAction) {
        self.actions.push(PlannedAction { at_ms, action });
    }

    fn random_time(&mut self, range: Range<f64>) -> f64 {
        self.random.random_range(range)
    }

    fn random_reloaded_file(&mut self) -> ReloadedFile {
        match self.random.random_range(0..4) {
            0 => ReloadedFile::Truncated,
            1 => ReloadedFile::DiscoveryMoved,
            _ => ReloadedFile::Valid,
        }
    }

    /// Plans a series of reloads at one proxy that ends with SIGUSR1 and a valid file.
    fn plan_reloads(&mut self) {
        let proxy = self.random.random_range(0..self.proxies);
        let mut at_ms = self.random_time(RELOADS_MS);
        for _ in 0..self.random.random_range(3..=MAX_RELOADS) {
            let file = self.random_reloaded_file();
            self.add(at_ms, SoakAction::Reload { proxy, file });
            at_ms += self.random_time(RELOAD_INTERVAL_MS);
        }
        self.add(at_ms, SoakAction::LogCounters { proxy });
        let file = ReloadedFile::Valid;
        self.add(at_ms, SoakAction::Reload { proxy, file });
    }

    /// Plans an outage of discovery, during which an endpoint may start to drain.
    fn plan_outage(&mut self) {
        let start_ms = self.random_time(OUTAGE_START_MS);
        let end_ms = start_ms + self.random_time(OUTAGE_DURATION_MS);
        let outage = if self.random.random::<f64>() < 0.5 {
            DiscoveryOutage::Silent
        } else {
            DiscoveryOutage::Closed
        };
        self.add(start_ms, SoakAction::DiscoveryFails { outage });
        self.add(end_ms, SoakAction::DiscoveryRecovers);
        if self.random.random::<f64>() < DRAIN_FRACTION {
            let endpoint = self.random.random_range(0..ENDPOINT_COUNT);
            let drain_ms = self.random_time(start_ms..end_ms);
            self.add(drain_ms, SoakAction::Drain { endpoint });
            let restart = SoakAction::RestartEndpoint { endpoint };
            self.add(drain_ms + DRAIN_DURATION_MS, restart);
        }
    }

    /// Plans the simultaneous restart of some proxies, but not all. Returns them with the time.
    fn plan_restarts(&mut self) -> Vec<(usize, f64)> {
        let count = self.random.random_range(1..self.proxies);
        let first = self.random.random_range(0..self.proxies);
        let at_ms = self.random_time(RESTARTS_MS);
        let mut restarted = Vec::new();
        for offset in 0..count {
            let proxy = (first + offset) % self.proxies;
            self.add(at_ms, SoakAction::Restart { proxy });
            restarted.push((proxy, at_ms));
            for _ in 0..self.random.random_range(0..4) {
                let signal_at_ms = at_ms + self.random_time(SIGNAL_OFFSETS_MS);
                let signal = self.random_signal_around_shutdown(proxy, signal_at_ms > at_ms);
                self.add(signal_at_ms, signal);
            }
        }
        restarted
    }

    fn random_signal_around_shutdown(
        &mut self,
        proxy: usize,
        is_shutting_down: bool,
    ) -> SoakAction {
        match self.random.random_range(0..3) {
            0 => SoakAction::LogCounters { proxy },
            1 if is_shutting_down => SoakAction::TerminateAgain { proxy },
            _ => SoakAction::Reload {
                proxy,
                file: self.random_reloaded_file(),
            },
        }
    }

    /// Plans admin calls that disable and enable endpoints at proxies that are not restarting. At the end, all are
    /// enabled.
    fn plan_calls(&mut self, restarted: &[(usize, f64)]) {
        /// When a proxy gets no calls, relative to its restart.
        const NO_CALLS_MS: Range<f64> = -300.0..3500.0;
        for proxy in 0..self.proxies {
            let endpoint = self.random.random_range(0..ENDPOINT_COUNT);
            let mut at_ms = self.random_time(CALL_INTERVAL_MS);
            let mut is_disabled = false;
            while at_ms < UPGRADE_MS.start - CALL_INTERVAL_MS.end || is_disabled {
                let is_restarting = restarted.iter().any(|(restarted_proxy, restart_ms)| {
                    *restarted_proxy == proxy && NO_CALLS_MS.contains(&(at_ms - restart_ms))
                });
                if !is_restarting {
                    let call = if is_disabled {
                        SoakAction::Enable { proxy, endpoint }
                    } else {
                        SoakAction::Disable { proxy, endpoint }
                    };
                    self.add(at_ms, call);
                    is_disabled = !is_disabled;
                }
                at_ms += self.random_time(CALL_INTERVAL_MS);
            }
            if self.random.random::<f64>() < 0.5 {
                // An endpoint that is disabled must stay disabled across an upgrade.
                self.add(
                    DISABLE_BEFORE_UPGRADE_MS,
                    SoakAction::Disable { proxy, endpoint },
                );
                self.add(
                    ENABLE_AFTER_UPGRADE_MS,
                    SoakAction::Enable { proxy, endpoint },
                );
            }
        }
    }
}
