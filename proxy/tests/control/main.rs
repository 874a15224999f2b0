//! The control code without sockets: endpoint lists, the schedule of polls, and metrics.

mod access_metrics;
mod counters;
mod endpoint_list;
mod poll_schedule;
