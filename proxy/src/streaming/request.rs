//! Streaming of request bodies. The client is read only after the endpoint has taken the previous piece, so a request
//! never needs more than two buffers.

use crate::buffers::{Buffer, BufferPool, BufferUse, ReadOutcome};
use crate::downstream::RequestError;
use crate::proxy::Proxy;
use crate::slot_table::{DownstreamKey, UpstreamKey};
use crate::streaming::Upload;
use crate::upstream::{RequestState, StreamedRequest};
use crankmux::types::{AttemptOutcome, LoadReport};

/// Result of one step of streaming a request body.
enum RequestStreamStep {
    /// A piece was received or forwarded.
    Progress,
    /// The last piece is in the endpoint's write buffer.
    LastPiece,
    /// Reading from the client or writing to the endpoint would block.
    Pending,
    /// No buffer is free for the next piece.
    NoBuffer,
    /// The client connection no longer exists.
    ClientGone,
    /// The client closed its connection before the body was complete.
    IncompleteBody,
    /// The body cannot be decoded.
    Malformed(RequestError),
}

/// Moves the next piece of a body from the client to the write buffer of the endpoint connection.
fn move_request_piece(
    upload: &mut Upload,
    write_buffer: &mut Buffer,
    buffers: &mut BufferPool,
    chunked: bool,
    now: f64,
) -> RequestStreamStep {
    // The client may have been read ahead.
    if !buffers.grow_to(write_buffer, upload.read_buffer, BufferUse::Request) {
        return RequestStreamStep::NoBuffer;
    }
    if let Err(error) = upload.message.decode_body(upload.read_buffer) {
        return RequestStreamStep::Malformed(error.into());
    }
    upload
        .message
        .move_body(upload.read_buffer, write_buffer, chunked);
    if upload.message.is_complete() {
        return RequestStreamStep::LastPiece;
    }
    if !write_buffer.filled().is_empty() {
        return RequestStreamStep::Progress;
    }
    if !buffers.size_for_pieces(upload.read_buffer, write_buffer, BufferUse::Request) {
        return RequestStreamStep::NoBuffer;
    }
    let length_before_read = upload.read_buffer.filled().len();
    match upload.read_buffer.read_from(upload.stream) {
        ReadOutcome::Received => {
            let received = upload.read_buffer.filled().len() - length_before_read;
            *upload.received_bytes += received;
            *upload.last_received_at = now;
            upload.arrival.record_read(received, now);
            RequestStreamStep::Progress
        }
        ReadOutcome::WouldBlock => RequestStreamStep::Pending,
        ReadOutcome::Closed | ReadOutcome::Failed => RequestStreamStep::IncompleteBody,
        ReadOutcome::BufferFull => RequestStreamStep::Malformed(RequestError::UndecodableBody),
    }
}

impl Proxy {
    /// Streams a request body until either side would block or the connection's steps are used up. Returns whether the
    /// connection still exists; if not, its key may already be reused for another attempt.
    pub(crate) fn stream_request_body(&mut self, key: UpstreamKey) -> bool {
        let now = self.now();
        loop {
            let Some(connection) = self.upstream.connections.get(key) else {
                return false;
            };
            let source = connection
                .attempt()
                .and_then(|attempt| attempt.request_source());
            let Some(client) = source else {
                return true;
            };
            if !self.take_upstream_step(key) {
                return true;
            }
            match self.stream_request_piece(key, client, now) {
                RequestStreamStep::Progress => {}
                RequestStreamStep::LastPiece => return true,
                RequestStreamStep::Pending => {
                    self.shrink_request_buffers(key, client);
                    return true;
                }
                RequestStreamStep::NoBuffer => {
                    self.retry_without_buffer(key);
                    return true;
                }
                RequestStreamStep::ClientGone => {
                    // The endpoint has not received the whole request.
                    self.fail_attempt(key, AttemptOutcome::Cancelled, LoadReport::default());
                    return false;
                }
                RequestStreamStep::IncompleteBody => {
                    self.close_downstream(client);
                    return false;
                }
                RequestStreamStep::Malformed(error) => {
                    // The endpoint has only part of the body, so it cannot have processed the request.
                    self.counters.invalid_requests += 1;
                    self.reject_upload(client, error);
                    return false;
                }
            }
        }
    }

    /// Frees what a stream that waits does not use of its buffers, once the client's is the attempt's alone.
    fn shrink_request_buffers(&mut self, key: UpstreamKey, client: DownstreamKey) {
        let Some(upload) = self.downstream.upload(client) else {
            return;
        };
        if *upload.body_target != Some(key) {
            return;
        }
        self.buffers.shrink(upload.read_buffer);
        if let Some(attempt) = self.upstream.attempt_mut(key) {
            attempt.shrink_write_buffer(&mut self.buffers);
        }
    }

    /// Writes the pending piece to the endpoint, then moves the next one into the write buffer.
    fn stream_request_piece(
        &mut self,
        key: UpstreamKey,
        client: DownstreamKey,
        now: f64,
    ) -> RequestStreamStep {
        let connection = &mut self.upstream.connections[key];
        let Some((stream, attempt)) = connection.stream_and_attempt() else {
            return RequestStreamStep::Pending;
        };
        let RequestState::Streamed(StreamedRequest { chunked, .. }) = attempt.request_state else {
            return RequestStreamStep::Pending;
        };
        let request = attempt.request;
        let Some(write_buffer) = attempt.write_piece(stream, now) else {
            self.request_write_blocked(key, client);
            return RequestStreamStep::Pending;
        };
        let Some(mut upload) = self.downstream.upload(client) else {
            return RequestStreamStep::ClientGone;
        };
        if upload.body_target.is_none() {
            // The first piece has been written, so its bytes can be removed from the read buffer.
            *upload.body_target = Some(key);
            upload.message.consume(upload.read_buffer);
            if let Some(request) = request {
                self.streaming_progress(request, key, false);
                self.cancel_other_attempts(request, key);
            }
            return RequestStreamStep::Progress;
        }
        debug_assert_eq!(
            *upload.body_target,
            Some(key),
            "only one attempt streams the body"
        );
        let buffers = &mut self.buffers;
        let moved = move_request_piece(&mut upload, write_buffer, buffers, chunked, now);
        if matches!(moved, RequestStreamStep::LastPiece) {
            attempt.finish_request_source(upload.arrival.record_complete());
            let stall_deadline = attempt.stall_deadline();
            self.set_attempt_timer(key, stall_deadline);
        }
        moved
    }
}
