//! Fixed-size I/O buffers from a bounded pool.

use std::io::{self, Read, Write};
use std::ops::Range;

/// Maximum length of a message head; a common limit of HTTP servers.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a body that is buffered completely.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a body that is streamed.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
/// Size of a pooled buffer: a complete message plus the framing of its last chunks.
const BUFFER_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + 4 * 1024;
/// Space that reads leave free for the header fields that the proxy adds when it forwards a head.
const WRITE_RESERVE_BYTES: usize = 512;
/// Buffers reserved for responses. If requests and attempts could take the last buffer, no request in flight could
/// be answered and the pool would deadlock.
const RESPONSE_RESERVE: usize = 8;

/// Bytes read from or to be written to a connection.
pub struct Buffer {
    bytes: Box<[u8]>,
    filled: usize,
}

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes were read; there may be more.
    Received,
    /// No bytes are available yet.
    WouldBlock,
    /// The peer closed its side of the connection cleanly.
    Closed,
    /// The connection failed. Unlike a clean close, this never completes a message that is delimited by the close.
    Failed,
    /// Nothing was read because the buffer is full.
    BufferFull,
}

impl Buffer {
    /// Creates an empty buffer that does not belong to the pool.
    pub fn with_capacity(capacity: usize) -> Self {
        Buffer {
            bytes: vec![0; capacity].into_boxed_slice(),
            filled: 0,
        }
    }

    /// Doubles the capacity, up to `max_readable` readable bytes. Returns whether the buffer has grown.
    pub fn grow(&mut self, max_readable: usize) -> bool {
        let capacity = self.capacity();
        let grown = (2 * capacity).min(max_readable + WRITE_RESERVE_BYTES);
        if grown <= capacity {
            return false;
        }
        let mut bytes = std::mem::take(&mut self.bytes).into_vec();
        bytes.resize(grown, 0);
        self.bytes = bytes.into_boxed_slice();
        true
    }

    /// Total capacity in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }

    /// The buffered bytes.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }

    /// The buffered bytes.
    pub fn filled_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[..self.filled]
    }

    /// Reads once and appends the bytes to the buffer.
    pub fn read_from(&mut self, source: &mut impl Read) -> ReadOutcome {
        let readable_end = self.bytes.len() - WRITE_RESERVE_BYTES;
        if self.filled >= readable_end {
            return ReadOutcome::BufferFull;
        }
        loop {
            return match source.read(&mut self.bytes[self.filled..readable_end]) {
                Ok(0) => ReadOutcome::Closed,
                Ok(read) => {
                    self.filled += read;
                    ReadOutcome::Received
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReadOutcome::WouldBlock,
                Err(_) => ReadOutcome::Failed,
            };
        }
    }

    /// Removes a range and shifts the bytes after it to its start.
    pub fn remove(&mut self, range: Range<usize>) {
        if !range.is_empty() {
            self.bytes.copy_within(range.end..self.filled, range.start);
            self.filled -= range.len();
        }
    }

    /// Appends the bytes if all of them fit. Returns whether they did.
    #[must_use]
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        let end = self.filled + bytes.len();
        let Some(free) = self.bytes.get_mut(self.filled..end) else {
            return false;
        };
        free.copy_from_slice(bytes);
        self.filled = end;
        true
    }

    /// Writes the bytes from offset `written` until done or the target would block. Returns whether all are written.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub fn write_to(&self, written: &mut usize, target: &mut impl Write) -> io::Result<bool> {
        while *written < self.filled {
            match target.write(&self.bytes[*written..self.filled]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => *written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }
}

/// A bounded pool of buffers of one size.
pub struct BufferPool {
    free: Vec<Box<[u8]>>,
    /// The number of allocated buffers, free or taken.
    allocated: usize,
    capacity: usize,
}

impl BufferPool {
    /// Creates a pool limited to this many bytes.
    pub fn new(bytes: usize) -> Self {
        let mut pool = BufferPool {
            free: Vec::new(),
            allocated: 0,
            capacity: 0,
        };
        pool.resize(bytes);
        pool
    }

    /// Changes the limit. Taken buffers above the new limit are freed when they are given back.
    pub fn resize(&mut self, bytes: usize) {
        self.capacity = (bytes / BUFFER_BYTES).max(2 * RESPONSE_RESERVE);
        while self.allocated > self.capacity && self.free.pop().is_some() {
            self.allocated -= 1;
        }
    }

    /// Takes a buffer for a request or an attempt; `None` if only those reserved for responses are left.
    pub fn take(&mut self) -> Option<Buffer> {
        let available = self.free.len() + self.capacity.saturating_sub(self.allocated);
        if available <= RESPONSE_RESERVE {
            return None;
        }
        self.take_reserved()
    }

    /// Takes a buffer for a response; `None` if all are taken.
    pub fn take_reserved(&mut self) -> Option<Buffer> {
        if let Some(bytes) = self.free.pop() {
            return Some(Buffer { bytes, filled: 0 });
        }
        if self.allocated >= self.capacity {
            return None;
        }
        self.allocated += 1;
        Some(Buffer::with_capacity(BUFFER_BYTES))
    }

    /// Returns a buffer to the pool.
    pub fn give_back(&mut self, buffer: Buffer) {
        if self.allocated > self.capacity {
            self.allocated -= 1;
        } else {
            self.free.push(buffer.bytes);
        }
    }
}
