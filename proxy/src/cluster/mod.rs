//! The other proxies of the cluster: a UDP port, and what comes of the datagrams. Who is a member, and what may be
//! assumed of the others, is decided in the package `crankmux-membership`; a proxy without `[cluster]` in its operator
//! file has none of this.

mod config;
mod endpoint_gossip;
mod error;
mod events;
mod lifecycle;
mod metrics;
mod port;
mod state;
/// The cluster status page `GET /fleet` of the admin API.
pub mod status_page;

pub use config::ClusterConfig;
pub use error::ClusterError;
pub use state::Cluster;
