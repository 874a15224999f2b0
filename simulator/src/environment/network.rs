//! The network: message delays, partitions between zones, and the connection pools of proxies.

use super::event_queue::{AttemptRef, EndpointRef, Event};
use super::Environment;

/// Proxies discard an idle connection after this fraction of the keepalive time, before the endpoint closes it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;

/// Connections from one proxy to one endpoint.
#[derive(Clone, Copy, Default)]
pub(super) struct ConnectionPool {
    idle: u32,
    pub(super) open: u32,
    last_used: f64,
    /// Incarnation of the endpoint that they are connected to.
    pub(super) incarnation: u32,
}

impl ConnectionPool {
    /// Drops connections to an earlier incarnation, and idle ones after the timeout. Returns how many connections the
    /// current incarnation of the endpoint has to close.
    fn discard_stale(&mut self, incarnation: u32, now: f64, idle_timeout_ms: f64) -> u32 {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.open = 0;
            self.idle = 0;
            return 0;
        }
        if now - self.last_used > idle_timeout_ms {
            let discarded = self.idle;
            self.open -= discarded.min(self.open);
            self.idle = 0;
            return discarded;
        }
        0
    }

    fn take_idle(&mut self) -> bool {
        if self.idle == 0 {
            return false;
        }
        self.idle -= 1;
        true
    }

    /// Returns a connection to the pool.
    pub(super) fn release(&mut self, now: f64) {
        self.idle += 1;
        self.last_used = now;
    }
}

/// Whether messages pass between the proxies of a zone and an endpoint.
#[derive(Clone, Copy)]
pub(super) struct Reachability {
    /// Requests reach the endpoint.
    pub(super) requests: bool,
    /// Requests reach the endpoint and responses reach the proxy.
    pub(super) responses: bool,
}

impl Environment<'_> {
    /// Draws the one-way delay of a message between two zones.
    pub(super) fn draw_path_delay(&mut self, from_zone: usize, to_zone: usize) -> f64 {
        let network = &self.script.network;
        let mean_ms = if from_zone == to_zone {
            network.same_zone_ms
        } else {
            network.cross_zone_ms
        };
        mean_ms * self.random.network.log_normal(network.jitter_sigma)
    }

    pub(super) fn reachability(&self, from_zone: usize, endpoint: usize) -> Reachability {
        let endpoint = &self.endpoints[endpoint];
        let requests =
            !endpoint.faults.unresponsive && !self.partitions.requests[from_zone][endpoint.zone];
        let responses = requests && !self.partitions.responses[endpoint.zone][from_zone];
        Reachability {
            requests,
            responses,
        }
    }

    /// Discards stale connections from the pool of a proxy for an endpoint, marks the pool as used now and returns it.
    fn refreshed_pool(&mut self, proxy: usize, endpoint: usize) -> &mut ConnectionPool {
        let idle_timeout_ms = IDLE_TIMEOUT_FRACTION * 1000.0 * self.script.network.keepalive_s;
        let state = &mut self.endpoints[endpoint];
        let pools = &mut self.proxies[proxy].connections;
        if pools.len() <= endpoint {
            pools.resize(endpoint + 1, ConnectionPool::default());
        }
        let pool = &mut pools[endpoint];
        let discarded = pool.discard_stale(state.incarnation, self.now, idle_timeout_ms);
        state.connections = state.connections.saturating_sub(discarded as usize);
        pool.last_used = self.now;
        pool
    }

    /// Takes an idle connection from the pool of a proxy. Returns false if there is none.
    pub(super) fn take_idle_connection(&mut self, proxy: usize, endpoint: usize) -> bool {
        self.refreshed_pool(proxy, endpoint).take_idle()
    }

    /// Opens a connection. Returns false if the endpoint is down, unreachable or at its connection limit.
    pub(super) fn open_connection(
        &mut self,
        proxy: usize,
        endpoint: usize,
        reachability: Reachability,
    ) -> bool {
        let state = &mut self.endpoints[endpoint];
        let full = state.connections >= state.machine.max_connections;
        if !state.up || !reachability.responses || full {
            return false;
        }
        state.connections += 1;
        self.proxies[proxy].connections[endpoint].open += 1;
        true
    }

    /// Closes the connection of an attempt that ended without a complete response.
    pub(super) fn close_connection(&mut self, proxy: usize, endpoint: EndpointRef) {
        let pools = &mut self.proxies[proxy].connections;
        let Some(pool) = pools.get_mut(endpoint.index) else {
            return;
        };
        if pool.incarnation != endpoint.incarnation {
            return;
        }
        pool.open = pool.open.saturating_sub(1);
        let state = &mut self.endpoints[endpoint.index];
        if state.incarnation == endpoint.incarnation {
            state.connections = state.connections.saturating_sub(1);
        }
    }

    /// Closes all connections of a crashed proxy.
    pub(super) fn close_all_connections(&mut self, proxy: usize) {
        let pools = self.proxies[proxy].connections.iter_mut();
        for (pool, endpoint) in pools.zip(&mut self.endpoints) {
            let closed = std::mem::take(pool);
            if endpoint.incarnation == closed.incarnation {
                endpoint.connections = endpoint.connections.saturating_sub(closed.open as usize);
            }
        }
    }

    /// Sends an attempt to the current incarnation of an endpoint.
    pub(super) fn send(&mut self, delay_ms: f64, attempt: AttemptRef, endpoint: usize) {
        let state = &mut self.endpoints[endpoint];
        state.attempts_in_transit += 1;
        let endpoint = EndpointRef {
            index: endpoint,
            incarnation: state.incarnation,
        };
        self.schedule(delay_ms, Event::AttemptArrives { attempt, endpoint });
    }
}
