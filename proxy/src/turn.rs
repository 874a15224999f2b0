//! Turns of the event loop. In each turn a connection may take a bounded number of steps, so that a peer that sends
//! without a pause cannot keep other connections and timers waiting. The rest of its work is deferred to later turns.

use crate::proxy::Proxy;
use crate::slot_table::{DownstreamKey, UpstreamKey};
use std::collections::{BTreeSet, VecDeque};

/// Steps of one connection in a turn; a step is one read or write of at most a buffer, or the handling of one message.
/// A request or a response that fits into a buffer takes three.
const MAX_STEPS_PER_TURN: u32 = 8;
/// Deferred connections served in a turn, so that its length does not grow with their number.
const MAX_DEFERRED_PER_TURN: usize = 8;

/// Work that was deferred to a later turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeferredWork {
    /// A connection to an endpoint.
    Upstream(UpstreamKey),
    /// A client connection.
    Client(DownstreamKey),
}

/// Work for operators, discovery and the other process of an upgrade that was deferred to the next turn. All of it is done
/// then, as its connections are few.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeferredControl {
    /// The connection to discovery.
    Discovery,
    /// Accepting connections to the admin API.
    AcceptAdmin,
    /// A connection to the admin API, by slot.
    Admin(usize),
    /// Accepting newer processes.
    AcceptNewerProcess,
}

/// The steps that a connection has taken in its last turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepBudget {
    turn: u64,
    steps: u32,
}

impl StepBudget {
    /// Uses one of the `limit` steps of a turn. Returns false if none is left.
    pub(crate) fn use_step(&mut self, turn: u64, limit: u32) -> bool {
        if self.turn != turn {
            *self = StepBudget { turn, steps: 0 };
        }
        let is_left = self.steps < limit;
        self.steps += u32::from(is_left);
        is_left
    }
}

/// The current turn, and the work deferred to later ones.
#[derive(Default)]
pub struct Turns {
    current: u64,
    queue: VecDeque<DeferredWork>,
    /// The entries of the queue: each connection stands in it once, so that the connection tables bound its length.
    queued: BTreeSet<DeferredWork>,
    /// Whether client connections may be left to accept.
    accepts_later: bool,
    control: BTreeSet<DeferredControl>,
}

impl Turns {
    /// The number of the current turn.
    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    /// Starts the next turn.
    pub fn begin(&mut self) {
        self.current += 1;
    }

    /// Whether work has been deferred, so that the next turn must not wait for events.
    pub fn has_deferred_work(&self) -> bool {
        self.accepts_later || !self.queue.is_empty() || !self.control.is_empty()
    }

    /// Takes a step of a connection. Returns false if it has none left in this turn, or has deferred work already; the
    /// rest of its work is deferred then.
    pub fn take_step(&mut self, budget: &mut StepBudget, work: DeferredWork) -> bool {
        if self.queued.contains(&work) {
            return false;
        }
        let is_left = budget.use_step(self.current, MAX_STEPS_PER_TURN);
        if !is_left {
            self.defer(work);
        }
        is_left
    }

    /// Takes a step of a connection that is not to a client or an endpoint. Returns false if it has none left in this turn;
    /// the rest of its work is done in the next one then.
    pub(crate) fn take_control_step(
        &mut self,
        budget: &mut StepBudget,
        work: DeferredControl,
    ) -> bool {
        let is_left = budget.use_step(self.current, MAX_STEPS_PER_TURN);
        if !is_left {
            self.control.insert(work);
        }
        is_left
    }

    /// Has more client connections accepted in the next turn.
    pub(crate) fn defer_accept(&mut self) {
        self.accepts_later = true;
    }

    fn defer(&mut self, work: DeferredWork) {
        if self.queued.insert(work) {
            self.queue.push_back(work);
        }
    }

    fn pop(&mut self) -> Option<DeferredWork> {
        let work = self.queue.pop_front()?;
        self.queued.remove(&work);
        Some(work)
    }
}

impl Proxy {
    /// Does the work for operators, discovery and other processes that the last turn has deferred.
    pub(crate) fn serve_deferred_control(&mut self) {
        for work in std::mem::take(&mut self.turns.control) {
            match work {
                DeferredControl::Discovery => self.discovery_event(),
                DeferredControl::AcceptAdmin => self.accept_admin_connections(),
                DeferredControl::Admin(slot) => self.admin_event(slot),
                DeferredControl::AcceptNewerProcess => self.accept_newer_process(),
            }
            self.process_ready_connections();
        }
    }

    /// Serves work that earlier turns have deferred, in order.
    pub(crate) fn serve_deferred_work(&mut self) {
        if std::mem::take(&mut self.turns.accepts_later) {
            self.accept();
            self.process_ready_connections();
        }
        // What is deferred meanwhile belongs to the next turn.
        let count = self.turns.queue.len().min(MAX_DEFERRED_PER_TURN);
        for _ in 0..count {
            match self.turns.pop() {
                Some(DeferredWork::Upstream(key)) => self.upstream_event(key),
                Some(DeferredWork::Client(key)) => self.serve_client(key),
                None => return,
            }
            self.process_ready_connections();
        }
    }

    /// Takes a step of a client connection. Returns false if the rest of its work is deferred.
    pub(crate) fn take_client_step(&mut self, key: DownstreamKey) -> bool {
        let Some(budget) = self.downstream.step_budget_mut(key) else {
            return false;
        };
        self.turns.take_step(budget, DeferredWork::Client(key))
    }

    /// Takes a step of a connection to an endpoint. Returns false if the rest of its work is deferred.
    pub(crate) fn take_upstream_step(&mut self, key: UpstreamKey) -> bool {
        let Some(connection) = self.upstream.connections.get_mut(key) else {
            return false;
        };
        let work = DeferredWork::Upstream(key);
        self.turns.take_step(&mut connection.step_budget, work)
    }
}
