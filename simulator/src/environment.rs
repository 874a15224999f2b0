//! A day in virtual time: events in their order, nodes with their choosers, servers, the way between them.

use crate::faults::{cuts, strike, weather, Struck};
use crate::invariants::{Answer, InvariantChecker, Life, Repeats};
use crate::policies::{Policy, PolicyKind, Truth};
use crate::random::{number, Stream};
use crate::results::{Outcome, RunResults, Tally};
use crate::script::{Backoff, Burst, Group, Idempotency, Kind, Script};
use crate::server::{Begun, Job, Server};
use crankmux::dispatcher::{FinalAnswer, NextSteps};
use crankmux::types::{
    AttemptOutcome, AttemptResult, EndpointState, EndpointUpdate, LoadReport, NewRequest,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The clock at a day's start: any that is far from 0, which stands for "long ago".
const START: f64 = 1_000_000_000.0;
/// A server that was pushed over is back, cold, after this.
const FALLEN_MS: f64 = 2000.0;
/// Between a client and its node, one way.
const CLIENT_MS: f64 = 0.5;

enum Event {
    Arrive,
    Again {
        wish: usize,
    },
    Reach {
        op: usize,
        serial: u64,
        push: usize,
        server: usize,
        life: u32,
    },
    Done {
        server: usize,
        life: u32,
        number: u64,
    },
    Back {
        op: usize,
        serial: u64,
        push: usize,
        ending: AttemptOutcome,
        load: LoadReport,
    },
    Patience {
        op: usize,
        serial: u64,
        push: usize,
    },
    CallOff {
        server: usize,
        life: u32,
        op: usize,
        serial: u64,
        push: usize,
    },
    Leave {
        op: usize,
        serial: u64,
    },
    Due {
        op: usize,
        serial: u64,
    },
    Tick {
        node: usize,
    },
    Tell {
        node: usize,
        whole: bool,
    },
    Begin {
        fault: usize,
    },
    End {
        fault: usize,
    },
    Pause {
        fault: usize,
    },
    Replace {
        server: usize,
    },
    Gone {
        server: usize,
    },
    Up {
        server: usize,
    },
    NodeUp {
        node: usize,
        life: u32,
    },
    Noticed {
        node: usize,
        life: u32,
    },
}

/// Earliest first; at one time in the order of their making.
struct Due(f64, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// What a client wants, over its tries.
struct Wish {
    category: usize,
    zone: usize,
    key: u64,
    /// Of its category's mean work.
    factor: f64,
    at: f64,
    tries: usize,
    honours: bool,
    impatient: bool,
}

struct Push {
    server: usize,
    life: u32,
    at: f64,
    /// On a new connection.
    fresh: bool,
    /// The node waits for it.
    out: bool,
    /// Its server is done with it, or never saw it.
    settled: bool,
}

struct Op {
    serial: u64,
    /// Of its client, until that has its answer.
    wish: usize,
    category: usize,
    factor: f64,
    key: u64,
    node: usize,
    ends: f64,
    pushes: Vec<Push>,
    answered: bool,
    /// The client takes no answer any more, or the node is dead.
    left: bool,
    life: Life,
}

/// Connections of one node to one server.
#[derive(Clone, Copy, Default)]
struct Links {
    idle: u32,
    open: u32,
    used: f64,
    life: u32,
}

struct Node {
    chooser: Policy,
    up: bool,
    life: u32,
    zone: usize,
    weight: f64,
    /// What the front believes.
    dealt: bool,
    /// PolicyKind much of the changes it has been told.
    told: usize,
    tick: f64,
    links: Vec<Links>,
    /// When it was told that a server drains or is gone.
    draining: Vec<Option<f64>>,
}

struct Chances {
    arrivals: Stream,
    work: Stream,
    clients: Stream,
    way: Stream,
    lists: Stream,
    faults: Stream,
}

/// Free places are used again; each use has a serial of its own.
struct Slots<T> {
    all: Vec<Option<T>>,
    free: Vec<usize>,
}

impl<T> Slots<T> {
    fn put(&mut self, item: T) -> usize {
        match self.free.pop() {
            Some(place) => {
                self.all[place] = Some(item);
                place
            }
            None => {
                self.all.push(Some(item));
                self.all.len() - 1
            }
        }
    }

    fn drop_at(&mut self, place: usize) -> Option<T> {
        let item = self.all[place].take();
        if item.is_some() {
            self.free.push(place);
        }
        item
    }
}

struct World<'a> {
    script: &'a Script,
    how: PolicyKind,
    seed: u64,
    now: f64,
    end: f64,
    queue: BinaryHeap<Reverse<Due>>,
    made: u64,
    serial: u64,
    events: u64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    /// What discovery has in its list, and every change in order.
    listed: Vec<bool>,
    changes: Vec<EndpointUpdate>,
    lists_down: usize,
    clock_off: Vec<f64>,
    wishes: Slots<Wish>,
    ops: Slots<Op>,
    in_force: Vec<(usize, Struck)>,
    cut_asks: Vec<Vec<bool>>,
    cut_answers: Vec<Vec<bool>>,
    chances: Chances,
    /// The nodes that the front deals to, and their weights: of each zone, and of all.
    front: Vec<(Vec<usize>, Vec<f64>)>,
    peak: f64,
    zone_weights: Vec<f64>,
    /// Mean work of an op, on a core of speed one.
    ordinary: f64,
    judge: InvariantChecker,
    tally: Tally,
}

/// Plays a day. The error names what a chooser could not be made of.
pub fn play(script: &Script, how: PolicyKind, seed: u64) -> Result<RunResults, String> {
    let mut world = World::new(script, how, seed)?;
    while let Some(Reverse(Due(at, _, event))) = world.queue.pop() {
        if at > world.end {
            break;
        }
        world.now = at;
        world.events += 1;
        world.turn(event);
    }
    let World {
        tally,
        judge,
        events,
        ..
    } = world;
    Ok(tally.sum_up(script, how.name(), seed, &judge, events))
}

fn in_burst(bursts: &[Burst], second: f64) -> Option<f64> {
    let on = bursts
        .iter()
        .filter(|b| (b.at..b.at + b.lasts).contains(&second));
    on.map(|b| b.times).reduce(f64::max)
}

impl<'a> World<'a> {
    fn new(script: &'a Script, how: PolicyKind, seed: u64) -> Result<Self, String> {
        let zones = script.zones.len();
        let mut servers = Vec::new();
        let mut pods = 0;
        for machine in &script.machines {
            for k in 0..machine.count {
                // Pods stand within one zone each.
                let zone = (k / machine.pod_size) % zones;
                let pod = pods + k / machine.pod_size;
                let mark = number(&format!("{} {k}", machine.kind));
                servers.push(Server::new(machine, &script.duties, mark, zone, pod, 0.0));
            }
            pods += machine.count.div_ceil(machine.pod_size);
        }
        let mut shape = Stream::of(seed, "shape");
        let zone_weights: Vec<f64> = (0..zones)
            .map(|_| shape.log_normal(script.load.zone_spread))
            .collect();
        let mut nodes = Vec::new();
        for number in 0..script.nodes {
            let own = seed
                .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                .wrapping_add(number as u64);
            nodes.push(Node {
                chooser: Policy::new(how, script, number, own)?,
                up: true,
                life: 0,
                zone: number % zones,
                weight: shape.log_normal(script.load.node_spread),
                dealt: true,
                told: 0,
                tick: f64::INFINITY,
                links: Vec::new(),
                draining: Vec::new(),
            });
        }
        let weights: f64 = script.categories.iter().map(|c| c.weight).sum();
        let ordinary = script
            .categories
            .iter()
            .map(|c| c.weight * c.work_ms)
            .sum::<f64>()
            / weights.max(1e-9);
        let most = script
            .load
            .bursts
            .iter()
            .map(|b| b.times)
            .fold(1.0, f64::max);
        let duties = &script.duties;
        let of = |name| Stream::of(seed, name);
        let mut world = World {
            how,
            seed,
            now: START,
            end: START + 1000.0 * script.seconds,
            queue: BinaryHeap::new(),
            made: 0,
            serial: 0,
            events: 0,
            listed: vec![true; servers.len()],
            clock_off: vec![0.0; servers.len()],
            nodes,
            servers,
            changes: Vec::new(),
            lists_down: 0,
            wishes: Slots {
                all: Vec::new(),
                free: Vec::new(),
            },
            ops: Slots {
                all: Vec::new(),
                free: Vec::new(),
            },
            in_force: Vec::new(),
            cut_asks: vec![vec![false; zones]; zones],
            cut_answers: vec![vec![false; zones]; zones],
            chances: Chances {
                arrivals: of("arrivals"),
                work: of("work"),
                clients: of("clients"),
                way: of("way"),
                lists: of("lists"),
                faults: of("faults"),
            },
            front: Vec::new(),
            peak: script.rate() / 1000.0 * (1.0 + script.load.wave) * most,
            zone_weights,
            ordinary,
            judge: InvariantChecker::new(
                duties.answer_slack_ms,
                duties.drain_grace_ms,
                duties.fall_multiple,
                duties.fall_ms,
            ),
            tally: Tally::new(script),
            script,
        };
        for node in 0..world.nodes.len() {
            world.start_node(node);
        }
        world.deal();
        world.next_arrival();
        for (fault, it) in script.faults.iter().enumerate() {
            world.after(1000.0 * it.at, Event::Begin { fault });
        }
        Ok(world)
    }

    /// Whom the front deals to now.
    fn deal(&mut self) {
        let zones = self.script.zones.len();
        let of = |zone: usize| {
            let fits = |n: &&(usize, &Node)| n.1.dealt && (zone == zones || n.1.zone == zone);
            let nodes: Vec<(usize, &Node)> = self.nodes.iter().enumerate().collect();
            nodes
                .iter()
                .filter(fits)
                .map(|(index, n)| (*index, n.weight))
                .unzip()
        };
        self.front = (0..=zones).map(of).collect();
    }

    fn after(&mut self, wait: f64, event: Event) {
        self.made += 1;
        self.queue
            .push(Reverse(Due(self.now + wait.max(0.0), self.made, event)));
    }

    fn since(&self) -> f64 {
        self.now - START
    }

    fn turn(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Again { wish } => self.try_wish(wish),
            Event::Reach {
                op,
                serial,
                push,
                server,
                life,
            } => {
                self.servers[server].coming -= 1;
                self.reach(op, serial, push, life);
            }
            Event::Done {
                server,
                life,
                number,
            } => self.done(server, life, number),
            Event::Back {
                op,
                serial,
                push,
                ending,
                load,
            } => self.back(op, serial, push, ending, load),
            Event::Patience { op, serial, push } => {
                self.back(
                    op,
                    serial,
                    push,
                    AttemptOutcome::TimedOut,
                    LoadReport::default(),
                );
            }
            Event::CallOff {
                server,
                life,
                op,
                serial,
                push,
            } => {
                if self.servers[server].life == life && self.servers[server].up {
                    if self.servers[server].call_off(self.now, op, serial, push) {
                        self.settle(op, serial, push);
                    }
                    self.serve(server);
                }
            }
            Event::Leave { op, serial } => self.leave(op, serial),
            Event::Due { op, serial } => self.due(op, serial),
            Event::Tick { node } => self.tick(node),
            Event::Tell { node, whole } => self.tell(node, whole),
            Event::Begin { fault } => self.begin_fault(fault),
            Event::End { fault } => self.end_fault(fault),
            Event::Pause { fault } => self.pause(fault),
            Event::Replace { server } => self.replace(server),
            Event::Gone { server } => self.gone(server),
            Event::Up { server } => self.up(server),
            Event::NodeUp { node, life } => self.node_up(node, life),
            Event::Noticed { node, life } => {
                if self.nodes[node].life == life && !self.nodes[node].up {
                    self.nodes[node].dealt = false;
                    self.deal();
                }
            }
        }
    }

    // ---- clients

    /// Thinning: arrivals at the peak rate, of which each stays with the odds of its moment.
    fn next_arrival(&mut self) {
        let mut wait = 0.0;
        loop {
            wait += self.chances.arrivals.wait(self.peak);
            let second = (self.since() + wait) / 1000.0;
            let load = &self.script.load;
            let wave = 1.0 + load.wave * (second / load.period * std::f64::consts::TAU).sin();
            let rate =
                self.script.rate() / 1000.0 * wave * in_burst(&load.bursts, second).unwrap_or(1.0);
            if second > self.script.seconds || self.chances.arrivals.part() * self.peak < rate {
                break;
            }
        }
        self.after(wait, Event::Arrive);
    }

    fn arrive(&mut self) {
        let script = self.script;
        let second = self.since() / 1000.0;
        let arrivals = &mut self.chances.arrivals;
        let weights: Vec<f64> = script.categories.iter().map(|c| c.weight).collect();
        let category = arrivals.weighted(&weights);
        let mut zones = self.zone_weights.clone();
        if script.load.shifting {
            let turned = (second / script.seconds * zones.len() as f64) as usize % zones.len();
            zones.rotate_left(turned);
        }
        let zone = arrivals.weighted(&zones);
        let hot = in_burst(&script.load.hot, second).unwrap_or(0.0);
        let key = match (script.load.keys, arrivals.yes(hot)) {
            (0, _) => 0,
            (_, true) => 1,
            (keys, false) => 2 + arrivals.under(keys) as u64,
        };
        let it = &script.categories[category];
        let factor = match it.tail {
            Some(alpha) => self.chances.work.pareto(alpha),
            None => self.chances.work.log_normal(it.sigma),
        };
        let clients = &mut self.chances.clients;
        let honours = clients.yes(script.clients.honour);
        let impatient = clients.yes(script.clients.impatient);
        let wish = Wish {
            category,
            zone,
            key,
            factor,
            at: self.now,
            tries: 0,
            honours,
            impatient,
        };
        let wish = self.wishes.put(wish);
        self.try_wish(wish);
        self.next_arrival();
    }

    fn try_wish(&mut self, wish: usize) {
        self.tally.tried(self.since());
        let it = self.wishes.all[wish].as_mut().expect("it still wants it");
        it.tries += 1;
        let (zone, category, key, factor) = (it.zone, it.category, it.key, it.factor);
        let (retry, impatient) = (it.tries > 1, it.impatient);
        let (among, weights) = match self.front[zone].0.is_empty() {
            false => &self.front[zone],
            true => &self.front[self.script.zones.len()],
        };
        if among.is_empty() {
            return self.client_failed(wish, true, 0.0);
        }
        let node = among[self.chances.clients.weighted(weights)];
        if !self.nodes[node].up {
            // Refused at the door of a dead node: it never came in.
            return self.client_failed(wish, true, 0.0);
        }
        let terms = &self.script.categories[category];
        let ends = self.now + terms.ttl_ms;
        let repeats = match terms.effect {
            Idempotency::Idempotent => Repeats::Freely,
            Idempotency::IdempotentWithKey => Repeats::Deduplicated {
                fleet: terms.group == Group::Fleet,
            },
            Idempotency::NotIdempotent => Repeats::Never,
        };
        self.serial += 1;
        let serial = self.serial;
        let life = self
            .judge
            .taken(self.now, node, repeats, terms.window_ms, ends);
        let pushes = Vec::new();
        let op = Op {
            serial,
            wish,
            category,
            factor,
            key,
            node,
            ends,
            pushes,
            answered: false,
            left: false,
            life,
        };
        let op = self.ops.put(op);
        self.after(
            terms.ttl_ms + self.script.duties.answer_slack_ms + 0.001,
            Event::Due { op, serial },
        );
        if impatient {
            self.after(0.5 * terms.ttl_ms, Event::Leave { op, serial });
        }
        let key = (key > 0).then_some(key);
        let arrival = NewRequest {
            request: op,
            class: category,
            tenant: None,
            ttl_ms: terms.ttl_ms,
            client_retry: retry,
            key,
        };
        let next = self.ask(node, |chooser, now, truth| {
            chooser.arrive(now, &arrival, truth)
        });
        self.follow(op, next);
        self.see_to(node);
    }

    /// Calls a node's chooser, which may look at the truth if it is one that sees it.
    fn ask<T>(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut Policy, f64, &dyn Fn(usize) -> Truth) -> T,
    ) -> T {
        let (servers, now, ordinary, zone) = (
            &self.servers,
            self.now,
            self.ordinary,
            self.nodes[node].zone,
        );
        let (asks, answers, script) = (&self.cut_asks, &self.cut_answers, self.script);
        let truth = |server: usize| {
            let s: &Server = &servers[server];
            let reached =
                s.up && !s.weather.silent && !asks[zone][s.zone] && !answers[s.zone][zone];
            let held = s.held() + s.coming;
            let sound =
                reached && s.weather.fail_fast < 0.5 && held < s.machine.cores + s.machine.queue;
            let rounds = (held + 1) as f64 / s.machine.cores as f64;
            let stopped = (s.stopped_until - now).max(0.0);
            let way = if s.zone == zone {
                script.way.same_ms
            } else {
                script.way.cross_ms
            };
            let round = ordinary / s.speed(now).max(1e-6);
            // Works differ: half of the wait that would tip a box is left to chance.
            let waits = stopped + (rounds - 1.0).max(0.0) * round;
            let tips = s
                .machine
                .tips
                .is_some_and(|tips| waits > 0.5 * tips.after_ms);
            let takes = 2.0 * way + stopped + rounds.max(1.0) * round;
            Truth {
                takes: (sound && !tips).then_some(takes),
            }
        };
        call(&mut self.nodes[node].chooser, now, &truth)
    }

    /// A try came to nothing: refused, or failed. It comes again if that is harmless and tries are left.
    fn client_failed(&mut self, wish: usize, harmless: bool, come_back: f64) {
        let script = self.script;
        let clients = &script.clients;
        let it = self.wishes.all[wish].as_ref().expect("it still wants it");
        if !harmless || it.tries > clients.retries {
            let outcome = if harmless {
                Outcome::Refused
            } else {
                Outcome::Failed
            };
            return self.outcome(wish, outcome);
        }
        let own = match clients.backoff {
            Backoff::None => 1.0,
            Backoff::Fixed => clients.backoff_ms,
            Backoff::Doubling => clients.backoff_ms * f64::powi(2.0, it.tries as i32 - 1),
        };
        let wait = if it.honours { own.max(come_back) } else { own };
        let wait = wait * (0.75 + 0.5 * self.chances.clients.part());
        self.after(wait + 2.0 * CLIENT_MS, Event::Again { wish });
    }

    fn outcome(&mut self, wish: usize, outcome: Outcome) {
        if let Some(wish) = self.wishes.drop_at(wish) {
            let took = self.now - wish.at + 2.0 * CLIENT_MS;
            self.tally
                .outcome(wish.at - START, wish.category, outcome, took);
        }
    }

    fn leave(&mut self, op: usize, serial: u64) {
        let Some(it) = self.live(op, serial).filter(|it| !it.answered && !it.left) else {
            return;
        };
        it.left = true;
        let (wish, node) = (it.wish, it.node);
        let mut it = self.ops.all[op].take().expect("looked at above");
        self.judge.client_left(self.now, &mut it.life);
        self.ops.all[op] = Some(it);
        self.outcome(wish, Outcome::Failed);
        let next = self.ask(node, |chooser, now, _| chooser.departed(now, op));
        self.follow(op, next);
        self.see_to(node);
        self.free(op);
    }

    fn due(&mut self, op: usize, serial: u64) {
        let Some(it) = self.live(op, serial).filter(|it| !it.answered && !it.left) else {
            return;
        };
        let wish = it.wish;
        let it = self.ops.all[op].as_mut().expect("looked at above");
        it.left = true;
        let life = &it.life;
        self.judge.due(self.now, life);
        self.outcome(wish, Outcome::Failed);
        self.free(op);
    }

    // ---- nodes

    fn live(&mut self, op: usize, serial: u64) -> Option<&mut Op> {
        self.ops
            .all
            .get_mut(op)?
            .as_mut()
            .filter(|it| it.serial == serial)
    }

    /// An op is forgotten once it is answered, its node waits for nothing, and no server has it any more.
    fn free(&mut self, op: usize) {
        let over =
            |it: &Op| (it.answered || it.left) && it.pushes.iter().all(|p| !p.out && p.settled);
        if self.ops.all[op].as_ref().is_some_and(over) {
            self.ops.drop_at(op);
        }
    }

    fn settle(&mut self, op: usize, serial: u64, push: usize) {
        if let Some(it) = self.live(op, serial) {
            it.pushes[push].settled = true;
            self.free(op);
        }
    }

    fn way(&mut self, from: usize, to: usize) -> f64 {
        let way = &self.script.way;
        let mean = if from == to {
            way.same_ms
        } else {
            way.cross_ms
        };
        mean * self.chances.way.log_normal(way.jitter)
    }

    fn follow(&mut self, op: usize, next: NextSteps) {
        for push in next.cancel {
            self.cancel(op, push);
        }
        for pick in next.attempts {
            self.push(op, pick.endpoint, pick.timeout_ms);
        }
        match next.final_answer {
            Some(FinalAnswer::Rejected {
                retry_after_ms: come_back,
            }) => self.answer(op, Answer::Nacked, come_back),
            Some(FinalAnswer::Failed) => self.answer(op, Answer::DeadLettered, 0.0),
            None => {}
        }
    }

    fn answer(&mut self, op: usize, answer: Answer, come_back: f64) {
        let Some(mut it) = self.ops.all[op].take() else {
            return;
        };
        self.judge.answered(self.now, &mut it.life, answer);
        let first = !it.answered && !it.left;
        it.answered = true;
        let (wish, ends) = (it.wish, it.ends);
        self.ops.all[op] = Some(it);
        if first {
            let (category, at) = self.wishes.all[wish]
                .as_ref()
                .map_or((0, 0.0), |w| (w.category, w.at));
            let terms = &self.script.categories[category];
            let took = self.now - at + 2.0 * CLIENT_MS;
            match answer {
                Answer::Acked if self.now > ends => self.outcome(wish, Outcome::Failed),
                Answer::Acked if took <= terms.target_ms => self.outcome(wish, Outcome::InTime),
                Answer::Acked => self.outcome(wish, Outcome::Late),
                Answer::Nacked => self.client_failed(wish, true, come_back),
                // A failed op that may run again is tried again by its client; others are not.
                Answer::DeadLettered => {
                    self.client_failed(wish, terms.effect == Idempotency::Idempotent, 0.0);
                }
            }
        }
        self.free(op);
    }

    /// A node's pushes go by its connections: an idle one, or a new one at its cost.
    fn push(&mut self, op: usize, server: usize, patience: f64) {
        let Some(mut it) = self.ops.all[op].take() else {
            return;
        };
        let (node, serial, push) = (it.node, it.serial, it.pushes.len());
        let zone = self.nodes[node].zone;
        let group = self.group(server, &it);
        let draining = self.nodes[node].draining.get(server).copied().flatten();
        self.judge
            .pushed(self.now, &mut it.life, server, group, draining);
        let life = self.servers[server].life;
        it.pushes.push(Push {
            server,
            life,
            at: self.now,
            fresh: false,
            out: true,
            settled: false,
        });
        self.ops.all[op] = Some(it);
        self.tally.pushed(self.since(), server);
        self.after(patience, Event::Patience { op, serial, push });
        let s = &self.servers[server];
        let (to, up, silent) = (s.zone, s.up, s.weather.silent);
        let heard = !silent && !self.cut_asks[zone][to];
        let answered = heard && !self.cut_answers[to][zone];
        let way = self.way(zone, to);
        let keepalive = 750.0 * self.script.way.keepalive;
        let now = self.now;
        let links = &mut self.nodes[node].links;
        if links.len() <= server {
            links.resize(server + 1, Links::default());
        }
        let links = &mut links[server];
        if links.life != life || now - links.used > keepalive {
            let lost = if links.life == life {
                links.idle
            } else {
                links.open
            };
            links.open -= lost.min(links.open);
            links.idle = 0;
            if links.life == life {
                self.servers[server].connections = self.servers[server]
                    .connections
                    .saturating_sub(lost as usize);
            }
            links.life = life;
        }
        let links = &mut self.nodes[node].links[server];
        links.used = now;
        if links.idle > 0 {
            links.idle -= 1;
            match heard {
                true => self.send(way, op, serial, push, server),
                false => self.settle(op, serial, push),
            }
            return;
        }
        // A new connection: it comes up only where both sides hear each other.
        let full = self.servers[server].connections >= self.servers[server].machine.connections;
        if !up || !answered || full {
            let wait = if answered {
                2.0 * way
            } else {
                self.script.way.connect_ms.min(patience)
            };
            self.settle(op, serial, push);
            let load = LoadReport::default();
            self.after(
                wait,
                Event::Back {
                    op,
                    serial,
                    push,
                    ending: AttemptOutcome::Unreachable,
                    load,
                },
            );
            return;
        }
        self.servers[server].connections += 1;
        self.nodes[node].links[server].open += 1;
        if let Some(it) = self.live(op, serial) {
            it.pushes[push].fresh = true;
        }
        let wait = way * (1.0 + 2.0 * self.script.way.handshake);
        self.send(wait, op, serial, push, server);
    }

    fn send(&mut self, way: f64, op: usize, serial: u64, push: usize, server: usize) {
        let life = self.servers[server].life;
        self.servers[server].coming += 1;
        self.after(
            way,
            Event::Reach {
                op,
                serial,
                push,
                server,
                life,
            },
        );
    }

    fn group(&self, server: usize, op: &Op) -> u64 {
        match self.script.categories[op.category].group {
            Group::Fleet => 0,
            Group::Zone => self.servers[server].zone as u64,
            Group::Pod => self.servers[server].pod as u64,
        }
    }

    /// The connection of a push that ended otherwise than by a whole answer.
    fn close(&mut self, node: usize, server: usize, life: u32) {
        let Some(links) = self.nodes[node]
            .links
            .get_mut(server)
            .filter(|links| links.life == life)
        else {
            return;
        };
        links.open = links.open.saturating_sub(1);
        if self.servers[server].life == life {
            self.servers[server].connections = self.servers[server].connections.saturating_sub(1);
        }
    }

    fn call_off(&mut self, op: usize, push: usize) {
        let Some(it) = self.ops.all[op].as_ref() else {
            return;
        };
        let (server, life, serial, node) = (
            it.pushes[push].server,
            it.pushes[push].life,
            it.serial,
            it.node,
        );
        self.close(node, server, life);
        let way = self.way(self.nodes[node].zone, self.servers[server].zone);
        self.after(
            way,
            Event::CallOff {
                server,
                life,
                op,
                serial,
                push,
            },
        );
    }

    fn cancel(&mut self, op: usize, push: usize) {
        let Some(it) = self.ops.all[op].as_mut() else {
            return;
        };
        if !std::mem::take(&mut it.pushes[push].out) {
            return;
        }
        let (node, took) = (it.node, self.now - it.pushes[push].at);
        self.judge
            .ended(self.now, &mut it.life, push, AttemptOutcome::Cancelled);
        self.call_off(op, push);
        let end = AttemptResult {
            request: op,
            attempt: push,
            outcome: AttemptOutcome::Cancelled,
            duration_ms: took,
            request_closed: true,
            load: LoadReport::default(),
        };
        let next = self.ask(node, |chooser, now, truth| chooser.report(now, &end, truth));
        self.follow(op, next);
        self.free(op);
    }

    /// A push has ended, as its node sees it.
    fn back(
        &mut self,
        op: usize,
        serial: u64,
        push: usize,
        ending: AttemptOutcome,
        load: LoadReport,
    ) {
        let Some(it) = self.live(op, serial).filter(|it| it.pushes[push].out) else {
            return;
        };
        it.pushes[push].out = false;
        let (node, answered) = (it.node, it.answered || it.left);
        let (server, life, at) = (
            it.pushes[push].server,
            it.pushes[push].life,
            it.pushes[push].at,
        );
        let mut it = self.ops.all[op].take().expect("looked at above");
        self.judge.ended(self.now, &mut it.life, push, ending);
        self.ops.all[op] = Some(it);
        match ending {
            AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::Rejected => {
                let links = &mut self.nodes[node].links[server];
                if links.life == life {
                    (links.idle, links.used) = (links.idle + 1, self.now);
                }
            }
            AttemptOutcome::TimedOut => self.call_off(op, push),
            AttemptOutcome::ConnectionLost => self.close(node, server, life),
            _ => {}
        }
        if ending == AttemptOutcome::Succeeded && !answered {
            self.answer(op, Answer::Acked, 0.0);
        }
        let closed = answered || ending == AttemptOutcome::Succeeded;
        let end = AttemptResult {
            request: op,
            attempt: push,
            outcome: ending,
            duration_ms: self.now - at,
            request_closed: closed,
            load,
        };
        let next = self.ask(node, |chooser, now, truth| chooser.report(now, &end, truth));
        if self.ops.all[op]
            .as_ref()
            .is_some_and(|it| it.serial == serial)
        {
            self.follow(op, next);
            if self.ops.all[op].is_some() {
                self.free(op);
            }
        }
        self.see_to(node);
    }

    fn tick(&mut self, node: usize) {
        if !self.nodes[node].up || self.nodes[node].tick > self.now {
            return;
        }
        self.nodes[node].tick = f64::INFINITY;
        let due = self.ask(node, |chooser, now, _| chooser.tick(now));
        for (op, next) in due {
            self.follow(op, next);
        }
        self.see_to(node);
    }

    /// Looks after what a node's chooser wants of its list and its clock.
    fn see_to(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        let (tick, list) = it.chooser.wants();
        if list {
            let wait = self.script.discovery.delay_ms * (1.0 + self.chances.lists.part());
            self.after(wait, Event::Tell { node, whole: true });
        }
        let it = &mut self.nodes[node];
        if let Some(at) = tick.filter(|at| *at < it.tick) {
            it.tick = at.max(self.now);
            let wait = it.tick - self.now;
            self.after(wait, Event::Tick { node });
        }
    }

    fn line(&self, server: usize) -> EndpointUpdate {
        let s = &self.servers[server];
        let standing = if self.listed[server] {
            EndpointState::Ready
        } else {
            EndpointState::Removed
        };
        let started = if s.started > 0.0 {
            s.started + self.clock_off[server]
        } else {
            0.0
        };
        EndpointUpdate {
            endpoint: server,
            stable_hash: s.mark,
            state: standing,
            zone: s.zone,
            machine_class: 0,
            pod: s.pod,
            started_at_ms: started,
        }
    }

    /// A node starts, knowing the list as it last was.
    fn start_node(&mut self, node: usize) {
        let told = &self.changes[..self.nodes[node].told];
        let mut lines: Vec<EndpointUpdate> = Vec::new();
        let first = self.script.machines.iter().map(|m| m.count).sum::<usize>();
        for server in 0..first.min(self.servers.len()) {
            lines.push(EndpointUpdate {
                state: EndpointState::Ready,
                started_at_ms: 0.0,
                ..self.line(server)
            });
        }
        for change in told {
            match lines.iter_mut().find(|l| l.endpoint == change.endpoint) {
                Some(line) => *line = *change,
                None => lines.push(*change),
            }
        }
        lines.retain(|line| line.state != EndpointState::Removed);
        self.ask(node, |chooser, now, _| {
            chooser.list(now, &lines, true, true)
        });
        // An automatic list tells what is new without being asked.
        self.after(
            self.script.discovery.delay_ms,
            Event::Tell { node, whole: true },
        );
        self.see_to(node);
    }

    fn tell(&mut self, node: usize, whole: bool) {
        if self.lists_down > 0 || !self.nodes[node].up {
            return;
        }
        let from = self.nodes[node].told;
        if from == self.changes.len() && !whole {
            return;
        }
        let news: Vec<EndpointUpdate> = self.changes[from..].to_vec();
        self.nodes[node].told = self.changes.len();
        for line in &news {
            let draining = &mut self.nodes[node].draining;
            if draining.len() <= line.endpoint {
                draining.resize(line.endpoint + 1, None);
            }
            draining[line.endpoint] = match line.state {
                EndpointState::Ready => None,
                _ => draining[line.endpoint].or(Some(self.now)),
            };
        }
        let lines: Vec<EndpointUpdate> = match whole {
            true => (0..self.servers.len())
                .filter(|s| self.listed[*s])
                .map(|s| self.line(s))
                .collect(),
            false => news,
        };
        self.ask(node, |chooser, now, _| {
            chooser.list(now, &lines, whole, false)
        });
        self.see_to(node);
    }

    fn publish(&mut self, line: EndpointUpdate) {
        self.changes.push(line);
        for node in 0..self.nodes.len() {
            let wait = self.script.discovery.delay_ms * (1.0 + self.chances.lists.part());
            self.after(wait, Event::Tell { node, whole: false });
        }
    }

    // ---- servers

    fn reach(&mut self, op: usize, serial: u64, push: usize, life: u32) {
        let Some(it) = self.live(op, serial) else {
            return;
        };
        let (server, fresh) = (it.pushes[push].server, it.pushes[push].fresh);
        let (node, ends, category, factor, key) =
            (it.node, it.ends, it.category, it.factor, it.key);
        let (zone, to) = (self.nodes[node].zone, self.servers[server].zone);
        let way = self.way(to, zone);
        let back = |ending| Event::Back {
            op,
            serial,
            push,
            ending,
            load: LoadReport::default(),
        };
        let s = &self.servers[server];
        if s.life != life || !s.up {
            self.settle(op, serial, push);
            return self.after(way, back(AttemptOutcome::ConnectionLost));
        }
        let (weather, speed) = (s.weather, s.machine.speed);
        if weather.silent {
            return self.settle(op, serial, push);
        }
        if self.chances.faults.yes(weather.resets) {
            self.settle(op, serial, push);
            return self.after(way, back(AttemptOutcome::ConnectionLost));
        }
        if self.chances.faults.yes(weather.fail_fast) {
            self.settle(op, serial, push);
            return self.after(way + 1.0, back(AttemptOutcome::Failed));
        }
        let cold = s.able(self.now) < 1.0;
        let able = s.able(self.now) * speed * s.machine.cores as f64 / self.ordinary;
        let terms = &self.script.categories[category];
        let ordinary = terms.work_ms / self.ordinary;
        if self
            .judge
            .bears(self.now, server, ordinary, cold.then_some(able))
        {
            self.tally.fell_over += 1;
            self.kill(server, FALLEN_MS);
            return;
        }
        let connecting = if fresh {
            self.servers[server].machine.connect_work_ms
        } else {
            0.0
        };
        let work = terms.work_ms * factor + connecting;
        let key_miss = terms.key_miss;
        let job = Job {
            op,
            serial,
            push,
            work,
            came: self.now,
            ends,
            key,
            key_miss,
        };
        if !self.servers[server].offer(self.now, job) {
            self.settle(op, serial, push);
            let load = self.load(server);
            let ending = AttemptOutcome::Rejected;
            return self.after(
                way,
                Event::Back {
                    op,
                    serial,
                    push,
                    ending,
                    load,
                },
            );
        }
        self.serve(server);
    }

    fn load(&mut self, server: usize) -> LoadReport {
        let reports = &self.script.reports;
        if !reports.told {
            return LoadReport::default();
        }
        let told = self.servers[server].report(self.now, reports.period_ms, reports.delay_ms);
        told.map_or(LoadReport::default(), |(held, waiting)| LoadReport {
            in_flight: Some(held),
            queued: Some(waiting),
            cpu_utilization: None,
        })
    }

    /// Lets a server's free cores take what waits.
    fn serve(&mut self, server: usize) {
        let tipped = self.servers[server].tipped;
        while let Some(begun) = self.servers[server].begin(self.now) {
            match begun {
                Begun::Started(work) => {
                    let life = self.servers[server].life;
                    self.after(
                        work.due - self.now,
                        Event::Done {
                            server,
                            life,
                            number: work.number,
                        },
                    );
                    let job = work.job;
                    if let Some(mut it) = self.ops.all[job.op].take_if(|it| it.serial == job.serial)
                    {
                        let group = self.group(server, &it);
                        self.judge
                            .ran(self.now, &mut it.life, job.push, server, group);
                        self.ops.all[job.op] = Some(it);
                    }
                }
                Begun::Expired(job) => self.answer_from(server, job, AttemptOutcome::Rejected),
            }
        }
        if self.servers[server].tipped && !tipped {
            self.tally.tipped += 1;
        }
    }

    fn answer_from(&mut self, server: usize, job: Job, ending: AttemptOutcome) {
        let Job {
            op, serial, push, ..
        } = job;
        let Some(it) = self.live(op, serial) else {
            return;
        };
        let node = it.node;
        self.settle(op, serial, push);
        let (zone, from) = (self.nodes[node].zone, self.servers[server].zone);
        let weather = self.servers[server].weather;
        if weather.silent
            || self.cut_answers[from][zone]
            || self.chances.faults.yes(weather.answers_lost)
        {
            return;
        }
        let load = self.load(server);
        let way = self.way(from, zone);
        self.after(
            way,
            Event::Back {
                op,
                serial,
                push,
                ending,
                load,
            },
        );
    }

    fn done(&mut self, server: usize, life: u32, number: u64) {
        if self.servers[server].life != life {
            return;
        }
        match self.servers[server].done(self.now, number) {
            Err(at) => self.after(
                at - self.now + 0.001,
                Event::Done {
                    server,
                    life,
                    number,
                },
            ),
            Ok(None) => {}
            Ok(Some(job)) => {
                self.answer_from(server, job, AttemptOutcome::Succeeded);
                self.serve(server);
            }
        }
    }

    /// A server's process dies: what it held breaks, and it comes back cold after a while, if at all.
    fn kill(&mut self, server: usize, back_after: f64) {
        if !self.servers[server].up {
            return;
        }
        let held = self.servers[server].die();
        for job in held {
            let node = self.live(job.op, job.serial).map(|it| it.node);
            self.settle(job.op, job.serial, job.push);
            let Some(node) = node else { continue };
            let way = self.way(self.servers[server].zone, self.nodes[node].zone);
            let Job {
                op, serial, push, ..
            } = job;
            let load = LoadReport::default();
            self.after(
                way,
                Event::Back {
                    op,
                    serial,
                    push,
                    ending: AttemptOutcome::ConnectionLost,
                    load,
                },
            );
        }
        if back_after.is_finite() {
            self.after(back_after, Event::Up { server });
        }
    }

    fn up(&mut self, server: usize) {
        if !self.listed[server] {
            return;
        }
        (self.servers[server].up, self.servers[server].started) = (true, self.now);
        self.publish(self.line(server));
    }

    /// A cold successor starts, and the old one drains.
    fn replace(&mut self, server: usize) {
        if !self.listed[server] {
            return;
        }
        let old = &self.servers[server];
        let mark = number(&format!("{} after {}", self.servers.len(), old.mark));
        let new = Server::new(
            &old.machine,
            &self.script.duties,
            mark,
            old.zone,
            old.pod,
            self.now,
        );
        self.servers.push(new);
        self.listed.push(true);
        self.clock_off.push(self.clock_off[server]);
        let fresh = self.servers.len() - 1;
        self.weathers();
        self.publish(self.line(fresh));
        self.listed[server] = false;
        self.publish(EndpointUpdate {
            state: EndpointState::Draining,
            ..self.line(server)
        });
        self.after(1000.0 * self.script.discovery.drain, Event::Gone { server });
    }

    fn gone(&mut self, server: usize) {
        self.publish(self.line(server));
        self.kill(server, f64::INFINITY);
    }

    // ---- faults

    fn weathers(&mut self) {
        let script = self.script;
        let in_force: Vec<_> = self
            .in_force
            .iter()
            .map(|(f, struck)| (&script.faults[*f], struck))
            .collect();
        for server in 0..self.servers.len() {
            self.servers[server].weather = weather(&in_force, server);
        }
        (self.cut_asks, self.cut_answers) = cuts(&in_force, script.zones.len());
    }

    fn begin_fault(&mut self, fault: usize) {
        let it = &self.script.faults[fault];
        let struck = strike(self.script, fault, self.seed, &self.servers, &self.listed);
        let lasts = 1000.0 * it.lasts;
        self.after(lasts, Event::End { fault });
        match it.kind {
            Kind::Hang => {
                let until = self.now + lasts;
                for server in &struck.servers {
                    let s = &mut self.servers[*server];
                    s.stopped_until = s.stopped_until.max(until);
                }
            }
            Kind::Pauses => self.after(0.0, Event::Pause { fault }),
            Kind::Release => {
                let step = lasts / struck.servers.len().max(1) as f64;
                for (turn, server) in struck.servers.iter().enumerate() {
                    self.after(step * turn as f64, Event::Replace { server: *server });
                }
            }
            Kind::KillServers => {
                for server in struck.servers.clone() {
                    self.kill(server, 1000.0 * it.strength);
                }
            }
            Kind::KillNodes => {
                for node in struck.nodes.clone() {
                    self.kill_node(node, 1000.0 * it.strength);
                }
            }
            Kind::DiscoveryDown => self.lists_down += 1,
            Kind::ClockStep => {
                for server in &struck.servers {
                    self.clock_off[*server] += 1000.0 * it.strength;
                }
            }
            _ => {}
        }
        self.in_force.push((fault, struck));
        self.weathers();
    }

    fn end_fault(&mut self, fault: usize) {
        let it = &self.script.faults[fault];
        if it.kind == Kind::DiscoveryDown {
            self.lists_down -= 1;
            for node in 0..self.nodes.len() {
                let wait = self.script.discovery.delay_ms * (1.0 + self.chances.lists.part());
                self.after(wait, Event::Tell { node, whole: true });
            }
        }
        if let Some(place) = self.in_force.iter().position(|(f, _)| *f == fault) {
            let (_, struck) = self.in_force.remove(place);
            if it.kind == Kind::ClockStep {
                for server in struck.servers {
                    self.clock_off[server] -= 1000.0 * it.strength;
                }
            }
        }
        self.weathers();
    }

    /// Each struck server stops for a while, about once a second.
    fn pause(&mut self, fault: usize) {
        let strength = self.script.faults[fault].strength;
        let Some((_, struck)) = self.in_force.iter().find(|(f, _)| *f == fault) else {
            return;
        };
        for server in struck.servers.clone() {
            if self.chances.faults.yes(0.1) {
                let s = &mut self.servers[server];
                s.stopped_until = s.stopped_until.max(self.now + strength);
            }
        }
        self.after(100.0, Event::Pause { fault });
    }

    fn kill_node(&mut self, node: usize, back_after: f64) {
        if !self.nodes[node].up {
            return;
        }
        let life = {
            let it = &mut self.nodes[node];
            (it.up, it.life, it.tick) = (false, it.life + 1, f64::INFINITY);
            it.life
        };
        let notice = 1000.0 * self.script.clients.notice;
        self.after(notice, Event::Noticed { node, life });
        self.after(back_after, Event::NodeUp { node, life });
        let held = |op: &Option<Op>| op.as_ref().is_some_and(|it| it.node == node);
        let ops: Vec<usize> = (0..self.ops.all.len())
            .filter(|op| held(&self.ops.all[*op]))
            .collect();
        for op in ops {
            let Some(mut it) = self.ops.all[op].take() else {
                continue;
            };
            self.judge.node_died(self.now, &mut it.life);
            let open = !it.answered && !it.left;
            it.left = true;
            let wish = it.wish;
            let again = self.wishes.all[wish].as_ref().is_some_and(|w| {
                self.script.categories[w.category].effect == Idempotency::Idempotent
            });
            let out: Vec<usize> = (0..it.pushes.len()).filter(|p| it.pushes[*p].out).collect();
            it.pushes.iter_mut().for_each(|p| p.out = false);
            self.ops.all[op] = Some(it);
            for push in out {
                self.call_off(op, push);
            }
            if open {
                match again {
                    true => self.client_failed(wish, true, 0.0),
                    false => self.outcome(wish, Outcome::Failed),
                }
            }
            self.free(op);
        }
        for server in 0..self.nodes[node].links.len() {
            let links = std::mem::take(&mut self.nodes[node].links[server]);
            if self.servers[server].life == links.life {
                let s = &mut self.servers[server];
                s.connections = s.connections.saturating_sub(links.open as usize);
            }
        }
    }

    fn node_up(&mut self, node: usize, life: u32) {
        if self.nodes[node].life != life || self.nodes[node].up {
            return;
        }
        let seed = self
            .seed
            .wrapping_add(u64::from(life) << 32)
            .wrapping_add(node as u64);
        // It was made once from the same script.
        if let Ok(chooser) = Policy::new(self.how, self.script, node, seed) {
            let it = &mut self.nodes[node];
            (it.chooser, it.up, it.dealt) = (chooser, true, true);
            it.draining.fill(None);
            self.start_node(node);
            self.deal();
        }
    }
}
