//! Requests at proxies: final answers, deadlines and client disconnects.

use super::attempts::Attempt;
use super::clients::CLIENT_DELAY_MS;
use super::event_queue::RequestRef;
use super::Environment;
use crate::invariants::{Answer, RequestHistory};
use crate::results::Outcome;
use crate::script::Idempotency;
use crankmux::dispatcher::{FinalResponse, NextSteps};
use crankmux::types::RequestId;

/// Time after its deadline from which a request that is still held counts as overdue. Endpoints should have dropped
/// its work by then.
const OVERDUE_MS: f64 = 2000.0;

/// State of one client request.
pub(super) struct Request {
    pub(super) serial: u64,
    /// The call that it belongs to. The index is invalid once the request is answered or abandoned.
    pub(super) call: usize,
    pub(super) class: usize,
    pub(super) work_factor: f64,
    pub(super) key: u64,
    pub(super) proxy: usize,
    pub(super) deadline: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) answered: bool,
    /// Whether the client no longer waits for an answer, or the proxy has crashed.
    pub(super) abandoned: bool,
    pub(super) history: RequestHistory,
}

impl Request {
    /// Whether the client still waits for an answer.
    pub(super) fn is_open(&self) -> bool {
        !self.answered && !self.abandoned
    }

    /// Whether neither its client, its proxy nor an endpoint still holds it.
    fn is_finished(&self) -> bool {
        let ended = |attempt: &Attempt| !attempt.awaited && attempt.released_by_endpoint;
        !self.is_open() && self.attempts.iter().all(ended)
    }
}

impl Environment<'_> {
    /// Returns a request, unless it has been removed.
    pub(super) fn request(&mut self, request: RequestRef) -> Option<&mut Request> {
        let found = self.requests.get_mut(request.index)?;
        (found.serial == request.serial).then_some(found)
    }

    /// Number of requests still held more than [`OVERDUE_MS`] after their deadline.
    pub(super) fn overdue_requests(&self) -> usize {
        let overdue_since = self.now - OVERDUE_MS;
        let requests = self.requests.iter();
        requests
            .filter(|(_, request)| request.deadline < overdue_since)
            .count()
    }

    /// Returns a request if its client still waits for an answer.
    fn open_request_mut(&mut self, request: RequestRef) -> Option<&mut Request> {
        self.request(request).filter(|request| request.is_open())
    }

    /// Removes a request that neither its client, its proxy nor an endpoint still holds.
    pub(super) fn remove_if_finished(&mut self, index: usize) {
        if self.requests.get(index).is_some_and(Request::is_finished) {
            self.requests.remove(index);
        }
    }

    /// Executes the steps that a policy decided for a request.
    pub(super) fn execute_steps(&mut self, request_index: usize, steps: NextSteps) {
        for attempt in steps.cancel {
            self.cancel_attempt(request_index, attempt);
        }
        for attempt in steps.attempts {
            self.start_attempt(request_index, attempt.endpoint.index(), attempt.timeout_ms);
        }
        match steps.final_response {
            Some(FinalResponse::Rejected { retry_after_ms }) => {
                self.answer(request_index, Answer::Rejected, retry_after_ms);
            }
            Some(FinalResponse::Failed) => self.answer(request_index, Answer::Failed, 0.0),
            None => {}
        }
    }

    /// Gives a request its final answer.
    pub(super) fn answer(&mut self, request_index: usize, answer: Answer, retry_after_ms: f64) {
        let Some(request) = self.requests.get_mut(request_index) else {
            return;
        };
        self.checker
            .answered(self.now, &mut request.history, answer);
        let was_open = request.is_open();
        request.answered = true;
        if was_open {
            let call = request.call;
            let past_deadline = self.now > request.deadline;
            self.client_answered(call, answer, past_deadline, retry_after_ms);
        }
        self.remove_if_finished(request_index);
    }

    /// Handles an answer at the client of a call.
    fn client_answered(
        &mut self,
        call_index: usize,
        answer: Answer,
        past_deadline: bool,
        retry_after_ms: f64,
    ) {
        let Some(call) = self.calls.get(call_index) else {
            return;
        };
        let class = &self.script.request_classes[call.class];
        let latency_ms = self.now - call.arrived_at + 2.0 * CLIENT_DELAY_MS;
        match answer {
            Answer::Succeeded if past_deadline => self.close_call(call_index, Outcome::Failed),
            Answer::Succeeded if latency_ms <= class.latency_objective_ms => {
                self.close_call(call_index, Outcome::InTime);
            }
            Answer::Succeeded => self.close_call(call_index, Outcome::Late),
            Answer::Rejected => self.request_unsuccessful(call_index, true, retry_after_ms),
            // Clients retry a failed request only if it is idempotent.
            Answer::Failed => {
                let idempotent = class.idempotency == Idempotency::Idempotent;
                self.request_unsuccessful(call_index, idempotent, 0.0);
            }
        }
    }

    /// Disconnects a client before its final answer and notifies the proxy.
    pub(super) fn client_leaves(&mut self, request_ref: RequestRef) {
        let Some(request) = self.open_request_mut(request_ref) else {
            return;
        };
        request.abandoned = true;
        let call = request.call;
        let proxy = request.proxy;
        let index = request_ref.index;
        if let Some(request) = self.requests.get_mut(index) {
            self.checker.client_left(self.now, &mut request.history);
        }
        self.close_call(call, Outcome::Failed);
        let steps = self.with_policy(proxy, |policy, now, _| {
            policy.client_left(now, RequestId::new(index))
        });
        self.execute_steps(index, steps);
        self.handle_policy_needs(proxy);
        self.remove_if_finished(index);
    }

    /// Handles the end of a request's deadline plus the answer slack.
    pub(super) fn deadline_passes(&mut self, request_ref: RequestRef) {
        let Some(request) = self.open_request_mut(request_ref) else {
            return;
        };
        request.abandoned = true;
        let call = request.call;
        if let Some(request) = self.requests.get(request_ref.index) {
            self.checker.deadline_passed(self.now, &request.history);
        }
        self.close_call(call, Outcome::Failed);
        self.remove_if_finished(request_ref.index);
    }
}
