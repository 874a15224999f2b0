//! Faults on the paths of datagrams between proxies.

use super::Harness;
use crate::relays::PathFaults;
use rand::RngExt;
use std::net::{Ipv4Addr, UdpSocket};

/// How often a flood sends a batch.
const FLOOD_INTERVAL_MS: f64 = 5.0;
const LONGEST_GARBAGE: usize = 1300;

impl Harness {
    /// Sets the faults on the paths from each of some proxies to each of others.
    pub fn ways(&mut self, from: &[usize], to: &[usize], faults: PathFaults) {
        for sender in from {
            for receiver in to {
                self.relays.set_faults(*sender, *receiver, faults);
            }
        }
    }

    /// Cuts the proxies into these groups; with a single group, sets all of its paths alike.
    pub fn partition(&mut self, groups: &[&[usize]], within: PathFaults) {
        let between = PathFaults {
            cut: true,
            ..within
        };
        for group in groups {
            for other in groups {
                let faults = if group == other { within } else { between };
                self.ways(group, other, faults);
            }
        }
    }

    /// Sends garbage to a proxy's cluster port, so many datagrams a second, until a moment.
    pub(crate) fn flood(&mut self, proxy: usize, rate: f64, until_ms: f64) {
        // A machine that is out of sockets skips this batch.
        if let Ok(socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)) {
            for _ in 0..(rate * FLOOD_INTERVAL_MS / 1000.0).round() as usize {
                let length = self.random.random_range(0..LONGEST_GARBAGE);
                let garbage: Vec<u8> = (0..length).map(|_| self.random.random()).collect();
                // What a dead proxy's port refuses is lost, as on any network.
                let _ = socket.send_to(&garbage, self.proxies[proxy].cluster_listen);
            }
        }
        if self.now() + FLOOD_INTERVAL_MS < until_ms {
            self.schedule(FLOOD_INTERVAL_MS, move |harness| {
                harness.flood(proxy, rate, until_ms);
            });
        }
    }
}
