//! Clusters of members on a simulated network, in virtual time.

mod failure_detection;
mod gossip_and_authentication;
mod incarnations;
mod long_runs;
mod random_faults;
mod simulation;
mod slow_start_shares;
