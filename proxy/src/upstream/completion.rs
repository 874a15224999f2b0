//! Completion of attempts: keeps or closes the connection and passes the result to the attempt's callback.

use super::{AttemptCompletion, BufferedResponse};
use crate::buffers::Buffer;
use crate::proxy::Proxy;
use crate::slot_table::UpstreamKey;
use crate::socket::is_open_and_idle;
use crankmux::types::{AttemptOutcome, LoadReport};

impl Proxy {
    /// Cancels an attempt, unless its response is already being streamed to the client.
    pub(crate) fn cancel_attempt(&mut self, key: UpstreamKey) {
        let attempt = self.upstream.attempt(key);
        if attempt.is_some_and(|attempt| attempt.response_target().is_some()) {
            return;
        }
        let is_incomplete = attempt.is_some_and(|attempt| !attempt.is_written());
        let outcome = if is_incomplete {
            AttemptOutcome::CancelledIncomplete
        } else {
            AttemptOutcome::Cancelled
        };
        self.fail_attempt(key, outcome, LoadReport::default());
    }

    /// Ends an attempt without a response and closes its connection.
    pub fn fail_attempt(&mut self, key: UpstreamKey, outcome: AttemptOutcome, load: LoadReport) {
        let now = self.now();
        let endpoint_duration_ms = self
            .upstream
            .attempt(key)
            .and_then(|attempt| attempt.endpoint_duration_ms(now));
        if let Some(on_complete) = self.close_connection(key) {
            let completion = AttemptCompletion {
                outcome,
                load,
                response: None,
                endpoint_duration_ms,
            };
            on_complete(self, completion);
        }
    }

    /// Fails the attempt on a broken connection. An endpoint that did not receive the entire request has not
    /// processed it, so the outcome is `Unreachable`.
    pub(crate) fn connection_lost(&mut self, key: UpstreamKey) {
        let is_written = self
            .upstream
            .attempt(key)
            .is_some_and(|attempt| attempt.is_written());
        let outcome = if is_written {
            AttemptOutcome::ConnectionLost
        } else {
            AttemptOutcome::Unreachable
        };
        self.fail_attempt(key, outcome, LoadReport::default());
    }

    /// Completes the attempt with a completely received response.
    pub(super) fn response_received(&mut self, key: UpstreamKey, read_buffer: Buffer) {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.connections[key].finish_attempt(now) else {
            return self.buffers.give_back(read_buffer);
        };
        let is_written = attempt.is_written();
        let endpoint_duration_ms = attempt.endpoint_duration_ms(now);
        if let Some(unwritten) = attempt.request_state.into_buffer() {
            self.buffers.give_back(unwritten);
        }
        let Some(response) = attempt.response_state.into_response() else {
            return self.buffers.give_back(read_buffer);
        };
        // After an early response, or with bytes beyond it, the next response on this connection would be misread.
        let message = response.message;
        let is_reusable =
            message.keep_alive && is_written && read_buffer.filled().len() == message.body_end;
        self.keep_or_close(key, is_reusable);
        let buffered = BufferedResponse {
            buffer: read_buffer,
            message,
        };
        (attempt.on_complete)(
            self,
            AttemptCompletion {
                outcome: response.outcome,
                load: response.load,
                response: Some(buffered),
                endpoint_duration_ms,
            },
        );
    }

    /// Keeps an idle connection for reuse, or closes it if it is not reusable or no longer open.
    pub(crate) fn keep_or_close(&mut self, key: UpstreamKey, is_reusable: bool) {
        if is_reusable && is_open_and_idle(&self.upstream.connections[key].stream) {
            self.keep_connection(key);
        } else {
            self.close_connection(key);
        }
    }
}
