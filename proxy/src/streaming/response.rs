//! Streaming of response bodies. The endpoint is read only after the client has taken the previous piece, so a response
//! never needs more than two buffers.

use crate::buffers::{Buffer, BufferUse, ReadOutcome};
use crate::http::{self, BodyFraming};
use crate::metrics::access::RequestOutcome;
use crate::proxy::Proxy;
use crate::slot_table::UpstreamKey;
use crate::upstream::{AttemptCompletion, ResponseState};
use crankmux::types::{AttemptOutcome, LoadReport};

/// Result of one step of streaming a response body.
enum ResponseStreamStep {
    /// A piece was received or forwarded.
    Progress,
    /// The last piece is in the client's write buffer.
    LastPiece,
    /// Reading from the endpoint or writing to the client would block.
    Pending,
    /// No buffer is free for the next piece.
    NoBuffer,
    /// The response is truncated or malformed.
    Failed,
}

/// How the end of a streamed response is indicated to its client.
fn response_framing(body_length: Option<usize>, accepts_chunked: bool) -> BodyFraming {
    match body_length {
        Some(length) => BodyFraming::Length(length),
        None if accepts_chunked => BodyFraming::Chunked,
        // The close delimits this response; a truncated one is reset instead.
        None => BodyFraming::UntilClose,
    }
}

impl Proxy {
    /// Sends head and first piece to the client. From here on the request cannot be retried. Returns false if no buffer is
    /// free for them; the response stays in the attempt's read buffer then.
    pub(crate) fn begin_response_stream(&mut self, key: UpstreamKey, read_buffer: Buffer) -> bool {
        let first_piece_end = self
            .upstream
            .attempt(key)
            .and_then(|attempt| attempt.response_state.response())
            .map_or(0, |response| response.message.body_end);
        if let Some(write_buffer) = self.buffers.take_reserved_for(first_piece_end) {
            self.begin_response_stream_in(key, read_buffer, write_buffer);
            return true;
        }
        self.counters.capacity_exhausted += 1;
        match self.upstream.attempt_mut(key) {
            Some(attempt) => attempt.read_buffer = Some(read_buffer),
            None => self.buffers.give_back(read_buffer),
        }
        false
    }

    fn begin_response_stream_in(
        &mut self,
        key: UpstreamKey,
        mut read_buffer: Buffer,
        write_buffer: Buffer,
    ) {
        let now = self.clock.now();
        let attempt = self.upstream.connections[key].attempt_mut();
        let Some((attempt, request)) = attempt.and_then(|a| a.request.map(|request| (a, request)))
        else {
            return self.cancel_response_stream(key, [read_buffer, write_buffer]);
        };
        let (Some(response), Some(client)) = (
            attempt.response_state.response(),
            self.requests.take_client(request),
        ) else {
            return self.cancel_response_stream(key, [read_buffer, write_buffer]);
        };
        let head = response.message.body_start;
        let end = response.message.body_end;
        let framing = response_framing(
            response.message.body_length(),
            self.downstream.accepts_chunked(client),
        );
        attempt.start_response_streaming(client, framing == BodyFraming::Chunked, now);
        let timer = self.upstream.connections[key].timer.take();
        self.timers.cancel(timer);
        self.streaming_progress(request, key, false);
        self.set_response_source(client, key, framing == BodyFraming::UntilClose);
        // Overwritten once the response is complete.
        self.downstream.set_outcome(client, RequestOutcome::Failed);
        self.begin_streamed_response(client, write_buffer, |close, write_buffer| {
            http::write_response_start(
                &read_buffer.filled()[..end],
                head,
                framing,
                close,
                write_buffer,
            )
        });
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return self.buffers.give_back(read_buffer);
        };
        if let Some(response) = attempt.response_state.response_mut() {
            response.message.consume(&mut read_buffer);
        }
        attempt.read_buffer = Some(read_buffer);
        self.upstream_timeout(key);
    }

    /// Cancels the attempt, as no client waits for its response any more.
    fn cancel_response_stream(&mut self, key: UpstreamKey, unused: [Buffer; 2]) {
        for buffer in unused {
            self.buffers.give_back(buffer);
        }
        self.fail_attempt(key, AttemptOutcome::Cancelled, LoadReport::default());
    }

    /// Streams a response body until either side would block or the connection's steps are used up.
    pub(crate) fn stream_response_body(&mut self, key: UpstreamKey) {
        while self.take_upstream_step(key) {
            match self.stream_response_piece(key) {
                ResponseStreamStep::Progress => {}
                ResponseStreamStep::Pending => return self.shrink_response_buffers(key),
                ResponseStreamStep::NoBuffer => return self.retry_without_buffer(key),
                ResponseStreamStep::LastPiece => return self.finish_response_stream(key),
                ResponseStreamStep::Failed => {
                    // This also closes the client connection, so that the client detects the truncation.
                    let outcome = AttemptOutcome::ConnectionLost;
                    return self.fail_attempt(key, outcome, LoadReport::default());
                }
            }
        }
    }

    /// Forwards the received piece to the client, or reads the next one.
    fn stream_response_piece(&mut self, key: UpstreamKey) -> ResponseStreamStep {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return ResponseStreamStep::Pending;
        };
        let ResponseState::Streaming {
            response,
            client,
            chunked,
            ..
        } = &mut attempt.response_state
        else {
            return ResponseStreamStep::Pending;
        };
        let client = *client;
        let Some(read_buffer) = &mut attempt.read_buffer else {
            return ResponseStreamStep::Pending;
        };
        let Some(write_buffer) = self.downstream.drained_response_buffer(client) else {
            return ResponseStreamStep::Pending;
        };
        let message = &mut response.message;
        let has_piece = message.body_end > message.body_start;
        if !has_piece && !message.is_complete() {
            let buffers = &mut self.buffers;
            return if buffers.size_for_pieces(read_buffer, write_buffer, BufferUse::Response) {
                self.read_response_piece(key, now)
            } else {
                ResponseStreamStep::NoBuffer
            };
        }
        let buffers = &mut self.buffers;
        if !buffers.grow_to(write_buffer, read_buffer, BufferUse::Response) {
            return ResponseStreamStep::NoBuffer;
        }
        message.move_body(read_buffer, write_buffer, *chunked);
        let is_last = message.is_complete();
        attempt.last_progress_at = now;
        self.downstream.restart_write_timeout(client, now);
        if is_last {
            return ResponseStreamStep::LastPiece;
        }
        self.flush_response(client);
        ResponseStreamStep::Progress
    }

    /// Frees what a stream that waits does not use of its buffers: the read buffer, and while memory is scarce the part of
    /// the write buffer that is not filled.
    fn shrink_response_buffers(&mut self, key: UpstreamKey) {
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return;
        };
        if let Some(read_buffer) = &mut attempt.read_buffer {
            self.buffers.shrink(read_buffer);
        }
        if let Some(client) = attempt.response_target() {
            if self.buffers.is_scarce() {
                self.downstream
                    .shrink_response_buffer(client, &mut self.buffers);
            }
        }
    }

    fn read_response_piece(&mut self, key: UpstreamKey, now: f64) -> ResponseStreamStep {
        let connection = &mut self.upstream.connections[key];
        let endpoint = connection.endpoint;
        let read_buffer = connection
            .attempt_mut()
            .and_then(|attempt| attempt.read_buffer.take());
        let Some(mut read_buffer) = read_buffer else {
            return ResponseStreamStep::Pending;
        };
        let read_outcome = connection.read_into(&mut read_buffer);
        if read_outcome == ReadOutcome::Received {
            self.upstream.record_activity(endpoint, now);
        }
        let Some(attempt) = self.upstream.connections[key].attempt_mut() else {
            self.buffers.give_back(read_buffer);
            return ResponseStreamStep::Pending;
        };
        if read_outcome == ReadOutcome::Received {
            attempt.last_progress_at = now;
        }
        let read_buffer = attempt.read_buffer.insert(read_buffer);
        let Some(response) = attempt.response_state.response_mut() else {
            return ResponseStreamStep::Pending;
        };
        let message = &mut response.message;
        let decoded = message.decode_body(read_buffer);
        match (&decoded, read_outcome) {
            (Ok(_), ReadOutcome::Received) => ResponseStreamStep::Progress,
            (Ok(_), ReadOutcome::WouldBlock) => ResponseStreamStep::Pending,
            (Ok(_), ReadOutcome::Closed) if message.ends_at_close() => {
                message.mark_complete();
                ResponseStreamStep::Progress
            }
            _ => {
                log::debug!(
                    "endpoint {endpoint}: streamed response is truncated or malformed: {decoded:?}, {read_outcome:?}"
                );
                ResponseStreamStep::Failed
            }
        }
    }

    /// Ends the attempt once the whole response is in the client's write buffer.
    fn finish_response_stream(&mut self, key: UpstreamKey) {
        let now = self.clock.now();
        let connection = &mut self.upstream.connections[key];
        let Some(attempt) = connection.finish_attempt(now) else {
            return;
        };
        let endpoint_duration_ms = attempt.endpoint_duration_ms(now);
        let ResponseState::Streaming {
            response, client, ..
        } = attempt.response_state
        else {
            return;
        };
        let has_extra_bytes = attempt
            .read_buffer
            .as_ref()
            .is_some_and(|read_buffer| !read_buffer.filled().is_empty());
        if let Some(read_buffer) = attempt.read_buffer {
            self.buffers.give_back(read_buffer);
        }
        self.counters.requests_succeeded += 1;
        self.downstream
            .set_outcome(client, RequestOutcome::Succeeded);
        self.downstream.end_response_source(client);
        self.keep_or_close(key, response.message.keep_alive && !has_extra_bytes);
        self.flush_response(client);
        self.downstream.mark_ready(client);
        let completion = AttemptCompletion {
            outcome: AttemptOutcome::Succeeded,
            load: response.load,
            response: None,
            endpoint_duration_ms,
        };
        (attempt.on_complete)(self, completion);
    }
}
