//! The proxy: owner of all tables, sockets and timers. This file holds the struct and its construction; the
//! turns of its event loop are in `event_loop`, the steps of a request in `request_lifecycle`, and what it does
//! on sockets beside the types of each kind of connection.

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
use crate::upstream::Upstreams;
use crankmux::dispatcher::Dispatcher;
use crankmux::settings::NameIndex;
use crankmux_membership::assumptions::ClusterAssumption;
use mio::net::TcpListener;
use mio::{Poll, Registry};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;

/// How long a new process leaves clients in the system's accept queue while discovery has not answered. The
/// endpoint list that a process starts with is older than what the discovery agent knows, so the agent is heard
/// first. It runs on this machine and answers at once; a tenth of a second shows that it is silent.
const FIRST_ENDPOINT_LIST_WAIT_MS: f64 = 100.0;

/// Why a proxy could not be built.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The address for clients cannot be listened at.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The address of the admin API cannot be listened at.
    #[error("admin_addr: {0}")]
    ListenAdmin(#[source] io::Error),
    /// The connection to the other process of an upgrade cannot be set up.
    #[error(transparent)]
    Upgrade(io::Error),
    /// The poll's registry cannot be shared.
    #[error(transparent)]
    Registry(io::Error),
    /// The proxy cannot join its cluster.
    #[error(transparent)]
    JoinCluster(#[from] ClusterError),
    /// The endpoint list of the configuration, or of the older process, cannot be read.
    #[error("known: {0}")]
    KnownEndpoints(#[from] EndpointListError),
}

/// Everything that a proxy process holds.
pub struct Proxy {
    /// Where sockets are registered for events.
    pub registry: Registry,
    /// The time.
    pub clock: Clock,
    /// The buffer pool of all connections.
    pub buffers: BufferPool,
    /// What is due when.
    pub timers: Timers<Proxy>,
    /// Counts for operators, logged on request and at exit.
    pub counters: Counters,
    /// Metrics of requests, by request class and tenant.
    pub access_metrics: AccessMetrics,
    /// The admin API.
    pub admin: AdminServer,
    /// Connections from clients.
    pub downstream: DownstreamConnections,
    /// Connections to endpoints.
    pub upstream: Upstreams<Proxy>,
    /// The poll for the endpoint list.
    pub discovery: Discovery,
    /// Requests in flight.
    pub requests: Requests,
    /// The load balancing decisions.
    pub dispatcher: Dispatcher,
    /// Indices that stand for the names of endpoints, request classes and tenants.
    pub name_index: NameIndex,
    /// Connections to endpoints that have something to write.
    pub writable_upstream: Vec<UpstreamKey>,
    /// Load probes in flight.
    pub probes_in_flight: usize,
    /// The request header that carries the affinity key, if one is configured.
    pub key_header: Option<String>,
    /// When shutdown began.
    pub shutdown_at: Option<f64>,
    /// During shutdown, when the last response must be out.
    pub answer_by: f64,
    /// The longest deadline of all request classes.
    pub longest_ttl_ms: f64,
    /// The configuration in force.
    pub active_configuration: Value,
    /// Where state outlives the process.
    pub state_directory: StateDirectory,
    /// Endpoints disabled by an operator.
    pub disabled_endpoints: DisabledEndpoints,
    /// The other processes of this proxy during an upgrade.
    pub upgrade: Upgrade,
    /// File descriptors kept back for what must go on while clients hold all others, by purpose.
    pub reserved_descriptors: ReservedDescriptors,
    /// How many file descriptors connections to endpoints have for themselves, open or reserved.
    pub(crate) attempt_reserve: usize,
    /// What wanted a file descriptor and found none.
    pub descriptor_shortages: DescriptorShortages,
    /// How to join the cluster, where the operator's configuration has one.
    pub cluster_config: Option<ClusterConfig>,
    /// The cluster, once joined.
    pub cluster: Option<Cluster>,
    /// The number of proxies that share the endpoints and this one's part of the slow-start budget, once it has joined
    /// a cluster.
    pub assumed_cluster: Option<ClusterAssumption>,
    /// File descriptors that all processes of the proxy may hold together.
    pub(crate) sockets: usize,
    /// Memory for buffers that all processes of the proxy may hold together.
    pub(crate) buffer_bytes: usize,
}

/// The sockets that a proxy starts with.
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
    /// Listens, takes over from an older process if there is one, joins the cluster, and either reads the known
    /// endpoint list or polls discovery for one.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be listened at, or the known endpoint list cannot be read.
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
            answer_by: f64::INFINITY,
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
            sockets: configuration.descriptor_limit,
            buffer_bytes: configuration.buffer_bytes,
        }
    }

    /// Starts from what an older process knew, else from the endpoint list of the configuration.
    fn restore(&mut self, inherited: HandoverSnapshot, known: Value) -> Result<(), ProxyError> {
        for stable_hash in inherited.ever_listed {
            self.disabled_endpoints.record_listed(stable_hash);
        }
        // Ahead of any endpoint list: nothing may be sent to an endpoint that was disabled before this start.
        self.watch_disabled_endpoints();
        self.apply_process_share();
        // Ahead of any endpoint list, which is gossiped to the other proxies.
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

    /// Accepts clients, as discovery has answered or is silent.
    pub fn listen_after_first_list(&mut self) {
        if !self.stopping() && !self.upgrade.waits_to_accept() && !self.upgrade.has_newer_process()
        {
            self.listen();
        }
    }

    /// The time, in Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Whether the proxy is shutting down.
    pub fn stopping(&self) -> bool {
        self.shutdown_at.is_some()
    }

    /// The most file descriptors that the proxy holds; each has one event at most in a poll.
    pub fn sockets(&self) -> usize {
        self.sockets
    }

    /// Whether clients may come: an endpoint is known, and discovery has answered or failed to.
    pub fn ready(&self) -> bool {
        self.upstream.any_available() && self.discovery.first_poll_finished() && !self.stopping()
    }

    /// Whether no response is owed to any client.
    pub fn finished(&self) -> bool {
        self.requests.none_waits() && !self.downstream.any_busy()
    }
}
