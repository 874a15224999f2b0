//! Counters of the process, for its log, and access metrics of its requests, for the admin API.

pub mod access;
pub mod counters;
