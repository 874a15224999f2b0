//! A client's request on a connection of its own.

use crate::http::{Message, Reader};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request.
pub struct Head<'a> {
    pub class: &'a str,
    pub method: &'a str,
    pub tenant: &'a str,
    pub id: &'a str,
    pub timeout_ms: f64,
}

impl Head<'_> {
    /// The head as it is sent; `framing` is the header that tells the body's end.
    pub fn text(&self, framing: &str) -> String {
        let Head {
            class,
            method,
            tenant,
            id,
            timeout_ms,
        } = self;
        let timeout = timeout_ms / 1000.0;
        format!(
            "{method} /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {class}\r\nX-Tenant-Id: {tenant}\r\nX-Timeout: {timeout:.3}\r\n{framing}\r\n\r\n"
        )
    }
}

/// Connects to the proxy.
///
/// # Errors
///
/// The connection is refused.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Waits for the answer.
///
/// # Errors
///
/// The connection ended before a whole answer, or nothing came in time.
pub fn read_answer(stream: &mut TcpStream, wait: Duration) -> io::Result<Message> {
    stream.set_read_timeout(Some(wait))?;
    Reader::default().read(stream)
}

/// Writes one chunk of a body.
///
/// # Errors
///
/// The connection is broken.
pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}

/// Body bytes that differ from request to request and from place to place.
pub fn body(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut body = Vec::with_capacity(length);
    while body.len() < length {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        body.extend(format!("{state:016x}").into_bytes());
    }
    body.truncate(length);
    body
}
