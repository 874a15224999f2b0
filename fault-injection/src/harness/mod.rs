//! Test environment for a cluster of proxy processes, driven by a single-threaded event loop: simulated endpoints,
//! discovery, clients and datagram relays, and the measurements that they collect.

mod admin_calls;
mod clients;
mod discovery;
mod endpoints;
mod event_loop;
mod idle_clients;
mod invariants;
mod measurements;
mod observations;
mod paths;
mod proxies;
mod shutdowns;

pub(crate) use admin_calls::{AdminCall, CallOutcome};
pub use measurements::Service;
pub use observations::View;

use crate::proxy_process::{ProxyProcess, Start};
use crate::relays::PathRelays;
use admin_calls::AdminCalls;
use clients::Clients;
use crankmux_simulator::invariants::InvariantChecker;
use crankmux_simulator::script::Script;
use discovery::Discovery;
use endpoints::Endpoints;
use event_loop::EventLoop;
use idle_clients::IdleClients;
use measurements::Measurements;
use observations::Observations;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shutdowns::Shutdowns;

/// Tolerance for scheduling delays of the event loop on a busy machine.
const EVENT_LOOP_SLACK_MS: f64 = 700.0;

/// The initial key for authentication between the proxies of a run.
const CLUSTER_KEY: &str = "the key of this rig's own fleet";

/// Runs several proxy processes and their environment on loopback, in the caller's thread.
///
/// Events are processed only in [`advance`](Harness::advance) and [`run_until`](Harness::run_until). Proxies and
/// endpoints are identified by zero-based indexes; times are in milliseconds since the harness was created.
pub struct Harness {
    /// The proxies, by index.
    pub proxies: Vec<ProxyProcess>,
    /// Relays for the datagrams between proxies.
    pub relays: PathRelays,
    /// Checks the invariants across all proxies, from the events at endpoints and clients.
    pub invariants: InvariantChecker,
    /// All recorded membership views, in chronological order.
    pub views: Vec<View>,
    /// Request counts by outcome.
    pub service: Service,
    /// Requests per second to each proxy.
    pub rate: f64,
    /// For each proxy, whether discovery leaves its polls unanswered.
    pub discovery_silent: Vec<bool>,
    environment: Script,
    start: Start,
    event_loop: EventLoop,
    random: ChaCha8Rng,
    endpoints: Endpoints,
    discovery: Discovery,
    clients: Clients,
    observations: Observations,
    measurements: Measurements,
    admin_calls: AdminCalls,
    idle_clients: IdleClients,
    shutdowns: Shutdowns,
}

impl Harness {
    /// Sets up the environment that a simulator script describes, without starting any proxy.
    ///
    /// # Panics
    /// If no port is free, or the run's directory is not writable.
    pub fn new(environment: Script, start: Start) -> Self {
        let proxies = environment.proxies;
        let mut harness = Harness {
            proxies: Vec::new(),
            relays: PathRelays::default(),
            invariants: invariants::checker(&environment),
            views: Vec::new(),
            service: Service::default(),
            rate: environment.rate() / proxies as f64,
            discovery_silent: vec![false; proxies],
            event_loop: EventLoop::new(),
            random: ChaCha8Rng::seed_from_u64(start.seed),
            endpoints: Endpoints::new(&environment),
            discovery: Discovery::new(proxies),
            clients: Clients::new(proxies),
            observations: Observations::new(proxies),
            measurements: Measurements::default(),
            admin_calls: AdminCalls::new(&environment),
            idle_clients: IdleClients::new(proxies),
            shutdowns: Shutdowns::new(proxies),
            environment,
            start,
        };
        harness.add_endpoints();
        harness.add_proxies();
        harness
    }

    /// Milliseconds since the harness was created.
    pub fn now(&self) -> f64 {
        self.event_loop.now_ms()
    }
}

/// Kills all proxy processes and removes the run's directory.
impl Drop for Harness {
    fn drop(&mut self) {
        self.proxies.iter_mut().for_each(ProxyProcess::kill);
        // Removal is best effort: the directory is temporary.
        let _ = std::fs::remove_dir_all(&self.start.folder);
    }
}
