//! Taking in what SWIM wants done, the members' states, and the gossip received.

use super::{Membership, KIND_SWIM};
use crate::gossip::{GossipMessage, GossipPayload};
use crate::swim::SwimOutput;
use crate::types::{address_hash, MemberState, MembershipEvent, NodeId};
use std::net::SocketAddr;

const MS_PER_SECOND: f64 = 1000.0;

impl Membership {
    /// Does what a call of SWIM wants done, and takes in the gossip that came with it.
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

    /// A member is in this state now. Where it is none a later incarnation took an earlier one's place: that may be
    /// known only as failed, and an earlier one that left may have a successor that lives, so SWIM is asked.
    fn apply_state(&mut self, now_ms: f64, id: NodeId, state: Option<MemberState>) {
        // An indirect probe reaches this member from a peer that knows only an earlier incarnation of it. foca
        // then keeps that incarnation as a failed member. It must not be counted among the others: no peer counts
        // it, so no member set would agree with this one's, and its slow-start share would stay at zero.
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

    /// Tells a new member of those that failed before it came. It would never learn of them by SWIM, count another
    /// set than the others for good, and get no share. All that know say it; one message each second goes round.
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

    /// Takes in states that SWIM holds but did not notify of, as of a failure where the member was not known before.
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
