//! The data types of membership: identities, states of members, events, and endpoint gossip.

use crate::authentication::stable_hash;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a proxy: the address at which others reach it, and its incarnation.
///
/// It is encoded by the order of its fields and travels between proxies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeId {
    /// The name that operators gave it.
    pub name: String,
    /// The zone it runs in.
    pub zone: String,
    /// The address at which others reach it.
    pub address: SocketAddr,
    /// Unix milliseconds of its start, or more: a later incarnation has the higher number. foca's own incarnation,
    /// by which a suspicion is refuted, is another and counts within this one.
    pub incarnation: u64,
    /// The version of the program, the higher the later.
    pub program_version: u32,
    /// A hash of the settings it holds.
    pub settings_version: u64,
}

impl NodeId {
    /// The number by which it signs datagrams. It covers the address too: two machines under one name would
    /// otherwise reject each other's datagrams as replays, and supersede each other's incarnation by turns.
    pub(crate) fn sender(&self) -> u64 {
        stable_hash(&format!("{}@{}", self.name, self.address))
    }
}

/// One incarnation of a member, as two numbers that are the same at every proxy.
///
/// Its hash goes into the digest of a member set, so the order of the fields is fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IncarnationKey {
    pub(crate) address_hash: u64,
    pub(crate) incarnation: u64,
}

/// The number that stands for an address, the same at every proxy.
pub(crate) fn address_hash(address: SocketAddr) -> u64 {
    stable_hash(&address.to_string())
}

/// What is known of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It missed a probe and has time to refute the suspicion.
    Suspected,
    /// It was declared failed; it may be cut off from here and still send requests.
    Failed,
    /// It said that it shuts down, and sends no more requests.
    Left,
}

/// Another member, as it is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its latest known identity.
    pub id: NodeId,
    /// Its state.
    pub state: MemberState,
    /// When it came into that state, in milliseconds of the caller's clock.
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

    /// The number that stands for its address.
    pub(crate) fn address_hash(&self) -> u64 {
        self.address_hash
    }

    /// Its incarnation, as it goes into digests of member sets.
    pub(crate) fn incarnation_key(&self) -> IncarnationKey {
        IncarnationKey {
            address_hash: self.address_hash,
            incarnation: self.id.incarnation,
        }
    }

    /// Whether it is alive as far as is known: a suspected member is until it is declared failed.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspected)
    }
}

/// How many other members are in which state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Alive or suspected.
    pub live: usize,
    /// Declared failed.
    pub failed: usize,
}

/// How much of the cluster that was last complete is reached, this proxy counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reachability {
    /// All members.
    Full,
    /// Some members.
    Partial {
        /// How many members the cluster has.
        members: usize,
        /// How many of them are reached.
        reached: usize,
        /// Since when, in milliseconds of the caller's clock.
        since_ms: f64,
    },
    /// Nobody else.
    Isolated {
        /// Since when, in milliseconds of the caller's clock.
        since_ms: f64,
    },
}

/// How much of one zone is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneReachability {
    /// The zone's name.
    pub zone: String,
    /// How many members it has.
    pub members: usize,
    /// How many of them are reached.
    pub reached: usize,
    /// Since when it is not fully reached; none while it is.
    pub since_ms: Option<f64>,
}

/// What has happened, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A member is alive: a new one, a later incarnation, or one that had been declared failed.
    Up(NodeId),
    /// A member was declared failed.
    Failed(NodeId),
    /// A member left.
    Left(NodeId),
    /// What the endpoint list of the proxy at this address says of an endpoint.
    EndpointUpdate(SocketAddr, EndpointGossip),
    /// Two live members at two addresses have one name.
    DuplicateName(NodeId, NodeId),
    /// This process did not run for so many milliseconds.
    Paused(f64),
    /// This proxy goes on under this incarnation: it was declared failed, or an earlier one was in its way.
    Reincarnated(u64),
}

/// What the endpoint list of a proxy says of an endpoint: draining, removed, restarted, or ready again.
///
/// It is encoded by the order of its fields and travels between proxies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointGossip {
    /// The endpoint's stable hash, the same at all proxies.
    pub endpoint: u64,
    /// 0 ready, 1 draining, 2 removed: the higher the stricter.
    pub strictness: u8,
    /// Clock time of its last start in milliseconds; 0 for long ago.
    pub started_at_ms: f64,
    /// The version of the endpoint list that said so.
    pub list_version: u64,
}
