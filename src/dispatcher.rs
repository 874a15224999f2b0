//! A call-and-return interface to the balancer for network code: each call reports an event and returns the
//! resulting actions. Makes no decisions of its own.

use crate::balancer::Balancer;
use crate::settings::Settings;
use crate::types::{
    Actions, AttemptResult, EndpointId, EndpointUpdate, LearnedState, LoadReport, NewRequest, RequestId,
};
use std::collections::BTreeSet;

/// An attempt to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewAttempt {
    /// The endpoint to send it to.
    pub endpoint: EndpointId,
    /// The attempt's timeout.
    pub timeout_ms: f64,
}

/// Until when an attempt may be sent; it is to be cancelled if the endpoint does not have the entire request by then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendDeadline {
    /// The number of the attempt.
    pub attempt: usize,
    /// The time; infinite if there is no limit any more.
    pub at_ms: f64,
}

/// The final response to a request without a successful attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalResponse {
    /// The request was not executed; the client may safely retry it.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after_ms: f64,
    },
    /// The request failed and may have been executed.
    Failed,
}

/// Actions to take for one request. Its attempts are numbered from 0 in start order.
#[derive(Debug, Default, PartialEq)]
pub struct NextSteps {
    /// The numbers of the attempts to cancel.
    pub cancel: Vec<usize>,
    /// Until when attempts in flight or to be started may be sent.
    pub send_deadlines: Vec<SendDeadline>,
    /// The attempts to start.
    pub attempts: Vec<NewAttempt>,
    /// The response to send to the client.
    pub final_response: Option<FinalResponse>,
    /// Whether the request has ended and later ones with its id must be refused.
    pub refuse_repeats: bool,
}

/// A timer's due time, in whole microseconds so that it can be ordered, and its number.
type TimerEntry = (u64, u64);

/// Actions that the balancer requested and the caller has not taken yet.
#[derive(Default)]
struct PendingActions {
    next_steps: Vec<(RequestId, NextSteps)>,
    timers: BTreeSet<TimerEntry>,
    probes: Vec<EndpointId>,
    list_requested: bool,
}

impl PendingActions {
    fn steps_mut(&mut self, request: RequestId) -> &mut NextSteps {
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

    /// Removes the first timer that is due by `until_ms`.
    fn pop_due_timer(&mut self, until_ms: f64) -> Option<u64> {
        let (due_us, timer) = self.timers.first().copied()?;
        if due_us as f64 > until_ms * 1000.0 {
            return None;
        }
        self.timers.pop_first();
        Some(timer)
    }
}

impl Actions for PendingActions {
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId, timeout_ms: f64) {
        self.steps_mut(request).attempts.push(NewAttempt { endpoint, timeout_ms });
    }

    fn probe(&mut self, endpoint: EndpointId) {
        self.probes.push(endpoint);
    }

    fn set_send_deadline(&mut self, request: RequestId, attempt: usize, at_ms: f64) {
        self.steps_mut(request).send_deadlines.push(SendDeadline { attempt, at_ms });
    }

    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.steps_mut(request).cancel.push(attempt);
    }

    fn reject(&mut self, request: RequestId, retry_after_ms: f64) {
        self.steps_mut(request).final_response = Some(FinalResponse::Rejected { retry_after_ms });
    }

    fn fail(&mut self, request: RequestId) {
        self.steps_mut(request).final_response = Some(FinalResponse::Failed);
    }

    fn refuse_repeats(&mut self, request: RequestId) {
        self.steps_mut(request).refuse_repeats = true;
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

/// Drives the balancer of one proxy. Timestamps are Unix milliseconds, as in the endpoint list.
pub struct Dispatcher {
    balancer: Balancer,
    pending: PendingActions,
}

impl Dispatcher {
    /// Creates a dispatcher whose random choices are determined by `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Dispatcher { balancer: Balancer::new(settings, seed), pending: PendingActions::default() }
    }

    /// A request was received.
    pub fn request_arrived(&mut self, now_ms: f64, arrival: &NewRequest) -> NextSteps {
        self.balancer.request_arrived(&mut self.pending, now_ms, arrival);
        self.pending.take_steps(arrival.request)
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, now_ms: f64, result: &AttemptResult) -> NextSteps {
        self.balancer.attempt_ended(&mut self.pending, now_ms, result);
        self.pending.take_steps(result.request)
    }

    /// A long request or response body is being streamed by an attempt, so no further attempt may start. The
    /// endpoint is `executing` from the end of the request body until the response begins.
    pub fn set_body_streaming(&mut self, now_ms: f64, request: RequestId, attempt: usize, executing: bool) {
        self.balancer.set_body_streaming(now_ms, request, attempt, executing);
    }

    /// The client disconnected; it needs no response.
    pub fn client_left(&mut self, now_ms: f64, request: RequestId) -> NextSteps {
        self.balancer.client_left(&mut self.pending, now_ms, request);
        self.pending.take_steps(request)
    }

    /// Applies a `full` endpoint list, or changes to it. A `cached` list may be stale.
    pub fn update_endpoints(&mut self, now_ms: f64, updates: &[EndpointUpdate], full: bool, cached: bool) {
        self.balancer.update_endpoints(&mut self.pending, now_ms, updates, full, cached);
    }

    /// Stops new attempts to an endpoint, regardless of its state in the endpoint list.
    pub fn disable_endpoint(&mut self, now_ms: f64, endpoint: EndpointId) {
        self.balancer.disable_endpoint(now_ms, endpoint);
    }

    /// Re-enables an endpoint, which goes through slow start.
    pub fn enable_endpoint(&mut self, now_ms: f64, endpoint: EndpointId) {
        self.balancer.enable_endpoint(now_ms, endpoint);
    }

    /// Replaces the settings; requests in flight keep the settings of their arrival.
    pub fn update_settings(&mut self, settings: Settings) {
        self.balancer.update_settings(settings);
    }

    /// The learned state, to hand over to a new process.
    pub fn learned_state(&self) -> LearnedState {
        self.balancer.learned_state()
    }

    /// Restores the state learned by the previous process. Requires the endpoint list.
    pub fn restore_learned_state(&mut self, learned: &LearnedState) {
        self.balancer.restore_learned_state(learned);
    }

    /// Sets this process's share of the proxy's budgets, as two processes serve during an upgrade; the number
    /// of proxies (`None`: as configured); and the fraction of a proxy's slow-start budget that it may use.
    pub fn set_process_share(&mut self, share: f64, proxies: Option<f64>, slow_start_share: f64) {
        self.balancer.set_process_share(share, proxies, slow_start_share);
    }

    /// The number of listed endpoints, and how many of them are disabled or failing.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        self.balancer.endpoint_counts()
    }

    /// Whether the balancer has a record of this endpoint. If not, its index may be reused for another one.
    pub fn has_endpoint(&self, endpoint: EndpointId) -> bool {
        self.balancer.has_endpoint(endpoint)
    }

    /// Takes the list of endpoints to send a load probe to.
    pub fn take_probes(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.pending.probes)
    }

    /// A load probe ended; `answer` is `None` if it failed. Waiting requests proceed at the next tick.
    pub fn probe_ended(&mut self, now_ms: f64, endpoint: EndpointId, answer: Option<LoadReport>) {
        self.balancer.probe_ended(&mut self.pending, now_ms, endpoint, answer);
    }

    /// A request for the endpoint list failed.
    pub fn discovery_failed(&mut self, now_ms: f64) {
        self.balancer.discovery_failed(&mut self.pending, now_ms);
    }

    /// Whether the endpoint list is to be requested; clears the flag.
    pub fn take_list_request(&mut self) -> bool {
        std::mem::take(&mut self.pending.list_requested)
    }

    /// Runs the timers due by `until_ms`, up to which all events have been reported, and returns the actions
    /// for the requests affected.
    pub fn tick(&mut self, now_ms: f64, until_ms: f64) -> Vec<(RequestId, NextSteps)> {
        while let Some(timer) = self.pending.pop_due_timer(until_ms) {
            self.balancer.timer_expired(&mut self.pending, now_ms, timer);
        }
        std::mem::take(&mut self.pending.next_steps)
    }

    /// When `tick` must next be called; `None` if nothing is pending.
    pub fn next_tick(&self) -> Option<f64> {
        let pending = &self.pending;
        if pending.list_requested || !pending.probes.is_empty() || !pending.next_steps.is_empty() {
            return Some(0.0);
        }
        pending.timers.first().map(|(due_us, _)| *due_us as f64 / 1000.0)
    }
}
