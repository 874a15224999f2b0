//! Errors of joining the cluster.

use crankmux_membership::KeyError;
use std::io;
use std::net::SocketAddr;

/// Why a proxy could not join its cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The UDP socket cannot be opened.
    #[error("{section}.listen: {address}: {source}")]
    Listen {
        /// The name of the section in the operator configuration.
        section: &'static str,
        /// The value of `listen`.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The receive buffer cannot be set to the size of `receive-buffer`.
    #[error("{section}.receive-buffer: {source}")]
    ReceiveBuffer {
        /// The name of the section in the operator configuration.
        section: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// A cluster key is invalid.
    #[error(transparent)]
    Key(#[from] KeyError),
}
