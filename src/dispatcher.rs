//! The decisions in blocking style: a call says what happened and returns what is next. It decides nothing.

use crate::balance::Balancer;
use crate::words::{Arrival, Experience, Given, Listed, Load, Outlet, PushEnd};
use std::collections::BTreeSet;

/// Where an op goes, and how long in milliseconds that push may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pick {
    pub server: usize,
    pub patience: f64,
}

/// The final answer to an op that gets no ack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GivenUp {
    Nacked { come_back: f64 },
    DeadLettered,
}

/// What is next for one op. Pushes are numbered from 0 in the order of their picks.
#[derive(Debug, Default, PartialEq)]
pub struct Next {
    pub cancel: Vec<usize>,
    pub picks: Vec<Pick>,
    pub given_up: Option<GivenUp>,
}

#[derive(Default)]
struct Said {
    next: Vec<(usize, Next)>,
    /// By when they are due, in microseconds: unlike floating-point times these have an order.
    alarms: BTreeSet<(u64, u64)>,
    probes: Vec<usize>,
    list: bool,
}

impl Said {
    fn of(&mut self, op: usize) -> &mut Next {
        let place = self.next.iter().position(|(o, _)| *o == op).unwrap_or_else(|| {
            self.next.push((op, Next::default()));
            self.next.len() - 1
        });
        &mut self.next[place].1
    }

    fn take(&mut self, op: usize) -> Next {
        let place = self.next.iter().position(|(o, _)| *o == op);
        place.map(|p| self.next.swap_remove(p).1).unwrap_or_default()
    }
}

impl Outlet for Said {
    fn push(&mut self, op: usize, server: usize, patience: f64) {
        self.of(op).picks.push(Pick { server, patience });
    }

    fn probe(&mut self, server: usize) {
        self.probes.push(server);
    }

    fn cancel(&mut self, op: usize, push: usize) {
        self.of(op).cancel.push(push);
    }

    fn nack(&mut self, op: usize, come_back: f64) {
        self.of(op).given_up = Some(GivenUp::Nacked { come_back });
    }

    fn dead_letter(&mut self, op: usize) {
        self.of(op).given_up = Some(GivenUp::DeadLettered);
    }

    fn wake(&mut self, at: f64, alarm: u64) {
        self.alarms.insert(((at.max(0.0) * 1000.0) as u64, alarm));
    }

    fn follow_list(&mut self) {
        self.list = true;
    }

    fn ask_list(&mut self) {
        self.list = true;
    }
}

/// One node's decisions. Times are Unix milliseconds, as the list of servers has them.
pub struct Dispatcher {
    balancer: Balancer,
    said: Said,
}

impl Dispatcher {
    pub fn new(given: Given, seed: u64) -> Result<Self, String> {
        Ok(Dispatcher { balancer: Balancer::new(given, seed)?, said: Said::default() })
    }

    /// An op has come in.
    pub fn pick(&mut self, now: f64, arrival: &Arrival) -> Next {
        self.balancer.arrive(&mut self.said, now, arrival);
        self.said.take(arrival.op)
    }

    /// A push has ended.
    pub fn report(&mut self, now: f64, end: &PushEnd) -> Next {
        self.balancer.push_ended(&mut self.said, now, end);
        self.said.take(end.op)
    }

    /// A long body is on its way to or from a push's server, piece by piece; no other push is wanted.
    /// Whether that server works at it now: once it has all of it, and until its answer has begun.
    pub fn began(&mut self, now: f64, op: usize, push: usize, works: bool) {
        self.balancer.began(now, op, push, works);
    }

    /// The client is gone; nothing more is owed.
    pub fn departed(&mut self, now: f64, op: usize) -> Next {
        self.balancer.departed(&mut self.said, now, op);
        self.said.take(op)
    }

    /// The list as it was told: whole, or what changed. A cached one may be stale.
    pub fn list(&mut self, now: f64, lines: &[Listed], whole: bool, cached: bool) {
        self.balancer.list(&mut self.said, now, lines, whole, cached);
    }

    /// Nothing new goes to a server from now on, whatever the list says of it.
    pub fn suspend(&mut self, now: f64, server: usize) {
        self.balancer.suspend(now, server);
    }

    /// It may be used again, as a cold one.
    pub fn resume(&mut self, now: f64, server: usize) {
        self.balancer.resume(now, server);
    }

    /// New settings; ops under way keep those that they came under.
    pub fn renew(&mut self, given: Given) -> Result<(), String> {
        self.balancer.renew(given)
    }

    /// What was learnt, for a process that comes after this one.
    pub fn experience(&self) -> Experience {
        self.balancer.experience()
    }

    /// Takes over what the process before this one has learnt, once the list is known.
    pub fn inherit(&mut self, from: &Experience) {
        self.balancer.inherit(from);
    }

    /// Its share of the node, where two processes are one; where nodes know each other, how many of them share
    /// the servers (else as told) and which part of what that number leaves it of cold servers is its own.
    pub fn share(&mut self, share: f64, nodes: Option<f64>, cold: f64) {
        self.balancer.share(share, nodes, cold);
    }

    /// How many servers the list holds, and how many of them are avoided.
    pub fn census(&self) -> (usize, usize) {
        self.balancer.census()
    }

    /// Whether it still goes by this server's index; one that is not held may stand for another.
    pub fn holds(&self, server: usize) -> bool {
        self.balancer.holds(server)
    }

    /// The servers to be asked for their load; told once.
    pub fn wants_probes(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.said.probes)
    }

    /// What a probe has come to; the ops that waited for it move on with the next tick.
    pub fn probed(&mut self, now: f64, server: usize, answer: Option<Load>) {
        self.balancer.probed(&mut self.said, now, server, answer);
    }

    /// A call to the list failed.
    pub fn list_failed(&mut self, now: f64) {
        self.balancer.list_failed(&mut self.said, now);
    }

    /// Whether the list is to be asked for; told once.
    pub fn wants_list(&mut self) -> bool {
        std::mem::take(&mut self.said.list)
    }

    /// Does what was due by a time up to which all is told, now or earlier, and returns what is next for the
    /// ops it moved.
    pub fn tick(&mut self, now: f64, by: f64) -> Vec<(usize, Next)> {
        while let Some(due) = self.said.alarms.first().copied().filter(|(at, _)| *at as f64 <= by * 1000.0) {
            self.said.alarms.remove(&due);
            self.balancer.woken(&mut self.said, now, due.1);
        }
        std::mem::take(&mut self.said.next)
    }

    /// When the next tick is due.
    pub fn next_tick(&self) -> Option<f64> {
        let waiting = self.said.list || !self.said.probes.is_empty() || !self.said.next.is_empty();
        let alarm = self.said.alarms.first().map(|(at, _)| *at as f64 / 1000.0);
        waiting.then_some(0.0).or(alarm)
    }
}
