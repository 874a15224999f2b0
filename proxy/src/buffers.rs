//! Buffers of one size, from a bounded pool.

use std::io::{self, Read, Write};
use std::ops::Range;

/// Longest head of a message: what common servers allow.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Longest body of a message that is buffered whole: the protocol's figure.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Longest body of a message that is streamed: the operators' figure.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
/// Size of the pool's buffers: a whole message, and room for the chunk heads that come with its end.
const BUFFER_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + 4 * 1024;
/// Never read into: room for the lines that the proxy adds to a head that it forwards.
const WRITE_RESERVE_BYTES: usize = 512;
/// Buffers reserved for responses: were requests and attempts to take the last one, nothing that is in flight
/// could be answered, and no buffer would ever be given back.
const RESPONSE_RESERVE: usize = 8;

/// Bytes that are read from one connection or written to one.
pub struct Buffer {
    bytes: Box<[u8]>,
    filled: usize,
}

/// What a read has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Some bytes; more may be there.
    Received,
    /// Nothing for now.
    WouldBlock,
    /// The peer has closed its side, in good order.
    Closed,
    /// The connection failed. It is told apart from a close, as a message that ends at the close would otherwise
    /// be taken for complete.
    Failed,
    /// Nothing was read, as the buffer is full.
    BufferFull,
}

impl Buffer {
    /// An empty buffer outside the pool, for whoever keeps it for good.
    pub fn with_capacity(capacity: usize) -> Self {
        Buffer {
            bytes: vec![0; capacity].into_boxed_slice(),
            filled: 0,
        }
    }

    /// Doubles the capacity, so that up to `max_readable` bytes can be read into it; whether it has grown.
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

    /// How many bytes fit into it.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }

    /// The bytes that are in it.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }

    /// The bytes that are in it.
    pub fn filled_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[..self.filled]
    }

    /// Reads once, behind what is in it.
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

    /// Removes a range; what stands behind it moves up.
    pub fn remove(&mut self, range: Range<usize>) {
        if !range.is_empty() {
            self.bytes.copy_within(range.end..self.filled, range.start);
            self.filled -= range.len();
        }
    }

    /// Appends bytes, if all of them fit; whether they did.
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

    /// Writes what stands from `written` on, as far as it goes now; whether all of it is written.
    ///
    /// # Errors
    /// The connection failed.
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

/// A bounded pool of buffers, all of one size.
pub struct BufferPool {
    free: Vec<Box<[u8]>>,
    /// How many buffers there are, free or taken.
    allocated: usize,
    capacity: usize,
}

impl BufferPool {
    /// A pool of at most so many bytes.
    pub fn new(bytes: usize) -> Self {
        let mut pool = BufferPool {
            free: Vec::new(),
            allocated: 0,
            capacity: 0,
        };
        pool.resize(bytes);
        pool
    }

    /// Bounds the pool by so many bytes from now on; what is taken beyond that is freed as it is given back.
    pub fn resize(&mut self, bytes: usize) {
        self.capacity = (bytes / BUFFER_BYTES).max(2 * RESPONSE_RESERVE);
        while self.allocated > self.capacity && self.free.pop().is_some() {
            self.allocated -= 1;
        }
    }

    /// A buffer for a request or an attempt; none where only those reserved for responses are left.
    pub fn take(&mut self) -> Option<Buffer> {
        let available = self.free.len() + self.capacity.saturating_sub(self.allocated);
        if available <= RESPONSE_RESERVE {
            return None;
        }
        self.take_reserved()
    }

    /// A buffer for a response; none where all are taken.
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

    /// Gives a buffer back that was taken from the pool.
    pub fn give_back(&mut self, buffer: Buffer) {
        if self.allocated > self.capacity {
            self.allocated -= 1;
        } else {
            self.free.push(buffer.bytes);
        }
    }
}
