//! The decisions in blocking style, for network code: a call says what happened and returns what is next. It
//! decides nothing.

use crate::balancer::Balancer;
use crate::settings::Settings;
use crate::types::{
    Actions, AttemptResult, EndpointId, EndpointUpdate, LearnedState, LoadReport, NewRequest, RequestId,
};
use std::collections::BTreeSet;

/// An attempt to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewAttempt {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How long the attempt may take.
    pub timeout_ms: f64,
}

/// The final answer to a request that gets no successful one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    /// Rejected: the client may safely try again, after a time.
    Rejected {
        /// After which it should.
        retry_after_ms: f64,
    },
    /// Failed: it may have been executed.
    Failed,
}

/// What is next for one request. Attempts are numbered from 0 in the order of their starts.
#[derive(Debug, Default, PartialEq)]
pub struct NextSteps {
    /// The numbers of the attempts to cancel.
    pub cancel: Vec<usize>,
    /// The attempts to start.
    pub attempts: Vec<NewAttempt>,
    /// The answer to give to the client.
    pub final_answer: Option<FinalAnswer>,
}

/// A timer: when it is due, in whole microseconds as these have a total order, and its number.
type TimerEntry = (u64, u64);

/// The actions of the balancer that were not taken yet.
#[derive(Default)]
struct PendingActions {
    next_steps: Vec<(RequestId, NextSteps)>,
    timers: BTreeSet<TimerEntry>,
    probes: Vec<EndpointId>,
    list_requested: bool,
}

impl PendingActions {
    fn steps_of(&mut self, request: RequestId) -> &mut NextSteps {
        let known = self.next_steps.iter().position(|(id, _)| *id == request);
        let index = known.unwrap_or_else(|| {
            self.next_steps.push((request, NextSteps::default()));
            self.next_steps.len() - 1
        });
        &mut self.next_steps[index].1
    }

    fn take_steps(&mut self, request: RequestId) -> NextSteps {
        let known = self.next_steps.iter().position(|(id, _)| *id == request);
        known.map(|index| self.next_steps.swap_remove(index).1).unwrap_or_default()
    }

    /// Takes the first timer that is due by a time.
    fn take_timer(&mut self, by_ms: f64) -> Option<u64> {
        let (due_us, timer) = self.timers.first().copied()?;
        if due_us as f64 > by_ms * 1000.0 {
            return None;
        }
        self.timers.pop_first();
        Some(timer)
    }
}

impl Actions for PendingActions {
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId, timeout_ms: f64) {
        self.steps_of(request).attempts.push(NewAttempt { endpoint, timeout_ms });
    }

    fn probe(&mut self, endpoint: EndpointId) {
        self.probes.push(endpoint);
    }

    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.steps_of(request).cancel.push(attempt);
    }

    fn reject(&mut self, request: RequestId, retry_after_ms: f64) {
        self.steps_of(request).final_answer = Some(FinalAnswer::Rejected { retry_after_ms });
    }

    fn fail(&mut self, request: RequestId) {
        self.steps_of(request).final_answer = Some(FinalAnswer::Failed);
    }

    fn set_timer(&mut self, at_ms: f64, timer: u64) {
        self.timers.insert(((at_ms.max(0.0) * 1000.0) as u64, timer));
    }

    fn watch_endpoints(&mut self) {
        self.list_requested = true;
    }

    fn poll_endpoints(&mut self) {
        self.list_requested = true;
    }
}

/// The decisions of one proxy. Times are Unix milliseconds, as the endpoint list has them.
pub struct Dispatcher {
    balancer: Balancer,
    pending: PendingActions,
}

impl Dispatcher {
    /// A dispatcher with these settings that draws from this seed.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Dispatcher { balancer: Balancer::new(settings, seed), pending: PendingActions::default() }
    }

    /// A request has come in.
    pub fn request_arrived(&mut self, now_ms: f64, arrival: &NewRequest) -> NextSteps {
        self.balancer.request_arrived(&mut self.pending, now_ms, arrival);
        self.pending.take_steps(arrival.request)
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now_ms: f64, result: &AttemptResult) -> NextSteps {
        self.balancer.attempt_ended(&mut self.pending, now_ms, result);
        self.pending.take_steps(result.request)
    }

    /// A long body is streamed to or from the endpoint of an attempt, so that no other attempt is wanted. The
    /// endpoint works at the request once it has all of it, and until its response has begun.
    pub fn streaming(&mut self, now_ms: f64, request: RequestId, attempt: usize, endpoint_works: bool) {
        self.balancer.streaming(now_ms, request, attempt, endpoint_works);
    }

    /// The client has gone; nothing more is owed.
    pub fn client_left(&mut self, now_ms: f64, request: RequestId) -> NextSteps {
        self.balancer.client_left(&mut self.pending, now_ms, request);
        self.pending.take_steps(request)
    }

    /// The endpoint list has been read: all of it, or what changed. A cached list may be stale.
    pub fn update_endpoints(&mut self, now_ms: f64, updates: &[EndpointUpdate], whole: bool, cached: bool) {
        self.balancer.update_endpoints(&mut self.pending, now_ms, updates, whole, cached);
    }

    /// Nothing new goes to an endpoint from now on, whatever the list says of it.
    pub fn disable_endpoint(&mut self, now_ms: f64, endpoint: EndpointId) {
        self.balancer.disable_endpoint(now_ms, endpoint);
    }

    /// An endpoint may be used again, as one that is warming up.
    pub fn enable_endpoint(&mut self, now_ms: f64, endpoint: EndpointId) {
        self.balancer.enable_endpoint(now_ms, endpoint);
    }

    /// New settings; requests under way keep those that they came under.
    pub fn update_settings(&mut self, settings: Settings) {
        self.balancer.update_settings(settings);
    }

    /// What was learned, for a process that comes after this one.
    pub fn learned_state(&self) -> LearnedState {
        self.balancer.learned_state()
    }

    /// Takes over what the process before this one has learned, once the list is known.
    pub fn restore_learned_state(&mut self, learned: &LearnedState) {
        self.balancer.restore_learned_state(learned);
    }

    /// This process's share of the proxy, where two processes are one; how many proxies share the endpoints,
    /// where they know each other (else as the settings say); and its part of the slow-start budget of one.
    pub fn set_process_share(&mut self, share: f64, proxies: Option<f64>, slow_start: f64) {
        self.balancer.set_process_share(share, proxies, slow_start);
    }

    /// How many endpoints are listed, and how many of them are avoided.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        self.balancer.endpoint_counts()
    }

    /// Whether it holds a record of this endpoint; an index that it does not hold may stand for another.
    pub fn knows_endpoint(&self, endpoint: EndpointId) -> bool {
        self.balancer.knows_endpoint(endpoint)
    }

    /// The endpoints to be asked for their load, each once.
    pub fn take_probes(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.pending.probes)
    }

    /// A probe has been answered, or there is no answer. Requests that waited for it go on at the next tick.
    pub fn probe_ended(&mut self, now_ms: f64, endpoint: EndpointId, answer: Option<LoadReport>) {
        self.balancer.probe_ended(&mut self.pending, now_ms, endpoint, answer);
    }

    /// A call to the endpoint list failed.
    pub fn discovery_failed(&mut self, now_ms: f64) {
        self.balancer.discovery_failed(&mut self.pending, now_ms);
    }

    /// Whether the endpoint list is to be asked for; told once.
    pub fn take_list_request(&mut self) -> bool {
        std::mem::take(&mut self.pending.list_requested)
    }

    /// Does what was due by a time up to which all is told, now or earlier, and returns what is next for the
    /// requests that it moved.
    pub fn tick(&mut self, now_ms: f64, by_ms: f64) -> Vec<(RequestId, NextSteps)> {
        while let Some(timer) = self.pending.take_timer(by_ms) {
            self.balancer.timer_expired(&mut self.pending, now_ms, timer);
        }
        std::mem::take(&mut self.pending.next_steps)
    }

    /// When the next tick is due.
    pub fn next_tick(&self) -> Option<f64> {
        let pending = &self.pending;
        if pending.list_requested || !pending.probes.is_empty() || !pending.next_steps.is_empty() {
            return Some(0.0);
        }
        pending.timers.first().map(|(due_us, _)| *due_us as f64 / 1000.0)
    }
}
