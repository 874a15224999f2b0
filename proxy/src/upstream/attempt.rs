//! The state of an attempt. Its request and its response advance independently, as an endpoint may respond before
//! it has read the entire request.

use super::request_state::{RequestState, StreamedRequest};
use super::response::{parse_response, Response};
use super::response_state::ResponseState;
use crate::buffers::{Buffer, BufferPool, MAX_BUFFERED_BODY_BYTES};
use crate::http::{Message, ParseError};
use crate::slot_table::DownstreamKey;
use crate::streaming::{
    BUFFERING_LIMIT_MS, FIRST_PIECE_BYTES, RESPONSE_STALL_TIMEOUT_MS, SHORT_RESPONSE_GRACE_MS,
    STALL_TIMEOUT_MS,
};
use crankmux::types::{AttemptOutcome, LoadReport, RequestId};
use mio::net::TcpStream;

/// Part of a request's timeout reserved for delivering the first bytes of the response to the client.
const DELIVERY_MARGIN_MS: f64 = 50.0;

/// A response received completely.
pub struct BufferedResponse {
    /// The buffer that holds the head and the body.
    pub buffer: Buffer,
    /// The positions of head and body in the buffer.
    pub message: Message,
}

/// The result of an attempt, as passed to its completion callback.
pub struct AttemptCompletion {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The load that the endpoint reported in the response.
    pub load: LoadReport,
    /// The response, if it was received completely and not streamed to the client.
    pub response: Option<BufferedResponse>,
    /// How long the endpoint worked, if that differs from the time since the attempt started.
    pub endpoint_duration_ms: Option<f64>,
}

impl AttemptCompletion {
    /// The result of an attempt that got no response.
    pub fn without_response(outcome: AttemptOutcome) -> Self {
        AttemptCompletion {
            outcome,
            load: LoadReport::default(),
            response: None,
            endpoint_duration_ms: None,
        }
    }
}

/// Called once, when an attempt has ended.
pub type CompletionCallback<P> = Box<dyn FnOnce(&mut P, AttemptCompletion)>;

/// An attempt, from its assignment to a connection until its completion callback is called.
pub struct Attempt<P> {
    /// The request; `None` for a load probe.
    pub request: Option<RequestId>,
    /// Called with the result.
    pub on_complete: CompletionCallback<P>,
    pub(super) started_at: f64,
    pub(super) timeout_ms: f64,
    pub(super) deadline: f64,
    /// When bytes of a streamed body were last read or written.
    pub last_progress_at: f64,
    /// Whether a write has failed. That write consumed the socket error, so a later read reports a clean close.
    pub(super) write_failed: bool,
    /// Interim responses received so far.
    interim_responses: usize,
    /// Progress of writing the request.
    pub request_state: RequestState,
    /// Progress of reading the response.
    pub response_state: ResponseState,
    /// Received bytes that have not been processed.
    pub read_buffer: Option<Buffer>,
}

impl<P> Attempt<P> {
    /// Creates an attempt of which nothing has been written.
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
            interim_responses: 0,
            request_state,
            response_state: ResponseState::AwaitingHead,
            read_buffer: None,
        }
    }

    /// Whether no byte of the request has been written.
    pub fn is_unsent(&self) -> bool {
        self.request_state
            .pending()
            .is_some_and(|pending| !pending.is_started())
    }

    /// Whether the request is completely written. Until then the endpoint cannot have processed it.
    pub fn is_written(&self) -> bool {
        matches!(self.request_state, RequestState::Written { .. })
    }

    /// The client that is still sending the request body.
    pub fn request_source(&self) -> Option<DownstreamKey> {
        match &self.request_state {
            RequestState::Streamed(streamed) => streamed.source,
            RequestState::Buffered(_) | RequestState::Written { .. } => None,
        }
    }

    /// Whether everything received of a streamed request is written, and more is expected from the client.
    pub(super) fn awaits_request_source(&self) -> bool {
        self.request_source().is_some()
            && self
                .request_state
                .pending()
                .is_some_and(|pending| pending.is_empty())
    }

    /// Whether nothing of the response has been received.
    pub fn awaits_response(&self) -> bool {
        matches!(self.response_state, ResponseState::AwaitingHead) && self.read_buffer.is_none()
    }

    /// The client that the response is streamed to.
    pub fn response_target(&self) -> Option<DownstreamKey> {
        match &self.response_state {
            ResponseState::Streaming { client, .. } => Some(*client),
            ResponseState::AwaitingHead | ResponseState::Buffering { .. } => None,
        }
    }

    /// How long the endpoint worked, excluding the time in which the client sent a streamed request body or
    /// received a streamed response. `None` if neither body was streamed.
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

    /// Writes the last piece of the request. Returns the buffer once the last byte has been written, which also
    /// restarts the timeout of a streamed request.
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
                // The endpoint may have responded early: the next read tells.
                self.write_failed = true;
                None
            }
        }
    }

    fn request_written(&mut self, now: f64) -> Option<Buffer> {
        let streamed_at = match &self.request_state {
            RequestState::Streamed(streamed) => {
                let timeout_from = streamed.received_at.unwrap_or(now);
                self.deadline = timeout_from + self.timeout_ms;
                Some(now)
            }
            RequestState::Buffered(_) => None,
            RequestState::Written { streamed_at } => *streamed_at,
        };
        let written = RequestState::Written { streamed_at };
        std::mem::replace(&mut self.request_state, written).into_buffer()
    }

    /// Writes the pending piece of a streamed request. Returns the emptied buffer for the next piece, or `None` if
    /// the piece could not be written completely.
    pub fn write_piece(&mut self, stream: &mut TcpStream, now: f64) -> Option<&mut Buffer> {
        let RequestState::Streamed(streamed) = &mut self.request_state else {
            return None;
        };
        let result = streamed.pending.write_to(stream);
        self.write_failed |= result.is_err();
        // A write error is handled when the connection is read.
        if !matches!(result, Ok(true)) {
            return None;
        }
        self.last_progress_at = now;
        Some(streamed.pending.clear())
    }

    /// Frees the unused part of the buffer that a streamed request is written from.
    pub(crate) fn shrink_write_buffer(&mut self, pool: &mut BufferPool) {
        if let RequestState::Streamed(streamed) = &mut self.request_state {
            pool.shrink(streamed.pending.clear());
        }
    }

    /// Marks the pending piece of a streamed request as the last one.
    pub fn finish_request_source(&mut self, received_at: f64) {
        if let RequestState::Streamed(streamed) = &mut self.request_state {
            streamed.source = None;
            streamed.received_at = Some(received_at);
        }
    }

    /// Records when the last byte of a streamed request arrived from the client.
    pub(super) fn set_request_received_at(&mut self, at: f64) {
        if let RequestState::Streamed(streamed) = &mut self.request_state {
            streamed.received_at = Some(at);
        }
    }

    /// Whether all of a streamed request is known to have arrived from the client.
    pub(super) fn is_request_received(&self) -> bool {
        match &self.request_state {
            RequestState::Streamed(streamed) => streamed.received_at.is_some(),
            RequestState::Buffered(_) | RequestState::Written { .. } => true,
        }
    }

    /// When the attempt times out if the last byte of the request arrived at `received_at`.
    pub(super) fn deadline_after(&self, received_at: f64) -> f64 {
        received_at + self.timeout_ms
    }

    /// Parses the received bytes; returns whether the response is complete.
    pub(super) fn read_response(&mut self, read_buffer: &mut Buffer) -> Result<bool, ParseError> {
        if let Some(response) = self.response_state.response_mut() {
            return response.message.decode_body(read_buffer);
        }
        let Some(mut response) = parse_response(read_buffer, &mut self.interim_responses)? else {
            return Ok(false);
        };
        let is_complete = response.message.decode_body(read_buffer);
        self.response_state = ResponseState::Buffering {
            response,
            buffering_since: None,
        };
        is_complete
    }

    /// Starts to stream the response to the client.
    pub fn start_response_streaming(&mut self, client: DownstreamKey, chunked: bool, now: f64) {
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

    /// The response, if it may be streamed: it is successful and the request is completely written.
    fn streamable_response(&self) -> Option<&Response> {
        self.response_state
            .response()
            .filter(|response| self.is_written() && response.outcome == AttemptOutcome::Succeeded)
    }

    /// Whether the response must be streamed now because it exceeds the buffered size.
    pub(super) fn must_stream_response(&self, read_buffer: &Buffer) -> bool {
        let Some(Response { message, .. }) = self.streamable_response() else {
            return false;
        };
        let received = read_buffer.filled().len() - message.body_start;
        let is_long = message
            .body_length()
            .is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES);
        received > MAX_BUFFERED_BODY_BYTES || (is_long && received >= FIRST_PIECE_BYTES)
    }

    /// Whether the response may exceed the buffered size, and so may have to be streamed.
    pub(super) fn may_stream_response(&self) -> bool {
        self.streamable_response().is_some_and(|response| {
            response
                .message
                .body_length()
                .is_none_or(|length| length > MAX_BUFFERED_BODY_BYTES)
        })
    }

    /// Until when a response that may have to be streamed is buffered.
    pub(super) fn buffering_deadline(&self, now: f64) -> f64 {
        (now + BUFFERING_LIMIT_MS)
            .min(self.latest_streaming_start())
            .max(now)
    }

    /// The latest time to start streaming: later the first bytes would miss the deadline.
    pub(super) fn latest_streaming_start(&self) -> f64 {
        self.deadline - DELIVERY_MARGIN_MS
    }

    /// When a streamed body without progress counts as stalled. Two cases time out earlier than others: a request that has
    /// been received completely, and a response that may turn out to be short.
    pub fn stall_deadline(&self) -> f64 {
        if let RequestState::Streamed(StreamedRequest {
            received_at: Some(received_at),
            ..
        }) = &self.request_state
        {
            return self.deadline_after(*received_at);
        }
        let ResponseState::Streaming { response, .. } = &self.response_state else {
            return self.last_progress_at + STALL_TIMEOUT_MS;
        };
        if may_be_short(&response.message) {
            return self.last_progress_at.max(self.deadline) + SHORT_RESPONSE_GRACE_MS;
        }
        self.last_progress_at + RESPONSE_STALL_TIMEOUT_MS
    }
}

/// Whether a response that is being streamed may turn out to be short: nothing but the close of the connection will tell
/// its length. A chunked one that is streamed counts as long, as its endpoint has announced that more follows.
fn may_be_short(message: &Message) -> bool {
    message.ends_at_close() && message.body_received() <= MAX_BUFFERED_BODY_BYTES
}
