//! Datagrams and timers of the cluster, and how the proxy reacts to membership events.

use super::state::Cluster;
use super::status_page::describe;
use crate::proxy::Proxy;
use crankmux_membership::{MembershipEvent, Reachability};
use std::mem::discriminant;

impl Proxy {
    /// Reads and processes datagrams when the socket is readable.
    pub fn cluster_event(&mut self) {
        let now_ms = self.now();
        if let Some(cluster) = &mut self.cluster {
            cluster.read(now_ms);
            self.apply_cluster_changes();
        }
    }

    /// Runs the cluster's due timers.
    pub fn run_cluster(&mut self) {
        let now_ms = self.now();
        let cluster = self.cluster.as_mut();
        let Some(cluster) = cluster.filter(|cluster| cluster.next_due_ms() <= now_ms) else {
            return;
        };
        if now_ms >= cluster.socket.next_read_at_ms() {
            cluster.read(now_ms);
        }
        cluster.membership.handle_timers(now_ms);
        self.apply_cluster_changes();
    }

    /// Applies membership changes, then sends pending datagrams. Sending comes last because other proxies act on what
    /// they receive, so this proxy must have applied it before.
    fn apply_cluster_changes(&mut self) {
        let now_ms = self.now();
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        let changed_endpoints = cluster.take_events();
        let is_changed = cluster.assumptions.update(now_ms, &mut cluster.membership);
        cluster.log_reachability();
        if is_changed {
            self.assumed_cluster = Some(cluster.assumed());
            self.apply_process_share();
        }
        if !changed_endpoints.is_empty() {
            self.apply_endpoint_statuses(&changed_endpoints);
        }
        if let Some(cluster) = &mut self.cluster {
            cluster.send();
        }
    }
}

impl Cluster {
    /// Logs membership events and returns the endpoints whose status has changed by gossip.
    fn take_events(&mut self) -> Vec<u64> {
        let mut changed_endpoints = Vec::new();
        for event in self.membership.take_events() {
            match event {
                MembershipEvent::EndpointUpdate(_, gossip) => {
                    if self.endpoint_view.receive(gossip) {
                        changed_endpoints.push(gossip.endpoint);
                    }
                }
                event => log_event(&event),
            }
        }
        changed_endpoints
    }

    /// Logs reachability whenever it changes between full, partial and isolated.
    fn log_reachability(&mut self) {
        let reachability = self.membership.reachability();
        if discriminant::<Reachability>(&reachability)
            != discriminant(&self.last_logged_reachability)
        {
            log::info!("cluster: {}", describe(reachability));
        }
        self.last_logged_reachability = reachability;
    }
}

fn log_event(event: &MembershipEvent) {
    match event {
        MembershipEvent::Up(id) => {
            log::info!("cluster: {} in zone {} at {} is up", id.name, id.zone, id.address);
        }
        MembershipEvent::Failed(id) => log::warn!("cluster: {} at {} has failed", id.name, id.address),
        MembershipEvent::Left(id) => log::info!("cluster: {} at {} has left", id.name, id.address),
        MembershipEvent::DuplicateName(first, second) => log::error!(
            "cluster: two proxies call themselves {}: {} and {}; both continue to serve, but one must be renamed",
            first.name,
            first.address,
            second.address
        ),
        MembershipEvent::Paused(ms) => log::warn!("cluster: this process was paused for {ms:.0} ms"),
        MembershipEvent::IncarnationChanged(incarnation) => {
            log::warn!("cluster: superseded or declared failed; continuing as incarnation {incarnation}");
        }
        MembershipEvent::EndpointUpdate(..) => {}
    }
}
