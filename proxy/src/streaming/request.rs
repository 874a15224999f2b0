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
enum PieceMoved {
    /// A piece has moved or has been received, or the endpoint has taken the first one.
    Progress,
    /// The last piece has moved.
    LastPiece,
    /// The client has sent nothing more yet, or the endpoint takes no more.
    Pending,
    /// The client has left, and its connection is gone.
    ClientGone,
    /// The client has ended too early.
    ClientEnded,
    /// The body cannot be read.
    Malformed(RequestError),
}

/// Moves the next piece of a body from its client to the buffer of the connection to the endpoint.
fn move_next_piece(
    upload: &mut Upload,
    outbox: &mut Buffer,
    chunked: bool,
    now: f64,
) -> PieceMoved {
    if let Err(error) = upload.message.advance(upload.inbox) {
        return PieceMoved::Malformed(error.into());
    }
    upload.message.forward_body(upload.inbox, outbox, chunked);
    if upload.message.is_complete() {
        return PieceMoved::LastPiece;
    }
    if !outbox.filled().is_empty() {
        return PieceMoved::Progress;
    }
    let held_before = upload.inbox.filled().len();
    match upload.inbox.read_from(upload.stream) {
        ReadOutcome::Received => {
            *upload.received_bytes += upload.inbox.filled().len() - held_before;
            *upload.last_received_at = now;
            PieceMoved::Progress
        }
        ReadOutcome::WouldBlock => PieceMoved::Pending,
        ReadOutcome::Closed | ReadOutcome::Failed => PieceMoved::ClientEnded,
        ReadOutcome::BufferFull => PieceMoved::Malformed(RequestError::UndecodableBody),
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
                PieceMoved::Progress => {}
                PieceMoved::LastPiece | PieceMoved::Pending => return true,
                PieceMoved::ClientGone => {
                    // The endpoint never had the request whole.
                    self.fail_attempt(key, AttemptOutcome::Cancelled, LoadReport::default());
                    return false;
                }
                PieceMoved::ClientEnded => {
                    self.drop_downstream(client);
                    return false;
                }
                PieceMoved::Malformed(error) => {
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
    ) -> PieceMoved {
        let connection = &mut self.upstream.connections[key];
        let Some((stream, attempt)) = connection.stream_and_attempt() else {
            return PieceMoved::Pending;
        };
        let RequestState::Streamed(StreamedRequest { chunked, .. }) = attempt.request_state else {
            return PieceMoved::Pending;
        };
        let request = attempt.request;
        let Some(outbox) = attempt.write_piece(stream, now) else {
            self.request_write_blocked(key, client);
            return PieceMoved::Pending;
        };
        let Some(mut upload) = self.downstream.upload(client) else {
            return PieceMoved::ClientGone;
        };
        if !std::mem::replace(upload.released, true) {
            // The first piece is with the endpoint, and makes room for the next.
            upload.message.release(upload.inbox);
            if let Some(request) = request {
                self.streaming_progress(request, key, false);
            }
            return PieceMoved::Progress;
        }
        let moved = move_next_piece(&mut upload, outbox, chunked, now);
        if matches!(moved, PieceMoved::LastPiece) {
            attempt.finish_request_source();
        }
        moved
    }
}
