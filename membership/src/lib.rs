//! Membership of a fleet, free of I/O: it is told what came and the time, and returns what is to be sent, when
//! it wants to be woken, and what it knows. SWIM by `foca`; datagrams are sealed by a keyed hash. What a node
//! may assume of the others' pushes is decided in [`cluster_size`]. Times are milliseconds of the caller's clock.
//! docs/membership.md has the ways weighed.

pub mod assumptions;
pub mod authentication;
pub mod cluster_size;
pub mod endpoint_gossip;
mod member_set;
pub mod membership;

pub use authentication::{AuthenticationError, Authenticator};
pub use membership::{
    EndpointGossip, Member, MemberState, Membership, MembershipEvent, NodeId, Reachability,
    ZoneReachability,
};
