//! Requests too long for one buffer, fed to their server piece by piece: the client is read only once the
//! server has taken the piece before, so that neither side's pace costs more than two buffers.

use crate::buffers::{Buffer, ReadOutcome};
use crate::downstream::RequestError;
use crate::proxy::Proxy;
use crate::streaming::Upload;
use crankmux::types::{AttemptOutcome, LoadReport};

enum Fed {
    More,
    Whole,
    Later,
    /// The client has ended too early, or its body can't be read.
    Spoilt(Option<RequestError>),
}

/// Moves the next piece of a body from its client to the server's connection.
fn next(upload: &mut Upload, outbox: &mut Buffer, chunked: bool, now: f64) -> Fed {
    match upload.message.advance(upload.inbox) {
        Err(error) => return Fed::Spoilt(Some(error.into())),
        Ok(_) => {
            upload.message.forward_body(upload.inbox, outbox, chunked);
        }
    }
    if upload.message.is_complete() {
        return Fed::Whole;
    }
    if !outbox.filled().is_empty() {
        return Fed::More;
    }
    let before = upload.inbox.filled().len();
    match upload.inbox.read_from(upload.stream) {
        ReadOutcome::Received => {
            *upload.got += upload.inbox.filled().len() - before;
            *upload.moved = now;
            Fed::More
        }
        ReadOutcome::WouldBlock => Fed::Later,
        ReadOutcome::Closed | ReadOutcome::Failed => Fed::Spoilt(None),
        ReadOutcome::BufferFull => Fed::Spoilt(Some(RequestError::UndecodableBody)),
    }
}

impl Proxy {
    /// Feeds a push's request on, as far as both sides go. Whether its connection is still there: danger, a
    /// key given back stands for another connection, opened for the next push.
    pub fn feed(&mut self, key: usize) -> bool {
        let now = self.now();
        loop {
            let Some(link) = self.upstream.links.get_mut(key) else {
                return false;
            };
            let Some(client) = link.feeding else {
                return true;
            };
            if !link.drained() {
                self.note_idle(key, client);
                return true;
            }
            let (op, chunked) = (link.op, link.chunked);
            link.moved = now;
            let Some(mut upload) = self.downstream.upload(client) else {
                // Its client has gone, and its server never had it whole.
                self.fail(key, AttemptOutcome::Cancelled, LoadReport::default());
                return false;
            };
            if !std::mem::replace(upload.let_go, true) {
                // The first piece is with the server, and makes room for the next.
                upload.message.release(upload.inbox);
                self.streaming_progress(op, key, false);
                continue;
            }
            let Some(outbox) = &mut link.outbox else {
                return true;
            };
            match next(&mut upload, outbox, chunked, now) {
                Fed::More => {}
                Fed::Whole => {
                    link.feeding = None;
                    return true;
                }
                Fed::Later => return true,
                Fed::Spoilt(None) => {
                    self.drop_downstream(client);
                    return false;
                }
                Fed::Spoilt(Some(error)) => {
                    // Danger: a body that can't be read on, and half of it at a server. It never ran there.
                    self.counters.bad += 1;
                    self.reject_upload(client, error);
                    return false;
                }
            }
        }
    }
}
