//! Receiving responses: a response is buffered until it is complete, or streamed to the client.

use super::response::log_excerpt;
use super::{Response, ResponseState};
use crate::buffers::{Buffer, ReadOutcome, BUFFER_RETRY_MS, MAX_BUFFERED_BODY_BYTES};
use crate::proxy::Proxy;
use crate::slot_table::UpstreamKey;
use crate::streaming::FIRST_PIECE_BYTES;
use crankmux::types::{AttemptOutcome, LoadReport};

/// What to do after a read.
enum ReadStep {
    /// The response is complete.
    Complete(Buffer),
    /// The response exceeds the buffered size and is to be streamed to the client.
    Stream(Buffer),
    /// The attempt has this outcome; the rest of the response is not read.
    Ended(AttemptOutcome, LoadReport),
    /// The connection or the response is broken.
    Broken,
    /// No more data is available now.
    Wait,
    /// More data may be available.
    Continue,
}

impl Proxy {
    /// Reads the available part of a response, as far as the connection's steps allow.
    pub(super) fn read_response(&mut self, key: UpstreamKey) {
        let attempt = self.upstream.connections[key].attempt();
        if attempt.is_some_and(|attempt| attempt.response_target().is_some()) {
            return self.stream_response_body(key);
        }
        while self.take_upstream_step(key) {
            match self.read_once(key) {
                ReadStep::Continue => {}
                ReadStep::Wait => return,
                ReadStep::Complete(read_buffer) => return self.response_received(key, read_buffer),
                ReadStep::Stream(read_buffer) => {
                    if !self.begin_response_stream(key, read_buffer) {
                        return self.retry_without_buffer(key);
                    }
                    return self.stream_response_body(key);
                }
                ReadStep::Ended(outcome, load) => return self.fail_attempt(key, outcome, load),
                ReadStep::Broken => return self.connection_lost(key),
            }
        }
    }

    fn read_once(&mut self, key: UpstreamKey) -> ReadStep {
        let connection = &mut self.upstream.connections[key];
        let endpoint = connection.endpoint;
        let read_buffer = connection
            .attempt_mut()
            .and_then(|attempt| attempt.read_buffer.take());
        let Some(mut read_buffer) = read_buffer.or_else(|| self.buffers.take_reserved()) else {
            // The response stays in the socket; the endpoint has processed the request.
            self.counters.capacity_exhausted += 1;
            self.retry_without_buffer(key);
            return ReadStep::Wait;
        };
        let read_outcome = connection.read_into(&mut read_buffer);
        if read_outcome == ReadOutcome::Received {
            self.upstream.record_activity(endpoint, self.clock.now());
        }
        self.handle_received(key, read_buffer, read_outcome)
    }

    fn handle_received(
        &mut self,
        key: UpstreamKey,
        mut read_buffer: Buffer,
        read_outcome: ReadOutcome,
    ) -> ReadStep {
        let connection = &mut self.upstream.connections[key];
        let endpoint = connection.endpoint;
        let Some(attempt) = connection.attempt_mut() else {
            self.buffers.give_back(read_buffer);
            return ReadStep::Wait;
        };
        let is_complete = match attempt.read_response(&mut read_buffer) {
            Ok(is_complete) => is_complete,
            Err(error) => {
                log::debug!(
                    "endpoint {endpoint}: malformed response ({error}): {}",
                    log_excerpt(&read_buffer)
                );
                attempt.read_buffer = Some(read_buffer);
                return ReadStep::Broken;
            }
        };
        let response = attempt.response_state.response();
        let ends_at_close = response.is_some_and(|response| response.message.ends_at_close());
        if is_complete || (read_outcome == ReadOutcome::Closed && ends_at_close) {
            return ReadStep::Complete(read_buffer);
        }
        if attempt.must_stream_response(&read_buffer) {
            if attempt.request.is_some() {
                return ReadStep::Stream(read_buffer);
            }
            // Load probes have no client to stream to, and no load report is this long.
            attempt.read_buffer = Some(read_buffer);
            return ReadStep::Broken;
        }
        if let Some((outcome, load)) = response.and_then(long_error_response) {
            attempt.read_buffer = Some(read_buffer);
            return ReadStep::Ended(outcome, load);
        }
        self.buffer_partial_response(key, read_buffer);
        match read_outcome {
            ReadOutcome::Received => ReadStep::Continue,
            ReadOutcome::WouldBlock => ReadStep::Wait,
            ReadOutcome::Closed | ReadOutcome::Failed | ReadOutcome::BufferFull => ReadStep::Broken,
        }
    }

    /// Keeps the received part of an incomplete response. If it may have to be streamed, a timer bounds the
    /// buffering.
    fn buffer_partial_response(&mut self, key: UpstreamKey, read_buffer: Buffer) {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.connections[key].attempt_mut() else {
            return self.buffers.give_back(read_buffer);
        };
        if attempt.request.is_some() && attempt.may_stream_response() {
            let at = attempt.buffering_deadline(now);
            if let ResponseState::Buffering {
                buffering_since, ..
            } = &mut attempt.response_state
            {
                if buffering_since.is_none() {
                    *buffering_since = Some(now);
                    self.timers.set(at, move |proxy: &mut Proxy| {
                        proxy.buffering_timeout(key, now)
                    });
                }
            }
        }
        if read_buffer.filled().is_empty() {
            self.buffers.give_back(read_buffer);
        } else {
            attempt.read_buffer = Some(read_buffer);
        }
    }

    /// Handles a connection again after a while, as no buffer is free for it now.
    pub(crate) fn retry_without_buffer(&mut self, key: UpstreamKey) {
        let Some(connection) = self.upstream.connections.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut connection.waits_for_buffer, true) {
            return;
        }
        let at = self.clock.now() + BUFFER_RETRY_MS;
        self.timers.set(at, move |proxy: &mut Proxy| {
            if let Some(connection) = proxy.upstream.connections.get_mut(key) {
                connection.waits_for_buffer = false;
            }
            proxy.upstream_event(key);
        });
    }

    /// Starts to stream a response that has been buffered for too long since `since`. Otherwise a client would wait
    /// for a long response whose endpoint pauses, and lose it at the deadline. A response of unknown length of which
    /// little has been received stays buffered, as its request can still be retried.
    fn buffering_timeout(&mut self, key: UpstreamKey, since: f64) {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return;
        };
        let ResponseState::Buffering {
            response,
            buffering_since: Some(buffering_since),
        } = &attempt.response_state
        else {
            return;
        };
        if *buffering_since != since {
            return;
        }
        let has_known_length = response.message.body_length().is_some();
        let ready = attempt
            .read_buffer
            .take_if(|buffer| has_known_length || buffer.filled().len() >= FIRST_PIECE_BYTES);
        if let Some(read_buffer) = ready {
            if self.begin_response_stream(key, read_buffer) {
                self.stream_response_body(key);
            } else {
                let retry_at = now + BUFFER_RETRY_MS;
                self.timers.set(retry_at, move |proxy: &mut Proxy| {
                    proxy.buffering_timeout(key, since)
                });
            }
        } else if now < attempt.latest_streaming_start() {
            let at = attempt.buffering_deadline(now);
            self.timers.set(at, move |proxy: &mut Proxy| {
                proxy.buffering_timeout(key, since)
            });
        }
    }
}

/// The outcome of an unsuccessful response with a long body, which is not read: the head determines the outcome.
fn long_error_response(response: &Response) -> Option<(AttemptOutcome, LoadReport)> {
    let Response {
        message,
        outcome,
        load,
    } = response;
    let is_long = message
        .body_length()
        .is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES)
        || message.body_end - message.body_start > MAX_BUFFERED_BODY_BYTES;
    (*outcome != AttemptOutcome::Succeeded && is_long).then_some((*outcome, *load))
}
