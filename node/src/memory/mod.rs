//! What is kept: buffers, tables of connections and ops, due times, counters. Each has one owner and one
//! place of return.

pub mod buffers;
pub mod counters;
pub mod ops;
pub mod tables;
pub mod tally;
pub mod timers;
