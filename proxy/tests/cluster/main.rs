//! Several proxy processes at once, with faults between them. Each test is one danger to a cluster; bounds on times are
//! the issue's own where it names one, and else generous.

mod authentication;
mod common;
mod departed_clients;
mod draining;
mod failure_detection;
mod partitions;
mod restarts;
mod slow_start;
