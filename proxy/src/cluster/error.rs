//! Why a proxy cannot take part in its cluster.

use crankmux_membership::KeyError;
use std::io;
use std::net::SocketAddr;

/// Why a proxy cannot take part in its cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The UDP port cannot be opened.
    #[error("{section}.listen: {address}: {source}")]
    Listen {
        /// The section of the operator's file, as it is written there.
        section: &'static str,
        /// The address of the key `listen`.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The receive buffer cannot have the size of the key `receive-buffer`.
    #[error("{section}.receive-buffer: {source}")]
    ReceiveBuffer {
        /// The section of the operator's file, as it is written there.
        section: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// A key of the cluster is none.
    #[error(transparent)]
    Key(#[from] KeyError),
}
