//! The way of datagrams between nodes: each node tells the others the address of a relay, which forwards to
//! it what comes from each of them, or does not.

use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// One direction between two nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Parts of the datagrams that are lost, sent twice, or changed by a bit.
    pub loss: f64,
    pub twice: f64,
    pub garbled: f64,
    /// Milliseconds; up to as much again by chance, so that later ones overtake.
    pub delay: f64,
    pub cut: bool,
}

/// What is kept of what passed, for a relay that repeats it later.
const KEPT: usize = 4000;

struct Relay {
    socket: UdpSocket,
    /// Where its node hears.
    to: SocketAddr,
}

#[derive(Default)]
pub struct Relays {
    relays: Vec<Relay>,
    ways: BTreeMap<(usize, usize), Way>,
    /// By when they are forwarded, in microseconds, and a running number.
    later: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    n: u64,
    kept: VecDeque<(f64, usize, Vec<u8>)>,
    pub passed: u64,
    pub bytes: u64,
}

impl Relays {
    /// One more, for the node that hears at an address. Returns the address to be told to others.
    pub fn add(
        &mut self,
        to: SocketAddr,
        registry: &Registry,
        token: Token,
    ) -> io::Result<SocketAddr> {
        let mut socket = UdpSocket::bind("127.0.0.1:0".parse().expect("an address"))?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        let address = socket.local_addr()?;
        self.relays.push(Relay { socket, to });
        Ok(address)
    }

    /// The way from one node to another from now on.
    pub fn set(&mut self, from: usize, to: usize, way: Way) {
        self.ways.insert((from, to), way);
    }

    /// Forwards what waits at one relay.
    pub fn event(&mut self, now: f64, to: usize, chance: &mut ChaCha8Rng) {
        let mut datagram = [0; 2048];
        while let Ok((length, from)) = self.relays[to].socket.recv_from(&mut datagram) {
            let from = self.relays.iter().position(|relay| relay.to == from);
            // A stranger's way is plain.
            let way = from
                .and_then(|from| self.ways.get(&(from, to)))
                .copied()
                .unwrap_or_default();
            if way.cut || chance.random::<f64>() < way.loss {
                continue;
            }
            let mut bytes = datagram[..length].to_vec();
            self.kept.push_back((now, to, bytes.clone()));
            if self.kept.len() > KEPT {
                self.kept.pop_front();
            }
            if chance.random::<f64>() < way.garbled {
                let at = chance.random_range(0..length.max(1));
                bytes[at] ^= 1 << chance.random_range(0..8);
            }
            let copies = if chance.random::<f64>() < way.twice {
                2
            } else {
                1
            };
            for _ in 0..copies {
                let late = way.delay * (1.0 + chance.random::<f64>());
                self.n += 1;
                self.later.insert(
                    (((now + late) * 1000.0) as u64, self.n),
                    (to, bytes.clone()),
                );
            }
        }
        self.due(now);
    }

    pub fn due(&mut self, now: f64) {
        while let Some(entry) = self
            .later
            .first_entry()
            .filter(|e| e.key().0 as f64 <= now * 1000.0)
        {
            let (to, bytes) = entry.remove();
            self.passed += 1;
            self.bytes += bytes.len() as u64;
            let Relay { socket, to } = &self.relays[to];
            // What a dead node's port refuses is lost, as on any network.
            let _ = socket.send_to(&bytes, *to);
        }
    }

    pub fn next_due(&self) -> Option<f64> {
        self.later.keys().next().map(|(at, _)| *at as f64 / 1000.0)
    }

    /// Sends one node again what came for it at least so long ago. PolicyKind many datagrams that were.
    pub fn repeat(&mut self, now: f64, to: usize, older: f64) -> usize {
        let old: Vec<_> = self
            .kept
            .iter()
            .filter(|(at, at_node, _)| *at_node == to && now - at >= older)
            .collect();
        for (.., bytes) in &old {
            let _ = self.relays[to].socket.send_to(bytes, self.relays[to].to);
        }
        old.len()
    }
}
