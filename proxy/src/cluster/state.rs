//! [`Cluster`]: this proxy's view of its cluster.

use super::config::ClusterConfig;
use super::error::ClusterError;
use super::socket::ClusterSocket;
use crankmux::types::{EndpointId, EndpointUpdate};
use crankmux_membership::assumptions::{ClusterAssumption, ClusterAssumptions};
use crankmux_membership::endpoint_gossip::EndpointView;
use crankmux_membership::{Membership, Reachability};
use mio::Registry;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The address of an endpoint and its start time in Unix milliseconds.
pub(super) type DialTarget = (SocketAddr, f64);

/// An entry of this proxy's endpoint list.
#[derive(Clone, Copy)]
pub(super) struct ListEntry {
    pub(super) update: EndpointUpdate,
    /// `None` if no new connection may be opened.
    pub(super) dial: Option<DialTarget>,
}

/// This proxy's view of its cluster: its socket, the members, and the endpoint statuses gossiped by them.
pub struct Cluster {
    pub(super) socket: ClusterSocket,
    pub(super) membership: Membership,
    pub(super) assumptions: ClusterAssumptions,
    pub(super) endpoint_view: EndpointView,
    /// The entries of this proxy's endpoint list by stable hash.
    pub(super) list_entries: BTreeMap<u64, ListEntry>,
    pub(super) last_logged_reachability: Reachability,
}

impl Cluster {
    /// Opens the socket and prepares to contact the seeds.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be opened or a key is invalid.
    pub fn open(
        config: &ClusterConfig,
        configured_size: f64,
        now_ms: f64,
        registry: &Registry,
    ) -> Result<Self, ClusterError> {
        let options = &config.options;
        let socket = ClusterSocket::open(options, registry)?;
        let mut membership = Membership::new(
            config.node_id(now_ms),
            &options.seeds,
            &config.key_strs(),
            config.random_seed(now_ms),
            now_ms,
        )?;
        membership.set_forget_failed_after(options.forget_failed.as_secs_f64() * 1000.0);
        log::info!(
            "cluster: {} in zone {} listens at {}",
            config.name,
            config.zone,
            options.listen
        );
        Ok(Cluster {
            socket,
            membership,
            assumptions: ClusterAssumptions::new(configured_size, now_ms),
            endpoint_view: EndpointView::default(),
            list_entries: BTreeMap::new(),
            last_logged_reachability: Reachability::Full,
        })
    }

    /// When the next timer or read is due, in Unix milliseconds.
    pub fn next_due_ms(&self) -> f64 {
        self.membership
            .next_timer_ms()
            .min(self.socket.next_read_at_ms())
            .min(self.assumptions.next_refresh_ms())
    }

    /// The assumed cluster size and this proxy's share of the slow-start budget.
    pub fn assumed(&self) -> ClusterAssumption {
        self.assumptions.current()
    }

    /// Records the start of an attempt.
    pub fn attempt_started(&mut self, endpoint: EndpointId) {
        self.assumptions.attempt_started(endpoint.index());
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, endpoint: EndpointId) {
        self.assumptions.attempt_ended(endpoint.index());
    }

    /// Records the requests in flight that an endpoint reported with a response.
    pub fn load_reported(&mut self, now_ms: f64, endpoint: EndpointId, in_flight: f64) {
        self.assumptions
            .load_reported(now_ms, endpoint.index(), in_flight);
    }

    /// Reads received datagrams.
    pub(super) fn read(&mut self, now_ms: f64) {
        self.socket.read(now_ms, &mut self.membership);
    }

    /// Sends pending datagrams.
    pub(super) fn send(&mut self) {
        self.socket.send(&mut self.membership);
    }

    /// Applies the reloaded keys, seeds and configured cluster size.
    pub(super) fn reload(&mut self, config: &ClusterConfig, configured_size: f64) {
        if let Err(error) = self.membership.set_keys(&config.key_strs()) {
            log::error!("cluster: new keys rejected, keeping the current ones: {error}");
        }
        self.membership.set_seeds(&config.options.seeds);
        self.assumptions.set_configured_size(configured_size);
    }
}
