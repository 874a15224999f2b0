//! [`Membership`]: one member's view of the cluster.

mod changes;
mod incarnations;

use crate::authentication::{AuthenticationError, Authenticator, KeyError, VerifiedDatagram};
use crate::gossip::{GossipMessage, GossipPayload};
use crate::incarnation_notices::{IncarnationNotice, NoticeLimiter};
use crate::member_set::MemberSet;
use crate::member_table::MemberTable;
use crate::reachability::ReachabilityTracker;
use crate::seeds::Seeds;
use crate::slow_start_shares::MemberSetDigest;
use crate::suspects::SuspectProber;
use crate::swim::Swim;
use crate::timers::TimerQueue;
use crate::types::{
    address_hash, EndpointGossip, IncarnationKey, Member, MemberCounts, MemberState,
    MembershipEvent, NodeId, Reachability, ZoneReachability,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// How often the leave message is sent to three other members: with a packet loss of one in five, the probability that
/// none of them receives it is below one in ten million.
const LEAVE_BROADCASTS: usize = 4;
/// The minimum time between two digests gossiped by a member, about the time of a few gossip hops. Without it, many
/// simultaneous joins would make every member gossip a digest for each join and overload the gossip. A late digest only
/// delays an increase of shares.
const DIGEST_INTERVAL_MS: f64 = 500.0;
/// How often the member table is reconciled with SWIM's, at a cost proportional to the number of members.
const RECONCILE_INTERVAL_MS: f64 = 1000.0;

/// Datagram kinds, part of the wire format.
const KIND_SWIM: u8 = 1;
const KIND_INCARNATION_NOTICE: u8 = 2;

/// One member's view of the cluster, without I/O.
///
/// The caller passes received datagrams to [`Membership::receive`] and calls [`Membership::handle_timers`] at
/// [`Membership::next_timer_ms`]; after each call it sends the datagrams from [`Membership::take_datagrams`].
pub struct Membership {
    local: NodeId,
    local_address_hash: u64,
    authenticator: Authenticator,
    swim: Swim,
    timers: TimerQueue,
    seeds: Seeds,
    members: MemberTable,
    member_set: MemberSet,
    reachability: ReachabilityTracker,
    suspect_prober: SuspectProber,
    notice_limiter: NoticeLimiter,
    last_gossip_sequence: u64,
    started_at_ms: f64,
    last_reconciled_ms: f64,
    last_digest_ms: f64,
    leaving: bool,
    datagrams: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<MembershipEvent>,
}

impl Membership {
    /// Creates a member that discovers others through the seeds, any of which may be unreachable.
    ///
    /// # Errors
    ///
    /// Fails if there is no key or if one is too short.
    pub fn new(
        local: NodeId,
        seeds: &[SocketAddr],
        keys: &[&str],
        random_seed: u64,
        now_ms: f64,
    ) -> Result<Self, KeyError> {
        Ok(Membership {
            local_address_hash: address_hash(local.address),
            authenticator: Authenticator::new(keys, local.sender_id(), local.incarnation)?,
            swim: Swim::new(local.clone(), random_seed),
            timers: TimerQueue::default(),
            seeds: Seeds::new(local.address, seeds, now_ms),
            members: MemberTable::new(),
            member_set: MemberSet::new(),
            reachability: ReachabilityTracker::default(),
            suspect_prober: SuspectProber::new(random_seed),
            notice_limiter: NoticeLimiter::default(),
            last_gossip_sequence: 0,
            started_at_ms: now_ms,
            last_reconciled_ms: f64::NEG_INFINITY,
            last_digest_ms: f64::NEG_INFINITY,
            leaving: false,
            datagrams: Vec::new(),
            events: Vec::new(),
            local,
        })
    }

    /// Sets how long a failed member is counted, in milliseconds. The default is a day.
    pub fn set_forget_failed_after(&mut self, milliseconds: f64) {
        self.members.set_forget_failed_after(milliseconds);
    }

    /// Replaces the keys. Datagrams are signed with the first one and accepted if signed with any of them.
    ///
    /// # Errors
    ///
    /// Fails if there is no key or if one is too short, and keeps the previous keys.
    pub fn set_keys(&mut self, keys: &[&str]) -> Result<(), KeyError> {
        self.authenticator.set_keys(keys)
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds.set_addresses(seeds);
    }

    /// This member's own identity.
    pub fn local(&self) -> &NodeId {
        &self.local
    }

    /// When to call [`Membership::handle_timers`] next.
    pub fn next_timer_ms(&self) -> f64 {
        let next_timer_ms = self.timers.next_at_ms().unwrap_or(f64::INFINITY);
        next_timer_ms.min(self.seeds.next_contact_at_ms())
    }

    /// Takes the datagrams to send, each with its destination.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.datagrams)
    }

    /// Takes the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Handles a received datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram was rejected; it then changes no member's state.
    pub fn receive(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        datagram: &[u8],
    ) -> Result<(), AuthenticationError> {
        match self.authenticator.verify(now_ms, datagram) {
            Ok(verified) => {
                self.notify_if_left(now_ms, from, verified.sender_id, verified.incarnation);
                self.dispatch(now_ms, &verified);
                Ok(())
            }
            Err(rejected) => {
                self.handle_rejected(now_ms, from, rejected);
                Err(rejected)
            }
        }
    }

    fn dispatch(&mut self, now_ms: f64, datagram: &VerifiedDatagram) {
        match datagram.kind {
            KIND_SWIM => {
                let output = self.swim.receive(datagram.body);
                self.apply(now_ms, output);
            }
            KIND_INCARNATION_NOTICE => {
                if let Some(notice) = IncarnationNotice::decode(datagram.body) {
                    self.receive_notice(now_ms, notice);
                }
            }
            _ => {}
        }
    }

    /// Handles expired timers and periodic work.
    pub fn handle_timers(&mut self, now_ms: f64) {
        if let Some(pause_ms) = self.timers.postpone_by_pause(now_ms) {
            self.events.push(MembershipEvent::Paused(pause_ms));
        }
        if now_ms >= self.seeds.next_contact_at_ms() {
            self.contact_seeds(now_ms);
        }
        while let Some(timer) = self.timers.pop_due(now_ms) {
            let output = self.swim.handle_timer(timer);
            self.apply(now_ms, output);
        }
        self.refresh(now_ms);
    }

    fn contact_seeds(&mut self, now_ms: f64) {
        let members = &self.members;
        let has_members = members.iter().any(Member::is_live);
        let addresses = self
            .seeds
            .select_to_contact(now_ms, has_members, |seed| members.is_live(seed));
        for address in addresses {
            // A member answers announcements to any identity with its address.
            let unknown = NodeId {
                address,
                incarnation: 0,
                name: String::new(),
                zone: String::new(),
                ..self.local.clone()
            };
            let output = self.swim.announce(unknown);
            self.apply(now_ms, output);
        }
    }

    fn gossip(&mut self, payload: GossipPayload) {
        self.last_gossip_sequence += 1;
        self.swim.add_gossip(&GossipMessage {
            origin: self.local.address,
            incarnation: self.local.incarnation,
            sequence: self.last_gossip_sequence,
            payload,
        });
    }

    /// Gossips the status of an endpoint in this proxy's own endpoint list.
    pub fn gossip_endpoint(&mut self, gossip: EndpointGossip) {
        self.gossip(GossipPayload::Endpoint(gossip));
    }

    /// Does periodic work: reconciles the members, gossips a changed digest, and probes suspects.
    fn refresh(&mut self, now_ms: f64) {
        if now_ms - self.last_reconciled_ms >= RECONCILE_INTERVAL_MS {
            self.last_reconciled_ms = now_ms;
            self.reconcile(now_ms);
        }
        self.update_share(None);
        if now_ms - self.last_digest_ms >= DIGEST_INTERVAL_MS {
            if let Some(digest) = self.member_set.take_digest_to_gossip() {
                self.gossip_digest(now_ms, digest);
            }
        }
        self.probe_suspects(now_ms);
        self.reachability.update(now_ms, &self.members);
    }

    fn gossip_digest(&mut self, now_ms: f64, digest: MemberSetDigest) {
        self.last_digest_ms = now_ms;
        self.gossip(GossipPayload::MemberSet(digest));
    }

    fn probe_suspects(&mut self, now_ms: f64) {
        let suspects = self.swim.suspects().cloned().collect();
        let live_others = self.member_set.live_others();
        for suspect in self.suspect_prober.select(now_ms, suspects, live_others) {
            let output = self.swim.announce(suspect);
            self.apply(now_ms, output);
        }
    }

    fn update_share(&mut self, configured_size: Option<f64>) -> f64 {
        let local = IncarnationKey {
            address_hash: self.local_address_hash,
            incarnation: self.local.incarnation,
        };
        let seeds_unresponsive = self.seeds.are_unresponsive();
        self.member_set.share(
            configured_size,
            local,
            self.members.iter(),
            seeds_unresponsive,
        )
    }

    /// This proxy's current share of an endpoint's slow-start budget, given the configured number of proxies.
    pub fn slow_start_share(&mut self, configured_size: f64) -> f64 {
        if self.leaving {
            return 0.0;
        }
        self.update_share(Some(configured_size))
    }

    /// Announces that this proxy shuts down and sends no more requests. Peers then take over its share.
    pub fn leave(&mut self, now_ms: f64) {
        self.leaving = true;
        self.gossip(GossipPayload::Left);
        // foca's own leave is indistinguishable from a failure and may arrive before the leave message, so it is not
        // used. If all copies of the leave message are lost, peers declare this member failed.
        for _ in 0..LEAVE_BROADCASTS {
            let output = self.swim.send_gossip();
            self.apply(now_ms, output);
        }
    }

    /// All other known members in order of address.
    pub fn members(&self) -> Vec<Member> {
        let suspects: BTreeSet<SocketAddr> = self.swim.suspects().map(|id| id.address).collect();
        let mut members: Vec<Member> = self.members.iter().cloned().collect();
        for member in &mut members {
            if member.state == MemberState::Alive && suspects.contains(&member.id.address) {
                member.state = MemberState::Suspected;
            }
        }
        members
    }

    /// The number of other members by state.
    pub fn counts(&self) -> MemberCounts {
        self.members.counts()
    }

    /// How much of the known cluster is reachable.
    pub fn reachability(&self) -> Reachability {
        let unresponsive_since_ms = self.seeds.are_unresponsive().then_some(self.started_at_ms);
        self.reachability
            .cluster(&self.members, unresponsive_since_ms)
    }

    /// How much of each zone is reachable, in order of name. This proxy counts in its own zone.
    pub fn zone_reachability(&self) -> Vec<ZoneReachability> {
        self.reachability.zones(&self.local.zone, &self.members)
    }
}
