//! Streaming: request and response bodies that are too long for one buffer go through in pieces.

mod request;
mod response;

use crate::buffers::Buffer;
use crate::http::Message;
use mio::net::TcpStream;

/// A long response, or one of unknown length, is streamed once so many bytes of it have been received. Before that
/// its request may still be retried if the response breaks off or stands still.
pub const FIRST_PIECE_BYTES: usize = 8 * 1024;
/// A response of unknown length of which the first piece is here is held back for no longer: half of the 2 s from
/// which on operators call a response delayed. A shorter one counts with its last byte, and loses nothing meanwhile.
pub const BUFFERING_LIMIT_MS: f64 = 1000.0;
/// How long after its request's deadline a response that may still turn out to be short waits for more: the half
/// second after which it would be lost, less a share for the way.
pub const SHORT_RESPONSE_GRACE_MS: f64 = 400.0;
/// An endpoint that has begun its response, and a client that takes one, may pause for seconds, but not for so
/// long.
pub const STALL_TIMEOUT_MS: f64 = 10_000.0;

/// The body of a client's request while it is being received.
pub struct Upload<'a> {
    /// The client's socket.
    pub stream: &'a mut TcpStream,
    /// Bytes received that have not gone on.
    pub read_buffer: &'a mut Buffer,
    /// Where head and body end in the read buffer.
    pub message: &'a mut Message,
    /// Whether the first piece has been released, so that the request can no longer be retried.
    pub first_piece_sent: &'a mut bool,
    /// Bytes of the body received so far.
    pub received_bytes: &'a mut usize,
    /// When the last of them came.
    pub last_received_at: &'a mut f64,
}
