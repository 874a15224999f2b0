//! Message body framing (RFC 9112, section 6): decoding received bodies and framing forwarded ones.

use super::ParseError;
use crate::buffers::{Buffer, MAX_HEAD_BYTES};
use httparse::Status;

/// Limit on a chunk's size line, including extensions: one without an end would fill the buffer.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// Limit on the size lines of all chunks of a body, in addition to `MAX_SIZE_LINE_BYTES_PER_BODY_BYTE`.
const MAX_SIZE_LINE_BYTES: usize = 16 * 1024;
/// Limit on the size lines of all chunks per byte of the body: several times those of chunks of a single byte.
const MAX_SIZE_LINE_BYTES_PER_BODY_BYTE: usize = 16;

/// What the decoder expects next.
#[derive(Clone, Copy)]
pub(super) enum BodyState {
    /// The rest of a body delimited by `Content-Length`.
    Length { remaining: usize },
    /// The size line of a chunk.
    ChunkSize,
    /// The rest of a chunk's data.
    ChunkData { remaining: usize },
    /// The line end after a chunk's data.
    ChunkEnd,
    /// The trailer section after the last chunk.
    Trailers,
    /// The rest of a body delimited by the close of the connection.
    UntilClose,
    /// Nothing: the body is complete.
    Complete,
}

/// How the end of a forwarded body is indicated.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// `Content-Length`.
    Length(usize),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// The close of the connection. A request framed like this has no body.
    UntilClose,
}

impl BodyFraming {
    /// The framing header, if there is one, and the empty line that ends the head.
    pub(super) fn framing_header_lines(self) -> String {
        match self {
            BodyFraming::Length(length) => format!("Content-Length: {length}\r\n\r\n"),
            BodyFraming::Chunked => "Transfer-Encoding: chunked\r\n\r\n".into(),
            BodyFraming::UntilClose => "\r\n".into(),
        }
    }
}

/// Appends a piece of a body, as a chunk if the body is chunked. Returns whether it fitted.
pub(super) fn write_body_piece(bytes: &[u8], chunked: bool, buffer: &mut Buffer) -> bool {
    // A chunk of size zero would end the body.
    if !chunked || bytes.is_empty() {
        return buffer.append(bytes);
    }
    buffer.append(format!("{:x}\r\n", bytes.len()).as_bytes())
        && buffer.append(bytes)
        && buffer.append(b"\r\n")
}

/// A message in a buffer. The part of its body that has been received and decoded is at `body_start..body_end`.
#[derive(Clone)]
pub struct Message {
    /// End of the head and start of the body.
    pub body_start: usize,
    /// End of the decoded part of the body.
    pub body_end: usize,
    /// Whether the connection may be reused after this message.
    pub keep_alive: bool,
    /// Whether the sender accepts chunked bodies, as HTTP/1.1 requires.
    pub accepts_chunked: bool,
    max_body: usize,
    /// Body bytes that have been removed from the buffer.
    consumed_bytes: usize,
    /// Bytes of the size lines of all chunks so far.
    size_line_bytes: usize,
    /// Bytes of the trailer section so far.
    trailer_bytes: usize,
    state: BodyState,
}

impl Message {
    pub(super) fn new(
        head_length: usize,
        keep_alive: bool,
        accepts_chunked: bool,
        max_body: usize,
        state: BodyState,
    ) -> Self {
        Message {
            body_start: head_length,
            body_end: head_length,
            keep_alive,
            accepts_chunked,
            max_body,
            consumed_bytes: 0,
            size_line_bytes: 0,
            trailer_bytes: 0,
            state,
        }
    }

    /// Decodes in place what has been received since the last call. Returns whether the body is complete.
    ///
    /// # Errors
    ///
    /// The body is malformed or too long.
    pub fn decode_body(&mut self, buffer: &mut Buffer) -> Result<bool, ParseError> {
        let mut next = self.body_end;
        while self.decode_next(buffer.filled_mut(), &mut next)? {}
        buffer.remove(self.body_end..next);
        Ok(self.is_complete())
    }

    /// Decodes one element at `next`. Returns false if more bytes are needed or the body is complete.
    fn decode_next(&mut self, bytes: &mut [u8], next: &mut usize) -> Result<bool, ParseError> {
        match self.state {
            BodyState::Complete => Ok(false),
            BodyState::Length { remaining } => {
                let remaining = self.decode_data(bytes, next, remaining);
                self.state = if remaining == 0 {
                    BodyState::Complete
                } else {
                    BodyState::Length { remaining }
                };
                Ok(remaining == 0)
            }
            BodyState::ChunkData { remaining } => {
                let remaining = self.decode_data(bytes, next, remaining);
                self.state = if remaining == 0 {
                    BodyState::ChunkEnd
                } else {
                    BodyState::ChunkData { remaining }
                };
                Ok(remaining == 0)
            }
            BodyState::ChunkEnd => self.decode_chunk_end(&bytes[*next..], next),
            BodyState::ChunkSize => self.decode_chunk_size(&bytes[*next..], next),
            BodyState::Trailers => self.decode_trailer(&bytes[*next..], next),
            BodyState::UntilClose => {
                let received = bytes.len() - *next;
                if self.body_received() + received > self.max_body {
                    return Err(ParseError::BodyTooLong);
                }
                self.body_end += received;
                *next += received;
                Ok(false)
            }
        }
    }

    /// Moves up to `wanted` data bytes to the end of the decoded body. Returns how many are still missing.
    fn decode_data(&mut self, bytes: &mut [u8], next: &mut usize, wanted: usize) -> usize {
        let taken = wanted.min(bytes.len() - *next);
        if taken > 0 && *next != self.body_end {
            bytes.copy_within(*next..*next + taken, self.body_end);
        }
        self.body_end += taken;
        *next += taken;
        wanted - taken
    }

    fn decode_chunk_end(&mut self, rest: &[u8], next: &mut usize) -> Result<bool, ParseError> {
        if rest.len() < 2 {
            return Ok(false);
        }
        if &rest[..2] != b"\r\n" {
            return Err(ParseError::MalformedChunk);
        }
        *next += 2;
        self.state = BodyState::ChunkSize;
        Ok(true)
    }

    fn decode_chunk_size(&mut self, rest: &[u8], next: &mut usize) -> Result<bool, ParseError> {
        match httparse::parse_chunk_size(rest) {
            Ok(Status::Complete((line_length, size))) => {
                *next += line_length;
                self.size_line_bytes += line_length;
                if self.size_line_bytes > self.max_size_line_bytes() {
                    return Err(ParseError::ChunkExtensionsTooLong);
                }
                if size > self.max_body.saturating_sub(self.body_received()) as u64 {
                    return Err(ParseError::BodyTooLong);
                }
                self.state = if size == 0 {
                    BodyState::Trailers
                } else {
                    BodyState::ChunkData {
                        remaining: size as usize,
                    }
                };
                Ok(true)
            }
            Ok(Status::Partial) if rest.len() <= MAX_CHUNK_SIZE_LINE_BYTES => Ok(false),
            Ok(Status::Partial) | Err(_) => Err(ParseError::MalformedChunk),
        }
    }

    /// The limit on the size lines of all chunks, given the body received so far. Without one, a peer could go on with
    /// chunks that are almost all extension for a hundred times the longest body.
    fn max_size_line_bytes(&self) -> usize {
        MAX_SIZE_LINE_BYTES + MAX_SIZE_LINE_BYTES_PER_BODY_BYTE * self.body_received()
    }

    fn decode_trailer(&mut self, rest: &[u8], next: &mut usize) -> Result<bool, ParseError> {
        match rest.windows(2).position(|pair| pair == b"\r\n") {
            Some(line_length) => {
                *next += line_length + 2;
                self.trailer_bytes += line_length + 2;
                if line_length == 0 {
                    self.state = BodyState::Complete;
                } else if self.trailer_bytes > MAX_HEAD_BYTES {
                    return Err(ParseError::TrailersTooLong);
                }
                Ok(true)
            }
            None if rest.len() > MAX_HEAD_BYTES => Err(ParseError::TrailersTooLong),
            None => Ok(false),
        }
    }

    /// The length of the body, if the head declares it or the body is complete.
    pub fn body_length(&self) -> Option<usize> {
        match self.state {
            BodyState::Length { remaining } => Some(self.body_received() + remaining),
            BodyState::Complete => Some(self.body_received()),
            _ => None,
        }
    }

    /// How many body bytes have been received, including those removed from the buffer.
    pub fn body_received(&self) -> usize {
        self.consumed_bytes + self.body_end - self.body_start
    }

    /// Whether the whole body has been received.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, BodyState::Complete)
    }

    /// Whether these bytes, which follow those decoded so far, complete the body. Decodes them in place.
    pub fn is_completed_by(&self, bytes: &mut [u8]) -> bool {
        let mut rest = self.clone();
        rest.consumed_bytes = self.body_received();
        rest.body_start = 0;
        rest.body_end = 0;
        let mut next = 0;
        while let Ok(true) = rest.decode_next(bytes, &mut next) {}
        rest.is_complete()
    }

    /// Whether the body is delimited by the close of the connection.
    pub fn ends_at_close(&self) -> bool {
        matches!(self.state, BodyState::UntilClose)
    }

    /// Marks the body as complete, when the connection has closed or the message has no body.
    pub fn mark_complete(&mut self) {
        self.state = BodyState::Complete;
    }

    /// Removes the head and the decoded part of the body from the buffer.
    pub fn consume(&mut self, buffer: &mut Buffer) {
        self.consumed_bytes += self.body_end - self.body_start;
        buffer.remove(0..self.body_end);
        self.body_start = 0;
        self.body_end = 0;
    }

    /// Moves the decoded part of the body to another buffer, which must be empty and of the same size.
    pub fn move_body(&mut self, from: &mut Buffer, to: &mut Buffer, chunked: bool) {
        let body = &from.filled()[self.body_start..self.body_end];
        let fitted = write_body_piece(body, chunked, to)
            && (!chunked || !self.is_complete() || to.append(b"0\r\n\r\n"));
        debug_assert!(fitted, "a body piece must fit into an empty buffer");
        self.consume(from);
    }
}
