//! Superseded incarnations: notifying other members, and continuing under a later one.

use super::{Membership, KIND_INCARNATION_NOTICE};
use crate::authentication::AuthenticationError;
use crate::incarnation_notices::IncarnationNotice;
use crate::swim::SUSPICION_TIMEOUT_MS;
use crate::types::{MemberState, MembershipEvent, NodeId};
use std::net::SocketAddr;

impl Membership {
    /// Notifies the sender of a rejected datagram if its incarnation is superseded.
    pub(super) fn handle_rejected(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        rejected: AuthenticationError,
    ) {
        match rejected {
            AuthenticationError::Superseded { sender_id, latest } => {
                self.send_notice(now_ms, from, sender_id, latest);
            }
            AuthenticationError::Replayed {
                sender_id,
                incarnation,
            } => self.notify_if_left(now_ms, from, sender_id, incarnation),
            AuthenticationError::Malformed | AuthenticationError::UnknownKey => {}
        }
    }

    /// Notifies a sender that left and was restarted with the same or an earlier incarnation, which peers ignore.
    pub(super) fn notify_if_left(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        sender_id: u64,
        incarnation: u64,
    ) {
        let left = self.members.iter().find(|member| {
            // Datagrams of a member that has just left may still be in transit.
            member.state == MemberState::Left
                && member.id.incarnation >= incarnation
                && now_ms - member.since_ms > SUSPICION_TIMEOUT_MS
                && member.id.sender_id() == sender_id
        });
        if let Some(latest) = left.map(|member| member.id.incarnation) {
            self.send_notice(now_ms, from, sender_id, latest);
        }
    }

    fn send_notice(&mut self, now_ms: f64, from: SocketAddr, sender_id: u64, latest: u64) {
        if !self.notice_limiter.admit(now_ms, sender_id) {
            return;
        }
        let notice = IncarnationNotice {
            sender_id,
            incarnation: latest,
        };
        let datagram = self
            .authenticator
            .sign(KIND_INCARNATION_NOTICE, &notice.encode());
        // Behind NAT, the source address may not accept datagrams, so the advertised one is preferred.
        let member = self.members.find_by_sender_id(sender_id);
        let to = member.map_or(from, |member| member.id.address);
        self.datagrams.push((to, datagram));
    }

    pub(super) fn receive_notice(&mut self, now_ms: f64, notice: IncarnationNotice) {
        let is_for_self = notice.sender_id == self.local.sender_id();
        if !is_for_self || notice.incarnation < self.local.incarnation {
            return;
        }
        let incarnation = notice.incarnation + 1;
        let id = NodeId {
            incarnation,
            ..self.local.clone()
        };
        let output = self.swim.change_identity(id);
        self.apply(now_ms, output);
        self.adopt_incarnation(incarnation);
    }

    pub(super) fn adopt_incarnation(&mut self, incarnation: u64) {
        self.local.incarnation = incarnation;
        self.authenticator.set_incarnation(incarnation);
        self.member_set.reset_shares();
        self.events
            .push(MembershipEvent::IncarnationChanged(incarnation));
    }
}
