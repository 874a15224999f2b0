//! The listening socket for clients.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Length of the accept queue.
pub(crate) const BACKLOG: i32 = 1024;

/// Binds the listener. The port is shared so that the newer process of an upgrade can bind it when the older one
/// has not handed over its listener.
///
/// # Errors
///
/// Fails if the address is not available.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
