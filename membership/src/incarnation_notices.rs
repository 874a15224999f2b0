//! Notices to a proxy that sends under an incarnation which the others hold for superseded.
//!
//! A proxy whose clock was set back would start under an earlier incarnation, and nobody would believe it for ever.
//! It is told which one was heard last, and goes on under a later one.

use crate::gossip::MAX_TOPICS;
use crate::seeds::ASK_INTERVAL_MS;
use std::collections::BTreeMap;

/// How often one sender is told at most: replayed datagrams cause notices too.
const NOTICE_INTERVAL_MS: f64 = ASK_INTERVAL_MS;
/// Senders remembered.
const MAX_SENDERS: usize = MAX_TOPICS;
const FIELD_LENGTH: usize = size_of::<u64>();

/// The latest incarnation that was heard of a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IncarnationNotice {
    pub(crate) sender_id: u64,
    pub(crate) incarnation: u64,
}

impl IncarnationNotice {
    /// The body of its datagram.
    pub(crate) fn encode(self) -> Vec<u8> {
        [self.sender_id, self.incarnation]
            .iter()
            .flat_map(|field| field.to_le_bytes())
            .collect()
    }

    /// The notice in a datagram's body, if it is one.
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

/// When which sender was told last.
#[derive(Default)]
pub(crate) struct NoticeLimiter {
    last_sent_ms: BTreeMap<u64, f64>,
}

impl NoticeLimiter {
    /// Whether a sender may be told now; if so, it counts as told.
    pub(crate) fn admit(&mut self, now_ms: f64, sender_id: u64) -> bool {
        let last = self.last_sent_ms.get(&sender_id);
        let waited = last.is_none_or(|last_ms| now_ms - last_ms > NOTICE_INTERVAL_MS);
        if !waited || self.last_sent_ms.len() >= MAX_SENDERS {
            return false;
        }
        self.last_sent_ms.insert(sender_id, now_ms);
        true
    }
}
