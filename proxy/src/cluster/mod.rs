//! Cluster membership: the UDP socket and the integration of the package `crankmux-membership`, which implements the
//! protocol, into the proxy. Disabled without a `[cluster]` section in the operator configuration.

mod config;
mod endpoint_gossip;
mod error;
mod events;
mod lifecycle;
mod metrics;
mod socket;
mod state;
/// The cluster status page `GET /fleet` of the admin API.
pub mod status_page;

pub use config::ClusterConfig;
pub use error::ClusterError;
pub use state::Cluster;
