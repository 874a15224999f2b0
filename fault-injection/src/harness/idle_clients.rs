//! A crowd: idle clients that hold connections to proxies, and go on coming.

use super::event_loop::Role;
use super::Harness;
use mio::net::TcpStream;
use std::collections::VecDeque;

/// How often a new idle client comes to each proxy.
const INTERVAL_MS: f64 = 4.0;

/// The connections of the idle clients, oldest first, by proxy.
pub(super) struct Crowd {
    connections: Vec<VecDeque<usize>>,
    /// How many stay at each proxy.
    size: usize,
}

impl Crowd {
    pub(super) fn new(proxies: usize) -> Self {
        Crowd {
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
    pub(crate) fn begin_crowd(&mut self, size: usize) {
        self.crowd.size = size;
        for proxy in 0..self.proxies.len() {
            self.add_to_crowd(proxy);
        }
    }

    /// All idle clients leave, and no more come.
    pub(crate) fn end_crowd(&mut self) {
        self.crowd.size = 0;
        for proxy in 0..self.proxies.len() {
            while let Some(oldest) = self.crowd.connections[proxy].pop_front() {
                self.close(oldest);
            }
        }
    }

    fn add_to_crowd(&mut self, proxy: usize) {
        if self.crowd.size == 0 {
            return;
        }
        // Where no proxy listens, the next one tries again.
        if let Ok(stream) = TcpStream::connect(self.proxies[proxy].listen) {
            let role = Role::IdleClient { proxy };
            let connection = self.event_loop.add_connection(stream, role);
            self.crowd.connections[proxy].push_back(connection);
        }
        if self.crowd.connections[proxy].len() > self.crowd.size {
            if let Some(oldest) = self.crowd.connections[proxy].pop_front() {
                self.close(oldest);
            }
        }
        self.schedule(INTERVAL_MS, move |harness| harness.add_to_crowd(proxy));
    }
}
