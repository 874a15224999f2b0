//! Who picks the servers: the decision module, baselines as blind as a node, a chooser that sees the true
//! state, and nodes that are wrong on purpose, for the judge.

use crate::random::Stream;
use crate::script::{DeduplicationScope, Idempotency, RequestClass, Script};
use crankmux::dispatcher::{Dispatcher, FinalAnswer, NewAttempt, NextSteps};
use crankmux::settings::{self, NameIndex};
use crankmux::types::{AttemptOutcome, AttemptResult, EndpointState, EndpointUpdate, NewRequest};
use std::collections::BTreeMap;

/// Which chooser a world's nodes have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
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

impl PolicyKind {
    /// Those whose service is worth a table.
    pub const ALL: [PolicyKind; 6] = [
        PolicyKind::Module,
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::LeastOutstanding,
        PolicyKind::TwoChoices,
        PolicyKind::Top,
    ];

    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Module => "module",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::LeastOutstanding => "least-outstanding",
            PolicyKind::TwoChoices => "two-choices",
            PolicyKind::Top => "top",
            PolicyKind::Loses => "loses",
            PolicyKind::Repeats => "repeats",
            PolicyKind::PastDrains => "past-drains",
            PolicyKind::Floods => "floods",
            PolicyKind::SendsOn => "sends-on",
        }
    }

    pub fn named(name: &str) -> Option<Self> {
        PolicyKind::ALL.into_iter().find(|how| how.name() == name)
    }
}

/// What is truly so of a server, for whoever may see it.
pub struct Truth {
    /// In milliseconds, until a push of ordinary work would be answered; none where it can't be.
    pub takes: Option<f64>,
}

pub enum Policy {
    Module(Box<Dispatcher>),
    Plain(Box<Plain>),
}

pub struct Plain {
    how: PolicyKind,
    categories: Vec<RequestClass>,
    most: usize,
    may_cancel: bool,
    come_back: f64,
    rng: Stream,
    /// By index.
    lines: Vec<EndpointUpdate>,
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

impl Policy {
    pub fn new(how: PolicyKind, script: &Script, node: usize, seed: u64) -> Result<Self, String> {
        if how == PolicyKind::Module {
            let (_, given) = NameIndex::from_settings(&script.settings(node));
            let dispatcher =
                Dispatcher::new(given, seed).map_err(|e| settings::explain_error(&e))?;
            return Ok(Policy::Module(Box::new(dispatcher)));
        }
        Ok(Policy::Plain(Box::new(Plain {
            how,
            categories: script.request_classes.clone(),
            most: script.limits.max_attempts,
            may_cancel: script.limits.cancellation_allowed,
            come_back: script.limits.max_retry_after_ms,
            rng: Stream::of(seed, "plain chooser"),
            lines: Vec::new(),
            out: Vec::new(),
            turn: seed as usize % 1000,
            ops: BTreeMap::new(),
            taken: 0,
        })))
    }

    pub fn arrive(
        &mut self,
        now: f64,
        arrival: &NewRequest,
        truth: &dyn Fn(usize) -> Truth,
    ) -> NextSteps {
        match self {
            Policy::Module(dispatcher) => dispatcher.request_arrived(now, arrival),
            Policy::Plain(plain) => plain.arrive(now, arrival, truth),
        }
    }

    pub fn report(
        &mut self,
        now: f64,
        end: &AttemptResult,
        truth: &dyn Fn(usize) -> Truth,
    ) -> NextSteps {
        match self {
            Policy::Module(dispatcher) => dispatcher.attempt_ended(now, end),
            Policy::Plain(plain) => plain.report(now, end, truth),
        }
    }

    pub fn departed(&mut self, now: f64, op: usize) -> NextSteps {
        match self {
            Policy::Module(dispatcher) => dispatcher.client_left(now, op),
            Policy::Plain(plain) if plain.how == PolicyKind::SendsOn => NextSteps::default(),
            Policy::Plain(plain) => plain.close(op),
        }
    }

    pub fn list(&mut self, now: f64, lines: &[EndpointUpdate], whole: bool, cached: bool) {
        match self {
            Policy::Module(dispatcher) => dispatcher.update_endpoints(now, lines, whole, cached),
            Policy::Plain(plain) => plain.list(lines, whole),
        }
    }

    pub fn tick(&mut self, now: f64) -> Vec<(usize, NextSteps)> {
        match self {
            Policy::Module(dispatcher) => dispatcher.tick(now, now),
            Policy::Plain(_) => Vec::new(),
        }
    }

    /// When the next tick is due, once what it wants of the list has been seen to: whether it wants that.
    pub fn wants(&mut self) -> (Option<f64>, bool) {
        match self {
            Policy::Module(dispatcher) => {
                let list = dispatcher.take_list_request();
                (dispatcher.next_tick(), list)
            }
            Policy::Plain(_) => (None, false),
        }
    }
}

impl Plain {
    fn list(&mut self, lines: &[EndpointUpdate], whole: bool) {
        if whole && self.how != PolicyKind::PastDrains {
            self.lines
                .iter_mut()
                .for_each(|line| line.state = EndpointState::Removed);
        }
        for line in lines {
            if self.lines.len() <= line.endpoint {
                self.lines
                    .resize(line.endpoint + 1, EndpointUpdate::default());
                self.out.resize(line.endpoint + 1, 0);
            }
            if self.how != PolicyKind::PastDrains || line.state == EndpointState::Ready {
                self.lines[line.endpoint] = *line;
            }
        }
    }

    fn arrive(
        &mut self,
        now: f64,
        arrival: &NewRequest,
        truth: &dyn Fn(usize) -> Truth,
    ) -> NextSteps {
        self.taken += 1;
        if self.how == PolicyKind::Loses && self.taken.is_multiple_of(50) {
            return NextSteps::default();
        }
        let op = PlainOp {
            category: arrival.class,
            ends: now + arrival.ttl_ms,
            pushes: Vec::new(),
        };
        self.ops.insert(arrival.request, op);
        self.go_on(now, arrival.request, truth)
    }

    fn report(
        &mut self,
        now: f64,
        end: &AttemptResult,
        truth: &dyn Fn(usize) -> Truth,
    ) -> NextSteps {
        let Some(op) = self.ops.get_mut(&end.request) else {
            return NextSteps::default();
        };
        let Some(push) = op.pushes.get_mut(end.attempt) else {
            return NextSteps::default();
        };
        (push.2, push.3) = (!end.outcome.never_executed(), false);
        let server = push.0;
        self.out[server] = self.out[server].saturating_sub(1);
        let heedless = self.how == PolicyKind::SendsOn && end.outcome != AttemptOutcome::Succeeded;
        match end.request_closed && !heedless {
            true => self.close(end.request),
            false => self.go_on(now, end.request, truth),
        }
    }

    fn close(&mut self, op: usize) -> NextSteps {
        let mut next = NextSteps::default();
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

    fn go_on(&mut self, now: f64, id: usize, truth: &dyn Fn(usize) -> Truth) -> NextSteps {
        let op = &self.ops[&id];
        let category = &self.categories[op.category];
        let left = op.ends - now;
        let ran: Vec<(usize, f64)> = op
            .pushes
            .iter()
            .filter(|p| p.2)
            .map(|p| (p.0, p.1))
            .collect();
        let fits = |to: &EndpointUpdate| {
            let in_group = |from: usize| match category.deduplication_scope {
                DeduplicationScope::Fleet => true,
                DeduplicationScope::Zone => self.lines[from].zone == to.zone,
                DeduplicationScope::Pod => self.lines[from].pod == to.pod,
            };
            to.state == EndpointState::Ready
                && match category.idempotency {
                    _ if self.how == PolicyKind::Repeats => true,
                    Idempotency::Idempotent => true,
                    Idempotency::IdempotentWithKey => ran.iter().all(|(s, at)| {
                        in_group(*s) && now - at < 0.9 * category.deduplication_window_ms
                    }),
                    Idempotency::NotIdempotent => ran.is_empty(),
                }
        };
        let mut from: Vec<usize> = Vec::new();
        if op.pushes.len() < self.most && left > 0.0 {
            from.extend(self.lines.iter().filter(|l| fits(l)).map(|l| l.endpoint));
            let fresh: Vec<usize> = from
                .iter()
                .copied()
                .filter(|s| !op.pushes.iter().any(|p| p.0 == *s))
                .collect();
            from = if fresh.is_empty() { from } else { fresh };
        }
        let target = category.latency_objective_ms;
        match self.pick(&from, left, target, truth) {
            Some(server) => {
                self.out[server] += 1;
                let op = self.ops.get_mut(&id).expect("looked at above");
                op.pushes.push((server, now, true, true));
                NextSteps {
                    attempts: vec![NewAttempt {
                        endpoint: server,
                        timeout_ms: left,
                    }],
                    ..NextSteps::default()
                }
            }
            None => self.give_up(id, &ran),
        }
    }

    fn give_up(&mut self, id: usize, ran: &[(usize, f64)]) -> NextSteps {
        let category = &self.categories[self.ops[&id].category];
        let harmless = match category.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => {
                ran.is_empty() || category.deduplication_scope == DeduplicationScope::Fleet
            }
            Idempotency::NotIdempotent => ran.is_empty(),
        };
        let given_up = match harmless {
            true => FinalAnswer::Rejected {
                retry_after_ms: self.come_back.min(100.0),
            },
            false => FinalAnswer::Failed,
        };
        NextSteps {
            final_answer: Some(given_up),
            ..self.close(id)
        }
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
            PolicyKind::RoundRobin => {
                self.turn += 1;
                from[self.turn % from.len()]
            }
            PolicyKind::LeastOutstanding => {
                let least = from.iter().map(|s| self.out[*s]).min()?;
                let even: Vec<usize> = from
                    .iter()
                    .copied()
                    .filter(|s| self.out[*s] == least)
                    .collect();
                even[self.rng.under(even.len())]
            }
            PolicyKind::TwoChoices => {
                let other = from[self.rng.under(from.len())];
                if self.out[other] < self.out[drawn] {
                    other
                } else {
                    drawn
                }
            }
            PolicyKind::Top => {
                let soonest = from.iter().filter_map(|s| Some((truth(*s).takes?, *s)));
                let (takes, server) = soonest.min_by(|a, b| a.0.total_cmp(&b.0))?;
                // What cannot come in time is turned away, so that the rest can.
                return (takes < left.min(target)).then_some(server);
            }
            PolicyKind::Floods => *from.iter().max_by(|a, b| {
                self.lines[**a]
                    .started_at_ms
                    .total_cmp(&self.lines[**b].started_at_ms)
                    .then(b.cmp(a))
            })?,
            _ => drawn,
        })
    }
}
