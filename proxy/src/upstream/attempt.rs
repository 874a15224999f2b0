//! An attempt on its connection: how far its request is written, and how far its response is read. The two go on
//! side by side, as an endpoint may answer before it has read the whole request.

use super::request_state::{RequestState, StreamedRequest};
use super::response::{read_response, Response};
use super::response_state::ResponseState;
use crate::buffers::{Buffer, MAX_BUFFERED_BODY_BYTES};
use crate::http::{Message, ParseError};
use crate::slot_table::DownstreamKey;
use crate::streaming::{
    BUFFERING_LIMIT_MS, FIRST_PIECE_BYTES, SHORT_RESPONSE_GRACE_MS, STALL_TIMEOUT_MS,
};
use crankmux::types::{AttemptOutcome, LoadReport, RequestId};
use mio::net::TcpStream;

/// What is kept of a request's time for the way of a response's first bytes: the slack that the protocol allows,
/// and a few times what a turn of the event loop takes where many proxies share cores.
const DELIVERY_RESERVE_MS: f64 = 50.0;

/// A response that has been received whole.
pub struct BufferedResponse {
    /// The buffer that holds its head and body.
    pub buffer: Buffer,
    /// Where head and body end in the buffer.
    pub message: Message,
}

/// What an attempt has come to.
pub struct AttemptResponse {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The load that the endpoint reported with it.
    pub load: LoadReport,
    /// The response, where it was received whole and has not been streamed to the client.
    pub answer: Option<BufferedResponse>,
    /// How long the endpoint took, where that is not the time since the attempt began.
    pub endpoint_duration_ms: Option<f64>,
}

impl AttemptResponse {
    /// An attempt that brought no response.
    pub fn without_answer(outcome: AttemptOutcome) -> Self {
        AttemptResponse {
            outcome,
            load: LoadReport::default(),
            answer: None,
            endpoint_duration_ms: None,
        }
    }
}

/// What is called once an attempt has ended.
pub type CompletionCallback<P> = Box<dyn FnOnce(&mut P, AttemptResponse)>;

/// An attempt, from the time it is given a connection until its outcome is handed to its completion callback.
pub struct Attempt<P> {
    /// The request that it is for; none for a load probe.
    pub request: Option<RequestId>,
    /// What is called with its outcome.
    pub on_complete: CompletionCallback<P>,
    pub(super) started_at: f64,
    pub(super) timeout_ms: f64,
    pub(super) deadline: f64,
    /// When anything was last read or written, where a body is streamed.
    pub last_progress_at: f64,
    /// Whether a write has failed. The failed write took the socket's error along, so that a read after it reports
    /// an end in good order.
    pub(super) write_failed: bool,
    /// How far the request is written.
    pub request_state: RequestState,
    /// How far the response is read.
    pub response_state: ResponseState,
    /// Bytes received that are not handled yet.
    pub inbox: Option<Buffer>,
}

impl<P> Attempt<P> {
    /// An attempt of which nothing is written yet.
    pub fn new(
        request: Option<RequestId>,
        request_state: RequestState,
        now: f64,
        timeout_ms: f64,
        on_complete: CompletionCallback<P>,
    ) -> Self {
        Attempt {
            request,
            on_complete,
            started_at: now,
            timeout_ms,
            deadline: now + timeout_ms,
            last_progress_at: now,
            write_failed: false,
            request_state,
            response_state: ResponseState::AwaitingHead,
            inbox: None,
        }
    }

    /// Whether no byte of the request has been written.
    pub fn is_unsent(&self) -> bool {
        self.request_state
            .pending()
            .is_some_and(|pending| !pending.is_started())
    }

    /// Whether the request is written whole. Before that the endpoint cannot have run it.
    pub fn is_written(&self) -> bool {
        matches!(self.request_state, RequestState::Written { .. })
    }

    /// The client that more of the request comes from.
    pub fn request_source(&self) -> Option<DownstreamKey> {
        match &self.request_state {
            RequestState::Streamed(streamed) => streamed.source,
            RequestState::Buffered(_) | RequestState::Written { .. } => None,
        }
    }

    /// Whether all that has come of a streamed request is written, so that it is the client's turn.
    pub(super) fn awaits_request_source(&self) -> bool {
        self.request_source().is_some()
            && self
                .request_state
                .pending()
                .is_some_and(|pending| pending.is_empty())
    }

    /// The client that the response is streamed to.
    pub fn response_target(&self) -> Option<DownstreamKey> {
        match &self.response_state {
            ResponseState::Streaming { client, .. } => Some(*client),
            ResponseState::AwaitingHead | ResponseState::Buffering { .. } => None,
        }
    }

    /// How long the endpoint worked at a request with a streamed body: without the time in which a client sent or
    /// took that body.
    pub fn endpoint_duration_ms(&self, now: f64) -> Option<f64> {
        let request_streamed_at = match &self.request_state {
            RequestState::Written { streamed_at } => *streamed_at,
            RequestState::Buffered(_) | RequestState::Streamed(_) => None,
        };
        let response_began_at = match &self.response_state {
            ResponseState::Streaming { started_at, .. } => Some(*started_at),
            ResponseState::AwaitingHead | ResponseState::Buffering { .. } => None,
        };
        if request_streamed_at.is_none() && response_began_at.is_none() {
            return None;
        }
        let from = request_streamed_at.unwrap_or(self.started_at);
        Some(response_began_at.unwrap_or(now) - from)
    }

    // Transitions of the request.

    /// Writes the last piece of the request. Once its last byte has been written the request's time starts, if it
    /// was streamed, and the buffer is returned.
    pub(super) fn write_last_piece(&mut self, stream: &mut TcpStream, now: f64) -> Option<Buffer> {
        let pending = match &mut self.request_state {
            RequestState::Buffered(pending) => pending,
            RequestState::Streamed(streamed) if streamed.source.is_none() => &mut streamed.pending,
            RequestState::Streamed(_) | RequestState::Written { .. } => return None,
        };
        match pending.write_to(stream) {
            Ok(true) => self.request_written(now),
            Ok(false) => None,
            Err(_) => {
                // A response may have come before the request was through; reading shows.
                self.write_failed = true;
                None
            }
        }
    }

    fn request_written(&mut self, now: f64) -> Option<Buffer> {
        let streamed_at = match &self.request_state {
            RequestState::Streamed(streamed) => {
                let received_at = streamed.rest_received_at.unwrap_or(now);
                self.deadline = received_at + self.timeout_ms;
                Some(now)
            }
            RequestState::Buffered(_) => None,
            RequestState::Written { streamed_at } => *streamed_at,
        };
        let written = RequestState::Written { streamed_at };
        std::mem::replace(&mut self.request_state, written).into_buffer()
    }

    /// Writes the pending piece of a streamed request. Returns its buffer, empty, for the next piece, or none where
    /// the endpoint takes no more for now.
    pub fn write_piece(&mut self, stream: &mut TcpStream, now: f64) -> Option<&mut Buffer> {
        let RequestState::Streamed(streamed) = &mut self.request_state else {
            return None;
        };
        let result = streamed.pending.write_to(stream);
        self.write_failed |= result.is_err();
        // An error shows as the connection is read.
        if !matches!(result, Ok(true)) {
            return None;
        }
        self.last_progress_at = now;
        Some(streamed.pending.clear())
    }

    /// The last piece of a streamed request is pending.
    pub fn request_source_finished(&mut self) {
        if let RequestState::Streamed(streamed) = &mut self.request_state {
            streamed.source = None;
        }
    }

    // Transitions of the response.

    /// Goes on through the bytes received; returns whether the response is whole.
    pub(super) fn read_response(&mut self, inbox: &mut Buffer) -> Result<bool, ParseError> {
        if let Some(response) = self.response_state.response_mut() {
            return response.message.decode_body(inbox);
        }
        let Some(mut response) = read_response(inbox)? else {
            return Ok(false);
        };
        let is_complete = response.message.decode_body(inbox);
        self.response_state = ResponseState::Buffering {
            response,
            held_since: None,
        };
        is_complete
    }

    /// The response goes to its client in pieces from now on.
    pub fn response_streaming_began(&mut self, client: DownstreamKey, chunked: bool, now: f64) {
        let state = std::mem::replace(&mut self.response_state, ResponseState::AwaitingHead);
        if let Some(response) = state.into_response() {
            self.response_state = ResponseState::Streaming {
                response,
                client,
                chunked,
                started_at: now,
            };
        }
        self.last_progress_at = now;
    }

    // Whether, and until when, the response is held back.

    /// The response, where it may be streamed: a good one to a request written whole.
    fn streamable_response(&self) -> Option<&Response> {
        self.response_state
            .response()
            .filter(|response| self.is_written() && response.outcome == AttemptOutcome::Succeeded)
    }

    /// Whether the response is to be streamed now: it is longer than a buffer holds.
    pub(super) fn must_stream_response(&self, inbox: &Buffer) -> bool {
        let Some(Response { message, .. }) = self.streamable_response() else {
            return false;
        };
        let received = inbox.filled().len() - message.body_start;
        let is_long = message
            .body_length()
            .is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES);
        received > MAX_BUFFERED_BODY_BYTES || (is_long && received >= FIRST_PIECE_BYTES)
    }

    /// Whether the response will be streamed if it is not whole soon.
    pub(super) fn may_stream_response(&self) -> bool {
        self.streamable_response().is_some_and(|response| {
            response
                .message
                .body_length()
                .is_none_or(|length| length > MAX_BUFFERED_BODY_BYTES)
        })
    }

    /// Until when a response that may have to be streamed is held back from now on.
    pub(super) fn held_until(&self, now: f64) -> f64 {
        (now + BUFFERING_LIMIT_MS)
            .min(self.latest_stream_start())
            .max(now)
    }

    /// After that a response is no longer streamed, as its first bytes would come too late.
    pub(super) fn latest_stream_start(&self) -> f64 {
        self.deadline - DELIVERY_RESERVE_MS
    }

    /// When a streamed body has stood still for too long. Two cases have less than the common limit, as their
    /// client waits for something that is lost: a response of unknown length that goes on past its request's
    /// deadline and may be short, and a request whose client has sent all of it to an endpoint that is cut off and
    /// takes no more.
    pub(super) fn stalls_at(&self) -> f64 {
        if let RequestState::Streamed(StreamedRequest {
            rest_received_at: Some(received_at),
            ..
        }) = &self.request_state
        {
            return received_at + self.timeout_ms;
        }
        self.last_progress_at
            + if self.streams_short_response() {
                (self.deadline - self.last_progress_at).max(0.0) + SHORT_RESPONSE_GRACE_MS
            } else {
                STALL_TIMEOUT_MS
            }
    }

    fn streams_short_response(&self) -> bool {
        let ResponseState::Streaming { response, .. } = &self.response_state else {
            return false;
        };
        response.message.body_length().is_none()
            && response.message.body_received() <= MAX_BUFFERED_BODY_BYTES
    }
}
