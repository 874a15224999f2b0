//! Why a proxy cannot take part in its cluster.

use crankmux_membership::KeyError;
use std::io;
use std::net::SocketAddr;

/// Why a proxy cannot take part in its cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The UDP port cannot be opened.
    #[error("fleet.listen: {address}: {source}")]
    Listen {
        /// The address of `fleet.listen`.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The receive buffer cannot have the size of `fleet.receive-buffer`.
    #[error("fleet.receive-buffer: {0}")]
    ReceiveBuffer(#[source] io::Error),
    /// A key of the cluster is none.
    #[error(transparent)]
    Key(#[from] KeyError),
}
