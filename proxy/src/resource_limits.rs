//! Limits on connections, requests, buffers and descriptors: what a process may hold, and what makes room.

use crate::config::configuration;
use crate::descriptors::{
    is_descriptor_available, is_out_of_descriptors, DescriptorPurpose, DescriptorUsage,
};
use crate::proxy::Proxy;
use std::io;

/// How many requests may be in flight. Were all client connections bound by requests, further clients would wait
/// unaccepted, which counts as accepted for them, and time out. A quarter is left to read their requests, which
/// get no attempt and so a quick rejection.
pub(crate) fn max_requests(max_connections: usize) -> usize {
    max_connections * 3 / 4
}

impl Proxy {
    /// Applies this process's share of the proxy's limits, and the proxy's share of the endpoints.
    pub fn apply_process_share(&mut self) {
        let share = self.upgrade.process_share();
        // Each process has descriptors of its own beside those for clients and endpoints.
        let max_connections = configuration::connection_limit(self.sockets as f64 * share);
        self.downstream.set_capacity(max_connections);
        self.upstream.connections.set_capacity(max_connections);
        self.requests.resize(max_requests(max_connections));
        self.buffers
            .resize((self.buffer_bytes as f64 * share) as usize);
        while self.upstream.connections.is_over_capacity() && self.close_longest_idle_upstream() {}
        while self.downstream.is_over_capacity() && self.close_idle_downstream() {}
        let proxies = self.cluster_shares.map(|(proxies, _)| proxies);
        let slow_start_share = self.cluster_shares.map_or(1.0, |(_, share)| share);
        self.dispatcher
            .set_process_share(share, proxies, slow_start_share);
    }

    /// Makes room for one more descriptor; returns whether there is one. Clients may hold the last one, while the
    /// endpoint list must be polled, disabled endpoints read, a configuration reloaded and an upgrade handed over.
    pub fn free_descriptor(&mut self, purpose: DescriptorPurpose) -> bool {
        let is_free = is_descriptor_available()
            || self.reserved_descriptors.release_one(purpose)
            || self.close_longest_idle_upstream()
            || self.close_idle_downstream();
        if !is_free {
            self.report_descriptor_shortage(purpose);
        }
        is_free
    }

    /// Reports why a socket could not be had, where nothing could be closed to make room for it.
    pub(crate) fn report_socket_failure(&mut self, purpose: DescriptorPurpose, error: &io::Error) {
        if is_out_of_descriptors(error) {
            self.report_descriptor_shortage(purpose);
        } else {
            log::warn!("no socket for {purpose}: {error}");
        }
    }

    /// Counts that a purpose found no descriptor, and logs who holds them, once a second for each purpose.
    pub fn report_descriptor_shortage(&mut self, purpose: DescriptorPurpose) {
        let now_ms = self.now();
        let Some(count) = self.descriptor_shortages.record(purpose, now_ms) else {
            return;
        };
        let usage = self.descriptor_usage();
        let reserved = &self.reserved_descriptors;
        log::warn!("no descriptor for {purpose}: count={count} {usage} reserved: {reserved}");
    }

    fn descriptor_usage(&self) -> DescriptorUsage {
        let (upstream, idle_upstream) = self.upstream.connection_counts();
        DescriptorUsage {
            upstream,
            idle_upstream,
            ..self.downstream.descriptor_usage(self.now())
        }
    }
}
