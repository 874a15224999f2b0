//! Gossip messages piggybacked on SWIM packets, and the order in which they supersede each other.

use crate::slow_start_shares::MemberSetDigest;
use crate::types::{EndpointGossip, NodeId};
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// Bounds the memory for topics: three per member, and several thousand endpoints.
pub(crate) const MAX_TOPICS: usize = 16_384;

/// Replaces the origin in topics that do not depend on the sender.
const ANY_ORIGIN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

const TOPIC_LEFT: u64 = 0;
const TOPIC_MEMBER_SET: u64 = 1;
const TOPIC_FAILED: u64 = 2;

/// A message to all members. Positional encoding: the order of fields and variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GossipMessage {
    /// The sending member, or the member concerned if several members send the same message.
    pub(crate) origin: SocketAddr,
    pub(crate) incarnation: u64,
    /// Increases with each message of an incarnation.
    pub(crate) sequence: u64,
    pub(crate) payload: GossipPayload,
}

/// The content of a gossip message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum GossipPayload {
    /// The origin is shutting down and sends no more requests.
    Left,
    /// Digest of the member set that the origin counts.
    MemberSet(MemberSetDigest),
    /// This member failed but may still send requests. Informs new members, which learn only live ones through SWIM.
    Failed(NodeId),
    /// The status of an endpoint in the origin's endpoint list.
    Endpoint(EndpointGossip),
}

/// The subject of a message. Only the latest message of each topic is kept.
type Topic = (SocketAddr, u64);
/// Orders the messages of a topic; a higher version supersedes a lower one.
type Version = (u64, u64);

/// Identifies which earlier messages a new one supersedes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BroadcastKey {
    topic: Topic,
    version: Version,
}

impl Invalidates for BroadcastKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.topic == other.topic && self.version >= other.version
    }
}

impl GossipMessage {
    fn key(&self) -> BroadcastKey {
        let topic = match &self.payload {
            GossipPayload::Left => TOPIC_LEFT,
            GossipPayload::MemberSet(_) => TOPIC_MEMBER_SET,
            GossipPayload::Failed(_) => TOPIC_FAILED,
            GossipPayload::Endpoint(gossip) => return endpoint_key(gossip),
        };
        BroadcastKey {
            topic: (self.origin, topic),
            version: (self.incarnation, self.sequence),
        }
    }
}

/// Independent of the origin: all proxies learn of a drain at about the same time and gossip the same status, which
/// then spreads as one message. A later version of the endpoint list supersedes an earlier one.
fn endpoint_key(gossip: &EndpointGossip) -> BroadcastKey {
    let strictness = u64::from(gossip.strictness) << 56;
    BroadcastKey {
        topic: (ANY_ORIGIN, gossip.endpoint),
        version: (
            gossip.list_version,
            strictness | gossip.started_at_ms as u64,
        ),
    }
}

/// Received messages. Filled by `foca` through [`GossipReceiver`] and drained by [`crate::swim::Swim`].
#[derive(Default)]
pub(crate) struct GossipInbox {
    latest: BTreeMap<Topic, Version>,
    received: Vec<GossipMessage>,
}

impl GossipInbox {
    /// Takes the messages received since the last call.
    pub(crate) fn take_received(&mut self) -> Vec<GossipMessage> {
        std::mem::take(&mut self.received)
    }

    /// Stores a message and returns its key; none if it is superseded, a duplicate, or there are too many topics.
    fn accept(&mut self, message: GossipMessage) -> Option<BroadcastKey> {
        let key = message.key();
        let latest = self.latest.get(&key.topic);
        if latest.is_some_and(|version| *version >= key.version) {
            return None;
        }
        // At the limit, messages of new topics are dropped.
        if self.latest.len() >= MAX_TOPICS && latest.is_none() {
            return None;
        }
        self.latest.insert(key.topic, key.version);
        self.received.push(message);
        Some(key)
    }
}

/// A gossip message could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("gossip message cannot be decoded")]
pub(crate) struct GossipError(#[from] postcard::Error);

/// Passes messages received by `foca` to the inbox.
pub(crate) struct GossipReceiver(pub(crate) Rc<RefCell<GossipInbox>>);

impl BroadcastHandler<NodeId> for GossipReceiver {
    type Key = BroadcastKey;
    type Error = GossipError;

    fn receive_item(
        &mut self,
        data: &[u8],
        _sender: Option<&NodeId>,
    ) -> Result<Option<BroadcastKey>, GossipError> {
        let message = postcard::from_bytes(data)?;
        Ok(self.0.borrow_mut().accept(message))
    }
}
