//! A buffer: bytes read from or to be written to a connection.

use std::io::{self, Read, Write};
use std::ops::Range;

/// Space that reads leave free for the header fields that the proxy adds when it forwards a head.
const WRITE_RESERVE_BYTES: usize = 512;

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

    /// Creates an empty buffer from bytes that another one was made of.
    pub(super) fn from_bytes(bytes: Box<[u8]>) -> Self {
        Buffer { bytes, filled: 0 }
    }

    /// The bytes that the buffer was made of.
    pub(super) fn into_bytes(self) -> Box<[u8]> {
        self.bytes
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
