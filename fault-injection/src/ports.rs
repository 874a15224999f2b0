//! Ports on loopback that no other test takes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};

const FIRST_PORT: usize = 10_000;
const PORTS: usize = 20_000;
/// Spreads processes that start at the same time over the range: their ids differ by little.
const PORTS_PER_PROCESS: usize = 131;

/// A port on loopback that is free for TCP and for UDP, and was not returned before.
///
/// A port from the system's own range may be handed to somebody else before it is used, and a proxy that restarts
/// needs its own again. These come from a range below that, and each is returned once.
///
/// # Panics
/// If no port of the range is free.
pub fn free_port() -> SocketAddr {
    static RETURNED: AtomicUsize = AtomicUsize::new(0);
    let first = std::process::id() as usize * PORTS_PER_PROCESS;
    for _ in 0..PORTS {
        let offset = (first + RETURNED.fetch_add(1, Ordering::SeqCst)) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, (FIRST_PORT + offset) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port on loopback");
}
