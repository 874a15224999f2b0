//! Faults on the datagram paths between proxies.

use super::Harness;
use crate::relays::PathFaults;
use rand::RngExt;
use std::net::{Ipv4Addr, UdpSocket};

/// How often a flood sends a batch.
const FLOOD_INTERVAL_MS: f64 = 5.0;
const MAX_GARBAGE_BYTES: usize = 1300;

impl Harness {
    /// Sets the faults on the path from each proxy in `from` to each proxy in `to`.
    pub fn set_path_faults(&mut self, from: &[usize], to: &[usize], faults: PathFaults) {
        for sender in from {
            for receiver in to {
                self.relays.set_faults(*sender, *receiver, faults);
            }
        }
    }

    /// Cuts all paths between these groups, and sets the faults on the paths within each group.
    pub fn partition(&mut self, groups: &[&[usize]], within: PathFaults) {
        let between = PathFaults {
            cut: true,
            ..within
        };
        for group in groups {
            for other in groups {
                let faults = if group == other { within } else { between };
                self.set_path_faults(group, other, faults);
            }
        }
    }

    /// Sends random datagrams to a proxy's cluster port at `rate` per second until `until_ms`.
    pub(crate) fn flood(&mut self, proxy: usize, rate: f64, until_ms: f64) {
        // Skips this batch if the system has no free socket.
        if let Ok(socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)) {
            for _ in 0..(rate * FLOOD_INTERVAL_MS / 1000.0).round() as usize {
                let length = self.random.random_range(0..MAX_GARBAGE_BYTES);
                let garbage: Vec<u8> = (0..length).map(|_| self.random.random()).collect();
                // A datagram to the closed port of a dead proxy is lost.
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
