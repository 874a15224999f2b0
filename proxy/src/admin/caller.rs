//! A connection of one caller: reads its call, writes the response, and drains what still comes.

use super::response::AdminResponse;
use crate::buffers::{Buffer, ReadOutcome, MAX_HEAD_BYTES};
use crate::http;
use crate::timers::TimerKey;
use mio::net::TcpStream;
use std::cmp::Ordering;
use std::io::{self, Read, Write};
use std::net::Shutdown;

/// How much is still read from an answered caller, in bytes, so that unread bytes don't reset the connection and
/// lose the response.
const MAX_DRAINED_BYTES: usize = 256 * 1024;
/// A caller that has connected sends its call within the round trip, which is under this, in milliseconds.
const NEW_CALLER_GRACE_MS: f64 = 200.0;
/// Read at once while draining.
const DRAIN_CHUNK_BYTES: usize = 4096;

/// One caller's connection.
pub(super) struct Caller {
    pub(super) stream: TcpStream,
    received: Buffer,
    state: CallerState,
    accepted_at_ms: f64,
    /// Closes the connection, or answers a call that does not come.
    pub(super) timer: Option<TimerKey>,
}

enum CallerState {
    ReadingRequest,
    WritingResponse { response: Vec<u8>, sent: usize },
    Draining { bytes: usize },
}

/// What is next for a caller, once nothing more can be done without it.
pub(super) enum CallerEvent {
    /// The next event on its connection continues.
    Pending,
    /// The connection has ended, or is of no more use.
    Closed,
    /// A call is to be answered.
    Call { method: String, path: String },
    /// What came is no call; it is to be answered by a status alone.
    InvalidCall { status: u16 },
}

impl Caller {
    pub(super) fn new(stream: TcpStream, accepted_at_ms: f64, timer: TimerKey) -> Self {
        Caller {
            stream,
            received: Buffer::with_capacity(2 * MAX_HEAD_BYTES),
            state: CallerState::ReadingRequest,
            accepted_at_ms,
            timer: Some(timer),
        }
    }

    /// Orders callers by who makes room first: one that has its response, then whoever has sent the least, then
    /// whoever came first.
    pub(super) fn cmp_need(&self, other: &Caller) -> Ordering {
        let received_bytes = |caller: &Caller| caller.received.filled().len();
        self.is_answered()
            .cmp(&other.is_answered())
            .reverse()
            .then_with(|| received_bytes(self).cmp(&received_bytes(other)))
            .then_with(|| self.accepted_at_ms.total_cmp(&other.accepted_at_ms))
    }

    /// Whether it had its response, or time to send its call.
    pub(super) fn is_settled(&self, now_ms: f64) -> bool {
        self.is_answered() || now_ms - self.accepted_at_ms > NEW_CALLER_GRACE_MS
    }

    /// Whether the response has been written completely.
    fn is_answered(&self) -> bool {
        matches!(self.state, CallerState::Draining { .. })
    }

    /// Whether part of a call has come, but not all of it.
    pub(super) fn is_call_incomplete(&self) -> bool {
        matches!(self.state, CallerState::ReadingRequest) && !self.received.filled().is_empty()
    }

    /// Queues the response; [`Caller::advance`] writes it.
    pub(super) fn respond(&mut self, response: &AdminResponse) {
        self.state = CallerState::WritingResponse {
            response: http::text_response(response.status, &response.body).into_bytes(),
            sent: 0,
        };
    }

    /// Does whatever can be done now.
    pub(super) fn advance(&mut self) -> CallerEvent {
        loop {
            let event = match self.state {
                CallerState::ReadingRequest => self.read_request(),
                CallerState::WritingResponse { .. } => self.write_response(),
                CallerState::Draining { .. } => self.drain(),
            };
            if let Some(event) = event {
                return event;
            }
        }
    }

    fn read_request(&mut self) -> Option<CallerEvent> {
        let filled = self.received.read_from(&mut self.stream);
        let request = http::parse_request(self.received.filled(), |method, target, _| {
            let path = http::origin_form(target)
                .split('?')
                .next()
                .unwrap_or_default();
            (method.to_string(), path.to_string())
        });
        match (request, filled) {
            (Ok(Some((_, (method, path)))), _) => Some(CallerEvent::Call { method, path }),
            (Err(error), _) => Some(CallerEvent::InvalidCall {
                status: error.status(),
            }),
            (Ok(None), ReadOutcome::Received) => None,
            (Ok(None), ReadOutcome::WouldBlock) => Some(CallerEvent::Pending),
            (Ok(None), ReadOutcome::BufferFull) => Some(CallerEvent::InvalidCall { status: 431 }),
            (Ok(None), ReadOutcome::Closed | ReadOutcome::Failed) => Some(CallerEvent::Closed),
        }
    }

    fn write_response(&mut self) -> Option<CallerEvent> {
        let CallerState::WritingResponse { response, sent } = &mut self.state else {
            return None;
        };
        match self.stream.write(&response[*sent..]) {
            Ok(0) => return Some(CallerEvent::Closed),
            Ok(written) => *sent += written,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                return Some(CallerEvent::Pending);
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Some(CallerEvent::Closed),
        }
        if *sent == response.len() {
            // A connection that broke meanwhile shows as it is read next.
            let _ = self.stream.shutdown(Shutdown::Write);
            self.state = CallerState::Draining { bytes: 0 };
        }
        None
    }

    fn drain(&mut self) -> Option<CallerEvent> {
        let CallerState::Draining { bytes } = &mut self.state else {
            return None;
        };
        match self.stream.read(&mut [0; DRAIN_CHUNK_BYTES]) {
            Ok(read @ 1..) if *bytes + read <= MAX_DRAINED_BYTES => {
                *bytes += read;
                None
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Some(CallerEvent::Pending),
            _ => Some(CallerEvent::Closed),
        }
    }
}
