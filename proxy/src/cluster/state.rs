//! [`Cluster`]: the proxy among the others.

use super::config::ClusterConfig;
use super::error::ClusterError;
use super::port::ClusterPort;
use crankmux::types::{EndpointId, EndpointUpdate};
use crankmux_membership::assumptions::{ClusterAssumption, ClusterAssumptions};
use crankmux_membership::endpoint_gossip::EndpointView;
use crankmux_membership::{Membership, Reachability};
use mio::Registry;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Where to connect to an endpoint, and when it started in milliseconds.
pub(super) type DialTarget = (SocketAddr, f64);

/// A line of the own endpoint list.
#[derive(Clone, Copy)]
pub(super) struct EndpointLine {
    pub(super) update: EndpointUpdate,
    /// None where nothing new may go there.
    pub(super) dial: Option<DialTarget>,
}

/// The proxy among the others: its port, its membership, and what it knows by both.
pub struct Cluster {
    pub(super) port: ClusterPort,
    pub(super) membership: Membership,
    pub(super) assumptions: ClusterAssumptions,
    pub(super) endpoint_view: EndpointView,
    /// The lines of the own list, by the endpoints' stable hash.
    pub(super) endpoint_lines: BTreeMap<u64, EndpointLine>,
    /// As it was last logged.
    pub(super) logged_reachability: Reachability,
}

impl Cluster {
    /// Opens the port, and asks the seeds at the next turn.
    ///
    /// # Errors
    ///
    /// The port cannot be opened, or a key is none.
    pub fn open(
        config: &ClusterConfig,
        configured_size: f64,
        now_ms: f64,
        registry: &Registry,
    ) -> Result<Self, ClusterError> {
        let options = &config.options;
        let port = ClusterPort::open(options, registry)?;
        let mut membership = Membership::new(
            config.node_id(now_ms),
            &options.seeds,
            &config.key_texts(),
            config.random_seed(now_ms),
            now_ms,
        )?;
        membership.set_forget_failed_after(options.forget_failed.as_secs_f64() * 1000.0);
        log::info!(
            "cluster: {} of zone {} listens at {}",
            config.name,
            config.zone,
            options.listen
        );
        Ok(Cluster {
            port,
            membership,
            assumptions: ClusterAssumptions::new(configured_size, now_ms),
            endpoint_view: EndpointView::default(),
            endpoint_lines: BTreeMap::new(),
            logged_reachability: Reachability::Full,
        })
    }

    /// When something is due, in milliseconds.
    pub fn next_due_ms(&self) -> f64 {
        self.membership
            .next_timer_ms()
            .min(self.port.read_again_at_ms())
            .min(self.assumptions.next_refresh_ms())
    }

    /// What is assumed of the other proxies now.
    pub fn assumed(&self) -> ClusterAssumption {
        self.assumptions.current()
    }

    /// An attempt starts at an endpoint.
    pub fn attempt_started(&mut self, endpoint: EndpointId) {
        self.assumptions.attempt_started(endpoint.index());
    }

    /// An attempt has ended at an endpoint.
    pub fn attempt_ended(&mut self, endpoint: EndpointId) {
        self.assumptions.attempt_ended(endpoint.index());
    }

    /// An endpoint has reported with an answer how many requests it has in flight.
    pub fn load_reported(&mut self, now_ms: f64, endpoint: EndpointId, in_flight: f64) {
        self.assumptions
            .load_reported(now_ms, endpoint.index(), in_flight);
    }

    /// Reads the datagrams that have come.
    pub(super) fn read(&mut self, now_ms: f64) {
        self.port.read(now_ms, &mut self.membership);
    }

    /// Sends what is to be sent.
    pub(super) fn send(&mut self) {
        self.port.send(&mut self.membership);
    }

    /// Takes over the keys and seeds of a reload.
    pub(super) fn reload(&mut self, config: &ClusterConfig, configured_size: f64) {
        if let Err(error) = self.membership.set_keys(&config.key_texts()) {
            log::error!("cluster: the keys stay as they were: {error}");
        }
        self.membership.set_seeds(&config.options.seeds);
        self.assumptions.set_configured_size(configured_size);
    }
}
