//! How far the request of an attempt is written.

use crate::buffers::Buffer;
use crate::slot_table::DownstreamKey;
use mio::net::TcpStream;
use std::io;

/// Bytes of a request that are still to be written.
pub struct PendingWrite {
    buffer: Buffer,
    written: usize,
    /// Whether any byte of the request has been written, also of earlier pieces.
    started: bool,
}

impl PendingWrite {
    /// Starts with a buffer of which nothing is written yet.
    pub fn new(buffer: Buffer) -> Self {
        PendingWrite {
            buffer,
            written: 0,
            started: false,
        }
    }

    /// Writes as much as the socket takes; returns whether all has been written.
    pub(super) fn write_to(&mut self, stream: &mut TcpStream) -> io::Result<bool> {
        let result = self.buffer.write_to(&mut self.written, stream);
        self.started |= self.written > 0;
        result
    }

    /// Makes room for the next piece, once all has been written; returns the empty buffer.
    pub(super) fn clear(&mut self) -> &mut Buffer {
        self.buffer.remove(0..self.written);
        self.written = 0;
        &mut self.buffer
    }

    /// Whether any byte of the request has been written.
    pub(super) fn is_started(&self) -> bool {
        self.started
    }

    /// Whether all that has come of the request is written.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.filled().is_empty()
    }
}

/// A request that is too long for one buffer.
pub struct StreamedRequest {
    /// The piece that is being written.
    pub pending: PendingWrite,
    /// The client that the next piece comes from; none once the last piece is pending.
    pub source: Option<DownstreamKey>,
    /// Whether the body goes on in chunks.
    pub chunked: bool,
    /// Since when the rest of the request has lain here while the endpoint took no more: its client has sent the
    /// last byte.
    pub rest_received_at: Option<f64>,
}

/// How far the request of an attempt is written.
pub enum RequestState {
    /// The whole request is in one buffer, and being written.
    Buffered(PendingWrite),
    /// It is written in pieces, each read from the client once the piece before has been written.
    Streamed(StreamedRequest),
    /// It is written whole.
    Written {
        /// When its last byte left, if it was streamed.
        streamed_at: Option<f64>,
    },
}

impl RequestState {
    /// What is still to be written.
    pub(super) fn pending(&self) -> Option<&PendingWrite> {
        match self {
            RequestState::Buffered(pending) => Some(pending),
            RequestState::Streamed(streamed) => Some(&streamed.pending),
            RequestState::Written { .. } => None,
        }
    }

    /// The buffer of what is still to be written.
    pub fn into_buffer(self) -> Option<Buffer> {
        match self {
            RequestState::Buffered(pending) => Some(pending.buffer),
            RequestState::Streamed(streamed) => Some(streamed.pending.buffer),
            RequestState::Written { .. } => None,
        }
    }
}
