//! SWIM membership of a cluster of proxies, free of I/O: [`Membership`] is told which datagrams came and what the
//! time is, and returns the datagrams to send, the time of its next timer, and what it knows.
//!
//! SWIM itself is `foca`'s; every datagram is authenticated by a keyed hash. What a proxy may assume of the others'
//! load on the endpoints is decided in [`cluster_size`] and [`slow_start_shares`]. Times are milliseconds of the
//! caller's clock. docs/membership.md weighs the alternatives.

#![deny(missing_docs)]

pub mod assumptions;
pub mod authentication;
pub mod cluster_size;
pub mod endpoint_gossip;
mod gossip;
mod incarnation_notices;
pub mod load_estimate;
mod member_set;
mod member_table;
mod membership;
mod reachability;
mod seeds;
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
