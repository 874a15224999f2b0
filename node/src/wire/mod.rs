//! What is spoken: HTTP/1.1 with clients, servers and discovery.

pub mod admin;
pub mod bans;
pub mod bodies;
pub mod clients;
pub mod discovery;
pub mod fleet;
pub mod http;
pub mod passing;
pub mod probes;
pub mod servers;
pub mod uploading;

/// Whether there are bytes to be read on a connection.
fn speaks(stream: &mio::net::TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Ok(1..))
}

/// Whether a connection is open and has nothing to say.
fn silent(stream: &mio::net::TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}
