//! A simulated cluster in virtual time: the network drops and delays datagrams and partitions, and members fail and pause.

use crankmux_membership::{Member, MemberState, Membership, MembershipEvent, NodeId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub(crate) const KEY: &str = "shared key of the test cluster";
const STEP_MS: f64 = 10.0;
/// Delivered datagrams recorded from the start of the run, for replay tests.
const MAX_RECORDED_DELIVERIES: usize = 2000;
const MAX_DATAGRAM_LENGTH: usize = 1200;

pub(crate) fn address(n: usize) -> SocketAddr {
    format!("10.0.{}.{}:7946", n / 250, n % 250 + 1)
        .parse()
        .unwrap()
}

pub(crate) fn member_id(n: usize, incarnation: u64) -> NodeId {
    NodeId {
        name: format!("node-{n}"),
        zone: ["a", "b", "c"][n % 3].into(),
        address: address(n),
        incarnation,
        program_version: 1,
        settings_version: 1,
    }
}

#[derive(Clone)]
pub(crate) struct Datagram {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) bytes: Vec<u8>,
}

#[derive(Debug)]
pub(crate) struct ReportedEvent {
    pub(crate) at_ms: f64,
    pub(crate) member: usize,
    pub(crate) event: MembershipEvent,
}

impl ReportedEvent {
    pub(crate) fn is_failure(&self) -> bool {
        matches!(self.event, MembershipEvent::Failed(_))
    }
}

pub(crate) struct Simulation {
    pub(crate) now_ms: f64,
    rng: ChaCha8Rng,
    pub(crate) members: BTreeMap<usize, Membership>,
    pub(crate) paused_until_ms: BTreeMap<usize, f64>,
    /// Keyed by delivery time in microseconds, then by sequence number.
    in_flight: BTreeMap<(u64, u64), Datagram>,
    last_sequence: u64,
    pub(crate) loss_probability: f64,
    pub(crate) delay_ms: f64,
    pub(crate) is_partitioned: fn(usize, usize) -> bool,
    pub(crate) events: Vec<ReportedEvent>,
    pub(crate) bytes_sent: u64,
    /// The largest sum, over all steps, of the shares of running members that have discovered others.
    pub(crate) max_share_sum: f64,
    pub(crate) configured_size: f64,
    pub(crate) delivered: Vec<Datagram>,
    /// Whether `max_share_sum` is updated at each step.
    pub(crate) tracks_shares: bool,
    member_at: BTreeMap<SocketAddr, usize>,
}

impl Simulation {
    pub(crate) fn start(count: usize, seed: u64) -> Self {
        let mut net = Simulation {
            now_ms: 1_000_000.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: BTreeMap::new(),
            paused_until_ms: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            loss_probability: 0.0,
            delay_ms: 2.0,
            is_partitioned: |_, _| false,
            events: Vec::new(),
            bytes_sent: 0,
            max_share_sum: 0.0,
            configured_size: count as f64,
            delivered: Vec::new(),
            tracks_shares: true,
            member_at: BTreeMap::new(),
        };
        (0..count).for_each(|n| net.start_member(n, 1));
        net
    }

    /// Starts a cluster and runs it until its members have discovered each other.
    pub(crate) fn discovered(count: usize, seed: u64) -> Self {
        let mut net = Simulation::start(count, seed);
        net.run_for(6000.0);
        net
    }

    pub(crate) fn start_member(&mut self, n: usize, incarnation: u64) {
        let seeds = [address(0), address(1), address(2), address(9999)];
        let random_seed = self.rng.random();
        let id = member_id(n, incarnation);
        let member = Membership::new(id, &seeds, &[KEY], random_seed, self.now_ms).unwrap();
        self.add_member(n, member);
    }

    pub(crate) fn add_member(&mut self, n: usize, member: Membership) {
        self.member_at.insert(address(n), n);
        self.members.insert(n, member);
    }

    /// Makes a member leave gracefully, then stops it.
    pub(crate) fn leave(&mut self, n: usize) {
        self.members.get_mut(&n).unwrap().leave(self.now_ms);
        self.collect_output(n);
        self.members.remove(&n);
    }

    fn send(&mut self, datagram: Datagram) {
        self.bytes_sent += datagram.bytes.len() as u64;
        assert!(datagram.bytes.len() <= MAX_DATAGRAM_LENGTH);
        let is_partitioned = (self.is_partitioned)(datagram.from, datagram.to);
        if is_partitioned || self.rng.random::<f64>() < self.loss_probability {
            return;
        }
        let delay_ms = self.delay_ms * (0.5 + self.rng.random::<f64>());
        self.schedule_delivery(self.now_ms + delay_ms, datagram);
    }

    fn schedule_delivery(&mut self, at_ms: f64, datagram: Datagram) {
        self.last_sequence += 1;
        let key = ((at_ms * 1000.0) as u64, self.last_sequence);
        self.in_flight.insert(key, datagram);
    }

    /// Sends a member's outgoing datagrams and records its events.
    pub(crate) fn collect_output(&mut self, n: usize) {
        let Some(member) = self.members.get_mut(&n) else {
            return;
        };
        let at_ms = self.now_ms;
        let events = member.take_events().into_iter();
        self.events.extend(events.map(|event| ReportedEvent {
            at_ms,
            member: n,
            event,
        }));
        for (to, bytes) in member.take_datagrams() {
            let to = self.member_at.get(&to).copied().unwrap_or(usize::MAX);
            self.send(Datagram { from: n, to, bytes });
        }
    }

    /// Advances virtual time in steps of `STEP_MS`.
    pub(crate) fn run_for(&mut self, duration_ms: f64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            self.paused_until_ms
                .retain(|_, until_ms| *until_ms > now_ms);
            self.deliver_due_datagrams();
            self.handle_timers();
            self.track_shares();
        }
    }

    fn deliver_due_datagrams(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 as f64 > self.now_ms * 1000.0 {
                return;
            }
            let datagram = entry.remove();
            if let Some(until_ms) = self.paused_until_ms.get(&datagram.to) {
                // Datagrams stay in the socket's receive buffer until the member resumes.
                self.schedule_delivery(*until_ms, datagram);
                continue;
            }
            let Datagram { from, to, .. } = datagram;
            if let Some(member) = self.members.get_mut(&to) {
                let _ = member.receive(self.now_ms, address(from), &datagram.bytes);
            }
            if self.delivered.len() < MAX_RECORDED_DELIVERIES {
                self.delivered.push(datagram);
            }
            self.collect_output(to);
        }
    }

    fn handle_timers(&mut self) {
        for n in self.members.keys().copied().collect::<Vec<_>>() {
            let member = self.members.get_mut(&n).unwrap();
            if self.paused_until_ms.contains_key(&n) || member.next_timer_ms() > self.now_ms {
                continue;
            }
            member.handle_timers(self.now_ms);
            self.collect_output(n);
        }
    }

    fn track_shares(&mut self) {
        if !self.tracks_shares {
            return;
        }
        let configured_size = self.configured_size;
        // Isolated members are left out: each takes one share of the configured size, whatever the others hold.
        let sum: f64 = self
            .members
            .values_mut()
            .filter(|member| !member.members().is_empty())
            .map(|member| member.slow_start_share(configured_size))
            .sum();
        self.max_share_sum = self.max_share_sum.max(sum);
    }

    /// Asserts that the sum of shares never exceeded 1.
    pub(crate) fn assert_shares_within_budget(&self, context: &str) {
        let sum = self.max_share_sum;
        assert!(
            sum < 1.0 + 1e-9,
            "{context}: the slow-start shares added up to {sum}"
        );
    }

    pub(crate) fn members_seen_by(&self, n: usize) -> Vec<Member> {
        self.members[&n].members()
    }

    pub(crate) fn count_in_state(&self, n: usize, state: MemberState) -> usize {
        let members = self.members_seen_by(n);
        members
            .iter()
            .filter(|member| member.state == state)
            .count()
    }

    /// The slow-start share of each member, for a configured cluster size.
    pub(crate) fn shares(&mut self, configured_size: f64) -> Vec<f64> {
        let members = self.members.values_mut();
        members
            .map(|member| member.slow_start_share(configured_size))
            .collect()
    }

    /// Whether every member sees exactly `others` other members as live.
    pub(crate) fn all_members_see(&self, others: usize) -> bool {
        // A suspected member counts as live: it may answer a probe yet.
        let live = |n: &usize| {
            self.count_in_state(*n, MemberState::Alive)
                + self.count_in_state(*n, MemberState::Suspected)
        };
        self.members.keys().all(|n| live(n) == others)
    }

    /// Counts failure events about members that are still running.
    pub(crate) fn false_failures(&self) -> usize {
        let is_live = |id: &NodeId| {
            let mut members = self.members.values();
            members.any(|member| member.local().address == id.address)
        };
        self.events
            .iter()
            .filter(
                |reported| matches!(&reported.event, MembershipEvent::Failed(id) if is_live(id)),
            )
            .count()
    }
}
