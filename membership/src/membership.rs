//! The fleet as one node sees it: SWIM, what nodes say beside it, and how much of the fleet it reaches.

use crate::authentication::{number, AuthenticationError, Authenticator, BODY_MOST};
use crate::cluster_size::MemberSetDigest;
use crate::member_set::MemberSet;
use foca::{
    BroadcastHandler, Foca, Identity, Invalidates, Notification, PeriodicParams, PostcardCodec,
    Runtime,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// How often a node looks at one other. Where a third is gone at once, each of those is looked at by somebody within
/// seven of these, 99 times of 100.
const PROBE: f64 = 200.0;
/// How long a suspected one has to speak up, by way of others if need be.
const SPEAK_UP: f64 = 1000.0;
/// A due time that comes so late says that this node was paused: over a probe's time, in which its answers waited.
const PAUSED: f64 = 1.5 * PROBE;
/// How often seeds are asked while nobody is known, and a lost one else.
const ASK: f64 = 1000.0;
/// Tries of all seeds without an answer after which a node takes itself for alone.
const TRIES: usize = 3;
/// What others said that is remembered: each node's three words and news of several thousand servers.
const WORDS: usize = 16_384;
/// How long one that failed is counted, and one that left is remembered: a day's cut is mended by somebody, and
/// late gossip of who left is minutes old at most.
const FAILED_FOR: f64 = 86_400_000.0;
const LEFT_FOR: f64 = 600_000.0;
/// How often three others are told that this node goes: at a fifth of all datagrams lost, one in ten million runs
/// has none of them heard.
const FAREWELLS: usize = 4;
/// How often a node says anew which set it counts, at most: a few hops of gossip.
const SAY_EVERY: f64 = 500.0;
/// How often all members are gone through, which costs what they are many.
const SWEEP: f64 = 1000.0;

/// The kinds of datagram.
const SWIM: u8 = 1;
const LATER: u8 = 2;

/// A node, by the address at which others reach it. A later birth is a later life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeId {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Unix milliseconds of its start, or more: each life's is over the last one's.
    pub born: u64,
    /// Versions of the program and of the settings it holds.
    pub program: u32,
    pub settings: u64,
}

impl NodeId {
    /// What stands for it as a sender of datagrams. Danger: two machines under one name would refuse each other's
    /// as repeats, and take each other's life by turns; each address counts by itself.
    fn sender(&self) -> u64 {
        number(&format!("{}@{}", self.name, self.address))
    }
}

/// What stands for an address, the same at every node.
fn at(address: SocketAddr) -> u64 {
    number(&address.to_string())
}

impl Identity for NodeId {
    type Addr = SocketAddr;

    fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Declared failed though it lives: it goes on under a later birth.
    fn renew(&self) -> Option<Self> {
        Some(NodeId {
            born: self.born + 1,
            ..self.clone()
        })
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.born > other.born
    }
}

/// What is known of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    Alive,
    Suspected,
    Failed,
    /// It said that it goes, and pushes no more.
    Left,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub name: NodeId,
    pub state: MemberState,
    pub since: f64,
    /// What stands for its address.
    number: u64,
}

impl Member {
    /// What stands for this life, the same at every node.
    pub(crate) fn life(&self) -> (u64, u64) {
        (self.number, self.name.born)
    }

    fn there(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspected)
    }
}

/// How much of the fleet last agreed on is reached, this node counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reachability {
    Full,
    Partial {
        of: usize,
        reached: usize,
        since: f64,
    },
    Isolated {
        since: f64,
    },
}

/// The same of one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneReachability {
    pub zone: String,
    pub of: usize,
    pub reached: usize,
    /// When it was last whole; none while it is.
    pub since: Option<f64>,
}

/// What has happened, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    Up(NodeId),
    Failed(NodeId),
    Left(NodeId),
    /// What the list of another node tells of a server.
    EndpointUpdate(SocketAddr, EndpointGossip),
    /// Two live nodes at two addresses call themselves by one name.
    TwoUnderOneName(NodeId, NodeId),
    /// This node did nothing for so many milliseconds.
    Paused(f64),
    /// It was declared failed, or an earlier life was in its way, and lives on under this birth.
    Reborn(u64),
}

/// What a node says to all. `n` grows with each of its words.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Said {
    who: SocketAddr,
    born: u64,
    n: u64,
    word: Word,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Word {
    Left,
    Counts(MemberSetDigest),
    /// Whoever is new learns only of the living: this one failed, and may push.
    Failed(NodeId),
    EndpointUpdate(EndpointGossip),
}

/// What a node's list tells of a server: that it drains, is gone or started anew, or is ready again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointGossip {
    /// The number by which all nodes know it.
    pub server: u64,
    /// 0 ready, 1 draining, 2 gone: the higher the stricter.
    pub standing: u8,
    /// Clock time of its last start; 0 for long ago.
    pub started: f64,
    /// The version of the list that told it.
    pub seq: u64,
}

/// Stands for any node, in a word that is nobody's own.
const NOBODY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Which earlier word a new one replaces.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    who: SocketAddr,
    about: u64,
    order: (u64, u64),
}

impl Said {
    fn slot(&self) -> Slot {
        let about = match self.word {
            Word::Left => 0,
            Word::Counts(_) => 1,
            Word::Failed(_) => 2,
            // Danger: all nodes hear of a drain at one moment, and each would send the same word round. It is one
            // word, whoever says it; the later version replaces the earlier.
            Word::EndpointUpdate(word) => {
                let order = (
                    word.seq,
                    u64::from(word.standing) << 56 | word.started as u64,
                );
                return Slot {
                    who: NOBODY,
                    about: word.server,
                    order,
                };
            }
        };
        Slot {
            who: self.who,
            about,
            order: (self.born, self.n),
        }
    }
}

impl Invalidates for Slot {
    fn invalidates(&self, other: &Self) -> bool {
        (self.who, self.about) == (other.who, other.about) && self.order >= other.order
    }
}

#[derive(Default)]
struct Words {
    heard: BTreeMap<(SocketAddr, u64), (u64, u64)>,
    fresh: Vec<Said>,
}

struct Hearing(Rc<RefCell<Words>>);

#[derive(Debug)]
struct NoWord;

impl std::fmt::Display for NoWord {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a word that cannot be read")
    }
}

impl std::error::Error for NoWord {}

impl BroadcastHandler<NodeId> for Hearing {
    type Key = Slot;
    type Error = NoWord;

    fn receive_item(&mut self, data: &[u8], _: Option<&NodeId>) -> Result<Option<Slot>, NoWord> {
        let said: Said = postcard::from_bytes(data).map_err(|_| NoWord)?;
        let slot = said.slot();
        let mut words = self.0.borrow_mut();
        let at = (slot.who, slot.about);
        if words
            .heard
            .get(&at)
            .is_some_and(|order| *order >= slot.order)
        {
            return Ok(None);
        }
        // Danger: words without end fill the memory. Past the bound only what replaces an older one is kept.
        if words.heard.len() >= WORDS && !words.heard.contains_key(&at) {
            return Ok(None);
        }
        words.heard.insert(at, slot.order);
        words.fresh.push(said);
        Ok(Some(slot))
    }
}

/// What `foca` wants done.
#[derive(Default)]
struct Wants {
    sends: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(f64, foca::Timer<NodeId>)>,
    /// Whose state is what now; none where only a later life has taken an earlier one's place.
    changes: Vec<(NodeId, Option<MemberState>)>,
    reborn: Option<u64>,
}

impl Runtime<NodeId> for Wants {
    fn notify(&mut self, notification: Notification<'_, NodeId>) {
        match notification {
            Notification::MemberUp(name) => {
                self.changes.push((name.clone(), Some(MemberState::Alive)))
            }
            Notification::MemberDown(name) => {
                self.changes.push((name.clone(), Some(MemberState::Failed)))
            }
            Notification::Rename(_, new) => self.changes.push((new.clone(), None)),
            Notification::Rejoin(me) => self.reborn = Some(me.born),
            _ => {}
        }
    }

    fn send_to(&mut self, to: NodeId, data: &[u8]) {
        self.sends.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: foca::Timer<NodeId>, after: Duration) {
        self.timers.push((after.as_secs_f64() * 1000.0, event));
    }
}

/// What a member's state comes to here; one that is suspected lives until it is found to have failed.
fn seen(state: foca::State) -> MemberState {
    if state == foca::State::Down {
        MemberState::Failed
    } else {
        MemberState::Alive
    }
}

fn terms() -> foca::Config {
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    let some = |n| NonZeroUsize::new(n).expect("not zero");
    foca::Config {
        probe_period: ms(PROBE),
        // A third for the direct way leaves two for the ways round.
        probe_rtt: ms(PROBE / 3.0),
        num_indirect_probes: some(3),
        // Each hop reaches three more: twelve are over three times what a thousand nodes need.
        max_transmissions: NonZeroU8::new(12).expect("not zero"),
        suspect_to_down_after: ms(SPEAK_UP),
        // A day: who comes back by then under an old birth is told to renew it.
        remove_down_after: Some(Duration::from_secs(86_400)),
        max_packet_size: some(BODY_MOST),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams {
            frequency: Duration::from_secs(30),
            num_members: some(1),
        }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: ms(2.0 * ASK),
            num_members: some(2),
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: ms(200.0),
            num_members: some(3),
        }),
    }
}

pub struct Membership {
    me: NodeId,
    seal: Authenticator,
    foca: Foca<NodeId, PostcardCodec, ChaCha8Rng, Hearing>,
    words: Rc<RefCell<Words>>,
    said: u64,
    timers: BTreeMap<(u64, u64), foca::Timer<NodeId>>,
    next_timer: u64,
    seeds: Vec<SocketAddr>,
    ask_at: f64,
    tries: usize,
    known: BTreeMap<SocketAddr, Member>,
    sharing: MemberSet,
    /// Since when not the whole fleet is reached, and of each zone.
    parted: Option<f64>,
    parted_zones: BTreeMap<String, f64>,
    forget_failed: f64,
    /// When the start is, and when ends of which no news came were last looked for.
    began: f64,
    swept_at: f64,
    counted_at: f64,
    sends: Vec<(SocketAddr, Vec<u8>)>,
    news: Vec<MembershipEvent>,
    /// To whom it was told lately that a later life of theirs was heard.
    warned: BTreeMap<u64, f64>,
    leaving: bool,
    chance: ChaCha8Rng,
    /// What stands for its own address.
    number: u64,
    /// When this node last told each suspected one.
    told_suspect: BTreeMap<SocketAddr, f64>,
}

impl Membership {
    /// A node that knows some addresses to ask, any of which may be nobody's. Errors: a key that is none.
    pub fn new(
        me: NodeId,
        seeds: &[SocketAddr],
        keys: &[&str],
        seed: u64,
        now: f64,
    ) -> Result<Self, String> {
        let words = Rc::new(RefCell::new(Words::default()));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let hearing = Hearing(Rc::clone(&words));
        let foca = Foca::with_custom_broadcast(me.clone(), terms(), rng, PostcardCodec, hearing);
        let number = at(me.address);
        Ok(Membership {
            seal: Authenticator::new(keys, me.sender(), me.born)?,
            seeds: seeds
                .iter()
                .copied()
                .filter(|seed| *seed != me.address)
                .collect(),
            me,
            foca,
            words,
            said: 0,
            timers: BTreeMap::new(),
            next_timer: 0,
            ask_at: now,
            tries: 0,
            known: BTreeMap::new(),
            sharing: MemberSet::new(),
            parted: None,
            parted_zones: BTreeMap::new(),
            forget_failed: FAILED_FOR,
            began: now,
            swept_at: f64::NEG_INFINITY,
            counted_at: f64::NEG_INFINITY,
            sends: Vec::new(),
            news: Vec::new(),
            warned: BTreeMap::new(),
            leaving: false,
            chance: ChaCha8Rng::seed_from_u64(seed ^ 0x5357_494d),
            told_suspect: BTreeMap::new(),
            number,
        })
    }

    /// How long one that failed is counted, in milliseconds; a day else.
    pub fn forget_failed_after(&mut self, ms: f64) {
        self.forget_failed = ms;
    }

    /// Other keys from now on: the first seals, all open. Errors: a key that is none, and nothing changes.
    pub fn take_keys(&mut self, keys: &[&str]) -> Result<(), String> {
        self.seal.take_keys(keys)
    }

    /// Other addresses to ask.
    pub fn take_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.me.address)
            .collect();
    }

    pub fn me(&self) -> &NodeId {
        &self.me
    }

    /// When `due` is to be called next.
    pub fn next_due(&self) -> f64 {
        let first = self
            .timers
            .keys()
            .next()
            .map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0);
        first.min(self.ask_at)
    }

    pub fn take_sends(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.sends)
    }

    pub fn take_news(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.news)
    }

    /// A datagram has come. Errors: it was not believed, and nothing came of it.
    pub fn heard(
        &mut self,
        now: f64,
        from: SocketAddr,
        datagram: &[u8],
    ) -> Result<(), AuthenticationError> {
        let opened = match self.seal.open(now, datagram) {
            Ok(opened) => opened,
            Err(AuthenticationError::Earlier { sender, born }) => {
                self.warn(now, from, sender, born);
                return Err(AuthenticationError::Earlier { sender, born });
            }
            Err(AuthenticationError::Repeated { sender, born }) => {
                self.outlived(now, from, sender, born);
                return Err(AuthenticationError::Repeated { sender, born });
            }
            Err(refused) => return Err(refused),
        };
        self.outlived(now, from, opened.sender, opened.born);
        match opened.kind {
            SWIM => {
                let body = opened.body.to_vec();
                self.with(now, |foca, wants| foca.handle_data(&body, wants).is_ok());
            }
            LATER if opened.body.len() == 16 => {
                let number = |at: usize| {
                    u64::from_le_bytes(opened.body[at..at + 8].try_into().expect("sixteen"))
                };
                let (who, born) = (number(0), number(8));
                if who == self.me.sender() && born >= self.me.born {
                    self.live_on(now, born + 1);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Danger: one that left was started again under a birth that it had used up, and all it says is old.
    fn outlived(&mut self, now: f64, from: SocketAddr, sender: u64, born: u64) {
        let over = |k: &&Member| {
            // Of one that has just left something may still be on its way.
            k.state == MemberState::Left
                && k.name.born >= born
                && now - k.since > SPEAK_UP
                && k.name.sender() == sender
        };
        if let Some(left) = self.known.values().find(over).map(|k| k.name.born) {
            self.warn(now, from, sender, left);
        }
    }

    /// Danger: a node whose clock was set back would be deaf and dumb for ever. It is told which birth was heard
    /// last, at most once in a while, as a repeated datagram comes here too.
    fn warn(&mut self, now: f64, to: SocketAddr, sender: u64, born: u64) {
        if self.warned.get(&sender).is_none_or(|at| now - at > ASK) && self.warned.len() < WORDS {
            self.warned.insert(sender, now);
            let body: Vec<u8> = [sender, born]
                .iter()
                .flat_map(|n| n.to_le_bytes())
                .collect();
            let datagram = self.seal.close(LATER, &body);
            // Danger: behind a translation of addresses it seems to come from where nobody hears.
            let reached = self.known.values().find(|k| k.name.sender() == sender);
            self.sends
                .push((reached.map_or(to, |k| k.name.address), datagram));
        }
    }

    /// Does what is due.
    pub fn due(&mut self, now: f64) {
        let first = self.timers.keys().next().map(|(at, _)| *at as f64 / 1000.0);
        if let Some(late) = first.map(|at| now - at).filter(|late| *late > PAUSED) {
            // Danger: a paused node wakes to due times of long ago, and declares others failed whose answers
            // wait unread. Its time stood still, so all of them come later by as much.
            let by = (late * 1000.0) as u64;
            self.timers = std::mem::take(&mut self.timers)
                .into_iter()
                .map(|((at, n), t)| ((at + by, n), t))
                .collect();
            self.news.push(MembershipEvent::Paused(late));
        }
        if now >= self.ask_at {
            self.ask(now);
        }
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|e| e.key().0 as f64 <= now * 1000.0)
        {
            let timer = entry.remove();
            self.with(now, |foca, wants| foca.handle_timer(timer, wants).is_ok());
        }
        self.settle(now);
    }

    /// Asks seeds who is there: all while nobody is known, else one that is not, so that two halves that forgot
    /// each other meet again.
    fn ask(&mut self, now: f64) {
        let there =
            |known: &Member| matches!(known.state, MemberState::Alive | MemberState::Suspected);
        let lonely = !self.known.values().any(there);
        self.tries = if lonely { self.tries + 1 } else { 0 };
        let lost: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !self.known.get(seed).is_some_and(there))
            .collect();
        let turn = (now / ASK) as usize % lost.len().max(1);
        let asked = lost
            .iter()
            .skip(if lonely { 0 } else { turn })
            .take(if lonely { lost.len() } else { 1 });
        for address in asked.copied().collect::<Vec<_>>() {
            let nobody = NodeId {
                address,
                born: 0,
                name: String::new(),
                zone: String::new(),
                ..self.me.clone()
            };
            self.with(now, |foca, wants| foca.announce(nobody, wants).is_ok());
        }
        self.ask_at = now + if lonely { ASK } else { 5.0 * ASK };
    }

    /// A life is over for the others; this node goes on under a later birth.
    fn live_on(&mut self, now: f64, born: u64) {
        let me = NodeId {
            born,
            ..self.me.clone()
        };
        self.with(now, |foca, wants| {
            foca.change_identity(me.clone(), wants).is_ok()
        });
        self.take_birth(born);
    }

    fn take_birth(&mut self, born: u64) {
        self.me.born = born;
        self.seal.reborn(born);
        self.sharing.begin_anew();
        self.news.push(MembershipEvent::Reborn(born));
    }

    fn with(
        &mut self,
        now: f64,
        act: impl FnOnce(&mut Foca<NodeId, PostcardCodec, ChaCha8Rng, Hearing>, &mut Wants) -> bool,
    ) {
        let mut wants = Wants::default();
        // What it cannot take, it has refused whole; what it wanted before that still counts.
        act(&mut self.foca, &mut wants);
        if let Some(born) = wants.reborn {
            self.take_birth(born);
        }
        for (after, timer) in wants.timers {
            self.next_timer += 1;
            self.timers.insert(
                (((now + after).max(0.0) * 1000.0) as u64, self.next_timer),
                timer,
            );
        }
        for (to, body) in wants.sends {
            let datagram = self.seal.close(SWIM, &body);
            self.sends.push((to, datagram));
        }
        for (name, state) in wants.changes {
            self.learn(now, name, state);
        }
        let fresh = std::mem::take(&mut self.words.borrow_mut().fresh);
        fresh.into_iter().for_each(|said| self.listen(now, said));
    }

    fn learn(&mut self, now: f64, name: NodeId, state: Option<MemberState>) {
        // An indirect probe reaches this member from a peer that knows only an earlier incarnation of it. foca
        // then keeps that incarnation as a failed member. It must not be counted among the others: no peer counts
        // it, so no member set would agree with this one's, and its slow-start share would stay at zero.
        if name.address == self.me.address {
            return;
        }
        // Danger: a later life may be known by its end alone, and one whose last life has left may live. Where news
        // tell only that it takes another's place, the member itself says which.
        let member = || {
            let of = |m: &&foca::Member<NodeId>| *m.id() == name;
            self.foca
                .iter_membership_state()
                .find(of)
                .map(|m| seen(m.state()))
        };
        let Some(state) = state.or_else(member) else {
            return;
        };
        let twin = |known: &&Member| {
            known.name.name == name.name
                && known.name.address != name.address
                && known.state == MemberState::Alive
        };
        let twin = self
            .known
            .values()
            .find(twin)
            .map(|known| known.name.clone());
        let before = self.known.get(&name.address);
        // Gossip of a life's end that comes after its successor's start, or after its farewell, is no news.
        let stale = before.is_some_and(|b| {
            b.name.born > name.born || (b.name.born == name.born && b.state == MemberState::Left)
        });
        if stale {
            return;
        }
        self.known.insert(
            name.address,
            Member {
                number: at(name.address),
                name: name.clone(),
                state,
                since: now,
            },
        );
        self.sharing.changed = true;
        // Danger: a new life never hears of those that failed before it came, counts another set for good, and
        // gets no part. All who know say so; one word each second of them goes round.
        if state == MemberState::Alive {
            let failed = self
                .known
                .values()
                .filter(|k| k.state == MemberState::Failed)
                .map(|k| k.name.clone());
            for name in failed.collect::<Vec<_>>() {
                let (who, born, n) = (name.address, name.born, (now / 1000.0) as u64);
                self.pass_on(Said {
                    who,
                    born,
                    n,
                    word: Word::Failed(name),
                });
            }
        }
        match (state, twin) {
            (MemberState::Alive, Some(twin)) => {
                self.news.push(MembershipEvent::TwoUnderOneName(twin, name))
            }
            (MemberState::Alive, None) => self.news.push(MembershipEvent::Up(name)),
            _ => self.news.push(MembershipEvent::Failed(name)),
        }
    }

    fn listen(&mut self, now: f64, said: Said) {
        match said.word {
            Word::Left => {
                let Some(known) = self
                    .known
                    .get_mut(&said.who)
                    .filter(|k| k.name.born <= said.born)
                else {
                    return;
                };
                (known.state, known.since) = (MemberState::Left, now);
                self.sharing.left(known.number);
                self.news.push(MembershipEvent::Left(known.name.clone()));
            }
            Word::Counts(set) if said.who != self.me.address => {
                self.sharing.heard(at(said.who), set);
            }
            Word::Counts(_) => {}
            Word::Failed(name) if name.address != self.me.address => {
                // Only what nobody here has heard of: of its own neighbours each node sees for itself.
                if self
                    .known
                    .get(&name.address)
                    .is_none_or(|known| known.name.born < name.born)
                {
                    self.known.insert(
                        name.address,
                        Member {
                            number: at(name.address),
                            name,
                            state: MemberState::Failed,
                            since: now,
                        },
                    );
                    self.sharing.changed = true;
                }
            }
            Word::Failed(_) => {}
            Word::EndpointUpdate(word) if said.who != self.me.address => {
                self.news
                    .push(MembershipEvent::EndpointUpdate(said.who, word));
            }
            Word::EndpointUpdate(_) => {}
        }
    }

    fn say(&mut self, word: Word) {
        self.said += 1;
        self.pass_on(Said {
            who: self.me.address,
            born: self.me.born,
            n: self.said,
            word,
        });
    }

    fn pass_on(&mut self, said: Said) {
        let bytes = postcard::to_stdvec(&said).expect("plain words");
        // One that is refused here is older than one said before, which cannot be.
        let _ = self.foca.add_broadcast(&bytes);
        self.words.borrow_mut().fresh.clear();
    }

    /// This node's own list has told something that makes a node stricter, or no longer does.
    pub fn tell_listed(&mut self, word: EndpointGossip) {
        self.say(Word::EndpointUpdate(word));
    }

    /// Says which set this node counts, once it has changed, and takes in what time alone has brought.
    fn settle(&mut self, now: f64) {
        if now - self.swept_at >= SWEEP {
            self.swept_at = now;
            self.sweep(now);
        }
        self.part(None);
        // Danger: where twenty join at one moment, each of all would say twenty times what it counts, and what is said
        // outruns what may be sent. Said late, it only raises parts later.
        if now - self.counted_at >= SAY_EVERY {
            if let Some(counts) = self.sharing.take_said() {
                self.counted_at = now;
                self.say(Word::Counts(counts));
            }
        }
        self.tell_suspects(now);
        let whole = self.known.values().all(|k| k.state != MemberState::Failed);
        self.parted = if whole {
            None
        } else {
            self.parted.or(Some(now))
        };
        let lost: BTreeSet<&str> = self
            .known
            .values()
            .filter(|k| k.state == MemberState::Failed)
            .map(|k| k.name.zone.as_str())
            .collect();
        self.parted_zones
            .retain(|zone, _| lost.contains(zone.as_str()));
        for zone in lost {
            if !self.parted_zones.contains_key(zone) {
                self.parted_zones.insert(zone.to_string(), now);
            }
        }
    }

    fn sweep(&mut self, now: f64) {
        // Danger: an end of which no news came, as the start was not known either.
        let differs = |m: &&foca::Member<NodeId>| {
            let known = self.known.get(&m.id().address);
            known.is_none_or(|k| {
                k.name.born < m.id().born
                    || (k.name.born == m.id().born && k.state != seen(m.state()))
            })
        };
        let members = self.foca.iter_membership_state().filter(differs);
        let changed: Vec<_> = members.map(|m| (m.id().clone(), seen(m.state()))).collect();
        changed
            .into_iter()
            .for_each(|(name, state)| self.learn(now, name, Some(state)));
        let before = self.known.len();
        self.known.retain(|_, k| match k.state {
            MemberState::Failed => now - k.since < self.forget_failed,
            MemberState::Left => now - k.since < LEFT_FOR,
            _ => true,
        });
        if self.known.len() < before {
            self.sharing.changed = true;
        }
    }

    fn life(&self) -> (u64, u64) {
        (self.number, self.me.born)
    }

    /// Danger: where datagrams are lost, gossip of a suspicion and of its denial are too slow to save who lives. A
    /// few nodes ask the suspected one themselves; what it answers carries its denial.
    fn tell_suspects(&mut self, now: f64) {
        let suspect = |m: &&foca::Member<NodeId>| m.state() == foca::State::Suspect;
        let suspects: Vec<NodeId> = self
            .foca
            .iter_membership_state()
            .filter(suspect)
            .map(|m| m.id().clone())
            .collect();
        self.told_suspect
            .retain(|address, _| suspects.iter().any(|s| s.address == *address));
        // Eight of all in the mean, however many they are: enough that one in ten lost changes nothing.
        let part = 8.0 / (self.sharing.living() + 1) as f64;
        for suspect in suspects {
            let lately = self
                .told_suspect
                .get(&suspect.address)
                .is_some_and(|at| now - at < PROBE / 2.0);
            if !lately {
                self.told_suspect.insert(suspect.address, now);
                if self.chance.random::<f64>() < part {
                    self.with(now, |foca, wants| foca.announce(suspect, wants).is_ok());
                }
            }
        }
    }

    fn part(&mut self, told: Option<f64>) -> f64 {
        let (me, unanswered) = (self.life(), self.tries > TRIES);
        self.sharing.part(told, me, self.known.values(), unanswered)
    }

    /// This node's part of a cold server's budget now, where so many nodes are told by the settings.
    pub fn purse(&mut self, told: f64) -> f64 {
        match self.leaving {
            true => 0.0,
            false => self.part(Some(told)),
        }
    }

    /// It goes, and pushes no more.
    pub fn leave(&mut self, now: f64) {
        // Danger: others take its part from the moment that they hear of it.
        self.leaving = true;
        self.say(Word::Left);
        // Danger: its end as foca tells it looks like a failure, and outruns the word that it left. The word alone
        // goes, to some of all, who pass it on; were all of them lost, it would be found failed.
        for _ in 0..FAREWELLS {
            self.with(now, |foca, wants| foca.broadcast(wants).is_ok());
        }
    }

    /// All others, by address, as they are known now.
    pub fn known(&self) -> Vec<Member> {
        let suspected: Vec<SocketAddr> = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == foca::State::Suspect)
            .map(|member| member.id().address)
            .collect();
        let mut all: Vec<Member> = self.known.values().cloned().collect();
        for known in all
            .iter_mut()
            .filter(|k| k.state == MemberState::Alive && suspected.contains(&k.name.address))
        {
            known.state = MemberState::Suspected;
        }
        all
    }

    /// How many others live, and how many failed, of all that are known.
    pub fn census(&self) -> (usize, usize) {
        let count = |wanted: fn(&Member) -> bool| self.known.values().filter(|k| wanted(k)).count();
        (
            count(Member::there),
            count(|k| k.state == MemberState::Failed),
        )
    }

    /// How much of the fleet that was last whole it reaches.
    pub fn reach(&self) -> Reachability {
        let (reached, failed) = self.census();
        match self.parted {
            _ if reached + failed == 0 && self.tries > TRIES => {
                Reachability::Isolated { since: self.began }
            }
            None => Reachability::Full,
            Some(since) if reached == 0 => Reachability::Isolated { since },
            Some(since) => Reachability::Partial {
                of: reached + failed + 1,
                reached: reached + 1,
                since,
            },
        }
    }

    /// The same by zone, this node counted in its own; zones in the order of their names.
    pub fn reach_by_zone(&self) -> Vec<ZoneReachability> {
        let mut zones = BTreeMap::from([(self.me.zone.as_str(), (1, 1))]);
        for known in self.known.values().filter(|k| k.state != MemberState::Left) {
            let (of, reached) = zones.entry(known.name.zone.as_str()).or_default();
            (*of, *reached) = (*of + 1, *reached + usize::from(known.there()));
        }
        let reach = |(zone, (of, reached)): (&str, (usize, usize))| {
            let since = self.parted_zones.get(zone).copied();
            ZoneReachability {
                zone: zone.into(),
                of,
                reached,
                since,
            }
        };
        zones.into_iter().map(reach).collect()
    }
}
