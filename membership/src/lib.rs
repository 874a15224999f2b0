//! SWIM membership of a cluster of proxies, free of I/O: [`Membership`] is told which datagrams came and what the
//! time is, and returns the datagrams to send, the time of its next timer, and what it knows.
//!
//! SWIM itself is `foca`'s; every datagram is authenticated by a keyed hash. What a proxy may assume of the others'
//! load on the endpoints is decided in [`cluster_size`] and [`slow_start_shares`]. Times are milliseconds of the
//! caller's clock. docs/membership.md weighs the alternatives.

#![deny(missing_docs)]

/// What a proxy assumes of the load that other proxies put on the endpoints.
pub mod assumptions;
/// Authentication of datagrams by a keyed hash, with replay protection.
pub mod authentication;
/// Estimate of how many proxies send requests to the endpoints.
pub mod cluster_size;
/// What other proxies' endpoint lists say of endpoints, merged with the proxy's own list.
pub mod endpoint_gossip;
mod gossip;
mod incarnation_notices;
/// Estimate of the number of proxies from the load reports of endpoints.
pub mod load_estimate;
mod member_set;
mod member_table;
mod membership;
mod reachability;
mod seeds;
/// This proxy's share of an endpoint's slow-start budget.
pub mod slow_start_shares;
mod suspects;
mod swim;
mod timers;
mod types;

pub use authentication::{AuthenticationError, Authenticator, KeyError};
pub use membership::Membership;
pub use types::{
    EndpointGossip, Member, MemberCounts, MemberState, MembershipEvent, NodeId, Reachability,
    ZoneReachability,
};
