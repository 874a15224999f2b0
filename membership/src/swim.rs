//! The SWIM protocol by `foca`: its configuration, and calls that return what it wants done.

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

/// How often a member probes one other. Where a third fails at once, each of those is probed by somebody within seven
/// of these, 99 times of 100.
pub(crate) const PROBE_INTERVAL_MS: f64 = 200.0;
/// How long a suspected member has to refute the suspicion, through others if need be.
pub(crate) const SUSPICION_TIMEOUT_MS: f64 = 1000.0;
/// A third of the interval for the direct probe leaves two thirds for the indirect ones.
const PROBE_TIMEOUT_MS: f64 = PROBE_INTERVAL_MS / 3.0;
const INDIRECT_PROBES: usize = 3;
/// Each hop reaches three more: twelve are over three times what a thousand members need.
const MAX_TRANSMISSIONS: u8 = 12;
/// A day: a member that comes back by then under an old incarnation is told to renew it.
const REMEMBER_FAILED: Duration = Duration::from_secs(86_400);
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(30);
const ANNOUNCE_TO_FAILED_INTERVAL_MS: f64 = 2000.0;
const ANNOUNCED_FAILED_MEMBERS: usize = 2;
const GOSSIP_INTERVAL_MS: f64 = 200.0;
const GOSSIP_FANOUT: usize = 3;

/// A timer that `foca` wants to be called back with.
pub(crate) type SwimTimer = foca::Timer<NodeId>;

impl Identity for NodeId {
    type Addr = SocketAddr;

    fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Declared failed though it lives, it goes on as a later incarnation.
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

/// A change of a member's state. The state is none where a later incarnation took an earlier one's place.
pub(crate) struct StateChange {
    pub(crate) id: NodeId,
    pub(crate) state: Option<MemberState>,
}

/// What a call of [`Swim`] wants done, in order.
#[derive(Default)]
pub(crate) struct SwimOutput {
    pub(crate) packets: Vec<(SocketAddr, Vec<u8>)>,
    /// Timers, each with the milliseconds after which it fires.
    pub(crate) timers: Vec<(f64, SwimTimer)>,
    pub(crate) changes: Vec<StateChange>,
    /// The incarnation under which this member goes on, once it was declared failed.
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

/// One member's SWIM protocol state.
pub(crate) struct Swim {
    foca: MemberFoca,
    inbox: Rc<RefCell<GossipInbox>>,
}

impl Swim {
    pub(crate) fn new(local: NodeId, seed: u64) -> Self {
        let inbox = Rc::new(RefCell::new(GossipInbox::default()));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let receiver = GossipReceiver(Rc::clone(&inbox));
        let foca =
            Foca::with_custom_broadcast(local, configuration(), rng, PostcardCodec, receiver);
        Swim { foca, inbox }
    }

    /// Takes in a packet.
    pub(crate) fn receive(&mut self, packet: &[u8]) -> SwimOutput {
        self.call(|foca, output| foca.handle_data(packet, output))
    }

    /// A timer fires.
    pub(crate) fn fire(&mut self, timer: SwimTimer) -> SwimOutput {
        self.call(|foca, output| foca.handle_timer(timer, output))
    }

    /// Asks a member to answer with what it knows.
    pub(crate) fn announce(&mut self, to: NodeId) -> SwimOutput {
        self.call(|foca, output| foca.announce(to, output))
    }

    /// Goes on under another identity.
    pub(crate) fn change_identity(&mut self, id: NodeId) -> SwimOutput {
        self.call(|foca, output| foca.change_identity(id, output))
    }

    /// Sends the gossip messages that wait to a few members now.
    pub(crate) fn send_gossip(&mut self) -> SwimOutput {
        self.call(|foca, output| foca.broadcast(output))
    }

    fn call(
        &mut self,
        operation: impl FnOnce(&mut MemberFoca, &mut SwimOutput) -> Result<(), foca::Error>,
    ) -> SwimOutput {
        let mut output = SwimOutput::default();
        // An input that foca rejects, it rejects whole; what it wanted before that still counts.
        let _ = operation(&mut self.foca, &mut output);
        output
    }

    /// Adds a message to those that are spread.
    pub(crate) fn add_gossip(&mut self, message: &GossipMessage) {
        let bytes = postcard::to_stdvec(message).expect("gossip messages can be encoded");
        // One that is rejected here would be older than one sent before, which cannot be.
        let _ = self.foca.add_broadcast(&bytes);
        // foca hands the message to the inbox too. What else waits there, of a packet that is being taken in, is
        // dropped with it; it is spread on all the same.
        self.take_received();
    }

    /// Takes the gossip messages received since the last call.
    pub(crate) fn take_received(&mut self) -> Vec<GossipMessage> {
        self.inbox.borrow_mut().take_received()
    }

    /// The state of this very identity, if it is known.
    pub(crate) fn state_of(&self, id: &NodeId) -> Option<MemberState> {
        self.members()
            .find_map(|(member, state)| (member == id).then_some(state))
    }

    /// All members that are known, with their state; a suspected member is alive here.
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

    /// The members that are suspected now.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &NodeId> {
        self.foca
            .iter_membership_state()
            .filter(|member| member.state() == foca::State::Suspect)
            .map(foca::Member::id)
    }
}

fn configuration() -> foca::Config {
    let milliseconds = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    let nonzero = |count| NonZeroUsize::new(count).expect("not zero");
    foca::Config {
        probe_period: milliseconds(PROBE_INTERVAL_MS),
        probe_rtt: milliseconds(PROBE_TIMEOUT_MS),
        num_indirect_probes: nonzero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).expect("not zero"),
        suspect_to_down_after: milliseconds(SUSPICION_TIMEOUT_MS),
        remove_down_after: Some(REMEMBER_FAILED),
        max_packet_size: nonzero(MAX_BODY_LENGTH),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams {
            frequency: ANNOUNCE_INTERVAL,
            num_members: nonzero(1),
        }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: milliseconds(ANNOUNCE_TO_FAILED_INTERVAL_MS),
            num_members: nonzero(ANNOUNCED_FAILED_MEMBERS),
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: milliseconds(GOSSIP_INTERVAL_MS),
            num_members: nonzero(GOSSIP_FANOUT),
        }),
    }
}
