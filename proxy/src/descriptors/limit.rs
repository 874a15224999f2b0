//! The system's limit on file descriptors.

use rustix::process::{getrlimit, Resource};

/// If the system's limit is lower than the configured one, the limit divided by this is reserved for connections to
/// endpoints. Clients get the rest: with fewer descriptors, new clients wait longer for idle connections
/// to be evicted.
const ATTEMPT_SHARE_DIVISOR: usize = 8;

/// The soft `RLIMIT_NOFILE` of this process; none if unlimited.
fn system_limit() -> Option<usize> {
    let limit = getrlimit(Resource::Nofile).current?;
    usize::try_from(limit).ok()
}

/// How many descriptors to reserve for connections to endpoints, in a process configured for `configured` descriptors.
/// Nothing is reserved if the system allows that many, as the limits of the connection tables then suffice.
pub fn attempt_reserve(configured: usize) -> usize {
    match system_limit() {
        Some(limit) if limit < configured => limit / ATTEMPT_SHARE_DIVISOR,
        _ => 0,
    }
}
