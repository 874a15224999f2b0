//! The state machine of a client connection.

use super::body_arrival::BodyArrival;
use super::request_head::RequestKind;
use super::{MAX_LINGER_BYTES, REQUEST_TIMEOUT_MS};
use crate::buffers::{Buffer, MAX_BODY_BYTES};
use crate::http::Message;
use crate::metrics::access::{RequestOutcome, RequestReceipt};
use crate::slot_table::UpstreamKey;
use crate::timers::TimerKey;
use crate::turn::StepBudget;
use crankmux::types::RequestId;
use mio::net::TcpStream;

/// Minimum rate of a request body after the first `REQUEST_TIMEOUT_MS`: a quarter of the lowest rate that the proxy
/// guarantees to serve.
const MIN_BODY_BYTES_PER_MS: f64 = 16.0;

/// State of a connection.
///
/// | from | by | to |
/// | --- | --- | --- |
/// | `Idle` | `begin_request` | `ReadingRequest` |
/// | `ReadingRequest` | `await_response` | `AwaitingResponse` |
/// | `AwaitingResponse` | `stop_awaiting_response`, when it is answered or rejected | `ReadingRequest` |
/// | `AwaitingResponse` | `stream_response_from` | `StartingResponse` |
/// | `Idle`, `ReadingRequest`, `StartingResponse` | `begin_response` | `WritingResponse` |
/// | `WritingResponse` | `end_response` | `Idle`, or `ReadingRequest` if the next request has begun |
/// | `Idle` | `linger`, if the connection must not be reused | `Lingering` |
pub(super) enum ConnectionState {
    /// No byte of the next request has been received.
    Idle,
    /// Part of a request, possibly only a blank line, has been received; the request is not admitted yet.
    ReadingRequest,
    /// The request was admitted with this id. Its body may still be streaming to an endpoint.
    AwaitingResponse(RequestId),
    /// A response will be streamed from an upstream connection; its head is not written yet.
    StartingResponse(ResponseSource),
    /// A response is being written.
    WritingResponse(ResponseWriter),
    /// The last response has been written. Input is discarded until the client closes, as closing with unread input
    /// would reset the connection and could lose the response.
    Lingering(Lingering),
}

/// The upstream connection from which a response is streamed.
#[derive(Clone, Copy)]
pub(super) struct ResponseSource {
    pub(super) upstream: UpstreamKey,
    /// The response has no other delimiter than the close of the client connection.
    pub(super) ends_at_close: bool,
}

/// A response that is being written to the client.
pub(super) struct ResponseWriter {
    pub(super) buffer: Buffer,
    /// Bytes of the buffer that have been written.
    pub(super) written: usize,
    /// Where the rest of the response comes from; none once all of it is in the buffer.
    pub(super) source: Option<ResponseSource>,
}

impl ResponseWriter {
    /// Whether the whole buffer has been written.
    pub(super) fn is_drained(&self) -> bool {
        self.written == self.buffer.filled().len()
    }
}

/// Progress of a lingering close.
pub(super) struct Lingering {
    pub(super) discarded_bytes: usize,
    /// An admitted request was answered before its body was complete. The client may read the response only after
    /// sending the rest, so more input is discarded.
    pub(super) body_outstanding: bool,
}

impl Lingering {
    /// Whether no more input is discarded. Further input stays in the socket buffers until the connection closes.
    pub(super) fn limit_reached(&self) -> bool {
        let limit = if self.body_outstanding {
            MAX_BODY_BYTES
        } else {
            MAX_LINGER_BYTES
        };
        self.discarded_bytes >= limit
    }
}

/// What happens to the connection after the response.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AfterResponse {
    /// The connection is kept open for another request.
    KeepAlive,
    /// The connection is closed, without lingering unless more input has arrived: the request was complete and none
    /// is expected after it.
    Close,
    /// The connection is closed after lingering.
    Linger { body_outstanding: bool },
}

impl AfterResponse {
    /// Turns `KeepAlive` into a lingering close.
    pub(super) fn require_close(&mut self) {
        if *self == AfterResponse::KeepAlive {
            *self = AfterResponse::Linger {
                body_outstanding: false,
            };
        }
    }

    pub(super) fn closes(self) -> bool {
        self != AfterResponse::KeepAlive
    }
}

/// A request whose head has been received and validated.
pub(super) struct ReceivedRequest {
    pub(super) message: Message,
    pub(super) kind: RequestKind,
    /// The upstream connection that took the first piece of the body: it alone gets the rest, and the request can no
    /// longer be retried.
    pub(super) body_target: Option<UpstreamKey>,
    /// Start of the period over which the body's rate is measured. Waiting for the endpoint restarts it.
    pub(super) body_since_ms: f64,
    /// Body bytes received since `body_since_ms`.
    pub(super) body_bytes: usize,
    /// When the body's bytes arrived at this machine.
    pub(super) arrival: BodyArrival,
}

/// A client connection.
pub(super) struct DownstreamConnection {
    pub(super) stream: TcpStream,
    pub(super) state: ConnectionState,
    /// The request, from its first byte until it is answered, and pipelined input after it.
    pub(super) read_buffer: Option<Buffer>,
    pub(super) request: Option<ReceivedRequest>,
    /// Ties the current request to its access metrics until the response has been written.
    pub(super) receipt: Option<RequestReceipt>,
    /// Outcome recorded in the access metrics once the response has been written.
    pub(super) outcome: Option<RequestOutcome>,
    pub(super) after_response: AfterResponse,
    /// When request bytes were last received, or response bytes last written or made available.
    pub(super) last_progress_ms: f64,
    /// When the connection was accepted, began its last request or finished its last response, whichever is latest.
    pub(super) idle_since_ms: f64,
    pub(super) responses_sent: u32,
    /// The client has closed its side or reset the connection; earlier bytes may still be unread.
    pub(super) peer_closed: bool,
    pub(super) timer: Option<TimerKey>,
    /// The steps taken in this turn of the event loop.
    pub(super) step_budget: StepBudget,
    /// Bytes of blank lines received since the last request.
    pub(super) blank_line_bytes: usize,
}

impl DownstreamConnection {
    pub(super) fn new(stream: TcpStream, now_ms: f64) -> Self {
        DownstreamConnection {
            stream,
            state: ConnectionState::Idle,
            read_buffer: None,
            request: None,
            receipt: None,
            outcome: None,
            after_response: AfterResponse::KeepAlive,
            last_progress_ms: now_ms,
            idle_since_ms: now_ms,
            responses_sent: 0,
            peer_closed: false,
            timer: None,
            step_budget: StepBudget::default(),
            blank_line_bytes: 0,
        }
    }

    /// Records that request bytes were received. Returns whether they are the first of the request.
    pub(super) fn begin_request(&mut self, now_ms: f64) -> bool {
        if !matches!(self.state, ConnectionState::Idle) {
            return false;
        }
        self.state = ConnectionState::ReadingRequest;
        self.idle_since_ms = now_ms;
        true
    }

    /// Stores a request whose head is valid.
    pub(super) fn accept_head(&mut self, message: Message, kind: RequestKind, now_ms: f64) {
        self.last_progress_ms = now_ms;
        self.blank_line_bytes = 0;
        self.request = Some(ReceivedRequest {
            message,
            kind,
            body_target: None,
            body_since_ms: now_ms,
            body_bytes: 0,
            arrival: BodyArrival::new(now_ms),
        });
    }

    pub(super) fn await_response(&mut self, request_id: RequestId) {
        self.state = ConnectionState::AwaitingResponse(request_id);
    }

    /// Leaves `AwaitingResponse`. Returns the id of the request.
    pub(super) fn stop_awaiting_response(&mut self) -> Option<RequestId> {
        let request_id = self.awaited_request()?;
        self.state = ConnectionState::ReadingRequest;
        Some(request_id)
    }

    pub(super) fn stream_response_from(&mut self, source: ResponseSource) {
        self.state = ConnectionState::StartingResponse(source);
        if source.ends_at_close {
            self.after_response.require_close();
        }
    }

    /// Starts to write a response, of which `buffer` holds the start or all.
    pub(super) fn begin_response(&mut self, buffer: Buffer, now_ms: f64) {
        let source = self.response_source();
        self.last_progress_ms = now_ms;
        self.state = ConnectionState::WritingResponse(ResponseWriter {
            buffer,
            written: 0,
            source,
        });
    }

    /// Records that all of the response is in the buffer.
    pub(super) fn end_response_source(&mut self) {
        if let ConnectionState::WritingResponse(writer) = &mut self.state {
            writer.source = None;
        }
    }

    /// Ends a response that has been written, and returns its buffer. Pipelined input starts the next request.
    pub(super) fn end_response(&mut self) -> Option<Buffer> {
        let next = if self.read_buffer.is_some() {
            ConnectionState::ReadingRequest
        } else {
            ConnectionState::Idle
        };
        match std::mem::replace(&mut self.state, next) {
            ConnectionState::WritingResponse(writer) => Some(writer.buffer),
            _ => None,
        }
    }

    /// Starts a lingering close.
    pub(super) fn linger(&mut self) {
        let body_outstanding = self.after_response
            == AfterResponse::Linger {
                body_outstanding: true,
            };
        self.state = ConnectionState::Lingering(Lingering {
            discarded_bytes: 0,
            body_outstanding,
        });
    }

    /// The id of the request whose response is awaited.
    pub(super) fn awaited_request(&self) -> Option<RequestId> {
        match self.state {
            ConnectionState::AwaitingResponse(request_id) => Some(request_id),
            _ => None,
        }
    }

    pub(super) fn writer(&self) -> Option<&ResponseWriter> {
        match &self.state {
            ConnectionState::WritingResponse(writer) => Some(writer),
            _ => None,
        }
    }

    pub(super) fn writer_mut(&mut self) -> Option<&mut ResponseWriter> {
        match &mut self.state {
            ConnectionState::WritingResponse(writer) => Some(writer),
            _ => None,
        }
    }

    /// Where the rest of the response comes from; none if it is not streamed or all of it is in the buffer.
    pub(super) fn response_source(&self) -> Option<ResponseSource> {
        match &self.state {
            ConnectionState::StartingResponse(source) => Some(*source),
            ConnectionState::WritingResponse(writer) => writer.source,
            _ => None,
        }
    }

    /// Whether a request head has been received and its body is incomplete.
    pub(super) fn is_receiving_body(&self) -> bool {
        self.request
            .as_ref()
            .is_some_and(|request| !request.message.is_complete())
    }

    /// When the request body is too late: it has stalled, or its rate is below the minimum.
    pub(super) fn body_deadline_ms(&self) -> f64 {
        let stalled_at = self.last_progress_ms + REQUEST_TIMEOUT_MS;
        let Some(request) = &self.request else {
            return stalled_at;
        };
        let too_slow_at = request.body_since_ms
            + REQUEST_TIMEOUT_MS
            + request.body_bytes as f64 / MIN_BODY_BYTES_PER_MS;
        stalled_at.min(too_slow_at)
    }

    /// Whether a request is in flight or its response is being written.
    pub(super) fn is_busy(&self) -> bool {
        matches!(
            self.state,
            ConnectionState::AwaitingResponse(_)
                | ConnectionState::StartingResponse(_)
                | ConnectionState::WritingResponse(_)
        )
    }

    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.state, ConnectionState::Lingering(_))
    }

    /// Whether the connection is between requests, with no input buffered.
    pub(super) fn is_idle(&self) -> bool {
        !self.is_busy() && self.read_buffer.is_none() && !self.is_lingering()
    }
}
