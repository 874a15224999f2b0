//! Notices to a proxy whose incarnation is superseded.
//!
//! A proxy that restarts after its clock was set back has an earlier incarnation than before, and its peers reject its
//! datagrams. A notice tells it the latest incarnation they know, so that it can continue under a later one.

use crate::gossip::MAX_TOPICS;
use crate::seeds::CONTACT_INTERVAL_MS;
use std::collections::BTreeMap;

/// The minimum time between notices to the same sender, as replayed datagrams also trigger notices.
const NOTICE_INTERVAL_MS: f64 = CONTACT_INTERVAL_MS;
/// Bounds the memory of the rate limiter.
const MAX_SENDERS: usize = MAX_TOPICS;
const FIELD_LENGTH: usize = size_of::<u64>();

/// The latest known incarnation of a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IncarnationNotice {
    pub(crate) sender_id: u64,
    pub(crate) incarnation: u64,
}

impl IncarnationNotice {
    /// Encodes the datagram body.
    pub(crate) fn encode(self) -> Vec<u8> {
        [self.sender_id, self.incarnation]
            .iter()
            .flat_map(|field| field.to_le_bytes())
            .collect()
    }

    /// Decodes a datagram body; none if it is malformed.
    pub(crate) fn decode(body: &[u8]) -> Option<Self> {
        if body.len() != 2 * FIELD_LENGTH {
            return None;
        }
        let (sender_id, incarnation) = body.split_at(FIELD_LENGTH);
        Some(IncarnationNotice {
            sender_id: u64::from_le_bytes(sender_id.try_into().ok()?),
            incarnation: u64::from_le_bytes(incarnation.try_into().ok()?),
        })
    }
}

/// Limits the rate of notices per sender.
#[derive(Default)]
pub(crate) struct NoticeLimiter {
    last_sent_ms: BTreeMap<u64, f64>,
}

impl NoticeLimiter {
    /// Whether a notice may be sent now. If so, it is recorded as sent.
    pub(crate) fn admit(&mut self, now_ms: f64, sender_id: u64) -> bool {
        let last = self.last_sent_ms.get(&sender_id);
        let interval_elapsed = last.is_none_or(|last_ms| now_ms - last_ms > NOTICE_INTERVAL_MS);
        if !interval_elapsed || self.last_sent_ms.len() >= MAX_SENDERS {
            return false;
        }
        self.last_sent_ms.insert(sender_id, now_ms);
        true
    }
}
