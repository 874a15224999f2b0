//! A minimal HTTP/1.1 parser over non-blocking connections: requests for simulated endpoints and discovery, responses
//! for simulated clients and observers.

use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};

const READ_SIZE: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// The headers of a message, in wire order.
pub(crate) struct Headers(Vec<(String, String)>);

impl Headers {
    fn new(parsed: &[httparse::Header]) -> Self {
        let headers = parsed.iter().map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_string(), value)
        });
        Headers(headers.collect())
    }

    /// Returns the value of the first header of this name, ignoring case.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    fn content_length(&self) -> usize {
        self.get("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0)
    }

    fn keep_alive(&self) -> bool {
        !self
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A complete request. The body is read and discarded.
pub(crate) struct Request {
    pub(crate) path: String,
    pub(crate) headers: Headers,
}

pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) keep_alive: bool,
    pub(crate) body: Vec<u8>,
}

/// A connection with its input and output buffers.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    /// A write has succeeded, so the TCP handshake is complete.
    pub(crate) established: bool,
    /// Reached the end of the stream, failed, or received malformed HTTP.
    pub(crate) ended: bool,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // TCP_NODELAY only reduces latency. It fails only if the peer has disconnected, which the next read reports.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            established: false,
            ended: false,
        }
    }

    /// Reads all available bytes into the input buffer.
    pub(crate) fn read_available(&mut self) {
        let mut chunk = [0; READ_SIZE];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => break self.ended = true,
                Ok(length) => self.input.extend(&chunk[..length]),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => break,
                    ErrorKind::Interrupted => {}
                    _ => break self.ended = true,
                },
            }
        }
    }

    /// Removes the next complete request from the input buffer. A malformed one ends the connection.
    pub(crate) fn take_request(&mut self) -> Option<Request> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut storage);
        let status = parsed.parse(&self.input);
        let path = parsed.path.unwrap_or_default().to_string();
        let headers = Headers::new(parsed.headers);
        let head_length = self.head_length_if_complete(status)?;
        self.take_body(head_length, &headers)?;
        Some(Request { path, headers })
    }

    /// Removes the next complete response from the input buffer. A malformed one ends the connection.
    pub(crate) fn take_response(&mut self) -> Option<Response> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut storage);
        let status = parsed.parse(&self.input);
        let code = parsed.code.unwrap_or(0);
        let headers = Headers::new(parsed.headers);
        let head_length = self.head_length_if_complete(status)?;
        let body = self.take_body(head_length, &headers)?;
        Some(Response {
            status: code,
            keep_alive: headers.keep_alive(),
            body,
        })
    }

    /// Returns the length of a message's headers once they are complete.
    fn head_length_if_complete(&mut self, parsed: httparse::Result<usize>) -> Option<usize> {
        match parsed {
            Ok(httparse::Status::Complete(length)) => Some(length),
            Ok(httparse::Status::Partial) => None,
            Err(_) => {
                self.ended = true;
                None
            }
        }
    }

    /// Removes a message from the input buffer once its body is complete, and returns the body.
    fn take_body(&mut self, head_length: usize, headers: &Headers) -> Option<Vec<u8>> {
        let length = head_length + headers.content_length();
        if self.input.len() < length {
            return None;
        }
        Some(self.input.drain(..length).skip(head_length).collect())
    }

    /// Appends a message to the output buffer and flushes without blocking.
    pub(crate) fn send(&mut self, message: &str) {
        self.output.extend(message.as_bytes());
        self.flush();
    }

    /// Writes as much of the output buffer as the socket accepts.
    pub(crate) fn flush(&mut self) {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return self.ended = true,
                Ok(length) => {
                    self.established = true;
                    self.output.drain(..length);
                }
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => return,
                    ErrorKind::Interrupted => {}
                    _ => return self.ended = true,
                },
            }
        }
    }
}
