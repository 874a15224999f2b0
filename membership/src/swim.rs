//! The SWIM protocol: configuration of `foca`, and calls that return its output.

use crate::authentication::MAX_BODY_LENGTH;
use crate::gossip::{GossipInbox, GossipMessage, GossipReceiver};
use crate::types::{MemberState, NodeId};
use foca::{Foca, Identity, Notification, PeriodicParams, PostcardCodec, Runtime};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// How often each member probes one other member. If a third of the members fail at once, each of those is probed
/// within seven intervals in 99 of 100 cases.
pub(crate) const PROBE_INTERVAL_MS: f64 = 200.0;
/// How long a suspected member has to refute the suspicion, directly or through other members.
pub(crate) const SUSPICION_TIMEOUT_MS: f64 = 1000.0;
/// Timeout of a direct probe; the rest of the interval is left for indirect probes.
const PROBE_TIMEOUT_MS: f64 = PROBE_INTERVAL_MS / 3.0;
const INDIRECT_PROBES: usize = 3;
/// How often a member transmits an update: with a fanout of three, over three times what a thousand members need.
const MAX_TRANSMISSIONS: u8 = 12;
/// A member that returns with an old incarnation within this time is told to renew it.
const FORGET_DOWN_AFTER: Duration = Duration::from_secs(86_400);
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(30);
const ANNOUNCE_TO_FAILED_INTERVAL_MS: f64 = 2000.0;
const ANNOUNCE_TO_FAILED_FANOUT: usize = 2;
const GOSSIP_INTERVAL_MS: f64 = 200.0;
const GOSSIP_FANOUT: usize = 3;

/// A timer scheduled by `foca`.
pub(crate) type SwimTimer = foca::Timer<NodeId>;

impl Identity for NodeId {
    type Addr = SocketAddr;

    fn addr(&self) -> SocketAddr {
        self.address
    }

    /// The identity under which a member rejoins after it was falsely declared failed.
    fn renew(&self) -> Option<Self> {
        Some(NodeId {
            incarnation: self.incarnation + 1,
            ..self.clone()
        })
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
    }
}

/// A change of a member's state. The state is none if a later incarnation has replaced an earlier one.
pub(crate) struct StateChange {
    pub(crate) id: NodeId,
    pub(crate) state: Option<MemberState>,
}

/// The output of a call of [`Swim`], each kind in order.
#[derive(Default)]
pub(crate) struct SwimOutput {
    pub(crate) packets: Vec<(SocketAddr, Vec<u8>)>,
    /// Timers with their delay in milliseconds.
    pub(crate) timers: Vec<(f64, SwimTimer)>,
    pub(crate) changes: Vec<StateChange>,
    /// The new incarnation of this member, if it rejoined after it was declared failed.
    pub(crate) rejoined_as: Option<u64>,
}

impl SwimOutput {
    fn push_change(&mut self, id: &NodeId, state: Option<MemberState>) {
        self.changes.push(StateChange {
            id: id.clone(),
            state,
        });
    }
}

impl Runtime<NodeId> for SwimOutput {
    fn notify(&mut self, notification: Notification<'_, NodeId>) {
        match notification {
            Notification::MemberUp(id) => self.push_change(id, Some(MemberState::Alive)),
            Notification::MemberDown(id) => self.push_change(id, Some(MemberState::Failed)),
            Notification::Rename(_, id) => self.push_change(id, None),
            Notification::Rejoin(id) => self.rejoined_as = Some(id.incarnation),
            _ => {}
        }
    }

    fn send_to(&mut self, to: NodeId, data: &[u8]) {
        self.packets.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, timer: SwimTimer, after: Duration) {
        self.timers.push((after.as_secs_f64() * 1000.0, timer));
    }
}

type MemberFoca = Foca<NodeId, PostcardCodec, ChaCha8Rng, GossipReceiver>;

/// The SWIM protocol state of this member.
pub(crate) struct Swim {
    foca: MemberFoca,
    inbox: Rc<RefCell<GossipInbox>>,
}

impl Swim {
    pub(crate) fn new(local: NodeId, seed: u64) -> Self {
        let inbox = Rc::new(RefCell::new(GossipInbox::default()));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let receiver = GossipReceiver(Rc::clone(&inbox));
        let foca = Foca::with_custom_broadcast(local, foca_config(), rng, PostcardCodec, receiver);
        Swim { foca, inbox }
    }

    /// Handles a received packet.
    pub(crate) fn receive(&mut self, packet: &[u8]) -> SwimOutput {
        self.run(|foca, output| foca.handle_data(packet, output))
    }

    /// Handles an expired timer.
    pub(crate) fn handle_timer(&mut self, timer: SwimTimer) -> SwimOutput {
        self.run(|foca, output| foca.handle_timer(timer, output))
    }

    /// Requests the member list from a member.
    pub(crate) fn announce(&mut self, to: NodeId) -> SwimOutput {
        self.run(|foca, output| foca.announce(to, output))
    }

    /// Continues under another identity.
    pub(crate) fn change_identity(&mut self, id: NodeId) -> SwimOutput {
        self.run(|foca, output| foca.change_identity(id, output))
    }

    /// Sends pending gossip messages to a few members immediately.
    pub(crate) fn send_gossip(&mut self) -> SwimOutput {
        self.run(|foca, output| foca.broadcast(output))
    }

    fn run(
        &mut self,
        operation: impl FnOnce(&mut MemberFoca, &mut SwimOutput) -> Result<(), foca::Error>,
    ) -> SwimOutput {
        let mut output = SwimOutput::default();
        // Errors mean that foca rejected the input; output from before the rejection is still valid.
        let _ = operation(&mut self.foca, &mut output);
        output
    }

    /// Queues a message to be gossiped to all members.
    pub(crate) fn add_gossip(&mut self, message: &GossipMessage) {
        let bytes = postcard::to_stdvec(message).expect("gossip messages can be encoded");
        // foca drops superseded and duplicate messages, which need not be sent.
        let _ = self.foca.add_broadcast(&bytes);
        // foca delivers the message to the local inbox as well; discard it. Messages of a packet being processed are
        // discarded along with it, but are still forwarded to other members.
        self.take_received();
    }

    /// Takes the gossip messages received since the last call.
    pub(crate) fn take_received(&mut self) -> Vec<GossipMessage> {
        self.inbox.borrow_mut().take_received()
    }

    /// The state of a member under exactly this identity; none if that is unknown.
    pub(crate) fn state_of(&self, id: &NodeId) -> Option<MemberState> {
        self.members()
            .find_map(|(member, state)| (member == id).then_some(state))
    }

    /// All known members and their states; suspected members are reported as alive.
    pub(crate) fn members(&self) -> impl Iterator<Item = (&NodeId, MemberState)> {
        self.foca.iter_membership_state().map(|member| {
            let state = if member.state() == foca::State::Down {
                MemberState::Failed
            } else {
                MemberState::Alive
            };
            (member.id(), state)
        })
    }

    /// The currently suspected members.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &NodeId> {
        self.foca
            .iter_membership_state()
            .filter(|member| member.state() == foca::State::Suspect)
            .map(foca::Member::id)
    }
}

fn foca_config() -> foca::Config {
    let milliseconds = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    let nonzero = |count| NonZeroUsize::new(count).expect("not zero");
    foca::Config {
        probe_period: milliseconds(PROBE_INTERVAL_MS),
        probe_rtt: milliseconds(PROBE_TIMEOUT_MS),
        num_indirect_probes: nonzero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).expect("not zero"),
        suspect_to_down_after: milliseconds(SUSPICION_TIMEOUT_MS),
        remove_down_after: Some(FORGET_DOWN_AFTER),
        max_packet_size: nonzero(MAX_BODY_LENGTH),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams {
            frequency: ANNOUNCE_INTERVAL,
            num_members: nonzero(1),
        }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: milliseconds(ANNOUNCE_TO_FAILED_INTERVAL_MS),
            num_members: nonzero(ANNOUNCE_TO_FAILED_FANOUT),
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: milliseconds(GOSSIP_INTERVAL_MS),
            num_members: nonzero(GOSSIP_FANOUT),
        }),
    }
}
