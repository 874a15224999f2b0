//! The UDP port of the cluster.

use super::error::ClusterError;
use crate::tokens::CLUSTER;
use crankmux_membership::Membership;
use crankmux_operator_config::ClusterOptions;
use mio::net::UdpSocket;
use mio::{Interest, Registry};
use std::io;

/// Datagrams read in one turn of the event loop. A flood at the port would otherwise keep requests waiting: some
/// 16,000 a second are read at most, each in microseconds; a cluster of a thousand sends a proxy some twenty.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// How soon the next are read where more may wait.
const READ_AGAIN_AFTER_MS: f64 = 2.0;
/// Longer than any valid datagram, so that one that is too long is seen to be.
const READ_BUFFER_LENGTH: usize = 2048;

/// What became of the datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DatagramCounters {
    pub(super) sent: u64,
    pub(super) send_failed: u64,
    pub(super) accepted: u64,
    pub(super) rejected: u64,
}

/// The socket, and when to read it without an event.
pub(super) struct ClusterPort {
    socket: UdpSocket,
    read_again_at_ms: f64,
    pub(super) counters: DatagramCounters,
}

impl ClusterPort {
    /// Opens the port.
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
        Ok(ClusterPort {
            socket,
            read_again_at_ms: f64::INFINITY,
            counters: DatagramCounters::default(),
        })
    }

    /// Takes the port out of the event loop.
    pub(super) fn close(&mut self, registry: &Registry) {
        // One that was not registered is as good as one taken out.
        let _ = registry.deregister(&mut self.socket);
    }

    /// When to read again though no event has come, as more may wait than were read.
    pub(super) fn read_again_at_ms(&self) -> f64 {
        self.read_again_at_ms
    }

    /// Reads what has come, not more than one turn may take.
    pub(super) fn read(&mut self, now_ms: f64, membership: &mut Membership) {
        let mut buffer = [0; READ_BUFFER_LENGTH];
        self.read_again_at_ms = now_ms + READ_AGAIN_AFTER_MS;
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => match membership.receive(now_ms, from, &buffer[..length]) {
                    Ok(()) => self.counters.accepted += 1,
                    Err(_) => self.counters.rejected += 1,
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    // The next event tells when there is more.
                    self.read_again_at_ms = f64::INFINITY;
                    return;
                }
                // Interrupted, or a datagram sent before found nobody at its port.
                Err(_) => {}
            }
        }
    }

    /// Sends what membership wants sent. A datagram that the system does not take is lost, as any may be.
    pub(super) fn send(&mut self, membership: &mut Membership) {
        for (to, datagram) in membership.take_datagrams() {
            match self.socket.send_to(&datagram, to) {
                Ok(_) => self.counters.sent += 1,
                Err(_) => self.counters.send_failed += 1,
            }
        }
    }
}
