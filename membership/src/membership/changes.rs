//! Processing of SWIM output: timers, packets, member state changes, and received gossip.

use super::{Membership, KIND_SWIM};
use crate::gossip::{GossipMessage, GossipPayload};
use crate::swim::SwimOutput;
use crate::types::{address_hash, MemberState, MembershipEvent, NodeId};
use std::net::SocketAddr;

const MS_PER_SECOND: f64 = 1000.0;

impl Membership {
    /// Applies the output of a SWIM call and handles the gossip received with it.
    pub(super) fn apply(&mut self, now_ms: f64, output: SwimOutput) {
        if let Some(incarnation) = output.rejoined_as {
            self.adopt_incarnation(incarnation);
        }
        for (after_ms, timer) in output.timers {
            self.timers.schedule(now_ms, after_ms, timer);
        }
        for (to, packet) in output.packets {
            let datagram = self.authenticator.sign(KIND_SWIM, &packet);
            self.datagrams.push((to, datagram));
        }
        for change in output.changes {
            self.apply_state(now_ms, change.id, change.state);
        }
        for message in self.swim.take_received() {
            self.receive_gossip(now_ms, message);
        }
    }

    /// Applies a member's new state. Without one, a later incarnation has replaced an earlier one. The state is then
    /// looked up in SWIM, because the later incarnation may be alive or already failed.
    fn apply_state(&mut self, now_ms: f64, id: NodeId, state: Option<MemberState>) {
        // An indirect probe can come from a peer that knows only an earlier incarnation of this member, which foca then
        // keeps as a failed member. It must not be counted: no peer counts it, so digests would never agree and this
        // proxy's slow-start share would stay at zero.
        if id.address == self.local.address {
            return;
        }
        let Some(state) = state.or_else(|| self.swim.state_of(&id)) else {
            return;
        };
        let duplicate = self
            .members
            .find_live_with_same_name(&id)
            .map(|member| member.id.clone());
        if !self.members.record(now_ms, &id, state) {
            return;
        }
        self.member_set.invalidate();
        if state != MemberState::Alive {
            self.events.push(MembershipEvent::Failed(id));
            return;
        }
        self.gossip_failed_members(now_ms);
        self.events.push(match duplicate {
            Some(duplicate) => MembershipEvent::DuplicateName(duplicate, id),
            None => MembershipEvent::Up(id),
        });
    }

    /// Informs a new member of those that failed before it joined. SWIM does not report them, so its digest would never
    /// agree with the others' and it would get no share. All members that know of a failure gossip it; as the sequence
    /// number is in seconds, one such message per second spreads.
    fn gossip_failed_members(&mut self, now_ms: f64) {
        for member in self.members.failed() {
            self.swim.add_gossip(&GossipMessage {
                origin: member.id.address,
                incarnation: member.id.incarnation,
                sequence: (now_ms / MS_PER_SECOND) as u64,
                payload: GossipPayload::Failed(member.id.clone()),
            });
        }
    }

    fn receive_gossip(&mut self, now_ms: f64, message: GossipMessage) {
        let origin = message.origin;
        let is_from_self = origin == self.local.address;
        match message.payload {
            GossipPayload::Left => self.receive_left(now_ms, origin, message.incarnation),
            GossipPayload::MemberSet(digest) if !is_from_self => {
                self.member_set
                    .digest_received(address_hash(origin), digest);
            }
            GossipPayload::Failed(id) if id.address != self.local.address => {
                if self.members.record_unknown_failed(now_ms, id) {
                    self.member_set.invalidate();
                }
            }
            GossipPayload::Endpoint(gossip) if !is_from_self => {
                self.events
                    .push(MembershipEvent::EndpointUpdate(origin, gossip));
            }
            GossipPayload::MemberSet(_) | GossipPayload::Failed(_) | GossipPayload::Endpoint(_) => {
            }
        }
    }

    fn receive_left(&mut self, now_ms: f64, address: SocketAddr, incarnation: u64) {
        if let Some(member) = self.members.record_left(now_ms, address, incarnation) {
            self.member_set.member_left(member.address_hash());
            self.events.push(MembershipEvent::Left(member.id.clone()));
        }
    }

    /// Applies states for which SWIM sent no notification, such as the failure of a previously unknown member.
    pub(super) fn reconcile(&mut self, now_ms: f64) {
        let differing: Vec<_> = self
            .swim
            .members()
            .filter(|(id, state)| self.members.differs(id, *state))
            .map(|(id, state)| (id.clone(), state))
            .collect();
        for (id, state) in differing {
            self.apply_state(now_ms, id, Some(state));
        }
        if self.members.forget_old(now_ms) {
            self.member_set.invalidate();
        }
    }
}
