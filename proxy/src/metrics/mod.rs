//! Counters of the process, for its log, and access metrics of its requests, for the admin API.

/// Access metrics: the outcome of each request, counted once.
pub mod access;
/// Counters of what the process receives, sends and answers.
pub mod counters;
