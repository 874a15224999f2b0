//! Requests at their proxies: final answers, deadlines, clients that leave.

use super::attempts::Attempt;
use super::clients::CLIENT_DELAY_MS;
use super::event_queue::RequestRef;
use super::Environment;
use crate::invariants::{Answer, RequestHistory};
use crate::results::Outcome;
use crate::script::Idempotency;
use crankmux::dispatcher::{FinalResponse, NextSteps};
use crankmux::types::RequestId;

/// How long after its deadline a request is overdue, in milliseconds: endpoints drop what they have of it by then.
const OVERDUE_MS: f64 = 2000.0;

/// One request of a client, as its proxy and the endpoints have it.
pub(super) struct Request {
    pub(super) serial: u64,
    /// The call that it is for; no longer valid once the request is answered or abandoned.
    pub(super) call: usize,
    pub(super) class: usize,
    pub(super) work_factor: f64,
    pub(super) key: u64,
    pub(super) proxy: usize,
    pub(super) deadline: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) answered: bool,
    /// The client takes no answer any more, or the proxy is dead.
    pub(super) abandoned: bool,
    pub(super) history: RequestHistory,
}

impl Request {
    /// Whether its client still waits for an answer.
    pub(super) fn is_open(&self) -> bool {
        !self.answered && !self.abandoned
    }

    /// Whether nobody has it any more: neither its client, nor its proxy, nor an endpoint.
    fn is_finished(&self) -> bool {
        let settled = |attempt: &Attempt| !attempt.awaited && attempt.settled;
        !self.is_open() && self.attempts.iter().all(settled)
    }
}

impl Environment<'_> {
    /// The request, unless it is forgotten already.
    pub(super) fn request(&mut self, request: RequestRef) -> Option<&mut Request> {
        let found = self.requests.get_mut(request.index)?;
        (found.serial == request.serial).then_some(found)
    }

    /// How many requests are held though their deadline was long ago.
    pub(super) fn overdue_requests(&self) -> usize {
        let overdue_since = self.now - OVERDUE_MS;
        let requests = self.requests.iter();
        requests
            .filter(|(_, request)| request.deadline < overdue_since)
            .count()
    }

    /// The request, if its client still waits for an answer.
    fn open_request_mut(&mut self, request: RequestRef) -> Option<&mut Request> {
        self.request(request).filter(|request| request.is_open())
    }

    /// Forgets a request once nobody has it any more.
    pub(super) fn forget_if_finished(&mut self, index: usize) {
        if self.requests.get(index).is_some_and(Request::is_finished) {
            self.requests.remove(index);
        }
    }

    /// Does what a policy decided for a request.
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

    /// A proxy gives a request its final answer.
    pub(super) fn answer(&mut self, request_index: usize, answer: Answer, retry_after_ms: f64) {
        let Some(request) = self.requests.get_mut(request_index) else {
            return;
        };
        self.checker
            .answered(self.now, &mut request.history, answer);
        let first = request.is_open();
        request.answered = true;
        if first {
            let call = request.call;
            let past_deadline = self.now > request.deadline;
            self.client_answered(call, answer, past_deadline, retry_after_ms);
        }
        self.forget_if_finished(request_index);
    }

    /// An answer reaches the client of a call.
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
        let took_ms = self.now - call.arrived_at + 2.0 * CLIENT_DELAY_MS;
        match answer {
            Answer::Succeeded if past_deadline => self.close_call(call_index, Outcome::Failed),
            Answer::Succeeded if took_ms <= class.latency_objective_ms => {
                self.close_call(call_index, Outcome::InTime);
            }
            Answer::Succeeded => self.close_call(call_index, Outcome::Late),
            Answer::Rejected => self.request_unsuccessful(call_index, true, retry_after_ms),
            // Clients retry a failed request only if it may be executed twice.
            Answer::Failed => {
                let idempotent = class.idempotency == Idempotency::Idempotent;
                self.request_unsuccessful(call_index, idempotent, 0.0);
            }
        }
    }

    /// A client leaves while its request waits, and its proxy is notified.
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
        self.serve_policy(proxy);
        self.forget_if_finished(index);
    }

    /// The time of a request is over, and what its answer may take beyond that.
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
        self.forget_if_finished(request_ref.index);
    }
}
