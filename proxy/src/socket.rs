//! Checks of a TCP connection's state that consume no data.

use mio::net::TcpStream;
use std::io;

/// Whether a connection has bytes to read.
pub fn has_unread_data(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Ok(1..))
}

/// Whether a connection is open and has no bytes to read.
pub fn is_open_and_idle(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}
