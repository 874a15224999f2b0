//! Relays of UDP datagrams between proxies. Each proxy advertises the address of its relay instead of its own, so
//! that the relay can lose, delay, duplicate, corrupt or replay what the others send to it.

use crate::due_queue::DueQueue;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// Datagrams that are recorded for a replay.
const RECORDED_DATAGRAMS: usize = 4000;
const LONGEST_DATAGRAM: usize = 2048;

/// What happens to datagrams from one proxy to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathFaults {
    /// The fraction of datagrams that is lost.
    pub loss: f64,
    /// The fraction that is delivered twice.
    pub duplicated: f64,
    /// The fraction of which one bit is flipped.
    pub corrupted: f64,
    /// How late each is delivered. Up to as much again is added at random, so that later ones overtake.
    pub delay_ms: f64,
    /// Nothing passes.
    pub cut: bool,
}

/// The relay in front of one proxy.
struct Relay {
    socket: UdpSocket,
    /// Where its proxy listens.
    proxy_address: SocketAddr,
}

/// A datagram on its way to a proxy.
struct Datagram {
    to: usize,
    bytes: Vec<u8>,
}

/// A datagram that may be replayed.
struct Recorded {
    at_ms: f64,
    datagram: Datagram,
}

/// The relays of all proxies, with the faults on the paths between them.
#[derive(Default)]
pub struct PathRelays {
    relays: Vec<Relay>,
    faults: BTreeMap<(usize, usize), PathFaults>,
    delayed: DueQueue<Datagram>,
    recorded: VecDeque<Recorded>,
    forwarded_bytes: u64,
}

impl PathRelays {
    /// Adds a relay for the proxy that listens at this address. Returns the address for it to advertise.
    pub(crate) fn add(
        &mut self,
        proxy_address: SocketAddr,
        registry: &Registry,
        token: Token,
    ) -> io::Result<SocketAddr> {
        let mut socket = UdpSocket::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        let address = socket.local_addr()?;
        self.relays.push(Relay {
            socket,
            proxy_address,
        });
        Ok(address)
    }

    /// Sets the faults on the path from one proxy to another.
    pub fn set_faults(&mut self, from: usize, to: usize, faults: PathFaults) {
        self.faults.insert((from, to), faults);
    }

    /// Receives what waits at one relay, and forwards what is due.
    pub(crate) fn receive(&mut self, now_ms: f64, to: usize, random: &mut ChaCha8Rng) {
        let mut buffer = [0; LONGEST_DATAGRAM];
        // Any error means that nothing more is there: an unconnected socket reports none of its peers'.
        while let Ok((length, sender)) = self.relays[to].socket.recv_from(&mut buffer) {
            self.queue(now_ms, sender, to, &buffer[..length], random);
        }
        self.forward_due(now_ms);
    }

    /// Queues a datagram with whatever the path's faults do to it.
    fn queue(
        &mut self,
        now_ms: f64,
        sender: SocketAddr,
        to: usize,
        received: &[u8],
        random: &mut ChaCha8Rng,
    ) {
        let faults = self.faults_from(sender, to);
        if faults.cut || random.random::<f64>() < faults.loss {
            return;
        }
        let mut bytes = received.to_vec();
        self.record(now_ms, to, bytes.clone());
        if random.random::<f64>() < faults.corrupted {
            let at = random.random_range(0..bytes.len().max(1));
            bytes[at] ^= 1 << random.random_range(0..8);
        }
        let duplicated = random.random::<f64>() < faults.duplicated;
        let copies = if duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let delay_ms = faults.delay_ms * (1.0 + random.random::<f64>());
            let bytes = bytes.clone();
            self.delayed
                .insert(now_ms + delay_ms, Datagram { to, bytes });
        }
    }

    /// The faults on a path. Whoever is not one of the proxies has none.
    fn faults_from(&self, sender: SocketAddr, to: usize) -> PathFaults {
        let from = self
            .relays
            .iter()
            .position(|relay| relay.proxy_address == sender);
        from.and_then(|from| self.faults.get(&(from, to)))
            .copied()
            .unwrap_or_default()
    }

    fn record(&mut self, at_ms: f64, to: usize, bytes: Vec<u8>) {
        let datagram = Datagram { to, bytes };
        self.recorded.push_back(Recorded { at_ms, datagram });
        if self.recorded.len() > RECORDED_DATAGRAMS {
            self.recorded.pop_front();
        }
    }

    /// Forwards the datagrams whose delay is over.
    pub(crate) fn forward_due(&mut self, now_ms: f64) {
        while let Some(datagram) = self.delayed.pop_due(now_ms) {
            self.forwarded_bytes += datagram.bytes.len() as u64;
            self.deliver(&datagram);
        }
    }

    pub(crate) fn next_due_ms(&self) -> Option<f64> {
        self.delayed.next_due_ms()
    }

    pub(crate) fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes
    }

    /// Sends a proxy again what was sent to it at least `older_ms` ago. Returns the number of datagrams.
    pub fn replay(&mut self, now_ms: f64, to: usize, older_ms: f64) -> usize {
        let old: Vec<&Datagram> = self
            .recorded
            .iter()
            .filter(|recorded| recorded.datagram.to == to && now_ms - recorded.at_ms >= older_ms)
            .map(|recorded| &recorded.datagram)
            .collect();
        for datagram in &old {
            self.deliver(datagram);
        }
        old.len()
    }

    fn deliver(&self, datagram: &Datagram) {
        let relay = &self.relays[datagram.to];
        // What the port of a dead proxy refuses is lost, as on any network.
        let _ = relay.socket.send_to(&datagram.bytes, relay.proxy_address);
    }
}
