//! Who picks the servers: the decision module, baselines as blind as a node, a chooser that sees the true
//! state, and nodes that are wrong on purpose, for the judge.

use crate::chance::Stream;
use crate::script::{Category, Effect, Group, Script};
use crankmux::dispatcher::{Dispatcher, GivenUp, Next, Pick};
use crankmux::given::{self, Names};
use crankmux::words::{Arrival, Ending, Listed, PushEnd, Standing};
use std::collections::BTreeMap;

/// Which chooser a world's nodes have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum How {
    /// The decision module.
    Module,
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    /// Sees what every server truly holds and does, of all nodes.
    Top,
    /// Deliberately wrong: loses one op in fifty, repeats whatever failed, pushes to whatever was ever
    /// listed, floods the server that started last, serves on whoever has left. Each must be caught.
    Loses,
    Repeats,
    PastDrains,
    Floods,
    SendsOn,
}

impl How {
    /// Those whose service is worth a table.
    pub const ALL: [How; 6] =
        [How::Module, How::Random, How::RoundRobin, How::LeastOutstanding, How::TwoChoices, How::Top];

    pub fn name(self) -> &'static str {
        match self {
            How::Module => "module",
            How::Random => "random",
            How::RoundRobin => "round-robin",
            How::LeastOutstanding => "least-outstanding",
            How::TwoChoices => "two-choices",
            How::Top => "top",
            How::Loses => "loses",
            How::Repeats => "repeats",
            How::PastDrains => "past-drains",
            How::Floods => "floods",
            How::SendsOn => "sends-on",
        }
    }

    pub fn named(name: &str) -> Option<Self> {
        How::ALL.into_iter().find(|how| how.name() == name)
    }
}

/// What is truly so of a server, for whoever may see it.
pub struct Truth {
    /// In milliseconds, until a push of ordinary work would be answered; none where it can't be.
    pub takes: Option<f64>,
}

pub enum Chooser {
    Module(Box<Dispatcher>),
    Plain(Box<Plain>),
}

pub struct Plain {
    how: How,
    categories: Vec<Category>,
    most: usize,
    may_cancel: bool,
    come_back: f64,
    rng: Stream,
    /// By index.
    lines: Vec<Listed>,
    out: Vec<u32>,
    turn: usize,
    ops: BTreeMap<usize, PlainOp>,
    taken: u64,
}

struct PlainOp {
    category: usize,
    ends: f64,
    /// Where, when, whether it may have run, whether it is out.
    pushes: Vec<(usize, f64, bool, bool)>,
}

impl Chooser {
    pub fn new(how: How, script: &Script, node: usize, seed: u64) -> Result<Self, String> {
        if how == How::Module {
            let (_, given) = Names::read(&script.settings(node));
            let dispatcher = Dispatcher::new(given, seed).map_err(|e| given::explain(&e))?;
            return Ok(Chooser::Module(Box::new(dispatcher)));
        }
        Ok(Chooser::Plain(Box::new(Plain {
            how,
            categories: script.categories.clone(),
            most: script.duties.most_pushes,
            may_cancel: script.duties.may_cancel,
            come_back: script.duties.come_back_ms,
            rng: Stream::of(seed, "plain chooser"),
            lines: Vec::new(),
            out: Vec::new(),
            turn: seed as usize % 1000,
            ops: BTreeMap::new(),
            taken: 0,
        })))
    }

    pub fn arrive(&mut self, now: f64, arrival: &Arrival, truth: &dyn Fn(usize) -> Truth) -> Next {
        match self {
            Chooser::Module(dispatcher) => dispatcher.pick(now, arrival),
            Chooser::Plain(plain) => plain.arrive(now, arrival, truth),
        }
    }

    pub fn report(&mut self, now: f64, end: &PushEnd, truth: &dyn Fn(usize) -> Truth) -> Next {
        match self {
            Chooser::Module(dispatcher) => dispatcher.report(now, end),
            Chooser::Plain(plain) => plain.report(now, end, truth),
        }
    }

    pub fn departed(&mut self, now: f64, op: usize) -> Next {
        match self {
            Chooser::Module(dispatcher) => dispatcher.departed(now, op),
            Chooser::Plain(plain) if plain.how == How::SendsOn => Next::default(),
            Chooser::Plain(plain) => plain.close(op),
        }
    }

    pub fn list(&mut self, now: f64, lines: &[Listed], whole: bool, cached: bool) {
        match self {
            Chooser::Module(dispatcher) => dispatcher.list(now, lines, whole, cached),
            Chooser::Plain(plain) => plain.list(lines, whole),
        }
    }

    pub fn tick(&mut self, now: f64) -> Vec<(usize, Next)> {
        match self {
            Chooser::Module(dispatcher) => dispatcher.tick(now, now),
            Chooser::Plain(_) => Vec::new(),
        }
    }

    /// When the next tick is due, once what it wants of the list has been seen to: whether it wants that.
    pub fn wants(&mut self) -> (Option<f64>, bool) {
        match self {
            Chooser::Module(dispatcher) => {
                let list = dispatcher.wants_list();
                (dispatcher.next_tick(), list)
            }
            Chooser::Plain(_) => (None, false),
        }
    }
}

impl Plain {
    fn list(&mut self, lines: &[Listed], whole: bool) {
        if whole && self.how != How::PastDrains {
            self.lines.iter_mut().for_each(|line| line.standing = Standing::Gone);
        }
        for line in lines {
            if self.lines.len() <= line.server {
                self.lines.resize(line.server + 1, Listed::default());
                self.out.resize(line.server + 1, 0);
            }
            if self.how != How::PastDrains || line.standing == Standing::Ready {
                self.lines[line.server] = *line;
            }
        }
    }

    fn arrive(&mut self, now: f64, arrival: &Arrival, truth: &dyn Fn(usize) -> Truth) -> Next {
        self.taken += 1;
        if self.how == How::Loses && self.taken.is_multiple_of(50) {
            return Next::default();
        }
        let op = PlainOp { category: arrival.category, ends: now + arrival.ttl, pushes: Vec::new() };
        self.ops.insert(arrival.op, op);
        self.go_on(now, arrival.op, truth)
    }

    fn report(&mut self, now: f64, end: &PushEnd, truth: &dyn Fn(usize) -> Truth) -> Next {
        let Some(op) = self.ops.get_mut(&end.op) else { return Next::default() };
        let Some(push) = op.pushes.get_mut(end.push) else { return Next::default() };
        (push.2, push.3) = (!end.ending.never_ran(), false);
        let server = push.0;
        self.out[server] = self.out[server].saturating_sub(1);
        let heedless = self.how == How::SendsOn && end.ending != Ending::Acked;
        match end.closed && !heedless {
            true => self.close(end.op),
            false => self.go_on(now, end.op, truth),
        }
    }

    fn close(&mut self, op: usize) -> Next {
        let mut next = Next::default();
        if let Some(held) = self.ops.remove(&op) {
            for (push, (server, .., out)) in held.pushes.iter().enumerate().filter(|(_, p)| p.3) {
                self.out[*server] = self.out[*server].saturating_sub(u32::from(*out));
                if self.may_cancel {
                    next.cancel.push(push);
                }
            }
        }
        next
    }

    fn go_on(&mut self, now: f64, id: usize, truth: &dyn Fn(usize) -> Truth) -> Next {
        let op = &self.ops[&id];
        let category = &self.categories[op.category];
        let left = op.ends - now;
        let ran: Vec<(usize, f64)> = op.pushes.iter().filter(|p| p.2).map(|p| (p.0, p.1)).collect();
        let fits = |to: &Listed| {
            let in_group = |from: usize| match category.group {
                Group::Fleet => true,
                Group::Zone => self.lines[from].zone == to.zone,
                Group::Pod => self.lines[from].pod == to.pod,
            };
            to.standing == Standing::Ready
                && match category.effect {
                    _ if self.how == How::Repeats => true,
                    Effect::Redeliverable => true,
                    Effect::Deduplicated => {
                        ran.iter().all(|(s, at)| in_group(*s) && now - at < 0.9 * category.window_ms)
                    }
                    Effect::AtMostOnce => ran.is_empty(),
                }
        };
        let mut from: Vec<usize> = Vec::new();
        if op.pushes.len() < self.most && left > 0.0 {
            from.extend(self.lines.iter().filter(|l| fits(l)).map(|l| l.server));
            let fresh: Vec<usize> =
                from.iter().copied().filter(|s| !op.pushes.iter().any(|p| p.0 == *s)).collect();
            from = if fresh.is_empty() { from } else { fresh };
        }
        let target = category.target_ms;
        match self.pick(&from, left, target, truth) {
            Some(server) => {
                self.out[server] += 1;
                let op = self.ops.get_mut(&id).expect("looked at above");
                op.pushes.push((server, now, true, true));
                Next { picks: vec![Pick { server, patience: left }], ..Next::default() }
            }
            None => self.give_up(id, &ran),
        }
    }

    fn give_up(&mut self, id: usize, ran: &[(usize, f64)]) -> Next {
        let category = &self.categories[self.ops[&id].category];
        let harmless = match category.effect {
            Effect::Redeliverable => true,
            Effect::Deduplicated => ran.is_empty() || category.group == Group::Fleet,
            Effect::AtMostOnce => ran.is_empty(),
        };
        let given_up = match harmless {
            true => GivenUp::Nacked { come_back: self.come_back.min(100.0) },
            false => GivenUp::DeadLettered,
        };
        Next { given_up: Some(given_up), ..self.close(id) }
    }

    fn pick(
        &mut self,
        from: &[usize],
        left: f64,
        target: f64,
        truth: &dyn Fn(usize) -> Truth,
    ) -> Option<usize> {
        if from.is_empty() {
            return None;
        }
        let drawn = from[self.rng.under(from.len())];
        Some(match self.how {
            How::RoundRobin => {
                self.turn += 1;
                from[self.turn % from.len()]
            }
            How::LeastOutstanding => {
                let least = from.iter().map(|s| self.out[*s]).min()?;
                let even: Vec<usize> = from.iter().copied().filter(|s| self.out[*s] == least).collect();
                even[self.rng.under(even.len())]
            }
            How::TwoChoices => {
                let other = from[self.rng.under(from.len())];
                if self.out[other] < self.out[drawn] {
                    other
                } else {
                    drawn
                }
            }
            How::Top => {
                let soonest = from.iter().filter_map(|s| Some((truth(*s).takes?, *s)));
                let (takes, server) = soonest.min_by(|a, b| a.0.total_cmp(&b.0))?;
                // What cannot come in time is turned away, so that the rest can.
                return (takes < left.min(target)).then_some(server);
            }
            How::Floods => *from
                .iter()
                .max_by(|a, b| self.lines[**a].started.total_cmp(&self.lines[**b].started).then(b.cmp(a)))?,
            _ => drawn,
        })
    }
}
