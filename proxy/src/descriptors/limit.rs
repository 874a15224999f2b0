//! How many descriptors the system allows.

use rustix::process::{getrlimit, Resource};

/// The share of the system's limit that is kept for connections to endpoints where that limit is too low for the
/// tables of connections to be filled. Clients get the rest: those that say nothing are closed after a grace, so
/// that fewer places for them make every client wait longer.
const ATTEMPT_SHARE_DIVISOR: usize = 8;

/// The most descriptors that the system lets this process open; none where there is no limit.
fn system_limit() -> Option<usize> {
    let limit = getrlimit(Resource::Nofile).current?;
    usize::try_from(limit).ok()
}

/// How many descriptors connections to endpoints have for themselves, in a process that may hold `configured`
/// descriptors by its configuration. Where the system allows as many, the tables of connections leave room for both
/// sides and nothing has to be reserved.
pub fn attempt_reserve(configured: usize) -> usize {
    match system_limit() {
        Some(limit) if limit < configured => limit / ATTEMPT_SHARE_DIVISOR,
        _ => 0,
    }
}
