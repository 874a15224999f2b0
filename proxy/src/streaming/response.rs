//! Responses too long for one buffer: the endpoint is read only once the client has taken the piece before, so that
//! neither side's pace costs more than two buffers.

use crate::buffers::{Buffer, ReadOutcome};
use crate::http::{self, BodyFraming};
use crate::metrics::access::RequestOutcome;
use crate::proxy::Proxy;
use crate::slot_table::UpstreamKey;
use crate::upstream::{AttemptCompletion, ResponseState};
use crankmux::types::{AttemptOutcome, LoadReport};

/// What streaming one piece has come to.
enum PieceStreamed {
    /// A piece has moved or has been received.
    Progress,
    /// The last piece is with the client's connection.
    LastPiece,
    /// Client or endpoint are not ready for the next piece.
    Pending,
    /// The response breaks off.
    Broken,
}

impl Proxy {
    /// Sends head and first piece to the client, whose final response it is from now on.
    pub(crate) fn begin_response_stream(&mut self, key: UpstreamKey, mut inbox: Buffer) {
        let now = self.clock.now();
        let attempt = self.upstream.connections[key].attempt_mut();
        let Some((attempt, request)) = attempt.and_then(|a| a.request.map(|request| (a, request)))
        else {
            return self.cancel_response_stream(key, inbox);
        };
        let (Some(response), Some(client)) = (
            attempt.response_state.response(),
            self.requests.take_client(request),
        ) else {
            return self.cancel_response_stream(key, inbox);
        };
        let head = response.message.body_start;
        let end = response.message.body_end;
        let framing = match response.message.body_length() {
            Some(length) => BodyFraming::Length(length),
            None if self.downstream.accepts_chunked(client) => BodyFraming::Chunked,
            // Only the connection's end delimits the response, so one cut short is reset.
            None => BodyFraming::UntilClose,
        };
        attempt.start_response_streaming(client, framing == BodyFraming::Chunked, now);
        let timer = self.upstream.connections[key].timer.take();
        self.timers.cancel(timer);
        self.streaming_progress(request, key, false);
        self.write_to_client(client, key, framing == BodyFraming::UntilClose);
        // Until its last byte is with the client.
        self.downstream.set_outcome(client, RequestOutcome::Failed);
        self.answer_by(client, |close, outbox| {
            http::write_response_start(&inbox.filled()[..end], head, framing, close, outbox)
        });
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return self.buffers.give_back(inbox);
        };
        if let Some(response) = attempt.response_state.response_mut() {
            response.message.release(&mut inbox);
        }
        attempt.read_buffer = Some(inbox);
        self.upstream_timeout(key);
    }

    /// Nobody waits for the response any more.
    fn cancel_response_stream(&mut self, key: UpstreamKey, inbox: Buffer) {
        self.buffers.give_back(inbox);
        self.fail_attempt(key, AttemptOutcome::Cancelled, LoadReport::default());
    }

    /// Streams a response body on, as far as endpoint and client go.
    pub(crate) fn stream_response_body(&mut self, key: UpstreamKey) {
        loop {
            match self.stream_piece(key) {
                PieceStreamed::Progress => {}
                PieceStreamed::Pending => return,
                PieceStreamed::LastPiece => return self.response_streamed(key),
                PieceStreamed::Broken => {
                    // The client is cut off with the connection, so that it can tell.
                    let outcome = AttemptOutcome::ConnectionLost;
                    return self.fail_attempt(key, outcome, LoadReport::default());
                }
            }
        }
    }

    /// Moves the piece that is here to the client, or reads the next one.
    fn stream_piece(&mut self, key: UpstreamKey) -> PieceStreamed {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return PieceStreamed::Pending;
        };
        let ResponseState::Streaming {
            response,
            client,
            chunked,
            ..
        } = &mut attempt.response_state
        else {
            return PieceStreamed::Pending;
        };
        let client = *client;
        let Some(inbox) = &mut attempt.read_buffer else {
            return PieceStreamed::Pending;
        };
        let Some(outbox) = self.downstream.drained_response_buffer(client) else {
            return PieceStreamed::Pending;
        };
        let message = &mut response.message;
        let has_piece = message.body_end > message.body_start;
        if !has_piece && !message.is_complete() {
            return self.receive_piece(key, now);
        }
        message.forward_body(inbox, outbox, *chunked);
        let is_last = message.is_complete();
        attempt.last_progress_at = now;
        self.downstream.restart_response_timeout(client, now);
        if is_last {
            return PieceStreamed::LastPiece;
        }
        self.write_answer(client);
        PieceStreamed::Progress
    }

    fn receive_piece(&mut self, key: UpstreamKey, now: f64) -> PieceStreamed {
        let connection = &mut self.upstream.connections[key];
        let endpoint = connection.endpoint;
        let inbox = connection
            .attempt_mut()
            .and_then(|attempt| attempt.read_buffer.take());
        let Some(mut inbox) = inbox else {
            return PieceStreamed::Pending;
        };
        let filled = connection.read_into(&mut inbox);
        if filled == ReadOutcome::Received {
            self.upstream.record_activity(endpoint, now);
        }
        let Some(attempt) = self.upstream.connections[key].attempt_mut() else {
            self.buffers.give_back(inbox);
            return PieceStreamed::Pending;
        };
        if filled == ReadOutcome::Received {
            attempt.last_progress_at = now;
        }
        let inbox = attempt.read_buffer.insert(inbox);
        let Some(response) = attempt.response_state.response_mut() else {
            return PieceStreamed::Pending;
        };
        let message = &mut response.message;
        let read = message.advance(inbox);
        match (&read, filled) {
            (Ok(_), ReadOutcome::Received) => PieceStreamed::Progress,
            (Ok(_), ReadOutcome::WouldBlock) => PieceStreamed::Pending,
            (Ok(_), ReadOutcome::Closed) if message.ends_at_close() => {
                message.complete();
                PieceStreamed::Progress
            }
            _ => {
                log::debug!(
                    "endpoint {endpoint}: a long response breaks off: {read:?}, {filled:?}"
                );
                PieceStreamed::Broken
            }
        }
    }

    /// All of the response is with the client's connection.
    fn response_streamed(&mut self, key: UpstreamKey) {
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
        let has_bytes_behind = attempt
            .read_buffer
            .as_ref()
            .is_some_and(|inbox| !inbox.filled().is_empty());
        if let Some(inbox) = attempt.read_buffer {
            self.buffers.give_back(inbox);
        }
        self.counters.requests_succeeded += 1;
        self.downstream
            .set_outcome(client, RequestOutcome::Succeeded);
        self.downstream.end_response_source(client);
        self.keep_or_close(key, response.message.keep_alive && !has_bytes_behind);
        self.write_answer(client);
        self.downstream.serve_later(client);
        let completion = AttemptCompletion {
            outcome: AttemptOutcome::Succeeded,
            load: response.load,
            response: None,
            endpoint_duration_ms,
        };
        (attempt.on_complete)(self, completion);
    }
}
