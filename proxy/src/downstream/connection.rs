//! One client's connection: its states, and the transitions between them.

use super::request_head::RequestKind;
use super::{MAX_LINGER_BYTES, REQUEST_TIMEOUT_MS};
use crate::buffers::{Buffer, MAX_BODY_BYTES};
use crate::http::Message;
use crate::metrics::access::{RequestOutcome, RequestReceipt};
use crate::slot_table::UpstreamKey;
use crate::timers::TimerKey;
use crankmux::types::RequestId;
use mio::net::TcpStream;

/// Beyond the first `REQUEST_TIMEOUT_MS` a body keeps this pace: a quarter of the slowest that is promised.
const MIN_BODY_BYTES_PER_MS: f64 = 16.0;

/// What a connection is doing.
///
/// | from | by | to |
/// | --- | --- | --- |
/// | `Idle` | `begin_request` | `ReadingRequest` |
/// | `ReadingRequest` | `await_response` | `AwaitingResponse` |
/// | `AwaitingResponse` | `stop_awaiting_response`, as it is answered or rejected | `ReadingRequest` |
/// | `AwaitingResponse` | `stream_response_from` | `StartingResponse` |
/// | `Idle`, `ReadingRequest`, `StartingResponse` | `begin_response` | `WritingResponse` |
/// | `WritingResponse` | `end_response` | `Idle`, or `ReadingRequest` where the next one has begun |
/// | `Idle` | `linger`, as the connection may carry no other request | `Lingering` |
pub(super) enum ConnectionState {
    /// Nothing of the next request has come.
    Idle,
    /// Something of a request has come, be it a blank line; it is not admitted yet.
    ReadingRequest,
    /// The request was admitted under this id. Its body may still be streaming to an endpoint.
    AwaitingResponse(RequestId),
    /// The response will be streamed from an upstream connection; its head is about to be composed.
    StartingResponse(ResponseSource),
    /// A response is being written.
    WritingResponse(ResponseWriter),
    /// The last response is out. What still comes is discarded until the client closes: closing with bytes
    /// unread would reset the connection, and the response would be lost.
    Lingering(Lingering),
}

/// The upstream connection from which a response is streamed.
#[derive(Clone, Copy)]
pub(super) struct ResponseSource {
    pub(super) upstream: UpstreamKey,
    /// Only the end of the client's connection tells where the response ends.
    pub(super) ends_at_close: bool,
}

/// A response on its way to the client.
pub(super) struct ResponseWriter {
    pub(super) buffer: Buffer,
    /// Bytes of the buffer that have been written.
    pub(super) written: usize,
    /// Where more of the response comes from, as long as it does.
    pub(super) source: Option<ResponseSource>,
}

impl ResponseWriter {
    /// Whether the client has taken all that stands in the buffer.
    pub(super) fn is_drained(&self) -> bool {
        self.written == self.buffer.filled().len()
    }
}

/// What of a closing connection has been discarded.
pub(super) struct Lingering {
    pub(super) discarded_bytes: usize,
    /// The body of an admitted request was still coming as it was answered. Its client may go on for longer, as
    /// it would not read the response before.
    pub(super) body_outstanding: bool,
}

impl Lingering {
    /// Whether no more of it is read. What the client sends past this stays with its own machine until the
    /// connection is closed.
    pub(super) fn limit_reached(&self) -> bool {
        let most = if self.body_outstanding {
            MAX_BODY_BYTES
        } else {
            MAX_LINGER_BYTES
        };
        self.discarded_bytes >= most
    }
}

/// What becomes of the connection once its response is out.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AfterResponse {
    /// It may carry another request.
    KeepAlive,
    /// It is closed. Its client asked for something whole and nothing more is expected, so it does not linger
    /// unless something more has come.
    Close,
    /// It lingers and is closed.
    Linger { body_outstanding: bool },
}

impl AfterResponse {
    /// No other request may come on the connection.
    pub(super) fn require_close(&mut self) {
        if *self == AfterResponse::KeepAlive {
            *self = AfterResponse::Linger {
                body_outstanding: false,
            };
        }
    }

    /// Whether the connection is closed after the response.
    pub(super) fn closes(self) -> bool {
        self != AfterResponse::KeepAlive
    }
}

/// A request whose head has been received and accepted.
pub(super) struct ReceivedRequest {
    pub(super) message: Message,
    pub(super) kind: RequestKind,
    /// The upstream connection to which its body is streamed.
    pub(super) upstream: Option<UpstreamKey>,
    /// The first piece of its body has left the buffer: it cannot be sent to another endpoint any more.
    pub(super) first_piece_sent: bool,
    /// Since when its body comes at the client's pace, and how many bytes have come since.
    pub(super) body_since_ms: f64,
    pub(super) body_bytes: usize,
}

/// A client's connection.
pub(super) struct DownstreamConnection {
    pub(super) stream: TcpStream,
    pub(super) state: ConnectionState,
    /// The request, from its first byte until it is answered, and what has come behind it.
    pub(super) read_buffer: Option<Buffer>,
    pub(super) request: Option<ReceivedRequest>,
    /// Of its request, until the response is out.
    pub(super) receipt: Option<RequestReceipt>,
    /// How its request is counted once the response is out.
    pub(super) outcome: Option<RequestOutcome>,
    pub(super) after_response: AfterResponse,
    /// When anything of a request last came, or of a response was last taken or ready to be.
    pub(super) last_progress_ms: f64,
    /// When it came, had its last response, or began a request.
    pub(super) idle_since_ms: f64,
    pub(super) responses_sent: u32,
    /// The client has closed its side or reset the connection; bytes ahead of that may still be unread.
    pub(super) peer_closed: bool,
    pub(super) timer: Option<TimerKey>,
}

impl DownstreamConnection {
    /// A connection that has just been accepted.
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
        }
    }

    /// Something of a request has come; whether it is the first of it.
    pub(super) fn begin_request(&mut self, now_ms: f64) -> bool {
        if !matches!(self.state, ConnectionState::Idle) {
            return false;
        }
        self.state = ConnectionState::ReadingRequest;
        self.idle_since_ms = now_ms;
        true
    }

    /// The head of a request has been accepted.
    pub(super) fn accept_head(&mut self, message: Message, kind: RequestKind, now_ms: f64) {
        self.last_progress_ms = now_ms;
        self.request = Some(ReceivedRequest {
            message,
            kind,
            upstream: None,
            first_piece_sent: false,
            body_since_ms: now_ms,
            body_bytes: 0,
        });
    }

    /// The request was admitted and its response is awaited.
    pub(super) fn await_response(&mut self, request_id: RequestId) {
        self.state = ConnectionState::AwaitingResponse(request_id);
    }

    /// The response is no longer awaited; the request whose it was.
    pub(super) fn stop_awaiting_response(&mut self) -> Option<RequestId> {
        let request_id = self.awaited_request()?;
        self.state = ConnectionState::ReadingRequest;
        Some(request_id)
    }

    /// The response will be streamed from an upstream connection.
    pub(super) fn stream_response_from(&mut self, source: ResponseSource) {
        self.state = ConnectionState::StartingResponse(source);
        if source.ends_at_close {
            self.after_response.require_close();
        }
    }

    /// The start of a response, or all of it, is to be written.
    pub(super) fn begin_response(&mut self, buffer: Buffer, now_ms: f64) {
        let source = self.response_source();
        self.last_progress_ms = now_ms;
        self.state = ConnectionState::WritingResponse(ResponseWriter {
            buffer,
            written: 0,
            source,
        });
    }

    /// No more of the response comes from upstream.
    pub(super) fn end_response_source(&mut self) {
        if let ConnectionState::WritingResponse(writer) = &mut self.state {
            writer.source = None;
        }
    }

    /// The response is out; the buffer that it was written from. What has come behind the request begins the
    /// next one.
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

    /// From now on only the client's close is awaited.
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

    /// The response that is being written.
    pub(super) fn writer(&self) -> Option<&ResponseWriter> {
        match &self.state {
            ConnectionState::WritingResponse(writer) => Some(writer),
            _ => None,
        }
    }

    /// The response that is being written.
    pub(super) fn writer_mut(&mut self) -> Option<&mut ResponseWriter> {
        match &mut self.state {
            ConnectionState::WritingResponse(writer) => Some(writer),
            _ => None,
        }
    }

    /// Where the response is streamed from, as long as more of it comes.
    pub(super) fn response_source(&self) -> Option<ResponseSource> {
        match &self.state {
            ConnectionState::StartingResponse(source) => Some(*source),
            ConnectionState::WritingResponse(writer) => writer.source,
            _ => None,
        }
    }

    /// A request's head is in, but its body is not complete.
    pub(super) fn is_receiving_body(&self) -> bool {
        self.request
            .as_ref()
            .is_some_and(|request| !request.message.is_complete())
    }

    /// By when more of its request's body must have come.
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

    /// A request is in flight, or its response not out.
    pub(super) fn is_busy(&self) -> bool {
        matches!(
            self.state,
            ConnectionState::AwaitingResponse(_)
                | ConnectionState::StartingResponse(_)
                | ConnectionState::WritingResponse(_)
        )
    }

    /// Only the client's close is awaited.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.state, ConnectionState::Lingering(_))
    }

    /// It holds nothing of a request.
    pub(super) fn is_idle(&self) -> bool {
        !self.is_busy() && self.read_buffer.is_none() && !self.is_lingering()
    }
}
