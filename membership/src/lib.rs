//! SWIM cluster membership for proxies, without I/O: [`Membership`] takes received datagrams and the current time, and
//! returns the datagrams to send, the time of its next timer, and events.
//!
//! The SWIM protocol is implemented by `foca`; every datagram is authenticated with a keyed hash. [`cluster_size`] and
//! [`slow_start_shares`] decide how much load on the endpoints a proxy attributes to its peers. All times are
//! milliseconds of the caller's clock. See docs/membership.md for the design.

#![deny(missing_docs)]

/// The cluster size and slow-start share that a proxy uses for load balancing.
pub mod assumptions;
/// Datagram authentication with a keyed hash and replay protection.
pub mod authentication;
/// Estimate of how many proxies send requests to the endpoints, from membership and load reports.
pub mod cluster_size;
/// Endpoint statuses gossiped by other proxies, merged with the proxy's own endpoint list.
pub mod endpoint_gossip;
mod gossip;
mod incarnation_notices;
/// Estimate of the number of proxies from the endpoints' load reports.
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
