//! Messages that proxies spread beside SWIM's own updates, and which of them supersede which.

use crate::slow_start_shares::MemberSetDigest;
use crate::types::{EndpointGossip, NodeId};
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// Topics of which the latest message is remembered: three of each member, and several thousand endpoints.
pub(crate) const MAX_TOPICS: usize = 16_384;

/// Stands for the origin in a message that is the same whoever sends it.
const ANY_ORIGIN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

const TOPIC_LEFT: u64 = 0;
const TOPIC_MEMBER_SET: u64 = 1;
const TOPIC_FAILED: u64 = 2;

/// A message to all members, encoded by the order of fields and variants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GossipMessage {
    /// The member that it is from, or about where all that know say it.
    pub(crate) origin: SocketAddr,
    pub(crate) incarnation: u64,
    /// Grows with each message of an incarnation.
    pub(crate) sequence: u64,
    pub(crate) payload: GossipPayload,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum GossipPayload {
    /// The origin shuts down and sends no more requests.
    Left,
    /// The member set that the origin counts.
    MemberSet(MemberSetDigest),
    /// This member failed, and may still send requests. A new member learns by SWIM only of those that live.
    Failed(NodeId),
    /// What the origin's endpoint list says.
    Endpoint(EndpointGossip),
}

/// What a message is about; of each topic only the latest message is kept.
type Topic = (SocketAddr, u64);
/// The order of messages within a topic.
type Order = (u64, u64);

/// Says which earlier message a new one supersedes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BroadcastKey {
    topic: Topic,
    order: Order,
}

impl Invalidates for BroadcastKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.topic == other.topic && self.order >= other.order
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
            order: (self.incarnation, self.sequence),
        }
    }
}

/// All proxies hear of a drain at one moment, and each would spread the same message. So it is one message whoever
/// sends it, and a later version of the list supersedes an earlier one.
fn endpoint_key(gossip: &EndpointGossip) -> BroadcastKey {
    let strictness = u64::from(gossip.strictness) << 56;
    BroadcastKey {
        topic: (ANY_ORIGIN, gossip.endpoint),
        order: (
            gossip.list_version,
            strictness | gossip.started_at_ms as u64,
        ),
    }
}

/// The messages received, shared between `foca`, which fills it, and [`crate::swim::Swim`], which empties it.
#[derive(Default)]
pub(crate) struct GossipInbox {
    latest: BTreeMap<Topic, Order>,
    received: Vec<GossipMessage>,
}

impl GossipInbox {
    /// Takes the messages that have come since the last call.
    pub(crate) fn take_received(&mut self) -> Vec<GossipMessage> {
        std::mem::take(&mut self.received)
    }

    /// Keeps a message if it is news, and returns its key.
    fn accept(&mut self, message: GossipMessage) -> Option<BroadcastKey> {
        let key = message.key();
        let latest = self.latest.get(&key.topic);
        if latest.is_some_and(|order| *order >= key.order) {
            return None;
        }
        // Memory is bounded: beyond this many topics only messages on known ones are kept.
        if self.latest.len() >= MAX_TOPICS && latest.is_none() {
            return None;
        }
        self.latest.insert(key.topic, key.order);
        self.received.push(message);
        Some(key)
    }
}

/// A gossip message could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("gossip message cannot be decoded")]
pub(crate) struct GossipError(#[from] postcard::Error);

/// Hands the messages that `foca` receives to the inbox.
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
