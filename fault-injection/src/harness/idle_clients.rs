//! Idle clients: they hold connections to proxies without sending requests, and are replaced continuously.

use super::event_loop::Role;
use super::Harness;
use mio::net::TcpStream;
use std::collections::VecDeque;

/// How often a new idle client connects to each proxy.
const ARRIVAL_INTERVAL_MS: f64 = 4.0;

/// The connections of the idle clients.
pub(super) struct IdleClients {
    /// By proxy, oldest first.
    connections: Vec<VecDeque<usize>>,
    /// The number of connections that each proxy keeps.
    per_proxy: usize,
}

impl IdleClients {
    pub(super) fn new(proxies: usize) -> Self {
        IdleClients {
            connections: vec![VecDeque::new(); proxies],
            per_proxy: 0,
        }
    }

    pub(super) fn forget_connection(&mut self, proxy: usize, connection: usize) {
        self.connections[proxy].retain(|idle| *idle != connection);
    }
}

impl Harness {
    /// Starts connecting idle clients, and keeps this many connections at each proxy.
    pub(crate) fn start_idle_clients(&mut self, per_proxy: usize) {
        self.idle_clients.per_proxy = per_proxy;
        for proxy in 0..self.proxies.len() {
            self.add_idle_client(proxy);
        }
    }

    /// Closes the connections of all idle clients and stops new ones.
    pub(crate) fn stop_idle_clients(&mut self) {
        self.idle_clients.per_proxy = 0;
        for proxy in 0..self.proxies.len() {
            while let Some(oldest) = self.idle_clients.connections[proxy].pop_front() {
                self.close(oldest);
            }
        }
    }

    fn add_idle_client(&mut self, proxy: usize) {
        if self.idle_clients.per_proxy == 0 {
            return;
        }
        // On failure, the next interval tries again.
        if let Ok(stream) = TcpStream::connect(self.proxies[proxy].listen) {
            let role = Role::IdleClient { proxy };
            let connection = self.event_loop.add_connection(stream, role);
            self.idle_clients.connections[proxy].push_back(connection);
        }
        if self.idle_clients.connections[proxy].len() > self.idle_clients.per_proxy {
            if let Some(oldest) = self.idle_clients.connections[proxy].pop_front() {
                self.close(oldest);
            }
        }
        self.schedule(ARRIVAL_INTERVAL_MS, move |harness| {
            harness.add_idle_client(proxy)
        });
    }
}
