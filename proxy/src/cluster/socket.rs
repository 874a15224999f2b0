//! The cluster's UDP socket.

use super::error::ClusterError;
use crate::tokens::CLUSTER;
use crankmux_membership::Membership;
use crankmux_operator_config::ClusterOptions;
use mio::net::UdpSocket;
use mio::{Interest, Registry};
use std::io;

/// Limit on datagrams per read, so that a flood of datagrams cannot delay requests. With `READ_INTERVAL_MS` it allows
/// 16,000 datagrams per second; a cluster of a thousand proxies sends each of them about twenty.
const MAX_DATAGRAMS_PER_READ: usize = 32;
/// Delay before the next read when the limit was reached.
const READ_INTERVAL_MS: f64 = 2.0;
/// Larger than any valid datagram, so that oversized ones are detected instead of truncated to a valid length.
const READ_BUFFER_BYTES: usize = 2048;

/// Counts of datagrams since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DatagramCounters {
    pub(super) sent: u64,
    pub(super) send_failed: u64,
    pub(super) accepted: u64,
    pub(super) rejected: u64,
}

/// The UDP socket, and when to read it without an event.
pub(super) struct ClusterSocket {
    socket: UdpSocket,
    next_read_at_ms: f64,
    pub(super) counters: DatagramCounters,
}

impl ClusterSocket {
    /// Binds the socket and registers it for events.
    pub(super) fn open(
        options: &ClusterOptions,
        registry: &Registry,
    ) -> Result<Self, ClusterError> {
        let section = options.section_name;
        let listen_error = |source: io::Error| ClusterError::Listen {
            section,
            address: options.listen,
            source,
        };
        let mut socket = UdpSocket::bind(options.listen).map_err(listen_error)?;
        socket2::SockRef::from(&socket)
            .set_recv_buffer_size(options.receive_buffer_bytes as usize)
            .map_err(|source| ClusterError::ReceiveBuffer { section, source })?;
        registry
            .register(&mut socket, CLUSTER, Interest::READABLE)
            .map_err(listen_error)?;
        Ok(ClusterSocket {
            socket,
            next_read_at_ms: f64::INFINITY,
            counters: DatagramCounters::default(),
        })
    }

    /// Removes the socket from the event loop.
    pub(super) fn deregister(&mut self, registry: &Registry) {
        // Fails only if it is not registered.
        let _ = registry.deregister(&mut self.socket);
    }

    /// When to read again without an event because datagrams may remain unread; infinite if none do.
    pub(super) fn next_read_at_ms(&self) -> f64 {
        self.next_read_at_ms
    }

    /// Reads up to `MAX_DATAGRAMS_PER_READ` datagrams and passes them to membership.
    pub(super) fn read(&mut self, now_ms: f64, membership: &mut Membership) {
        let mut buffer = [0; READ_BUFFER_BYTES];
        self.next_read_at_ms = now_ms + READ_INTERVAL_MS;
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => match membership.receive(now_ms, from, &buffer[..length]) {
                    Ok(()) => self.counters.accepted += 1,
                    Err(_) => self.counters.rejected += 1,
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    // The socket is drained, so the next datagram triggers an event.
                    self.next_read_at_ms = f64::INFINITY;
                    return;
                }
                // Interrupted, or an ICMP error for an earlier datagram.
                Err(_) => {}
            }
        }
    }

    /// Sends membership's pending datagrams. Those that cannot be sent are dropped; the protocol tolerates loss.
    pub(super) fn send(&mut self, membership: &mut Membership) {
        for (to, datagram) in membership.take_datagrams() {
            match self.socket.send_to(&datagram, to) {
                Ok(_) => self.counters.sent += 1,
                Err(_) => self.counters.send_failed += 1,
            }
        }
    }
}
