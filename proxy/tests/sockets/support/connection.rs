//! TCP connections in unusual states: reset, or waiting in a full accept queue.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// From now on the close of this connection sends a reset.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
}

/// Ends a connection with a reset.
pub(crate) fn reset_connection(stream: TcpStream) {
    reset_on_close(&stream);
}

/// A listener whose accept queue is full, with the connections that fill it: a further connection is established
/// only once they are accepted.
pub(crate) fn full_accept_queue() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(50)) {
        queued.push(stream);
    }
    (listener, address, queued)
}

/// An address as /proc/net/tcp writes it.
pub(crate) fn proc_net_address(address: SocketAddr) -> String {
    format!("0100007F:{:04X}", address.port())
}

/// Whether any connection of the system is in a state of /proc/net/tcp and its two addresses (local, remote) match.
pub(crate) fn any_connection_in_state(
    addresses_match: impl Fn(&mut dyn Iterator<Item = &str>) -> bool,
    state: &str,
) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(3) == Some(&state) && addresses_match(&mut fields[1..3].iter().copied())
    })
}

/// Whether a connection to an address has sent its SYN and has no answer yet.
pub(crate) fn is_connecting_to(address: SocketAddr) -> bool {
    any_connection_in_state(
        |addresses| addresses.nth(1) == Some(&proc_net_address(address)),
        "02",
    )
}

/// Makes a connection writable only while its system holds no byte that it has not sent.
pub(crate) fn hold_no_unsent_bytes(stream: &TcpStream) {
    socket2::SockRef::from(stream)
        .set_tcp_notsent_lowat(1)
        .expect("a socket");
}

/// Whether a connection becomes writable within a time. After [`hold_no_unsent_bytes`], all that was written has been
/// sent then; on loopback, it is at the other side.
pub(crate) fn becomes_writable(stream: &TcpStream, limit: Duration) -> bool {
    let timeout = Timespec {
        tv_sec: limit.as_secs() as i64,
        tv_nsec: i64::from(limit.subsec_nanos()),
    };
    let mut descriptors = [PollFd::new(stream, PollFlags::OUT)];
    poll(&mut descriptors, Some(&timeout)).is_ok_and(|ready| ready == 1)
}
