//! Receiving: the response of an attempt is read, and either held until it is whole or streamed to its client.

use super::response::log_excerpt;
use super::{Response, ResponseState};
use crate::buffers::{Buffer, ReadOutcome, MAX_BUFFERED_BODY_BYTES};
use crate::proxy::Proxy;
use crate::slot_table::UpstreamKey;
use crate::streaming::FIRST_PIECE_BYTES;
use crankmux::types::{AttemptOutcome, LoadReport};

/// What is to be done after a read.
enum ReadStep {
    /// The response is complete.
    Complete(Buffer),
    /// The response is too long to be held, and goes to its client in pieces.
    Stream(Buffer),
    /// The attempt has ended with this outcome; the rest of the response is of no interest.
    Ended(AttemptOutcome, LoadReport),
    /// The connection or the response is broken.
    Broken,
    /// There is nothing more to be read for now.
    Wait,
    /// There may be more to be read.
    Continue,
}

impl Proxy {
    /// Reads what has come of a response.
    pub(super) fn read_response(&mut self, key: UpstreamKey) {
        let attempt = self.upstream.connections[key].attempt();
        if attempt.is_some_and(|attempt| attempt.response_target().is_some()) {
            return self.stream_response_body(key);
        }
        loop {
            match self.read_once(key) {
                ReadStep::Continue => {}
                ReadStep::Wait => return,
                ReadStep::Complete(inbox) => return self.response_received(key, inbox),
                ReadStep::Stream(inbox) => {
                    self.begin_response_stream(key, inbox);
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
        let inbox = connection
            .attempt_mut()
            .and_then(|attempt| attempt.inbox.take());
        let Some(mut inbox) = inbox.or_else(|| self.buffers.take_reserved()) else {
            // The response is lost; the request may have run.
            self.counters.capacity_exhausted += 1;
            return ReadStep::Ended(AttemptOutcome::ConnectionLost, LoadReport::default());
        };
        let filled = connection.read_into(&mut inbox);
        if filled == ReadOutcome::Received {
            self.upstream.note_heard(endpoint, self.clock.now());
        }
        self.handle_received(key, inbox, filled)
    }

    /// Decides what is to be done with what has been received so far.
    fn handle_received(
        &mut self,
        key: UpstreamKey,
        mut inbox: Buffer,
        filled: ReadOutcome,
    ) -> ReadStep {
        let connection = &mut self.upstream.connections[key];
        let endpoint = connection.endpoint;
        let Some(attempt) = connection.attempt_mut() else {
            self.buffers.give_back(inbox);
            return ReadStep::Wait;
        };
        let is_complete = match attempt.read_response(&mut inbox) {
            Ok(is_complete) => is_complete,
            Err(status) => {
                log::debug!(
                    "endpoint {endpoint}: a response that cannot be read ({status}): {}",
                    log_excerpt(&inbox)
                );
                attempt.inbox = Some(inbox);
                return ReadStep::Broken;
            }
        };
        let response = attempt.response_state.response();
        let ends_here = response.is_some_and(|response| response.message.ends_at_close());
        if is_complete || (filled == ReadOutcome::Closed && ends_here) {
            return ReadStep::Complete(inbox);
        }
        if attempt.must_stream_response(&inbox) {
            if attempt.request.is_some() {
                return ReadStep::Stream(inbox);
            }
            // No load report is so long, and no client waits for it.
            attempt.inbox = Some(inbox);
            return ReadStep::Broken;
        }
        if let Some((outcome, load)) = response.and_then(refusal_with_long_body) {
            attempt.inbox = Some(inbox);
            return ReadStep::Ended(outcome, load);
        }
        self.hold_back(key, inbox);
        match filled {
            ReadOutcome::Received => ReadStep::Continue,
            ReadOutcome::WouldBlock => ReadStep::Wait,
            ReadOutcome::Closed | ReadOutcome::Failed | ReadOutcome::BufferFull => ReadStep::Broken,
        }
    }

    /// Keeps what has come of a response that is not whole. One that may have to be streamed is looked at again.
    fn hold_back(&mut self, key: UpstreamKey, inbox: Buffer) {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.connections[key].attempt_mut() else {
            return self.buffers.give_back(inbox);
        };
        if attempt.request.is_some() && attempt.may_stream_response() {
            let at = attempt.held_until(now);
            if let ResponseState::Buffering { held_since, .. } = &mut attempt.response_state {
                if held_since.is_none() {
                    *held_since = Some(now);
                    self.timers.set(at, move |proxy: &mut Proxy| {
                        proxy.held_back_long_enough(key, now)
                    });
                }
            }
        }
        if inbox.filled().is_empty() {
            self.buffers.give_back(inbox);
        } else {
            attempt.inbox = Some(inbox);
        }
    }

    /// A response has been held back for as long as it may be since a time. A long one of unknown length whose
    /// endpoint pauses would otherwise be held back from a client that waits, or be cut off at the deadline though
    /// it comes. One that has brought little is no long one yet: it may take until the deadline, and as long as
    /// nothing of it has gone to the client the request may be retried.
    fn held_back_long_enough(&mut self, key: UpstreamKey, since: f64) {
        let now = self.clock.now();
        let Some(attempt) = self.upstream.attempt_mut(key) else {
            return;
        };
        let ResponseState::Buffering {
            response,
            held_since: Some(held_since),
        } = &attempt.response_state
        else {
            return;
        };
        if *held_since != since {
            return;
        }
        let tells_length = response.message.body_length().is_some();
        let ready = attempt
            .inbox
            .take_if(|inbox| tells_length || inbox.filled().len() >= FIRST_PIECE_BYTES);
        if let Some(inbox) = ready {
            self.begin_response_stream(key, inbox);
            self.stream_response_body(key);
        } else if now < attempt.latest_stream_start() {
            let at = attempt.held_until(now);
            self.timers.set(at, move |proxy: &mut Proxy| {
                proxy.held_back_long_enough(key, since)
            });
        }
    }
}

/// A refusal needs no long body: its head has said it.
fn refusal_with_long_body(response: &Response) -> Option<(AttemptOutcome, LoadReport)> {
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
