//! The control code without sockets: metrics.

mod access_metrics;
mod counters;
