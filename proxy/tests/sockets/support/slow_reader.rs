//! Listeners whose connections hold few unread bytes, and slow reading.

use super::wait::sleep_ms;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};

/// The segment size of Ethernet. Loopback's own would let a sender buffer far more.
const SEGMENT_BYTES: u32 = 1460;
const PIECE_BYTES: usize = 16 * 1024;
const PIECE_INTERVAL_MS: u64 = 10;

/// A loopback address that no other test uses: the system remembers figures of connections by address, and would
/// enlarge the buffers of later ones.
pub(crate) fn unused_loopback_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(
        127,
        1 + high % 250,
        low,
        NEXT.fetch_add(1, Ordering::SeqCst),
    )
}

/// A listener whose connections hold about this many bytes that the endpoint has not read.
pub(crate) fn listener_with_receive_buffer(bytes: usize) -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(bytes).unwrap();
    socket.set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket
        .bind(&SocketAddr::from((unused_loopback_address(), 0)).into())
        .unwrap();
    socket.listen(64).unwrap();
    socket.into()
}

/// Reads body bytes in pieces at intervals, until there are `length` of them or the connection ends.
pub(crate) fn read_slowly(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut received = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    while received.len() < length {
        let wanted = PIECE_BYTES.min(length - received.len());
        match stream.read(&mut piece[..wanted]) {
            Ok(count @ 1..) => received.extend_from_slice(&piece[..count]),
            _ => break,
        }
        sleep_ms(PIECE_INTERVAL_MS);
    }
    received
}
