//! `Proxy` and its construction. Its event loop is in `event_loop`, the handling of a request in
//! `request_lifecycle`, and its I/O in the modules of each kind of connection.

use crate::admin::disabled_endpoints::DisabledEndpoints;
use crate::admin::{self, AdminServer};
use crate::buffers::BufferPool;
use crate::cluster::{Cluster, ClusterConfig, ClusterError};
use crate::config::configuration::{self, Configuration};
use crate::descriptors::{DescriptorShortages, ReservedDescriptors};
use crate::discovery::Discovery;
use crate::downstream::DownstreamConnections;
use crate::endpoint_list::{EndpointList, EndpointListError};
use crate::lifecycle::state_directory::StateDirectory;
use crate::lifecycle::upgrade::{self, Handover, HandoverSnapshot, Upgrade};
use crate::listener;
use crate::metrics::access::AccessMetrics;
use crate::metrics::counters::Counters;
use crate::requests::Requests;
use crate::resource_limits::max_requests;
use crate::slot_table::UpstreamKey;
use crate::timers::{Clock, Timers};
use crate::turn::Turns;
use crate::upstream::Upstreams;
use crankmux::dispatcher::Dispatcher;
use crankmux::settings::NameIndex;
use crankmux_membership::assumptions::ClusterAssumption;
use mio::net::TcpListener;
use mio::{Poll, Registry};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;

/// How long a new process waits for discovery before it accepts clients, because the endpoint list it starts with
/// may be outdated. The discovery agent runs on the same machine and normally answers at once.
const FIRST_ENDPOINT_LIST_WAIT_MS: f64 = 100.0;

/// Why a proxy could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The client listener cannot be opened.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The admin listener cannot be opened.
    #[error("admin_addr: {0}")]
    ListenAdmin(#[source] io::Error),
    /// The connection to the other process of an upgrade cannot be set up.
    #[error(transparent)]
    Upgrade(io::Error),
    /// The poll registry cannot be cloned.
    #[error(transparent)]
    Registry(io::Error),
    /// The proxy cannot join its cluster.
    #[error(transparent)]
    JoinCluster(#[from] ClusterError),
    /// The endpoint list of the configuration or of the older process is invalid.
    #[error("known: {0}")]
    KnownEndpoints(#[from] EndpointListError),
}

/// The state of a proxy process.
pub struct Proxy {
    /// The registry of the poll.
    pub registry: Registry,
    /// Monotonic Unix time.
    pub clock: Clock,
    /// The buffer pool of all connections.
    pub buffers: BufferPool,
    /// Pending timers.
    pub timers: Timers<Proxy>,
    /// The current turn of the event loop, and the work deferred to later ones.
    pub turns: Turns,
    /// Process counters, logged on SIGUSR1 and at exit.
    pub counters: Counters,
    /// Request outcomes by request class.
    pub access_metrics: AccessMetrics,
    /// The admin API.
    pub admin: AdminServer,
    /// Client connections.
    pub downstream: DownstreamConnections,
    /// Connections to endpoints.
    pub upstream: Upstreams<Proxy>,
    /// Polls service discovery for the endpoint list.
    pub discovery: Discovery,
    /// Requests in flight.
    pub requests: Requests,
    /// Makes the load balancing decisions.
    pub dispatcher: Dispatcher,
    /// Maps the names of endpoints, request classes and tenants to indices.
    pub name_index: NameIndex,
    /// Connections to endpoints with data to write.
    pub writable_upstream: Vec<UpstreamKey>,
    /// Load probes in flight.
    pub probes_in_flight: usize,
    /// The request header that carries the affinity key, if one is configured.
    pub key_header: Option<String>,
    /// Start of the shutdown; `None` while the proxy runs.
    pub shutdown_at: Option<f64>,
    /// By when all responses must be sent; infinite unless shutting down.
    pub response_deadline: f64,
    /// The longest time to live of all request classes.
    pub longest_ttl_ms: f64,
    /// The configuration in force.
    pub active_configuration: Value,
    /// Directory of the state that persists across restarts.
    pub state_directory: StateDirectory,
    /// Endpoints disabled by an operator.
    pub disabled_endpoints: DisabledEndpoints,
    /// The other processes of this proxy during an upgrade.
    pub upgrade: Upgrade,
    /// File descriptors reserved by purpose, for work that must continue when clients use up all others.
    pub reserved_descriptors: ReservedDescriptors,
    /// The number of file descriptors set aside for connections to endpoints, whether open or reserved.
    pub(crate) attempt_reserve: usize,
    /// Counts of failures to obtain a file descriptor.
    pub descriptor_shortages: DescriptorShortages,
    /// The cluster configuration, if the operator configuration has one.
    pub cluster_config: Option<ClusterConfig>,
    /// The cluster, once joined.
    pub cluster: Option<Cluster>,
    /// The assumed cluster size and this proxy's share of the slow-start budget; `None` before it joins a cluster.
    pub assumed_cluster: Option<ClusterAssumption>,
    /// Limit on the file descriptors of all processes of the proxy.
    pub(crate) descriptor_limit: usize,
    /// Limit on the buffer memory of all processes of the proxy.
    pub(crate) buffer_bytes: usize,
}

/// The sockets opened at start.
struct Sockets {
    registry: Registry,
    listener: TcpListener,
    admin_listener: Option<TcpListener>,
    upgrade: Upgrade,
}

impl Sockets {
    fn open(
        configuration: &Configuration,
        handover: Option<Handover>,
        state_directory: &StateDirectory,
        poll: &Poll,
    ) -> Result<Self, ProxyError> {
        let address = configuration.listen;
        let listen_error = |source| ProxyError::Listen { address, source };
        let listener = match &handover {
            Some(handover) => handover.listener.try_clone(),
            None => listener::bind(address),
        };
        let listener = listener.map_err(listen_error)?;
        listener.set_nonblocking(true).map_err(listen_error)?;
        let listener = TcpListener::from_std(listener);
        let admin_listener = configuration
            .admin_address
            .map(|address| admin::listen(address, poll.registry()))
            .transpose()
            .map_err(ProxyError::ListenAdmin)?;
        let upgrade = Upgrade::new(handover, state_directory, poll.registry())
            .map_err(ProxyError::Upgrade)?;
        log::info!(
            "listening on {}",
            listener.local_addr().map_err(listen_error)?
        );
        let registry = poll.registry().try_clone().map_err(ProxyError::Registry)?;
        Ok(Sockets {
            registry,
            listener,
            admin_listener,
            upgrade,
        })
    }
}

impl Proxy {
    /// Opens the listeners, takes over from an older process if there is one, joins the cluster, and applies the
    /// known endpoint list or starts polling discovery for it.
    ///
    /// # Errors
    ///
    /// Fails if a listener or the cluster's socket cannot be opened, or the known endpoint list is invalid.
    pub fn new(
        mut configuration: Configuration,
        cluster_config: Option<ClusterConfig>,
        poll: &Poll,
    ) -> Result<Self, ProxyError> {
        let state_directory = StateDirectory::open(&configuration.name);
        let mut handover = upgrade::request_handover(&state_directory, configuration.listen);
        let inherited = handover
            .as_mut()
            .map(|handover| std::mem::take(&mut handover.snapshot))
            .unwrap_or_default();
        let sockets = Sockets::open(&configuration, handover, &state_directory, poll)?;
        let known = std::mem::take(&mut configuration.known_endpoints);
        let mut proxy = Self::with_sockets(configuration, cluster_config, sockets, state_directory);
        proxy.restore(inherited, known)?;
        proxy.schedule_first_accept();
        Ok(proxy)
    }

    fn with_sockets(
        configuration: Configuration,
        cluster_config: Option<ClusterConfig>,
        sockets: Sockets,
        state_directory: StateDirectory,
    ) -> Self {
        let max_connections =
            configuration::connection_limit(configuration.descriptor_limit as f64);
        Proxy {
            registry: sockets.registry,
            clock: Clock::new(),
            buffers: BufferPool::new(configuration.buffer_bytes),
            timers: Timers::new(),
            turns: Turns::default(),
            counters: Counters::default(),
            access_metrics: AccessMetrics::default(),
            admin: AdminServer::new(sockets.admin_listener),
            downstream: DownstreamConnections::new(sockets.listener, max_connections),
            upstream: Upstreams::new(
                max_connections,
                configuration.connect_timeout_ms,
                configuration.keepalive_ms,
            ),
            discovery: Discovery::new(configuration.discovery),
            requests: Requests::new(max_requests(max_connections)),
            dispatcher: configuration.dispatcher,
            name_index: configuration.name_index,
            writable_upstream: Vec::new(),
            probes_in_flight: 0,
            key_header: configuration.key_header,
            shutdown_at: None,
            response_deadline: f64::INFINITY,
            longest_ttl_ms: configuration.longest_ttl_ms,
            active_configuration: configuration.document,
            state_directory,
            disabled_endpoints: DisabledEndpoints::default(),
            upgrade: sockets.upgrade,
            reserved_descriptors: ReservedDescriptors::default(),
            attempt_reserve: 0,
            descriptor_shortages: DescriptorShortages::default(),
            cluster_config,
            cluster: None,
            assumed_cluster: None,
            descriptor_limit: configuration.descriptor_limit,
            buffer_bytes: configuration.buffer_bytes,
        }
    }

    /// Restores the state of an older process, or else applies the endpoint list of the configuration.
    fn restore(&mut self, inherited: HandoverSnapshot, known: Value) -> Result<(), ProxyError> {
        for stable_hash in inherited.ever_listed {
            self.disabled_endpoints.record_listed(stable_hash);
        }
        // Before any endpoint list is applied, so that nothing is sent to endpoints that are already disabled.
        self.watch_disabled_endpoints();
        let now = self.now();
        self.requests
            .ids_mut()
            .refuse_all(&inherited.refused_request_ids, now);
        if self.upgrade.has_other_process() {
            self.share_request_ids();
        }
        self.apply_process_share();
        // Before any endpoint list is applied, because applying it also gossips it.
        self.join_cluster()?;
        let endpoint_list = if inherited.endpoint_list.is_null() {
            known
        } else {
            inherited.endpoint_list
        };
        if endpoint_list.is_null() {
            self.poll_discovery();
        } else {
            self.apply_known_endpoints(&endpoint_list)?;
        }
        self.restore_learned_state(&inherited.learned_state);
        Ok(())
    }

    fn apply_known_endpoints(&mut self, known: &Value) -> Result<(), ProxyError> {
        let list = EndpointList::from_json(&mut self.name_index, known)?;
        self.discovery.cache_list(known);
        self.discovery.resume_after(&list);
        self.apply_endpoint_list(&list, true);
        Ok(())
    }

    fn schedule_first_accept(&mut self) {
        if self.upgrade.waits_to_accept() {
            return;
        }
        let at = self.now() + FIRST_ENDPOINT_LIST_WAIT_MS;
        self.timers.set(at, Proxy::listen_after_first_list);
    }

    /// Starts accepting clients after the first response of discovery or its timeout.
    pub fn listen_after_first_list(&mut self) {
        if !self.stopping() && !self.upgrade.waits_to_accept() && !self.upgrade.has_newer_process()
        {
            self.listen();
        }
    }

    /// The current time in Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Whether the proxy is shutting down.
    pub fn stopping(&self) -> bool {
        self.shutdown_at.is_some()
    }

    /// The maximum number of open file descriptors, and thus of events per poll.
    pub fn descriptor_limit(&self) -> usize {
        self.descriptor_limit
    }

    /// Whether the proxy is ready for clients: an endpoint is available and the first poll of discovery has finished.
    pub fn ready(&self) -> bool {
        self.upstream.any_available() && self.discovery.first_poll_finished() && !self.stopping()
    }

    /// Whether all requests are answered and their responses sent.
    pub fn all_responses_sent(&self) -> bool {
        self.requests.all_answered() && !self.downstream.any_busy()
    }
}
