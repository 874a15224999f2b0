//! HTTP/1.1 over non-blocking connections, as far as the harness needs it: requests arrive at stand-in endpoints
//! and at discovery, responses arrive at clients and observers.

use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};

const READ_SIZE: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// The headers of a message, in the order in which they were sent.
pub(crate) struct Headers(Vec<(String, String)>);

impl Headers {
    fn new(parsed: &[httparse::Header]) -> Self {
        let owned = parsed.iter().map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_string(), value)
        });
        Headers(owned.collect())
    }

    /// The value of the first header of this name, in any case of its letters.
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

/// A complete request. Its body is read and dropped.
pub(crate) struct Request {
    pub(crate) path: String,
    pub(crate) headers: Headers,
}

/// A complete response.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) keep_alive: bool,
    pub(crate) body: Vec<u8>,
}

/// One connection, with what was read of it and what is still to be written.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The other side's machine has accepted it: something could be written.
    pub(crate) established: bool,
    /// Read to its end, broken, or carrying what is not HTTP.
    pub(crate) ended: bool,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // It only saves a delay, and is refused only where the peer is already gone, which the next read finds.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            established: false,
            ended: false,
        }
    }

    /// Reads whatever has arrived.
    pub(crate) fn fill(&mut self) {
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

    /// Takes out the next complete request. A malformed one ends the connection.
    pub(crate) fn take_request(&mut self) -> Option<Request> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut storage);
        let status = parsed.parse(&self.input);
        let path = parsed.path.unwrap_or_default().to_string();
        let headers = Headers::new(parsed.headers);
        let head_length = self.complete(status)?;
        self.take_body(head_length, &headers)?;
        Some(Request { path, headers })
    }

    /// Takes out the next complete response. A malformed one ends the connection.
    pub(crate) fn take_response(&mut self) -> Option<Response> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut storage);
        let status = parsed.parse(&self.input);
        let code = parsed.code.unwrap_or(0);
        let headers = Headers::new(parsed.headers);
        let head_length = self.complete(status)?;
        let body = self.take_body(head_length, &headers)?;
        Some(Response {
            status: code,
            keep_alive: headers.keep_alive(),
            body,
        })
    }

    /// The length of a message's head, once all of it is there.
    fn complete(&mut self, parsed: httparse::Result<usize>) -> Option<usize> {
        match parsed {
            Ok(httparse::Status::Complete(length)) => Some(length),
            Ok(httparse::Status::Partial) => None,
            Err(_) => {
                self.ended = true;
                None
            }
        }
    }

    /// Takes a message out of the input once its body is complete. Returns the body.
    fn take_body(&mut self, head_length: usize, headers: &Headers) -> Option<Vec<u8>> {
        let length = head_length + headers.content_length();
        if self.input.len() < length {
            return None;
        }
        Some(self.input.drain(..length).skip(head_length).collect())
    }

    /// Queues a message and writes as much as can be written now.
    pub(crate) fn send(&mut self, message: &str) {
        self.output.extend(message.as_bytes());
        self.flush();
    }

    /// Writes what can be written now.
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
