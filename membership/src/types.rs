//! Membership data types: node identities, member states, events, and endpoint gossip.

use crate::authentication::stable_hash;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a proxy: its advertised address and its incarnation.
///
/// Sent between proxies in a positional encoding: the order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeId {
    /// The configured name.
    pub name: String,
    /// The zone it runs in.
    pub zone: String,
    /// The advertised address.
    pub address: SocketAddr,
    /// The start time in Unix milliseconds, or a higher number; grows with each incarnation. Distinct from foca's own
    /// incarnation number, which refutes suspicions and restarts with each of these.
    pub incarnation: u64,
    /// The program version as a number that grows with each release.
    pub program_version: u32,
    /// A hash of the settings in use.
    pub settings_version: u64,
}

impl NodeId {
    /// The sender ID in signed datagrams. It covers the address as well as the name: otherwise, of two machines with
    /// the same name, each would supersede the other's incarnation, and peers would drop their datagrams as replays.
    pub(crate) fn sender_id(&self) -> u64 {
        stable_hash(&format!("{}@{}", self.name, self.address))
    }
}

/// One incarnation of a member, as two numbers that are the same at every proxy.
///
/// Hashed into member set digests, which proxies compare: the order of the fields must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IncarnationKey {
    pub(crate) address_hash: u64,
    pub(crate) incarnation: u64,
}

/// A hash of an address that is the same at every proxy.
pub(crate) fn address_hash(address: SocketAddr) -> u64 {
    stable_hash(&address.to_string())
}

/// The state of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It missed a probe and may still refute the suspicion.
    Suspected,
    /// It was declared failed. It may merely be unreachable from here and still send requests.
    Failed,
    /// It announced its shutdown and sends no more requests.
    Left,
}

/// Another member as known to this one.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The latest known identity.
    pub id: NodeId,
    /// The current state.
    pub state: MemberState,
    /// When it entered that state, in milliseconds of the caller's clock.
    pub since_ms: f64,
    address_hash: u64,
}

impl Member {
    pub(crate) fn new(id: NodeId, state: MemberState, since_ms: f64) -> Self {
        Member {
            address_hash: address_hash(id.address),
            id,
            state,
            since_ms,
        }
    }

    pub(crate) fn address_hash(&self) -> u64 {
        self.address_hash
    }

    /// The incarnation as hashed into member set digests.
    pub(crate) fn incarnation_key(&self) -> IncarnationKey {
        IncarnationKey {
            address_hash: self.address_hash,
            incarnation: self.id.incarnation,
        }
    }

    /// Whether it is alive or suspected: a suspected member counts as live until it is declared failed.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspected)
    }
}

/// The number of other members by state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Alive or suspected.
    pub live: usize,
    /// Declared failed.
    pub failed: usize,
}

/// How much of the known cluster is reachable. Counts include this proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reachability {
    /// All members are reachable.
    Full,
    /// Some members are reachable.
    Partial {
        /// The number of members in the cluster.
        members: usize,
        /// The number of reachable members.
        reached: usize,
        /// Start of the partition, in milliseconds of the caller's clock.
        since_ms: f64,
    },
    /// No other member is reachable.
    Isolated {
        /// Start of the isolation, in milliseconds of the caller's clock.
        since_ms: f64,
    },
}

/// How much of a zone is reachable.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneReachability {
    /// The name of the zone.
    pub zone: String,
    /// The number of members in the zone.
    pub members: usize,
    /// The number of reachable members.
    pub reached: usize,
    /// When it stopped being fully reachable; none while it is.
    pub since_ms: Option<f64>,
}

/// A membership event.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A member is alive: it is new, has a later incarnation, or recovered after it was declared failed.
    Up(NodeId),
    /// A member was declared failed.
    Failed(NodeId),
    /// A member left.
    Left(NodeId),
    /// The proxy at this address gossiped the status of an endpoint.
    EndpointUpdate(SocketAddr, EndpointGossip),
    /// Two live members at different addresses have the same name.
    DuplicateName(NodeId, NodeId),
    /// This process did not run for this many milliseconds.
    Paused(f64),
    /// This proxy continues under a new incarnation, because it was declared failed or its incarnation was superseded.
    IncarnationChanged(u64),
}

/// The status of an endpoint in a proxy's endpoint list: draining, removed, restarted, or ready again.
///
/// Sent between proxies in a positional encoding: the order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointGossip {
    /// The endpoint's stable hash, which is the same at all proxies.
    pub endpoint: u64,
    /// 0 ready, 1 draining, 2 removed; a higher value is stricter.
    pub strictness: u8,
    /// Wall-clock time of its last start in milliseconds; 0 if it started long ago.
    pub started_at_ms: f64,
    /// The version of the endpoint list that this status is from.
    pub list_version: u64,
}
