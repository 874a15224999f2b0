//! Sending requests: assigns attempts to connections and writes their requests.

use super::attempt::Attempt;
use super::connection::{ConnectionState, UpstreamConnection};
use super::request_state::{PendingWrite, RequestState, StreamedRequest};
use super::CompletionCallback;
use crate::http;
use crate::proxy::Proxy;
use crate::slot_table::{DownstreamKey, UpstreamKey};
use crate::socket::is_open_and_idle;
use crankmux::types::{AttemptOutcome, EndpointId, LoadReport, RequestId};

impl Proxy {
    /// Forwards a client's request to an endpoint. Returns the key of the connection.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the attempt cannot be started; `on_complete` is not called then.
    pub fn send_attempt(
        &mut self,
        request: RequestId,
        client: DownstreamKey,
        endpoint: EndpointId,
        timeout_ms: f64,
        on_complete: CompletionCallback<Proxy>,
    ) -> Result<UpstreamKey, AttemptOutcome> {
        let Some((bytes, message)) = self.downstream.request(client) else {
            return Err(AttemptOutcome::NotSent);
        };
        let write_buffer = if message.is_complete() {
            self.buffers.take_for(message.body_end)
        } else {
            // Later pieces of the body need all of it.
            self.buffers.take()
        };
        let Some(mut write_buffer) = write_buffer else {
            self.counters.capacity_exhausted += 1;
            return Err(AttemptOutcome::NotSent);
        };
        if !http::write_request(bytes, message, timeout_ms, &mut write_buffer) {
            self.buffers.give_back(write_buffer);
            return Err(AttemptOutcome::NotSent);
        }
        let pending = PendingWrite::new(write_buffer);
        if message.is_complete() {
            let state = RequestState::Buffered(pending);
            return self.send_request(Some(request), endpoint, state, timeout_ms, on_complete);
        }
        let state = RequestState::Streamed(StreamedRequest {
            pending,
            source: Some(client),
            chunked: message.body_length().is_none(),
            received_at: None,
        });
        self.send_request(Some(request), endpoint, state, timeout_ms, on_complete)
    }

    /// Sends a request or a load probe on an idle connection or a new one.
    pub(super) fn send_request(
        &mut self,
        request: Option<RequestId>,
        endpoint: EndpointId,
        state: RequestState,
        timeout_ms: f64,
        on_complete: CompletionCallback<Proxy>,
    ) -> Result<UpstreamKey, AttemptOutcome> {
        if let Some(key) = self.take_idle_connection(endpoint) {
            let now = self.now();
            let attempt = Attempt::new(request, state, now, timeout_ms, on_complete);
            self.upstream.connections[key].start_attempt(attempt);
            self.set_attempt_timer(key, now + timeout_ms);
            self.writable_upstream.push(key);
            return Ok(key);
        }
        let (key, stream, process) = match self.open_connection(endpoint) {
            Ok(connecting) => connecting,
            Err(outcome) => {
                let buffer = state.into_buffer();
                buffer
                    .into_iter()
                    .for_each(|buffer| self.buffers.give_back(buffer));
                return Err(outcome);
            }
        };
        let now = self.now();
        let attempt = Attempt::new(request, state, now, timeout_ms, on_complete);
        let connection = UpstreamConnection::connecting(stream, endpoint, process, attempt);
        self.upstream.connections.insert(connection);
        let connect_timeout_ms = self.upstream.connect_timeout_ms;
        self.set_attempt_timer(key, now + timeout_ms.min(connect_timeout_ms));
        Ok(key)
    }

    /// Handles an event of a connection to an endpoint.
    pub(crate) fn upstream_event(&mut self, key: UpstreamKey) {
        let Some(connection) = self.upstream.connections.get(key) else {
            return;
        };
        let is_new = !connection.is_connected();
        match connection.state() {
            ConnectionState::Idle { .. } => {
                // The endpoint has closed the connection, or sent bytes that belong to no attempt.
                if !is_open_and_idle(&connection.stream) {
                    self.close_idle_connection(key);
                }
                return;
            }
            ConnectionState::Connecting(_) => {
                if !self.finish_connecting(key) {
                    return;
                }
            }
            ConnectionState::Active(_) => {}
        }
        if self.is_unsent_past_deadline(key) {
            let outcome = AttemptOutcome::Unreachable;
            return self.fail_attempt(key, outcome, LoadReport::default());
        }
        if is_new && !self.update_sent_timeout(key) {
            let outcome = AttemptOutcome::NotSent;
            return self.fail_attempt(key, outcome, LoadReport::default());
        }
        if !self.stream_request_body(key) {
            return;
        }
        if self.may_write_last_piece(key) {
            self.write_last_piece(key);
            self.read_response(key);
        } else {
            self.cancel_attempt(key);
        }
    }

    /// Returns whether the connection is established; closes it if connecting failed.
    fn finish_connecting(&mut self, key: UpstreamKey) -> bool {
        let connection = &mut self.upstream.connections[key];
        if !matches!(connection.stream.take_error(), Ok(None)) {
            self.fail_attempt(key, AttemptOutcome::Unreachable, LoadReport::default());
            return false;
        }
        if connection.stream.peer_addr().is_err() {
            // The handshake is still in progress.
            return false;
        }
        connection.finish_handshake();
        let endpoint = connection.endpoint;
        self.upstream.record_activity(endpoint, self.clock.now());
        true
    }

    /// Rewrites a buffered request for a connection that has just been established, as its `X-Timeout` has become
    /// shorter meanwhile. The time of a streamed request only starts with its last byte. Returns whether it fitted.
    fn update_sent_timeout(&mut self, key: UpstreamKey) -> bool {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return true;
        };
        let timeout_ms = attempt.deadline - now;
        let client = attempt
            .request
            .and_then(|request| self.requests.client(request));
        let request = client.and_then(|client| self.downstream.request(client));
        let Some((bytes, message)) = request else {
            return true;
        };
        let RequestState::Buffered(pending) = &mut attempt.request_state else {
            return true;
        };
        let write_buffer = pending.discard();
        http::write_request(bytes, message, timeout_ms, write_buffer)
    }

    /// Whether the deadline has passed before any byte of the request was written.
    fn is_unsent_past_deadline(&self, key: UpstreamKey) -> bool {
        let Some(attempt) = self.upstream.connections[key].attempt() else {
            return false;
        };
        attempt.is_unsent() && self.clock.now() >= attempt.deadline
    }

    /// Whether the request is written already, or its send deadline has not passed. Checked right before the write, as
    /// much time may have passed since the attempt was decided or its last bytes were written.
    fn may_write_last_piece(&self, key: UpstreamKey) -> bool {
        let attempt = self.upstream.attempt(key);
        let incomplete = attempt.filter(|attempt| !attempt.is_written());
        let request = incomplete.and_then(|attempt| attempt.request);
        request.is_none_or(|request| !self.is_past_send_deadline(request, key))
    }

    /// Writes the buffered request, or the last piece of a streamed one.
    fn write_last_piece(&mut self, key: UpstreamKey) {
        let now = self.clock.now();
        let Some((stream, attempt)) = self.upstream.connections[key].stream_and_attempt() else {
            return;
        };
        let request = attempt.request;
        let was_streamed = matches!(attempt.request_state, RequestState::Streamed(_));
        let Some(write_buffer) = attempt.write_last_piece(stream, now) else {
            return;
        };
        let deadline = attempt.deadline;
        if was_streamed {
            self.set_attempt_timer(key, deadline);
        }
        self.access_metrics.attempts_forwarded += u64::from(request.is_some());
        self.buffers.give_back(write_buffer);
        if let Some(request) = request.filter(|_| was_streamed) {
            self.streaming_progress(request, key, true);
        }
    }
}
