//! The HTTP connection to the discovery agent. It carries one request at a time.

use super::error::PollError;
use crate::buffers::{Buffer, ReadOutcome};
use crate::http::{self, Message};
use crate::tokens::DISCOVERY;
use crate::turn::StepBudget;
use mio::net::TcpStream;
use mio::{Interest, Registry};
use std::io::{self, Write};
use std::net::SocketAddr;

/// Initial size of the receive buffer, in bytes: enough for a list of about fifty endpoints.
const INITIAL_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum response size, in bytes: enough for an indented list of tens of thousands of endpoints.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The result of [`DiscoveryConnection::advance`].
pub(super) enum Progress {
    /// Bytes were received; there may be more.
    Received,
    /// The socket would block.
    Pending,
    ResponseComplete,
    /// The agent closed the connection or sent data while no poll was in flight.
    ClosedWhileIdle,
}

pub(super) struct PollResponse<'a> {
    pub(super) status: u16,
    pub(super) body: &'a [u8],
    /// Whether the connection can be reused.
    pub(super) keep_alive: bool,
}

/// The connection and its buffers, which are kept when the stream is closed.
pub(super) struct DiscoveryConnection {
    stream: Option<TcpStream>,
    request: Vec<u8>,
    bytes_sent: usize,
    received: Buffer,
    /// The response, once its head has been parsed.
    response: Option<PartialResponse>,
    /// The steps taken in this turn of the event loop.
    pub(super) step_budget: StepBudget,
}

struct PartialResponse {
    status: u16,
    message: Message,
}

impl DiscoveryConnection {
    pub(super) fn new() -> Self {
        DiscoveryConnection {
            stream: None,
            request: Vec::new(),
            bytes_sent: 0,
            received: Buffer::with_capacity(INITIAL_BUFFER_BYTES),
            response: None,
            step_budget: StepBudget::default(),
        }
    }

    pub(super) fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Starts a non-blocking connect.
    pub(super) fn open(&mut self, address: SocketAddr, registry: &Registry) -> io::Result<()> {
        let mut stream = TcpStream::connect(address)?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut stream, DISCOVERY, interest)?;
        self.stream = Some(stream);
        Ok(())
    }

    pub(super) fn close(&mut self, registry: &Registry) {
        if let Some(mut stream) = self.stream.take() {
            // An error can be ignored: closing the stream also removes its registration.
            let _ = registry.deregister(&mut stream);
        }
    }

    /// Queues a request and discards the previous request and response.
    pub(super) fn queue_request(&mut self, address: SocketAddr, target: &str) {
        self.request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n").into_bytes();
        self.bytes_sent = 0;
        self.response = None;
        self.received.remove(0..self.received.filled().len());
    }

    /// Writes the request and reads once.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the response is invalid.
    pub(super) fn advance(&mut self, poll_in_flight: bool) -> Result<Progress, PollError> {
        let Some(stream) = &mut self.stream else {
            return Ok(Progress::Pending);
        };
        if stream.peer_addr().is_err() {
            return match stream.take_error() {
                Ok(Some(error)) => Err(error.into()),
                // Still connecting. If the socket error cannot be read, the poll fails at its deadline.
                Ok(None) | Err(_) => Ok(Progress::Pending),
            };
        }
        if !poll_in_flight {
            return Ok(match self.received.read_from(stream) {
                ReadOutcome::WouldBlock => Progress::Pending,
                _ => Progress::ClosedWhileIdle,
            });
        }
        send_request(stream, &self.request, &mut self.bytes_sent)?;
        self.read_response()
    }

    fn read_response(&mut self) -> Result<Progress, PollError> {
        let Some(stream) = &mut self.stream else {
            return Ok(Progress::Pending);
        };
        let outcome = self.received.read_from(stream);
        let closed = outcome == ReadOutcome::Closed;
        if parse_received(&mut self.response, &mut self.received, closed)? {
            return Ok(Progress::ResponseComplete);
        }
        match outcome {
            ReadOutcome::Received => Ok(Progress::Received),
            ReadOutcome::WouldBlock => Ok(Progress::Pending),
            ReadOutcome::BufferFull if self.received.grow(MAX_RESPONSE_BYTES) => {
                Ok(Progress::Received)
            }
            ReadOutcome::BufferFull => Err(PollError::ResponseTooLarge),
            ReadOutcome::Closed | ReadOutcome::Failed => Err(PollError::ConnectionClosed),
        }
    }

    /// Takes the complete response. Its body borrows from the receive buffer.
    pub(super) fn take_response(&mut self) -> Option<PollResponse<'_>> {
        let PartialResponse { status, message } = self.response.take()?;
        Some(PollResponse {
            status,
            body: &self.received.filled()[message.body_start..message.body_end],
            keep_alive: message.keep_alive,
        })
    }

    /// Shrinks the receive buffer to its initial size: large responses are rare.
    pub(super) fn shrink_receive_buffer(&mut self) {
        if self.received.capacity() > INITIAL_BUFFER_BYTES {
            self.received = Buffer::with_capacity(INITIAL_BUFFER_BYTES);
        }
    }
}

fn send_request(
    stream: &mut TcpStream,
    request: &[u8],
    bytes_sent: &mut usize,
) -> Result<(), PollError> {
    while *bytes_sent < request.len() {
        match stream.write(&request[*bytes_sent..]) {
            Ok(written) => *bytes_sent += written,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

/// Parses the received bytes and returns whether the response is complete. `closed` tells whether the connection was
/// closed after them.
fn parse_received(
    response: &mut Option<PartialResponse>,
    received: &mut Buffer,
    closed: bool,
) -> Result<bool, PollError> {
    if response.is_none() {
        let head = http::parse_response(received.filled(), MAX_RESPONSE_BYTES, |status, _| status)
            .map_err(|_| PollError::InvalidResponseHead)?;
        *response = head.map(|(message, status)| PartialResponse { status, message });
    }
    let Some(PartialResponse { message, .. }) = response else {
        return Ok(false);
    };
    let complete = message
        .decode_body(received)
        .map_err(|_| PollError::InvalidResponseBody)?;
    Ok(complete || (closed && message.ends_at_close()))
}
