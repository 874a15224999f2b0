//! One admin connection: reads the request, writes the response, then drains the remaining input.

use super::response::AdminResponse;
use crate::buffers::{Buffer, ReadOutcome, MAX_HEAD_BYTES};
use crate::http;
use crate::timers::TimerKey;
use crate::turn::StepBudget;
use mio::net::TcpStream;
use std::cmp::Ordering;
use std::io::{self, Read, Write};
use std::net::Shutdown;

/// Input discarded after the response, in bytes. Closing a socket with unread input sends a reset, which can
/// discard the response before the client has read it.
const MAX_DRAINED_BYTES: usize = 256 * 1024;
/// How long a new connection is exempt from eviction under descriptor pressure, in milliseconds. A client that sends
/// its request right after connecting needs less.
const NEW_CONNECTION_GRACE_MS: f64 = 200.0;
/// Read buffer size while draining, in bytes.
const DRAIN_CHUNK_BYTES: usize = 4096;

/// A client connection to the admin API.
pub(super) struct AdminConnection {
    pub(super) stream: TcpStream,
    received: Buffer,
    state: ConnectionState,
    accepted_at_ms: f64,
    /// Request timeout, or drain timeout once a response has been queued.
    pub(super) timer: Option<TimerKey>,
    /// The steps taken in this turn of the event loop.
    pub(super) step_budget: StepBudget,
}

enum ConnectionState {
    ReadingRequest,
    WritingResponse { response: Vec<u8>, sent: usize },
    Draining { bytes: usize },
}

/// The result of one step of a connection.
pub(super) enum ConnectionEvent {
    /// Bytes were read or written; there may be more to do.
    Progress,
    /// The socket would block.
    Pending,
    /// The connection is closed, has failed or is fully drained.
    Closed,
    /// A request head has been received.
    Request { method: String, path: String },
    /// The request cannot be parsed; the response has this status and no body.
    InvalidRequest { status: u16 },
}

impl AdminConnection {
    pub(super) fn new(stream: TcpStream, accepted_at_ms: f64, timer: TimerKey) -> Self {
        AdminConnection {
            stream,
            received: Buffer::with_capacity(2 * MAX_HEAD_BYTES),
            state: ConnectionState::ReadingRequest,
            accepted_at_ms,
            timer: Some(timer),
            step_budget: StepBudget::default(),
        }
    }

    /// Compares eviction priorities; the lesser connection is evicted first. Answered connections come first, then
    /// those that have sent the fewest bytes, then the oldest.
    pub(super) fn cmp_eviction_order(&self, other: &AdminConnection) -> Ordering {
        let received_bytes = |connection: &AdminConnection| connection.received.filled().len();
        self.is_answered()
            .cmp(&other.is_answered())
            .reverse()
            .then_with(|| received_bytes(self).cmp(&received_bytes(other)))
            .then_with(|| self.accepted_at_ms.total_cmp(&other.accepted_at_ms))
    }

    /// Whether the connection may be evicted to free its descriptor: it has been answered, or its grace period is
    /// over.
    pub(super) fn is_evictable(&self, now_ms: f64) -> bool {
        self.is_answered() || now_ms - self.accepted_at_ms > NEW_CONNECTION_GRACE_MS
    }

    /// Whether the response has been written completely.
    fn is_answered(&self) -> bool {
        matches!(self.state, ConnectionState::Draining { .. })
    }

    /// Whether the request has been received only in part.
    pub(super) fn has_partial_request(&self) -> bool {
        matches!(self.state, ConnectionState::ReadingRequest) && !self.received.filled().is_empty()
    }

    /// Queues the response; [`AdminConnection::take_step`] writes it.
    pub(super) fn respond(&mut self, response: &AdminResponse) {
        self.state = ConnectionState::WritingResponse {
            response: http::text_response(response.status, &response.body).into_bytes(),
            sent: 0,
        };
    }

    /// Reads or writes once.
    pub(super) fn take_step(&mut self) -> ConnectionEvent {
        let event = match self.state {
            ConnectionState::ReadingRequest => self.read_request(),
            ConnectionState::WritingResponse { .. } => self.write_response(),
            ConnectionState::Draining { .. } => self.drain(),
        };
        event.unwrap_or(ConnectionEvent::Progress)
    }

    fn read_request(&mut self) -> Option<ConnectionEvent> {
        let filled = self.received.read_from(&mut self.stream);
        let request = http::parse_request(self.received.filled(), |method, target, _| {
            let path = http::origin_form(target)
                .split('?')
                .next()
                .unwrap_or_default();
            (method.to_string(), path.to_string())
        });
        match (request, filled) {
            (Ok(Some((_, (method, path)))), _) => Some(ConnectionEvent::Request { method, path }),
            (Err(error), _) => Some(ConnectionEvent::InvalidRequest {
                status: error.status(),
            }),
            (Ok(None), ReadOutcome::Received) => None,
            (Ok(None), ReadOutcome::WouldBlock) => Some(ConnectionEvent::Pending),
            (Ok(None), ReadOutcome::BufferFull) => {
                Some(ConnectionEvent::InvalidRequest { status: 431 })
            }
            (Ok(None), ReadOutcome::Closed | ReadOutcome::Failed) => Some(ConnectionEvent::Closed),
        }
    }

    fn write_response(&mut self) -> Option<ConnectionEvent> {
        let ConnectionState::WritingResponse { response, sent } = &mut self.state else {
            return None;
        };
        match self.stream.write(&response[*sent..]) {
            Ok(0) => return Some(ConnectionEvent::Closed),
            Ok(written) => *sent += written,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                return Some(ConnectionEvent::Pending);
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Some(ConnectionEvent::Closed),
        }
        if *sent == response.len() {
            // A failed connection is detected by the next read.
            let _ = self.stream.shutdown(Shutdown::Write);
            self.state = ConnectionState::Draining { bytes: 0 };
        }
        None
    }

    fn drain(&mut self) -> Option<ConnectionEvent> {
        let ConnectionState::Draining { bytes } = &mut self.state else {
            return None;
        };
        match self.stream.read(&mut [0; DRAIN_CHUNK_BYTES]) {
            Ok(read @ 1..) if *bytes + read <= MAX_DRAINED_BYTES => {
                *bytes += read;
                None
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Some(ConnectionEvent::Pending)
            }
            _ => Some(ConnectionEvent::Closed),
        }
    }
}
