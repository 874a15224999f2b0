//! Allocation of loopback ports for tests that run in parallel.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};

const FIRST_PORT: usize = 10_000;
const PORT_COUNT: usize = 20_000;
/// Spacing of the ranges of test processes, whose ids are often consecutive.
const PORTS_PER_PROCESS: usize = 131;

/// Returns a loopback address whose port is free for both TCP and UDP, never the same one twice.
///
/// The range is below the usual range of ephemeral ports, so that the system does not assign the port to another socket
/// before it is bound, or while its proxy restarts.
///
/// # Panics
/// If no port in the range is free.
pub fn free_port() -> SocketAddr {
    static NEXT_OFFSET: AtomicUsize = AtomicUsize::new(0);
    let first = std::process::id() as usize * PORTS_PER_PROCESS;
    for _ in 0..PORT_COUNT {
        let offset = (first + NEXT_OFFSET.fetch_add(1, Ordering::SeqCst)) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, (FIRST_PORT + offset) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free loopback port in the range of the tests");
}
