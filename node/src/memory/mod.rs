//! What is kept: buffers, due times, counters. Each has one owner, the proxy, and one place of return.

pub mod buffers;
pub mod counters;
pub mod timers;
