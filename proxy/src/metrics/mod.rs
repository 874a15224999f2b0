//! Counters of the process and access metrics of its requests.

pub mod access;
pub mod counters;
