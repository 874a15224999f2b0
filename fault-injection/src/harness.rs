//! The one loop around the nodes: servers, discovery, clients, relays and views, and the record of all.

use crate::connection::{Conn, Head};
use crate::processes::{configuration, free_port, Node, Start};
use crate::relay::{Relays, Way};
use crankmux::types::AttemptOutcome;
use crankmux_simulator::endpoint::{Completion, Dequeued, Endpoint, Job};
use crankmux_simulator::invariants::{
    Answer, InvariantChecker, RequestHistory, RetrySafety, Rule, Tolerances,
};
use crankmux_simulator::script::{DeduplicationScope, Idempotency, RequestClass, Script};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{json, Value};
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const RELAYS: usize = 100_000;
const CONNS: usize = 1_000_000;
/// What this loop, and a machine busy with other tests, may be late by before an answer counts as late.
const LOOP_LATE: f64 = 700.0;
/// PolicyKind long clients go on dealing ops to a node that is gone or stands still.
const NOTICE: f64 = 400.0;
/// PolicyKind long a server that fell over is gone.
const FALLEN: f64 = 3000.0;
/// PolicyKind often each node's view is taken down.
const LOOK: f64 = 100.0;

/// What a node said of the others at a moment.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Milliseconds since the start.
    pub at: f64,
    pub node: usize,
    /// The others' states, by number.
    pub states: BTreeMap<usize, String>,
    pub reach: String,
    pub assumed: f64,
    pub cold_part: f64,
}

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Side {
    Server { server: usize, node: usize },
    Discovery { node: usize },
    Client { node: usize, op: Option<usize> },
    Viewer { node: usize },
}

/// An op as its client sees it.
struct Op {
    node: usize,
    serial: u64,
    category: usize,
    ends: f64,
    sent: f64,
    life: RequestHistory,
    pushes: usize,
    /// Its node died or stood still meanwhile: no answer is owed.
    excused: bool,
    answered: bool,
    /// On a connection that was used before.
    reused: bool,
    /// Its client's connection, while that waits.
    conn: Option<usize>,
}

/// A push that reached a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reached {
    pub at: f64,
    pub node: usize,
    pub server: usize,
}

type Due = Box<dyn FnOnce(&mut Harness)>;

/// What clients got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    pub taken: u64,
    pub acked: u64,
    /// Acked within the target latency.
    pub in_time: u64,
    pub nacked: u64,
    pub dead_lettered: u64,
    /// No answer: its node died or stood still.
    pub gone: u64,
}

pub struct Harness {
    pub nodes: Vec<Node>,
    pub relays: Relays,
    pub judge: InvariantChecker,
    pub views: Vec<View>,
    pub service: Service,
    /// Ops a second to each node.
    pub rate: f64,
    script: Script,
    start: Start,
    poll: Poll,
    events: Events,
    began: Instant,
    unix: f64,
    chance: ChaCha8Rng,
    listeners: Vec<(TcpListener, Side)>,
    conns: Slab<(Conn, Side)>,
    idle: Vec<VecDeque<usize>>,
    due: BTreeMap<(u64, u64), Due>,
    next_due: u64,
    servers: Vec<Endpoint>,
    /// Where each node dials each server.
    dials: Vec<Vec<SocketAddr>>,
    /// At which connection a job's answer is awaited, by op, serial and push.
    awaited: BTreeMap<(usize, u64, usize), usize>,
    catalog: Vec<SocketAddr>,
    /// Discovery's list: health, and the version that each line came with.
    health: Vec<&'static str>,
    versions: Vec<u64>,
    seq: u64,
    /// Nodes whose discovery says nothing.
    pub blind: Vec<bool>,
    polls: Vec<(usize, usize, u64, f64)>,
    /// When each node was told that a server drains, or is gone.
    told_drain: Vec<Vec<Option<f64>>>,
    deals: Vec<bool>,
    /// Whether clients have come, and from when on a node's views are of its process.
    opened: bool,
    began_at: Vec<f64>,
    ops: Slab<Op>,
    serial: u64,
    pub(crate) reached: Vec<Reached>,
    latencies: Vec<f64>,
    /// Ops that came in each second, and of those that were acked in time.
    seconds: Vec<(u64, u64)>,
    /// Processor time of processes that have ended.
    cpu_past: f64,
    ordinary: f64,
}

impl Harness {
    /// A world as a script has it, its nodes not started yet.
    pub fn new(script: Script, start: Start) -> Self {
        let poll = Poll::new().expect("the system polls");
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |d| d.as_secs_f64() * 1000.0);
        let weights: f64 = script
            .request_classes
            .iter()
            .map(|c| c.arrival_weight)
            .sum();
        let ordinary = script
            .request_classes
            .iter()
            .map(|c| c.arrival_weight * c.mean_work_ms)
            .sum::<f64>()
            / weights;
        let duties = &script.limits;
        let slack = duties.answer_slack_ms + LOOP_LATE;
        let judge = InvariantChecker::new(Tolerances {
            answer_slack_ms: slack,
            drain_grace_ms: duties.drain_grace_ms + LOOP_LATE,
            overload_multiple: duties.overload_multiple,
            overload_window_ms: duties.overload_window_ms,
        });
        let mut rig = Harness {
            nodes: Vec::new(),
            relays: Relays::default(),
            judge,
            views: Vec::new(),
            service: Service::default(),
            rate: script.rate() / script.proxies as f64,
            poll,
            events: Events::with_capacity(1024),
            began: Instant::now(),
            unix,
            chance: ChaCha8Rng::seed_from_u64(start.seed),
            listeners: Vec::new(),
            conns: Slab::new(),
            idle: vec![VecDeque::new(); script.proxies],
            due: BTreeMap::new(),
            next_due: 0,
            servers: Vec::new(),
            dials: Vec::new(),
            awaited: BTreeMap::new(),
            catalog: Vec::new(),
            health: Vec::new(),
            versions: Vec::new(),
            seq: 1,
            blind: vec![false; script.proxies],
            polls: Vec::new(),
            told_drain: vec![Vec::new(); script.proxies],
            deals: vec![false; script.proxies],
            opened: false,
            began_at: vec![0.0; script.proxies],
            ops: Slab::new(),
            serial: 0,
            reached: Vec::new(),
            latencies: Vec::new(),
            seconds: Vec::new(),
            cpu_past: 0.0,
            ordinary,
            script,
            start,
        };
        rig.build();
        rig
    }

    fn build(&mut self) {
        let (script, nodes) = (self.script.clone(), self.script.proxies);
        for machine in &script.machine_types {
            for _ in 0..machine.count {
                let server = self.servers.len();
                let zone = server % script.zones.len();
                let pod = server / machine.pod_size;
                self.servers.push(Endpoint::new(
                    machine,
                    &script.limits,
                    server as u64,
                    zone,
                    pod,
                    0.0,
                ));
                let dials = (0..nodes)
                    .map(|node| self.listen(Side::Server { server, node }))
                    .collect::<Vec<_>>();
                self.dials.push(dials);
                self.health.push("Ready");
                self.versions.push(1);
                self.told_drain.iter_mut().for_each(|told| told.push(None));
            }
        }
        for node in 0..nodes {
            let at = self.listen(Side::Discovery { node });
            self.catalog.push(at);
            let hears = free_port();
            let advertised = self
                .relays
                .add(hears, self.poll.registry(), Token(RELAYS + node));
            let advertised = advertised.expect("a free port on loopback");
            self.nodes
                .push(Node::new(&self.start, node, hears, advertised));
        }
        (0..nodes).for_each(|node| self.furnish(node, &["the key of this rig's own fleet"]));
    }

    /// Writes a node's files, with these keys.
    pub fn furnish(&self, node: usize, keys: &[&str]) {
        let mut settings = self.script.settings(node);
        if let Some(told) = self.start.told {
            // A place in an order of so many.
            (settings["GroupSize"], settings["MyNumber"]) = (told.into(), (node % told).into());
        }
        let configuration = configuration(
            node,
            &self.nodes[node],
            self.catalog[node],
            self.start.seed,
            settings,
        );
        let seeds: Vec<SocketAddr> = self
            .nodes
            .iter()
            .take(self.start.seeds)
            .map(|n| n.advertised)
            .collect();
        self.nodes[node].furnish(&configuration, &seeds, keys);
    }

    fn listen(&mut self, side: Side) -> SocketAddr {
        let any = "127.0.0.1:0".parse().expect("an address");
        let mut listener = TcpListener::bind(any).expect("a free port on loopback");
        let address = listener.local_addr().expect("bound");
        let token = Token(self.listeners.len());
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)
            .expect("the system polls");
        self.listeners.push((listener, side));
        address
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// Does something once so many milliseconds have passed.
    pub(crate) fn later(&mut self, ms: f64, due: impl FnOnce(&mut Harness) + 'static) {
        self.after(ms, due);
    }

    fn after(&mut self, ms: f64, due: impl FnOnce(&mut Harness) + 'static) {
        self.next_due += 1;
        let key = (((self.now() + ms.max(0.0)) * 1000.0) as u64, self.next_due);
        self.due.insert(key, Box::new(due));
    }

    // ------------------------------------------------------------ what is done to the nodes

    /// Starts a node's process; clients deal ops to it once it is ready.
    pub fn start(&mut self, node: usize, keep_state: bool) {
        self.nodes[node].start(keep_state);
        self.began_at[node] = self.now();
        self.look(node);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node, false));
    }

    /// Has clients bring ops from now on.
    pub fn open(&mut self) {
        if std::mem::replace(&mut self.opened, true) {
            return;
        }
        for node in 0..self.nodes.len() {
            self.deals[node] = self.nodes[node].runs();
            self.bring(node);
        }
    }

    /// Has clients bring no more.
    pub fn shut(&mut self) {
        self.rate = 0.0;
    }

    fn bring(&mut self, node: usize) {
        if self.rate <= 0.0 {
            return;
        }
        let wait = -self.chance.random::<f64>().max(1e-12).ln() * 1000.0 / self.rate;
        self.after(wait, move |rig| {
            rig.bring(node);
            // What is meant for one that is known to be gone goes to another.
            let dealt: Vec<usize> = (0..rig.nodes.len())
                .filter(|node| rig.deals[*node])
                .collect();
            if rig.rate > 0.0 && !dealt.is_empty() {
                let to = if rig.deals[node] {
                    node
                } else {
                    dealt[rig.chance.random_range(0..dealt.len())]
                };
                rig.send(to);
            }
        });
    }

    pub fn kill(&mut self, node: usize) {
        self.cpu_past += self.nodes[node].cpu();
        self.nodes[node].kill();
        self.lose(node);
    }

    /// SIGSTOP: it lives and does nothing.
    pub fn stop(&mut self, node: usize) {
        self.nodes[node].stop();
        self.lose(node);
    }

    /// SIGCONT: it goes on where it was.
    pub fn go_on(&mut self, node: usize) {
        self.nodes[node].go_on();
        self.deals[node] = true;
    }

    /// SIGTERM: it answers what it has and leaves. Clients are told at once.
    pub fn terminate(&mut self, node: usize) {
        self.nodes[node].terminate();
        // Until it has ended, views are of one that goes.
        (self.deals[node], self.began_at[node]) = (false, f64::INFINITY);
    }

    /// A dead or standing node owes no answers, and clients notice after a while.
    fn lose(&mut self, node: usize) {
        self.ops
            .iter_mut()
            .filter(|(_, op)| op.node == node)
            .for_each(|(_, op)| op.excused = true);
        self.after(NOTICE, move |rig| {
            rig.deals[node] = !rig.nodes[node].stopped && rig.deals[node] && rig.nodes[node].runs();
        });
    }

    /// Sets the way of datagrams from each of some nodes to each of others.
    pub fn ways(&mut self, from: &[usize], to: &[usize], way: Way) {
        for from in from {
            to.iter().for_each(|to| self.relays.set(*from, *to, way));
        }
    }

    /// Cuts all nodes into these groups, or sets every way alike where there is one group.
    pub fn part(&mut self, groups: &[&[usize]], within: Way) {
        for group in groups {
            for other in groups {
                let cut = Way {
                    cut: true,
                    ..within
                };
                self.ways(group, other, if group == other { within } else { cut });
            }
        }
    }

    /// A server drains, and every node's discovery tells so at once, but those that are blind.
    pub fn drain(&mut self, server: usize) {
        self.health[server] = "Draining";
        self.listed(server);
    }

    /// A server's process is replaced by a new one, which is cold.
    pub fn restart_server(&mut self, server: usize) {
        let held = self.servers[server].crash();
        for job in held {
            self.awaited.remove(&(job.request, job.serial, job.attempt));
        }
        let of = |side: &Side| matches!(side, Side::Server { server: s, .. } if *s == server);
        let gone: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, (_, side))| of(side))
            .map(|(key, _)| key)
            .collect();
        gone.into_iter().for_each(|key| self.close(key));
        let now = self.now();
        (self.servers[server].up, self.servers[server].started_at) = (true, now);
        self.health[server] = "Ready";
        self.listed(server);
    }

    fn listed(&mut self, server: usize) {
        self.seq += 1;
        self.versions[server] = self.seq;
        self.answer_polls();
    }

    // ------------------------------------------------------------ the loop

    /// Lets so many milliseconds pass.
    pub fn pass(&mut self, ms: f64) {
        let until = self.now() + ms;
        while self.now() < until {
            self.turn(until);
        }
    }

    /// Lets time pass until something holds, so many milliseconds at most. Whether it came to hold.
    pub fn until(&mut self, ms: f64, mut holds: impl FnMut(&mut Harness) -> bool) -> bool {
        let until = self.now() + ms;
        while self.now() < until {
            if holds(self) {
                return true;
            }
            let next = (self.now() + 20.0).min(until);
            self.turn(next);
        }
        holds(self)
    }

    fn turn(&mut self, until: f64) {
        while let Some(entry) = self
            .due
            .first_entry()
            .filter(|e| e.key().0 as f64 <= self.began.elapsed().as_secs_f64() * 1e6)
        {
            let due = entry.remove();
            due(self);
        }
        let now = self.now();
        self.relays.due(now);
        let next = self.due.keys().next().map(|(at, _)| *at as f64 / 1000.0);
        let next = [next, self.relays.next_due()]
            .into_iter()
            .flatten()
            .fold(until, f64::min);
        let wait = Duration::from_secs_f64((next - now).max(0.0) / 1000.0);
        let mut events = std::mem::replace(&mut self.events, Events::with_capacity(0));
        if self.poll.poll(&mut events, Some(wait)).is_ok() {
            let tokens: Vec<usize> = events.iter().map(|event| event.token().0).collect();
            for token in tokens {
                match token {
                    0..RELAYS => self.accept(token),
                    RELAYS..CONNS => {
                        let now = self.now();
                        self.relays.event(now, token - RELAYS, &mut self.chance);
                    }
                    _ => self.event(token - CONNS),
                }
            }
        }
        self.events = events;
    }

    fn accept(&mut self, listener: usize) {
        while let Ok((stream, _)) = self.listeners[listener].0.accept() {
            let side = self.listeners[listener].1;
            let down = matches!(side, Side::Server { server, .. } if !self.servers[server].up);
            if !down {
                self.enter(stream, side);
            }
        }
    }

    fn enter(&mut self, mut stream: TcpStream, side: Side) -> usize {
        let entry = self.conns.vacant_entry();
        let token = Token(CONNS + entry.key());
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut stream, token, both)
            .expect("the system polls");
        let key = entry.key();
        entry.insert((Conn::new(stream), side));
        key
    }

    fn close(&mut self, key: usize) {
        if let Some((mut conn, side)) = self.conns.try_remove(key) {
            let _ = self.poll.registry().deregister(&mut conn.stream);
            if let Side::Client { node, op } = side {
                let refused = conn.stream.peer_addr().is_err();
                self.idle[node].retain(|idle| *idle != key);
                op.into_iter()
                    .for_each(|op| self.unanswered(op, node, refused));
            }
            self.polls.retain(|(conn, ..)| *conn != key);
        }
    }

    fn event(&mut self, key: usize) {
        loop {
            let Some((conn, side)) = self.conns.get_mut(key) else {
                return;
            };
            let side = *side;
            conn.flush();
            conn.fill();
            let answer = matches!(side, Side::Client { .. } | Side::Viewer { .. });
            match conn.take(answer) {
                Some(head) => self.said(key, side, head),
                None if conn.over => return self.close(key),
                None => return,
            }
        }
    }

    fn say(&mut self, key: usize, text: &str) {
        if let Some((conn, _)) = self.conns.get_mut(key) {
            conn.say(text);
        }
    }

    fn said(&mut self, key: usize, side: Side, head: Head) {
        match side {
            Side::Server { server, node } => self.pushed(key, server, node, &head),
            Side::Discovery { node } => self.asked(key, node, &head.path),
            Side::Client { node, op } => self.answered(key, node, op, &head),
            Side::Viewer { node } => {
                self.viewed(node, &head);
                self.close(key);
            }
        }
    }

    // ------------------------------------------------------------ clients

    fn send(&mut self, node: usize) {
        let now = self.now();
        let total: f64 = self
            .script
            .request_classes
            .iter()
            .map(|c| c.arrival_weight)
            .sum();
        let mut at = self.chance.random::<f64>() * total;
        let place = self.script.request_classes.iter().position(|c| {
            at -= c.arrival_weight;
            at < 0.0
        });
        let category = place.unwrap_or(0);
        let terms = self.script.request_classes[category].clone();
        let reused = !self.idle[node].is_empty();
        let conn = match self.idle[node].pop_front() {
            Some(conn) => conn,
            None => match TcpStream::connect(self.nodes[node].listen) {
                Ok(stream) => self.enter(stream, Side::Client { node, op: None }),
                Err(_) => return,
            },
        };
        self.serial += 1;
        let ends = now + terms.ttl_ms;
        let life = self.judge.request_received(
            now,
            node,
            repeats(&terms),
            terms.deduplication_window_ms,
            ends,
        );
        let op = self.ops.insert(Op {
            node,
            serial: self.serial,
            category,
            ends,
            sent: now,
            life,
            pushes: 0,
            // Whoever stands still reads nothing, and owes what it could not read no answer.
            excused: self.nodes[node].stopped,
            answered: false,
            reused,
            conn: Some(conn),
        });
        self.conns[conn].1 = Side::Client { node, op: Some(op) };
        self.service.taken += 1;
        let second = (now / 1000.0) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0, 0));
        }
        self.seconds[second].0 += 1;
        let text = self.request(op);
        self.say(conn, &text);
        if self.chance.random::<f64>() < self.script.clients.impatient_fraction {
            self.after(0.5 * terms.ttl_ms, move |rig| rig.leave(op));
        }
        // Its life is over some time after its end: late pushes are still seen until then.
        let slack = self.script.limits.answer_slack_ms + LOOP_LATE;
        self.after(terms.ttl_ms + slack, move |rig| rig.over(op));
    }

    fn over(&mut self, op: usize) {
        let now = self.now();
        let it = &self.ops[op];
        if !it.answered && it.excused {
            self.service.gone += 1;
        }
        if !it.excused {
            self.judge.deadline_passed(now, &self.ops[op].life);
        }
        if let Some(conn) = self.ops[op].conn.take() {
            self.close(conn);
        }
        // A process that stood still may act on it long after: it is known for a while more.
        self.after(20_000.0, move |rig| drop(rig.ops.remove(op)));
    }

    /// Its client has waited for long enough, and closes its connection: no answer is owed any more.
    fn leave(&mut self, op: usize) {
        let now = self.now();
        let Some(it) = self
            .ops
            .get_mut(op)
            .filter(|it| !it.answered && !it.excused)
        else {
            return;
        };
        let Some(conn) = it.conn.take() else { return };
        it.excused = true;
        self.judge.client_disconnected(now, &mut it.life);
        self.conns[conn].1 = Side::Client {
            node: it.node,
            op: None,
        };
        self.close(conn);
    }

    /// The connection was closed without a word. As clients do, it is sent again once, where the node may have
    /// closed it before it read anything.
    fn unanswered(&mut self, op: usize, node: usize, refused: bool) {
        let now = self.now();
        let it = &mut self.ops[op];
        it.conn = None;
        // A port that nobody hears at, or whose process died, has read nothing either.
        let refused = refused || !self.nodes[node].runs();
        let again = (it.reused || refused) && it.pushes == 0 && !it.excused && now < it.ends;
        it.reused = false;
        if !again {
            return;
        }
        let others = (0..self.nodes.len())
            .filter(|other| self.deals[*other] && (*other != node || !refused));
        let others: Vec<usize> = others.collect();
        let to = others
            .get(self.chance.random_range(0..others.len().max(1)))
            .copied();
        let stream = to.and_then(|to| Some((to, TcpStream::connect(self.nodes[to].listen).ok()?)));
        if let Some((to, stream)) = stream {
            let conn = self.enter(
                stream,
                Side::Client {
                    node: to,
                    op: Some(op),
                },
            );
            (self.ops[op].conn, self.ops[op].node) = (Some(conn), to);
            self.ops[op].excused = self.nodes[to].stopped;
            let text = self.request(op);
            self.say(conn, &text);
        }
    }

    /// An op as it is written, with what is left of its time.
    fn request(&self, op: usize) -> String {
        let Op {
            serial,
            category,
            ends,
            ..
        } = self.ops[op];
        // In seconds, as clients tell it.
        let ttl = (ends - self.now()).max(1.0) / 1000.0;
        let name = &self.script.request_classes[category].name;
        format!(
            "GET /{name} HTTP/1.1\r\nHost: rig\r\nX-Request-ID: {op}-{serial}\r\nX-Priority-Class: {name}\r\n\
             X-Timeout: {ttl:.3}\r\n\r\n"
        )
    }

    fn answered(&mut self, key: usize, node: usize, op: Option<usize>, head: &Head) {
        let now = self.now();
        self.conns[key].1 = Side::Client { node, op: None };
        if head.keep {
            self.idle[node].push_back(key);
        } else {
            self.close(key);
        }
        let Some(op) = op else { return };
        let it = &mut self.ops[op];
        it.conn = None;
        let answer = match head.status {
            503 => Answer::Rejected,
            502 => Answer::Failed,
            _ => Answer::Succeeded,
        };
        it.answered = true;
        if !it.excused {
            self.judge.answered(now, &mut it.life, answer);
        }
        let service = &mut self.service;
        match answer {
            Answer::Succeeded => {
                service.acked += 1;
                let target = self.script.request_classes[it.category].latency_objective_ms;
                let in_time = u64::from(now - it.sent <= target);
                service.in_time += in_time;
                self.seconds[(it.sent / 1000.0) as usize].1 += in_time;
                self.latencies.push(now - it.sent);
            }
            Answer::Rejected => service.nacked += 1,
            Answer::Failed => service.dead_lettered += 1,
        }
    }

    // ------------------------------------------------------------ servers

    fn group(&self, server: usize, category: usize) -> u64 {
        match self.script.request_classes[category].deduplication_scope {
            DeduplicationScope::Fleet => 0,
            DeduplicationScope::Zone => self.servers[server].zone as u64,
            DeduplicationScope::Pod => self.servers[server].pod as u64,
        }
    }

    fn pushed(&mut self, key: usize, server: usize, node: usize, head: &Head) {
        let now = self.now();
        let id = head.get("x-request-id").and_then(|id| id.split_once('-'));
        let id = id.and_then(|(op, serial)| Some((op.parse().ok()?, serial.parse().ok()?)));
        let Some((op, serial)) = id.filter(|(op, serial)| {
            self.ops
                .get(*op)
                .is_some_and(|it: &Op| it.serial == *serial)
        }) else {
            // Long over, and still pushed.
            self.judge.attempt_for_forgotten_request();
            return self.close(key);
        };
        self.reached.push(Reached {
            at: now,
            node,
            server,
        });
        let it = &self.ops[op];
        let (category, ends, push) = (it.category, it.ends, it.pushes);
        let group = self.group(server, category);
        let terms = &self.script.request_classes[category];
        let (work, ordinary) = (terms.mean_work_ms, terms.mean_work_ms / self.ordinary);
        let work = work * (0.5 + self.chance.random::<f64>());
        let draining = self.told_drain[node][server];
        let it = &mut self.ops[op];
        it.pushes += 1;
        self.judge
            .attempt_started(now, &mut it.life, server, group, draining);
        let s = &self.servers[server];
        let able = s.warmth(now) * s.machine.speed * s.machine.cores as f64 / self.ordinary;
        let cold = s.warmth(now) < 1.0;
        if self
            .judge
            .overloads_cold_endpoint(now, server, ordinary, cold.then_some(able))
        {
            self.fall(server);
            return;
        }
        let job = Job {
            request: op,
            serial,
            attempt: push,
            work_ms: work,
            arrived_at: now,
            deadline: ends,
            key: 0,
            key_miss_factor: 1.0,
        };
        self.awaited.insert((op, serial, push), key);
        if self.servers[server].enqueue(now, job) {
            self.serve(server);
        } else {
            self.reply(server, job, AttemptOutcome::Rejected);
        }
    }

    /// A cold server that was pushed over is gone for a while.
    fn fall(&mut self, server: usize) {
        self.restart_server(server);
        self.servers[server].up = false;
        self.after(FALLEN, move |rig| rig.restart_server(server));
    }

    fn serve(&mut self, server: usize) {
        let now = self.now();
        while let Some(begun) = self.servers[server].start_next(now) {
            match begun {
                Dequeued::Started(work) => {
                    let (life, job) = (self.servers[server].incarnation, work.job);
                    if let Some(category) = self
                        .ops
                        .get(job.request)
                        .filter(|it| it.serial == job.serial)
                        .map(|it| it.category)
                    {
                        let group = self.group(server, category);
                        self.judge.attempt_executed(
                            now,
                            &mut self.ops[job.request].life,
                            job.attempt,
                            server,
                            group,
                        );
                    }
                    self.after(work.finishes_at - now, move |rig| {
                        rig.done(server, life, work.number)
                    });
                }
                Dequeued::Expired(job) => self.reply(server, job, AttemptOutcome::Rejected),
            }
        }
    }

    fn done(&mut self, server: usize, life: u32, number: u64) {
        let now = self.now();
        if self.servers[server].incarnation != life {
            return;
        }
        if let Completion::Finished(job) = self.servers[server].complete(now, number) {
            self.reply(server, job, AttemptOutcome::Succeeded);
        }
        self.serve(server);
    }

    fn reply(&mut self, server: usize, job: Job, ending: AttemptOutcome) {
        let now = self.now();
        if let Some(it) = self
            .ops
            .get_mut(job.request)
            .filter(|it| it.serial == job.serial)
        {
            self.judge
                .attempt_ended(now, &mut it.life, job.attempt, ending);
        }
        let Some(key) = self.awaited.remove(&(job.request, job.serial, job.attempt)) else {
            return;
        };
        let reports = &self.script.load_reports;
        let told = reports
            .enabled
            .then(|| self.servers[server].report_load(now, reports.interval_ms, reports.delay_ms));
        let load = told.flatten().map_or_else(String::new, |load| {
            let (held, waiting) = (load.in_flight, load.queued);
            format!("X-Server-Load: TEXT inflight={held}, queue={waiting}\r\n")
        });
        let status = if ending == AttemptOutcome::Succeeded {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        self.say(
            key,
            &format!("HTTP/1.1 {status}\r\n{load}Content-Length: 0\r\n\r\n"),
        );
    }

    // ------------------------------------------------------------ discovery

    fn asked(&mut self, key: usize, node: usize, path: &str) {
        let query = |name: &str| -> Option<f64> {
            let (_, query) = path.split_once('?')?;
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let from = query("from").map_or(0, |from| from as u64);
        let until = self.now() + query("hold_ms").unwrap_or(0.0);
        self.polls.push((key, node, from, until));
        self.after(until - self.now(), |rig| rig.answer_polls());
        self.answer_polls();
    }

    fn answer_polls(&mut self) {
        let now = self.now();
        let seq = self.seq;
        let blind = &self.blind;
        let ripe = |(_, node, from, until): &(usize, usize, u64, f64)| {
            !blind[*node] && (*from == 0 || *from < seq || now >= *until)
        };
        let (ripe, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.polls).into_iter().partition(ripe);
        self.polls = rest;
        for (key, node, from, _) in ripe {
            let lines: Vec<Value> = (0..self.servers.len())
                .filter(|server| from == 0 || self.versions[*server] > from)
                .map(|server| self.line(node, server))
                .collect();
            for server in 0..self.servers.len() {
                let told = &mut self.told_drain[node][server];
                *told = match self.health[server] {
                    "Ready" => None,
                    _ => told.or(Some(now)),
                };
            }
            let body = json!({"seq": seq, "whole": from == 0, "hosts": lines}).to_string();
            let length = body.len();
            self.say(
                key,
                &format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
            );
        }
    }

    fn line(&self, node: usize, server: usize) -> Value {
        let s = &self.servers[server];
        // Since the start here; clocks tell Unix time.
        let born = if s.started_at > 0.0 {
            self.unix + s.started_at
        } else {
            0.0
        };
        json!({"host": format!("s{server}"), "dial": self.dials[server][node].to_string(),
               "site": self.script.zones[s.zone], "class": s.machine.name, "block": s.pod,
               "health": self.health[server], "share": 1.0, "born_ms": born})
    }

    // ------------------------------------------------------------ views

    /// Takes down a node's view from now on, while it runs.
    fn look(&mut self, node: usize) {
        self.after(LOOK, move |rig| {
            if !rig.nodes[node].runs() {
                return;
            }
            if !rig.nodes[node].stopped {
                if let Ok(stream) = TcpStream::connect(rig.nodes[node].door) {
                    let conn = rig.enter(stream, Side::Viewer { node });
                    rig.say(conn, "GET /fleet HTTP/1.1\r\nHost: door\r\n\r\n");
                }
            }
            rig.look(node);
        });
    }

    fn viewed(&mut self, node: usize, head: &Head) {
        // It is up: clients deal ops to it.
        self.deals[node] |=
            self.opened && self.now() >= self.began_at[node] && !self.nodes[node].stopped;
        let Ok(page) = serde_json::from_slice::<Value>(&head.body) else {
            return;
        };
        let member = |member: &Value| {
            let address: SocketAddr = member["address"].as_str()?.parse().ok()?;
            let number = self
                .nodes
                .iter()
                .position(|node| node.advertised == address)?;
            Some((number, member["state"].as_str()?.to_string()))
        };
        let states = page["members"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(member)
            .collect();
        self.views.push(View {
            at: self.now(),
            node,
            states,
            reach: page["reach"]["state"]
                .as_str()
                .unwrap_or_default()
                .to_string(),
            assumed: page["nodes_assumed"].as_f64().unwrap_or(0.0),
            cold_part: page["cold_part"].as_f64().unwrap_or(0.0),
        });
    }

    /// The last view of a node, if it has one.
    pub fn view(&self, node: usize) -> Option<&View> {
        let began = self.began_at[node];
        self.views
            .iter()
            .rev()
            .find(|view| view.node == node && view.at >= began)
    }

    /// Whether each of these nodes, by its last view, holds exactly those of them for alive.
    pub fn agree(&self, nodes: &[usize]) -> bool {
        nodes.iter().all(|node| {
            let others: Vec<usize> = nodes
                .iter()
                .copied()
                .filter(|other| other != node)
                .collect();
            self.view(*node).is_some_and(|view| {
                let alive: Vec<usize> = view
                    .states
                    .iter()
                    .filter(|(_, s)| *s == "alive")
                    .map(|(number, _)| *number)
                    .collect();
                alive == others
            })
        })
    }

    /// When each of these nodes first saw another in a state, since a moment; none for one that has not.
    pub fn saw(&self, nodes: &[usize], other: usize, state: &str, since: f64) -> Vec<Option<f64>> {
        let first = |node: &usize| {
            let seen = |view: &&View| {
                view.node == *node
                    && view.at >= since
                    && view.states.get(&other).is_some_and(|s| s == state)
            };
            self.views.iter().find(seen).map(|view| view.at)
        };
        nodes.iter().map(first).collect()
    }

    /// When all live nodes that are looked at were at one view, first after a moment and by another.
    pub(crate) fn equal_after(&self, from: f64, by: f64) -> Option<f64> {
        let mut last: BTreeMap<usize, (f64, Vec<usize>)> = BTreeMap::new();
        for view in self
            .views
            .iter()
            .filter(|view| view.at >= from && view.at <= by)
        {
            let alive = view
                .states
                .iter()
                .filter(|(_, state)| *state == "alive")
                .map(|(number, _)| *number);
            let mut all: Vec<usize> = alive.chain([view.node]).collect();
            all.sort_unstable();
            last.insert(view.node, (view.at, all));
            let first = last
                .values()
                .next()
                .map(|(_, all)| all.clone())
                .unwrap_or_default();
            if first
                .iter()
                .all(|node| last.get(node).is_some_and(|(_, all)| *all == first))
                && last.len() == first.len()
            {
                return Some(view.at);
            }
        }
        None
    }

    /// When a node's process was started last.
    pub(crate) fn started(&self, node: usize) -> f64 {
        self.began_at[node]
    }

    pub(crate) fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Whether a node hears clients.
    pub(crate) fn up(&self, node: usize) -> bool {
        std::net::TcpStream::connect(self.nodes[node].listen).is_ok()
    }

    /// Processor time that all nodes have used, in milliseconds.
    pub(crate) fn cpu(&self) -> f64 {
        self.cpu_past + self.nodes.iter().map(Node::cpu).sum::<f64>()
    }

    /// From an op's start to its ack, in milliseconds.
    pub fn latencies(&self) -> &[f64] {
        &self.latencies
    }

    /// Parts of the ops of each second that were acked in time.
    pub fn by_second(&self) -> Vec<f64> {
        self.seconds
            .iter()
            .map(|(all, in_time)| *in_time as f64 / (*all).max(1) as f64)
            .collect()
    }

    /// Garbage at a node's port, so many datagrams a second, until a moment.
    pub(crate) fn flood(&mut self, node: usize, rate: f64, until: f64) {
        const STEP: f64 = 5.0;
        if let Ok(socket) = std::net::UdpSocket::bind("127.0.0.1:0") {
            for _ in 0..(rate * STEP / 1000.0).round() as usize {
                let length = self.chance.random_range(0..1300);
                let garbage: Vec<u8> = (0..length).map(|_| self.chance.random()).collect();
                let _ = socket.send_to(&garbage, self.nodes[node].hears);
            }
        }
        if self.now() + STEP < until {
            self.after(STEP, move |rig| rig.flood(node, rate, until));
        }
    }

    /// PolicyKind many pushes reached servers at all.
    pub fn reached(&self) -> usize {
        self.reached.len()
    }

    /// PolicyKind many pushes reached a server from a node since a moment.
    pub fn pushes(&self, node: usize, server: usize, since: f64) -> usize {
        self.reached
            .iter()
            .filter(|r| (r.node, r.server) == (node, server) && r.at >= since)
            .count()
    }

    /// PolicyKind many pushes reached a server from all nodes since a moment.
    pub fn calls(&self, server: usize, since: f64) -> usize {
        self.reached
            .iter()
            .filter(|r| r.server == server && r.at >= since)
            .count()
    }

    /// The most calls that a server got from all nodes in any span of so many milliseconds since a moment.
    pub fn most_calls(&self, server: usize, since: f64, span: f64) -> usize {
        let mut at: Vec<f64> = self
            .reached
            .iter()
            .filter(|r| r.server == server && r.at >= since)
            .map(|r| r.at)
            .collect();
        at.sort_unstable_by(f64::total_cmp);
        let within = |last: usize| last + 1 - at.partition_point(|from| *from <= at[last] - span);
        (0..at.len()).map(within).max().unwrap_or(0)
    }

    /// The broken rules, in words; empty where all were kept.
    pub fn broken(&self) -> Vec<String> {
        let told = self
            .judge
            .violations
            .iter()
            .map(|b| format!("{}: {}: {:?}", b.rule.name(), b.description, b.history));
        let counts = self.judge.counts();
        let on = (counts[Rule::NoWorkForDepartedClients as usize] > 0)
            .then(|| Rule::NoWorkForDepartedClients.name().to_string());
        told.chain(on)
            .chain((counts.iter().sum::<u64>() > 0).then(|| format!("counts {counts:?}")))
            .collect()
    }
}

fn repeats(terms: &RequestClass) -> RetrySafety {
    match terms.idempotency {
        Idempotency::Idempotent => RetrySafety::Idempotent,
        Idempotency::IdempotentWithKey => RetrySafety::Deduplicated {
            fleet_wide: terms.deduplication_scope == DeduplicationScope::Fleet,
        },
        Idempotency::NotIdempotent => RetrySafety::NotIdempotent,
    }
}

/// Takes a run's folder away once no process uses it.
impl Drop for Harness {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill);
        let _ = std::fs::remove_dir_all(&self.start.folder);
    }
}
