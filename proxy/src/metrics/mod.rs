//! Process counters for the log, and access metrics for the admin API.

/// Access metrics: counts of request outcomes.
pub mod access;
/// Process counters.
pub mod counters;
