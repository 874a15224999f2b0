//! Requests too long for one buffer: the client is read only once the endpoint has taken the piece before, so that
//! neither side's pace costs more than two buffers.

use crate::buffers::{Buffer, Filled};
use crate::http::RequestError;
use crate::proxy::Proxy;
use crate::streaming::Upload;
use crate::upstream::RequestState;
use crankmux::types::{AttemptOutcome, LoadReport};

/// What moving the next piece of a body has come to.
enum PieceMoved {
    /// A piece has moved or has been received.
    Progress,
    /// The last piece has moved.
    LastPiece,
    /// The client has sent nothing more yet.
    Pending,
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
    if let Err(status) = upload.message.advance(upload.inbox) {
        return PieceMoved::Malformed(status);
    }
    upload.message.move_on(upload.inbox, outbox, chunked);
    if upload.message.whole() {
        return PieceMoved::LastPiece;
    }
    if !outbox.held().is_empty() {
        return PieceMoved::Progress;
    }
    let held_before = upload.inbox.held().len();
    match upload.inbox.fill(upload.stream) {
        Filled::Some => {
            *upload.received_bytes += upload.inbox.held().len() - held_before;
            *upload.last_received_at = now;
            PieceMoved::Progress
        }
        Filled::Later => PieceMoved::Pending,
        Filled::Ended | Filled::Broken => PieceMoved::ClientEnded,
        Filled::Full => PieceMoved::Malformed(400),
    }
}

impl Proxy {
    /// Streams a request body on, as far as client and endpoint go. Returns whether the connection is still there:
    /// a key given back may stand for the connection of the next attempt.
    pub(crate) fn stream_request_body(&mut self, key: usize) -> bool {
        let now = self.now();
        loop {
            let Some(connection) = self.upstream.connections.get_mut(key) else {
                return false;
            };
            let Some((stream, attempt)) = connection.stream_and_attempt() else {
                return true;
            };
            let RequestState::Streamed(streamed) = &attempt.request_state else {
                return true;
            };
            let Some(client) = streamed.source else {
                return true;
            };
            let chunked = streamed.chunked;
            let request = attempt.request;
            let Some(outbox) = attempt.write_piece(stream, now) else {
                self.endpoint_takes_no_more(key, client);
                return true;
            };
            let Some(mut upload) = self.downstream.upload(client) else {
                // The client has left, and the endpoint never had the request whole.
                self.fail_attempt(key, AttemptOutcome::Cancelled, LoadReport::default());
                return false;
            };
            if !std::mem::replace(upload.released, true) {
                // The first piece is with the endpoint, and makes room for the next.
                upload.message.let_go(upload.inbox);
                if let Some(request) = request {
                    self.streaming_progress(request, key, false);
                }
                continue;
            }
            match move_next_piece(&mut upload, outbox, chunked, now) {
                PieceMoved::Progress => {}
                PieceMoved::LastPiece => {
                    attempt.request_source_finished();
                    return true;
                }
                PieceMoved::Pending => return true,
                PieceMoved::ClientEnded => {
                    self.drop_downstream(client);
                    return false;
                }
                PieceMoved::Malformed(status) => {
                    // The endpoint has half of the body and so never ran the request.
                    self.counters.bad += 1;
                    self.reject_upload(client, status);
                    return false;
                }
            }
        }
    }
}
