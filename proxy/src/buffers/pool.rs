//! The buffer pool: the limit on all buffers together, and their sizes.

use super::{Buffer, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};

/// Size of a full-size buffer: a complete message plus the framing of its last chunks.
pub const BUFFER_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES + 4 * 1024;
/// Reserved for responses: eight full-size buffers. If requests and attempts could take the last buffer, no request in
/// flight could be answered and the pool would deadlock.
const RESPONSE_RESERVE_BYTES: usize = 8 * BUFFER_BYTES;
/// Space that a buffer for a message of known length leaves for the framing and the header fields that the proxy adds.
const FRAMING_RESERVE_BYTES: usize = 1024;
/// Sizes of buffers below the full one are multiples of this.
const SIZE_STEP_BYTES: usize = 1024;
/// Buffers for responses up to this size are granted beyond the limit.
const ALWAYS_GRANTED_BYTES: usize = 2048;
/// Size of the buffers of a streamed body while memory is scarce: a trailer line, the longest part that is decoded at
/// once, and as much again.
const SMALL_PIECE_BUFFER_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// The largest buffer, for a client that is read ahead of its endpoint.
const MAX_READ_AHEAD_BYTES: usize = 1024 * 1024;
/// How long a connection waits before it tries again to get a buffer, in milliseconds.
pub const BUFFER_RETRY_MS: f64 = 10.0;

/// What a buffer is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferUse {
    /// A request or an attempt; a reserve is left for responses.
    Request,
    /// A response.
    Response,
}

/// A pool of buffers whose total size is bounded. Most are of one size, the full one; those that hold a message of known
/// length are no larger than it needs.
pub struct BufferPool {
    /// Full-size buffers that were given back.
    free: Vec<Box<[u8]>>,
    /// Total size of all buffers, free or taken.
    allocated_bytes: usize,
    /// Limit on the total size.
    capacity_bytes: usize,
    /// Limit for responses. It is above the capacity only while buffers taken before the capacity was lowered are in
    /// use, as the requests in flight need buffers for their responses.
    response_limit_bytes: usize,
}

impl BufferPool {
    /// Creates a pool limited to this many bytes.
    pub fn new(bytes: usize) -> Self {
        let mut pool = BufferPool {
            free: Vec::new(),
            allocated_bytes: 0,
            capacity_bytes: 0,
            response_limit_bytes: 0,
        };
        pool.resize(bytes);
        pool
    }

    /// Changes the limit. What is taken above the new limit is freed as it is given back.
    pub fn resize(&mut self, bytes: usize) {
        let least_bytes = 2 * RESPONSE_RESERVE_BYTES;
        let previous_limit_bytes = self.response_limit_bytes;
        self.capacity_bytes = bytes.max(least_bytes);
        while self.allocated_bytes > self.capacity_bytes && self.free.pop().is_some() {
            self.allocated_bytes -= BUFFER_BYTES;
        }
        self.response_limit_bytes = previous_limit_bytes;
        self.lower_response_limit();
    }

    /// Lowers the limit for responses to what is taken and the reserve, but not below the capacity.
    fn lower_response_limit(&mut self) {
        let taken_bytes = self.allocated_bytes - self.free.len() * BUFFER_BYTES;
        self.response_limit_bytes = self
            .response_limit_bytes
            .min(taken_bytes + RESPONSE_RESERVE_BYTES)
            .max(self.capacity_bytes);
    }

    /// Takes a full-size buffer for a request or an attempt; `None` if only those reserved for responses are left.
    pub fn take(&mut self) -> Option<Buffer> {
        self.take_of_size(BUFFER_BYTES)
    }

    /// Takes a buffer for a request or an attempt of this length; `None` if only those reserved for responses are left.
    pub fn take_for(&mut self, length: usize) -> Option<Buffer> {
        self.take_of_size(size_for(length))
    }

    fn take_of_size(&mut self, size: usize) -> Option<Buffer> {
        if self.available_bytes() < RESPONSE_RESERVE_BYTES + size {
            return None;
        }
        self.take_reserved_of_size(size)
    }

    /// How much can be taken, the reserve for responses included.
    fn available_bytes(&self) -> usize {
        let free_bytes = self.free.len() * BUFFER_BYTES;
        free_bytes + self.capacity_bytes.saturating_sub(self.allocated_bytes)
    }

    /// Whether more than half of the capacity is taken, so that buffers are kept no larger than needed.
    pub fn is_scarce(&self) -> bool {
        self.available_bytes() < self.capacity_bytes / 2
    }

    /// Takes a full-size buffer for a response; `None` if all are taken.
    pub fn take_reserved(&mut self) -> Option<Buffer> {
        self.take_reserved_of_size(BUFFER_BYTES)
    }

    /// Takes a buffer for a response of this length; `None` if all are taken. One for a response of a few hundred bytes is
    /// always granted, as every request must be answered; the number of connections bounds them.
    pub fn take_reserved_for(&mut self, length: usize) -> Option<Buffer> {
        let size = size_for(length);
        if size <= ALWAYS_GRANTED_BYTES {
            self.allocated_bytes += size;
            return Some(Buffer::with_capacity(size));
        }
        self.take_reserved_of_size(size)
    }

    fn take_reserved_of_size(&mut self, size: usize) -> Option<Buffer> {
        if size == BUFFER_BYTES {
            if let Some(bytes) = self.free.pop() {
                return Some(Buffer::from_bytes(bytes));
            }
        }
        while self.allocated_bytes + size > self.response_limit_bytes {
            self.free.pop()?;
            self.allocated_bytes -= BUFFER_BYTES;
        }
        self.allocated_bytes += size;
        Some(Buffer::with_capacity(size))
    }

    /// Returns a buffer to the pool.
    pub fn give_back(&mut self, buffer: Buffer) {
        let is_full_size = buffer.capacity() == BUFFER_BYTES;
        if is_full_size && self.allocated_bytes <= self.capacity_bytes {
            self.free.push(buffer.into_bytes());
        } else {
            self.allocated_bytes -= buffer.capacity();
        }
        self.lower_response_limit();
    }

    /// Replaces a buffer by one that is no larger than its content needs.
    pub fn shrink(&mut self, buffer: &mut Buffer) {
        let size = size_for(buffer.filled().len());
        if size >= buffer.capacity() {
            return;
        }
        let mut shrunk = Buffer::with_capacity(size);
        let is_copied = shrunk.append(buffer.filled());
        debug_assert!(is_copied, "the size follows from the content");
        self.allocated_bytes += size;
        self.give_back(std::mem::replace(buffer, shrunk));
    }

    /// Replaces a buffer by one of the full size, if there is one for a request. Returns whether it has the full size.
    pub fn expand(&mut self, buffer: &mut Buffer) -> bool {
        buffer.capacity() >= BUFFER_BYTES || self.replace(buffer, BUFFER_BYTES, BufferUse::Request)
    }

    /// Gives both buffers of a streamed body the size that pieces should have now: one is read into and its pieces are
    /// moved to the other, which must be of the same size. Returns false if memory has to be awaited.
    pub fn size_for_pieces(
        &mut self,
        read_buffer: &mut Buffer,
        write_buffer: &mut Buffer,
        buffer_use: BufferUse,
    ) -> bool {
        let size = if self.is_scarce() {
            SMALL_PIECE_BUFFER_BYTES
        } else {
            BUFFER_BYTES
        };
        let size = size.max(size_for(read_buffer.filled().len()));
        self.replace(read_buffer, size, buffer_use) && self.replace(write_buffer, size, buffer_use)
    }

    /// Gives a write buffer at least the size of the read buffer whose content is to be moved to it. Returns false if memory
    /// has to be awaited.
    pub fn grow_to(
        &mut self,
        write_buffer: &mut Buffer,
        read_buffer: &Buffer,
        buffer_use: BufferUse,
    ) -> bool {
        let size = read_buffer.capacity();
        write_buffer.capacity() >= size || self.replace(write_buffer, size, buffer_use)
    }

    /// Doubles a buffer, up to `MAX_READ_AHEAD_BYTES` and only while memory is not scarce. Returns whether it has grown.
    pub fn grow_to_read_ahead(&mut self, buffer: &mut Buffer) -> bool {
        let size = (2 * buffer.capacity()).min(MAX_READ_AHEAD_BYTES);
        size > buffer.capacity()
            && !self.is_scarce()
            && self.replace(buffer, size, BufferUse::Request)
    }

    /// Replaces a buffer by one of this size, which its content must fit into. Returns whether it has the size.
    fn replace(&mut self, buffer: &mut Buffer, size: usize, buffer_use: BufferUse) -> bool {
        if buffer.capacity() == size {
            return true;
        }
        let taken = match buffer_use {
            BufferUse::Request => self.take_of_size(size),
            BufferUse::Response => self.take_reserved_of_size(size),
        };
        let Some(mut replacement) = taken else {
            return false;
        };
        let is_copied = replacement.append(buffer.filled());
        debug_assert!(is_copied, "the content must fit into the new size");
        self.give_back(std::mem::replace(buffer, replacement));
        true
    }
}

/// The size of a buffer for a message of this length: the full one if little would be saved, and more only if it does not
/// fit into that.
fn size_for(length: usize) -> usize {
    let size = (length + FRAMING_RESERVE_BYTES).next_multiple_of(SIZE_STEP_BYTES);
    if size > BUFFER_BYTES / 2 && length <= BUFFER_BYTES {
        BUFFER_BYTES
    } else {
        size
    }
}
