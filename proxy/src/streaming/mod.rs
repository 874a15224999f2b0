//! Streaming of request and response bodies that are too long for one buffer.

mod request;
mod response;

use crate::buffers::Buffer;
use crate::downstream::BodyArrival;
use crate::http::Message;
use crate::slot_table::UpstreamKey;
use mio::net::TcpStream;

/// A long response, or one of unknown length, is streamed once this many bytes have been received. Until then the
/// request can still be retried if the response fails or stalls.
pub const FIRST_PIECE_BYTES: usize = 8 * 1024;
/// Longest time for which a response of unknown length is held back after its first piece: half of the 2 s after which
/// a response counts as delayed.
pub const BUFFERING_LIMIT_MS: f64 = 1000.0;
/// How long after the request's deadline more of a possibly short response is awaited. The client gives up half a
/// second after the deadline; the difference is left for delivery.
pub const SHORT_RESPONSE_GRACE_MS: f64 = 400.0;
/// Longest pause of an endpoint within a long response: longer than endpoints that hang for a while do.
pub const RESPONSE_STALL_TIMEOUT_MS: f64 = 30_000.0;
/// Longest pause of an endpoint reading a request, or of a client reading a response.
pub const STALL_TIMEOUT_MS: f64 = 10_000.0;

/// The body of a client's request while it is being received.
pub struct Upload<'a> {
    /// Socket of the client.
    pub stream: &'a mut TcpStream,
    /// Bytes received and not yet forwarded.
    pub read_buffer: &'a mut Buffer,
    /// The message in the read buffer.
    pub message: &'a mut Message,
    /// The connection of the endpoint that has taken the first piece; it alone gets the rest.
    pub body_target: &'a mut Option<UpstreamKey>,
    /// Body bytes received in the current rate measurement.
    pub received_bytes: &'a mut usize,
    /// When the body's bytes arrived at this machine.
    pub arrival: &'a mut BodyArrival,
    /// When the last of them were received.
    pub last_received_at: &'a mut f64,
}
