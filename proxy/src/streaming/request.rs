//! Requests too long for one buffer: the client is read only once the endpoint has taken the piece before, so that
//! neither side's pace costs more than two buffers.

use crate::buffers::{Buffer, ReadOutcome};
use crate::downstream::RequestError;
use crate::proxy::Proxy;
use crate::slot_table::{DownstreamKey, UpstreamKey};
use crate::streaming::Upload;
use crate::upstream::{RequestState, StreamedRequest};
use crankmux::types::{AttemptOutcome, LoadReport};

/// What moving the next piece of a body has come to.
enum RequestStreamStep {
    /// A piece has moved or has been received, or the endpoint has taken the first one.
    Progress,
    /// The last piece has moved.
    LastPiece,
    /// The client has sent nothing more yet, or the endpoint takes no more.
    Pending,
    /// The client has left, and its connection is gone.
    ClientGone,
    /// The client has ended too early.
    IncompleteBody,
    /// The body cannot be read.
    Malformed(RequestError),
}

/// Moves the next piece of a body from its client to the buffer of the connection to the endpoint.
fn move_request_piece(
    upload: &mut Upload,
    write_buffer: &mut Buffer,
    chunked: bool,
    now: f64,
) -> RequestStreamStep {
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
    let length_before_read = upload.read_buffer.filled().len();
    match upload.read_buffer.read_from(upload.stream) {
        ReadOutcome::Received => {
            *upload.received_bytes += upload.read_buffer.filled().len() - length_before_read;
            *upload.last_received_at = now;
            RequestStreamStep::Progress
        }
        ReadOutcome::WouldBlock => RequestStreamStep::Pending,
        ReadOutcome::Closed | ReadOutcome::Failed => RequestStreamStep::IncompleteBody,
        ReadOutcome::BufferFull => RequestStreamStep::Malformed(RequestError::UndecodableBody),
    }
}

impl Proxy {
    /// Streams a request body on, as far as client and endpoint go. Returns whether the connection is still there:
    /// a key given back may stand for the connection of the next attempt.
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
            match self.stream_request_piece(key, client, now) {
                RequestStreamStep::Progress => {}
                RequestStreamStep::LastPiece | RequestStreamStep::Pending => return true,
                RequestStreamStep::ClientGone => {
                    // The endpoint never had the request whole.
                    self.fail_attempt(key, AttemptOutcome::Cancelled, LoadReport::default());
                    return false;
                }
                RequestStreamStep::IncompleteBody => {
                    self.close_downstream(client);
                    return false;
                }
                RequestStreamStep::Malformed(error) => {
                    // The endpoint has half of the body and so never ran the request.
                    self.counters.invalid_requests += 1;
                    self.reject_upload(client, error);
                    return false;
                }
            }
        }
    }

    /// Writes the pending piece, and once the endpoint has taken it moves the next one up.
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
            self.endpoint_takes_no_more(key, client);
            return RequestStreamStep::Pending;
        };
        let Some(mut upload) = self.downstream.upload(client) else {
            return RequestStreamStep::ClientGone;
        };
        if !std::mem::replace(upload.first_piece_sent, true) {
            // The first piece is with the endpoint, and makes room for the next.
            upload.message.consume(upload.read_buffer);
            if let Some(request) = request {
                self.streaming_progress(request, key, false);
            }
            return RequestStreamStep::Progress;
        }
        let moved = move_request_piece(&mut upload, write_buffer, chunked, now);
        if matches!(moved, RequestStreamStep::LastPiece) {
            attempt.request_source_finished();
        }
        moved
    }
}
