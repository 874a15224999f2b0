//! Membership of a fleet, free of I/O: it is told what came and the time, and returns what is to be sent, when
//! it wants to be woken, and what it knows. SWIM by `foca`; datagrams are sealed by a keyed hash. What a node
//! may assume of the others' pushes is decided in [`count`]. Times are milliseconds of the caller's clock.
//! docs/membership.md has the ways weighed.

pub mod count;
pub mod fleet;
pub mod lists;
pub mod seal;
pub mod shares;
mod sharing;

pub use fleet::{Fleet, Known, ListedWord, Name, News, Reach, State, ZoneReach};
pub use seal::{Refused, Seal};
