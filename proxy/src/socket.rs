//! Checks of a TCP connection's state that consume no data, and its close.

use mio::net::TcpStream;
use rustix::event::{PollFd, PollFlags, Timespec};
use socket2::SockRef;
use std::io;
use std::time::Duration;

/// The value of `TCP_NOTSENT_LOWAT` that restores the system's default.
const DEFAULT_UNSENT_LIMIT: u32 = 0;

/// Whether a connection has bytes to read.
pub fn has_unread_data(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Ok(1..))
}

/// Whether a connection is open and has no bytes to read.
pub fn is_open_and_idle(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the system holds bytes that it has not sent to the peer, as when the peer does not read. True also if most
/// of the send buffer is in use.
pub fn has_unsent_data(stream: &TcpStream) -> bool {
    let socket = SockRef::from(stream);
    // With this limit, the socket is writable only while no byte is unsent.
    let limited = socket.set_tcp_notsent_lowat(1);
    let mut descriptors = [PollFd::new(stream, PollFlags::OUT)];
    let polled = rustix::event::poll(&mut descriptors, Some(&Timespec::default()));
    let writable = descriptors[0].revents().contains(PollFlags::OUT);
    let restored = socket.set_tcp_notsent_lowat(DEFAULT_UNSENT_LIMIT);
    if let Err(error) = limited.and(restored) {
        log::debug!("cannot set TCP_NOTSENT_LOWAT: {error}");
    }
    polled.is_ok() && !writable
}

/// Makes the close of a connection discard what the peer has not received. Otherwise the system would go on to deliver
/// it in the background.
pub fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("cannot set SO_LINGER to reset a connection: {error}");
    }
}
