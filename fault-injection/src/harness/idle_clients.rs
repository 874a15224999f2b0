//! Idle clients: they hold connections to proxies, say nothing, and go on coming.

use super::event_loop::Role;
use super::Harness;
use mio::net::TcpStream;
use std::collections::VecDeque;

/// How often a new idle client comes to each proxy.
const INTERVAL_MS: f64 = 4.0;

/// The connections of the idle clients, oldest first, by proxy.
pub(super) struct IdleClients {
    connections: Vec<VecDeque<usize>>,
    /// How many stay at each proxy.
    size: usize,
}

impl IdleClients {
    pub(super) fn new(proxies: usize) -> Self {
        IdleClients {
            connections: vec![VecDeque::new(); proxies],
            size: 0,
        }
    }

    pub(super) fn forget_connection(&mut self, proxy: usize, connection: usize) {
        self.connections[proxy].retain(|idle| *idle != connection);
    }
}

impl Harness {
    /// Has idle clients come to each proxy from now on, so many of which stay at each.
    pub(crate) fn begin_idle_clients(&mut self, size: usize) {
        self.idle_clients.size = size;
        for proxy in 0..self.proxies.len() {
            self.add_idle_client(proxy);
        }
    }

    /// All idle clients leave, and no more come.
    pub(crate) fn end_idle_clients(&mut self) {
        self.idle_clients.size = 0;
        for proxy in 0..self.proxies.len() {
            while let Some(oldest) = self.idle_clients.connections[proxy].pop_front() {
                self.close(oldest);
            }
        }
    }

    fn add_idle_client(&mut self, proxy: usize) {
        if self.idle_clients.size == 0 {
            return;
        }
        // Where no proxy listens, the next one tries again.
        if let Ok(stream) = TcpStream::connect(self.proxies[proxy].listen) {
            let role = Role::IdleClient { proxy };
            let connection = self.event_loop.add_connection(stream, role);
            self.idle_clients.connections[proxy].push_back(connection);
        }
        if self.idle_clients.connections[proxy].len() > self.idle_clients.size {
            if let Some(oldest) = self.idle_clients.connections[proxy].pop_front() {
                self.close(oldest);
            }
        }
        self.schedule(INTERVAL_MS, move |harness| harness.add_idle_client(proxy));
    }
}
