//! The state of a TCP connection as the system sees it, without reading from it.

use mio::net::TcpStream;
use std::io;

/// Whether there are bytes to be read on a connection.
pub fn has_unread_data(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Ok(1..))
}

/// Whether a connection is open and has no bytes to be read.
pub fn is_silent(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}
