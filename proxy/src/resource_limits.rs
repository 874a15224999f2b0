//! Limits of a process on connections, requests, buffers and file descriptors, and their enforcement.

use crate::config::configuration;
use crate::descriptors;
use crate::proxy::Proxy;

/// Limit on requests in flight: three quarters of the client connections. The rest is left to accept further clients
/// and reject their requests at once, instead of letting them time out in the accept queue.
pub(crate) fn max_requests(max_connections: usize) -> usize {
    max_connections * 3 / 4
}

impl Proxy {
    /// Applies this process's share of the proxy's resource limits, and the proxy's share of the endpoints.
    pub fn apply_process_share(&mut self) {
        let share = self.upgrade.process_share();
        // `connection_limit` also accounts for the descriptors that each process needs for itself.
        let max_connections = configuration::connection_limit(self.descriptor_limit as f64 * share);
        self.downstream.set_capacity(max_connections);
        self.upstream.connections.set_capacity(max_connections);
        self.requests.resize(max_requests(max_connections));
        let buffer_share = self.upgrade.buffer_share();
        self.buffers
            .resize((self.buffer_bytes as f64 * buffer_share) as usize);
        self.attempt_reserve =
            descriptors::attempt_reserve((self.descriptor_limit as f64 * share) as usize);
        while self.upstream.connections.is_over_capacity() && self.close_longest_idle_upstream() {}
        while self.downstream.is_over_capacity() && self.close_idle_downstream() {}
        self.replenish_reserve();
        let proxies = self.assumed_cluster.map(|assumed| assumed.cluster_size);
        let slow_start_share = self
            .assumed_cluster
            .map_or(1.0, |assumed| assumed.slow_start_share);
        self.dispatcher
            .set_process_share(share, proxies, slow_start_share);
    }
}
