//! The environment around the proxies of a run, all in one event loop: stand-in endpoints, discovery, clients and
//! relays, and the record of what they saw.

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

/// How late this loop, on a machine that is busy with other tests, may be before an answer counts as late.
const LOOP_LATENESS_MS: f64 = 700.0;

/// The key that the proxies of a run share until they are given another.
const CLUSTER_KEY: &str = "the key of this rig's own fleet";

/// Several proxy processes and all that they need, on loopback and in one thread of the caller's.
///
/// Time passes only in [`pass`](Harness::pass) and [`until`](Harness::until). Proxies and endpoints are named by
/// their numbers, from 0; times are in milliseconds since the harness was made.
pub struct Harness {
    /// The proxies, by number.
    pub proxies: Vec<ProxyProcess>,
    /// The relays of datagrams between proxies.
    pub relays: PathRelays,
    /// Checks the rules over all proxies together, by what endpoints and clients saw.
    pub invariants: InvariantChecker,
    /// All views that were taken, in the order of time.
    pub views: Vec<View>,
    /// What clients got.
    pub service: Service,
    /// Requests a second to each proxy.
    pub rate: f64,
    /// Proxies whose discovery does not answer.
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
    /// Sets up an environment as a script of the simulator describes it. No proxy is started yet.
    ///
    /// # Panics
    /// If the system has no free ports, or the run's folder cannot be written to.
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

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.event_loop.now_ms()
    }
}

/// Ends all processes and removes the run's folder.
impl Drop for Harness {
    fn drop(&mut self) {
        self.proxies.iter_mut().for_each(ProxyProcess::kill);
        // What cannot be removed is left for whoever looks after temporary files.
        let _ = std::fs::remove_dir_all(&self.start.folder);
    }
}
