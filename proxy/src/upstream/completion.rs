//! Completion: an attempt has ended, its connection is kept or closed, and its outcome goes to its callback.

use super::{AttemptResponse, BufferedResponse};
use crate::buffers::Buffer;
use crate::proxy::Proxy;
use crate::slot_table::UpstreamKey;
use crate::socket::is_silent;
use crankmux::types::{AttemptOutcome, LoadReport};

impl Proxy {
    /// Cancels an attempt, unless its response is being streamed to the client already.
    pub(crate) fn cancel(&mut self, key: UpstreamKey) {
        let attempt = self.upstream.attempt(key);
        if attempt.is_some_and(|attempt| attempt.response_target().is_some()) {
            return;
        }
        self.fail_attempt(key, AttemptOutcome::Cancelled, LoadReport::default());
    }

    /// Ends an attempt without a response; its connection is closed.
    pub fn fail_attempt(&mut self, key: UpstreamKey, outcome: AttemptOutcome, load: LoadReport) {
        let now = self.now();
        let endpoint_duration_ms = self
            .upstream
            .attempt(key)
            .and_then(|attempt| attempt.endpoint_duration_ms(now));
        if let Some(on_complete) = self.close_connection(key) {
            let response = AttemptResponse {
                outcome,
                load,
                answer: None,
                endpoint_duration_ms,
            };
            on_complete(self, response);
        }
    }

    /// The connection, or the response on it, is broken. What the endpoint never had whole it has not run.
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

    /// The response has been received whole.
    pub(super) fn response_received(&mut self, key: UpstreamKey, inbox: Buffer) {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.connections[key].finish_attempt(now) else {
            return self.buffers.give_back(inbox);
        };
        let is_written = attempt.is_written();
        let endpoint_duration_ms = attempt.endpoint_duration_ms(now);
        if let Some(unwritten) = attempt.request_state.into_buffer() {
            self.buffers.give_back(unwritten);
        }
        let Some(response) = attempt.response_state.into_response() else {
            return self.buffers.give_back(inbox);
        };
        // After a response ahead of its request's end, or with bytes behind it, the next response on this
        // connection would be read wrongly.
        let message = response.message;
        let is_reusable =
            message.keep_alive && is_written && inbox.filled().len() == message.body_end;
        self.keep_or_close(key, is_reusable);
        let answer = BufferedResponse {
            buffer: inbox,
            message,
        };
        (attempt.on_complete)(
            self,
            AttemptResponse {
                outcome: response.outcome,
                load: response.load,
                answer: Some(answer),
                endpoint_duration_ms,
            },
        );
    }

    /// Keeps an idle connection if it may be used again and is still open.
    pub(crate) fn keep_or_close(&mut self, key: UpstreamKey, is_reusable: bool) {
        if is_reusable && is_silent(&self.upstream.connections[key].stream) {
            self.keep_connection(key);
        } else {
            self.close_connection(key);
        }
    }
}
