//! The other nodes of the fleet: a socket for datagrams, and what they tell. Who is there, and what may be
//! assumed, is decided in `membership/`; a node without a charter has none of this.

mod events;
mod status_page;

use crate::config::configuration::Configuration;
use crate::endpoint_list::hashed;
use crate::tokens::CLUSTER;
use crankmux::types::{EndpointState, EndpointUpdate};
use crankmux_membership::assumptions::ClusterAssumptions;
use crankmux_membership::endpoint_gossip::EndpointView;
use crankmux_membership::{Membership, MembershipEvent, NodeId, Reachability};
use crankmux_operator_config::ClusterOptions;
use mio::net::UdpSocket;
use mio::{Interest, Registry};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Datagrams read in one turn, and how soon the next are where more may wait. Danger: a flood at the port would
/// keep ops waiting. Some 16,000 a second are read at most, each in microseconds; a fleet of a thousand sends
/// a node some twenty.
const READ_MOST: usize = 32;
const READ_AGAIN: f64 = 2.0;

/// How a node comes into its fleet.
#[derive(Clone)]
pub struct ClusterConfig {
    pub charter: ClusterOptions,
    pub keys: Vec<String>,
    pub name: String,
    pub zone: String,
    settings: u64,
    seed: u64,
}

/// The version of settings: the same at all nodes that hold the same, whatever is each one's own.
fn version(settings: &Value) -> u64 {
    let mut common = settings.clone();
    if let Some(keys) = common.as_object_mut() {
        ["MyNumber", "MyZone"]
            .iter()
            .for_each(|own| drop(keys.remove(*own)));
    }
    hashed(&common.to_string())
}

/// The program's version as one number, in which a later one is higher.
fn program() -> u32 {
    let part = |text: &str| text.parse::<u32>().unwrap_or(0);
    part(env!("CARGO_PKG_VERSION_MAJOR")) * 1_000_000
        + part(env!("CARGO_PKG_VERSION_MINOR")) * 1000
        + part(env!("CARGO_PKG_VERSION_PATCH"))
}

impl ClusterConfig {
    pub fn new(charter: ClusterOptions, keys: Vec<String>, configuration: &Configuration) -> Self {
        let settings = configuration.whole.get("settings").unwrap_or(&Value::Null);
        let zone = settings
            .get("MyZone")
            .and_then(Value::as_str)
            .unwrap_or_default();
        ClusterConfig {
            name: charter
                .name
                .clone()
                .unwrap_or_else(|| configuration.name.clone()),
            zone: charter.zone.clone().unwrap_or_else(|| zone.to_string()),
            settings: version(settings),
            // Of its own: neither two nodes nor two lives draw alike.
            seed: hashed(&charter.advertise.to_string()),
            charter,
            keys,
        }
    }
}

/// What the datagrams came to.
#[derive(Default)]
pub struct Datagrams {
    pub sent: u64,
    pub unsent: u64,
    pub heard: u64,
    pub refused: u64,
}

/// The node among the others.
pub struct Cluster {
    socket: UdpSocket,
    fleet: Membership,
    /// What the decisions were last told.
    pub shares: ClusterAssumptions,
    lists: EndpointView,
    /// The lines of the own list, and where to dial, by the number by which all nodes know a server.
    lines: BTreeMap<u64, (EndpointUpdate, Option<(SocketAddr, f64)>)>,
    datagrams: Datagrams,
    /// Read again, where more may wait than were read.
    read_at: f64,
    reach: Reachability,
}

impl Cluster {
    /// Opens the port, and asks the seeds. Errors: the port is another's, a key is none.
    pub fn open(
        entry: &ClusterConfig,
        told: f64,
        now: f64,
        registry: &Registry,
    ) -> Result<Self, String> {
        let charter = &entry.charter;
        let of_listen = |e: std::io::Error| format!("fleet.listen: {}: {e}", charter.listen);
        let mut socket = UdpSocket::bind(charter.listen).map_err(of_listen)?;
        let held =
            socket2::SockRef::from(&socket).set_recv_buffer_size(charter.receive_buffer as usize);
        held.map_err(|e| format!("fleet.receive-buffer: {e}"))?;
        registry
            .register(&mut socket, CLUSTER, Interest::READABLE)
            .map_err(of_listen)?;
        let me = NodeId {
            name: entry.name.clone(),
            zone: entry.zone.clone(),
            address: charter.advertise,
            born: now as u64,
            program: program(),
            settings: entry.settings,
        };
        let keys: Vec<&str> = entry.keys.iter().map(String::as_str).collect();
        let mut fleet = Membership::new(me, &charter.seeds, &keys, entry.seed ^ now as u64, now)?;
        fleet.forget_failed_after(charter.forget_failed);
        log::info!(
            "fleet: {} of zone {} hears at {}",
            entry.name,
            entry.zone,
            charter.listen
        );
        Ok(Cluster {
            socket,
            fleet,
            shares: ClusterAssumptions::new(told, now),
            lists: EndpointView::default(),
            lines: BTreeMap::new(),
            datagrams: Datagrams::default(),
            read_at: f64::INFINITY,
            reach: Reachability::Full,
        })
    }

    pub fn next_due(&self) -> f64 {
        self.fleet
            .next_due()
            .min(self.read_at)
            .min(self.shares.next_look())
    }

    /// Reads what has come, not more than one turn may take.
    fn read(&mut self, now: f64) {
        let mut datagram = [0; 2048];
        self.read_at = now + READ_AGAIN;
        for _ in 0..READ_MOST {
            match self.socket.recv_from(&mut datagram) {
                Ok((length, from)) => match self.fleet.heard(now, from, &datagram[..length]) {
                    Ok(()) => self.datagrams.heard += 1,
                    Err(_) => self.datagrams.refused += 1,
                },
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                // Nothing more, or that some port was nobody's: the next event tells when there is.
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                    self.read_at = f64::INFINITY;
                    return;
                }
                Err(_) => {}
            }
        }
    }

    /// Sends what is to be sent. One that does not fit is lost, as any datagram may be.
    fn send(&mut self) {
        for (to, datagram) in self.fleet.take_sends() {
            match self.socket.send_to(&datagram, to) {
                Ok(_) => self.datagrams.sent += 1,
                Err(_) => self.datagrams.unsent += 1,
            }
        }
    }

    /// Other keys and seeds, as a reload has them.
    pub fn renew(&mut self, entry: &ClusterConfig, told: f64) {
        let keys: Vec<&str> = entry.keys.iter().map(String::as_str).collect();
        if let Err(e) = self.fleet.take_keys(&keys) {
            log::error!("fleet: the keys stay as they were: {e}");
        }
        self.fleet.take_seeds(&entry.charter.seeds);
        self.shares.renew(told);
    }
}

/// How strict a standing is, for all nodes the same.
fn strict(standing: EndpointState) -> u8 {
    match standing {
        EndpointState::Ready => 0,
        EndpointState::Draining => 1,
        EndpointState::Removed => 2,
    }
}

/// Danger: were a server gone by another's word, its index would be used again while the own list holds it.
/// Either way nothing new goes there.
fn standing(strict: u8) -> EndpointState {
    match strict {
        0 => EndpointState::Ready,
        _ => EndpointState::Draining,
    }
}
