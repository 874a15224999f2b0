//! UDP relays between proxies. Each proxy advertises its relay's address instead of its own, so that the relay can
//! drop, delay, duplicate, corrupt or replay the datagrams of other proxies.

use crate::due_queue::DueQueue;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// The number of latest datagrams that are kept for replay.
const MAX_RECORDED_DATAGRAMS: usize = 4000;
const MAX_DATAGRAM_SIZE: usize = 2048;

/// The faults on the network path from one proxy to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathFaults {
    /// The fraction of datagrams that are dropped.
    pub loss: f64,
    /// The fraction of datagrams that are delivered twice.
    pub duplicated: f64,
    /// The fraction of datagrams in which one bit is flipped.
    pub corrupted: f64,
    /// The minimum delay. Each datagram's delay is drawn from one to two times this, so that datagrams are reordered.
    pub delay_ms: f64,
    /// Whether all datagrams are dropped.
    pub cut: bool,
}

/// The relay in front of one proxy.
struct Relay {
    socket: UdpSocket,
    /// The proxy's own cluster address.
    proxy_address: SocketAddr,
}

/// A datagram and the index of the proxy that receives it.
struct Datagram {
    to: usize,
    bytes: Vec<u8>,
}

/// A datagram that was received for a proxy and can be replayed.
struct RecordedDatagram {
    at_ms: f64,
    datagram: Datagram,
}

/// The relays of all proxies and the faults on the paths between them.
#[derive(Default)]
pub struct PathRelays {
    relays: Vec<Relay>,
    faults: BTreeMap<(usize, usize), PathFaults>,
    delayed: DueQueue<Datagram>,
    recorded: VecDeque<RecordedDatagram>,
    forwarded_bytes: u64,
}

impl PathRelays {
    /// Adds a relay for the proxy that listens at this address. Returns the address that the proxy advertises.
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

    /// Receives all datagrams that are waiting at a relay, then forwards those that are due.
    pub(crate) fn receive(&mut self, now_ms: f64, to: usize, random: &mut ChaCha8Rng) {
        let mut buffer = [0; MAX_DATAGRAM_SIZE];
        // Any error means that no datagram is left, since an unconnected socket reports no errors of its peers.
        while let Ok((length, sender)) = self.relays[to].socket.recv_from(&mut buffer) {
            self.enqueue(now_ms, sender, to, &buffer[..length], random);
        }
        self.forward_due(now_ms);
    }

    /// Applies the path's faults to a datagram and queues the result.
    fn enqueue(
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
            let position = random.random_range(0..bytes.len().max(1));
            bytes[position] ^= 1 << random.random_range(0..8);
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

    /// Returns the faults on a path. Senders other than the proxies have none.
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
        self.recorded
            .push_back(RecordedDatagram { at_ms, datagram });
        if self.recorded.len() > MAX_RECORDED_DATAGRAMS {
            self.recorded.pop_front();
        }
    }

    /// Forwards the datagrams whose delay has elapsed.
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

    /// Replays to a proxy the datagrams that it was sent at least `min_age_ms` ago. Returns the number of datagrams.
    pub fn replay(&mut self, now_ms: f64, to: usize, min_age_ms: f64) -> usize {
        let old: Vec<&Datagram> = self
            .recorded
            .iter()
            .filter(|recorded| recorded.datagram.to == to && now_ms - recorded.at_ms >= min_age_ms)
            .map(|recorded| &recorded.datagram)
            .collect();
        for datagram in &old {
            self.deliver(datagram);
        }
        old.len()
    }

    fn deliver(&self, datagram: &Datagram) {
        let relay = &self.relays[datagram.to];
        // A datagram to a proxy without a running process is lost, as on any network.
        let _ = relay.socket.send_to(&datagram.bytes, relay.proxy_address);
    }
}
