//! The lifecycle of a request: admission, attempts as decided by the dispatcher, response, and removal.

use crate::proxy::Proxy;
use crate::request_ids::RequestIdHash;
use crate::slot_table::{DownstreamKey, UpstreamKey};
use crate::upstream::{AttemptCompletion, BufferedResponse};
use crankmux::dispatcher::{FinalResponse, NewAttempt, NextSteps, SendDeadline};
use crankmux::types::{
    AttemptOutcome, AttemptResult, EndpointId, LoadReport, NewRequest, RequestId,
};

/// Minimum time to live of a request admitted shortly before the process exits.
const MIN_TTL_MS: f64 = 1.0;

/// A started attempt of a request.
#[derive(Clone, Copy)]
struct StartedAttempt {
    request: RequestId,
    /// Counted from 0 within the request.
    number: usize,
    endpoint: EndpointId,
    started_at: f64,
}

impl Proxy {
    /// Admits a client's request and applies the dispatcher's first decisions for it.
    pub fn admit(
        &mut self,
        client: DownstreamKey,
        new_request: NewRequest,
        id_hash: RequestIdHash,
    ) -> RequestId {
        self.counters.requests_admitted += 1;
        let now = self.now();
        // During shutdown the response must be sent before the process exits.
        let ttl_ms = new_request
            .ttl_ms
            .min((self.response_deadline - now).max(MIN_TTL_MS));
        let request = self.requests.admit(client, now + ttl_ms, id_hash);
        let steps = self.dispatcher.request_arrived(
            now,
            &NewRequest {
                request,
                ttl_ms,
                ..new_request
            },
        );
        self.follow_steps(request, steps);
        request
    }

    /// Applies the dispatcher's decisions for a request.
    pub(crate) fn follow_steps(&mut self, request: RequestId, steps: NextSteps) {
        // First, as the request may be removed once its attempts are cancelled.
        if steps.refuse_repeats {
            let now = self.now();
            self.requests.refuse_repeats(request, now);
        }
        for attempt in steps.cancel {
            if let Some(connection) = self.requests.connection_of(request, attempt) {
                self.cancel_attempt(connection);
            }
        }
        match steps.final_response {
            None => {}
            Some(FinalResponse::Rejected { retry_after_ms }) => {
                self.counters.requests_rejected += 1;
                self.answer_without_response(request, 503, retry_after_ms);
            }
            Some(FinalResponse::Failed) => {
                self.counters.requests_failed += 1;
                self.answer_without_response(request, 502, 0.0);
            }
        }
        for deadline in steps.send_deadlines {
            self.set_send_deadline(request, deadline);
        }
        for attempt in steps.attempts {
            self.start_attempt(request, attempt);
        }
        if !self.requests.is_unanswered(request) {
            self.cancel_unsent_attempts(request);
        }
        self.requests.remove_if_finished(request);
    }

    fn set_send_deadline(&mut self, request: RequestId, deadline: SendDeadline) {
        let SendDeadline { attempt, at_ms } = deadline;
        self.requests.set_send_deadline(request, attempt, at_ms);
        if at_ms.is_finite() {
            self.timers.set(at_ms, move |proxy: &mut Proxy| {
                proxy.send_deadline_expired(request, attempt)
            });
        }
    }

    /// Cancels an attempt whose request is not completely sent at its send deadline. The deadline may have been changed
    /// since the timer was set, and is checked again.
    fn send_deadline_expired(&mut self, request: RequestId, attempt: usize) {
        if self.now() < self.requests.send_deadline(request, attempt) {
            return;
        }
        let Some(key) = self.requests.connection_of(request, attempt) else {
            return;
        };
        if self.upstream.is_request_unsent(key) {
            self.cancel_attempt(key);
        }
    }

    /// Whether an attempt's request may not be sent any more.
    pub fn is_past_send_deadline(&self, request: RequestId, connection: UpstreamKey) -> bool {
        let attempt = self.requests.attempt_on(request, connection);
        attempt.is_some_and(|number| self.now() >= self.requests.send_deadline(request, number))
    }

    /// Cancels the attempts of an answered or abandoned request that are not completely sent: their endpoints would begin
    /// it for nobody. They cannot have executed it, so this is not subject to the setting that permits cancellation.
    fn cancel_unsent_attempts(&mut self, request: RequestId) {
        for connection in self.requests.connections_of(request) {
            if self.upstream.is_request_unsent(connection) {
                self.cancel_attempt(connection);
            }
        }
    }

    fn answer_without_response(&mut self, request: RequestId, status: u16, retry_after_ms: f64) {
        if let Some(client) = self.requests.take_client(request) {
            self.send_local_response(client, status, retry_after_ms);
        }
    }

    fn start_attempt(&mut self, request: RequestId, attempt: NewAttempt) {
        let now = self.now();
        let entry = self.requests.start_attempt(request);
        let started = StartedAttempt {
            request,
            number: entry.number,
            endpoint: attempt.endpoint,
            started_at: now,
        };
        if let Some(cluster) = &mut self.cluster {
            cluster.attempt_started(attempt.endpoint);
        }
        let timeout_ms = attempt.timeout_ms.min(entry.deadline - now);
        let on_complete =
            Box::new(move |proxy: &mut Proxy, completion| proxy.attempt_ended(started, completion));
        let sent = match entry.client {
            Some(client) if timeout_ms > 0.0 => {
                self.send_attempt(request, client, attempt.endpoint, timeout_ms, on_complete)
            }
            _ => Err(AttemptOutcome::NotSent),
        };
        match sent {
            Ok(connection) => {
                self.counters.attempts_sent += 1;
                self.requests
                    .attempt_sent(request, entry.number, connection);
            }
            Err(outcome) => {
                self.attempt_ended(started, AttemptCompletion::without_response(outcome))
            }
        }
    }

    /// Notifies the dispatcher of progress of a streamed body: the request was partly or completely sent, or the
    /// response started to arrive. `endpoint_works` is whether the endpoint is processing the request from now on.
    pub fn streaming_progress(
        &mut self,
        request: RequestId,
        connection: UpstreamKey,
        endpoint_works: bool,
    ) {
        if let Some(attempt) = self.requests.attempt_on(request, connection) {
            let now = self.now();
            self.dispatcher
                .set_body_streaming(now, request, attempt, endpoint_works);
        }
    }

    /// Cancels all attempts of a request but the one that streams the body: the bytes that it takes from the client
    /// are missing for the others, which could only send the body with gaps.
    pub fn cancel_other_attempts(&mut self, request: RequestId, streaming: UpstreamKey) {
        for connection in self.requests.connections_of(request) {
            if connection != streaming {
                self.cancel_attempt(connection);
            }
        }
    }

    /// Handles the end of an attempt: sends the first successful response to the client, and notifies the dispatcher
    /// of the outcome.
    fn attempt_ended(&mut self, attempt: StartedAttempt, completion: AttemptCompletion) {
        let AttemptCompletion {
            outcome,
            load,
            response,
            endpoint_duration_ms,
        } = completion;
        self.count_outcome(outcome);
        let now = self.now();
        self.report_to_cluster(attempt.endpoint, &load, now);
        let elapsed_ms = now - attempt.started_at;
        log::debug!(
            "request {}: attempt {} ended after {elapsed_ms:.1} ms: {outcome:?}",
            attempt.request,
            attempt.number
        );
        self.requests.attempt_ended(attempt.request, attempt.number);
        let client = if outcome == AttemptOutcome::Succeeded {
            self.requests.take_client(attempt.request)
        } else {
            None
        };
        let request_closed = !self.requests.is_unanswered(attempt.request);
        if let Some(BufferedResponse { buffer, message }) = response {
            if let Some(client) = client {
                self.counters.requests_succeeded += 1;
                self.send_buffered_response(client, buffer.filled(), &message);
            }
            self.buffers.give_back(buffer);
        }
        let result = AttemptResult {
            request: attempt.request,
            attempt: attempt.number,
            outcome,
            duration_ms: endpoint_duration_ms.unwrap_or(elapsed_ms),
            request_closed,
            load,
        };
        let steps = self.dispatcher.attempt_ended(now, &result);
        self.follow_steps(attempt.request, steps);
    }

    fn count_outcome(&mut self, outcome: AttemptOutcome) {
        let counters = &mut self.counters;
        let count = match outcome {
            AttemptOutcome::Succeeded => &mut counters.attempts_succeeded,
            AttemptOutcome::Failed => &mut counters.attempts_failed,
            AttemptOutcome::Rejected => &mut counters.attempts_rejected,
            AttemptOutcome::TimedOut => &mut counters.attempts_timed_out,
            AttemptOutcome::Unreachable => &mut counters.attempts_unreachable,
            AttemptOutcome::ConnectionLost => &mut counters.attempts_connection_lost,
            AttemptOutcome::Cancelled
            | AttemptOutcome::CancelledIncomplete
            | AttemptOutcome::NotSent => &mut counters.attempts_cancelled,
        };
        *count += 1;
    }

    fn report_to_cluster(&mut self, endpoint: EndpointId, load: &LoadReport, now: f64) {
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        cluster.attempt_ended(endpoint);
        if let Some(in_flight) = load.in_flight {
            cluster.load_reported(now, endpoint, in_flight);
        }
    }

    /// Handles the disconnection of a client before its response was complete.
    pub fn client_left(&mut self, request: RequestId) {
        self.counters.clients_disconnected += 1;
        if self.requests.take_client(request).is_some() {
            let now = self.now();
            let steps = self.dispatcher.client_left(now, request);
            self.follow_steps(request, steps);
        }
    }
}
