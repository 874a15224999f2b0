//! Progress of writing the request of an attempt.

use crate::buffers::Buffer;
use crate::slot_table::DownstreamKey;
use mio::net::TcpStream;
use std::io;

/// Bytes of a request that have not been written completely.
pub struct PendingWrite {
    buffer: Buffer,
    written: usize,
    /// Whether any byte of the request has been written, including earlier pieces.
    started: bool,
}

impl PendingWrite {
    /// Creates a pending write of the whole buffer.
    pub fn new(buffer: Buffer) -> Self {
        PendingWrite {
            buffer,
            written: 0,
            started: false,
        }
    }

    /// Writes as much as the socket accepts; returns whether everything has been written.
    pub(super) fn write_to(&mut self, stream: &mut TcpStream) -> io::Result<bool> {
        let result = self.buffer.write_to(&mut self.written, stream);
        self.started |= self.written > 0;
        result
    }

    /// Removes the written bytes and returns the buffer for the next piece.
    pub(super) fn clear(&mut self) -> &mut Buffer {
        self.buffer.remove(0..self.written);
        self.written = 0;
        &mut self.buffer
    }

    /// Empties the buffer of a request of which nothing has been written, so that it can be rewritten.
    pub(super) fn discard(&mut self) -> &mut Buffer {
        let length = self.buffer.filled().len();
        self.buffer.remove(0..length);
        &mut self.buffer
    }

    pub(super) fn is_started(&self) -> bool {
        self.started
    }

    pub(super) fn is_empty(&self) -> bool {
        self.buffer.filled().is_empty()
    }
}

/// A request that exceeds one buffer.
pub struct StreamedRequest {
    /// The piece being written.
    pub pending: PendingWrite,
    /// The client that sends the next piece; `None` once the last piece is pending.
    pub source: Option<DownstreamKey>,
    /// Whether the body is forwarded with chunked encoding.
    pub chunked: bool,
    /// When the last byte of the request arrived from the client, once that is known.
    pub received_at: Option<f64>,
}

/// Progress of writing the request of an attempt.
pub enum RequestState {
    /// The entire request is in one buffer that is being written.
    Buffered(PendingWrite),
    /// The request is written in pieces; each is read from the client after the previous one has been written.
    Streamed(StreamedRequest),
    /// The request is completely written.
    Written {
        /// When the last byte was written, if the request was streamed.
        streamed_at: Option<f64>,
    },
}

impl RequestState {
    pub(super) fn pending(&self) -> Option<&PendingWrite> {
        match self {
            RequestState::Buffered(pending) => Some(pending),
            RequestState::Streamed(streamed) => Some(&streamed.pending),
            RequestState::Written { .. } => None,
        }
    }

    /// Returns the buffer of the pending write.
    pub fn into_buffer(self) -> Option<Buffer> {
        match self {
            RequestState::Buffered(pending) => Some(pending.buffer),
            RequestState::Streamed(streamed) => Some(streamed.pending.buffer),
            RequestState::Written { .. } => None,
        }
    }
}
