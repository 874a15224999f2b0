//! The other known members by address.

use crate::types::{Member, MemberCounts, MemberState, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long a failed member is counted by default; partitions are expected to be repaired within this time.
const FORGET_FAILED_AFTER_MS: f64 = 86_400_000.0;
/// How long a member that left is remembered, longer than gossip about it can be delayed.
const FORGET_LEFT_AFTER_MS: f64 = 600_000.0;

/// The other known members.
pub(crate) struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
    forget_failed_after_ms: f64,
}

impl MemberTable {
    pub(crate) fn new() -> Self {
        MemberTable {
            members: BTreeMap::new(),
            forget_failed_after_ms: FORGET_FAILED_AFTER_MS,
        }
    }

    pub(crate) fn set_forget_failed_after(&mut self, milliseconds: f64) {
        self.forget_failed_after_ms = milliseconds;
    }

    /// All members in order of address.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(crate) fn get(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(&address)
    }

    pub(crate) fn is_live(&self, address: SocketAddr) -> bool {
        self.get(address).is_some_and(Member::is_live)
    }

    pub(crate) fn counts(&self) -> MemberCounts {
        MemberCounts {
            live: self.iter().filter(|member| member.is_live()).count(),
            failed: self.failed().count(),
        }
    }

    pub(crate) fn failed(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.state == MemberState::Failed)
    }

    pub(crate) fn find_by_sender_id(&self, sender_id: u64) -> Option<&Member> {
        self.iter()
            .find(|member| member.id.sender_id() == sender_id)
    }

    /// Finds a live member with the same name at another address.
    pub(crate) fn find_live_with_same_name(&self, id: &NodeId) -> Option<&Member> {
        self.iter().find(|member| {
            member.id.name == id.name
                && member.id.address != id.address
                && member.state == MemberState::Alive
        })
    }

    /// Records a member's state. Returns false if it is stale: the incarnation was superseded or has left.
    pub(crate) fn record(&mut self, now_ms: f64, id: &NodeId, state: MemberState) -> bool {
        let stale = self.get(id.address).is_some_and(|known| {
            known.id.incarnation > id.incarnation
                || (known.id.incarnation == id.incarnation && known.state == MemberState::Left)
        });
        if !stale {
            self.insert(Member::new(id.clone(), state, now_ms));
        }
        !stale
    }

    /// Records a failed member reported by gossip. Ignores known incarnations, whose state SWIM determines. Returns
    /// whether the member was recorded.
    pub(crate) fn record_unknown_failed(&mut self, now_ms: f64, id: NodeId) -> bool {
        let unknown = self
            .get(id.address)
            .is_none_or(|known| known.id.incarnation < id.incarnation);
        if unknown {
            self.insert(Member::new(id, MemberState::Failed, now_ms));
        }
        unknown
    }

    /// Records that a member left and returns it; none if it is unknown or has a later incarnation.
    pub(crate) fn record_left(
        &mut self,
        now_ms: f64,
        address: SocketAddr,
        incarnation: u64,
    ) -> Option<&Member> {
        let member = self
            .members
            .get_mut(&address)
            .filter(|member| member.id.incarnation <= incarnation)?;
        member.state = MemberState::Left;
        member.since_ms = now_ms;
        Some(member)
    }

    /// Whether this table lacks SWIM's state of a member: unknown here, a later incarnation, or a different state.
    pub(crate) fn differs(&self, id: &NodeId, state: MemberState) -> bool {
        self.get(id.address).is_none_or(|known| {
            known.id.incarnation < id.incarnation
                || (known.id.incarnation == id.incarnation && known.state != state)
        })
    }

    /// Removes members that failed or left long ago. Returns whether any were removed.
    pub(crate) fn forget_old(&mut self, now_ms: f64) -> bool {
        let before = self.members.len();
        let forget_failed_after_ms = self.forget_failed_after_ms;
        self.members.retain(|_, member| match member.state {
            MemberState::Failed => now_ms - member.since_ms < forget_failed_after_ms,
            MemberState::Left => now_ms - member.since_ms < FORGET_LEFT_AFTER_MS,
            MemberState::Alive | MemberState::Suspected => true,
        });
        self.members.len() < before
    }

    fn insert(&mut self, member: Member) {
        self.members.insert(member.id.address, member);
    }
}
