//! The address at which clients connect.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// Listens at an address. Danger: without sharing it the newer process of an upgrade could not listen where
/// no listener was handed over.
pub fn bound(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    // As many as the system lets wait.
    socket.listen(1024)?;
    Ok(socket.into())
}
